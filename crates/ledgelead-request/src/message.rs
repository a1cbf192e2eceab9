//! Messages between a gateway and a dispatcher.
//!
//! Any of them may be lost, late, doubled or reordered. Each names the
//! gateway's run and the attempt, so that a message of an earlier run or of
//! an attempt that has ended can be told apart.

use ledgelead_types::dispatch::IdempotencyState;
use ledgelead_types::request::{AttemptId, OwnershipClaim};
use ledgelead_types::{
    CallerId, GroupId, IdempotencyKey, Incarnation, NotRunReason, RequestId, ServerId, Span, TierId,
};
use nanoserde::{DeBin, SerBin};

/// From a gateway to a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub enum DispatchRequest {
    /// Asks for a permit. Sent again while no reply comes; a dispatcher that
    /// has the attempt already repeats its reply.
    Acquire(Acquire),
    /// Gives a permit back.
    Release(Release),
    /// The attempt needs no permit any more.
    Withdraw {
        /// Run of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt still runs under its permit.
    PermitInUse {
        /// Run of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The request under an idempotency key has its final outcome. Sent
    /// again until [`DispatchReply::IdempotencyRecordEnded`].
    EndIdempotencyRecord {
        /// Run of the gateway.
        gateway: Incarnation,
        /// The request.
        request: RequestId,
        /// Group that holds the record.
        group: GroupId,
        /// The key.
        key: IdempotencyKey,
        /// What the record says from now on; `None` removes it, because the
        /// request was not run and never will be.
        state: Option<IdempotencyState>,
    },
}

/// What a request needs a permit for.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub enum ServerSelector {
    /// The owner of the request's key.
    Owner {
        /// The owner, as the gateway's routes have it.
        server: ServerId,
        /// The key's position and the slice's token.
        claim: OwnershipClaim,
    },
    /// Any server of the group.
    Any {
        /// A server that an earlier or parallel attempt has tried.
        avoid: Option<ServerId>,
    },
}

/// Wish for a permit.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct Acquire {
    /// Run of the gateway.
    pub gateway: Incarnation,
    /// The attempt that the permit is for.
    pub attempt: AttemptId,
    /// Group of the server.
    pub group: GroupId,
    /// The server, or any.
    pub selector: ServerSelector,
    /// Tier of the caller.
    pub tier: TierId,
    /// The caller; `None` when the configuration has none.
    pub caller: Option<CallerId>,
    /// Time left until the caller's deadline.
    pub deadline: Span,
    /// Record that has to be begun before the permit.
    pub idempotency_key: Option<IdempotencyKey>,
    /// A hedge: refused rather than queued when no slot is free.
    pub hedge: bool,
}

/// Return of a permit.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct Release {
    /// Run of the gateway.
    pub gateway: Incarnation,
    /// The attempt.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub end: PermitEnd,
    /// Time from sending to the end.
    pub service_time: Span,
}

/// How the use of a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum PermitEnd {
    /// Nothing was sent.
    Unused,
    /// A whole answer came.
    Answered,
    /// A whole answer came; it is a failure of the server.
    ServerFailure,
    /// No connection; nothing was written.
    NotSent,
    /// The server had no room.
    Busy,
    /// The server refused for another reason.
    Refused,
    /// The attempt ended without a whole answer; the server may still be at it.
    Lost,
}

/// From a dispatcher to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub enum DispatchReply {
    /// The attempt may be sent to the server.
    Permit {
        /// Run of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
        /// The server.
        server: ServerId,
        /// Time that the attempt spent at the dispatcher.
        waited: Span,
    },
    /// The attempt waits in the queue.
    Queued {
        /// Run of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
    /// There will be no permit.
    Refuse {
        /// Run of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: NotRunReason,
        /// When to try again.
        retry_after: Span,
    },
    /// The server is not in this node's care, or the slice has another owner:
    /// look the routes up again.
    Moved {
        /// Run of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Another request holds the idempotency key.
    Duplicate {
        /// Run of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
        /// State of the other request.
        state: IdempotencyState,
    },
    /// Asks whether the attempt still runs: it holds its permit for long.
    CheckPermit {
        /// Run of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The final outcome under an idempotency key was taken.
    IdempotencyRecordEnded {
        /// Run of the gateway.
        gateway: Incarnation,
        /// The request.
        request: RequestId,
    },
}

impl DispatchReply {
    /// The gateway's run that the reply is meant for.
    pub fn gateway(&self) -> Incarnation {
        match *self {
            DispatchReply::Permit { gateway, .. }
            | DispatchReply::Queued { gateway, .. }
            | DispatchReply::Refuse { gateway, .. }
            | DispatchReply::Moved { gateway, .. }
            | DispatchReply::Duplicate { gateway, .. }
            | DispatchReply::CheckPermit { gateway, .. }
            | DispatchReply::IdempotencyRecordEnded { gateway, .. } => gateway,
        }
    }
}
