//! Gateways, dispatchers and model servers in virtual time, joined by links
//! that lose, double, delay and reorder as told.

#![allow(dead_code)]

pub mod load;

use ledgelead_request::dispatcher::*;
use ledgelead_request::gateway::*;
use ledgelead_request::{DispatchReply, DispatchRequest};
use ledgelead_types::configuration::*;
use ledgelead_types::dispatch::*;
use ledgelead_types::protections::Protections;
use ledgelead_types::request::*;
use ledgelead_types::routes::*;
use ledgelead_types::server::*;
use ledgelead_types::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Zero-based number of a gateway.
pub type GatewayIndex = usize;

/// What goes wrong, as probabilities.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lose_message: f64,
    pub double_message: f64,
    pub lose_answer: f64,
    pub cut_answer: f64,
    pub double_answer: f64,
    pub refuse_connection: f64,
    pub largest_delay: Span,
}

/// The shape of a run.
#[derive(Clone, Debug)]
pub struct Shape {
    pub partitioning: Partitioning,
    pub gateways: usize,
    pub servers: u32,
    pub slots: u16,
    /// Mean of the exponential service time.
    pub service_time: Span,
    /// One way between any two processes.
    pub hop: Span,
    /// Requests that a server queues itself beyond its slots.
    pub server_queue: usize,
    pub tiers: Vec<TierConfiguration>,
    pub seed: u64,
    pub faults: Faults,
    pub protections: Protections,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            partitioning: Partitioning::None,
            gateways: 3,
            servers: 3,
            slots: 2,
            service_time: Span::from_millis(10),
            hop: Span::from_micros(500),
            server_queue: 2,
            tiers: vec![],
            seed: 1,
            faults: Faults::default(),
            protections: Protections::default(),
        }
    }
}

enum Happening {
    Arrive(GatewayIndex, RequestArrival),
    Leave(GatewayIndex, RequestId),
    Stop(GatewayIndex),
    ToDispatcher(GatewayIndex, DispatchRequest),
    ToGateway(GatewayIndex, DispatchReply),
    Reach(GatewayIndex, Forward),
    CancelAt(ServerId, GatewayIndex, AttemptId),
    Complete(ServerId, u64),
    End(GatewayIndex, AttemptId, AttemptResult),
    IdempotencyRecordDecided(IdempotencyOwner, IdempotencyKey, IdempotencyVerdict),
    Tick,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Response {
    pub outcome: Outcome,
    pub attempt: Option<AttemptId>,
    pub at: Time,
    pub retry_after: Option<Span>,
}

#[derive(Default)]
struct ServerModel {
    executing: BTreeMap<u64, (GatewayIndex, AttemptId)>,
    waiting: VecDeque<(GatewayIndex, Forward)>,
    next: u64,
}

/// A whole run.
pub struct World {
    pub now: Time,
    pub shape: Shape,
    pub gateways: Vec<Gateway>,
    pub dispatcher: Dispatcher,
    pub responses: BTreeMap<(GatewayIndex, RequestId), Vec<Response>>,
    pub arrivals: BTreeMap<(GatewayIndex, RequestId), (Time, RequestArrival)>,
    pub forwards: Vec<(GatewayIndex, Forward)>,
    /// Executions started, by request.
    pub executions: BTreeMap<(GatewayIndex, RequestId), Vec<Time>>,
    pub completed: u64,
    pub most_at_a_server: usize,
    pub drained: Vec<Option<Time>>,
    pub trace: Option<Vec<String>>,
    pub frozen: Vec<ServerId>,
    records: BTreeMap<IdempotencyKey, (IdempotencyOwner, IdempotencyState)>,
    servers: BTreeMap<ServerId, ServerModel>,
    happenings: BTreeMap<(Time, u64), Happening>,
    next_happening: u64,
    random: Pcg64Mcg,
}

pub const SERVICE: ServiceId = ServiceId(1);
pub const GROUP: GroupId = GroupId {
    service: SERVICE,
    part: 0,
};
const DISPATCHER: NodeId = NodeId(100);
pub const SERVICE_NAME: &str = "service";

pub fn token(revision: u64) -> FencingToken {
    FencingToken {
        epoch: Epoch(1),
        term: Term(1),
        revision: Revision(revision),
    }
}

pub fn member(index: GatewayIndex) -> Member {
    Member {
        node: NodeId(index as u32),
        incarnation: Incarnation(7_000 + index as u64),
    }
}

/// Callers are named after their tiers.
pub fn configuration(shape: &Shape) -> Configuration {
    let callers = shape.tiers.iter().map(|tier| CallerConfiguration {
        id: CallerId(u32::from(tier.id.0)),
        name: tier.name.clone(),
        credential_sha256: tier.name.clone(),
        tier: tier.id,
        ..CallerConfiguration::default()
    });
    Configuration {
        version: ConfigurationVersion(1),
        services: List(vec![ServiceConfiguration {
            id: SERVICE,
            name: SERVICE_NAME.into(),
            partitioning: shape.partitioning,
            groups: 1,
            replicas: 3,
            default_deadline_ms: 2_000,
            ..ServiceConfiguration::default()
        }]),
        tiers: List(shape.tiers.clone()),
        callers: callers.collect(),
        ..Configuration::default()
    }
}

pub fn routes(shape: &Shape, revision: u64) -> GroupRoutes {
    let servers = (0..shape.servers).map(|id| ServerRoute {
        server: ServerId(id),
        address: format!("10.0.0.{id}:80").as_str().into(),
        dispatcher: DISPATCHER,
        slots: shape.slots,
        ..ServerRoute::default()
    });
    let slices = (0..shape.servers).map(|id| SliceRoute {
        range: PositionRange::ALL.part(u64::from(id), u64::from(shape.servers)),
        owner: Some(ServerId(id)),
        token: token(1),
    });
    let slices = if shape.partitioning == Partitioning::None {
        List::default()
    } else {
        slices.collect()
    };
    GroupRoutes {
        group: GROUP,
        version: token(revision),
        slices,
        servers: servers.collect(),
        ..GroupRoutes::default()
    }
}

pub fn dispatched(shape: &Shape) -> Vec<DispatchedServer> {
    (0..shape.servers)
        .map(|id| DispatchedServer {
            group: GROUP,
            server: ServerId(id),
            slots: shape.slots,
            status: ServerStatus::Active,
            lease_until: Some(Time(u64::MAX)),
            responsive: true,
        })
        .collect()
}

impl World {
    pub fn new(shape: Shape) -> World {
        let now = Time::ZERO;
        let gateways = (0..shape.gateways)
            .map(|index| {
                let settings = GatewaySettings {
                    member: member(index),
                    zone: ZoneId(0),
                    random_seed: shape.seed + index as u64,
                    protections: shape.protections,
                };
                Gateway::new(settings, now)
            })
            .collect();
        let settings = DispatcherSettings {
            node: DISPATCHER,
            random_seed: shape.seed,
            protections: shape.protections,
        };
        let mut world = World {
            now,
            gateways,
            dispatcher: Dispatcher::new(settings, now),
            responses: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            forwards: Vec::new(),
            executions: BTreeMap::new(),
            completed: 0,
            most_at_a_server: 0,
            drained: vec![None; shape.gateways],
            trace: None,
            frozen: Vec::new(),
            records: BTreeMap::new(),
            servers: (0..shape.servers)
                .map(|id| (ServerId(id), ServerModel::default()))
                .collect(),
            happenings: BTreeMap::new(),
            next_happening: 0,
            random: Pcg64Mcg::seed_from_u64(shape.seed),
            shape,
        };
        world.inform();
        world
    }

    fn inform(&mut self) {
        let configuration = Arc::new(configuration(&self.shape));
        let routes = Arc::new(routes(&self.shape, 1));
        for gateway in &mut self.gateways {
            gateway.step(self.now, GatewayInput::Configuration(configuration.clone()));
            gateway.step(self.now, GatewayInput::Routes(routes.clone()));
        }
        let inputs = [
            DispatcherInput::Configuration(configuration),
            DispatcherInput::Routes(routes),
            DispatcherInput::Servers {
                group: GROUP,
                servers: dispatched(&self.shape),
            },
        ];
        for input in inputs {
            self.dispatcher.step(self.now, input);
        }
        for server in 0..self.shape.servers {
            let input = DispatcherInput::ServerLoad {
                server: ServerId(server),
                load: LoadReport::default(),
            };
            self.dispatcher.step(self.now, input);
        }
    }

    /// Gives every process another configuration.
    pub fn configure(&mut self, configuration: Configuration) {
        let configuration = Arc::new(configuration);
        for gateway in &mut self.gateways {
            let input = GatewayInput::Configuration(configuration.clone());
            gateway.step(self.now, input);
        }
        let input = DispatcherInput::Configuration(configuration);
        self.dispatcher.step(self.now, input);
    }

    /// Has the group find servers lost.
    pub fn lose_servers(&mut self, lost: &[ServerId]) {
        let mut routes = routes(&self.shape, 2);
        let mut servers = dispatched(&self.shape);
        for server in lost {
            routes.servers[server.0 as usize].status = ServerStatus::Lost;
            servers[server.0 as usize].status = ServerStatus::Lost;
        }
        let group = GROUP;
        let input = DispatcherInput::Servers { group, servers };
        self.dispatcher.step(self.now, input);
        let routes = Arc::new(routes);
        for gateway in &mut self.gateways {
            gateway.step(self.now, GatewayInput::Routes(routes.clone()));
        }
        self.collect();
    }

    fn schedule(&mut self, at: Time, happening: Happening) {
        self.happenings.insert((at, self.next_happening), happening);
        self.next_happening += 1;
    }

    pub fn arrive(&mut self, at: Time, gateway: GatewayIndex, arrival: RequestArrival) {
        self.schedule(at, Happening::Arrive(gateway, arrival));
    }

    pub fn leave(&mut self, at: Time, gateway: GatewayIndex, request: RequestId) {
        self.schedule(at, Happening::Leave(gateway, request));
    }

    pub fn stop(&mut self, at: Time, gateway: GatewayIndex) {
        self.schedule(at, Happening::Stop(gateway));
    }

    /// Runs until nothing is left to happen before `until`.
    pub fn run(&mut self, until: Time) {
        loop {
            let wake = self
                .gateways
                .iter()
                .map(Gateway::next_wakeup)
                .chain([self.dispatcher.next_wakeup()])
                .min()
                .unwrap_or(until);
            let next = self
                .happenings
                .first_key_value()
                .map_or(until, |(&(at, _), _)| at);
            let at = wake.min(next).max(self.now);
            if at >= until {
                self.now = until;
                return;
            }
            self.now = at;
            let happening = if next <= at {
                self.happenings.pop_first().map(|(_, happening)| happening)
            } else {
                None
            };
            self.happen(happening.unwrap_or(Happening::Tick));
            self.collect();
        }
    }

    fn happen(&mut self, happening: Happening) {
        let now = self.now;
        match happening {
            Happening::Arrive(gateway, arrival) => {
                self.note(|| format!("{} arrives", arrival.request));
                let key = (gateway, arrival.request);
                self.arrivals.insert(key, (now, arrival.clone()));
                self.gateways[gateway].step(now, GatewayInput::Arrived(arrival));
            }
            Happening::Leave(gateway, request) => {
                self.gateways[gateway].step(now, GatewayInput::CallerLeft(request));
            }
            Happening::Stop(gateway) => self.gateways[gateway].step(now, GatewayInput::Stop),
            Happening::ToDispatcher(gateway, message) => {
                let from = member(gateway).node;
                let input = DispatcherInput::Message { from, message };
                self.dispatcher.step(now, input);
            }
            Happening::ToGateway(gateway, message) => {
                let from = DISPATCHER;
                let input = GatewayInput::Dispatch { from, message };
                self.gateways[gateway].step(now, input);
            }
            Happening::Reach(gateway, forward) => self.reach(gateway, forward),
            Happening::CancelAt(server, gateway, attempt) => {
                self.cancel_at(server, gateway, attempt);
            }
            Happening::Complete(server, execution) => self.complete(server, execution),
            Happening::End(gateway, attempt, result) => {
                self.note(|| format!("attempt {} ended: {result:?}", attempt.number));
                let input = GatewayInput::AttemptEnded {
                    attempt,
                    result,
                    load: None,
                };
                self.gateways[gateway].step(now, input);
            }
            Happening::IdempotencyRecordDecided(owner, key, verdict) => {
                let input = DispatcherInput::IdempotencyRecordDecided {
                    owner,
                    key,
                    verdict,
                };
                self.dispatcher.step(now, input);
            }
            Happening::Tick => {
                self.dispatcher.tick(now);
                for gateway in &mut self.gateways {
                    gateway.tick(now);
                }
            }
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random_bool(probability)
    }

    fn delay(&mut self) -> Span {
        let most = self.shape.faults.largest_delay.as_micros();
        let extra = if most == 0 {
            0
        } else {
            self.random.random_range(0..most)
        };
        self.shape.hop + Span::from_micros(extra)
    }

    /// Delivers a message none, one or two times.
    fn deliver(&mut self, make: impl Fn() -> Happening) {
        if !self.chance(self.shape.faults.lose_message) {
            let at = self.now + self.delay();
            self.schedule(at, make());
        }
        if self.chance(self.shape.faults.double_message) {
            let at = self.now + self.delay();
            self.schedule(at, make());
        }
    }

    fn collect(&mut self) {
        for output in self.dispatcher.take_outputs() {
            self.dispatcher_output(output);
        }
        for index in 0..self.gateways.len() {
            for output in self.gateways[index].take_outputs() {
                self.gateway_output(index, output);
            }
        }
    }

    fn dispatcher_output(&mut self, output: DispatcherOutput) {
        match output {
            DispatcherOutput::Reply { to, message } => {
                self.note(|| format!("dispatcher: {message:?}"));
                let gateway = to.0 as GatewayIndex;
                self.deliver(|| Happening::ToGateway(gateway, message));
            }
            DispatcherOutput::BeginIdempotencyRecord { owner, key, .. } => {
                let verdict = self.begin_record(owner, key);
                let at = self.now + self.shape.hop + self.shape.hop;
                self.schedule(at, Happening::IdempotencyRecordDecided(owner, key, verdict));
            }
            DispatcherOutput::EndIdempotencyRecord {
                owner, key, state, ..
            } => self.end_record(owner, key, state),
        }
    }

    fn begin_record(&mut self, owner: IdempotencyOwner, key: IdempotencyKey) -> IdempotencyVerdict {
        match self.records.get(&key) {
            Some((holder, state)) if *holder != owner => IdempotencyVerdict::Duplicate(*state),
            _ => {
                self.records.insert(key, (owner, IdempotencyState::Begun));
                IdempotencyVerdict::Fresh
            }
        }
    }

    fn end_record(
        &mut self,
        owner: IdempotencyOwner,
        key: IdempotencyKey,
        state: Option<IdempotencyState>,
    ) {
        if self
            .records
            .get(&key)
            .is_none_or(|(holder, _)| *holder != owner)
        {
            return;
        }
        match state {
            Some(state) => self.records.insert(key, (owner, state)),
            None => self.records.remove(&key),
        };
    }

    fn gateway_output(&mut self, gateway: GatewayIndex, output: GatewayOutput) {
        match output {
            GatewayOutput::Dispatch { message, .. } => {
                self.note(|| format!("gateway: {message:?}"));
                self.deliver(|| Happening::ToDispatcher(gateway, message));
            }
            GatewayOutput::Forward(forward) => {
                self.note(|| format!("forward {} to {}", forward.attempt.number, forward.server));
                self.forwards.push((gateway, forward.clone()));
                let refused = self.chance(self.shape.faults.refuse_connection);
                let at = self.now + self.delay();
                if refused {
                    let result = AttemptResult::NotSent;
                    self.schedule(at, Happening::End(gateway, forward.attempt, result));
                } else {
                    self.schedule(at, Happening::Reach(gateway, forward));
                }
            }
            GatewayOutput::Cancel {
                attempt, server, ..
            } => {
                let at = self.now + self.delay();
                self.schedule(at, Happening::CancelAt(server, gateway, attempt));
            }
            GatewayOutput::Respond {
                request,
                outcome,
                attempt,
                retry_after,
            } => {
                self.note(|| format!("respond {request}: {outcome}"));
                let response = Response {
                    outcome,
                    attempt,
                    at: self.now,
                    retry_after,
                };
                self.responses
                    .entry((gateway, request))
                    .or_default()
                    .push(response);
            }
            GatewayOutput::Drained => self.drained[gateway] = Some(self.now),
            GatewayOutput::KeepAnswer(_)
            | GatewayOutput::ForgetAnswer(_)
            | GatewayOutput::Evidence { .. }
            | GatewayOutput::Event(_) => {}
        }
    }

    fn reach(&mut self, gateway: GatewayIndex, forward: Forward) {
        let server = forward.server;
        if self.frozen.contains(&server) {
            return;
        }
        let (slots, queue) = (usize::from(self.shape.slots), self.shape.server_queue);
        let Some(model) = self.servers.get_mut(&server) else {
            return;
        };
        if model.executing.len() < slots {
            self.execute(gateway, &forward);
        } else if model.waiting.len() < queue {
            model.waiting.push_back((gateway, forward));
        } else {
            let result = AttemptResult::Refused(ServerRefusal::Busy);
            self.end(gateway, forward.attempt, result);
        }
        let model = &self.servers[&server];
        let here = model.executing.len() + model.waiting.len();
        self.most_at_a_server = self.most_at_a_server.max(here);
    }

    fn execute(&mut self, gateway: GatewayIndex, forward: &Forward) {
        let draw: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let service = self.shape.service_time.times(-draw.ln());
        let now = self.now;
        let Some(model) = self.servers.get_mut(&forward.server) else {
            return;
        };
        let execution = model.next;
        model.next += 1;
        model
            .executing
            .insert(execution, (gateway, forward.attempt));
        self.executions
            .entry((gateway, forward.attempt.request))
            .or_default()
            .push(now);
        self.schedule(
            now + service,
            Happening::Complete(forward.server, execution),
        );
    }

    fn complete(&mut self, server: ServerId, execution: u64) {
        let Some(model) = self.servers.get_mut(&server) else {
            return;
        };
        let Some((gateway, attempt)) = model.executing.remove(&execution) else {
            return;
        };
        if let Some((gateway, forward)) = model.waiting.pop_front() {
            self.execute(gateway, &forward);
        }
        self.completed += 1;
        let result = if self.chance(self.shape.faults.lose_answer) {
            AttemptResult::Lost
        } else if self.chance(self.shape.faults.cut_answer) {
            AttemptResult::BadAnswer
        } else {
            AttemptResult::Answered { failure: false }
        };
        self.end(gateway, attempt, result);
        if self.chance(self.shape.faults.double_answer) {
            self.end(gateway, attempt, result);
        }
    }

    /// A cancel takes a waiting request out; an executing one goes on, and
    /// its answer comes late.
    fn cancel_at(&mut self, server: ServerId, gateway: GatewayIndex, attempt: AttemptId) {
        let Some(model) = self.servers.get_mut(&server) else {
            return;
        };
        let before = model.waiting.len();
        model
            .waiting
            .retain(|(from, forward)| (*from, forward.attempt) != (gateway, attempt));
        if model.waiting.len() < before {
            let result = AttemptResult::Refused(ServerRefusal::Cancelled);
            self.end(gateway, attempt, result);
        }
    }

    fn end(&mut self, gateway: GatewayIndex, attempt: AttemptId, result: AttemptResult) {
        let at = self.now + self.delay();
        self.schedule(at, Happening::End(gateway, attempt, result));
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!(
                "{:>9.3} ms  {}",
                Span(self.now.0).as_millis(),
                line()
            ));
        }
    }

    /// The one response of a request.
    pub fn response(&self, gateway: GatewayIndex, request: u64) -> Response {
        self.responses[&(gateway, RequestId(request))][0]
    }
}

/// A plain request.
pub fn request(id: u64) -> RequestArrival {
    RequestArrival {
        request: RequestId(id),
        service: SERVICE_NAME.into(),
        key: Some(Bytes(id.to_le_bytes().to_vec())),
        ..RequestArrival::default()
    }
}
