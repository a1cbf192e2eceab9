//! When the next call of a repeated kind is due.

use ledgelead_types::{Span, Time};

/// Schedule of calls of which only one is open at a time.
#[derive(Debug)]
pub(super) struct CallSchedule {
    next: Time,
    is_open: bool,
}

impl CallSchedule {
    /// Schedules the first call immediately.
    pub(super) fn new(now: Time) -> CallSchedule {
        CallSchedule {
            next: now,
            is_open: false,
        }
    }

    /// Whether the next call is due.
    pub(super) fn is_due(&self, now: Time) -> bool {
        !self.is_open && self.next <= now
    }

    /// When the next call is due; never while one is open.
    pub(super) fn next_due(&self) -> Time {
        if self.is_open {
            Time(u64::MAX)
        } else {
            self.next
        }
    }

    /// Records the start of a call.
    pub(super) fn begin(&mut self) {
        self.is_open = true;
    }

    /// Records the end of the call and schedules the next one.
    pub(super) fn ended(&mut self, now: Time, delay: Span) {
        self.is_open = false;
        self.next = now + delay;
    }
}
