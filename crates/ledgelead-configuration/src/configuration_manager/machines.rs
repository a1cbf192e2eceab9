//! Reads the platform's list of machines at intervals.

use super::call_schedule::CallSchedule;
use ledgelead_types::platform::PlatformCall;
use ledgelead_types::{Span, Time};

/// Interval between reads. The list lags behind by more than this.
const INTERVAL: Span = Span::from_seconds(3);

/// State of the reads.
#[derive(Debug)]
pub(super) struct MachinePoll {
    schedule: CallSchedule,
}

impl MachinePoll {
    /// Schedules the first read immediately.
    pub(super) fn new(now: Time) -> MachinePoll {
        MachinePoll {
            schedule: CallSchedule::new(now),
        }
    }

    /// When reads are due.
    pub(super) fn schedule(&self) -> &CallSchedule {
        &self.schedule
    }

    /// Starts a call.
    pub(super) fn begin(&mut self) -> PlatformCall {
        self.schedule.begin();
        PlatformCall::ListMachines
    }

    /// Records the end of the call.
    pub(super) fn ended(&mut self, now: Time) {
        self.schedule.ended(now, INTERVAL);
    }
}
