//! Records of callers. The checker uses only these records and the servers' executions, never
//! the state of the router.

use ledgelead_types::{Position, ServerId, Time};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Identifies a caller's request in a demonstration. It is part of the request path and of the
/// server's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// The outcome of a request as known to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The caller received an answer from a server.
    Answered {
        /// The server named in the answer.
        server: Option<ServerId>,
        /// Whether the answer is complete and belongs to the request.
        matches: bool,
    },
    /// The caller was told, or can tell from the failure, that the request did not run.
    NotRun(String),
    /// The caller can't know whether the request ran.
    Unknown(String),
}

/// A caller's record of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRecord {
    /// The request.
    pub request: RequestNumber,
    /// Position of its key; `None` for the unkeyed service.
    pub position: Option<Position>,
    /// Whether it must run at most once.
    pub once_only: bool,
    /// When it was due according to the open-loop schedule.
    pub due: Time,
    /// When its outcome was known.
    pub finished: Time,
    /// The node that was tried last; `None` for requests sent directly to back ends.
    pub node: Option<SocketAddr>,
    /// The outcome.
    pub outcome: CallerOutcome,
}

impl CallerRecord {
    /// Whether an answer arrived.
    pub fn is_answered(&self) -> bool {
        matches!(self.outcome, CallerOutcome::Answered { .. })
    }

    /// Whether an answer arrived that is truncated or belongs to another request.
    pub fn is_mismatch(&self) -> bool {
        matches!(self.outcome, CallerOutcome::Answered { matches: false, .. })
    }
}

/// Records of all callers, which grow while the load runs.
#[derive(Clone, Debug, Default)]
pub struct CallerLog {
    records: Arc<Mutex<Vec<CallerRecord>>>,
}

impl CallerLog {
    /// Adds a record.
    pub fn push(&self, record: CallerRecord) {
        self.records.lock().expect("caller log").push(record);
    }

    /// A copy of all records in the order of completion.
    pub fn snapshot(&self) -> Vec<CallerRecord> {
        self.records.lock().expect("caller log").clone()
    }
}
