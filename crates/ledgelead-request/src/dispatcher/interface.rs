//! What goes into a dispatcher and what comes out.

use crate::message::{DispatchReply, DispatchRequest};
use ledgelead_types::configuration::Configuration;
use ledgelead_types::dispatch::{
    DispatchedServer, IdempotencyOwner, IdempotencyState, IdempotencyVerdict, SliceLoad,
};
use ledgelead_types::protections::Protections;
use ledgelead_types::routes::GroupRoutes;
use ledgelead_types::server::LoadReport;
use ledgelead_types::{GroupId, IdempotencyKey, NodeId, ServerId};
use std::sync::Arc;

/// What a dispatcher knows from the start.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// This node.
    pub node: NodeId,
    /// Seed of its random decisions.
    pub random_seed: u64,
    /// All on, except in a simulation that proves its checker.
    pub protections: Protections,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatcherInput {
    /// A gateway's message.
    Message {
        /// Node of the gateway.
        from: NodeId,
        /// The message.
        message: DispatchRequest,
    },
    /// The whole set of a group's servers in this node's care.
    Servers {
        /// The group.
        group: GroupId,
        /// Its servers here.
        servers: Vec<DispatchedServer>,
    },
    /// A server in this node's care has another lease, other settings, or
    /// became silent or answers again. One that isn't in care is ignored.
    ServerChanged(DispatchedServer),
    /// Routes of a group; older ones than the present are refused.
    Routes(Arc<GroupRoutes>),
    /// A server told its load.
    ServerLoad {
        /// The server.
        server: ServerId,
        /// What it says.
        load: LoadReport,
    },
    /// A configuration; an older one than the present is refused.
    Configuration(Arc<Configuration>),
    /// A group answered [`DispatcherOutput::BeginIdempotencyRecord`].
    IdempotencyRecordDecided {
        /// Who asked.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// The answer.
        verdict: IdempotencyVerdict,
    },
    /// A gateway's node is lost; what it holds is free.
    GatewayLost(NodeId),
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatcherOutput {
    /// Send a message to a gateway; it may be lost.
    Reply {
        /// Node of the gateway.
        to: NodeId,
        /// The message.
        message: DispatchReply,
    },
    /// Have the group record that a request begins under a key. Repeated
    /// while no answer comes: the group answers
    /// [`IdempotencyVerdict::Fresh`] again to the owner of the record.
    BeginIdempotencyRecord {
        /// The group.
        group: GroupId,
        /// The request.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
    },
    /// Have the group record the end of the request, only if the record is
    /// this owner's.
    EndIdempotencyRecord {
        /// The group.
        group: GroupId,
        /// The request.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// How it ended; `None` removes the record, because the request was
        /// not run and never will be.
        state: Option<IdempotencyState>,
    },
}

/// Loads of the slices of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSliceLoads {
    /// The group.
    pub group: GroupId,
    /// The owner of the slices.
    pub server: ServerId,
    /// Its slices in the order of their positions.
    pub slices: Vec<SliceLoad>,
}
