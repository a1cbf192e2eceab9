//! Requests at simulated servers and records of their execution for the checker.

use ledgelead_types::request::{AttemptId, OwnershipClaim};
use ledgelead_types::server::ServerRefusal;
use ledgelead_types::{Member, ServerId, Span, TierId, Time};

/// Identifies an attempt across all nodes. Request numbers are unique only within one
/// incarnation of the node that accepted the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The node incarnation that sent the attempt.
    pub gateway: Member,
    /// The attempt within that incarnation.
    pub attempt: AttemptId,
}

/// A request that arrives at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerRequest {
    /// The attempt.
    pub key: AttemptKey,
    /// Number in the request body, which the answer repeats.
    pub body: u64,
    /// The ownership that the request claims for its key's owner.
    pub ownership: Option<OwnershipClaim>,
    /// Remaining time until the deadline at arrival.
    pub deadline: Span,
    /// Priority tier.
    pub tier: TierId,
    /// Execution time on a warm server.
    pub service_time: Span,
}

/// The result of an attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAnswer {
    /// Executed; the answer repeats the number in the body.
    Done {
        /// Number in the request body.
        body: u64,
    },
    /// Not started, and never will be.
    Refused(ServerRefusal),
    /// Cancelled during execution: part of it may have taken effect.
    Aborted,
}

/// An action that the driver of a simulated server must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAction {
    /// An execution started. [`super::server::ServerState::finish`] must be called after this
    /// span of the server's clock.
    Started {
        /// The attempt.
        key: AttemptKey,
        /// Duration of the execution.
        duration: Span,
    },
    /// An attempt ended; its result must be delivered to its sender.
    Ended {
        /// The attempt.
        key: AttemptKey,
        /// The result.
        answer: ServerAnswer,
    },
}

/// Record of an execution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Execution {
    /// The attempt.
    pub key: AttemptKey,
    /// Number in the request body.
    pub body: u64,
    /// Server that executed it.
    pub server: ServerId,
    /// Incarnation number of the server's process.
    pub run: u64,
    /// Position and token under which it was executed.
    pub ownership: Option<OwnershipClaim>,
    /// Start on the clock of the run.
    pub started: Time,
    /// End on the clock of the run; `None` during execution, or if the server died meanwhile.
    pub ended: Option<Time>,
}
