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
/// Smallest part of an instance's capacity worth a move.
const SMALLEST_MOVE: f64 = 0.1;
/// A part may carry this much less, or more, than the amount that would even
/// out the two instances.
const LEAST_OF_AMOUNT: f64 = 0.25;
/// See above.
const MOST_OF_AMOUNT: f64 = 1.6;
/// Most moves planned at once.
const MAX_MOVES: usize = 4;

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
    pub takes_keys: bool,
    /// Requests a second of keys on their way to it.
    pub incoming: f64,
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

struct Standing {
    candidate: Candidate,
    rate: f64,
}

impl Standing {
    fn utilisation(&self) -> f64 {
        (self.rate + self.candidate.incoming) / self.candidate.capacity
    }
}

/// The moves that are worth their price now.
pub fn plan(candidates: Vec<Candidate>, load: &KeyLoad) -> Vec<PlannedMove> {
    let mut standings: Vec<Standing> = candidates
        .into_iter()
        .map(|candidate| Standing {
            rate: candidate.ranges.iter().map(|range| load.rate(*range)).sum(),
            candidate,
        })
        .collect();
    let mut moves = Vec::new();
    while moves.len() < MAX_MOVES {
        let Some(planned) = next_move(&mut standings, load) else {
            break;
        };
        moves.push(planned);
    }
    moves
}

fn next_move(standings: &mut [Standing], load: &KeyLoad) -> Option<PlannedMove> {
    let capacity: f64 = standings
        .iter()
        .map(|standing| standing.candidate.capacity)
        .sum();
    let rate: f64 = standings
        .iter()
        .map(|standing| standing.rate + standing.candidate.incoming)
        .sum();
    let mean = rate / capacity;
    let busiest = index_by(standings, |standing| {
        (!standing.candidate.ranges.is_empty()).then(|| standing.utilisation())
    })?;
    let idlest = index_by(standings, |standing| {
        standing
            .candidate
            .takes_keys
            .then(|| -standing.utilisation())
    })?;
    let high = standings[busiest].utilisation();
    let low = standings[idlest].utilisation();
    let worthwhile = high > BUSY_UTILISATION && high > mean * IMBALANCE && busiest != idlest;
    if !worthwhile {
        return None;
    }
    let excess = (high - mean) * standings[busiest].candidate.capacity;
    let room = (high - low) / 2.0 * standings[idlest].candidate.capacity;
    let amount = excess.min(room);
    if amount < SMALLEST_MOVE * standings[idlest].candidate.capacity {
        return None;
    }
    let (position, part, carried) = best_part(&standings[busiest].candidate.ranges, amount, load)?;
    let source = &mut standings[busiest];
    source.rate -= carried;
    remove_part(&mut source.candidate.ranges, position, part);
    let from = source.candidate.id.clone();
    standings[idlest].candidate.incoming += carried;
    Some(PlannedMove {
        from,
        to: standings[idlest].candidate.id.clone(),
        range: part,
    })
}

fn index_by(standings: &[Standing], score: impl Fn(&Standing) -> Option<f64>) -> Option<usize> {
    standings
        .iter()
        .enumerate()
        .filter_map(|(index, standing)| Some((index, score(standing)?)))
        .max_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(index, _)| index)
}

/// The part of one of the ranges whose load is nearest to `amount`.
fn best_part(ranges: &[KeyRange], amount: f64, load: &KeyLoad) -> Option<(usize, KeyRange, f64)> {
    let mut best: Option<(usize, KeyRange, f64)> = None;
    for (index, range) in ranges.iter().enumerate() {
        let mut parts = vec![(*range, load.rate(*range))];
        parts.extend(load.cuts(*range, amount, true));
        parts.extend(load.cuts(*range, amount, false));
        for (part, carried) in parts {
            if carried < amount * LEAST_OF_AMOUNT || carried > amount * MOST_OF_AMOUNT {
                continue;
            }
            let distance = (carried - amount).abs();
            let smaller = |(_, other, other_carried): &(usize, KeyRange, f64)| {
                let other_distance = (other_carried - amount).abs();
                distance < other_distance - f64::EPSILON
                    || (distance <= other_distance && part.len() < other.len())
            };
            if best.as_ref().is_none_or(smaller) {
                best = Some((index, part, carried));
            }
        }
    }
    best
}

fn remove_part(ranges: &mut Vec<KeyRange>, position: usize, part: KeyRange) {
    let range = ranges.remove(position);
    if range.first < part.first {
        ranges.push(KeyRange {
            first: range.first,
            last: part.first - 1,
        });
    }
    if part.last < range.last {
        ranges.push(KeyRange {
            first: part.last + 1,
            last: range.last,
        });
    }
}
