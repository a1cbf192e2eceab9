//! Finishes requests: exactly one outcome each, followed by the cleanup of attempts, limits
//! and idempotency records.

use super::forward::take_sent_attempt;
use super::interface::GatewayOutput;
use super::request::{ActiveRequest, SentAttempt};
use super::{Gateway, TimerKey};
use crate::message::PermitEnd;
use ledgelead_types::event::Event;
use ledgelead_types::protections::Protection;
use ledgelead_types::request::AttemptId;
use ledgelead_types::{NotRunReason, Outcome, RequestId, Span, Time, UnknownReason};

/// How long a cancelled attempt is awaited before its permit is released as lost.
const DETACHED_TIMEOUT: Span = Span::from_seconds(1);

/// Retry delay advised when nothing more specific is known.
const DEFAULT_RETRY_AFTER: Span = Span::from_millis(500);

/// The retry delay advised for an outcome without a more specific one.
fn default_retry_after(outcome: Outcome) -> Option<Span> {
    match outcome {
        Outcome::NotRun(
            NotRunReason::NoServer | NotRunReason::Overloaded | NotRunReason::DeadlineTooClose,
        ) => Some(DEFAULT_RETRY_AFTER),
        _ => None,
    }
}

impl Gateway {
    /// Answers the caller and removes the request. Attempts still in progress at servers are
    /// cancelled; when they end, only their permits are released.
    pub(super) fn finish(
        &mut self,
        now: Time,
        id: RequestId,
        outcome: Outcome,
        attempt: Option<AttemptId>,
        retry_after: Option<Span>,
    ) {
        self.withdraw(id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.timers.clear(TimerKey::Request(id));
        if let Some(searching) = self.searching.get_mut(&request.service) {
            searching.remove(&id);
        }
        if let Some(caller) = request.caller {
            self.limits.leave(caller);
        }
        self.cache_answer(now, &request, outcome, attempt);
        self.outputs.push(GatewayOutput::Respond {
            request: id,
            outcome,
            attempt,
            retry_after: retry_after.or(default_retry_after(outcome)),
        });
        for sent_attempt in &request.sent_attempts {
            self.cancel(now, request.attempt(sent_attempt.number), sent_attempt);
        }
        self.end_record(now, &request, outcome);
        self.record(now, &request, outcome);
    }

    fn record(&mut self, now: Time, request: &ActiveRequest, outcome: Outcome) {
        self.outputs
            .push(GatewayOutput::Event(Event::RequestFinished {
                request: request.id,
                service: Some(request.service),
                tier: request.tier,
                outcome,
                attempts: request.sent,
                latency: now.since(request.arrived),
            }));
    }

    fn cancel(&mut self, now: Time, attempt: AttemptId, sent_attempt: &SentAttempt) {
        self.outputs.push(GatewayOutput::Cancel {
            attempt,
            server: sent_attempt.server,
            address: sent_attempt.address.clone(),
        });
        self.detached.insert(attempt, sent_attempt.clone());
        self.timers
            .set(TimerKey::Detached(attempt), now + DETACHED_TIMEOUT);
    }

    /// Cancels one attempt while the request itself continues.
    pub(super) fn cancel_attempt(&mut self, now: Time, attempt: AttemptId) {
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        if let Some(sent_attempt) = take_sent_attempt(request, attempt.number) {
            self.cancel(now, attempt, &sent_attempt);
        }
    }

    pub(super) fn take_detached(&mut self, attempt: AttemptId) -> Option<SentAttempt> {
        self.timers.clear(TimerKey::Detached(attempt));
        self.detached.remove(&attempt)
    }

    pub(super) fn forget_detached(&mut self, now: Time, attempt: AttemptId) {
        if let Some(sent_attempt) = self.detached.remove(&attempt) {
            let held = now.since(sent_attempt.sent_at);
            self.release(sent_attempt.dispatcher, attempt, PermitEnd::Lost, held);
        }
    }

    /// Finishes the request as "not run", or as unknown if an earlier attempt may have run.
    pub(super) fn finish_not_run(
        &mut self,
        now: Time,
        id: RequestId,
        reason: NotRunReason,
        retry_after: Option<Span>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let outcome = match request.possibly_run {
            Some(reason) => self.unknown_outcome(reason),
            None => Outcome::NotRun(reason),
        };
        self.finish(now, id, outcome, None, retry_after);
    }

    /// Ends the search for a permit without one. The request finishes unless another attempt
    /// is still in progress.
    pub(super) fn end_search_not_run(
        &mut self,
        now: Time,
        id: RequestId,
        reason: NotRunReason,
        retry_after: Option<Span>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.search = None;
        if request.sent_attempts.is_empty() {
            self.finish_not_run(now, id, reason, retry_after);
        }
    }

    pub(super) fn deadline_passed(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let outcome = if request.may_have_run() {
            self.unknown_outcome(UnknownReason::DeadlinePassed)
        } else if request.held_since.is_some() {
            Outcome::NotRun(NotRunReason::NoServer)
        } else {
            Outcome::NotRun(NotRunReason::DeadlineTooClose)
        };
        self.finish(now, id, outcome, None, None);
    }

    pub(super) fn caller_left(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let outcome = if request.may_have_run() {
            Outcome::Unknown(UnknownReason::CallerGone)
        } else {
            Outcome::NotRun(NotRunReason::CallerGone)
        };
        self.finish(now, id, outcome, None, None);
    }

    /// The outcome of a request that may have run. With [`Protection::AccurateNotRun`] off
    /// it wrongly claims "not run", which the simulation's checker has to detect.
    pub(super) fn unknown_outcome(&self, reason: UnknownReason) -> Outcome {
        if self.protections.has(Protection::AccurateNotRun) {
            Outcome::Unknown(reason)
        } else {
            Outcome::NotRun(NotRunReason::NoServer)
        }
    }
}
