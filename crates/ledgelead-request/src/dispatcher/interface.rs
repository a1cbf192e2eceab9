//! Settings, inputs and outputs of the dispatcher.

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

/// Initial settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// This node.
    pub node: NodeId,
    /// Seed of its random decisions.
    pub random_seed: u64,
    /// Protections in force; all are on except in simulations that verify their checker.
    pub protections: Protections,
}

/// An input to the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatcherInput {
    /// A gateway's message.
    Message {
        /// Node of the gateway.
        from: NodeId,
        /// The message.
        message: DispatchRequest,
    },
    /// The complete set of a group's servers that this node dispatches.
    Servers {
        /// The group.
        group: GroupId,
        /// The group's servers dispatched here.
        servers: Vec<DispatchedServer>,
    },
    /// The lease, settings or responsiveness of a server dispatched by this node changed.
    /// Ignored for other servers.
    ServerChanged(DispatchedServer),
    /// Routes of a group; ignored if older than the current ones.
    Routes(Arc<GroupRoutes>),
    /// A server reported its load.
    ServerLoad {
        /// The server.
        server: ServerId,
        /// The report.
        load: LoadReport,
    },
    /// A configuration; ignored if older than the current one.
    Configuration(Arc<Configuration>),
    /// A group answered [`DispatcherOutput::BeginIdempotencyRecord`].
    IdempotencyRecordDecided {
        /// The request that asked.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// The answer.
        verdict: IdempotencyVerdict,
    },
    /// The node of a gateway is lost; its permits and permit requests are freed.
    GatewayLost(NodeId),
}

/// An action that the caller of the dispatcher has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatcherOutput {
    /// Send a message to a gateway. The message may be lost.
    Reply {
        /// Node of the gateway.
        to: NodeId,
        /// The message.
        message: DispatchReply,
    },
    /// Ask the group to record that a request begins under an idempotency key. Repeated
    /// until an answer arrives; the group answers [`IdempotencyVerdict::Fresh`] each time to
    /// the owner of the record.
    BeginIdempotencyRecord {
        /// The group.
        group: GroupId,
        /// The request.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
    },
    /// Ask the group to record the end of the request, which it does only if the record
    /// belongs to this owner.
    EndIdempotencyRecord {
        /// The group.
        group: GroupId,
        /// The request.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// How it ended. `None` removes the record, because the request was not run and
        /// never will be.
        state: Option<IdempotencyState>,
    },
}

/// Loads of one server's slices.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSliceLoads {
    /// The group.
    pub group: GroupId,
    /// The owner of the slices.
    pub server: ServerId,
    /// Its slices, ordered by position.
    pub slices: Vec<SliceLoad>,
}
