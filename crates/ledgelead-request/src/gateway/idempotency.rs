//! The end of an idempotency record, told to a dispatcher of its group until
//! it confirms.
//!
//! Only the gateway that accepted the request may say "not run": it alone
//! knows that no attempt will follow. The record is removed then; the group
//! removes it only for the same owner, so a message that comes late can't
//! remove the record of another request.

use super::request::ActiveRequest;
use super::{Gateway, TimerKey};
use crate::message::DispatchRequest;
use ledgelead_types::dispatch::IdempotencyState;
use ledgelead_types::{GroupId, IdempotencyKey, NodeId, Outcome, RequestId, Span, Time};

/// Time between two sends, and sends at most. A record whose end is never
/// heard stays "begun" until its window ends: a repeat is refused, not run.
const RECORD_END_INTERVAL: Span = Span::from_millis(200);
const MAX_RECORD_END_SENDS: u8 = 10;

/// An end that no dispatcher has confirmed yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRecordEnd {
    group: GroupId,
    key: IdempotencyKey,
    state: Option<IdempotencyState>,
    dispatcher: NodeId,
    sends: u8,
}

impl Gateway {
    pub(super) fn end_record(&mut self, now: Time, request: &ActiveRequest, outcome: Outcome) {
        let Some(record) = request.idempotency_record else {
            return;
        };
        let state = match outcome {
            Outcome::Answered => Some(IdempotencyState::Answered),
            Outcome::Unknown(_) => Some(IdempotencyState::Unknown),
            Outcome::NotRun(_) => None,
        };
        let pending = PendingRecordEnd {
            group: record.group,
            key: record.key,
            state,
            dispatcher: record.dispatcher,
            sends: 0,
        };
        self.pending_record_ends.insert(request.id, pending);
        self.resend_record_end(now, request.id);
    }

    pub(super) fn resend_record_end(&mut self, now: Time, request: RequestId) {
        let Some(pending) = self.pending_record_ends.get_mut(&request) else {
            return;
        };
        if pending.sends >= MAX_RECORD_END_SENDS {
            self.pending_record_ends.remove(&request);
            return;
        }
        pending.sends += 1;
        let pending = *pending;
        let to = self.record_dispatcher(&pending);
        let message = DispatchRequest::EndIdempotencyRecord {
            gateway: self.member.incarnation,
            request,
            group: pending.group,
            key: pending.key,
            state: pending.state,
        };
        self.send(to, message);
        self.timers
            .set(TimerKey::RecordEnd(request), now + RECORD_END_INTERVAL);
    }

    /// The dispatcher that began the record; any other of the group once it
    /// has stayed silent.
    fn record_dispatcher(&self, pending: &PendingRecordEnd) -> NodeId {
        if pending.sends <= 1 {
            return pending.dispatcher;
        }
        let candidates = self.directory.candidates(pending.group.service);
        let of_group: Vec<NodeId> = candidates
            .iter()
            .filter(|candidate| candidate.group == pending.group)
            .map(|candidate| candidate.dispatcher)
            .collect();
        if of_group.is_empty() {
            return pending.dispatcher;
        }
        of_group[usize::from(pending.sends) % of_group.len()]
    }

    pub(super) fn record_ended(&mut self, request: RequestId) {
        self.pending_record_ends.remove(&request);
        self.timers.clear(TimerKey::RecordEnd(request));
    }
}
