//! The messages between a node and a server (back end). `docs/server-interface.md` describes
//! their HTTP form. Simulations pass these values directly.
//!
//! Invariant: a lease expires at the server no later than at its grantor. A lease runs from
//! `echoed_stamp`, a reading of the server's own clock that the grantor received earlier, and
//! not from the arrival of the grant. A delayed grant therefore can't extend a lease.

use crate::codec::List;
use crate::identity::*;
use crate::keyspace::PositionRange;
use crate::time::{Span, Time};
use crate::token::FencingToken;
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// A slice that is granted to a server.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct GrantedSlice {
    /// Positions of the slice.
    pub range: PositionRange,
    /// Token of the slice's assignment; a request must carry the same.
    pub token: FencingToken,
}

/// A renewal of a server's lease by its dispatcher.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct LeaseRenewal {
    /// The group that grants.
    pub group: GroupId,
    /// Authority of the grantor: epoch and term of its leader, and the log position up to
    /// which it has applied the group's decisions. A server refuses a lower authority than
    /// the highest it has seen.
    pub authority: FencingToken,
    /// The last reading of the server's clock that the grantor received. `None` at the first
    /// contact, which grants nothing and only requests a stamp.
    pub echoed_stamp: Option<Time>,
    /// Duration of the lease, from the echoed stamp.
    pub lease: Span,
    /// All slices that the server holds from now on. `None` if they are the same as in the
    /// renewal with authority `unchanged_since`.
    pub slices: Option<List<GrantedSlice>>,
    /// Log position of the last change of the set of slices.
    pub unchanged_since: FencingToken,
    /// Whether the server must accept no new requests without a key, and hand its slices
    /// over.
    pub draining: bool,
}

/// Load that a server reports about itself. It may be outdated or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests executing now.
    pub executing: u16,
    /// Requests waiting at the server.
    pub waiting: u16,
    /// Recent utilization of its slots, from 0 to 1.
    pub utilization: f64,
    /// Whether it started recently and has cold caches.
    pub cold: bool,
}

/// A server's answer to a renewal.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct RenewalReply {
    /// The server's clock when it answered.
    pub stamp: Time,
    /// Changes when the server's process restarts, which loses its grants.
    pub run: u64,
    /// Whether the renewal was accepted, and the reason if not.
    pub verdict: RenewalVerdict,
    /// `unchanged_since` of the set of slices that the server now holds.
    pub holding: FencingToken,
    /// Released slices whose requests are still executing.
    pub releasing: List<GrantedSlice>,
    /// Slices held, if the renewal was not accepted or was a first contact. A rebuilt group
    /// recovers its assignments from them.
    pub held: List<GrantedSlice>,
    /// Load.
    pub load: LoadReport,
    /// The server is about to leave and requests to be drained.
    pub leaving: bool,
}

/// Whether a server accepted a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum RenewalVerdict {
    /// Accepted; the lease runs to `echoed_stamp + lease`.
    Taken,
    /// Refused: its authority is lower than `highest`, which the server has seen before.
    Fenced {
        /// Highest authority that the server has seen.
        highest: FencingToken,
    },
    /// The server does not have the set of slices that `unchanged_since` identifies. The
    /// grantor must send the whole set.
    SetUnknown,
    /// The server only returned its stamp: the renewal echoed none, or one of an earlier run
    /// of the server.
    StampOnly,
}

/// Why a server refused a request without starting it. Each refusal is evidence that the
/// request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum ServerRefusal {
    /// The server has no lease on the slice, or has it under another token.
    NotOwner,
    /// The lease has expired.
    LeaseExpired,
    /// All slots are busy and its queue is full.
    Busy,
    /// The server is draining and accepts no new work.
    Draining,
    /// The request was cancelled before it was started.
    Cancelled,
    /// The deadline passed before the request was started.
    DeadlinePassed,
}

/// The result of an attempt at a server, as far as there is evidence.
/// `docs/design/request-path.md` has the rule for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum AttemptResult {
    /// The server's complete answer arrived.
    Answered {
        /// Whether the answer reports a failure of the server (HTTP 5xx).
        failure: bool,
    },
    /// The connection was refused or timed out before a byte was written.
    NotSent,
    /// The server stated that it did not start the request.
    Refused(ServerRefusal),
    /// The connection failed after the first byte was written, or the
    /// deadline passed.
    Lost,
    /// The answer was truncated, malformed or too large.
    BadAnswer,
}
