//! State of one request between arrival and outcome.

use crate::NEVER;
use crate::message::ServerSelector;
use ledgelead_types::request::AttemptId;
use ledgelead_types::{
    CallerId, GroupId, IdempotencyKey, NodeId, Position, RequestId, ServerId, ServiceId, Span,
    Text, TierId, Time, UnknownReason,
};

/// How long a request waits at most, in all, for an owner, a dispatcher or a
/// server that takes it.
pub(super) const HOLD_LIMIT: Span = Span::from_millis(1_200);

/// Where a request may go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Target {
    /// To the owner of a position.
    Key { group: GroupId, position: Position },
    /// To any server of a group, which holds its idempotency record.
    Group(GroupId),
    /// To any server of the service.
    Service,
}

/// The way to a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Search {
    /// Number of the attempt that the permit will be for.
    pub(super) number: u8,
    /// A second attempt beside one that runs.
    pub(super) hedge: bool,
    pub(super) stage: Stage,
}

/// Stages of a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Waits to be located again.
    Waiting {
        retry_at: Time,
        /// New routes end the wait early.
        wake_on_routes: bool,
    },
    /// Has asked a dispatcher.
    Acquiring(Acquiring),
}

/// A wish for a permit that was sent to a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Acquiring {
    pub(super) dispatcher: NodeId,
    pub(super) group: GroupId,
    pub(super) selector: ServerSelector,
    pub(super) first_sent: Time,
    pub(super) next_send: Time,
    /// Sent without a reply since.
    pub(super) unanswered_sends: u32,
}

/// An attempt that was given to a server.
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

/// A request that has no outcome yet.
#[derive(Clone, Debug)]
pub(super) struct ActiveRequest {
    pub(super) id: RequestId,
    pub(super) service: ServiceId,
    pub(super) target: Target,
    pub(super) tier: TierId,
    pub(super) caller: Option<CallerId>,
    /// Running it more than once does no harm.
    pub(super) repeatable: bool,
    pub(super) idempotency: Option<IdempotencyKey>,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    /// Number of the latest attempt, whether it was sent or not.
    pub(super) last_number: u8,
    /// Attempts that were given to servers.
    pub(super) sent: u8,
    /// Retries taken from the budget.
    pub(super) retries: u8,
    pub(super) search: Option<Search>,
    pub(super) sent_attempts: Vec<SentAttempt>,
    /// An earlier attempt may have run: "not run" can't be said any more.
    pub(super) possibly_run: Option<UnknownReason>,
    /// Since when there is no owner, dispatcher or server for it.
    pub(super) held_since: Option<Time>,
    /// Since when the owner of its key can't be reached.
    pub(super) unreachable_since: Option<Time>,
    /// Waits taken while held; spaces them out.
    pub(super) holds: u8,
    pub(super) avoid: Option<ServerId>,
    pub(super) hedge_at: Option<Time>,
    pub(super) idempotency_record: Option<BegunRecord>,
}

impl ActiveRequest {
    /// The next attempt's number; `None` when they are used up.
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

    /// When the request gives up waiting for an owner.
    pub(super) fn hold_ends(&self) -> Time {
        self.held_since.map_or(NEVER, |since| since + HOLD_LIMIT)
    }

    /// Whether an attempt was sent that may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.possibly_run.is_some() || !self.sent_attempts.is_empty()
    }

    /// When something has to be done for it at the latest.
    pub(super) fn due(&self) -> Time {
        let search_due = match &self.search {
            None => NEVER,
            Some(Search {
                stage: Stage::Waiting { retry_at, .. },
                ..
            }) => (*retry_at).min(self.hold_ends()),
            Some(Search {
                stage: Stage::Acquiring(acquiring),
                ..
            }) => acquiring.next_send.min(self.hold_ends()),
        };
        let hedge_due = self.hedge_at.unwrap_or(NEVER);
        self.deadline.min(search_due).min(hedge_due)
    }

    /// The wish that waits for a reply of this dispatcher to this attempt.
    pub(super) fn acquiring(&mut self, from: NodeId, number: u8) -> Option<&mut Acquiring> {
        let search = self.search.as_mut()?;
        if search.number != number {
            return None;
        }
        match &mut search.stage {
            Stage::Acquiring(acquiring) if acquiring.dispatcher == from => Some(acquiring),
            _ => None,
        }
    }
}
