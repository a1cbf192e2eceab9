//! Detects hot positions without state for every key.
//!
//! Uses the Space-Saving algorithm of A. Metwally, D. Agrawal and A. El Abbadi, "Efficient
//! Computation of Frequent and Top-k Elements in Data Streams" (ICDT 2005), with decaying
//! counts, so that positions that have cooled down are replaced by current ones.

use ledgelead_types::dispatch::HotPosition;
use ledgelead_types::{Position, PositionRange, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Time constant of the decay in [`HotPositions`].
const DECAY: Span = Span::from_seconds(8);
/// How often [`HotPositions`] decays its counters.
const DECAY_INTERVAL: Span = Span::from_seconds(1);

/// Estimated count of one position.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Upper bound of the true count.
    pub count: f64,
    /// Maximum amount by which `count` exceeds the true count.
    pub error: f64,
}

impl Estimate {
    /// Lower bound of the true count.
    pub fn guaranteed(&self) -> f64 {
        self.count - self.error
    }
}

/// Counts the most frequent positions with a fixed number of counters.
///
/// With `n` as the sum of all counts and `k` as the number of counters, every position
/// counted more than `n / k` times has a counter, and no counter exceeds the true count by
/// more than `n / k`. Decay scales all of these alike.
#[derive(Clone, Debug)]
pub struct SpaceSaving {
    capacity: usize,
    counters: BTreeMap<Position, Estimate>,
    by_count: BTreeSet<(u64, Position)>,
    total: f64,
}

impl SpaceSaving {
    /// A sketch with at most `capacity` counters, and at least one.
    pub fn new(capacity: usize) -> SpaceSaving {
        SpaceSaving {
            capacity: capacity.max(1),
            counters: BTreeMap::new(),
            by_count: BTreeSet::new(),
            total: 0.0,
        }
    }

    /// Counts a position once.
    pub fn observe(&mut self, position: Position) {
        self.total += 1.0;
        let estimate = match self.take(position) {
            Some(known) => known,
            None => self.make_room(),
        };
        let counted = Estimate {
            count: estimate.count + 1.0,
            ..estimate
        };
        self.put(position, counted);
    }

    /// Multiplies all counts by a factor from 0 to 1.
    pub fn decay(&mut self, factor: f64) {
        self.total *= factor;
        self.by_count.clear();
        for (position, estimate) in &mut self.counters {
            estimate.count *= factor;
            estimate.error *= factor;
            self.by_count.insert((estimate.count.to_bits(), *position));
        }
    }

    /// The estimate of a position that has a counter.
    pub fn estimate(&self, position: Position) -> Option<Estimate> {
        self.counters.get(&position).copied()
    }

    /// The positions with counters in a range, in order.
    pub fn in_range(&self, range: PositionRange) -> impl Iterator<Item = (Position, Estimate)> {
        self.counters
            .range(range.first..=range.last)
            .map(|(position, estimate)| (*position, *estimate))
    }

    /// Sum of all counts, decayed.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Maximum error of a count.
    pub fn error_bound(&self) -> f64 {
        self.total / self.capacity as f64
    }

    /// Evicts the lowest counter if all are in use. Its count is the maximum that a position
    /// without a counter can have.
    fn make_room(&mut self) -> Estimate {
        if self.counters.len() < self.capacity {
            return Estimate::default();
        }
        let Some((_, least)) = self.by_count.first().copied() else {
            return Estimate::default();
        };
        let evicted = self.take(least).unwrap_or_default();
        Estimate {
            count: evicted.count,
            error: evicted.count,
        }
    }

    fn take(&mut self, position: Position) -> Option<Estimate> {
        let estimate = self.counters.remove(&position)?;
        self.by_count.remove(&(estimate.count.to_bits(), position));
        Some(estimate)
    }

    fn put(&mut self, position: Position, estimate: Estimate) {
        self.by_count.insert((estimate.count.to_bits(), position));
        self.counters.insert(position, estimate);
    }
}

/// Rates of the hottest positions, in requests per second.
#[derive(Clone, Debug)]
pub struct HotPositions {
    sketch: SpaceSaving,
    decayed_at: Time,
}

impl HotPositions {
    /// A sketch with at most `capacity` counters.
    pub fn new(capacity: usize) -> HotPositions {
        HotPositions {
            sketch: SpaceSaving::new(capacity),
            decayed_at: Time::ZERO,
        }
    }

    /// Counts a request for a position.
    pub fn observe(&mut self, position: Position, now: Time) {
        self.decay(now);
        self.sketch.observe(position);
    }

    /// The position in a range with the highest guaranteed rate; `None` if no position
    /// exceeds the sketch's error.
    pub fn hottest_in(&mut self, range: PositionRange, now: Time) -> Option<HotPosition> {
        self.decay(now);
        let (position, estimate) = self
            .sketch
            .in_range(range)
            .max_by(|a, b| a.1.guaranteed().total_cmp(&b.1.guaranteed()))?;
        (estimate.guaranteed() > estimate.error).then(|| HotPosition {
            position,
            requests_per_second: estimate.guaranteed() / DECAY.as_seconds(),
        })
    }

    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.decayed_at);
        if elapsed >= DECAY_INTERVAL {
            let factor = (-elapsed.as_seconds() / DECAY.as_seconds()).exp();
            self.sketch.decay(factor);
            self.decayed_at = now;
        }
    }
}
