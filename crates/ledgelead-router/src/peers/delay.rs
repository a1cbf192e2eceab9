//! How long a coordinator's heartbeats are on their way.

use crate::Timestamp;
use std::time::Duration;

/// Estimates the delay of heartbeats from the sender's clock.
///
/// The two clocks have different origins, so the delay itself can't be seen.
/// What is seen is how much longer one heartbeat took than the fastest one of
/// the same sender, whose delay is a few milliseconds. A heartbeat that waited
/// at a frozen or slow node which passed it on is found by that.
#[derive(Clone, Debug, Default)]
pub struct DelayEstimate {
    epoch: u64,
    /// The smallest difference of the clocks at an arrival, in milliseconds.
    smallest: Option<i128>,
}

impl DelayEstimate {
    /// A heartbeat of this epoch arrives. Returns its delay beyond the fastest.
    pub fn record_arrival(&mut self, epoch: u64, sent_ms: u64, now: Timestamp) -> Duration {
        if self.epoch != epoch {
            self.epoch = epoch;
            self.smallest = None;
        }
        let now = i128::try_from(now.as_millis()).unwrap_or(i128::MAX);
        let difference = now - i128::from(sent_ms);
        let smallest = self
            .smallest
            .map_or(difference, |known| known.min(difference));
        self.smallest = Some(smallest);
        let delay = u64::try_from(difference - smallest).unwrap_or(u64::MAX);
        Duration::from_millis(delay)
    }
}
