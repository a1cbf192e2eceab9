//! The long poll of the configuration's object.

use ledgelead_types::platform::{
    CONFIGURATION_OBJECT, ObjectVersion, PlatformCall, PlatformError, PlatformReply,
};
use ledgelead_types::{Span, Time};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Least time between two watches, should the platform answer at once.
const LEAST_INTERVAL: Span = Span::from_millis(50);
/// Time before a missing object is watched again.
const MISSING_INTERVAL: Span = Span::from_millis(500);
/// First delay after an error.
const FIRST_BACKOFF: Span = Span::from_millis(200);
/// Longest delay after errors. With the relay's second it stays far below the
/// 6 s in which a configuration has to be in force everywhere.
const LONGEST_BACKOFF: Span = Span::from_seconds(2);

/// A watch that is open or waits for its next turn.
#[derive(Debug)]
pub(super) struct Watch {
    next: Time,
    is_open: bool,
    backoff: Span,
}

impl Watch {
    /// A watch that is due at once.
    pub(super) fn new(now: Time) -> Watch {
        Watch {
            next: now,
            is_open: false,
            backoff: FIRST_BACKOFF,
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
    pub(super) fn begin(&mut self, after: ObjectVersion) -> PlatformCall {
        self.is_open = true;
        let name = CONFIGURATION_OBJECT.into();
        PlatformCall::Watch { name, after }
    }

    /// The call ended.
    pub(super) fn ended(
        &mut self,
        now: Time,
        reply: &Result<PlatformReply, PlatformError>,
        random: &mut Pcg64Mcg,
    ) {
        self.is_open = false;
        let delay = match reply {
            Ok(PlatformReply::NotFound) => MISSING_INTERVAL,
            Ok(_) => LEAST_INTERVAL,
            Err(_) => self.next_backoff(random),
        };
        if reply.is_ok() {
            self.backoff = FIRST_BACKOFF;
        }
        self.next = now + delay;
    }

    /// Doubles the delay; drawn from its upper half, so that readers part.
    fn next_backoff(&mut self, random: &mut Pcg64Mcg) -> Span {
        let delay = self.backoff.times(random.random_range(0.5..1.0));
        self.backoff = self.backoff.times(2.0).min(LONGEST_BACKOFF);
        delay
    }
}
