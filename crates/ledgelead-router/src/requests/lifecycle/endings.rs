//! Lets requests wait, and produces their final responses.

use super::attempts::{CUT_AT_TIMEOUT, WRITE_MARGIN, log_attempt_ended};
use super::callers::Unrouted;
use super::{RequestContext, Requests};
use crate::Timestamp;
use crate::dialect::HeaderNames;
use crate::dispatch::PermitOutcome;
use crate::events::Event;
use crate::identity::ServiceName;
use crate::io::{Action, ClientId};
use crate::requests::answers::{Refusal, refusal};
use crate::requests::observed::Observed;
use crate::requests::open_request::{Attempt, OpenRequest};
use crate::requests::outcome::{AttemptOutcome, promises_not_run};
use crate::requests::refusal_share::retry_after;
use crate::whole_millis;
use ledgelead_http::{Request, Response};
use rand::RngExt;
use std::time::Duration;

/// Maximum random addition to `Retry-After`, as a share of it, so that refused clients don't
/// return at the same time.
const RETRY_AFTER_JITTER: f64 = 0.7;

/// `Retry-After` while no instance can be reached. Links are probed and peers asked again
/// within this time.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(700);
/// `Retry-After` for a request that was rejected by instances with free slots. The next
/// submission is as likely to be accepted at once as later, and a target latency is a few
/// hundred milliseconds, so this is only the time that a client needs to receive the response
/// and to connect again.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(30);

impl Requests {
    pub(super) fn wait(
        &mut self,
        client: ClientId,
        retry_at: Option<Timestamp>,
        reason: Refusal,
        context: &RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        if std::mem::take(&mut open.awaits_permit) {
            let permit = open.permit.take();
            if let Some(since) = open.waiting_since.take() {
                let rank = self.mechanisms.rank(open);
                self.waiting.remove(&(rank, since, client));
            }
            self.drop_permit(permit, PermitOutcome::NoSample);
        }
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        let since = *open.waiting_since.get_or_insert(context.now);
        let limit = open.wait_limit();
        if limit <= context.now {
            self.refuse(client, reason, context, out);
            return;
        }
        self.waiting
            .insert((self.mechanisms.rank(open), since, client));
        let wake = retry_at.map_or(limit, |retry_at| retry_at.min(limit));
        self.wake_at(client, wake);
    }

    /// Refuses a request whose body is not read.
    pub fn refuse_unread(
        &mut self,
        client: ClientId,
        request: &Request,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        self.counters.received += 1;
        self.refuse_unrouted(client, request, Refusal::NoMemory.into(), context, out);
    }

    /// Refuses a request for which no service was chosen.
    pub(super) fn refuse_unrouted(
        &mut self,
        client: ClientId,
        request: &Request,
        Unrouted { reason, delay }: Unrouted,
        context: &RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let unrouted = Event::Unrouted {
            request: attempt_name(request, context.headers),
            host: request.headers.text("host").unwrap_or_default(),
            path: request.path(),
            status: reason.status(),
            reason: reason.name(),
            configuration: context.configuration.map_or(0, |known| known.version),
        };
        unrouted.emit();
        let response = self.refusal(request, reason, delay, context);
        out.push(Action::Respond { client, response });
    }

    /// Answers a request for which no further attempt is made, for this reason if none of its
    /// attempts may have run.
    pub(super) fn refuse(
        &mut self,
        client: ClientId,
        not_run: Refusal,
        context: &RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get(&client) else {
            return;
        };
        if let Some(response) = open.failure_response.clone() {
            self.counters.relayed += 1;
            self.finish(client, relayed_response(response), out);
            return;
        }
        let reason = open.refusal_or_failure(not_run);
        let answered = Event::Answered {
            request: attempt_name(&open.request, context.headers),
            digest: open.digest(),
            service: &open.service,
            key: open.key,
            status: reason.status(),
            reason: reason.name(),
            after_ms: whole_millis(context.now.saturating_sub(open.received)),
            attempts: open.tried.len(),
            fence: owner_fence(open, context),
            ownership: context.ownership.revision(),
            configuration: context.configuration.map_or(0, |known| known.version),
        };
        answered.emit();
        let request = open.request.clone();
        let service = open.service.clone();
        let key = open.key;
        let known = match reason {
            Refusal::QueueTooLong => open.retry_after,
            Refusal::Suspected | Refusal::Quarantined => self.held_back_for(open, context),
            Refusal::Unreachable => Some(UNREACHABLE_RETRY_AFTER),
            _ => None,
        };
        let own = self.retry_after(&service, key, reason, context);
        let delay = known.unwrap_or(own);
        let response = self.refusal(&request, reason, delay, context);
        self.finish(client, response, out);
    }

    /// Produces the final response at a request's deadline.
    pub(super) fn expire(
        &mut self,
        client: ClientId,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        if let Some(attempt) = open.attempt.take() {
            let observed = Observed::ended_by_node(CUT_AT_TIMEOUT);
            log_attempt_ended(open, &attempt, &observed, context);
            open.may_have_run = true;
            if open.timed_out {
                // An earlier attempt was aborted, which left too little time for this one.
                self.slow_requests.record(open.digest(), context.now);
            }
            open.timed_out = true;
            self.end_attempt(&attempt, PermitOutcome::Failed);
            if let Some(peer) = attempt.via {
                context.forward_peers.cancelled(peer);
            }
            if !context.reachability.is_isolated() {
                self.statistics
                    .entry(&attempt.instance)
                    .record_failure(context.now);
            }
            out.push(Action::Cancel {
                exchange: attempt.exchange,
            });
        }
        self.refuse(client, Refusal::NotSentInTime, context, out);
    }

    /// Whether an attempt ended because its time was over. Then no time is left to try another
    /// connection.
    pub(super) fn is_out_of_time(
        &self,
        client: ClientId,
        outcome: &AttemptOutcome,
        context: &RequestContext<'_>,
    ) -> bool {
        let may_be_late = matches!(
            outcome,
            AttemptOutcome::NeverSent { refused: false }
                | AttemptOutcome::Unknown { timed_out: true }
        );
        let open = self.open.get(&client);
        may_be_late && open.is_some_and(|open| open.due <= context.now + WRITE_MARGIN)
    }

    /// Relays an instance's answer to the client.
    pub(super) fn relay(
        &mut self,
        client: ClientId,
        attempt: &Attempt,
        response: Response,
        observed: &Observed,
        context: &RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        if promises_not_run(response.status)
            && let Some(open) = self.open.get(&client)
        {
            log_attempt_ended(open, attempt, observed, context);
        }
        self.counters.relayed += 1;
        self.finish(client, relayed_response(response), out);
    }

    pub(super) fn finish(&mut self, client: ClientId, response: Response, out: &mut Vec<Action>) {
        if let Some(mut open) = self.open.remove(&client) {
            self.forget_timers(client, &open);
            self.drop_permit(open.permit.take(), PermitOutcome::NoSample);
        }
        out.push(Action::Respond { client, response });
    }

    /// When the client of a refused request may retry.
    fn retry_after(
        &mut self,
        service: &ServiceName,
        key: Option<u16>,
        reason: Refusal,
        context: &RequestContext<'_>,
    ) -> Duration {
        if let Refusal::BackedOff | Refusal::RateLimited | Refusal::Rejected = reason
            && let Some(left) = self.backoff_of(service, key, context)
        {
            return left;
        }
        if reason == Refusal::Rejected && self.rejects_with_free_slots(service, context) {
            return REJECTED_RETRY_AFTER;
        }
        if reason.lacks_capacity() {
            self.refusals.record_refusal(service, context.now);
        }
        let admitted = key
            .filter(|_| reason == Refusal::KeyOverloaded)
            .and_then(|key| context.overloads.admitted(service, key, context.now));
        let refused = match admitted {
            Some(admitted) => 1.0 - admitted,
            None => self.refused_or_rejected_share(service, context),
        };
        retry_after(refused)
    }

    pub(super) fn refusal(
        &mut self,
        request: &Request,
        reason: Refusal,
        delay: Duration,
        context: &RequestContext<'_>,
    ) -> Response {
        *self.counters.refused.entry(reason.name()).or_default() += 1;
        let jitter = match reason {
            // Only one of those that return is tried, and at that time alone.
            Refusal::Suspected => Duration::ZERO,
            _ => delay.mul_f64(self.rng.random_range(0.0..RETRY_AFTER_JITTER)),
        };
        refusal(request, reason, delay + jitter, context.headers)
    }
}

impl OpenRequest {
    /// The reason to give the client: only a request that has not run is refused.
    fn refusal_or_failure(&self, not_run: Refusal) -> Refusal {
        match (self.may_have_run, self.timed_out) {
            (true, true) => Refusal::AnswerLate,
            (true, false) => Refusal::AnswerLost,
            (false, _) => not_run,
        }
    }
}

/// The client's name for its request.
pub(super) fn attempt_name<'a>(request: &'a Request, headers: &HeaderNames) -> &'a str {
    request
        .headers
        .text(&headers.attempt_id)
        .unwrap_or("unnamed")
}

/// Fencing token of the assignment of a request's key.
pub(super) fn owner_fence(open: &OpenRequest, context: &RequestContext<'_>) -> Option<u64> {
    let key = open.key?;
    Some(context.ownership.find(&open.service, key)?.fence)
}

pub(super) fn relayed_response(mut response: Response) -> Response {
    response.headers.remove_connection_headers();
    response
}
