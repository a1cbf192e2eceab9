//! Reads the platform's list of machines at intervals.

use ledgelead_types::platform::PlatformCall;
use ledgelead_types::{Span, Time};

/// Interval between reads. The list lags behind by more than this.
const INTERVAL: Span = Span::from_seconds(3);

/// State of the reads: one is open or the next one is scheduled.
#[derive(Debug)]
pub(super) struct MachinePoll {
    next: Time,
    is_open: bool,
}

impl MachinePoll {
    /// Schedules the first read immediately.
    pub(super) fn new(now: Time) -> MachinePoll {
        MachinePoll {
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

    /// Starts a call.
    pub(super) fn begin(&mut self) -> PlatformCall {
        self.is_open = true;
        PlatformCall::ListMachines
    }

    /// Records the end of the call.
    pub(super) fn ended(&mut self, now: Time) {
        self.is_open = false;
        self.next = now + INTERVAL;
    }
}
