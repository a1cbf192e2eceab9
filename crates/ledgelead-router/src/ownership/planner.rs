//! Plans which keys move to balance the load.
//!
//! A move costs little compared to an instance with a growing queue. So a part of the busiest
//! instance's keys moves as soon as that instance approaches its capacity and another is well
//! below its own. Otherwise nothing moves.

use super::load::KeyLoad;
use crate::dialect::KeyRange;
use crate::identity::InstanceId;

/// Utilization above which keys are moved away.
const BUSY_UTILIZATION: f64 = 0.5;
/// Ratio of an instance's utilization to the mean above which keys are moved away.
const MIN_IMBALANCE: f64 = 1.25;
/// The same for counts over several seconds, which separate lasting differences from random
/// ones. Near capacity, a tenth too much load is enough to build up a queue.
const LONG_WINDOW_MIN_IMBALANCE: f64 = 1.08;
/// Seconds of requests that a rate covers; a rate from few requests has a large random
/// deviation.
const WINDOW_SECONDS: f64 = 1.8;
/// The same for counts over several seconds.
const LONG_WINDOW_SECONDS: f64 = 9.8;
/// Utilization up to which a target is filled at once, if the mean is lower.
const FILLED_UTILIZATION: f64 = 0.7;
/// Minimum share of the target's capacity that is worth a move.
const MIN_MOVE_SHARE: f64 = 0.1;
/// A move must reduce the higher utilization of source and target to at most this share of the
/// source's utilization before the move.
const MAX_REMAINING_UTILIZATION: f64 = 0.9;
/// Maximum number of moves per plan.
const MAX_MOVES: usize = 16;

/// An instance that can own keys.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The instance.
    pub id: InstanceId,
    /// Requests a second that it can process.
    pub capacity: f64,
    /// Its ranges that are not being moved.
    pub ranges: Vec<KeyRange>,
    /// Whether keys may move to it.
    pub accepts_keys: bool,
    /// Requests a second for keys that are being moved to it.
    pub incoming: f64,
    /// Number of keys that it owns or that are being moved to it.
    pub keys: u32,
}

/// Parameters of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanSettings {
    /// Whether the random deviation of the counts is subtracted before an owner counts as
    /// busy.
    pub noise_margin: bool,
    /// Ratio of an owner's utilization to the mean above which it counts as busy.
    pub min_imbalance: f64,
    /// Seconds of requests that the rates cover.
    pub window_seconds: f64,
}

impl PlanSettings {
    /// For counts that cover several seconds.
    pub fn long_window() -> PlanSettings {
        PlanSettings {
            min_imbalance: LONG_WINDOW_MIN_IMBALANCE,
            window_seconds: LONG_WINDOW_SECONDS,
            ..PlanSettings::default()
        }
    }
}

impl Default for PlanSettings {
    fn default() -> PlanSettings {
        PlanSettings {
            noise_margin: true,
            min_imbalance: MIN_IMBALANCE,
            window_seconds: WINDOW_SECONDS,
        }
    }
}

/// A range that should change its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMove {
    /// The current owner.
    pub from: InstanceId,
    /// The next owner.
    pub to: InstanceId,
    /// The keys; a part of one of the owner's ranges.
    pub range: KeyRange,
}

struct InstanceState {
    candidate: Candidate,
    rate: f64,
}

impl InstanceState {
    fn utilization(&self) -> f64 {
        self.utilization_with(0.0)
    }

    /// The utilization less the standard deviation of the rate, with Poisson-distributed
    /// counts.
    fn utilization_lower_bound(&self, window_seconds: f64) -> f64 {
        let deviation = (self.rate.max(0.0) / window_seconds).sqrt();
        self.utilization_with(-deviation)
    }

    /// The utilization after a change by this many requests a second.
    fn utilization_with(&self, change: f64) -> f64 {
        (self.rate + self.candidate.incoming + change) / self.candidate.capacity
    }

    /// Requests a second that it can take up to `FILLED_UTILIZATION`.
    fn free_capacity(&self) -> f64 {
        (FILLED_UTILIZATION - self.utilization()) * self.candidate.capacity
    }
}

/// All moves that are currently worthwhile.
pub fn plan(
    candidates: Vec<Candidate>,
    load: &KeyLoad,
    settings: PlanSettings,
) -> Vec<PlannedMove> {
    let mut instances: Vec<InstanceState> = candidates
        .into_iter()
        .map(|candidate| InstanceState {
            rate: candidate.ranges.iter().map(|range| load.rate(*range)).sum(),
            candidate,
        })
        .collect();
    let mut moves = Vec::new();
    while moves.len() < MAX_MOVES {
        let Some(planned) = next_move(&mut instances, load, settings) else {
            break;
        };
        moves.push(planned);
    }
    moves
}

/// The next move, from the busiest instance that has a suitable part.
fn next_move(
    instances: &mut [InstanceState],
    load: &KeyLoad,
    settings: PlanSettings,
) -> Option<PlannedMove> {
    let capacity: f64 = instances
        .iter()
        .map(|instance| instance.candidate.capacity)
        .sum();
    let rate: f64 = instances
        .iter()
        .map(|instance| instance.rate + instance.candidate.incoming)
        .sum();
    let mean = rate / capacity;
    let least_loaded = instances
        .iter()
        .enumerate()
        .filter(|(_, instance)| instance.candidate.accepts_keys)
        .max_by(|(_, left), (_, right)| left.free_capacity().total_cmp(&right.free_capacity()))
        .map(|(index, _)| index)?;
    let mut sources: Vec<usize> = (0..instances.len())
        .filter(|index| *index != least_loaded)
        .filter(|index| {
            let instance = &instances[*index];
            let busy = if settings.noise_margin {
                instance.utilization_lower_bound(settings.window_seconds)
            } else {
                instance.utilization()
            };
            busy > BUSY_UTILIZATION.max(mean * settings.min_imbalance)
        })
        .collect();
    sources.sort_by(|left, right| {
        let utilization = |index: usize| instances[index].utilization();
        utilization(*right).total_cmp(&utilization(*left))
    });
    let (source, part) = sources.into_iter().find_map(|source| {
        let amount = amount_to_move(&instances[source], &instances[least_loaded], mean)?;
        let part = best_part(&instances[source], &instances[least_loaded], amount, load)?;
        Some((source, part))
    })?;
    let giving = &mut instances[source];
    giving.rate -= part.rate;
    let ranges = &mut giving.candidate.ranges;
    let whole = ranges.remove(part.position);
    ranges.extend(whole.without(part.range));
    let from = giving.candidate.id.clone();
    instances[least_loaded].candidate.incoming += part.rate;
    Some(PlannedMove {
        from,
        to: instances[least_loaded].candidate.id.clone(),
        range: part.range,
    })
}

/// Requests a second that should move from `source` to `target`, if that is worth a move: at
/// most what evens out the two, and at most what fills the target to a moderate load.
fn amount_to_move(source: &InstanceState, target: &InstanceState, mean: f64) -> Option<f64> {
    let capacity = target.candidate.capacity;
    let high = source.utilization();
    let low = target.utilization();
    let excess = (high - mean) * source.candidate.capacity;
    let even = (high - low) / 2.0 * capacity;
    let filled = (mean.max(FILLED_UTILIZATION) - low) * capacity;
    let amount = excess.min(even).min(filled);
    (amount >= MIN_MOVE_SHARE * capacity).then_some(amount)
}

/// A part of a range and its request rate.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// The index of the range among its owner's ranges.
    position: usize,
    range: KeyRange,
    rate: f64,
}

/// The part of one of the source's ranges whose move leaves the lowest maximum of both
/// utilizations, if that is a worthwhile reduction; among equal ones the part with the fewest
/// keys.
fn best_part(
    source: &InstanceState,
    target: &InstanceState,
    amount: f64,
    load: &KeyLoad,
) -> Option<Part> {
    let max_utilization = |part: &Part| {
        let left = source.utilization_with(-part.rate);
        left.max(target.utilization_with(part.rate))
    };
    let enough = source.utilization() * MAX_REMAINING_UTILIZATION;
    let least = MIN_MOVE_SHARE * target.candidate.capacity;
    let fits = |part: &Part| part.rate >= least && max_utilization(part) <= enough;
    source
        .candidate
        .ranges
        .iter()
        .enumerate()
        .flat_map(|(position, range)| parts_of(position, *range, amount, load))
        .filter(fits)
        .min_by(|left, right| {
            let by_load = max_utilization(left).total_cmp(&max_utilization(right));
            by_load.then(left.range.len().cmp(&right.range.len()))
        })
}

/// The whole range, and prefixes and suffixes of it that receive about `amount`.
fn parts_of(position: usize, range: KeyRange, amount: f64, load: &KeyLoad) -> Vec<Part> {
    let mut parts = vec![(range, load.rate(range))];
    parts.extend(load.cuts(range, amount, true));
    parts.extend(load.cuts(range, amount, false));
    let part = |(range, rate)| Part {
        position,
        range,
        rate,
    };
    parts.into_iter().map(part).collect()
}
