//! Estimates a request rate.

use crate::Timestamp;
use std::time::Duration;

/// The rate of events, as an exponentially weighted average.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventRate {
    count: f64,
    at: Timestamp,
    time_constant: Duration,
}

impl EventRate {
    pub(super) fn new(time_constant: Duration, now: Timestamp) -> EventRate {
        EventRate {
            count: 0.0,
            at: now,
            time_constant,
        }
    }

    /// Records events that happened just now.
    pub(super) fn record(&mut self, events: f64, now: Timestamp) {
        self.count = self.decayed(now) + events;
        self.at = now;
    }

    /// Events a second.
    pub(super) fn per_s(&self, now: Timestamp) -> f64 {
        self.decayed(now) / self.time_constant.as_secs_f64()
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }
}
