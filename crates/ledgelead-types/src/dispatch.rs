//! Types that the components of one node exchange about servers, slices, nodes and
//! idempotency records.

use crate::identity::*;
use crate::keyspace::PositionRange;
use crate::routes::ServerStatus;
use crate::time::Time;
use crate::token::FencingToken;
use nanoserde::{DeBin, SerBin};

/// A live node according to the membership protocol: a candidate replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LiveNode {
    /// The node and its incarnation.
    pub member: Member,
    /// Its zone.
    pub zone: ZoneId,
}

/// A server that this node dispatches for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchedServer {
    /// Group that the server belongs to.
    pub group: GroupId,
    /// The server.
    pub server: ServerId,
    /// Requests that it executes concurrently.
    pub slots: u16,
    /// Whether it accepts new work.
    pub status: ServerStatus,
    /// Until when, by this node's clock, the server may serve its slices. `None` if it has no
    /// lease or needs none.
    pub lease_until: Option<Time>,
    /// Whether the server answered the last renewal. A server that did not gets no new
    /// permits.
    pub responsive: bool,
}

/// Load of one slice as measured by its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct SliceLoad {
    /// Positions of the slice.
    pub range: PositionRange,
    /// Requests per second.
    pub requests_per_second: f64,
    /// The position with the highest load, if one stands out.
    pub hottest: Option<HotPosition>,
}

/// A position with a large part of its slice's load.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct HotPosition {
    /// The position.
    pub position: crate::keyspace::Position,
    /// Requests per second.
    pub requests_per_second: f64,
}

/// State of an idempotency record in a group's replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum IdempotencyState {
    /// A request with the key may be running.
    Begun,
    /// The request was answered.
    Answered,
    /// It is not known whether the request was run.
    Unknown,
}

/// Answer to an attempt to begin a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum IdempotencyVerdict {
    /// There is no earlier request. A quorum has the record, so the request may run.
    Fresh,
    /// An earlier request has used the key.
    Duplicate(IdempotencyState),
    /// The record could not be replicated, so the request must not run.
    Unavailable,
}

/// Identifies the request that created an idempotency record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct IdempotencyOwner {
    /// Node that accepted the request, with its incarnation.
    pub gateway: Member,
    /// The request at that node.
    pub request: RequestId,
}

/// A slice's range of positions and token.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct SliceClaim {
    /// Positions of the slice.
    pub range: PositionRange,
    /// Token of its assignment.
    pub token: FencingToken,
}
