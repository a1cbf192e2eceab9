//! Decides on each open request: send, wait, or answer.

use super::answers::{Refusal, refusal};
use super::budget::{BudgetBounds, RetryBudget};
use super::open_request::{Attempt, Misdirection, OpenRequest};
use super::outcome::{Verdict, judge};
use super::selection::{Selected, SelectionContext};
use super::statistics::{ReportedLoad, StatisticsTable};
use crate::Timestamp;
use crate::configuration::{Configuration, Route, RouteTable};
use crate::dialect::HeaderNames;
use crate::directory::Directory;
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::io::{Action, ClientId, ExchangeFailure, ExchangeId, ExchangeOptions};
use crate::ownership::coordinator::ExchangeIds;
use crate::ownership::view::OwnershipView;
use crate::peers::SharedLoad;
use crate::protections::{Protection, Protections};
use ledgelead_http::{Request, Response};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that a client needs to get an answer before it leaves.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Time for a connection to an instance to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A kept connection that was idle for longer may be closed by now.
const REUSE_IDLE: Duration = Duration::from_secs(7);
/// The same for requests that can't be sent again after such a close.
const REUSE_IDLE_ONCE: Duration = Duration::from_secs(3);
/// After this share of the target latency an idempotent request is sent to
/// another instance, if the first has been silent since.
const REVIEW_SHARE: f64 = 1.3;
/// The same for an instance that answers others: its answer to this one may
/// be lost.
const REVIEW_EXPECTED: f64 = 4.0;
/// Pause between two reviews of an attempt.
const REVIEW_PAUSE: Duration = Duration::from_millis(60);
/// Pause before an owner that rejected a key is asked again.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(60);
/// Share of the time left that an owner's queue may take.
const OWNER_WAIT_SHARE: f64 = 1.0;
/// When a refused client may come back, at the earliest.
const RETRY_AFTER: Duration = Duration::from_millis(120);
/// By how much that is spread, so that clients don't come back together.
const RETRY_AFTER_SPREAD_MS: u64 = 120;
/// Share of the drain bound after which a leaving owner gets nothing more.
const DRAIN_SHARE: f64 = 0.35;

/// What a step of the requests rests on.
pub struct RequestContext<'a> {
    /// The time.
    pub now: Timestamp,
    /// The configuration, once one is known.
    pub configuration: Option<&'a Configuration>,
    /// Its routes.
    pub routes: &'a RouteTable,
    /// The instances.
    pub directory: &'a Directory,
    /// The owners of keys.
    pub ownership: &'a OwnershipView,
    /// What other nodes of the zone have open.
    pub shared: &'a SharedLoad,
    /// Names of headers.
    pub headers: &'a HeaderNames,
    /// Numbers exchanges.
    pub exchanges: &'a mut ExchangeIds,
    /// Registered nodes, which share the retry budget.
    pub nodes: usize,
    /// How many zones have nodes.
    pub zones: u32,
}

/// Counts for metrics.
#[derive(Clone, Debug, Default)]
pub struct RequestCounters {
    /// Requests received.
    pub received: u64,
    /// Instances' answers passed on.
    pub relayed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Clients that left.
    pub left: u64,
    /// Own answers by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

/// All open requests.
pub struct Requests {
    open: HashMap<ClientId, OpenRequest>,
    by_exchange: HashMap<ExchangeId, ClientId>,
    waiting: BTreeSet<(u32, Timestamp, ClientId)>,
    wake: BTreeSet<(Timestamp, ClientId)>,
    woken_at: HashMap<ClientId, Timestamp>,
    statistics: StatisticsTable,
    budget: RetryBudget,
    zone: ZoneName,
    drain_bound: Duration,
    rng: Pcg64Mcg,
    asked: BTreeMap<ServiceName, Vec<u16>>,
    changed: BTreeSet<InstanceId>,
    ended: Vec<InstanceId>,
    stopping: bool,
    protections: Protections,
    counters: RequestCounters,
}

enum Step {
    Send(Selected, SocketAddr),
    Wait {
        again: Option<Timestamp>,
        reason: Refusal,
    },
    Refuse(Refusal),
}

impl Requests {
    /// None yet.
    pub fn new(
        zone: ZoneName,
        drain_bound: Duration,
        bounds: BudgetBounds,
        protections: Protections,
        rng: Pcg64Mcg,
    ) -> Requests {
        Requests {
            open: HashMap::new(),
            by_exchange: HashMap::new(),
            waiting: BTreeSet::new(),
            wake: BTreeSet::new(),
            woken_at: HashMap::new(),
            statistics: StatisticsTable::default(),
            budget: RetryBudget::new(bounds),
            zone,
            drain_bound,
            rng,
            asked: BTreeMap::new(),
            changed: BTreeSet::new(),
            ended: Vec::new(),
            stopping: false,
            protections,
            counters: RequestCounters::default(),
        }
    }

    /// Takes over changed settings.
    pub fn set_bounds(&mut self, drain_bound: Duration, bounds: BudgetBounds) {
        self.drain_bound = drain_bound;
        self.budget.set_bounds(bounds);
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Counts for metrics.
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    /// What this node has seen of the instances.
    pub fn statistics(&self) -> &StatisticsTable {
        &self.statistics
    }

    /// Forgets instances that are unknown.
    pub fn forget_instances(&mut self, directory: &Directory) {
        self.statistics.retain(|id| directory.get(id).is_some());
    }

    /// Keys asked for since the last call, by service.
    pub fn take_asked(&mut self) -> BTreeMap<ServiceName, Vec<u16>> {
        std::mem::take(&mut self.asked)
    }

    /// Instances whose number of open requests changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(InstanceId, u32)> {
        std::mem::take(&mut self.changed)
            .into_iter()
            .map(|id| {
                let open = self.statistics.get(&id).map_or(0, |seen| seen.open);
                (id, open)
            })
            .collect()
    }

    /// Instances whose end was proved since the last call.
    pub fn take_ended(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.ended)
    }

    /// From now on no attempt is broken off for another: the node stops, and
    /// what its clients wait for must not be cut.
    pub fn begin_stopping(&mut self) {
        self.stopping = true;
    }

    /// Whether the exchange is an attempt of a request.
    pub fn owns(&self, exchange: ExchangeId) -> bool {
        self.by_exchange.contains_key(&exchange)
    }

    /// The next time at which a request needs a decision.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.wake.first().map(|(at, _)| *at)
    }

    /// A client's request came.
    pub fn arrived(
        &mut self,
        client: ClientId,
        request: Request,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        self.counters.received += 1;
        match self.classify(request, context) {
            Ok(open) => {
                self.budget.requested(&open.service, context.now);
                if let Some(key) = open.key {
                    self.asked
                        .entry(open.service.clone())
                        .or_default()
                        .push(key);
                }
                self.open.insert(client, open);
                self.advance(client, context, out);
            }
            Err((request, reason)) => {
                let response = self.refusal(&request, reason, context);
                out.push(Action::Respond { client, response });
            }
        }
    }

    /// The client left: its request is broken off.
    pub fn left(&mut self, client: ClientId, out: &mut Vec<Action>) {
        let Some(mut open) = self.open.remove(&client) else {
            return;
        };
        self.counters.left += 1;
        self.forget_timers(client, &open);
        if let Some(attempt) = open.attempt.take() {
            self.end_attempt(&attempt);
            out.push(Action::Cancel {
                exchange: attempt.exchange,
            });
        }
    }

    /// An attempt ended.
    pub fn exchanged(
        &mut self,
        exchange: ExchangeId,
        result: Result<Response, ExchangeFailure>,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(client) = self.by_exchange.get(&exchange).copied() else {
            return;
        };
        let Some(attempt) = self
            .open
            .get_mut(&client)
            .and_then(|open| open.attempt.take())
        else {
            return;
        };
        self.end_attempt(&attempt);
        self.learn(&attempt, &result, context);
        let verdict = judge(result, &attempt.instance, context.headers);
        match verdict {
            Verdict::Relay(response) => {
                self.counters.relayed += 1;
                self.finish(client, relayed(response), out);
            }
            other => {
                self.attempt_failed(client, &attempt, &other, context);
                self.advance(client, context, out);
            }
        }
    }

    /// The time has come for some requests.
    pub fn deadline(&mut self, context: &mut RequestContext<'_>, out: &mut Vec<Action>) {
        while let Some((at, client)) = self.wake.first().copied() {
            if at > context.now {
                return;
            }
            self.wake.pop_first();
            self.woken_at.remove(&client);
            self.advance(client, context, out);
        }
    }

    /// Owners, instances or their load changed: those that wait are looked at
    /// again, the most urgent and oldest first.
    pub fn reconsider(&mut self, context: &mut RequestContext<'_>, out: &mut Vec<Action>) {
        let waiting: Vec<ClientId> = self.waiting.iter().map(|(_, _, client)| *client).collect();
        for client in waiting {
            self.advance(client, context, out);
        }
    }

    /// Whether some request waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn classify(
        &mut self,
        request: Request,
        context: &RequestContext<'_>,
    ) -> Result<OpenRequest, (Request, Refusal)> {
        let Some(configuration) = context.configuration else {
            return Err((request, Refusal::NotConfigured));
        };
        let host = request.headers.text("host").unwrap_or_default();
        let Some(route) = context.routes.find(host, request.path()).cloned() else {
            return Err((request, Refusal::NoRoute));
        };
        let service = self.choose_target(&route);
        let sharded = configuration
            .service(&service)
            .is_some_and(|service| service.sharded);
        let key = request.headers.number::<u16>(&context.headers.key);
        if sharded && key.is_none() {
            return Err((request, Refusal::BadKey));
        }
        let client_wait = request
            .headers
            .number::<u64>(&context.headers.deadline)
            .map(|wait| Duration::from_millis(wait).saturating_sub(ANSWER_MARGIN));
        let due = context.now + client_wait.map_or(route.timeout, |wait| wait.min(route.timeout));
        Ok(OpenRequest {
            request,
            route,
            service,
            key: key.filter(|_| sharded),
            received: context.now,
            due,
            tried: Vec::new(),
            attempt: None,
            waiting_since: None,
            may_have_run: false,
            timed_out: false,
            rejected: false,
            misdirection: None,
        })
    }

    /// One of the route's targets, by weight.
    fn choose_target(&mut self, route: &Route) -> ServiceName {
        let total: f64 = route.targets.iter().map(|target| target.weight).sum();
        let mut drawn = if route.targets.len() > 1 && total > 0.0 {
            self.rng.random_range(0.0..total)
        } else {
            0.0
        };
        for target in &route.targets {
            if drawn < target.weight {
                return target.service.clone();
            }
            drawn -= target.weight;
        }
        route.targets[route.targets.len() - 1].service.clone()
    }

    /// Decides on a request that has no attempt out.
    fn advance(
        &mut self,
        client: ClientId,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get(&client) else {
            return;
        };
        if open.due <= context.now {
            self.expire(client, context, out);
            return;
        }
        if open.attempt.is_some() && !self.abandon_attempt(client, context, out) {
            return;
        }
        match self.next_step(client, context) {
            Step::Send(selected, address) => self.send(client, selected, address, context, out),
            Step::Wait { again, reason } => self.wait(client, again, reason, context, out),
            Step::Refuse(reason) => self.refuse(client, reason, context, out),
        }
    }

    /// Breaks off an attempt that has been out for too long, if another may
    /// be made. Returns whether it did.
    fn abandon_attempt(
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
        if attempt.review > context.now || self.stopping || !open.is_idempotent() {
            let next = if attempt.review > context.now && !self.stopping {
                attempt.review.min(open.due)
            } else {
                open.due
            };
            self.wake_at(client, next);
            return false;
        }
        if !self.should_abandon(open, &attempt, context) {
            let next = (context.now + REVIEW_PAUSE).min(open.due);
            self.wake_at(client, next);
            return false;
        }
        if let Some(open) = self.open.get_mut(&client) {
            open.attempt = None;
            open.may_have_run = true;
            open.timed_out = true;
        }
        self.end_attempt(&attempt);
        self.statistics.entry(&attempt.instance).failed(context.now);
        out.push(Action::Cancel {
            exchange: attempt.exchange,
        });
        true
    }

    fn should_abandon(
        &self,
        open: &OpenRequest,
        attempt: &Attempt,
        context: &RequestContext<'_>,
    ) -> bool {
        if open.tried.len() >= open.route.max_attempts as usize {
            return false;
        }
        let answers_others = self
            .statistics
            .get(&attempt.instance)
            .and_then(|seen| seen.last_answer())
            .is_some_and(|at| at > attempt.sent);
        let patience = attempt.expected.mul_f64(REVIEW_EXPECTED);
        if answers_others && attempt.sent + patience > context.now {
            return false;
        }
        let left = open.due.saturating_sub(context.now);
        let another = match open.key {
            Some(key) => context
                .ownership
                .find(&open.service, key)
                .is_some_and(|assignment| answers_others || assignment.owner != attempt.instance),
            None => true,
        };
        another
            && left > attempt.expected.min(open.route.target_latency / 2)
            && self.budget.may_draw(&open.service, context.nodes)
    }

    fn next_step(&mut self, client: ClientId, context: &RequestContext<'_>) -> Step {
        let Some(open) = self.open.get(&client) else {
            return Step::Refuse(Refusal::NoInstance);
        };
        if !open.tried.is_empty() {
            let exhausted = open.tried.len() >= open.route.max_attempts as usize;
            if exhausted && open.key.is_none() || open.tried.len() >= 4 {
                return Step::Refuse(open.failure());
            }
        }
        match open.key {
            Some(key) => self.next_step_keyed(open, key, context),
            None => self.next_step_any(client, context),
        }
    }

    fn next_step_keyed(&self, open: &OpenRequest, key: u16, context: &RequestContext<'_>) -> Step {
        let wait = Step::Wait {
            again: None,
            reason: Refusal::NoOwner,
        };
        let Some(assignment) = context.ownership.find(&open.service, key) else {
            return wait;
        };
        let Some(owner) = context.directory.get(&assignment.owner) else {
            return wait;
        };
        let bounded = self.protections.has(Protection::DrainBound);
        let must_leave = self.drain_bound.mul_f64(DRAIN_SHARE);
        if owner.ended {
            return wait;
        }
        if owner
            .leaving_since()
            .is_some_and(|since| since + must_leave <= context.now && bounded)
        {
            return wait;
        }
        if let Some(misdirection) = &open.misdirection {
            let same = misdirection.fence == assignment.fence;
            if same && misdirection.again.is_none_or(|again| again > context.now) {
                return Step::Wait {
                    again: misdirection.again,
                    reason: Refusal::NoOwner,
                };
            }
        }
        let seen = self.statistics.get(&assignment.owner);
        if let Some(seen) = seen.filter(|seen| seen.is_ejected(context.now)) {
            return Step::Wait {
                again: Some(seen.ejected_until()),
                reason: Refusal::NoOwner,
            };
        }
        let left = open.time_left(context.now);
        let selection = self.selection(context);
        let selected = selection.expect_owner(owner, left);
        if selected.load_factor > 1.0 && selected.expected > left.mul_f64(OWNER_WAIT_SHARE) {
            return Step::Wait {
                again: None,
                reason: Refusal::Overloaded,
            };
        }
        Step::Send(selected, owner.record.address)
    }

    fn next_step_any(&mut self, client: ClientId, context: &RequestContext<'_>) -> Step {
        let Some(open) = self.open.get(&client) else {
            return Step::Refuse(Refusal::NoInstance);
        };
        let left = open.time_left(context.now);
        let selection = SelectionContext {
            now: context.now,
            directory: context.directory,
            statistics: &self.statistics,
            shared: context.shared,
            zone: &self.zone,
            zones: context.zones,
        };
        let selected = selection.select(&open.service, &open.tried, left, &mut self.rng);
        let Some(selected) = selected else {
            return Step::Wait {
                again: None,
                reason: open.failure_or(Refusal::NoInstance),
            };
        };
        if selected.load_factor > 1.0 && selected.expected > left {
            return Step::Wait {
                again: None,
                reason: Refusal::Overloaded,
            };
        }
        match context.directory.get(&selected.id) {
            Some(instance) => Step::Send(selected, instance.record.address),
            None => Step::Refuse(Refusal::NoInstance),
        }
    }

    fn selection<'a>(&'a self, context: &'a RequestContext<'_>) -> SelectionContext<'a> {
        SelectionContext {
            now: context.now,
            directory: context.directory,
            statistics: &self.statistics,
            shared: context.shared,
            zone: &self.zone,
            zones: context.zones,
        }
    }

    fn send(
        &mut self,
        client: ClientId,
        selected: Selected,
        address: SocketAddr,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let nodes = context.nodes;
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        // Instances that were never reached are no arrivals.
        let repeated = !open.tried.is_empty();
        if repeated && !self.budget.draw(&open.service, nodes, context.now) {
            let reason = open.failure();
            self.refuse(client, reason, context, out);
            return;
        }
        if let Some(since) = open.waiting_since.take() {
            self.waiting.remove(&(open.route.priority, since, client));
        }
        let exchange = context.exchanges.next_id();
        let options = attempt_options(open, context);
        let review = open.route.target_latency.mul_f64(REVIEW_SHARE);
        let request = forwarded(open, &selected.id, context);
        open.tried.push(selected.id.clone());
        open.attempt = Some(Attempt {
            exchange,
            instance: selected.id.clone(),
            sent: context.now,
            load_factor: selected.load_factor,
            review: context.now + review,
            expected: selected.expected,
        });
        let due = open.due.min(context.now + review);
        self.counters.attempts += 1;
        self.by_exchange.insert(exchange, client);
        self.statistics.entry(&selected.id).open += 1;
        self.changed.insert(selected.id);
        self.wake_at(client, due);
        out.push(Action::Exchange {
            exchange,
            address,
            request,
            options,
        });
    }

    fn wait(
        &mut self,
        client: ClientId,
        again: Option<Timestamp>,
        reason: Refusal,
        context: &RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        let since = *open.waiting_since.get_or_insert(context.now);
        let limit = open.wait_limit();
        if limit <= context.now {
            let reason = open.failure_or(reason);
            self.refuse(client, reason, context, out);
            return;
        }
        self.waiting.insert((open.route.priority, since, client));
        let wake = again.map_or(limit, |again| again.min(limit));
        self.wake_at(client, wake);
    }

    fn refuse(
        &mut self,
        client: ClientId,
        reason: Refusal,
        context: &RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get(&client) else {
            return;
        };
        log::info!(
            target: "request",
            "{} of {} key {:?} ends with {} after {} ms, sent to {}, owner's token {:?}, configuration {}",
            attempt_name(&open.request, context.headers),
            open.service,
            open.key,
            reason.name(),
            context.now.saturating_sub(open.received).as_millis(),
            open.tried.len(),
            owner_fence(open, context),
            context.configuration.map_or(0, |known| known.version),
        );
        let request = open.request.clone();
        let response = self.refusal(&request, reason, context);
        self.finish(client, response, out);
    }

    /// The final answer at the end of a request's time.
    fn expire(&mut self, client: ClientId, context: &RequestContext<'_>, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        if let Some(attempt) = open.attempt.take() {
            open.may_have_run = true;
            open.timed_out = true;
            self.end_attempt(&attempt);
            self.statistics.entry(&attempt.instance).failed(context.now);
            out.push(Action::Cancel {
                exchange: attempt.exchange,
            });
        }
        let reason = self
            .open
            .get(&client)
            .map_or(Refusal::NotSentInTime, |open| {
                open.failure_or(Refusal::NotSentInTime)
            });
        self.refuse(client, reason, context, out);
    }

    fn attempt_failed(
        &mut self,
        client: ClientId,
        attempt: &Attempt,
        verdict: &Verdict,
        context: &RequestContext<'_>,
    ) {
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        let fence = owner_fence(open, context);
        log::info!(
            target: "request",
            "{} of {} key {:?} was at {} for {} ms under token {fence:?}: {}",
            attempt_name(&open.request, context.headers),
            open.service,
            open.key,
            attempt.instance,
            context.now.saturating_sub(attempt.sent).as_millis(),
            verdict.name(),
        );
        match verdict {
            Verdict::NeverSent => {
                open.tried.retain(|id| *id != attempt.instance);
                if open.key.is_none() {
                    // Another instance is tried at once; this one stays out by
                    // its failures.
                    open.rejected = true;
                }
                open.misdirection = fence.map(|fence| Misdirection {
                    fence,
                    again: Some(context.now + MISDIRECTED_PAUSE),
                });
            }
            Verdict::Rejected { misdirected, ended } => {
                open.rejected = true;
                if *ended {
                    self.ended.push(attempt.instance.clone());
                }
                let again = context.now + MISDIRECTED_PAUSE;
                let once_more = !ended && (!misdirected || open.tried.len() < 2);
                open.misdirection = fence.map(|fence| Misdirection {
                    fence,
                    again: once_more.then_some(again),
                });
            }
            Verdict::Unknown { timed_out } => {
                open.may_have_run = self.protections.has(Protection::HonestRefusal);
                open.timed_out |= *timed_out;
            }
            Verdict::Relay(_) => {}
        }
        let repeats_unknown = !self.protections.has(Protection::UnknownNotRepeated);
        if open.may_have_run && !open.is_idempotent() && !repeats_unknown {
            // Never sent again: exhausted, whatever the route allows.
            let attempts = open.route.max_attempts.max(4) as usize;
            while open.tried.len() < attempts {
                open.tried.push(attempt.instance.clone());
            }
        }
    }

    fn learn(
        &mut self,
        attempt: &Attempt,
        result: &Result<Response, ExchangeFailure>,
        context: &RequestContext<'_>,
    ) {
        let now = context.now;
        let seen = self.statistics.entry(&attempt.instance);
        match result {
            Ok(response) => {
                seen.heard(now);
                let load = reported_load(response, context);
                let slots = context
                    .directory
                    .get(&attempt.instance)
                    .map_or(1, |instance| instance.record.slots.max(1));
                let mut factor = attempt.load_factor;
                if let Some(load) = load {
                    factor = factor.max(f64::from(load.running + load.waiting) / f64::from(slots));
                    seen.told_load(load);
                }
                if response.is_success() {
                    seen.answered(now.saturating_sub(attempt.sent), factor, now);
                }
            }
            Err(_) => seen.failed(now),
        }
    }

    fn end_attempt(&mut self, attempt: &Attempt) {
        self.by_exchange.remove(&attempt.exchange);
        let seen = self.statistics.entry(&attempt.instance);
        seen.open = seen.open.saturating_sub(1);
        self.changed.insert(attempt.instance.clone());
    }

    fn finish(&mut self, client: ClientId, response: Response, out: &mut Vec<Action>) {
        if let Some(open) = self.open.remove(&client) {
            self.forget_timers(client, &open);
        }
        out.push(Action::Respond { client, response });
    }

    fn forget_timers(&mut self, client: ClientId, open: &OpenRequest) {
        if let Some(since) = open.waiting_since {
            self.waiting.remove(&(open.route.priority, since, client));
        }
        if let Some(at) = self.woken_at.remove(&client) {
            self.wake.remove(&(at, client));
        }
    }

    fn wake_at(&mut self, client: ClientId, at: Timestamp) {
        if let Some(earlier) = self.woken_at.insert(client, at) {
            self.wake.remove(&(earlier, client));
        }
        self.wake.insert((at, client));
    }

    fn refusal(
        &mut self,
        request: &Request,
        reason: Refusal,
        context: &RequestContext<'_>,
    ) -> Response {
        *self.counters.refused.entry(reason.name()).or_default() += 1;
        let spread = Duration::from_millis(self.rng.random_range(0..RETRY_AFTER_SPREAD_MS));
        refusal(request, reason, RETRY_AFTER + spread, context.headers)
    }
}

impl OpenRequest {
    /// What to tell the client when no further attempt is made.
    fn failure(&self) -> Refusal {
        self.failure_or(Refusal::Rejected)
    }

    fn failure_or(&self, not_run: Refusal) -> Refusal {
        match (self.may_have_run, self.timed_out) {
            (true, true) => Refusal::AnswerLate,
            (true, false) => Refusal::AnswerLost,
            (false, _) => not_run,
        }
    }
}

/// How a client names its request.
fn attempt_name<'a>(request: &'a Request, headers: &HeaderNames) -> &'a str {
    request
        .headers
        .text(&headers.attempt_id)
        .unwrap_or("unnamed")
}

/// The fencing token under which the key of a request is owned.
fn owner_fence(open: &OpenRequest, context: &RequestContext<'_>) -> Option<u64> {
    let key = open.key?;
    Some(context.ownership.find(&open.service, key)?.fence)
}

fn attempt_options(open: &OpenRequest, context: &RequestContext<'_>) -> ExchangeOptions {
    let left = open.due.saturating_sub(context.now);
    let header = &context.headers.attempt_id;
    let match_header = open
        .request
        .headers
        .get(header)
        .map(|value| (header.clone(), value.to_vec()));
    ExchangeOptions {
        match_header,
        reuse_idle_below: if open.is_idempotent() {
            REUSE_IDLE
        } else {
            REUSE_IDLE_ONCE
        },
        connect_timeout: CONNECT_TIMEOUT.min(left),
        // A little longer than this node waits: the final answer at the end
        // of the time is given by the request's own timer.
        timeout: left + ANSWER_MARGIN,
    }
}

fn forwarded(open: &OpenRequest, instance: &InstanceId, context: &RequestContext<'_>) -> Request {
    let mut request = open.request.clone();
    request.headers.remove_connection_headers();
    let left = open.due.saturating_sub(context.now).as_millis().max(1);
    request
        .headers
        .set(&context.headers.deadline, left.to_string());
    request
        .headers
        .set(&context.headers.target_instance, instance.as_str());
    request
}

fn relayed(mut response: Response) -> Response {
    response.headers.remove_connection_headers();
    response
}

fn reported_load(response: &Response, context: &RequestContext<'_>) -> Option<ReportedLoad> {
    let text = response.headers.text(&context.headers.load)?;
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    Some(ReportedLoad {
        running,
        waiting,
        at: context.now,
    })
}
