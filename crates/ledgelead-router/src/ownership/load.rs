//! How often each key of a service is asked for.

use crate::Timestamp;
use crate::dialect::KeyRange;
use std::time::Duration;

/// Number of keys of a service.
const KEYS: usize = 1 << 16;
/// Time between two decays.
pub const DECAY_INTERVAL: Duration = Duration::from_millis(200);
/// What is left of a count after one decay. With the interval above, a count
/// stands for the requests of the last second.
const DECAY: f32 = 0.8;
/// The same for counts that stand for five seconds: with ten requests a second, chance is
/// then a seventh of the count.
const LONG_WINDOW_DECAY: f32 = 0.96;

/// Decaying counts of the requests for each key.
pub struct KeyLoad {
    counts: Vec<f32>,
    /// What is left of a count after one decay.
    kept: f32,
    next_decay: Timestamp,
}

impl KeyLoad {
    /// No requests yet; counts stand for the last second.
    pub fn new(now: Timestamp) -> KeyLoad {
        KeyLoad::keeping(DECAY, now)
    }

    /// No requests yet; counts stand for the last five seconds.
    pub fn long_window(now: Timestamp) -> KeyLoad {
        KeyLoad::keeping(LONG_WINDOW_DECAY, now)
    }

    fn keeping(kept: f32, now: Timestamp) -> KeyLoad {
        KeyLoad {
            counts: vec![0.0; KEYS],
            kept,
            next_decay: now + DECAY_INTERVAL,
        }
    }

    /// One request for a key.
    pub fn record(&mut self, key: u16) {
        self.counts[usize::from(key)] += 1.0;
    }

    /// Lets older requests count less.
    pub fn decay(&mut self, now: Timestamp) {
        while self.next_decay <= now {
            self.next_decay += DECAY_INTERVAL;
            for count in &mut self.counts {
                *count *= self.kept;
            }
        }
    }

    /// Requests a second for a range of keys.
    pub fn rate(&self, range: KeyRange) -> f64 {
        let slice = &self.counts[usize::from(range.first)..=usize::from(range.last)];
        f64::from(slice.iter().sum::<f32>()) * self.rate_of_one()
    }

    /// The key of a range that is asked for most, and its requests a second.
    pub fn hottest(&self, range: KeyRange) -> (u16, f64) {
        let counts = &self.counts[usize::from(range.first)..=usize::from(range.last)];
        let keys = (range.first..=range.last).zip(counts);
        let hottest = keys.max_by(|(_, left), (_, right)| left.total_cmp(right));
        let (key, count) = hottest.unwrap_or((range.first, &0.0));
        (key, f64::from(*count) * self.rate_of_one())
    }

    /// Parts of `range` at its front, or at its end, that carry about `rate`
    /// requests a second: the longest that carries no more, and the shortest
    /// that carries more, each with what it carries. Neither is the whole
    /// range.
    pub fn cuts(&self, range: KeyRange, rate: f64, from_front: bool) -> Vec<(KeyRange, f64)> {
        let mut cuts = Vec::new();
        let mut carried = 0.0;
        for taken in 0..range.len().saturating_sub(1) {
            let offset = u16::try_from(taken).unwrap_or(u16::MAX);
            let key = if from_front {
                range.first + offset
            } else {
                range.last - offset
            };
            let next = carried + f64::from(self.counts[usize::from(key)]) * self.rate_of_one();
            if next > rate {
                if offset > 0 {
                    cuts.push((edge(range, offset - 1, from_front), carried));
                }
                cuts.push((edge(range, offset, from_front), next));
                return cuts;
            }
            carried = next;
        }
        if range.len() > 1 {
            let offset = u16::try_from(range.len() - 2).unwrap_or(u16::MAX);
            cuts.push((edge(range, offset, from_front), carried));
        }
        cuts
    }

    /// What one counted request stands for, in requests a second.
    fn rate_of_one(&self) -> f64 {
        f64::from(1.0 - self.kept) / DECAY_INTERVAL.as_secs_f64()
    }
}

/// The keys of a range up to an offset from its front, or from its end.
fn edge(range: KeyRange, offset: u16, from_front: bool) -> KeyRange {
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
