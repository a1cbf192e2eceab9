//! Messages between gateways and dispatchers.
//!
//! Any message may be lost, delayed, duplicated or reordered. Each names the incarnation of
//! the gateway and the attempt, so that messages of an earlier incarnation or of a finished
//! attempt are recognized.

use ledgelead_types::dispatch::IdempotencyState;
use ledgelead_types::request::{AttemptId, OwnershipClaim};
use ledgelead_types::{
    CallerId, GroupId, IdempotencyKey, Incarnation, NotRunReason, RequestId, ServerId, Span, TierId,
};
use nanoserde::{DeBin, SerBin};

/// From a gateway to a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub enum DispatchRequest {
    /// Requests a permit. Resent until a reply arrives; a dispatcher that already has the
    /// attempt repeats its reply.
    Acquire(Acquire),
    /// Returns a permit.
    Release(Release),
    /// The attempt no longer needs a permit.
    Withdraw {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt is still in progress under its permit.
    PermitInUse {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The request with an idempotency key has its final outcome. Resent until
    /// [`DispatchReply::IdempotencyRecordEnded`] arrives.
    EndIdempotencyRecord {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// The request.
        request: RequestId,
        /// Group that stores the record.
        group: GroupId,
        /// The key.
        key: IdempotencyKey,
        /// New state of the record. `None` removes the record, because the request was not
        /// run and never will be.
        state: Option<IdempotencyState>,
    },
}

/// Which servers a permit is requested for.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub enum ServerSelector {
    /// The owner of the request's key.
    Owner {
        /// The owner according to the gateway's routes.
        server: ServerId,
        /// The key's position and the slice's fencing token.
        claim: OwnershipClaim,
    },
    /// Any server of the group.
    Any {
        /// A server that an earlier or concurrent attempt has tried.
        avoid: Option<ServerId>,
    },
}

/// Request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct Acquire {
    /// Incarnation of the gateway.
    pub gateway: Incarnation,
    /// The attempt that the permit is for.
    pub attempt: AttemptId,
    /// Group of the server.
    pub group: GroupId,
    /// The servers that the permit may be for.
    pub selector: ServerSelector,
    /// Tier of the caller.
    pub tier: TierId,
    /// The caller; `None` if no callers are configured.
    pub caller: Option<CallerId>,
    /// Time left until the caller's deadline.
    pub deadline: Span,
    /// Key of the record that has to be begun before the permit is given.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether this is a hedge, which is refused instead of queued when no slot is free.
    pub hedge: bool,
}

/// Return of a permit.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct Release {
    /// Incarnation of the gateway.
    pub gateway: Incarnation,
    /// The attempt.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub end: PermitEnd,
    /// Time from sending the attempt to its end.
    pub service_time: Span,
}

/// How the use of a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum PermitEnd {
    /// Nothing was sent.
    Unused,
    /// A complete answer arrived.
    Answered,
    /// A complete answer arrived and reports a failure of the server.
    ServerFailure,
    /// No connection could be established; nothing was sent.
    NotSent,
    /// The server had no free slot.
    Busy,
    /// The server refused for another reason.
    Refused,
    /// The attempt ended without a complete answer; the server may still be processing it.
    Lost,
}

/// From a dispatcher to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub enum DispatchReply {
    /// The attempt may be sent to the server.
    Permit {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
        /// The server.
        server: ServerId,
        /// Time that the attempt spent at the dispatcher.
        waited: Span,
    },
    /// The attempt is queued.
    Queued {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
    /// No permit is given.
    Refuse {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
        /// The reason.
        reason: NotRunReason,
        /// When to retry.
        retry_after: Span,
    },
    /// The server is not dispatched by this node, or the slice has another owner: the
    /// gateway has to consult its routes again.
    Moved {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Another request holds the idempotency key.
    Duplicate {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
        /// State of the other request's record.
        state: IdempotencyState,
    },
    /// Asks whether the attempt, which has held its permit for long, is still in progress.
    CheckPermit {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Confirms the final outcome under an idempotency key.
    IdempotencyRecordEnded {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// The request.
        request: RequestId,
    },
}

impl DispatchReply {
    /// Incarnation of the gateway that the reply is addressed to.
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
