//! Initial slices, placement of ownerless slices, and moves off draining servers.

use super::{Leader, LeaderContext};
use crate::command::GroupCommand;
use crate::state::{GroupState, Server, SlicePhase};
use ledgelead_types::dispatch::SliceLoad;
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::*;
use std::collections::BTreeMap;

/// Maximum number of concurrent planned moves; keeps the number of slices that wait at the
/// same time small.
const MAXIMUM_MOVES: usize = 8;

/// How long the first placement waits for unresponsive servers.
const FIRST_PLACEMENT_WAIT: Span = Span::from_millis(400);

/// Load and slices that a server has or is to get.
#[derive(Clone, Copy, Debug, Default)]
struct AssignedLoad {
    slots: f64,
    requests_per_second: f64,
    slices: usize,
}

impl AssignedLoad {
    /// Sort key: by load, then by number of slices.
    fn rank(&self) -> (f64, usize) {
        (self.requests_per_second / self.slots, self.slices)
    }

    fn add(&mut self, requests_per_second: f64) {
        self.requests_per_second += requests_per_second;
        self.slices += 1;
    }
}

/// Load and slices that each accepting server has or is to get.
struct AssignedLoads {
    by_server: BTreeMap<ServerId, AssignedLoad>,
    loads: BTreeMap<PositionRange, SliceLoad>,
}

impl AssignedLoads {
    fn of(leader: &Leader, state: &GroupState) -> AssignedLoads {
        let accepting = state
            .servers
            .iter()
            .filter(|(id, _)| leader.accepts(state, **id));
        let empty = |server: &Server| AssignedLoad {
            slots: f64::from(server.definition.slots.max(1)),
            ..AssignedLoad::default()
        };
        let mut assigned = AssignedLoads {
            by_server: accepting.map(|(id, server)| (*id, empty(server))).collect(),
            loads: leader.loads_by_range(state),
        };
        for slice in state.slices.iter() {
            let owner = match slice.phase {
                SlicePhase::Free => None,
                SlicePhase::Held { owner } => Some(owner),
                SlicePhase::Releasing { to, .. } => Some(to),
            };
            let load = assigned.load_of(slice.range);
            if let Some(total) = owner.and_then(|owner| assigned.by_server.get_mut(&owner)) {
                total.add(load);
            }
        }
        assigned
    }

    fn load_of(&self, range: PositionRange) -> f64 {
        let load = self.loads.get(&range);
        load.map_or(0.0, |load| load.requests_per_second)
    }

    /// Chooses the least loaded server and adds the slice to it.
    fn assign_to_least_loaded(&mut self, range: PositionRange) -> Option<ServerId> {
        let load = self.load_of(range);
        let (server, total) = self.by_server.iter_mut().min_by(|(_, left), (_, right)| {
            let (left, right) = (left.rank(), right.rank());
            left.0.total_cmp(&right.0).then(left.1.cmp(&right.1))
        })?;
        total.add(load);
        Some(*server)
    }
}

impl Leader {
    /// Divides the group's position space once its first servers are known.
    pub(super) fn create_slices(&self, context: &LeaderContext, commands: &mut Vec<GroupCommand>) {
        let (Some(space), Some(service)) = (context.space(), context.service()) else {
            return;
        };
        let servers = context.state.servers.len();
        if !context.state.slices.is_empty() || servers == 0 {
            return;
        }
        let servers = u32::try_from(servers).unwrap_or(u32::MAX);
        let count = u32::from(service.slices_per_server.max(1)).saturating_mul(servers);
        commands.push(GroupCommand::CreateSlices { space, count });
    }

    /// Assigns every ownerless slice to an accepting server: the one chosen by the planner,
    /// or else the least loaded one.
    pub(super) fn place_free_slices(
        &mut self,
        context: &LeaderContext,
        commands: &mut Vec<GroupCommand>,
    ) {
        let state = context.state;
        let free: Vec<PositionRange> = state
            .slices
            .iter()
            .filter(|slice| slice.phase == SlicePhase::Free)
            .map(|slice| slice.range)
            .collect();
        if free.is_empty() || self.waits_for_servers(context) {
            return;
        }
        let planned = self.planned_owners(context);
        let mut assigned = AssignedLoads::of(self, state);
        for range in free {
            let planned = planned.get(&range).copied();
            if let Some(to) = planned.or_else(|| assigned.assign_to_least_loaded(range)) {
                commands.push(GroupCommand::Assign { range, to });
            }
        }
    }

    /// The first placement waits for all servers to respond, so that the first one doesn't
    /// get all slices.
    fn waits_for_servers(&mut self, context: &LeaderContext) -> bool {
        let state = context.state;
        let mut slices = state.slices.iter();
        let any_owned = slices.any(|slice| slice.phase != SlicePhase::Free);
        let all_accept = state.servers.keys().all(|id| self.accepts(state, *id));
        if any_owned || all_accept {
            return false;
        }
        let until = *self
            .first_placement
            .get_or_insert(context.now + FIRST_PLACEMENT_WAIT);
        self.awaits_deadline |= context.now < until;
        context.now < until
    }

    /// Starts planned moves off draining servers, a few at a time.
    pub(super) fn move_off_draining_servers(
        &self,
        context: &LeaderContext,
        commands: &mut Vec<GroupCommand>,
    ) {
        let state = context.state;
        let mut statuses = state.servers.values().map(|server| server.status);
        if !statuses.any(|status| status == ServerStatus::Draining) {
            return;
        }
        let mut room = MAXIMUM_MOVES.saturating_sub(moves_under_way(state));
        let mut assigned = AssignedLoads::of(self, state);
        for slice in state.slices.iter() {
            let SlicePhase::Held { owner } = slice.phase else {
                continue;
            };
            let draining = state
                .servers
                .get(&owner)
                .is_some_and(|server| server.status == ServerStatus::Draining);
            if !draining {
                continue;
            }
            if room == 0 {
                return;
            }
            let Some(to) = assigned.assign_to_least_loaded(slice.range) else {
                return;
            };
            room -= 1;
            commands.push(GroupCommand::Release {
                range: slice.range,
                from: owner,
                to,
            });
        }
    }
}

fn moves_under_way(state: &GroupState) -> usize {
    let moving = |phase| matches!(phase, SlicePhase::Releasing { .. });
    state
        .slices
        .iter()
        .filter(|slice| moving(slice.phase))
        .count()
}
