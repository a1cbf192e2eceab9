//! The outcome of a request as reported to its caller, and the evidence for it.

use nanoserde::{DeBin, SerBin};
use std::fmt;

/// The outcome of a request. Every request that a node accepts ends in exactly one of these
/// three.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum Outcome {
    /// The complete answer of a server was delivered to the caller.
    Answered,
    /// No server started the request, and none will.
    NotRun(NotRunReason),
    /// A server may have started the request.
    Unknown(UnknownReason),
}

/// Why a request was not run. There is evidence for each reason: the request was never
/// written to a server, or the server itself stated that it did not start it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum NotRunReason {
    /// No service of this name.
    UnknownService,
    /// The credential is missing or unknown.
    Unauthorized,
    /// The request is malformed: a header is missing, contradictory or too large.
    BadRequest,
    /// The caller exceeds its rate or concurrency limit.
    LimitExceeded,
    /// The queue is full, and the request may not displace any that are queued.
    Overloaded,
    /// The request can't finish by its deadline.
    DeadlineTooClose,
    /// The key has no owner at present, or no server of the service is usable.
    NoServer,
    /// The caller disconnected before the request was sent to a server.
    CallerGone,
    /// The node is stopping.
    Stopping,
    /// A request with the same idempotency key is running.
    DuplicateInProgress,
}

/// Why it is not known whether a request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum UnknownReason {
    /// The connection failed after the first byte was written.
    ConnectionLost,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// The answer was truncated, malformed or too large.
    BadAnswer,
    /// The outcome of an earlier request with the same idempotency key is unknown.
    EarlierAttemptUnknown,
    /// An earlier request with the same idempotency key was run and answered, but this node
    /// does not have the answer.
    AnswerNotHeld,
    /// The caller disconnected after the request was sent.
    CallerGone,
}

impl NotRunReason {
    /// All reasons, for metrics and documentation.
    pub const ALL: [NotRunReason; 10] = [
        NotRunReason::UnknownService,
        NotRunReason::Unauthorized,
        NotRunReason::BadRequest,
        NotRunReason::LimitExceeded,
        NotRunReason::Overloaded,
        NotRunReason::DeadlineTooClose,
        NotRunReason::NoServer,
        NotRunReason::CallerGone,
        NotRunReason::Stopping,
        NotRunReason::DuplicateInProgress,
    ];

    /// Stable name, used in headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            NotRunReason::UnknownService => "unknown-service",
            NotRunReason::Unauthorized => "unauthorized",
            NotRunReason::BadRequest => "bad-request",
            NotRunReason::LimitExceeded => "limit-exceeded",
            NotRunReason::Overloaded => "overloaded",
            NotRunReason::DeadlineTooClose => "deadline-too-close",
            NotRunReason::NoServer => "no-server",
            NotRunReason::CallerGone => "caller-gone",
            NotRunReason::Stopping => "stopping",
            NotRunReason::DuplicateInProgress => "duplicate-in-progress",
        }
    }
}

impl UnknownReason {
    /// Stable name, used in headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            UnknownReason::ConnectionLost => "connection-lost",
            UnknownReason::DeadlinePassed => "deadline-passed",
            UnknownReason::BadAnswer => "bad-answer",
            UnknownReason::EarlierAttemptUnknown => "earlier-attempt-unknown",
            UnknownReason::AnswerNotHeld => "answer-not-held",
            UnknownReason::CallerGone => "caller-gone",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Answered => formatter.write_str("answered"),
            Outcome::NotRun(reason) => write!(formatter, "not-run: {}", reason.name()),
            Outcome::Unknown(reason) => write!(formatter, "unknown: {}", reason.name()),
        }
    }
}
