//! Transit time of a coordinator's heartbeats.

use crate::Timestamp;
use std::time::Duration;

/// Estimates the transit time of heartbeats from the sender's clock.
///
/// The clocks of sender and receiver have different origins, so the transit time itself cannot
/// be measured. What can be measured is the additional time compared to the fastest heartbeat
/// of the same sender, which takes a few milliseconds. This detects heartbeats that were held
/// up at a frozen or slow relay.
#[derive(Clone, Debug, Default)]
pub struct DelayEstimate {
    epoch: u64,
    /// The smallest difference between arrival and sending time, in milliseconds.
    min_difference: Option<i128>,
}

impl DelayEstimate {
    /// Adds a heartbeat of this epoch. Returns its additional delay compared to the fastest
    /// one.
    pub fn record_arrival(&mut self, epoch: u64, sent_ms: u64, now: Timestamp) -> Duration {
        if self.epoch != epoch {
            self.epoch = epoch;
            self.min_difference = None;
        }
        let now = i128::try_from(now.as_millis()).unwrap_or(i128::MAX);
        let difference = now - i128::from(sent_ms);
        let min_difference = self
            .min_difference
            .map_or(difference, |known| known.min(difference));
        self.min_difference = Some(min_difference);
        let delay = u64::try_from(difference - min_difference).unwrap_or(u64::MAX);
        Duration::from_millis(delay)
    }
}
