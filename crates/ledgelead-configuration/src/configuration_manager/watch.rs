//! Long polling of the configuration's object.

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

/// State of the watch: a call is open or the next one is scheduled.
#[derive(Debug)]
pub(super) struct Watch {
    next: Time,
    is_open: bool,
    backoff: Span,
}

impl Watch {
    /// Schedules the first call immediately.
    pub(super) fn new(now: Time) -> Watch {
        Watch {
            next: now,
            is_open: false,
            backoff: INITIAL_BACKOFF,
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
    pub(super) fn begin(&mut self, after: ObjectVersion) -> PlatformCall {
        self.is_open = true;
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
        self.is_open = false;
        let delay = match reply {
            Ok(PlatformReply::NotFound) => MISSING_INTERVAL,
            Ok(_) => MIN_INTERVAL,
            Err(_) => self.next_backoff(random),
        };
        if reply.is_ok() {
            self.backoff = INITIAL_BACKOFF;
        }
        self.next = now + delay;
    }

    /// Returns a delay drawn from the upper half of the current backoff, so that readers do
    /// not retry in step, and doubles the backoff.
    fn next_backoff(&mut self, random: &mut Pcg64Mcg) -> Span {
        let delay = self.backoff.times(random.random_range(0.5..1.0));
        self.backoff = self.backoff.times(2.0).min(MAX_BACKOFF);
        delay
    }
}
