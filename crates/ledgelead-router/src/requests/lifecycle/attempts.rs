//! Sends attempts, aborts those that take too long, and evaluates their results.

use super::ANSWER_MARGIN;
use super::crashes::is_trial;
use super::endings::{attempt_name, owner_fence};
use super::forwarding::{AttemptPath, wrapped};
use super::retries::rejection_cause;
use super::{RequestContext, Requests};
use crate::Timestamp;
use crate::answer_filter::AnswerFilter;
use crate::dialect::HeaderNames;
use crate::dispatch::PermitOutcome;
use crate::events::Event;
use crate::identity::{InstanceId, ServiceName};
use crate::io::{Action, ClientId, ConnectionReuse, ExchangeFailure, ExchangeOptions};
use crate::mechanisms::Mechanism;
use crate::protections::Protection;
use crate::rate_limit::RateNotice;
use crate::reachability::Path;
use crate::requests::answers::Refusal;
use crate::requests::notice::Notice;
use crate::requests::observed::Observed;
use crate::requests::open_request::{Attempt, Misdirection, OpenRequest};
use crate::requests::outcome::{AttemptOutcome, is_server_failure};
use crate::requests::rejection_cause::RejectionCause;
use crate::requests::selection::Selected;
use crate::requests::statistics::ReportedLoad;
use crate::validation::MAX_SLOTS;
use crate::whole_millis;
use ledgelead_http::{Request, Response};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a kept connection may have been closed by the instance.
const REUSE_IDLE: Duration = Duration::from_secs(7);
/// The same for requests that must not be sent again if the connection turns out to be closed.
const REUSE_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(3);
/// How long before its deadline a request that is not completely written is given up, so that
/// the client is still connected to learn that the request has not run.
pub(super) const WRITE_MARGIN: Duration = Duration::from_millis(10);
/// How long a new connection is observed before a non-idempotent request is written to it. A
/// reset follows the connection setup within some tenths of a millisecond, and this node can't
/// rule out that a request written before the reset has run.
const OBSERVE_NON_IDEMPOTENT: Duration = Duration::from_millis(2);
/// Share of the target latency after which an idempotent request is sent to another instance,
/// if the first one has not answered anything since.
const SLOW_ATTEMPT_SHARE: f64 = 1.3;
/// The same for an instance that answers other requests: it is usually processing this one
/// too, and an aborted request starts over elsewhere. Its response may have been lost, though.
const SLOW_ATTEMPT_SHARE_IF_ANSWERING: f64 = 2.0;
/// A connection lost within this time was lost while the request was being sent.
const PROMPT_LOSS: Duration = Duration::from_millis(25);
/// Logged for an attempt that was aborted in favor of another one.
const ABORTED_FOR_RETRY: &str = "abandoned";
/// Logged for an attempt without a response at the request's deadline.
pub(super) const CUT_AT_TIMEOUT: &str = "cut_at_timeout";
/// Interval between two reviews of an attempt.
const REVIEW_PAUSE: Duration = Duration::from_millis(60);
/// Pause before a key's owner that rejected a request is tried again.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(60);

impl Requests {
    /// Aborts an attempt that has been in flight for too long, if another one can be made.
    /// Returns whether it did.
    pub(super) fn abort_slow_attempt(
        &mut self,
        client: ClientId,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(open) = self.open.get(&client) else {
            return false;
        };
        let Some(attempt) = open.attempt.clone() else {
            return false;
        };
        let reviews = self.mechanisms.has(Mechanism::SlowAttemptRetry) && !self.stopping;
        if attempt.review_at > context.now || !reviews || !open.is_idempotent() {
            let next = if attempt.review_at > context.now && reviews {
                attempt.review_at.min(open.due)
            } else {
                open.due
            };
            self.wake_at(client, next);
            return false;
        }
        let due = open.due;
        let should = self.should_abort(open, &attempt, context);
        if !should || !self.has_alternative(client, context) {
            let next = (context.now + REVIEW_PAUSE).min(due);
            self.wake_at(client, next);
            return false;
        }
        if let Some(peer) = attempt.via {
            context.forward_peers.cancelled(peer);
        }
        if let Some(open) = self.open.get_mut(&client) {
            open.attempt = None;
            open.may_have_run = true;
            open.timed_out = true;
            let observed = Observed::ended_by_node(ABORTED_FOR_RETRY);
            log_attempt_ended(open, &attempt, &observed, context);
        }
        self.end_attempt(&attempt, PermitOutcome::Failed);
        self.statistics
            .entry(&attempt.instance)
            .record_failure(context.now);
        out.push(Action::Cancel {
            exchange: attempt.exchange,
        });
        true
    }

    pub(super) fn should_abort(
        &self,
        open: &OpenRequest,
        attempt: &Attempt,
        context: &RequestContext<'_>,
    ) -> bool {
        if open.tried.len() >= open.route.max_attempts as usize || is_trial(open, context) {
            return false;
        }
        // Only an answer can show that the request did not end the instance with which it was lost.
        if !context.evidence.is_empty() && context.evidence.counts_against(&open.digest()) {
            return false;
        }
        if !self.slow_requests.is_empty()
            && self.slow_requests.contains(&open.digest(), context.now)
        {
            return false;
        }
        let answers_others = self
            .statistics
            .get(&attempt.instance)
            .and_then(|stats| stats.last_answer())
            .is_some_and(|at| at > attempt.sent);
        let silence_limit = open
            .route
            .target_latency
            .mul_f64(SLOW_ATTEMPT_SHARE_IF_ANSWERING);
        if answers_others && attempt.sent + silence_limit > context.now {
            return false;
        }
        let left = open.due.saturating_sub(context.now);
        // The key's owner is either processing the request or has lost it. Sending it to the
        // same owner again would abort work that is already partly done.
        let another = match open.key {
            Some(key) => context
                .ownership
                .find(&open.service, key)
                .is_some_and(|assignment| assignment.owner != attempt.instance),
            None => true,
        };
        // The peer may have lost it, and another one can forward it.
        let another = another || attempt.via.is_some();
        another
            && left > attempt.expected.min(open.route.target_latency / 2)
            && self.can_retry(open, context)
    }

    /// Whether another instance has a free slot for a request, so that aborting its attempt is
    /// of use. Keyed requests go to the owner in the ownership record.
    fn has_alternative(&mut self, client: ClientId, context: &RequestContext<'_>) -> bool {
        let Some(open) = self.open.get(&client) else {
            return false;
        };
        let left = open.time_left(context.now);
        let is_keyed = open.key.is_some();
        is_keyed
            || self
                .select_instance(client, context)
                .is_some_and(|selected| selected.load_factor <= 1.0 && selected.cost <= left)
    }

    /// Whether an idempotent request may be sent again after its instance failed.
    pub(super) fn may_retry_failed(&self, client: ClientId, context: &RequestContext<'_>) -> bool {
        self.open.get(&client).is_some_and(|open| {
            open.is_idempotent()
                && self.mechanisms.has(Mechanism::RepeatFailed)
                && !self.stopping
                && open.tried.len() < open.route.max_attempts as usize
                && open.due > context.now
                && self.can_retry(open, context)
        })
    }

    pub(super) fn send(
        &mut self,
        client: ClientId,
        selected: Selected,
        address: SocketAddr,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(path) = self.attempt_path(&selected.id, context) else {
            self.refuse(client, Refusal::Unreachable, context, out);
            return;
        };
        let Some(open) = self.open.get(&client) else {
            return;
        };
        // An attempt at an instance that was never reached doesn't make the next one a retry.
        let is_retry = !open.tried.is_empty();
        if is_retry && !self.acquire_retry(client, selected.expected, context) {
            self.refuse(client, Refusal::Rejected, context, out);
            return;
        }
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        if let Some(since) = open.waiting_since.take() {
            self.waiting
                .remove(&(self.mechanisms.rank(open), since, client));
        }
        self.record_trial(client, &selected.id, context);
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        open.token = None;
        let permit = open.permit.take();
        let (permit, unused) = match permit {
            Some(permit) if permit.covers(&selected.id) => (Some(permit), None),
            other => (None, other),
        };
        let instance = context.directory.get(&selected.id);
        if instance.is_some_and(|instance| instance.is_cold(context.now)) {
            self.cold_sends.record(&selected.id, context.now);
        }
        let exchange = context.exchanges.next_id();
        let limits_idle_time = self.mechanisms.has(Mechanism::IdleConnectionLimit);
        let idle_limit = self
            .idle_limit
            .current(context.now)
            .filter(|_| limits_idle_time);
        let options = attempt_options(open, &selected.id, idle_limit, context);
        let review = open.route.target_latency.mul_f64(SLOW_ATTEMPT_SHARE);
        let request = forwarded_request(open, &selected.id, context);
        let (via, address, request, options) = match path {
            AttemptPath::Direct => (None, address, request, options),
            AttemptPath::ByPeer(peer) => {
                let is_idempotent = open.is_idempotent();
                let is_fresh = open.tried.contains(&selected.id);
                let (request, options) =
                    wrapped(request, &selected.id, is_idempotent, is_fresh, &options);
                context.forward_peers.sent(peer);
                (Some(peer), peer, request, options)
            }
        };
        open.tried.push(selected.id.clone());
        open.attempt = Some(Attempt {
            exchange,
            instance: selected.id.clone(),
            via,
            is_retry,
            sent: context.now,
            load_factor: selected.load_factor,
            review_at: context.now + review,
            expected: selected.expected,
            permit,
        });
        let due = open.due.min(context.now + review);
        self.counters.attempts += 1;
        self.by_exchange.insert(exchange, client);
        self.statistics.entry(&selected.id).open += 1;
        self.changed_load.insert(selected.id);
        self.wake_at(client, due);
        self.drop_permit(unused, PermitOutcome::NoSample);
        out.push(Action::Exchange {
            exchange,
            address,
            request,
            options: Box::new(options),
        });
    }

    pub(super) fn attempt_failed(
        &mut self,
        client: ClientId,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        observed: &Observed,
        cause: Option<RejectionCause>,
        context: &RequestContext<'_>,
    ) {
        let uses_rejection_cause = self.mechanisms.has(Mechanism::RejectionCause);
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        let assignment = open
            .key
            .and_then(|key| context.ownership.find(&open.service, key));
        log_attempt_ended(open, attempt, observed, context);
        match outcome {
            AttemptOutcome::NeverSent { .. } => {
                // Removes this attempt only: an earlier one at the same instance may have run.
                open.tried.pop();
                open.unsent += 1;
                if attempt.is_retry {
                    let rank = self.mechanisms.rank(open);
                    self.budget.refund_for(&open.service, rank);
                }
                if open.key.is_none() {
                    // Another instance is tried at once; the failure statistics keep this one
                    // from being selected.
                    open.rejected = true;
                }
                // Another path to the owner is tried at once.
                let has_other_path =
                    context.reachability.path(&attempt.instance, context.now) == Path::ByPeer;
                let pause = match has_other_path {
                    true => Duration::ZERO,
                    false => MISDIRECTED_PAUSE,
                };
                let retry_at = Some(context.now + pause);
                open.misdirection = Misdirection::at(&attempt.instance, assignment, retry_at);
            }
            AttemptOutcome::Rejected { misdirected, ended } => {
                open.rejected = true;
                if ended {
                    self.ended_instances.push(attempt.instance.clone());
                }
                // An owner that rejects one of several requests although it has free slots
                // accepts the next one at once.
                let has_free_slots =
                    uses_rejection_cause && cause == Some(RejectionCause::FreeSlots);
                let pause = match has_free_slots && open.tried.len() < 2 {
                    true => Duration::ZERO,
                    false => MISDIRECTED_PAUSE,
                };
                let retry_at = context.now + pause;
                let once_more = !ended && (!misdirected || open.tried.len() < 2);
                let retry_at = once_more.then_some(retry_at);
                open.misdirection = Misdirection::at(&attempt.instance, assignment, retry_at);
                self.misdirected |= misdirected && open.misdirection.is_some();
            }
            AttemptOutcome::Unknown { timed_out } => {
                open.may_have_run = self.protections.has(Protection::AccurateRefusal);
                open.timed_out |= timed_out;
            }
            AttemptOutcome::Failed(response) => {
                open.may_have_run = true;
                open.failure_response = Some(response);
            }
            AttemptOutcome::Relay(_) => {}
        }
        let retries_unknown = !self.protections.has(Protection::RetryOnlyIfNotRun);
        if open.may_have_run && !open.is_idempotent() && !retries_unknown {
            open.exhausted = true;
        }
    }

    /// Records how long an owner was busy with an attempt that it ran, or may have run.
    pub(super) fn record_owner_work(
        &mut self,
        client: ClientId,
        attempt: &Attempt,
        result: &Result<Response, ExchangeFailure>,
        context: &RequestContext<'_>,
    ) {
        let keyed = self
            .open
            .get(&client)
            .is_some_and(|open| open.key.is_some());
        let not_executed = &context.headers.not_executed;
        let ran = match result {
            Ok(response) => response.headers.get(not_executed).is_none(),
            // The time that a request of an isolated node took is no work of the owner.
            Err(failure) => !failure.lacks_whole_request() && !context.reachability.is_isolated(),
        };
        if keyed && ran {
            let took = context.now.saturating_sub(attempt.sent);
            let work = self.owner_work.entry(attempt.instance.clone()).or_default();
            work.add(took, result.is_ok());
        }
    }

    pub(super) fn record_result(
        &mut self,
        attempt: &Attempt,
        result: &Result<Response, ExchangeFailure>,
        was_attempted: bool,
        context: &RequestContext<'_>,
    ) -> Option<RejectionCause> {
        let now = context.now;
        let mut cause = None;
        match result {
            Ok(response) => {
                let notice = Notice::of(&attempt.instance, response, context.headers);
                self.apply_notice(&attempt.instance, notice, context);
                let rate = RateNotice::of(&attempt.instance, response, context.headers);
                self.apply_rate_notice(&attempt.instance, rate, now);
                let load = reported_load(response, context);
                let instance = context.directory.get(&attempt.instance);
                let rejected = is_rejection(response, context);
                cause = rejected.then(|| rejection_cause(notice, load.as_ref(), instance));
                let counts = self.record_rejection(attempt, cause, context);
                let stats = self.statistics.entry(&attempt.instance);
                stats.record_response(now);
                if cause.is_some() && counts {
                    stats.record_rejection(now);
                } else if cause.is_none() && is_server_failure(response) {
                    stats.record_failure(now);
                }
                let slots = instance.map_or(1, |instance| instance.record.slots.max(1));
                if let Some(instance) = instance.filter(|_| response.is_success()) {
                    record_load_reporting(
                        &mut self.load_reporting,
                        &instance.record.service,
                        load.is_some(),
                    );
                }
                // The load reported by the instance takes precedence over this node's
                // estimate, which for owners is extrapolated to all zones.
                let mut factor = attempt.load_factor;
                if let Some(load) = load {
                    let open = load.running.saturating_add(load.waiting);
                    factor = f64::from(open) / f64::from(slots);
                    stats.record_load(load);
                }
                if response.is_success() {
                    stats.record_success(now.saturating_sub(attempt.sent), factor, now);
                }
            }
            Err(failure) if self.may_be_own_failure(attempt, was_attempted, *failure, context) => {}
            Err(_) => self.statistics.entry(&attempt.instance).record_failure(now),
        }
        cause
    }

    /// Updates the idle limit. If a connection ends right after a request is sent on it, the
    /// instance may have dropped it silently while it was idle.
    pub(super) fn record_connection_result(
        &mut self,
        attempt: &Attempt,
        result: &Result<Response, ExchangeFailure>,
        idle_for: Duration,
        now: Timestamp,
    ) {
        let prompt = now.saturating_sub(attempt.sent) <= PROMPT_LOSS;
        match result {
            Ok(_) => self.idle_limit.record_answered(idle_for, now),
            Err(ExchangeFailure::Lost | ExchangeFailure::Incomplete { timed_out: false })
                if prompt =>
            {
                self.idle_limit.record_lost(idle_for, now);
            }
            Err(_) => {}
        }
    }

    pub(super) fn end_attempt(&mut self, attempt: &Attempt, outcome: PermitOutcome) {
        self.by_exchange.remove(&attempt.exchange);
        if let Some(permit) = &attempt.permit {
            self.permits.release(permit, outcome);
        }
        let stats = self.statistics.entry(&attempt.instance);
        stats.open = stats.open.saturating_sub(1);
        self.changed_load.insert(attempt.instance.clone());
    }
}

/// Whether an instance rejected a request that it could have run.
fn is_rejection(response: &Response, context: &RequestContext<'_>) -> bool {
    let not_executed = &context.headers.not_executed;
    response.headers.get(not_executed).is_some() && response.status != 421
}

/// Records whether the instances of a service report their load.
fn record_load_reporting(
    reporting: &mut BTreeSet<ServiceName>,
    service: &ServiceName,
    reports: bool,
) {
    if !reports {
        reporting.remove(service);
    } else if !reporting.contains(service) {
        reporting.insert(service.clone());
    }
}

/// Logs the end of an attempt.
pub(super) fn log_attempt_ended(
    open: &OpenRequest,
    attempt: &Attempt,
    observed: &Observed,
    context: &RequestContext<'_>,
) {
    let ended = Event::AttemptEnded {
        request: attempt_name(&open.request, context.headers),
        digest: open.digest(),
        service: &open.service,
        key: open.key,
        instance: &attempt.instance,
        via: attempt.via,
        forward: observed.forward,
        sent_after_ms: whole_millis(attempt.sent.saturating_sub(open.received)),
        took_ms: whole_millis(context.now.saturating_sub(attempt.sent)),
        ended: observed.ended,
        failure: observed.failure,
        status: observed.status,
        answered_by: observed.answered_by.as_deref(),
        idle_ms: observed.idle_ms,
        fence: owner_fence(open, context),
        ownership: context.ownership.revision(),
    };
    ended.emit();
}

fn attempt_options(
    open: &OpenRequest,
    instance: &InstanceId,
    idle_limit: Option<Duration>,
    context: &RequestContext<'_>,
) -> ExchangeOptions {
    let since_recovery = context.reachability.reuse_limit(instance, context.now);
    let profile = RequestProfile {
        is_idempotent: open.is_idempotent(),
        fresh_connection: open.tried.contains(instance),
        // Slightly longer than this node waits: the request's own timer produces the final
        // response at its deadline.
        left: open.due.saturating_sub(context.now) + ANSWER_MARGIN,
        max_idle: idle_limit.into_iter().chain(since_recovery).min(),
    };
    request_options(&open.request, &profile, context.headers)
}

/// What the options of an attempt depend on.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether it needs a new connection. A retry has the id of its first attempt, so a second
    /// answer to that one would pass for its own.
    pub fresh_connection: bool,
    /// Time for the attempt.
    pub left: Duration,
    /// Maximum idle time of a connection that is reused, if limited.
    pub max_idle: Option<Duration>,
}

/// The options of an attempt to send a client's request to an instance.
pub fn request_options(
    request: &Request,
    profile: &RequestProfile,
    headers: &HeaderNames,
) -> ExchangeOptions {
    let reuse_idle_below = match (profile.fresh_connection, profile.is_idempotent) {
        (true, _) => Duration::ZERO,
        (false, true) => REUSE_IDLE,
        (false, false) => REUSE_IDLE_NON_IDEMPOTENT,
    };
    let reuse_idle_below = profile
        .max_idle
        .map_or(reuse_idle_below, |limit| limit.min(reuse_idle_below));
    let left = profile.left.saturating_sub(ANSWER_MARGIN);
    let write_timeout = left - WRITE_MARGIN.min(left / 2);
    let header = &headers.attempt_id;
    let (answer, reuse_idle_below, reuse) = match request.headers.get(header) {
        Some(id) => {
            let answer = AnswerFilter::Equal(header.as_str().into(), id.into());
            (answer, reuse_idle_below, ConnectionReuse::Always)
        }
        // The answer to a request without an id has none either, so it can't be told from a
        // second answer to an earlier one.
        None => {
            let answer = AnswerFilter::WithoutHeader {
                header: header.as_str().into(),
                on_success: None,
            };
            (answer, Duration::ZERO, ConnectionReuse::Never)
        }
    };
    ExchangeOptions {
        answer,
        reuse_idle_below,
        reuse,
        write_timeout: Some(write_timeout),
        // Retrying an idempotent request costs less than delaying every one.
        observe_before_write: if profile.is_idempotent {
            Duration::ZERO
        } else {
            OBSERVE_NON_IDEMPOTENT
        },
        ..ExchangeOptions::new(CONNECT_TIMEOUT.min(write_timeout), profile.left)
    }
}

fn forwarded_request(
    open: &OpenRequest,
    instance: &InstanceId,
    context: &RequestContext<'_>,
) -> Request {
    let mut request = open.request.clone();
    request.headers.remove_connection_headers();
    let left = open.due.saturating_sub(context.now).as_millis().max(1);
    request
        .headers
        .set(&context.headers.deadline, left.to_string());
    request
        .headers
        .set(&context.headers.target_instance, instance.name());
    request
}

pub(super) fn reported_load(
    response: &Response,
    context: &RequestContext<'_>,
) -> Option<ReportedLoad> {
    let text = response.headers.text(&context.headers.load)?;
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    // The number of slots comes before; it is known from the instance's registration.
    let slowness = numbers.nth(1).and_then(Result::ok);
    Some(ReportedLoad {
        running: running.min(MAX_SLOTS),
        waiting: waiting.min(MAX_SLOTS),
        slowness: slowness.and_then(|percent| u16::try_from(percent).ok()),
        at: context.now,
    })
}
