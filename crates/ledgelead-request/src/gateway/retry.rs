//! Retries: budget, backoff with full jitter, and a maximum number of attempts.

use super::Gateway;
use super::evidence::RetryCause;
use super::interface::GatewayOutput;
use super::request::{HOLD_LIMIT, PermitSearch, SearchStage, Target};
use ledgelead_types::event::Event;
use ledgelead_types::request::AttemptId;
use ledgelead_types::{NotRunReason, RequestId, ServerId, Span, Time, UnknownReason};
use rand::RngExt;

/// Maximum number of retries after the first attempt of a request.
const MAX_RETRIES: u8 = 3;

/// First and longest backoff; the actual delay is random between zero and the backoff.
const FIRST_BACKOFF: Span = Span::from_millis(10);
const MAX_BACKOFF: Span = Span::from_millis(200);

/// Retry delay advised to the caller when the retries are exhausted.
const EXHAUSTED_RETRY_AFTER: Span = Span::from_millis(500);

impl Gateway {
    /// Retries the request after an attempt, if allowed.
    pub(super) fn retry_request(&mut self, now: Time, attempt: AttemptId, cause: RetryCause) {
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let RetryCause::MaybeRun(reason) = cause {
            request.possibly_run = Some(reason);
        }
        if !request.sent_attempts.is_empty() {
            return;
        }
        self.withdraw(id);
        match cause {
            RetryCause::Relocate => {
                self.hold(now, id);
                self.record_retry(attempt);
            }
            RetryCause::NotStarted(NotRunReason::NoServer) if self.has_owner(id) => {
                self.wait_for_owner(now, attempt);
            }
            RetryCause::NotStarted(reason) => self.back_off(now, attempt, reason),
            RetryCause::MaybeRun(_) => self.back_off(now, attempt, NotRunReason::NoServer),
        }
    }

    /// A server was found lost: repeatable requests in progress there are retried elsewhere.
    /// Other requests wait for an answer until their deadline, because a retry could run
    /// them twice.
    pub(super) fn server_lost(&mut self, now: Time, server: ServerId) {
        let attempts: Vec<AttemptId> = self
            .requests
            .values()
            .filter(|request| request.repeatable)
            .flat_map(|request| {
                let at_server = request.sent_attempts.iter();
                at_server
                    .filter(|sent_attempt| sent_attempt.server == server)
                    .map(|sent_attempt| request.attempt(sent_attempt.number))
            })
            .collect();
        for attempt in attempts {
            self.cancel_attempt(now, attempt);
            let cause = RetryCause::MaybeRun(UnknownReason::ConnectionLost);
            self.retry_request(now, attempt, cause);
            self.reschedule(attempt.request);
        }
    }

    /// Whether only the owner of a key may run the request.
    fn has_owner(&self, id: RequestId) -> bool {
        let target = self.requests.get(&id).map(|request| request.target);
        matches!(target, Some(Target::Key { .. }))
    }

    /// The owner of the request's key is unreachable. Retries within milliseconds would all
    /// end before its lease expires, so the request is held for new routes for as long as
    /// recovery from the loss may take.
    fn wait_for_owner(&mut self, now: Time, attempt: AttemptId) {
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let since = *request.unreachable_since.get_or_insert(now);
        if now.since(since) >= HOLD_LIMIT {
            self.finish_not_run(now, id, NotRunReason::NoServer, Some(EXHAUSTED_RETRY_AFTER));
            return;
        }
        self.hold(now, id);
        self.record_retry(attempt);
    }

    fn back_off(&mut self, now: Time, attempt: AttemptId, reason: NotRunReason) {
        let id = attempt.request;
        let Some(wait) = self.backoff(id) else {
            self.finish_not_run(now, id, reason, Some(EXHAUSTED_RETRY_AFTER));
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.held_since = None;
        let retry_at = now + wait;
        if retry_at >= request.deadline {
            self.finish_not_run(now, id, NotRunReason::DeadlineTooClose, None);
            return;
        }
        request.search = Some(PermitSearch {
            number: request.last_number,
            hedge: false,
            stage: SearchStage::Waiting {
                retry_at,
                wake_on_routes: false,
            },
        });
        self.record_retry(attempt);
    }

    /// The delay before the next retry; `None` when retries or budget are exhausted.
    fn backoff(&mut self, id: RequestId) -> Option<Span> {
        let request = self.requests.get_mut(&id)?;
        if request.retries >= MAX_RETRIES {
            return None;
        }
        let longest = FIRST_BACKOFF
            .times(f64::from(1_u32 << request.retries))
            .min(MAX_BACKOFF);
        request.retries += 1;
        let service = request.service;
        if !self.service_state(service).retries.take() {
            return None;
        }
        let part: f64 = self.random.random_range(0.0..1.0);
        Some(longest.times(part))
    }

    fn record_retry(&mut self, attempt: AttemptId) {
        if self.requests.contains_key(&attempt.request) {
            self.outputs
                .push(GatewayOutput::Event(Event::RequestRetried {
                    request: attempt.request,
                    attempt: attempt.number,
                }));
        }
    }
}
