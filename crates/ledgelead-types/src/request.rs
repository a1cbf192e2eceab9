//! A caller's request as the state machines see it. Body and headers stay in the I/O layer,
//! which owns the caller's connection.

use crate::codec::{Bytes, Text};
use crate::identity::*;
use crate::keyspace::Position;
use crate::time::Span;
use crate::token::FencingToken;
use nanoserde::{DeBin, SerBin};

/// A request that a node accepted from a caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestArrival {
    /// Identifier given by the accepting node.
    pub request: RequestId,
    /// Name of the service.
    pub service: Text,
    /// Key, for a service that is partitioned by key.
    pub key: Option<Bytes>,
    /// SHA-256 of the caller's credential, in hexadecimal; empty without a credential.
    pub credential_sha256: Text,
    /// Time left until the caller's deadline.
    pub deadline: Option<Span>,
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    /// The caller's idempotency key. Requests with the same key run at most once.
    pub idempotency_key: Option<Text>,
}

/// An attempt to run a request at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, counted from 1.
    pub number: u8,
}

/// Instruction to send a request to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Forward {
    /// The attempt. Its result is reported under the same identifier.
    pub attempt: AttemptId,
    /// The server.
    pub server: ServerId,
    /// Its `IP:port`.
    pub address: Text,
    /// Position of the key and token of the slice that the request relies on. `None` for a
    /// service that is not partitioned by key.
    pub ownership: Option<OwnershipClaim>,
    /// Time left until the deadline. It is sent to the server, and the sender enforces it.
    pub deadline: Span,
    /// Priority tier, which is sent to the server for its own queue.
    pub tier: TierId,
}

/// The ownership that a request relies on. The server checks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OwnershipClaim {
    /// Position of the key.
    pub position: Position,
    /// Token of the slice.
    pub token: FencingToken,
}
