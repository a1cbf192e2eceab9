//! Request rates per key of a service.

use crate::Timestamp;
use crate::dialect::KeyRange;
use std::time::Duration;

/// Number of keys of a service.
const KEYS: usize = 1 << 16;
/// Interval between two decay steps.
pub const DECAY_INTERVAL: Duration = Duration::from_millis(200);
/// Factor by which a decay step scales a count. With the interval above, counts cover about
/// the last second.
const DECAY: f32 = 0.8;
/// The same for counts that cover five seconds: at ten requests a second, the random deviation
/// is then a seventh of the count.
const LONG_WINDOW_DECAY: f32 = 0.96;

/// Decaying counts of the requests for each key.
pub struct KeyLoad {
    counts: Vec<f32>,
    /// Factor by which a decay step scales a count.
    decay_factor: f32,
    next_decay: Timestamp,
}

impl KeyLoad {
    /// No requests yet; counts cover the last second.
    pub fn new(now: Timestamp) -> KeyLoad {
        KeyLoad::with_decay(DECAY, now)
    }

    /// No requests yet; counts cover the last five seconds.
    pub fn long_window(now: Timestamp) -> KeyLoad {
        KeyLoad::with_decay(LONG_WINDOW_DECAY, now)
    }

    fn with_decay(decay_factor: f32, now: Timestamp) -> KeyLoad {
        KeyLoad {
            counts: vec![0.0; KEYS],
            decay_factor,
            next_decay: now + DECAY_INTERVAL,
        }
    }

    /// Counts one request for a key.
    pub fn record(&mut self, key: u16) {
        self.counts[usize::from(key)] += 1.0;
    }

    /// Scales down older requests.
    pub fn decay(&mut self, now: Timestamp) {
        while self.next_decay <= now {
            self.next_decay += DECAY_INTERVAL;
            for count in &mut self.counts {
                *count *= self.decay_factor;
            }
        }
    }

    /// Requests a second for a range of keys.
    pub fn rate(&self, range: KeyRange) -> f64 {
        let slice = &self.counts[usize::from(range.first)..=usize::from(range.last)];
        f64::from(slice.iter().sum::<f32>()) * self.rate_per_count()
    }

    /// The key of a range with the most requests, and its requests a second.
    pub fn hottest(&self, range: KeyRange) -> (u16, f64) {
        let counts = &self.counts[usize::from(range.first)..=usize::from(range.last)];
        let keys = (range.first..=range.last).zip(counts);
        let hottest = keys.max_by(|(_, left), (_, right)| left.total_cmp(right));
        let (key, count) = hottest.unwrap_or((range.first, &0.0));
        (key, f64::from(*count) * self.rate_per_count())
    }

    /// Prefixes (or suffixes) of `range` that receive about `rate` requests a second: the
    /// longest one that receives no more, and the shortest one that receives more, each with
    /// its rate. Neither is the whole range.
    pub fn cuts(&self, range: KeyRange, rate: f64, from_front: bool) -> Vec<(KeyRange, f64)> {
        let mut cuts = Vec::new();
        let mut prefix_rate = 0.0;
        for taken in 0..range.len().saturating_sub(1) {
            let offset = u16::try_from(taken).unwrap_or(u16::MAX);
            let key = if from_front {
                range.first + offset
            } else {
                range.last - offset
            };
            let next =
                prefix_rate + f64::from(self.counts[usize::from(key)]) * self.rate_per_count();
            if next > rate {
                if offset > 0 {
                    cuts.push((prefix_or_suffix(range, offset - 1, from_front), prefix_rate));
                }
                cuts.push((prefix_or_suffix(range, offset, from_front), next));
                return cuts;
            }
            prefix_rate = next;
        }
        if range.len() > 1 {
            let offset = u16::try_from(range.len() - 2).unwrap_or(u16::MAX);
            cuts.push((prefix_or_suffix(range, offset, from_front), prefix_rate));
        }
        cuts
    }

    /// The rate, in requests a second, that one counted request represents.
    fn rate_per_count(&self) -> f64 {
        f64::from(1.0 - self.decay_factor) / DECAY_INTERVAL.as_secs_f64()
    }
}

/// The first (or last) keys of a range, up to and including an offset.
fn prefix_or_suffix(range: KeyRange, offset: u16, from_front: bool) -> KeyRange {
    if from_front {
        KeyRange {
            first: range.first,
            last: range.first + offset,
        }
    } else {
        KeyRange {
            first: range.last - offset,
            last: range.last,
        }
    }
}
