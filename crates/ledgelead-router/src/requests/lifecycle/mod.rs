//! Decides on each open request: send, wait, or answer.

mod attempts;
mod crashes;
mod decide;
mod endings;
mod notices;
mod permits;
mod retries;
mod targets;
mod tokens;

pub use self::crashes::CrashSigns;
pub use self::permits::{Declined, PermitDecision};

use self::decide::Step;
use self::endings::relayed;
use self::permits::returned;
use super::answers::Refusal;
use super::budget::RetryBudget;
use super::cold_start::{ColdBound, ColdSends};
use super::common_rejection::CommonRejections;
use super::digest::RequestDigest;
use super::idle_limit::IdleLimit;
use super::open_request::OpenRequest;
use super::outcome::{AttemptOutcome, classify_outcome};
use super::overload::Overloads;
use super::permits::{PermitCounters, Permits};
use super::refusal_share::RefusalShares;
use super::split::Splits;
use super::statistics::StatisticsTable;
use super::tokens::TokenAsks;
use crate::Timestamp;
use crate::configuration::{Configuration, RouteTable};
use crate::dialect::HeaderNames;
use crate::directory::Directory;
use crate::dispatch::PermitOutcome;
use crate::identity::{InstanceId, NodeName, ServiceName, ZoneName};
use crate::io::{Action, ClientId, ExchangeFailure, ExchangeId};
use crate::mechanisms::Mechanisms;
use crate::ownership::cold_keys::ColdKeys;
use crate::ownership::coordinator::ExchangeIds;
use crate::ownership::view::OwnershipView;
use crate::ownership::work::WorkSample;
use crate::peers::{OpenRequests, Registry, SharedLoad, SpeedSample};
use crate::protections::{Protection, Protections};
use crate::quarantine::{CallerId, Evidence};
use crate::settings::NodeSettings;
use ledgelead_http::{Request, Response};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::Duration;

/// Time that a client needs to get an answer before it leaves.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// What a step of the requests rests on.
pub struct RequestContext<'a> {
    /// The time.
    pub now: Timestamp,
    /// Until when requests wait for the first view of the instances to be confirmed.
    pub unconfirmed_until: Option<Timestamp>,
    /// The configuration, once one is known.
    pub configuration: Option<&'a Configuration>,
    /// Its routes.
    pub routes: &'a RouteTable,
    /// The instances.
    pub directory: &'a Directory,
    /// The owners of keys.
    pub ownership: &'a OwnershipView,
    /// Keys that were lost with their owners.
    pub cold_keys: &'a ColdKeys,
    /// What other nodes of the zone have open.
    pub shared: &'a SharedLoad,
    /// What is known of requests that crash instances.
    pub evidence: &'a Evidence,
    /// Whether some instance is in question, so that each answer of it counts.
    pub suspects: bool,
    /// Whether keys can get another owner now, as far as this node knows.
    pub keys_can_move: bool,
    /// Keys that are asked for more often than their owners can work.
    pub overloads: &'a Overloads,
    /// Names of headers.
    pub headers: &'a HeaderNames,
    /// Numbers exchanges.
    pub exchanges: &'a mut ExchangeIds,
    /// Registered nodes, which share the retry budget and cold instances.
    pub registry: &'a Registry,
    /// This node.
    pub node: &'a NodeName,
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
    /// Repeats that were asked for, by what became of them.
    pub repeats: BTreeMap<&'static str, u64>,
    /// Answers in which instances said that they leave, or asked for a pause.
    pub notices: BTreeMap<&'static str, u64>,
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
    /// Time in which an evacuated zone must get nothing more.
    evacuation_bound: Duration,
    rng: Pcg64Mcg,
    asked: BTreeMap<ServiceName, Vec<u16>>,
    worked: BTreeMap<InstanceId, WorkSample>,
    changed: BTreeSet<InstanceId>,
    /// Services whose instances report their load in their answers.
    reporting: BTreeSet<ServiceName>,
    idle_limit: IdleLimit,
    refusals: RefusalShares,
    permits: Permits,
    tokens: TokenAsks,
    /// Shares of attempts that instances with free slots rejected.
    rejections: RefusalShares,
    common: CommonRejections,
    cold_bound: ColdBound,
    cold_sends: ColdSends,
    splits: Splits,
    ended: Vec<InstanceId>,
    /// Instances that have said that they leave, since that was last asked for.
    said_leaving: Vec<InstanceId>,
    misdirected: bool,
    crash_signs: CrashSigns,
    stopping: bool,
    protections: Protections,
    mechanisms: Mechanisms,
    counters: RequestCounters,
}

impl Requests {
    /// None yet, at a node with these settings.
    pub fn new(settings: &NodeSettings, rng: Pcg64Mcg) -> Requests {
        // Drawn apart, so that the other draws stay as they are.
        let first_number = rng.clone().random();
        Requests {
            open: HashMap::new(),
            by_exchange: HashMap::new(),
            waiting: BTreeSet::new(),
            wake: BTreeSet::new(),
            woken_at: HashMap::new(),
            statistics: StatisticsTable::default(),
            budget: RetryBudget::new(settings.retry_budget),
            zone: settings.zone.clone(),
            drain_bound: settings.drain_bound,
            evacuation_bound: settings.evacuation_bound.unwrap_or_default(),
            rng,
            asked: BTreeMap::new(),
            worked: BTreeMap::new(),
            changed: BTreeSet::new(),
            reporting: BTreeSet::new(),
            idle_limit: IdleLimit::default(),
            refusals: RefusalShares::default(),
            permits: Permits::new(first_number),
            tokens: TokenAsks::new(first_number),
            rejections: RefusalShares::default(),
            common: CommonRejections::default(),
            cold_bound: settings.cold_bound,
            cold_sends: ColdSends::default(),
            splits: Splits::default(),
            ended: Vec::new(),
            said_leaving: Vec::new(),
            misdirected: false,
            crash_signs: CrashSigns::default(),
            stopping: false,
            protections: settings.protections,
            mechanisms: settings.mechanisms,
            counters: RequestCounters::default(),
        }
    }

    /// This life of the node begins.
    pub fn start(&mut self, now: Timestamp) {
        self.budget.start(now);
    }

    /// There was another life of the node before.
    pub fn note_earlier_incarnation(&mut self) {
        self.budget.note_earlier_incarnation();
    }

    /// Takes over changed settings.
    pub fn set_bounds(&mut self, settings: &NodeSettings) {
        self.drain_bound = settings.drain_bound;
        self.evacuation_bound = settings.evacuation_bound.unwrap_or_default();
        self.cold_bound = settings.cold_bound;
        self.budget.set_bounds(settings.retry_budget);
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

    /// Counts of permits for metrics.
    pub fn permit_counters(&self) -> PermitCounters {
        self.permits.counters()
    }

    /// What this node has seen of the instances.
    pub fn statistics(&self) -> &StatisticsTable {
        &self.statistics
    }

    /// Forgets instances that are unknown, and what no longer counts.
    pub fn clean_up(&mut self, directory: &Directory, now: Timestamp) {
        self.cold_sends.expire(now);
        self.permits.expire(now);
        let open = &self.open;
        self.tokens.expire(|client| open.contains_key(client), now);
        self.splits.expire(now);
        self.common.expire(now);
        self.statistics.retain(|id| directory.get(id).is_some());
        self.expire_limits(directory, now);
    }

    /// Keys asked for since the last call, by service.
    pub fn take_requested_keys(&mut self) -> BTreeMap<ServiceName, Vec<u16>> {
        std::mem::take(&mut self.asked)
    }

    /// What owners did for this node's requests since the last call.
    pub fn take_owner_work(&mut self) -> BTreeMap<InstanceId, WorkSample> {
        std::mem::take(&mut self.worked)
    }

    /// Instances whose number of open requests changed since the last call, and what
    /// their answers have shown.
    pub fn take_changed_load(&mut self) -> Vec<(InstanceId, OpenRequests)> {
        let changed = std::mem::take(&mut self.changed).into_iter();
        changed.map(|id| self.open_at(id)).collect()
    }

    /// All instances with open requests, and what their answers have shown.
    pub fn take_all_load(&mut self) -> Vec<(InstanceId, OpenRequests)> {
        let busy = self.statistics.busy().map(|(id, _)| id.clone());
        let busy: Vec<InstanceId> = busy.collect();
        busy.into_iter().map(|id| self.open_at(id)).collect()
    }

    fn open_at(&mut self, id: InstanceId) -> (InstanceId, OpenRequests) {
        let seen = self.statistics.entry(&id);
        let SpeedSample {
            answered,
            busy,
            slowness,
        } = seen.take_unshared();
        let open = OpenRequests {
            instance: id.stable_hash(),
            count: u16::try_from(seen.open).unwrap_or(u16::MAX),
            answered: u8::try_from(answered).unwrap_or(u8::MAX),
            busy_ms: u32::try_from(busy.as_millis()).unwrap_or(u32::MAX),
            slowness: slowness.unwrap_or(0),
        };
        (id, open)
    }

    /// Whether `take_changed` would return anything.
    pub fn has_changed_load(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Whether the last answer from an instance of the service carried its
    /// load.
    pub fn reports_load(&self, service: &ServiceName) -> bool {
        self.reporting.contains(service)
    }

    /// How long kept connections may rest, if requests that this node has lost
    /// limit it.
    pub fn idle_limit(&self, now: Timestamp) -> Option<Duration> {
        self.idle_limit.own(now)
    }

    /// The same, or the limit that another node of the zone goes by.
    pub fn zone_idle_limit(&self, now: Timestamp) -> Option<Duration> {
        self.idle_limit.current(now)
    }

    /// Another node of the zone limits the rest of kept connections.
    pub fn follow_idle_limit(&mut self, limit: Duration, now: Timestamp) {
        self.idle_limit.told(limit, now);
    }

    /// Instances whose end was proved since the last call.
    pub fn take_ended_instances(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.ended)
    }

    /// Instances that have said in answers since the last call that they leave.
    pub fn take_announced_leaving(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.said_leaving)
    }

    /// Whether the owner of a key, by the record that is known, has rejected it
    /// since the last call.
    pub fn take_misdirected(&mut self) -> bool {
        std::mem::take(&mut self.misdirected)
    }

    /// From now on no attempt is broken off for another: the node stops, and
    /// what its clients wait for must not be cut.
    pub fn begin_stopping(&mut self) {
        self.stopping = true;
    }

    /// Whether the exchange is an attempt of a request.
    pub fn owns_exchange(&self, exchange: ExchangeId) -> bool {
        self.by_exchange.contains_key(&exchange)
    }

    /// The instance of an attempt that is out.
    pub fn instance_of(&self, exchange: ExchangeId) -> Option<&InstanceId> {
        let client = self.by_exchange.get(&exchange)?;
        let attempt = self.open.get(client)?.attempt.as_ref()?;
        Some(&attempt.instance)
    }

    /// The next time at which a request needs a decision.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.wake.first().map(|(at, _)| *at)
    }

    /// A client's request came.
    pub fn request_arrived(
        &mut self,
        client: ClientId,
        source: IpAddr,
        request: Request,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        self.counters.received += 1;
        match self.classify(source, request, context) {
            Ok(open) => {
                self.budget
                    .record_node_count(context.registry.len(), context.now);
                self.budget.requested(&open.service, context.now);
                self.refusals.received(&open.service, context.now);
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
                self.refuse_unrouted(client, &request, reason, context, out);
            }
        }
    }

    /// The client left: its request is broken off.
    pub fn client_left(&mut self, client: ClientId, out: &mut Vec<Action>) {
        let Some(mut open) = self.open.remove(&client) else {
            return;
        };
        self.counters.left += 1;
        self.forget_timers(client, &open);
        self.drop_permit(open.permit.take(), PermitOutcome::NoSample);
        if let Some(attempt) = open.attempt.take() {
            // Says nothing of the instance.
            self.end_attempt(&attempt, PermitOutcome::NoSample);
            out.push(Action::Cancel {
                exchange: attempt.exchange,
            });
        }
    }

    /// An attempt ended.
    pub fn exchange_ended(
        &mut self,
        exchange: ExchangeId,
        result: Result<Response, ExchangeFailure>,
        rested: Duration,
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
        self.end_attempt(&attempt, returned(&attempt, &result, context));
        self.note_work(client, &attempt, &result, context);
        let cause = self.learn(&attempt, &result, context);
        self.learn_of_connection(&attempt, &result, rested, context.now);
        self.note_crash_signs(client, &attempt, &result, context);
        let verdict = classify_outcome(result, &attempt.instance, context.headers);
        match verdict {
            AttemptOutcome::Relay(response) => {
                self.counters.relayed += 1;
                self.finish(client, relayed(response), out);
            }
            AttemptOutcome::Failed(response) if !self.may_send_again(client, context) => {
                self.counters.relayed += 1;
                self.finish(client, relayed(response), out);
            }
            unsent if self.is_unsent_in_time(client, &unsent, context) => {
                self.attempt_failed(client, &attempt, unsent, cause, context);
                self.refuse_unsent(client, context, out);
            }
            other => {
                self.attempt_failed(client, &attempt, other, cause, context);
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
        source: IpAddr,
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
        let key = request.headers.number::<u16>(&context.headers.key);
        let service = self.choose_target(&route, key, request.body.len(), context);
        let sharded = configuration
            .service(&service)
            .is_some_and(|service| service.sharded);
        if sharded && key.is_none() {
            return Err((request, Refusal::BadKey));
        }
        let client_wait = request
            .headers
            .number::<u64>(&context.headers.deadline)
            .map(|wait| Duration::from_millis(wait).saturating_sub(ANSWER_MARGIN));
        let due = context.now + client_wait.map_or(route.timeout, |wait| wait.min(route.timeout));
        Ok(OpenRequest {
            caller: match self.protections.has(Protection::FullRequestIdentity) {
                true => CallerId::new(source),
                false => CallerId::ALL,
            },
            lost: 0,
            digest: self.first_digest(&request),
            request,
            route,
            service,
            key: key.filter(|_| sharded),
            received: context.now,
            due,
            tried: Vec::new(),
            attempt: None,
            passed_admission: false,
            waiting_since: None,
            exhausted: false,
            may_have_run: false,
            timed_out: false,
            rejected: false,
            failed_answer: None,
            misdirection: None,
            permit: None,
            without_permit: false,
            awaits_permit: false,
            spilled: false,
            retry_after: None,
            token: None,
        })
    }

    /// Not worked out yet, unless a simulation turns that protection off.
    fn first_digest(&self, request: &Request) -> OnceCell<RequestDigest> {
        match self.protections.has(Protection::FullRequestIdentity) {
            true => OnceCell::new(),
            false => {
                let by_path = Request::new("", request.path(), Vec::new());
                OnceCell::from(RequestDigest::new(&by_path))
            }
        }
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
        let step = match self.next_step(client, context) {
            Step::Send(selected, address) => self
                .token_step(client, &selected.id)
                .unwrap_or(Step::Send(selected, address)),
            step => step,
        };
        match step {
            Step::Send(selected, address) => self.send(client, selected, address, context, out),
            Step::Wait { again, reason } => self.wait(client, again, reason, context, out),
            Step::Refuse(reason) => self.refuse(client, reason, context, out),
            Step::AskPermit(need) => self.ask_permit(client, &need, context, out),
            Step::AwaitPermit(until) => self.await_permit(client, until, context.now),
            Step::AskToken(instance) => self.ask_token(client, &instance, context, out),
            Step::AwaitToken(until) => self.await_token(client, until),
        }
    }

    fn forget_timers(&mut self, client: ClientId, open: &OpenRequest) {
        if let Some(since) = open.waiting_since {
            self.waiting
                .remove(&(self.mechanisms.rank(open), since, client));
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
}
