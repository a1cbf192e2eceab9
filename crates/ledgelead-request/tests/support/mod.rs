//! Gateways, dispatchers and simulated servers in virtual time, connected by links that
//! lose, duplicate, delay and reorder messages as configured.

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

/// Zero-based index of a gateway.
pub type GatewayIndex = usize;

/// Fault probabilities.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lose_message: f64,
    pub duplicate_message: f64,
    pub lose_answer: f64,
    pub truncate_answer: f64,
    pub duplicate_answer: f64,
    pub refuse_connection: f64,
    pub largest_delay: Span,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct WorldOptions {
    pub partitioning: Partitioning,
    pub gateways: usize,
    pub servers: u32,
    pub slots: u16,
    /// Mean of the exponential service time.
    pub service_time: Span,
    /// One-way latency between any two processes.
    pub hop: Span,
    /// Number of requests that a server queues beyond its slots.
    pub server_queue: usize,
    pub tiers: Vec<TierConfiguration>,
    pub seed: u64,
    pub faults: Faults,
    pub protections: Protections,
}

impl Default for WorldOptions {
    fn default() -> WorldOptions {
        WorldOptions {
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

enum WorldEvent {
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

/// The response to a caller.
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

/// State of a simulation run.
pub struct World {
    pub now: Time,
    pub options: WorldOptions,
    pub gateways: Vec<Gateway>,
    pub dispatcher: Dispatcher,
    pub responses: BTreeMap<(GatewayIndex, RequestId), Vec<Response>>,
    pub arrivals: BTreeMap<(GatewayIndex, RequestId), (Time, RequestArrival)>,
    pub forwards: Vec<(GatewayIndex, Forward)>,
    /// Start times of executions, by request.
    pub executions: BTreeMap<(GatewayIndex, RequestId), Vec<Time>>,
    pub completed: u64,
    pub max_at_a_server: usize,
    pub drained: Vec<Option<Time>>,
    pub trace: Option<Vec<String>>,
    pub frozen: Vec<ServerId>,
    records: BTreeMap<IdempotencyKey, (IdempotencyOwner, IdempotencyState)>,
    servers: BTreeMap<ServerId, ServerModel>,
    events: BTreeMap<(Time, u64), WorldEvent>,
    next_event: u64,
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

/// Each caller has the name of its tier.
pub fn configuration(options: &WorldOptions) -> Configuration {
    let callers = options.tiers.iter().map(|tier| CallerConfiguration {
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
            partitioning: options.partitioning,
            groups: 1,
            replicas: 3,
            default_deadline_ms: 2_000,
            ..ServiceConfiguration::default()
        }]),
        tiers: List(options.tiers.clone()),
        callers: callers.collect(),
        ..Configuration::default()
    }
}

pub fn routes(options: &WorldOptions, revision: u64) -> GroupRoutes {
    let servers = (0..options.servers).map(|id| ServerRoute {
        server: ServerId(id),
        address: format!("10.0.0.{id}:80").as_str().into(),
        dispatcher: DISPATCHER,
        slots: options.slots,
        ..ServerRoute::default()
    });
    let slices = (0..options.servers).map(|id| SliceRoute {
        range: PositionRange::ALL.part(u64::from(id), u64::from(options.servers)),
        owner: Some(ServerId(id)),
        token: token(1),
    });
    let slices = if options.partitioning == Partitioning::None {
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

pub fn dispatched(options: &WorldOptions) -> Vec<DispatchedServer> {
    (0..options.servers)
        .map(|id| DispatchedServer {
            group: GROUP,
            server: ServerId(id),
            slots: options.slots,
            status: ServerStatus::Active,
            lease_until: Some(Time(u64::MAX)),
            responsive: true,
        })
        .collect()
}

impl World {
    pub fn new(options: WorldOptions) -> World {
        let now = Time::ZERO;
        let gateways = (0..options.gateways)
            .map(|index| {
                let settings = GatewaySettings {
                    member: member(index),
                    zone: ZoneId(0),
                    random_seed: options.seed + index as u64,
                    protections: options.protections,
                };
                Gateway::new(settings, now)
            })
            .collect();
        let settings = DispatcherSettings {
            node: DISPATCHER,
            random_seed: options.seed,
            protections: options.protections,
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
            max_at_a_server: 0,
            drained: vec![None; options.gateways],
            trace: None,
            frozen: Vec::new(),
            records: BTreeMap::new(),
            servers: (0..options.servers)
                .map(|id| (ServerId(id), ServerModel::default()))
                .collect(),
            events: BTreeMap::new(),
            next_event: 0,
            random: Pcg64Mcg::seed_from_u64(options.seed),
            options,
        };
        world.send_configuration_and_routes();
        world
    }

    fn send_configuration_and_routes(&mut self) {
        let configuration = Arc::new(configuration(&self.options));
        let routes = Arc::new(routes(&self.options, 1));
        for gateway in &mut self.gateways {
            gateway.step(self.now, GatewayInput::Configuration(configuration.clone()));
            gateway.step(self.now, GatewayInput::Routes(routes.clone()));
        }
        let inputs = [
            DispatcherInput::Configuration(configuration),
            DispatcherInput::Routes(routes),
            DispatcherInput::Servers {
                group: GROUP,
                servers: dispatched(&self.options),
            },
        ];
        for input in inputs {
            self.dispatcher.step(self.now, input);
        }
        for server in 0..self.options.servers {
            let input = DispatcherInput::ServerLoad {
                server: ServerId(server),
                load: LoadReport::default(),
            };
            self.dispatcher.step(self.now, input);
        }
    }

    /// Sends a new configuration to all processes.
    pub fn configure(&mut self, configuration: Configuration) {
        let configuration = Arc::new(configuration);
        for gateway in &mut self.gateways {
            let input = GatewayInput::Configuration(configuration.clone());
            gateway.step(self.now, input);
        }
        let input = DispatcherInput::Configuration(configuration);
        self.dispatcher.step(self.now, input);
    }

    /// Marks servers as lost in the group's routes.
    pub fn mark_servers_lost(&mut self, lost: &[ServerId]) {
        let mut routes = routes(&self.options, 2);
        let mut servers = dispatched(&self.options);
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

    fn schedule(&mut self, at: Time, event: WorldEvent) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    pub fn arrive(&mut self, at: Time, gateway: GatewayIndex, arrival: RequestArrival) {
        self.schedule(at, WorldEvent::Arrive(gateway, arrival));
    }

    pub fn leave(&mut self, at: Time, gateway: GatewayIndex, request: RequestId) {
        self.schedule(at, WorldEvent::Leave(gateway, request));
    }

    pub fn stop(&mut self, at: Time, gateway: GatewayIndex) {
        self.schedule(at, WorldEvent::Stop(gateway));
    }

    /// Runs until no event is left before `until`.
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
                .events
                .first_key_value()
                .map_or(until, |(&(at, _), _)| at);
            let at = wake.min(next).max(self.now);
            if at >= until {
                self.now = until;
                return;
            }
            self.now = at;
            let event = if next <= at {
                self.events.pop_first().map(|(_, event)| event)
            } else {
                None
            };
            self.handle_event(event.unwrap_or(WorldEvent::Tick));
            self.collect();
        }
    }

    fn handle_event(&mut self, event: WorldEvent) {
        let now = self.now;
        match event {
            WorldEvent::Arrive(gateway, arrival) => {
                self.note(|| format!("{} arrives", arrival.request));
                let key = (gateway, arrival.request);
                self.arrivals.insert(key, (now, arrival.clone()));
                self.gateways[gateway].step(now, GatewayInput::Arrived(arrival));
            }
            WorldEvent::Leave(gateway, request) => {
                self.gateways[gateway].step(now, GatewayInput::CallerLeft(request));
            }
            WorldEvent::Stop(gateway) => self.gateways[gateway].step(now, GatewayInput::Stop),
            WorldEvent::ToDispatcher(gateway, message) => {
                let from = member(gateway).node;
                let input = DispatcherInput::Message { from, message };
                self.dispatcher.step(now, input);
            }
            WorldEvent::ToGateway(gateway, message) => {
                let from = DISPATCHER;
                let input = GatewayInput::Dispatch { from, message };
                self.gateways[gateway].step(now, input);
            }
            WorldEvent::Reach(gateway, forward) => self.forward_to_server(gateway, forward),
            WorldEvent::CancelAt(server, gateway, attempt) => {
                self.cancel_at(server, gateway, attempt);
            }
            WorldEvent::Complete(server, execution) => self.complete(server, execution),
            WorldEvent::End(gateway, attempt, result) => {
                self.note(|| format!("attempt {} ended: {result:?}", attempt.number));
                let input = GatewayInput::AttemptEnded {
                    attempt,
                    result,
                    load: None,
                };
                self.gateways[gateway].step(now, input);
            }
            WorldEvent::IdempotencyRecordDecided(owner, key, verdict) => {
                let input = DispatcherInput::IdempotencyRecordDecided {
                    owner,
                    key,
                    verdict,
                };
                self.dispatcher.step(now, input);
            }
            WorldEvent::Tick => {
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
        let most = self.options.faults.largest_delay.as_micros();
        let extra = if most == 0 {
            0
        } else {
            self.random.random_range(0..most)
        };
        self.options.hop + Span::from_micros(extra)
    }

    /// Delivers a message zero, one or two times.
    fn deliver(&mut self, make: impl Fn() -> WorldEvent) {
        if !self.chance(self.options.faults.lose_message) {
            let at = self.now + self.delay();
            self.schedule(at, make());
        }
        if self.chance(self.options.faults.duplicate_message) {
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
                self.deliver(|| WorldEvent::ToGateway(gateway, message));
            }
            DispatcherOutput::BeginIdempotencyRecord { owner, key, .. } => {
                let verdict = self.begin_record(owner, key);
                let at = self.now + self.options.hop + self.options.hop;
                self.schedule(
                    at,
                    WorldEvent::IdempotencyRecordDecided(owner, key, verdict),
                );
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
                self.deliver(|| WorldEvent::ToDispatcher(gateway, message));
            }
            GatewayOutput::Forward(forward) => {
                self.note(|| format!("forward {} to {}", forward.attempt.number, forward.server));
                self.forwards.push((gateway, forward.clone()));
                let refused = self.chance(self.options.faults.refuse_connection);
                let at = self.now + self.delay();
                if refused {
                    let result = AttemptResult::NotSent;
                    self.schedule(at, WorldEvent::End(gateway, forward.attempt, result));
                } else {
                    self.schedule(at, WorldEvent::Reach(gateway, forward));
                }
            }
            GatewayOutput::Cancel {
                attempt, server, ..
            } => {
                let at = self.now + self.delay();
                self.schedule(at, WorldEvent::CancelAt(server, gateway, attempt));
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

    fn forward_to_server(&mut self, gateway: GatewayIndex, forward: Forward) {
        let server = forward.server;
        if self.frozen.contains(&server) {
            return;
        }
        let (slots, queue) = (usize::from(self.options.slots), self.options.server_queue);
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
        self.max_at_a_server = self.max_at_a_server.max(here);
    }

    fn execute(&mut self, gateway: GatewayIndex, forward: &Forward) {
        let draw: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let service = self.options.service_time.times(-draw.ln());
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
            WorldEvent::Complete(forward.server, execution),
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
        let result = if self.chance(self.options.faults.lose_answer) {
            AttemptResult::Lost
        } else if self.chance(self.options.faults.truncate_answer) {
            AttemptResult::BadAnswer
        } else {
            AttemptResult::Answered { failure: false }
        };
        self.end(gateway, attempt, result);
        if self.chance(self.options.faults.duplicate_answer) {
            self.end(gateway, attempt, result);
        }
    }

    /// A cancellation removes a waiting request. A request in execution continues, and its
    /// answer arrives late.
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
        self.schedule(at, WorldEvent::End(gateway, attempt, result));
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

    /// The only response to a request.
    pub fn response(&self, gateway: GatewayIndex, request: u64) -> Response {
        self.responses[&(gateway, RequestId(request))][0]
    }
}

/// A minimal request.
pub fn request(id: u64) -> RequestArrival {
    RequestArrival {
        request: RequestId(id),
        service: SERVICE_NAME.into(),
        key: Some(Bytes(id.to_le_bytes().to_vec())),
        ..RequestArrival::default()
    }
}
