//! Connects the leader to the planner of `ledgelead-balance`.

use super::{Leader, LeaderContext};
use crate::command::GroupCommand;
use crate::state::{GroupState, Slice, SlicePhase};
use ledgelead_balance::{PlanInput, PlannedChange, ServerState, SliceState, UNKNOWN_LOAD};
use ledgelead_types::dispatch::SliceLoad;
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::*;
use std::collections::BTreeMap;

/// Interval of the planner's rounds.
const PLAN_INTERVAL: Span = Span::from_seconds(1);

impl Leader {
    /// Proposes the planner's moves, splits and merges, once per second.
    pub(super) fn balance(&mut self, context: &LeaderContext, commands: &mut Vec<GroupCommand>) {
        if context.now < self.next_plan || context.state.slices.is_empty() {
            return;
        }
        self.next_plan = context.now + PLAN_INTERVAL;
        let Some(input) = self.plan_input(context) else {
            return;
        };
        // The order of the planner is kept, because a later change may refer to a range
        // that an earlier split creates.
        let changes = self.assigner.plan(&input, context.now);
        commands.extend(changes.into_iter().filter_map(command_of));
    }

    /// Owners that the planner proposes for ownerless slices.
    pub(super) fn planned_owners(
        &mut self,
        context: &LeaderContext,
    ) -> BTreeMap<PositionRange, ServerId> {
        let Some(input) = self.plan_input(context) else {
            return BTreeMap::new();
        };
        let owner = |change| match change {
            PlannedChange::Assign { range, to } => Some((range, to)),
            _ => None,
        };
        let changes = self.assigner.plan_owners(&input, context.now);
        changes.into_iter().filter_map(owner).collect()
    }

    fn plan_input(&self, context: &LeaderContext) -> Option<PlanInput> {
        let service = context.service()?;
        Some(PlanInput {
            slices: self.slice_states(context.state),
            servers: self.server_states(context.state),
            policy: service.balance,
        })
    }

    fn slice_states(&self, state: &GroupState) -> Vec<SliceState> {
        let loads = self.loads_by_range(state);
        let slice_state = |slice: &Slice| {
            let load = loads.get(&slice.range);
            SliceState {
                range: slice.range,
                owner: slice.phase.holder(),
                requests_per_second: load.map_or(UNKNOWN_LOAD, |load| load.requests_per_second),
                hottest: load.and_then(|load| load.hottest),
                moving: self.is_immovable(state, slice),
            }
        };
        state.slices.iter().map(slice_state).collect()
    }

    /// Whether the planner must not move a slice: it moves only slices with responsive
    /// owners. Slices of draining servers are moved without the planner, and those of
    /// unresponsive servers have to wait for the lease to end.
    fn is_immovable(&self, state: &GroupState, slice: &Slice) -> bool {
        match slice.phase {
            SlicePhase::Free => false,
            SlicePhase::Releasing { .. } => true,
            SlicePhase::Held { owner } => !self.accepts(state, owner),
        }
    }

    fn server_states(&self, state: &GroupState) -> Vec<ServerState> {
        let alive = state.servers.iter().filter(|(_, server)| {
            matches!(server.status, ServerStatus::Active | ServerStatus::Draining)
        });
        alive
            .map(|(id, server)| ServerState {
                server: *id,
                zone: server.definition.zone,
                capacity: f64::from(server.definition.slots.max(1)),
                accepting: self.accepts(state, *id),
                cold: self
                    .latest_reports
                    .get(id)
                    .is_some_and(|latest| latest.load.report.cold),
            })
            .collect()
    }

    /// Load of each slice, as counted by the dispatcher of its current holder.
    pub(super) fn loads_by_range(&self, state: &GroupState) -> BTreeMap<PositionRange, SliceLoad> {
        let mut loads = BTreeMap::new();
        for (id, latest) in &self.latest_reports {
            for load in &latest.load.slices {
                let slice = state.slices.exact(load.range);
                let holder = slice.and_then(|slice| slice.phase.holder());
                if holder == Some(*id) {
                    loads.insert(load.range, *load);
                }
            }
        }
        loads
    }

    /// The busiest server's load per slot divided by the mean load per slot; `None` without
    /// load.
    pub fn imbalance(&self, state: &GroupState) -> Option<f64> {
        let loads = self.loads_by_range(state);
        let mut by_server: BTreeMap<ServerId, f64> = BTreeMap::new();
        for (id, server) in &state.servers {
            if server.status == ServerStatus::Active {
                by_server.insert(*id, 0.0);
            }
        }
        for slice in state.slices.iter() {
            let owner = slice.phase.holder();
            let load = loads.get(&slice.range);
            let sum = owner.and_then(|owner| by_server.get_mut(&owner));
            if let (Some(sum), Some(load)) = (sum, load) {
                *sum += load.requests_per_second;
            }
        }
        let relative = by_server
            .iter()
            .map(|(id, load)| load / f64::from(state.servers[id].definition.slots.max(1)));
        let busiest = relative.clone().fold(0.0, f64::max);
        let mean = relative.sum::<f64>() / by_server.len() as f64;
        (mean > 0.0).then(|| busiest / mean)
    }
}

fn command_of(change: PlannedChange) -> Option<GroupCommand> {
    match change {
        // Ownerless slices are placed by another duty in the same pass.
        PlannedChange::Assign { .. } => None,
        PlannedChange::Move { range, from, to } => Some(GroupCommand::Release { range, from, to }),
        PlannedChange::Split { at, .. } => Some(GroupCommand::Split { at }),
        PlannedChange::Merge { first, second } => Some(GroupCommand::Merge { first, second }),
    }
}
