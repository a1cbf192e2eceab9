//! Routes: the part of a group's state that gateways need.

use crate::state::{GroupState, Server, Slice, SlicePhase};
use ledgelead_types::routes::{GroupRoutes, ServerRoute, SliceRoute};
use ledgelead_types::*;

/// The routes for a state. A slice that is being released has no owner in the routes, so
/// gateways hold its requests.
pub fn routes_of(
    group: GroupId,
    state: &GroupState,
    leader: Member,
    members: &[Member],
) -> GroupRoutes {
    let servers = state.servers.values();
    GroupRoutes {
        group,
        version: FencingToken {
            epoch: state.epoch,
            term: state.term,
            revision: state.applied,
        },
        leader,
        members: members.to_vec().into(),
        slices: state.slices.iter().map(slice_route).collect(),
        servers: servers.map(|server| server_route(server, leader)).collect(),
    }
}

/// Whether two versions of the routes have the same content.
pub fn same_content(one: &GroupRoutes, other: &GroupRoutes) -> bool {
    let same_term =
        one.version.epoch == other.version.epoch && one.version.term == other.version.term;
    same_term
        && one.leader == other.leader
        && one.members == other.members
        && one.slices == other.slices
        && one.servers == other.servers
}

fn slice_route(slice: &Slice) -> SliceRoute {
    let owner = match slice.phase {
        SlicePhase::Held { owner } => Some(owner),
        SlicePhase::Free | SlicePhase::Releasing { .. } => None,
    };
    SliceRoute {
        range: slice.range,
        owner,
        token: slice.token,
    }
}

fn server_route(server: &Server, leader: Member) -> ServerRoute {
    let definition = &server.definition;
    ServerRoute {
        server: definition.server,
        zone: definition.zone,
        address: definition.address.clone(),
        status: server.status,
        dispatcher: server.dispatcher.unwrap_or(leader).node,
        slots: definition.slots,
        max_connections: definition.max_connections,
    }
}
