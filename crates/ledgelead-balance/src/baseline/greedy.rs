//! A greedy rebalancer: moves whole slices from the server with the highest utilization to
//! the one with the lowest while this helps, with unlimited churn.

use crate::baseline::Assigner;
use crate::baseline::smoothed_loads::{SmoothedLoads, accepting, change_to};
use crate::change::PlannedChange;
use crate::input::{PlanInput, SliceState};
use ledgelead_types::{ServerId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum gain of a move, relative to the mean utilization, so that a round terminates and
/// noise alone causes no moves.
const MIN_GAIN: f64 = 0.01;

/// The baseline with its smoothed loads.
#[derive(Clone, Debug, Default)]
pub struct Greedy {
    loads: SmoothedLoads,
    waits_for_target: bool,
}

impl Greedy {
    /// A variant that makes no moves while the imbalance is within the policy's target.
    pub fn above_target() -> Greedy {
        Greedy {
            waits_for_target: true,
            ..Greedy::default()
        }
    }
}

impl Assigner for Greedy {
    fn plan(&mut self, input: &PlanInput, now: Time) -> Vec<PlannedChange> {
        self.loads.observe(input, now);
        let mut round = GreedyRound::new(&self.loads, input);
        round.place_unassigned();
        if self.waits_for_target && round.imbalance() <= input.policy.target_imbalance {
            return round.changes;
        }
        while round.move_best() {}
        round.changes
    }
}

struct GreedyRound<'a> {
    smoothed: &'a SmoothedLoads,
    input: &'a PlanInput,
    capacities: BTreeMap<ServerId, f64>,
    loads: BTreeMap<ServerId, f64>,
    moved: BTreeSet<usize>,
    changes: Vec<PlannedChange>,
}

impl<'a> GreedyRound<'a> {
    fn new(smoothed: &'a SmoothedLoads, input: &'a PlanInput) -> GreedyRound<'a> {
        GreedyRound {
            smoothed,
            input,
            capacities: accepting(input)
                .map(|server| (server.server, server.capacity))
                .collect(),
            loads: smoothed.by_server(input),
            moved: BTreeSet::new(),
            changes: Vec::new(),
        }
    }

    fn utilization(&self, server: ServerId) -> f64 {
        self.loads[&server] / self.capacities[&server]
    }

    fn mean(&self) -> f64 {
        self.loads.values().sum::<f64>() / self.capacities.values().sum::<f64>()
    }

    fn imbalance(&self) -> f64 {
        let fullest = self.extreme(-1.0);
        let mean = self.mean().max(f64::MIN_POSITIVE);
        fullest.map_or(0.0, |server| self.utilization(server)) / mean
    }

    fn extreme(&self, sign: f64) -> Option<ServerId> {
        let key = |server: &ServerId| sign * self.utilization(*server);
        self.loads
            .keys()
            .copied()
            .min_by(|a, b| key(a).total_cmp(&key(b)))
    }

    fn place_unassigned(&mut self) {
        for (index, slice) in self.input.slices.iter().enumerate() {
            let is_placed = slice.owner.is_some_and(|o| self.loads.contains_key(&o));
            if is_placed || slice.moving {
                continue;
            }
            if let Some(to) = self.extreme(1.0) {
                self.take(index, slice, to);
            }
        }
    }

    /// Applies the move with the largest gain; returns whether there was one.
    fn move_best(&mut self) -> bool {
        let (Some(from), Some(to)) = (self.extreme(-1.0), self.extreme(1.0)) else {
            return false;
        };
        let mean = self.loads.values().sum::<f64>() / self.capacities.values().sum::<f64>();
        let gain = |slice: &SliceState| {
            let load = self.smoothed.of(slice);
            let left = (self.loads[&from] - load) / self.capacities[&from];
            let taken = (self.loads[&to] + load) / self.capacities[&to];
            self.utilization(from) - left.max(taken)
        };
        let best = self
            .input
            .slices
            .iter()
            .enumerate()
            .filter(|(index, slice)| {
                slice.owner == Some(from) && !slice.moving && !self.moved.contains(index)
            })
            .max_by(|a, b| gain(a.1).total_cmp(&gain(b.1)))
            .filter(|(_, slice)| gain(slice) > MIN_GAIN * mean);
        let Some((index, slice)) = best else {
            return false;
        };
        self.take(index, slice, to);
        true
    }

    fn take(&mut self, index: usize, slice: &SliceState, to: ServerId) {
        let load = self.smoothed.of(slice);
        if let Some(from) = slice.owner.and_then(|owner| self.loads.get_mut(&owner)) {
            *from -= load;
        }
        if let Some(level) = self.loads.get_mut(&to) {
            *level += load;
        }
        self.moved.insert(index);
        self.changes.extend(change_to(slice, to));
    }
}
