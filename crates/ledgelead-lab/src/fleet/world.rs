//! The simulated nodes, store and instances in virtual time.

use super::checker::{Checker, Violation};
use super::connections::Connections;
use super::crashing::{Crashing, CrashingRequest};
use super::dialect::{TicketDialect, Tickets};
use super::eras::Snapshots;
use super::event::{Caller, Event, Scheduled};
use super::faults::{Fault, Schedule, Target};
use super::harmless::HeldBack;
use super::instance::Instance;
use super::isolation::{IsolationEffect, Isolations};
use super::limits::Limits;
use super::network::{LATENCY, Network};
use super::notices::Notices;
use super::report::FleetReport;
use super::store::Store;
use super::trace_log;
use super::transport::{BlockedOrder, Transport};
use super::versions::{CONFIGURATION_BOUND, VERSION_CHECK_INTERVAL, Versions};
use ledgelead_http::{Request, Response};
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::identity::{NodeIdentity, NodeName, ServiceName, ZoneName};
use ledgelead_router::io::{Action, ExchangeFailure, ExchangeId, ExchangeOptions, Input};
use ledgelead_router::mechanisms::Mechanisms;
use ledgelead_router::node::Node;
use ledgelead_router::ownership::coordinator::Coordinator;
use ledgelead_router::peers::Datagram;
use ledgelead_router::protections::Protections;
use ledgelead_router::requests::{BudgetBounds, ColdBound};
use ledgelead_router::settings::{DEFAULT_LINK_BYTES_PER_S, NodeSettings};
use ledgelead_runtime::clock::ClockSource;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// The sharded service, whose keys have owners.
pub const SHARDED: &str = "lookup";
/// The service whose requests run at most once.
pub const ONCE: &str = "submit";
/// An unsharded service whose requests may run more than once. It exists only in runs with
/// requests that crash instances.
pub const READ: &str = "read";
/// The host of all routes.
pub const HOST: &str = "example";
/// Initial instances of the sharded service.
pub const SHARDED_INSTANCES: usize = 6;
/// Initial instances of the run-once service.
const ONCE_INSTANCES: usize = 4;
/// Initial instances of the `READ` service in runs that have it.
const READ_INSTANCES: usize = 6;
/// Initial instances of the sharded and run-once services.
pub const ALL_INSTANCES: usize = SHARDED_INSTANCES + ONCE_INSTANCES;
/// Interval between the heartbeats of an instance.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(1_300);
/// Interval between client requests.
const CLIENT_INTERVAL: Duration = Duration::from_millis(8);
/// When clients start sending requests.
pub const TRAFFIC_FROM: Duration = Duration::from_secs(8);
/// How long a leaving instance still accepts requests.
pub const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Maximum delay of a datagram beyond the network latency.
const MAX_DATAGRAM_DELAY: Duration = Duration::from_millis(3);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of nodes, spread over three zones.
    pub nodes: usize,
    /// How long clients send requests.
    pub traffic: Duration,
    /// The faults of the run.
    pub schedule: Schedule,
    /// How node connections behave during network partitions.
    pub transport: Transport,
    /// The clock that nodes use.
    pub clock: ClockSource,
    /// When set, nine in ten keyed requests after this time go to a small range of adjacent
    /// keys.
    pub hot_from: Option<Duration>,
    /// Range of the service times of instances, in milliseconds.
    pub service_ms: Range<u64>,
    /// Share of datagrams between nodes that are lost. The others are delayed by up to
    /// `MAX_DATAGRAM_DELAY` more than other messages, so that they can arrive out of order.
    pub datagram_loss: f64,
    /// Requests that crash the instances executing them.
    pub crashing: Vec<CrashingRequest>,
    /// Whether further callers send popular, new and slow requests that crash no instances.
    pub bystanders: bool,
    /// Whether instance ids include the start time of the process.
    pub reports_start_times: bool,
    /// Whether leaving instances also say so in their responses. If unset, runs test the other
    /// protections alone.
    pub reports_leaving_in_responses: bool,
    /// Maximum number of objects per page of a store list.
    pub page_objects: usize,
    /// Whether to print faults, orders and records.
    pub trace: bool,
    /// Protections enabled on the nodes.
    pub protections: Protections,
}

/// A simulated node.
pub(super) struct SimulatedNode {
    pub(super) node: Option<Node>,
    pub(super) incarnation: u64,
    pub(super) frozen_until: Duration,
    pub(super) thawed_at: Duration,
    /// How far its clock lags behind because it stopped during suspensions.
    pub(super) clock_behind: Duration,
    /// Whether the node has processed nothing since its last suspension.
    pub(super) resumed_without_step: bool,
    /// End of its last partition from the store.
    pub(super) healed_at: Duration,
    /// End of the last period in which the store refused its calls.
    pub(super) refused_until: Duration,
    /// When its current incarnation started.
    pub(super) started_at: Duration,
    deadline: Option<Duration>,
}

/// A key that lost its owner and has not been granted again.
pub(super) struct LostKey {
    pub(super) at: Duration,
    pub(super) key: u16,
}

/// Active faults of the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreFaults {
    pub(super) silent: u32,
    pub(super) refusing: u32,
    pub(super) losing_answers: u32,
    /// End of the last outage.
    pub(super) recovered_at: Duration,
    /// End of the last period in which responses to writes were lost.
    pub(super) answers_lost_until: Duration,
}

/// The simulation state.
pub struct World {
    pub(super) now: Duration,
    sequence: u64,
    queue: BinaryHeap<Scheduled>,
    pub(super) settings: FleetSettings,
    pub(super) rng: Pcg64Mcg,
    /// Separate from `rng`, so that datagrams leave its sequence unchanged.
    datagram_rng: Pcg64Mcg,
    /// Separate generator for acknowledgements of the ownership record.
    acknowledgement_rng: Pcg64Mcg,
    /// Separate generator for requests that crash instances.
    pub(super) crash_rng: Pcg64Mcg,
    /// Separate generator for the callers in runs with such requests.
    pub(super) caller_rng: Pcg64Mcg,
    /// Separate generator for the clocks of restarted instances.
    pub(super) start_time_rng: Pcg64Mcg,
    /// Separate generator for the pauses that instances request.
    pub(super) notice_rng: Pcg64Mcg,
    pub(super) notices: Notices,
    pub(super) limits: Limits,
    pub(super) snapshots: Snapshots,
    /// Start of the last outage that ends with a restore from a snapshot.
    pub(super) restore_outage_started_at: Duration,
    /// When the entry of each instance was first written.
    pub(super) registered: HashMap<usize, Duration>,
    pub(super) crashing: Vec<Crashing>,
    pub(super) crashing_tries: u64,
    pub(super) held_back: HeldBack,
    pub(super) nodes: Vec<SimulatedNode>,
    pub(super) store: Store,
    pub(super) store_faults: StoreFaults,
    pub(super) instances: Vec<Instance>,
    pub(super) last_heartbeat: BTreeMap<usize, Duration>,
    pub(super) leaving: HashMap<usize, Duration>,
    /// Instances that left without notice, with the time at which they did.
    pub(super) unregistered_since: HashMap<usize, Duration>,
    /// Instances from `unregistered_since` whose entry is currently replaced by a foreign
    /// writer.
    pub(super) unreadable_entries: BTreeSet<usize>,
    pub(super) network: Network,
    pub(super) isolations: Isolations,
    pub(super) tickets: Rc<RefCell<Tickets>>,
    pub(super) pending: HashMap<(Caller, ExchangeId), Duration>,
    pub(super) orders_late: u32,
    /// By how much orders to some instances are delayed.
    pub(super) order_delays: HashMap<usize, Duration>,
    pub(super) answers_lost: u32,
    /// Active faults by which instances send second answers.
    pub(super) second_answers: u32,
    /// Separate generator for second answers.
    pub(super) second_answer_rng: Pcg64Mcg,
    pub(super) connections: Connections,
    pub(super) versions: Versions,
    pub(super) checker: Checker,
    pub(super) report: FleetReport,
    pub(super) lost_keys: Vec<LostKey>,
    pub(super) clients: super::clients::Clients,
    pub(super) transfers: super::transfers::Transfers,
}

impl World {
    /// Creates a simulation that has not started.
    pub fn new(settings: FleetSettings) -> World {
        let mut world = World {
            now: Duration::ZERO,
            sequence: 0,
            queue: BinaryHeap::new(),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            datagram_rng: Pcg64Mcg::seed_from_u64(settings.seed ^ 0xda7a),
            acknowledgement_rng: Pcg64Mcg::seed_from_u64(settings.seed ^ 0xacc0),
            crash_rng: Pcg64Mcg::seed_from_u64(settings.seed ^ 0xc4a5),
            caller_rng: Pcg64Mcg::seed_from_u64(settings.seed ^ 0xca11),
            start_time_rng: Pcg64Mcg::seed_from_u64(settings.seed ^ 0xb04a),
            notice_rng: Pcg64Mcg::seed_from_u64(settings.seed ^ 0x5a1d),
            notices: Notices::default(),
            limits: Limits::default(),
            snapshots: Snapshots::default(),
            restore_outage_started_at: Duration::ZERO,
            registered: HashMap::new(),
            crashing: settings
                .crashing
                .iter()
                .map(|_| Crashing::default())
                .collect(),
            crashing_tries: 0,
            held_back: HeldBack::default(),
            nodes: Vec::new(),
            store: Store::with_page_size(settings.page_objects),
            store_faults: StoreFaults::default(),
            instances: Vec::new(),
            last_heartbeat: BTreeMap::new(),
            leaving: HashMap::new(),
            unregistered_since: HashMap::new(),
            unreadable_entries: BTreeSet::new(),
            network: Network::default(),
            isolations: Isolations::default(),
            tickets: Rc::default(),
            pending: HashMap::new(),
            orders_late: 0,
            order_delays: HashMap::new(),
            answers_lost: 0,
            second_answers: 0,
            second_answer_rng: Pcg64Mcg::seed_from_u64(settings.seed ^ 0x2a5e),
            connections: Connections::new(settings.protections),
            versions: Versions::new(!settings.crashing.is_empty()),
            checker: Checker::default(),
            report: FleetReport::default(),
            lost_keys: Vec::new(),
            clients: super::clients::Clients::default(),
            transfers: super::transfers::Transfers::default(),
            settings,
        };
        world.populate();
        world
    }

    fn populate(&mut self) {
        self.store.configure(self.versions.newest());
        for index in 0..ALL_INSTANCES {
            let service = if index < SHARDED_INSTANCES {
                SHARDED
            } else {
                ONCE
            };
            self.add_instance(service);
        }
        if !self.settings.crashing.is_empty() {
            (0..READ_INSTANCES).for_each(|_| self.add_instance(READ));
        }
        for (number, crashing) in self.settings.crashing.clone().into_iter().enumerate() {
            self.schedule_at(crashing.from, Event::CrashingClient(number));
        }
        self.schedule_harmless_callers(TRAFFIC_FROM);
        for index in 0..self.settings.nodes {
            self.nodes.push(SimulatedNode {
                node: None,
                incarnation: 0,
                frozen_until: Duration::ZERO,
                thawed_at: Duration::ZERO,
                clock_behind: Duration::ZERO,
                resumed_without_step: false,
                healed_at: Duration::ZERO,
                refused_until: Duration::ZERO,
                started_at: Duration::ZERO,
                deadline: None,
            });
            let delay = Duration::from_millis(self.rng.random_range(0..300));
            self.schedule(delay, Event::Start(index));
        }
        self.schedule(HEARTBEAT, Event::ExpireEntries);
        self.schedule(TRAFFIC_FROM, Event::Client);
        self.schedule(VERSION_CHECK_INTERVAL, Event::CheckVersions);
        self.schedule_snapshots();
        for Fault { at, duration, kind } in self.settings.schedule.0.clone() {
            self.schedule_at(at, Event::Fault(kind.clone(), duration));
            self.schedule_at(at + duration, Event::FaultEnds(kind));
        }
    }

    /// Adds an instance, which registers itself shortly after.
    pub(super) fn add_instance(&mut self, service: &str) {
        let index = self.instances.len();
        let zone = format!("zone-{}", index % 3);
        let sharded = service == SHARDED;
        let record = InstanceRecord {
            id: self.new_incarnation_id(&format!("i-{index}")),
            service: ServiceName::from(service),
            address: instance_address(index),
            zone: ZoneName::from(zone.as_str()),
            slots: 2,
            draining: false,
            warmup_left: Duration::ZERO,
        };
        let service_ms = self.settings.service_ms.clone();
        let service_time = Duration::from_millis(self.rng.random_range(service_ms));
        self.instances
            .push(Instance::new(record, sharded, service_time));
        let delay = Duration::from_millis(self.rng.random_range(0..1_000));
        self.schedule(delay, Event::Heartbeat(index));
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> FleetReport {
        let end = TRAFFIC_FROM + self.settings.traffic;
        while let Some(next) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.handle_event(next.event);
        }
        self.finish(end)
    }

    fn finish(mut self, end: Duration) -> FleetReport {
        // Keys without an owner at the end count as lost until then.
        for loss in std::mem::take(&mut self.lost_keys) {
            self.report.unserved.0.push(end - loss.at);
        }
        let epochs = self.nodes.iter().filter_map(|simulated| {
            let node = simulated.node.as_ref()?;
            Some(node.status().epoch)
        });
        self.report.epochs = epochs.max().unwrap_or(0);
        self.report.unanswered = self.clients.open();
        self.check_isolations();
        self.report.violations = std::mem::take(&mut self.checker.violations);
        self.report
    }

    /// Prints a line if tracing is enabled.
    pub(super) fn trace(&self, what: impl FnOnce() -> String) {
        if self.settings.trace {
            println!("{:>10.4} {}", self.now.as_secs_f64(), what());
        }
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    pub(super) fn schedule_at(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Scheduled {
            at,
            sequence: self.sequence,
            event,
        });
    }

    fn handle_event(&mut self, event: Event) {
        let Some(event) = self.connections.admit(event) else {
            return;
        };
        match event {
            Event::Start(index) => self.start_node(index),
            Event::Deadline(caller) => self.deadline(caller),
            Event::Input(caller, input) => self.input(caller, input),
            Event::Exchanged(caller, exchange, input) => {
                self.exchange_ends(caller, exchange, *input);
            }
            Event::Answer(answer) => self.answer_arrives(*answer),
            Event::StoreCall(caller, exchange, call) => self.store_call(caller, exchange, &call),
            Event::WatchTimeout(caller, exchange) => self.watch_times_out(caller, exchange),
            Event::LateWrite(call) => {
                self.store.call(&call);
                self.answer_watches();
            }
            Event::Request(caller, exchange, instance, request, until) => {
                self.request_arrives(caller, exchange, instance, &request, until);
            }
            Event::Order {
                caller,
                exchange,
                instance,
                intended,
                sent,
                order,
            } => {
                let instance = self.current_incarnation(instance);
                self.order_arrives((caller, sent), exchange, instance, &intended, order);
            }
            Event::BlockedOrder(held) => self.retransmit_order(*held),
            Event::RequestDone(instance, instance_request) => {
                self.request_done(instance, &instance_request)
            }
            Event::Heartbeat(index) => self.heartbeat(index),
            Event::InstanceEnds(index) => self.departed_instance_ends(index),
            Event::ExpireEntries => self.expire_entries(),
            Event::InstanceReturns(index) => self.instance_returns(index),
            Event::InstanceRestarts(index) => self.restart(index),
            Event::InstanceCrashes(index) => self.crash_and_fail_requests(index),
            Event::CrashingClient(number) => self.send_crashing_request(number),
            Event::HarmlessClient => self.send_harmless_client_request(),
            Event::HarmlessBurst => self.send_harmless_burst(),
            Event::Client => {
                self.send_client_request();
                let jitter = Duration::from_micros(self.rng.random_range(0..4_000));
                self.schedule(CLIENT_INTERVAL + jitter, Event::Client);
            }
            Event::TakeSnapshot => self.take_snapshot(),
            Event::OperatorRewrites => self.rewrite_configuration(),
            Event::CheckVersions => {
                self.check_versions();
                self.schedule(VERSION_CHECK_INTERVAL, Event::CheckVersions);
            }
            Event::Fault(kind, duration) => self.begin_fault(&kind, duration),
            Event::FaultEnds(kind) => self.end_fault(&kind),
        }
    }

    /// Ends an exchange, unless it has already ended.
    pub(super) fn exchange_ends(&mut self, caller: Caller, exchange: ExchangeId, input: Input) {
        if self.pending.remove(&(caller, exchange)).is_some() {
            self.abort_forward(caller, exchange);
            self.release_store_connection(caller, exchange, &input);
            // An accepted answer has already released the connection.
            self.connections.abort(caller, exchange);
            self.notice_arrives(caller, exchange);
            self.limit_arrives(caller, exchange);
            self.input(caller, input);
        }
    }

    /// Starts a new incarnation of a node.
    pub(super) fn start_node(&mut self, index: usize) {
        if self.nodes[index].node.is_some() {
            return;
        }
        let incarnation = self.nodes[index].incarnation + 1;
        let settings = NodeSettings {
            identity: NodeIdentity {
                node: NodeName::from(format!("node-{index}").as_str()),
                incarnation: incarnation * 1_000 + index as u64,
            },
            zone: ZoneName::from(format!("zone-{}", index % 3).as_str()),
            peer_address: node_address(index),
            store_address: store_address(),
            millicores: 200,
            retry_budget: BudgetBounds {
                ratio: 0.2,
                slack: 60.0,
                window: Duration::from_secs(10),
            },
            drain_bound: DRAIN_BOUND,
            configuration_bound: CONFIGURATION_BOUND,
            evacuation_bound: Some(Duration::from_secs(5)),
            caller_key_ttl: None,
            cold_bound: ColdBound::default(),
            stop_grace: Duration::from_secs(6),
            memory_limit: None,
            connection_limit: None,
            link_bytes_per_s: DEFAULT_LINK_BYTES_PER_S,
            seed: self.rng.random(),
            protections: self.settings.protections,
            mechanisms: Mechanisms::default(),
        };
        let dialect = Box::new(TicketDialect::new(self.tickets.clone()));
        let simulated = &mut self.nodes[index];
        simulated.incarnation = incarnation;
        simulated.started_at = self.now;
        simulated.frozen_until = Duration::ZERO;
        simulated.deadline = None;
        simulated.clock_behind = Duration::ZERO;
        simulated.resumed_without_step = false;
        simulated.node = Some(Node::new(settings, dialect, self.now));
        self.input((index, incarnation), Input::Deadline);
    }

    /// Ends the process of a node immediately.
    pub(super) fn kill_node(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        self.nodes[index].node = None;
        self.pending.retain(|((node, _), _), _| *node != index);
        self.connections.close_node(index);
        self.abort_forwards_of(index);
        self.store
            .pending_watches
            .retain(|watch| watch.caller.0 != index);
        self.clients.node_lost((index, incarnation));
    }

    fn deadline(&mut self, caller: Caller) {
        let due = self.nodes[caller.0]
            .deadline
            .is_some_and(|deadline| deadline <= self.now);
        if due {
            self.nodes[caller.0].deadline = None;
            self.input(caller, Input::Deadline);
        }
    }

    /// Passes an input to a node and performs the resulting actions.
    pub(super) fn input(&mut self, caller: Caller, input: Input) {
        let simulated = &mut self.nodes[caller.0];
        if simulated.incarnation != caller.1 || simulated.node.is_none() {
            return;
        }
        if simulated.frozen_until > self.now {
            let resumes_at = simulated.frozen_until;
            self.schedule_at(resumes_at, Event::Input(caller, input));
            return;
        }
        let Some(node) = &mut simulated.node else {
            return;
        };
        if self.settings.trace {
            trace_log::set_node(caller.0, self.now);
        }
        let mut actions = Vec::new();
        let time = self.now - simulated.clock_behind;
        if std::mem::take(&mut simulated.resumed_without_step) && node.next_deadline() <= time {
            // Overdue deadlines run before inputs that arrived during the suspension.
            node.step(Input::Deadline, time, &mut actions);
        }
        node.step(input, time, &mut actions);
        let version = node.configuration().map(|known| known.version);
        let deadline = node.next_deadline() + simulated.clock_behind;
        assert!(
            deadline > self.now,
            "node {} processed its due deadlines at {:?} but requests another at {deadline:?}: {:?}",
            caller.0,
            self.now,
            node.next_deadlines()
        );
        let is_earlier = simulated.deadline.is_none_or(|known| deadline < known);
        if is_earlier {
            simulated.deadline = Some(deadline);
            self.schedule_at(deadline, Event::Deadline(caller));
        }
        if let Some(version) = version {
            self.checker
                .configuration_applied(caller, version, self.now);
        }
        for action in actions {
            self.perform(caller, action);
        }
    }

    fn perform(&mut self, caller: Caller, action: Action) {
        match action {
            Action::Respond { client, response } => {
                if !self.node_answered(caller, client, &response) {
                    self.client_answered(caller, client, &response);
                }
            }
            Action::Exchange {
                exchange,
                address,
                request,
                options,
            } => self.exchange(caller, exchange, address, request, &options),
            Action::Cancel { exchange } => self.cancel(caller, exchange),
            Action::Probe {
                exchange,
                address,
                timeout,
            } => self.probe(caller, exchange, address, timeout),
            Action::Datagram { address, datagram } => {
                self.datagram(caller, address, &datagram);
            }
        }
    }

    fn datagram(&mut self, caller: Caller, address: SocketAddr, datagram: &Datagram) {
        let Some(receiver) = self.node_at(address) else {
            return;
        };
        if !self.network.nodes_connected(caller.0, receiver) {
            return;
        }
        let rng = match datagram.kind {
            "ownership_ack" | "ownership_ack_request" => &mut self.acknowledgement_rng,
            _ => &mut self.datagram_rng,
        };
        if rng.random_bool(self.settings.datagram_loss) {
            return;
        }
        let delay = MAX_DATAGRAM_DELAY.mul_f64(rng.random_range(0.0..1.0));
        let input = Input::Datagram {
            from: node_address(caller.0),
            bytes: datagram.bytes.to_vec(),
        };
        let to = (receiver, self.nodes[receiver].incarnation);
        self.schedule(LATENCY + delay, Event::Input(to, input));
    }

    fn node_at(&self, address: SocketAddr) -> Option<usize> {
        (0..self.nodes.len()).find(|index| node_address(*index) == address)
    }

    fn cancel(&mut self, caller: Caller, exchange: ExchangeId) {
        self.pending.remove(&(caller, exchange));
        self.connections.abort(caller, exchange);
        self.abort_forward(caller, exchange);
        self.store
            .pending_watches
            .retain(|watch| watch.caller != caller || watch.exchange != exchange);
        self.drop_requests(caller, exchange);
    }

    fn exchange(
        &mut self,
        caller: Caller,
        exchange: ExchangeId,
        address: SocketAddr,
        request: Request,
        options: &ExchangeOptions,
    ) {
        self.pending
            .insert((caller, exchange), self.now + options.timeout);
        let timed_out = ExchangeFailure::TimedOut;
        self.exchange_fails_after(options.timeout, caller, exchange, timed_out);
        if address == store_address() {
            let Some(call) = self.tickets.borrow_mut().take_call(&request) else {
                return;
            };
            self.connect_to_store(caller, exchange, options);
            if !self.network.cut_from_store.contains(&caller.0)
                && !self.connections.is_silent(caller, exchange)
            {
                let event = Event::StoreCall(caller, exchange, Box::new(call));
                self.schedule(LATENCY, event);
            }
            return;
        }
        if let Some(receiver) = self.node_at(address) {
            self.send_node_request(caller, exchange, receiver, request);
            return;
        }
        let instance = self.running_instance_at(address);
        let is_new = instance.is_some_and(|instance| {
            self.connections
                .begin(caller, instance, exchange, options, self.now)
        });
        match instance {
            Some(_) if self.refuses_connection(caller.0, is_new) => {
                let refused = ExchangeFailure::Refused;
                self.exchange_fails_after(LATENCY * 2, caller, exchange, refused);
            }
            Some(instance) if self.network.instance_connected(caller.0, instance) => {
                self.reach_instance(caller, exchange, instance, request);
            }
            Some(instance) => {
                let held = self.blocked_order(caller, exchange, instance, &request);
                match held {
                    // Sent on an established connection, so the exchange ends only with its
                    // timeout.
                    Some(held) => self.schedule_retransmission(held),
                    // Hangs on an established connection.
                    None if !is_new && self.network.isolated.contains_key(&caller.0) => {}
                    None => self.not_connected(caller, exchange, options.connect_timeout),
                }
            }
            None => {
                let refused = ExchangeFailure::Refused;
                self.exchange_fails_after(LATENCY * 2, caller, exchange, refused);
            }
        }
    }

    /// Schedules the failure of an exchange, unless it ends before.
    pub(super) fn exchange_fails_after(
        &mut self,
        time: Duration,
        caller: Caller,
        exchange: ExchangeId,
        failure: ExchangeFailure,
    ) {
        let input = exchanged(exchange, Err(failure));
        self.schedule(time, Event::Exchanged(caller, exchange, input));
    }

    /// Whether a partition refuses this node's new connections.
    fn refuses_connection(&self, node: usize, is_new: bool) -> bool {
        match self.network.isolated.get(&node) {
            None | Some(IsolationEffect::Drops) => false,
            Some(IsolationEffect::Resets) => true,
            Some(IsolationEffect::RefusesNew) => is_new,
        }
    }

    /// The order that the kernel retransmits after the partition, if the transport
    /// retransmits.
    fn blocked_order(
        &self,
        caller: Caller,
        exchange: ExchangeId,
        instance: usize,
        request: &Request,
    ) -> Option<BlockedOrder> {
        if !self.settings.transport.retransmits {
            return None;
        }
        let (intended, order) = self.tickets.borrow_mut().take_order(request)?;
        Some(BlockedOrder {
            caller,
            exchange,
            instance,
            intended,
            order,
            sent: self.now,
        })
    }

    /// Opens a connection without sending anything on it.
    fn probe(
        &mut self,
        caller: Caller,
        exchange: ExchangeId,
        address: SocketAddr,
        timeout: Duration,
    ) {
        self.pending.insert((caller, exchange), self.now + timeout);
        let is_reached = |instance: usize| {
            let connected = self.network.instance_connected(caller.0, instance);
            connected && !self.instances[instance].unresponsive
        };
        let (after, result) = match self.running_instance_at(address) {
            Some(_) if self.refuses_connection(caller.0, true) => {
                (LATENCY * 2, Err(ExchangeFailure::Refused))
            }
            Some(instance) if is_reached(instance) => (LATENCY * 2, Ok(Response::new(200, ""))),
            Some(_) => (timeout, Err(ExchangeFailure::NotConnected)),
            None => (LATENCY * 2, Err(ExchangeFailure::Refused)),
        };
        let input = exchanged(exchange, result);
        self.schedule(after, Event::Exchanged(caller, exchange, input));
    }

    /// The running instance at an address.
    pub(super) fn running_instance_at(&self, address: SocketAddr) -> Option<usize> {
        self.instances
            .iter()
            .rposition(|instance| instance.record.address == address && instance.alive)
    }

    fn reach_instance(
        &mut self,
        caller: Caller,
        exchange: ExchangeId,
        instance: usize,
        request: Request,
    ) {
        if self.instances[instance].unresponsive {
            let wait = Duration::from_millis(250);
            self.not_connected(caller, exchange, wait);
            return;
        }
        let order = self.tickets.borrow_mut().take_order(&request);
        match order {
            Some((intended, order)) => self.send_order(caller, exchange, instance, intended, order),
            None => {
                let until = self.pending[&(caller, exchange)];
                let event = Event::Request(caller, exchange, instance, Box::new(request), until);
                self.schedule(LATENCY, event);
            }
        }
    }

    fn not_connected(&mut self, caller: Caller, exchange: ExchangeId, after: Duration) {
        self.exchange_fails_after(after, caller, exchange, ExchangeFailure::NotConnected);
    }

    /// Index of the node that a fault affects.
    pub(super) fn target(&self, target: Target) -> usize {
        let epoch = |index: &usize| {
            let node = self.nodes[*index].node.as_ref()?;
            node.coordinator().map(Coordinator::epoch)
        };
        match target {
            Target::Node(index) => index % self.nodes.len(),
            Target::Coordinator => (0..self.nodes.len())
                .filter(|index| epoch(index).is_some())
                .max_by_key(epoch)
                .unwrap_or(0),
        }
    }
}

/// Wraps the result of an exchange in an input.
pub(super) fn exchanged(
    exchange: ExchangeId,
    result: Result<Response, ExchangeFailure>,
) -> Box<Input> {
    Box::new(Input::ExchangeEnded {
        exchange,
        result,
        idle_for: Duration::ZERO,
    })
}

fn node_address(index: usize) -> SocketAddr {
    let machine = u8::try_from(index).unwrap_or(u8::MAX);
    SocketAddr::from(([10, 0, 0, machine], 7_000))
}

pub(super) fn instance_address(index: usize) -> SocketAddr {
    let machine = u8::try_from(index).unwrap_or(u8::MAX);
    SocketAddr::from(([10, 0, 1, machine], 8_000))
}

fn store_address() -> SocketAddr {
    SocketAddr::from(([10, 0, 2, 0], 9_000))
}

/// Formats violations, one per line.
pub fn violation_lines(violations: &[Violation]) -> Vec<String> {
    violations
        .iter()
        .map(|violation| {
            format!(
                "{:?} {}: {}",
                violation.at,
                violation.kind.name(),
                violation.what
            )
        })
        .collect()
}
