//! How often each key of a service is asked for.

use crate::Timestamp;
use crate::dialect::KeyRange;
use std::time::Duration;

/// Number of keys of a service.
const KEYS: usize = 1 << 16;
/// Time between two decays.
pub const DECAY_INTERVAL: Duration = Duration::from_millis(200);
/// What is left of a count after one decay. With the interval above, it stands for
/// the requests of the last four seconds: few owners get more than ten a second, and
/// by chance a count of one second is a third too high or too low.
const DECAY: f32 = 0.95;
/// Share of a full count that a second of requests makes.
const LEAST_FILLED: f64 = 0.25;
/// Seconds of requests that a rate rests on, as far as chance goes: the counts' mean
/// age and spread make them as sure as a count over this time.
const COUNTED_SECONDS: f64 = 7.8;
/// The same for counts that show what has ended: they stand for a second.
const FAST_DECAY: f32 = 0.8;
/// Seconds of requests that a fast count rests on.
const FAST_COUNTED_SECONDS: f64 = 1.8;

/// Standard deviations by which the requests of the last interval must exceed the
/// decaying counts, to show that keys have become hot: less is chance.
const CERTAIN_DEVIATIONS: f64 = 2.0;

/// Decaying counts of the requests for each key.
///
/// A count stands for some seconds, so it shows little of a burst after the first
/// interval, and much of it long after its end. Where the last interval alone is far
/// above it, or faster counts far below, those are gone by.
pub struct KeyLoad {
    counts: Vec<f32>,
    fast: Vec<f32>,
    /// Requests since the last decay.
    recent: Vec<f32>,
    /// Requests in the interval before the last decay.
    last: Vec<f32>,
    next_decay: Timestamp,
    /// Decays so far.
    intervals: i32,
}

impl KeyLoad {
    /// No requests yet.
    pub fn new(now: Timestamp) -> KeyLoad {
        KeyLoad {
            counts: vec![0.0; KEYS],
            fast: vec![0.0; KEYS],
            recent: vec![0.0; KEYS],
            last: vec![0.0; KEYS],
            next_decay: now + DECAY_INTERVAL,
            intervals: 0,
        }
    }

    /// One request for a key.
    pub fn record(&mut self, key: u16) {
        self.counts[usize::from(key)] += 1.0;
        self.fast[usize::from(key)] += 1.0;
        self.recent[usize::from(key)] += 1.0;
    }

    /// Lets older requests count less.
    pub fn decay(&mut self, now: Timestamp) {
        while self.next_decay <= now {
            self.next_decay += DECAY_INTERVAL;
            self.intervals = self.intervals.saturating_add(1);
            for count in &mut self.counts {
                *count *= DECAY;
            }
            for count in &mut self.fast {
                *count *= FAST_DECAY;
            }
            std::mem::swap(&mut self.last, &mut self.recent);
            self.recent.fill(0.0);
        }
    }

    /// Requests a second for a range of keys.
    pub fn rate(&self, range: KeyRange) -> f64 {
        sum(&self.counts, range) * self.rate_of_one() * self.change(range)
    }

    /// By how much a range is asked for more, or less, than its counts show yet: 1,
    /// unless newer counts differ beyond chance.
    fn change(&self, range: KeyRange) -> f64 {
        let counted = sum(&self.counts, range) * self.rate_of_one();
        if counted <= 0.0 {
            return 1.0;
        }
        let last = sum(&self.last, range);
        let risen = (last - CERTAIN_DEVIATIONS * last.sqrt()) / DECAY_INTERVAL.as_secs_f64();
        if risen > counted {
            return risen / counted;
        }
        let fast = sum(&self.fast, range) * self.fast_rate_of_one();
        let deviation = (counted / FAST_COUNTED_SECONDS).sqrt();
        if fast + CERTAIN_DEVIATIONS * deviation < counted {
            return fast / counted;
        }
        1.0
    }

    /// The key of a range that is asked for most, and its requests a second.
    pub fn hottest(&self, range: KeyRange) -> (u16, f64) {
        let counts = &self.counts[usize::from(range.first)..=usize::from(range.last)];
        let keys = (range.first..=range.last).zip(counts);
        let hottest = keys.max_by(|(_, left), (_, right)| left.total_cmp(right));
        let (key, _) = hottest.unwrap_or((range.first, &0.0));
        let single = KeyRange {
            first: key,
            last: key,
        };
        (key, self.rate(single))
    }

    /// Parts of `range` at its front, or at its end, that carry about `rate`
    /// requests a second: the longest that carries no more, and the shortest
    /// that carries more, each with what it carries. Neither is the whole
    /// range.
    pub fn cuts(&self, range: KeyRange, rate: f64, from_front: bool) -> Vec<(KeyRange, f64)> {
        let mut cuts = Vec::new();
        let mut carried = 0.0;
        let rate_of_one = self.rate_of_one() * self.change(range);
        for taken in 0..range.len().saturating_sub(1) {
            let offset = u16::try_from(taken).unwrap_or(u16::MAX);
            let key = if from_front {
                range.first + offset
            } else {
                range.last - offset
            };
            let next = carried + f64::from(self.counts[usize::from(key)]) * rate_of_one;
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

    /// What one counted request stands for, in requests a second. In the beginning the
    /// counts are of a shorter time than later, of a second at least.
    fn rate_of_one(&self) -> f64 {
        rate_of_one(DECAY) / self.filled()
    }

    fn filled(&self) -> f64 {
        let filled = 1.0 - f64::from(DECAY).powi(self.intervals);
        filled.max(LEAST_FILLED)
    }

    /// Seconds of requests that a rate rests on: few requests may be many by chance.
    pub fn counted_seconds(&self) -> f64 {
        COUNTED_SECONDS * self.filled()
    }

    fn fast_rate_of_one(&self) -> f64 {
        let filled = 1.0 - f64::from(FAST_DECAY).powi(self.intervals.max(1));
        rate_of_one(FAST_DECAY) / filled
    }
}

/// What one counted request stands for, in requests a second.
fn rate_of_one(decay: f32) -> f64 {
    f64::from(1.0 - decay) / DECAY_INTERVAL.as_secs_f64()
}

/// The sum of the counts of a range.
fn sum(counts: &[f32], range: KeyRange) -> f64 {
    let slice = &counts[usize::from(range.first)..=usize::from(range.last)];
    f64::from(slice.iter().sum::<f32>())
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
