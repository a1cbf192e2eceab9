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
    /// Elections, heartbeats and the log.
    Replication(ReplicationMessage),
    /// A dispatcher tells the leader of its servers.
    Report(DispatcherReport),
    /// A replica hands requests to the leader.
    Requests(List<NumberedRequest>),
    /// The leader's answers.
    Answers(List<NumberedAnswer>),
}

impl GroupMessage {
    /// Whether the message is only there because of callers' requests under
    /// idempotency keys: the wish to begin one, its end, their replication and
    /// the answers. A heartbeat that was due anyway is not.
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

/// A request on its way to the leader.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct NumberedRequest {
    /// Names the answer; counted by the sender.
    pub number: u64,
    /// The request.
    pub request: GroupRequest,
}

/// An answer on its way back.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct NumberedAnswer {
    /// The number asked under.
    pub number: u64,
    /// The answer.
    pub answer: GroupAnswer,
}

/// What a dispatcher tells the leader.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct DispatcherReport {
    /// Term in which it was sent; the leader of another one ignores it.
    pub term: Term,
    /// Latest entry that the dispatcher has applied.
    pub applied: Revision,
    /// The node is stopping: its servers should go to other dispatchers.
    pub stopping: bool,
    /// Servers of which there is something to tell.
    pub servers: List<ServerReport>,
}

/// What a dispatcher tells of one server.
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
    /// What the server says itself.
    pub report: LoadReport,
    /// What the dispatcher counts.
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
    BeginIdempotent {
        /// Who asks.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
    },
    /// Ends it; `None` when it was not run.
    EndIdempotent {
        /// Who asks.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// How it ended.
        state: Option<IdempotencyState>,
    },
}

/// Answer to a [`GroupRequest`].
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum GroupAnswer {
    /// An operation ended.
    Operated(CommandResult),
    /// A wish to begin was decided.
    Idempotency(IdempotencyVerdict),
    /// The end of a request was recorded.
    Ended,
    /// The asked replica doesn't lead; nothing was decided by it.
    NotLeader,
}
