//! Reports the end of an idempotency record to a dispatcher of its group until one confirms
//! it.
//!
//! Only the gateway that accepted the request may report "not run", since it alone knows
//! that no further attempt follows. The record is then removed. The group removes it only
//! for the same owner, so a delayed message can't remove the record of another request.

use super::request::ActiveRequest;
use super::{Gateway, TimerKey};
use crate::message::DispatchRequest;
use ledgelead_types::dispatch::IdempotencyState;
use ledgelead_types::{GroupId, IdempotencyKey, NodeId, Outcome, RequestId, Span, Time};

/// Time between two sends, and the maximum number of sends. If the end never arrives, the
/// record stays "begun" until its window ends, and a retry under the key is refused rather
/// than run.
const RECORD_END_INTERVAL: Span = Span::from_millis(200);
const MAX_RECORD_END_SENDS: u8 = 10;

/// An end of a record that no dispatcher has confirmed yet.
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

    /// The dispatcher that began the record; after the first unconfirmed send, the other
    /// dispatchers of the group in turn.
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
