//! Requests permits from dispatchers, resends the requests, and handles the replies.

use super::Gateway;
use super::locate::Location;
use super::request::{
    ActiveRequest, BegunRecord, HOLD_LIMIT, PendingAcquire, PermitSearch, SearchStage, Target,
};
use crate::message::{Acquire, DispatchReply, DispatchRequest, PermitEnd, Release};
use ledgelead_types::dispatch::IdempotencyState;
use ledgelead_types::request::AttemptId;
use ledgelead_types::{
    NodeId, NotRunReason, Outcome, RequestId, ServerId, Span, Time, UnknownReason,
};

/// Bounds of the wait for a dispatcher's reply before the permit request is resent, and the
/// wait in round-trip times.
const MIN_REPLY_WAIT: Span = Span::from_millis(50);
const MAX_REPLY_WAIT: Span = Span::from_millis(200);
const REPLY_WAIT_ROUND_TRIPS: f64 = 4.0;

/// How often a permit request that is queued at a dispatcher is resent as a check that it is
/// still queued.
const QUEUED_CONFIRM_INTERVAL: Span = Span::from_millis(250);

/// Unanswered sends after which another dispatcher is asked, if another one can serve the
/// request.
const UNANSWERED_BEFORE_REDISPATCH: u32 = 2;

/// Retry delay while another request with the same idempotency key is in progress.
const DUPLICATE_RETRY_AFTER: Span = Span::from_millis(200);

impl Gateway {
    /// Requests a permit from a dispatcher.
    pub(super) fn acquire(&mut self, now: Time, id: RequestId, location: Location) {
        let wait = self.reply_wait(location.dispatcher, 0);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let hedge = request.search.is_some_and(|search| search.hedge);
        let Some(number) = request.next_number() else {
            self.hold_ended(now, id);
            return;
        };
        request.search = Some(PermitSearch {
            number,
            hedge,
            stage: SearchStage::Acquiring(PendingAcquire {
                dispatcher: location.dispatcher,
                group: location.group,
                selector: location.selector,
                first_sent: now,
                next_send: now + wait,
                unanswered_sends: 1,
            }),
        });
        if let Some(key) = request.idempotency {
            request.idempotency_record = Some(BegunRecord {
                key,
                group: location.group,
                dispatcher: location.dispatcher,
            });
        }
        self.send_acquire(now, id);
    }

    fn send_acquire(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some((search, acquiring)) = acquiring_of(request) else {
            return;
        };
        let acquire = Acquire {
            gateway: self.member.incarnation,
            attempt: request.attempt(search.number),
            group: acquiring.group,
            selector: acquiring.selector,
            tier: request.tier,
            caller: request.caller,
            deadline: request.deadline.since(now),
            idempotency_key: request.idempotency,
            hedge: search.hedge,
        };
        self.send(acquiring.dispatcher, DispatchRequest::Acquire(acquire));
    }

    /// How long to wait for a reply, derived from the observed round-trip time and doubled
    /// with each unanswered send.
    fn reply_wait(&self, dispatcher: NodeId, unanswered_sends: u32) -> Span {
        let round_trip = self
            .round_trips
            .get(&dispatcher)
            .copied()
            .unwrap_or_default()
            .or(Span::ZERO);
        let factor = REPLY_WAIT_ROUND_TRIPS * f64::from(1_u32 << unanswered_sends.min(4));
        let first = MIN_REPLY_WAIT.times(f64::from(1_u32 << unanswered_sends.min(4)));
        round_trip.times(factor).max(first).min(MAX_REPLY_WAIT)
    }

    /// Continues a waiting search, or resends a permit request that was not answered.
    pub(super) fn continue_search(&mut self, now: Time, id: RequestId) {
        let Some(search) = self.requests.get(&id).and_then(|request| request.search) else {
            return;
        };
        match search.stage {
            SearchStage::Waiting { retry_at, .. } => {
                if now >= retry_at {
                    self.locate(now, id);
                }
            }
            SearchStage::Acquiring(acquiring) => {
                if now >= acquiring.next_send {
                    self.resend_acquire(now, id, &acquiring);
                }
            }
        }
    }

    fn resend_acquire(&mut self, now: Time, id: RequestId, acquiring: &PendingAcquire) {
        let wait = self.reply_wait(acquiring.dispatcher, acquiring.unanswered_sends);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if acquiring.unanswered_sends > 0 {
            request.held_since.get_or_insert(acquiring.first_sent);
        }
        let may_go_elsewhere = !matches!(request.target, Target::Key { .. });
        if may_go_elsewhere && acquiring.unanswered_sends >= UNANSWERED_BEFORE_REDISPATCH {
            self.withdraw(id);
            self.locate_avoiding(now, id, Some(acquiring.dispatcher));
            return;
        }
        if let Some(PermitSearch {
            stage: SearchStage::Acquiring(acquiring),
            ..
        }) = &mut request.search
        {
            acquiring.unanswered_sends += 1;
            acquiring.next_send = now + wait;
        }
        self.send_acquire(now, id);
    }

    /// Handles a dispatcher's reply. A reply for an attempt that is not waiting for one, or
    /// from a dispatcher that is no longer asked, has no effect, except that an unneeded
    /// permit is released.
    pub(super) fn dispatch_replied(&mut self, now: Time, from: NodeId, message: DispatchReply) {
        if message.gateway() != self.member.incarnation {
            return;
        }
        match message {
            DispatchReply::Permit {
                attempt,
                server,
                waited,
                ..
            } => self.permit_granted(now, from, attempt, server, waited),
            DispatchReply::Queued { attempt, .. } => self.queued(now, from, attempt),
            DispatchReply::Refuse {
                attempt,
                reason,
                retry_after,
                ..
            } => self.refused(now, from, attempt, reason, retry_after),
            DispatchReply::Moved { attempt, .. } => self.moved(now, from, attempt),
            DispatchReply::Duplicate { attempt, state, .. } => {
                self.duplicate(now, from, attempt, state);
            }
            DispatchReply::CheckPermit { attempt, .. } => self.permit_check(from, attempt),
            DispatchReply::IdempotencyRecordEnded { request, .. } => self.record_ended(request),
        }
    }

    fn awaited_permit(&mut self, from: NodeId, attempt: AttemptId) -> Option<&mut PendingAcquire> {
        self.requests
            .get_mut(&attempt.request)?
            .acquiring(from, attempt.number)
    }

    fn permit_granted(
        &mut self,
        now: Time,
        from: NodeId,
        attempt: AttemptId,
        server: ServerId,
        waited: Span,
    ) {
        let Some(&mut acquiring) = self.awaited_permit(from, attempt) else {
            if !self.is_running(attempt) {
                self.release(from, attempt, PermitEnd::Unused, Span::ZERO);
            }
            return;
        };
        let round_trip = now.since(acquiring.first_sent).less(waited);
        self.round_trips.entry(from).or_default().add(round_trip);
        self.forward(now, attempt.request, server);
        self.reschedule(attempt.request);
    }

    fn queued(&mut self, now: Time, from: NodeId, attempt: AttemptId) {
        let Some(acquiring) = self.awaited_permit(from, attempt) else {
            return;
        };
        acquiring.unanswered_sends = 0;
        acquiring.next_send = now + QUEUED_CONFIRM_INTERVAL;
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.held_since = None;
        }
        self.reschedule(attempt.request);
    }

    fn refused(
        &mut self,
        now: Time,
        from: NodeId,
        attempt: AttemptId,
        reason: NotRunReason,
        retry_after: Span,
    ) {
        if self.awaited_permit(from, attempt).is_none() {
            return;
        }
        self.end_search_not_run(now, attempt.request, reason, Some(retry_after));
        self.reschedule(attempt.request);
    }

    fn moved(&mut self, now: Time, from: NodeId, attempt: AttemptId) {
        if self.awaited_permit(from, attempt).is_none() {
            return;
        }
        self.hold(now, attempt.request);
        self.reschedule(attempt.request);
    }

    /// Another request holds the idempotency key. Its record must not be ended by this
    /// request.
    fn duplicate(&mut self, now: Time, from: NodeId, attempt: AttemptId, state: IdempotencyState) {
        if self.awaited_permit(from, attempt).is_none() {
            return;
        }
        let id = attempt.request;
        if let Some(request) = self.requests.get_mut(&id) {
            request.search = None;
            request.idempotency_record = None;
        }
        self.evict_answers(now);
        if let Some(first) = self.cached_answer_for(id) {
            self.finish(now, id, Outcome::Answered, Some(first), None);
            return;
        }
        match state {
            IdempotencyState::Begun => {
                let reason = NotRunReason::DuplicateInProgress;
                self.finish_not_run(now, id, reason, Some(DUPLICATE_RETRY_AFTER));
            }
            IdempotencyState::Answered => {
                let outcome = Outcome::Unknown(UnknownReason::AnswerNotHeld);
                self.finish(now, id, outcome, None, None);
            }
            IdempotencyState::Unknown => {
                let outcome = Outcome::Unknown(UnknownReason::EarlierAttemptUnknown);
                self.finish(now, id, outcome, None, None);
            }
        }
    }

    /// The earlier attempt whose answer is cached under the request's idempotency key.
    fn cached_answer_for(&self, id: RequestId) -> Option<AttemptId> {
        let key = self.requests.get(&id)?.idempotency?;
        self.answer_cache.get(key)
    }

    /// Answers a dispatcher that checks a long-held permit: confirms that it is in use, or
    /// releases it again when the earlier release was lost.
    fn permit_check(&mut self, from: NodeId, attempt: AttemptId) {
        if self.is_running(attempt) {
            let message = DispatchRequest::PermitInUse {
                gateway: self.member.incarnation,
                attempt,
            };
            self.send(from, message);
        } else if self.awaited_permit(from, attempt).is_none() {
            self.release(from, attempt, PermitEnd::Unused, Span::ZERO);
        }
    }

    /// Whether the attempt is in progress at a server, whether or not its request still
    /// waits for it.
    fn is_running(&self, attempt: AttemptId) -> bool {
        let awaited = self.requests.get(&attempt.request).is_some_and(|request| {
            request
                .sent_attempts
                .iter()
                .any(|sent_attempt| sent_attempt.number == attempt.number)
        });
        awaited || self.detached.contains_key(&attempt)
    }

    pub(super) fn release(
        &mut self,
        to: NodeId,
        attempt: AttemptId,
        end: PermitEnd,
        service_time: Span,
    ) {
        let release = Release {
            gateway: self.member.incarnation,
            attempt,
            end,
            service_time,
        };
        self.send(to, DispatchRequest::Release(release));
    }

    /// The request was held for the maximum time; it ends unless another attempt is in
    /// progress.
    pub(super) fn hold_ended(&mut self, now: Time, id: RequestId) {
        self.withdraw(id);
        self.end_search_not_run(now, id, NotRunReason::NoServer, Some(HOLD_LIMIT));
    }
}

fn acquiring_of(request: &ActiveRequest) -> Option<(PermitSearch, PendingAcquire)> {
    let search = request.search?;
    match search.stage {
        SearchStage::Acquiring(acquiring) => Some((search, acquiring)),
        SearchStage::Waiting { .. } => None,
    }
}
