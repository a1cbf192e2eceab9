//! Inputs and outputs of [`crate::GroupReplica`].

use crate::message::GroupMessage;
use ledgelead_types::administration::{CommandResult, GroupOperation};
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::configuration::Configuration;
use ledgelead_types::dispatch::*;
use ledgelead_types::event::Event;
use ledgelead_types::protections::Protections;
use ledgelead_types::routes::{GroupRecord, GroupRoutes};
use ledgelead_types::server::{LeaseRenewal, RenewalReply};
use ledgelead_types::*;
use std::sync::Arc;

/// Initial settings of a group replica.
#[derive(Clone, Debug)]
pub struct GroupReplicaSettings {
    /// This node and the incarnation of its process.
    pub identity: Member,
    /// The group's record, as stored on the platform.
    pub record: GroupRecord,
    /// Seed of every random decision.
    pub random_seed: u64,
    /// Safety checks. All are on, except in simulations that verify that a checker detects
    /// a missing one.
    pub protections: Protections,
    /// The assigner: the planner, except in experiments that compare it with others.
    pub assigner: AssignerChoice,
}

/// An input event.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupInput {
    /// A message from another replica arrived.
    Message {
        /// The sender.
        from: Member,
        /// The message.
        message: GroupMessage,
    },
    /// A call to a server ended.
    ServerReplied {
        /// The server.
        server: ServerId,
        /// The sequence number from [`GroupOutput::Renew`].
        sequence: u64,
        /// The answer; `None` when the call failed.
        reply: Option<RenewalReply>,
    },
    /// A newer configuration is active on this node.
    Configuration(Arc<Configuration>),
    /// The live nodes, as known to the membership.
    LiveNodes(Vec<LiveNode>),
    /// Load of a server's slices, as counted by this node's request dispatcher.
    SliceLoads {
        /// The server.
        server: ServerId,
        /// Load of each slice.
        loads: Vec<SliceLoad>,
    },
    /// Gateways observed failed requests at a server.
    ServerEvidence {
        /// The server.
        server: ServerId,
        /// Number of failures since the last such input.
        failures: u32,
    },
    /// An operator's operation.
    Operate {
        /// Identifies the result.
        ticket: u64,
        /// Chosen by the operator.
        command_id: Text,
        /// What to do.
        operation: GroupOperation,
    },
    /// Asks to begin a request under an idempotency key.
    BeginIdempotencyRecord {
        /// The requester.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
    },
    /// A request under an idempotency key ended.
    EndIdempotencyRecord {
        /// The requester that began it.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// How it ended.
        state: IdempotencyState,
    },
    /// A request under an idempotency key was not executed, so its key is freed.
    CancelIdempotencyRecord {
        /// The requester that began it.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
    },
    /// A snapshot was stored in the platform's store.
    SnapshotStored {
        /// Its log position.
        revision: Revision,
    },
    /// The node is stopping: transfers leadership and dispatching to other nodes.
    TransferLeadership,
}

/// An action to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupOutput {
    /// Send a message to another replica. The message may be lost.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: GroupMessage,
    },
    /// Renew a server's lease.
    Renew {
        /// The server.
        server: ServerId,
        /// Its `IP:port`.
        address: Text,
        /// Identifies the end of the call.
        sequence: u64,
        /// The renewal.
        renewal: LeaseRenewal,
    },
    /// The leader's routes changed.
    Routes(GroupRoutes),
    /// Store the group's record under its epoch. The store may lag behind the log.
    StoreSnapshot(GroupRecord, Revision),
    /// An operation ended.
    OperationFinished {
        /// The operation.
        ticket: u64,
        /// The result.
        result: CommandResult,
    },
    /// A request to begin under an idempotency key was decided.
    IdempotencyRecordDecided {
        /// The requester.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// The verdict.
        verdict: IdempotencyVerdict,
    },
    /// The servers assigned to this node from now on.
    Dispatch(Vec<DispatchedServer>),
    /// The lease or the responsiveness of an assigned server changed.
    DispatchChanged(DispatchedServer),
    /// An event for logs and metrics.
    Event(Event),
}
