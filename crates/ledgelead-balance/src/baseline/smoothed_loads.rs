//! Loads smoothed in the same way as in the planner, so that the baselines don't react to
//! noise that the planner does not see.

use crate::change::PlannedChange;
use crate::input::{PlanInput, ServerState, SliceState};
use crate::planner::SMOOTHING_TIME_CONSTANT;
use crate::rate::Rate;
use ledgelead_types::{Position, ServerId, Time};
use std::collections::BTreeMap;

/// Smoothed loads of slices, in requests per second.
#[derive(Clone, Debug, Default)]
pub struct SmoothedLoads {
    loads: BTreeMap<Position, Rate>,
    latest: Option<Time>,
}

impl SmoothedLoads {
    /// Applies the loads of one round.
    pub fn observe(&mut self, input: &PlanInput, now: Time) {
        let elapsed = now.since(self.latest.unwrap_or(now)).as_seconds();
        let part = 1.0 - (-elapsed / SMOOTHING_TIME_CONSTANT.as_seconds()).exp();
        self.latest = Some(now);
        for slice in &input.slices {
            let Some(load) = slice.reported() else {
                continue;
            };
            let smoothed = self.loads.entry(slice.range.first).or_insert(load);
            *smoothed = smoothed.approached(load, part);
        }
    }

    /// Smoothed load of a slice.
    pub fn of(&self, slice: &SliceState) -> f64 {
        let load = self.loads.get(&slice.range.first);
        load.copied().unwrap_or_default().as_per_second()
    }

    /// Sum of the slice loads of each accepting server.
    pub fn by_server(&self, input: &PlanInput) -> BTreeMap<ServerId, f64> {
        let mut loads: BTreeMap<ServerId, f64> = accepting(input)
            .map(|server| (server.server, 0.0))
            .collect();
        for slice in &input.slices {
            if let Some(load) = slice.owner.and_then(|owner| loads.get_mut(&owner)) {
                *load += self.of(slice);
            }
        }
        loads
    }
}

/// The servers that accept slices.
pub fn accepting(input: &PlanInput) -> impl Iterator<Item = &ServerState> {
    input.servers.iter().filter(|server| server.accepting)
}

/// The change that assigns a slice to `to`; `None` if `to` already owns it.
pub fn change_to(slice: &SliceState, to: ServerId) -> Option<PlannedChange> {
    let range = slice.range;
    match slice.owner {
        None => Some(PlannedChange::Assign { range, to }),
        Some(from) if from != to => Some(PlannedChange::Move { range, from, to }),
        Some(_) => None,
    }
}
