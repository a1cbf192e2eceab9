//! Requests and orders that a node forwards to an instance on behalf of another node, over a
//! connection between the two nodes.
//!
//! The sending node keeps all decisions: the choice of the instance, retries, budgets and
//! limits. The forwarding node makes one attempt and returns its result; it never forwards to
//! a third node.

use crate::io::ExchangeFailure;
use ledgelead_http::{Headers, Request, Response};
use ledgelead_types::codec::{Bytes, List, Text};
use nanoserde::{DeBin, SerBin};

/// A header.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct HeaderEntry {
    /// Its name.
    pub name: Text,
    /// Its value.
    pub value: Bytes,
}

/// What is forwarded.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum ForwardPurpose {
    /// A client's request.
    Request {
        /// Whether it may run more than once.
        idempotent: bool,
        /// Whether it needs a new connection to the instance.
        fresh_connection: bool,
    },
    /// An order of the coordinator.
    Order {
        /// The coordinator's epoch.
        epoch: u64,
        /// When it was sent, by the clock of the coordinator's heartbeats.
        sent_ms: u64,
        /// Whether it is a release.
        is_release: bool,
    },
}

/// Asks a peer for one attempt at an instance.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ForwardRequest {
    /// The instance.
    pub instance: Text,
    /// What is forwarded.
    pub purpose: ForwardPurpose,
    /// Time for the whole attempt, in milliseconds.
    pub timeout_ms: u32,
    /// The method.
    pub method: Text,
    /// Path and query.
    pub target: Text,
    /// The headers.
    pub headers: List<HeaderEntry>,
    /// The body.
    pub body: Bytes,
}

/// The result of a forwarded attempt.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum ForwardAnswer {
    /// The instance's response.
    Response {
        /// Its status.
        status: u16,
        /// Its headers.
        headers: List<HeaderEntry>,
        /// Its body.
        body: Bytes,
    },
    /// The attempt got no response.
    Failed(ForwardFailure),
    /// The peer made no attempt.
    Declined(ForwardDecline),
}

/// Why a forwarded attempt got no response; see [`ExchangeFailure`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ForwardFailure {
    /// No connection was established.
    NotConnected,
    /// The connection was refused.
    Refused,
    /// The connection was closed before anything was sent.
    ClosedUnsent,
    /// The request was sent in part.
    Incomplete,
    /// The request was sent in part when its time was over.
    IncompleteInTime,
    /// The connection was lost after the request was sent.
    Lost,
    /// No response arrived in time.
    TimedOut,
    /// The received bytes are not a valid response.
    Malformed,
}

/// Why a peer makes no attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ForwardDecline {
    /// It doesn't reach this instance, or doesn't know it.
    NoPath,
    /// It reaches no instance.
    Isolated,
    /// It forwards too many requests already, or shuts down.
    Busy,
    /// The order is of an earlier coordinator, or too old to be sent.
    Outdated,
}

impl ForwardRequest {
    /// Wraps a request for an instance.
    pub fn new(
        instance: &str,
        purpose: ForwardPurpose,
        timeout_ms: u32,
        request: Request,
    ) -> ForwardRequest {
        ForwardRequest {
            instance: Text::from(instance),
            purpose,
            timeout_ms,
            method: Text(request.method),
            target: Text(request.target),
            headers: entries(&request.headers),
            body: Bytes(request.body),
        }
    }

    /// The wrapped request.
    pub fn into_request(self) -> Request {
        let mut request = Request::new(&self.method, self.target.0, self.body.0);
        request.headers = headers_of(self.headers);
        request
    }
}

impl ForwardAnswer {
    /// The result of an attempt.
    pub fn new(result: Result<Response, ExchangeFailure>) -> ForwardAnswer {
        match result {
            Ok(response) => ForwardAnswer::Response {
                status: response.status,
                headers: entries(&response.headers),
                body: Bytes(response.body),
            },
            Err(failure) => ForwardAnswer::Failed(failure.into()),
        }
    }
}

impl From<ExchangeFailure> for ForwardFailure {
    fn from(failure: ExchangeFailure) -> ForwardFailure {
        match failure {
            ExchangeFailure::NotConnected => ForwardFailure::NotConnected,
            ExchangeFailure::Refused => ForwardFailure::Refused,
            ExchangeFailure::ClosedUnsent => ForwardFailure::ClosedUnsent,
            ExchangeFailure::Incomplete { timed_out: false } => ForwardFailure::Incomplete,
            ExchangeFailure::Incomplete { timed_out: true } => ForwardFailure::IncompleteInTime,
            ExchangeFailure::Lost => ForwardFailure::Lost,
            ExchangeFailure::TimedOut | ExchangeFailure::Unresponsive => ForwardFailure::TimedOut,
            ExchangeFailure::Malformed => ForwardFailure::Malformed,
        }
    }
}

impl From<ForwardFailure> for ExchangeFailure {
    fn from(failure: ForwardFailure) -> ExchangeFailure {
        match failure {
            ForwardFailure::NotConnected => ExchangeFailure::NotConnected,
            ForwardFailure::Refused => ExchangeFailure::Refused,
            ForwardFailure::ClosedUnsent => ExchangeFailure::ClosedUnsent,
            ForwardFailure::Incomplete => ExchangeFailure::Incomplete { timed_out: false },
            ForwardFailure::IncompleteInTime => ExchangeFailure::Incomplete { timed_out: true },
            ForwardFailure::Lost => ExchangeFailure::Lost,
            ForwardFailure::TimedOut => ExchangeFailure::TimedOut,
            ForwardFailure::Malformed => ExchangeFailure::Malformed,
        }
    }
}

fn entries(headers: &Headers) -> List<HeaderEntry> {
    let entry = |header: &ledgelead_http::Header| HeaderEntry {
        name: Text(header.name.clone()),
        value: Bytes(header.value.clone()),
    };
    headers.iter().map(entry).collect()
}

pub(crate) fn headers_of(entries: List<HeaderEntry>) -> Headers {
    let mut headers = Headers::new();
    for HeaderEntry { name, value } in entries.0 {
        headers.push(&name, value.0);
    }
    headers
}
