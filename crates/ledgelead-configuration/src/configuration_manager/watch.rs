//! Long polling of the configuration's object.

use super::call_schedule::CallSchedule;
use ledgelead_types::platform::{
    CONFIGURATION_OBJECT, ObjectVersion, PlatformCall, PlatformError, PlatformReply,
};
use ledgelead_types::{Span, Time};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Minimum interval between watches, in case the platform answers immediately.
const MIN_INTERVAL: Span = Span::from_millis(50);
/// Delay before a missing object is watched again.
const MISSING_INTERVAL: Span = Span::from_millis(500);
/// Delay after the first error.
const INITIAL_BACKOFF: Span = Span::from_millis(200);
/// Longest delay after repeated errors. Together with the 1 s for relaying a configuration it
/// stays far below the 6 s within which a configuration has to be in force on all nodes.
const MAX_BACKOFF: Span = Span::from_seconds(2);

/// State of the watch.
#[derive(Debug)]
pub(super) struct Watch {
    schedule: CallSchedule,
    backoff: Span,
}

impl Watch {
    /// Schedules the first call immediately.
    pub(super) fn new(now: Time) -> Watch {
        Watch {
            schedule: CallSchedule::new(now),
            backoff: INITIAL_BACKOFF,
        }
    }

    /// When calls are due.
    pub(super) fn schedule(&self) -> &CallSchedule {
        &self.schedule
    }

    /// Starts a call.
    pub(super) fn begin(&mut self, after: ObjectVersion) -> PlatformCall {
        self.schedule.begin();
        let name = CONFIGURATION_OBJECT.into();
        PlatformCall::Watch { name, after }
    }

    /// Records the end of the call.
    pub(super) fn ended(
        &mut self,
        now: Time,
        reply: &Result<PlatformReply, PlatformError>,
        random: &mut Pcg64Mcg,
    ) {
        let delay = match reply {
            Ok(PlatformReply::NotFound) => MISSING_INTERVAL,
            Ok(_) => MIN_INTERVAL,
            Err(_) => self.next_backoff(random),
        };
        if reply.is_ok() {
            self.backoff = INITIAL_BACKOFF;
        }
        self.schedule.ended(now, delay);
    }

    /// Returns a delay drawn from the upper half of the current backoff, so that readers do
    /// not retry in step, and doubles the backoff.
    fn next_backoff(&mut self, random: &mut Pcg64Mcg) -> Span {
        let delay = self.backoff.times(random.random_range(0.5..1.0));
        self.backoff = self.backoff.times(2.0).min(MAX_BACKOFF);
        delay
    }
}
