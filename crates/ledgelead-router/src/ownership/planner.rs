//! Which keys should move to even out the load.
//!
//! Moves cost little compared with an instance whose queue grows, so a part of
//! the busiest instance's keys moves as soon as the instance nears its
//! capacity and another is well below it. Below that, nothing moves.

use super::load::KeyLoad;
use crate::dialect::KeyRange;
use crate::identity::InstanceId;

/// Utilisation above which keys are moved away.
const BUSY_UTILISATION: f64 = 0.5;
/// By how much the busiest has to stand above the mean.
const IMBALANCE: f64 = 1.25;
/// The same by counts of several seconds, which tell lasting differences from chance: near
/// capacity, a tenth too much is what waits.
const LONG_WINDOW_IMBALANCE: f64 = 1.08;
/// Seconds of requests that a rate rests on: few requests may be many by
/// chance.
const COUNTED_SECONDS: f64 = 1.8;
/// The same for long_window counts.
const LONG_WINDOW_SECONDS: f64 = 9.8;
/// Up to which an instance is filled at once, where the mean is lower.
const FILLED_UTILISATION: f64 = 0.7;
/// Smallest part of an instance's capacity worth a move.
const SMALLEST_MOVE: f64 = 0.1;
/// Share of the source's utilisation that the busier of the two may have after
/// a move, for the move to be worth it.
const WORTHWHILE: f64 = 0.9;
/// Most moves planned at once.
const MAX_MOVES: usize = 16;

/// An instance that can own keys.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The instance.
    pub id: InstanceId,
    /// Requests a second that it can work on.
    pub capacity: f64,
    /// Its ranges that are not on the move.
    pub ranges: Vec<KeyRange>,
    /// Whether keys may move to it.
    pub accepts_keys: bool,
    /// Requests a second of keys on their way to it.
    pub incoming: f64,
    /// Keys that it owns or that are on their way to it.
    pub keys: u32,
}

/// How moves are planned.
#[derive(Clone, Copy, Debug)]
pub struct PlanSettings {
    /// Whether an owner counts as busy only beyond the chance in its counts.
    pub noise_margin: bool,
    /// By how much an owner has to stand above the mean.
    pub imbalance: f64,
    /// Seconds of requests that rates rest on.
    pub counted_seconds: f64,
}

impl PlanSettings {
    /// For counts that stand for several seconds.
    pub fn long_window() -> PlanSettings {
        PlanSettings {
            imbalance: LONG_WINDOW_IMBALANCE,
            counted_seconds: LONG_WINDOW_SECONDS,
            ..PlanSettings::default()
        }
    }
}

impl Default for PlanSettings {
    fn default() -> PlanSettings {
        PlanSettings {
            noise_margin: true,
            imbalance: IMBALANCE,
            counted_seconds: COUNTED_SECONDS,
        }
    }
}

/// A range that should change its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMove {
    /// The owner.
    pub from: InstanceId,
    /// The next owner.
    pub to: InstanceId,
    /// The keys, a part of one of the owner's ranges.
    pub range: KeyRange,
}

struct InstanceState {
    candidate: Candidate,
    rate: f64,
}

impl InstanceState {
    fn utilisation(&self) -> f64 {
        self.utilisation_with(0.0)
    }

    /// The utilisation that is there even if chance has raised the rate by its
    /// standard deviation, counts being Poisson.
    fn certain_utilisation(&self, counted_seconds: f64) -> f64 {
        let deviation = (self.rate.max(0.0) / counted_seconds).sqrt();
        self.utilisation_with(-deviation)
    }

    /// The utilisation with this many requests a second more, or less.
    fn utilisation_with(&self, change: f64) -> f64 {
        (self.rate + self.candidate.incoming + change) / self.candidate.capacity
    }

    /// Requests a second that it can take before it counts as filled.
    fn free_capacity(&self) -> f64 {
        (FILLED_UTILISATION - self.utilisation()) * self.candidate.capacity
    }
}

/// The moves that are worth their price now.
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

/// The next move from the busiest instance that has a part to give.
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
                instance.certain_utilisation(settings.counted_seconds)
            } else {
                instance.utilisation()
            };
            busy > BUSY_UTILISATION.max(mean * settings.imbalance)
        })
        .collect();
    sources.sort_by(|left, right| {
        let utilisation = |index: usize| instances[index].utilisation();
        utilisation(*right).total_cmp(&utilisation(*left))
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

/// Requests a second that should go from one instance to the other, if that
/// is worth a move: no more than evens out the two, and no more than fills the
/// other up to a moderate load.
fn amount_to_move(source: &InstanceState, target: &InstanceState, mean: f64) -> Option<f64> {
    let capacity = target.candidate.capacity;
    let high = source.utilisation();
    let low = target.utilisation();
    let excess = (high - mean) * source.candidate.capacity;
    let even = (high - low) / 2.0 * capacity;
    let filled = (mean.max(FILLED_UTILISATION) - low) * capacity;
    let amount = excess.min(even).min(filled);
    (amount >= SMALLEST_MOVE * capacity).then_some(amount)
}

/// A part of a range and what it carries.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// The place of the range among its owner's.
    position: usize,
    range: KeyRange,
    rate: f64,
}

/// The part of one of the source's ranges after whose move the busier of the
/// two is least busy, if that is worth it; of equal ones the one with the
/// fewest keys.
fn best_part(
    source: &InstanceState,
    target: &InstanceState,
    amount: f64,
    load: &KeyLoad,
) -> Option<Part> {
    let busier = |part: &Part| {
        let left = source.utilisation_with(-part.rate);
        left.max(target.utilisation_with(part.rate))
    };
    let enough = source.utilisation() * WORTHWHILE;
    let least = SMALLEST_MOVE * target.candidate.capacity;
    let fits = |part: &Part| part.rate >= least && busier(part) <= enough;
    source
        .candidate
        .ranges
        .iter()
        .enumerate()
        .flat_map(|(position, range)| parts_of(position, *range, amount, load))
        .filter(fits)
        .min_by(|left, right| {
            let by_load = busier(left).total_cmp(&busier(right));
            by_load.then(left.range.len().cmp(&right.range.len()))
        })
}

/// The whole range, and parts at both of its ends that carry about `amount`.
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
