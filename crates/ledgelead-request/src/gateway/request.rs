//! State of a request between its arrival and its outcome.

use crate::NEVER;
use crate::message::ServerSelector;
use ledgelead_types::request::AttemptId;
use ledgelead_types::{
    CallerId, GroupId, IdempotencyKey, NodeId, Position, RequestId, ServerId, ServiceId, Span,
    Text, TierId, Time, UnknownReason,
};

/// Maximum total time that a request is held until an owner, a dispatcher or a server can
/// take it.
pub(super) const HOLD_LIMIT: Span = Span::from_millis(1_200);

/// The servers that may run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Target {
    /// The owner of a position.
    Key { group: GroupId, position: Position },
    /// Any server of a group; the group stores the request's idempotency record.
    Group(GroupId),
    /// Any server of the service.
    Service,
}

/// A search for a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PermitSearch {
    /// Number of the attempt that the permit will be for.
    pub(super) number: u8,
    /// Whether this is a hedge, started while another attempt is in progress.
    pub(super) hedge: bool,
    pub(super) stage: SearchStage,
}

/// Stages of a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SearchStage {
    /// Waiting until the request is located again.
    Waiting {
        retry_at: Time,
        /// Whether new routes end the wait early.
        wake_on_routes: bool,
    },
    /// A permit has been requested from a dispatcher.
    Acquiring(PendingAcquire),
}

/// A permit request that was sent to a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PendingAcquire {
    pub(super) dispatcher: NodeId,
    pub(super) group: GroupId,
    pub(super) selector: ServerSelector,
    pub(super) first_sent: Time,
    pub(super) next_send: Time,
    /// Number of sends since the last reply.
    pub(super) unanswered_sends: u32,
}

/// An attempt that was sent to a server.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SentAttempt {
    pub(super) number: u8,
    pub(super) group: GroupId,
    pub(super) server: ServerId,
    pub(super) address: Text,
    pub(super) dispatcher: NodeId,
    pub(super) sent_at: Time,
}

/// Where the idempotency record of a request may have been begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BegunRecord {
    pub(super) key: IdempotencyKey,
    pub(super) group: GroupId,
    pub(super) dispatcher: NodeId,
}

/// A request without an outcome.
#[derive(Clone, Debug)]
pub(super) struct ActiveRequest {
    pub(super) id: RequestId,
    pub(super) service: ServiceId,
    pub(super) target: Target,
    pub(super) tier: TierId,
    pub(super) caller: Option<CallerId>,
    /// Whether running it more than once is harmless.
    pub(super) repeatable: bool,
    pub(super) idempotency: Option<IdempotencyKey>,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    /// Number of the latest attempt, whether it was sent or not.
    pub(super) last_number: u8,
    /// Number of attempts sent to servers.
    pub(super) sent: u8,
    /// Retries taken from the retry budget.
    pub(super) retries: u8,
    pub(super) search: Option<PermitSearch>,
    pub(super) sent_attempts: Vec<SentAttempt>,
    /// Set once an attempt may have run; "not run" is then no longer a valid outcome.
    pub(super) possibly_run: Option<UnknownReason>,
    /// Since when no owner, dispatcher or server can take the request.
    pub(super) held_since: Option<Time>,
    /// Since when the owner of its key has been unreachable.
    pub(super) unreachable_since: Option<Time>,
    /// Number of delays while held; the delay grows with it.
    pub(super) holds: u8,
    pub(super) avoid: Option<ServerId>,
    pub(super) hedge_at: Option<Time>,
    pub(super) idempotency_record: Option<BegunRecord>,
}

impl ActiveRequest {
    /// Number of the next attempt; `None` when all numbers are used.
    pub(super) fn next_number(&mut self) -> Option<u8> {
        self.last_number = self.last_number.checked_add(1)?;
        Some(self.last_number)
    }

    pub(super) fn attempt(&self, number: u8) -> AttemptId {
        AttemptId {
            request: self.id,
            number,
        }
    }

    /// When the request stops being held.
    pub(super) fn hold_ends(&self) -> Time {
        self.held_since.map_or(NEVER, |since| since + HOLD_LIMIT)
    }

    /// Whether any attempt was sent that may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.possibly_run.is_some() || !self.sent_attempts.is_empty()
    }

    /// When the request's timer is due.
    pub(super) fn due(&self) -> Time {
        let search_due = match &self.search {
            None => NEVER,
            Some(PermitSearch {
                stage: SearchStage::Waiting { retry_at, .. },
                ..
            }) => (*retry_at).min(self.hold_ends()),
            Some(PermitSearch {
                stage: SearchStage::Acquiring(acquiring),
                ..
            }) => acquiring.next_send.min(self.hold_ends()),
        };
        let hedge_due = self.hedge_at.unwrap_or(NEVER);
        self.deadline.min(search_due).min(hedge_due)
    }

    /// The pending permit request of this attempt at this dispatcher.
    pub(super) fn acquiring(&mut self, from: NodeId, number: u8) -> Option<&mut PendingAcquire> {
        let search = self.search.as_mut()?;
        if search.number != number {
            return None;
        }
        match &mut search.stage {
            SearchStage::Acquiring(acquiring) if acquiring.dispatcher == from => Some(acquiring),
            _ => None,
        }
    }
}
