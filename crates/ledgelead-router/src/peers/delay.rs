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
    arrivals: u32,
}

/// Number of heartbeats after which the smallest difference is taken for that of an undelayed
/// message.
const MIN_ARRIVALS: u32 = 3;

impl DelayEstimate {
    /// Adds a heartbeat of this epoch. Returns its additional delay compared to the fastest
    /// one.
    pub fn record_arrival(&mut self, epoch: u64, sent_ms: u64, now: Timestamp) -> Duration {
        if self.epoch != epoch {
            self.epoch = epoch;
            self.min_difference = None;
            self.arrivals = 0;
        }
        self.arrivals = self.arrivals.saturating_add(1);
        let difference = difference(sent_ms, now);
        let min_difference = self
            .min_difference
            .map_or(difference, |known| known.min(difference));
        self.min_difference = Some(min_difference);
        let delay = u64::try_from(difference - min_difference).unwrap_or(u64::MAX);
        Duration::from_millis(delay)
    }

    /// The additional age of another message of the same sender. None while too few of its
    /// heartbeats have arrived to tell.
    pub fn age(&self, epoch: u64, sent_ms: u64, now: Timestamp) -> Option<Duration> {
        let is_known = self.epoch == epoch && self.arrivals >= MIN_ARRIVALS;
        let min_difference = self.min_difference.filter(|_| is_known)?;
        let age = (difference(sent_ms, now) - min_difference).max(0);
        Some(Duration::from_millis(
            u64::try_from(age).unwrap_or(u64::MAX),
        ))
    }
}

/// Difference between arrival and sending time, in milliseconds of clocks with different
/// origins.
fn difference(sent_ms: u64, now: Timestamp) -> i128 {
    i128::try_from(now.as_millis()).unwrap_or(i128::MAX) - i128::from(sent_ms)
}
