//! How often each key of a service is asked for.

use crate::Timestamp;
use crate::dialect::KeyRange;
use std::time::Duration;

/// Number of keys of a service.
const KEYS: usize = 1 << 16;
/// Time between two decays.
pub const DECAY_INTERVAL: Duration = Duration::from_millis(500);
/// What is left of a count after one decay. With the interval above, a count
/// stands for the requests of the last 1.7 s.
const DECAY: f32 = 0.7;

/// Decaying counts of the requests for each key.
pub struct KeyLoad {
    counts: Vec<f32>,
    next_decay: Timestamp,
}

impl KeyLoad {
    /// No requests yet.
    pub fn new(now: Timestamp) -> KeyLoad {
        KeyLoad {
            counts: vec![0.0; KEYS],
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
                *count *= DECAY;
            }
        }
    }

    /// Requests a second for a range of keys.
    pub fn rate(&self, range: KeyRange) -> f64 {
        let slice = &self.counts[usize::from(range.first)..=usize::from(range.last)];
        f64::from(slice.iter().sum::<f32>()) * Self::rate_of_one()
    }

    /// The part of `range` at its front, or at its end, that carries about
    /// `rate` requests a second, and what it carries. None if that would be
    /// the whole range.
    pub fn cut(&self, range: KeyRange, rate: f64, from_front: bool) -> Option<(KeyRange, f64)> {
        let mut carried = 0.0;
        let mut taken: u32 = 0;
        while carried < rate {
            if taken + 1 >= range.len() {
                return None;
            }
            let offset = u16::try_from(taken).ok()?;
            let key = if from_front {
                range.first + offset
            } else {
                range.last - offset
            };
            carried += f64::from(self.counts[usize::from(key)]) * Self::rate_of_one();
            taken += 1;
        }
        let width = u16::try_from(taken.checked_sub(1)?).ok()?;
        let part = if from_front {
            KeyRange {
                first: range.first,
                last: range.first + width,
            }
        } else {
            KeyRange {
                first: range.last - width,
                last: range.last,
            }
        };
        Some((part, carried))
    }

    /// What one counted request stands for, in requests a second.
    fn rate_of_one() -> f64 {
        f64::from(1.0 - DECAY) / DECAY_INTERVAL.as_secs_f64()
    }
}
