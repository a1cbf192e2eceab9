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

/// What a replica of a group starts from.
#[derive(Clone, Debug)]
pub struct GroupReplicaSettings {
    /// This run of this node's process.
    pub identity: Member,
    /// The group's record as the platform holds it.
    pub record: GroupRecord,
    /// Seed of every random decision.
    pub random_seed: u64,
    /// All on, except in a simulation that proves its checker.
    pub protections: Protections,
    /// The planner, except in an experiment that compares it with others.
    pub assigner: AssignerChoice,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupInput {
    /// A message of another replica arrived.
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
        /// The call's number in [`GroupOutput::Renew`].
        sequence: u64,
        /// The answer; `None` when the call failed.
        reply: Option<RenewalReply>,
    },
    /// A newer configuration is in force on this node.
    Configuration(Arc<Configuration>),
    /// The nodes that live, as the membership sees them.
    LiveNodes(Vec<LiveNode>),
    /// Load of a server's slices, as this node's request dispatcher counts.
    SliceLoads {
        /// The server.
        server: ServerId,
        /// Load of each slice.
        loads: Vec<SliceLoad>,
    },
    /// Gateways saw requests fail at a server.
    ServerEvidence {
        /// The server.
        server: ServerId,
        /// How many since the last such input.
        failures: u32,
    },
    /// An operator's operation.
    Operate {
        /// Names the end of the operation.
        ticket: u64,
        /// Chosen by the operator.
        command_id: Text,
        /// What to do.
        operation: GroupOperation,
    },
    /// A request wants to begin under an idempotency key.
    BeginIdempotent {
        /// Who asks.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
    },
    /// Such a request ended.
    EndIdempotent {
        /// Who began it.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// How it ended.
        state: IdempotencyState,
    },
    /// Such a request was not run: its key is free again.
    CancelIdempotent {
        /// Who began it.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
    },
    /// A snapshot reached the platform's store.
    SnapshotStored {
        /// Its log position.
        revision: Revision,
    },
    /// The node is stopping: lead no more, and let others dispatch.
    TransferLeadership,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupOutput {
    /// Send a message to another replica; it may be lost.
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
        /// Names the call's end.
        sequence: u64,
        /// What to send.
        renewal: LeaseRenewal,
    },
    /// The leader's routes changed.
    Routes(GroupRoutes),
    /// Store the group's record under its epoch, behind the log.
    StoreSnapshot(GroupRecord, Revision),
    /// An operation ended.
    OperationFinished {
        /// The operation.
        ticket: u64,
        /// How.
        result: CommandResult,
    },
    /// A wish to begin was decided.
    IdempotencyDecided {
        /// Who asked.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// The verdict.
        verdict: IdempotencyVerdict,
    },
    /// The servers in this node's care from now on.
    Dispatch(Vec<DispatchedServer>),
    /// One of them has another lease, or became silent or answers again.
    DispatchChanged(DispatchedServer),
    /// Something worth a log line or a metric.
    Event(Event),
}
