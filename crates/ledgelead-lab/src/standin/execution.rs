//! What a server stand-in records of the work it ran, for the checker.

use ledgelead_types::request::{AttemptId, OwnershipClaim};
use ledgelead_types::server::ServerRefusal;
use ledgelead_types::{Member, ServerId, Span, TierId, Time};

/// Identifies an attempt over all nodes: request numbers are unique only
/// within one run of the node that accepted the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// Node that sent the attempt, in one run of its process.
    pub gateway: Member,
    /// The attempt there.
    pub attempt: AttemptId,
}

/// A request as it arrives at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerRequest {
    /// The attempt.
    pub key: AttemptKey,
    /// Number that the caller put into its body; the answer repeats it.
    pub body: u64,
    /// What the request claims of its key's owner.
    pub ownership: Option<OwnershipClaim>,
    /// Time left until the deadline, on arrival.
    pub deadline: Span,
    /// Priority tier.
    pub tier: TierId,
    /// Time that a warm server needs to execute it.
    pub service_time: Span,
}

/// How a server ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAnswer {
    /// Executed; the answer repeats the body's number.
    Done {
        /// The body's number.
        body: u64,
    },
    /// Not started, and never will be.
    Refused(ServerRefusal),
    /// Cancelled while it executed: part of it may have taken effect.
    Aborted,
}

/// Something that the driver of a server stand-in has to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAction {
    /// An execution began; [`super::server::ServerState::finish`] has to be
    /// called after this span of the server's clock.
    Started {
        /// The attempt.
        key: AttemptKey,
        /// How long it takes.
        duration: Span,
    },
    /// An attempt ended; its sender is to be told.
    Ended {
        /// The attempt.
        key: AttemptKey,
        /// How.
        answer: ServerAnswer,
    },
}

/// One execution as the server recorded it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Execution {
    /// The attempt.
    pub key: AttemptKey,
    /// Number that the caller put into its body.
    pub body: u64,
    /// Server that executed it.
    pub server: ServerId,
    /// Run of the server's process.
    pub run: u64,
    /// Position and token under which it was executed.
    pub ownership: Option<OwnershipClaim>,
    /// Start, on the clock of the run.
    pub started: Time,
    /// End, on the clock of the run; `None` while it executes or when the
    /// server died during it.
    pub ended: Option<Time>,
}
