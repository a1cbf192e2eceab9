//! Alternative assigners that the planner is compared with.

mod bounded_loads;
mod greedy;
mod smoothed_loads;
mod static_hash;

pub use bounded_loads::BoundedLoads;
pub use greedy::Greedy;
pub use static_hash::StaticHash;

use crate::change::PlannedChange;
use crate::input::PlanInput;
use crate::planner::{PlannerMemory, plan, plan_owners};
use ledgelead_types::Time;
use ledgelead_types::assigner::AssignerChoice;

/// Plans an assignment in rounds.
pub trait Assigner {
    /// Plans one round.
    fn plan(&mut self, input: &PlanInput, now: Time) -> Vec<PlannedChange>;

    /// Plans owners only for slices without one, between two rounds.
    fn plan_owners(&mut self, input: &PlanInput, now: Time) -> Vec<PlannedChange> {
        let mut changes = self.plan(input, now);
        changes.retain(|change| matches!(change, PlannedChange::Assign { .. }));
        changes
    }
}

impl Assigner for PlannerMemory {
    fn plan(&mut self, input: &PlanInput, now: Time) -> Vec<PlannedChange> {
        plan(input, self, now)
    }

    fn plan_owners(&mut self, input: &PlanInput, now: Time) -> Vec<PlannedChange> {
        plan_owners(input, self, now)
    }
}

/// A new assigner without state from earlier rounds.
pub fn new_assigner(choice: AssignerChoice) -> Box<dyn Assigner> {
    match choice {
        AssignerChoice::Planner => Box::new(PlannerMemory::default()),
        AssignerChoice::StaticHash => Box::new(StaticHash),
        AssignerChoice::BoundedLoads => Box::new(BoundedLoads::default()),
        AssignerChoice::Greedy => Box::new(Greedy::default()),
        AssignerChoice::GreedyAboveTarget => Box::new(Greedy::above_target()),
    }
}
