//! Reads the platform's list of machines now and then.

use ledgelead_types::platform::PlatformCall;
use ledgelead_types::{Span, Time};

/// Time between two reads. The list lags by more than this.
const INTERVAL: Span = Span::from_seconds(3);

/// A read that is open or waits for its next turn.
#[derive(Debug)]
pub(super) struct MachinePoll {
    next: Time,
    is_open: bool,
}

impl MachinePoll {
    /// A read that is due at once.
    pub(super) fn new(now: Time) -> MachinePoll {
        MachinePoll {
            next: now,
            is_open: false,
        }
    }

    /// Whether a call should be made.
    pub(super) fn is_due(&self, now: Time) -> bool {
        !self.is_open && self.next <= now
    }

    /// When a call should be made, if none is open.
    pub(super) fn next_due(&self) -> Time {
        if self.is_open {
            Time(u64::MAX)
        } else {
            self.next
        }
    }

    /// The call to make.
    pub(super) fn begin(&mut self) -> PlatformCall {
        self.is_open = true;
        PlatformCall::ListMachines
    }

    /// The call ended.
    pub(super) fn ended(&mut self, now: Time) {
        self.is_open = false;
        self.next = now + INTERVAL;
    }
}
