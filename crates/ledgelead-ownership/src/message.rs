//! Messages between the replicas of a group.

use crate::session::SessionStatus;
use ledgelead_replication::ReplicationMessage;
use ledgelead_types::administration::{CommandResult, GroupOperation};
use ledgelead_types::dispatch::{
    IdempotencyOwner, IdempotencyState, IdempotencyVerdict, SliceLoad,
};
use ledgelead_types::server::LoadReport;
use ledgelead_types::*;
use nanoserde::{DeBin, SerBin};

/// A message from one replica of a group to another.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum GroupMessage {
    /// Elections, heartbeats and log replication.
    Replication(ReplicationMessage),
    /// A dispatcher's report on its servers to the leader.
    Report(DispatcherReport),
    /// Requests of a replica to the leader.
    Requests(List<NumberedRequest>),
    /// The leader's answers.
    Answers(List<NumberedAnswer>),
}

impl GroupMessage {
    /// Whether the message exists only because of callers' requests under idempotency keys:
    /// to begin or end one, to replicate that, or to answer. A heartbeat that was due
    /// anyway does not count.
    pub fn is_idempotency_traffic(&self) -> bool {
        match self {
            GroupMessage::Replication(message) => message.is_lazy(),
            GroupMessage::Report(_) => false,
            GroupMessage::Requests(asked) => asked
                .iter()
                .all(|asked| !matches!(asked.request, GroupRequest::Operate { .. })),
            GroupMessage::Answers(answered) => answered.iter().all(|answered| {
                matches!(
                    answered.answer,
                    GroupAnswer::Idempotency(_) | GroupAnswer::Ended
                )
            }),
        }
    }
}

/// A numbered request to the leader.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct NumberedRequest {
    /// Number assigned by the sender, which identifies the answer.
    pub number: u64,
    /// The request.
    pub request: GroupRequest,
}

/// The leader's answer to a numbered request.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct NumberedAnswer {
    /// The number of the request.
    pub number: u64,
    /// The answer.
    pub answer: GroupAnswer,
}

/// A dispatcher's report to the leader.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct DispatcherReport {
    /// Term in which it was sent; the leader of another one ignores it.
    pub term: Term,
    /// Latest entry that the dispatcher has applied.
    pub applied: Revision,
    /// The node is stopping: its servers should go to other dispatchers.
    pub stopping: bool,
    /// Servers with something to report.
    pub servers: List<ServerReport>,
}

/// A dispatcher's report on one server.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ServerReport {
    /// The server.
    pub server: ServerId,
    /// State of the session.
    pub status: SessionStatus,
    /// Load, about once a second.
    pub load: Option<ServerLoad>,
}

/// Load of one server.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct ServerLoad {
    /// Load reported by the server.
    pub report: LoadReport,
    /// Load counted by the dispatcher.
    pub slices: List<SliceLoad>,
}

/// A request that only the leader can decide.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum GroupRequest {
    /// An operator's operation.
    Operate {
        /// Chosen by the operator.
        command_id: Text,
        /// What to do.
        operation: GroupOperation,
    },
    /// Begins a request under an idempotency key.
    BeginIdempotencyRecord {
        /// The requester.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
    },
    /// Ends a request under an idempotency key.
    EndIdempotencyRecord {
        /// The requester.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// How it ended; `None` if it was not executed.
        state: Option<IdempotencyState>,
    },
}

/// Answer to a [`GroupRequest`].
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum GroupAnswer {
    /// An operation ended.
    Operated(CommandResult),
    /// A request to begin under an idempotency key was decided.
    Idempotency(IdempotencyVerdict),
    /// The end of a request was recorded.
    Ended,
    /// The replica is not the leader and made no decision.
    NotLeader,
}
