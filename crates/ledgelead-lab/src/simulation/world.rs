//! The simulation state and event loop.

use super::callers::Callers;
use super::deployment;
use super::event::{Event, NodeRun};
use super::faults::Fault;
use super::measurements::Measurements;
use super::network::{Endpoint, Network};
use super::nodes::NodeProcess;
use super::operators::Operators;
use super::platform::PlatformProcess;
use super::ports::Outbox;
use super::probes::Probe;
use super::queue::EventQueue;
use super::rng::RandomStream;
use super::servers::ServerProcess;
use super::session::Session;
use super::tolerance::Tolerance;
use super::trace::{Trace, TracedRequest};
use crate::checker::Checker;
use crate::scenario::Scenario;
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::protections::Protections;
use ledgelead_types::{Span, Time};
use stakker::Stakker;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Streams of random numbers.
#[derive(Clone, Copy, Debug)]
enum Stream {
    Network,
    Callers,
    Faults,
    Processes,
}

/// A simulated deployment and its environment.
pub struct World<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) protections: Protections,
    pub(super) assigner: AssignerChoice,
    pub(super) run_clock: Rc<Cell<Time>>,
    pub(super) stakker: Stakker,
    start: Instant,
    pub(super) events: EventQueue<Event>,
    pub(super) outbox: Outbox,
    pub(super) network: Network,
    pub(super) nodes: Vec<NodeProcess>,
    pub(super) servers: Vec<ServerProcess>,
    pub(super) platform: PlatformProcess,
    pub(super) callers: Callers,
    pub(super) operators: Operators,
    pub(super) faults: Vec<Fault>,
    pub(super) fault_rng: RandomStream,
    pub(super) process_rng: RandomStream,
    pub(super) probes: Vec<Probe>,
    pub(super) checker: Checker,
    pub(super) measurements: Measurements,
    pub(super) session: Session,
    pub(super) tolerance: Tolerance,
    pub(super) trace: Trace,
}

/// Runs a scenario with one seed to the end.
pub fn run_seed(
    scenario: &Scenario,
    seed: u64,
    protections: Protections,
    assigner: AssignerChoice,
) -> (Measurements, Checker) {
    let mut world = World::new(scenario, seed, protections, assigner);
    world.run();
    world.finish()
}

impl<'a> World<'a> {
    /// Creates a simulation at the start of its run.
    pub fn new(
        scenario: &'a Scenario,
        seed: u64,
        protections: Protections,
        assigner: AssignerChoice,
    ) -> World<'a> {
        let rng = |stream: Stream| RandomStream::new(seed, stream as u64);
        let start = Instant::now();
        let mut world = World {
            scenario,
            protections,
            assigner,
            run_clock: Rc::new(Cell::new(Time::ZERO)),
            stakker: Stakker::new(start),
            start,
            events: EventQueue::default(),
            outbox: Outbox::default(),
            network: Network::new(
                &scenario.network,
                &scenario.platform,
                &scenario.zones,
                rng(Stream::Network),
            ),
            nodes: Vec::new(),
            servers: Vec::new(),
            platform: PlatformProcess::new(scenario),
            callers: Callers::new(scenario, rng(Stream::Callers)),
            operators: Operators::default(),
            faults: Vec::new(),
            fault_rng: rng(Stream::Faults),
            process_rng: rng(Stream::Processes),
            probes: Vec::new(),
            checker: Checker::default(),
            measurements: Measurements::new(scenario),
            session: Session::default(),
            tolerance: Tolerance::default(),
            trace: Trace::default(),
        };
        world.set_up();
        world
    }

    /// Enables the textual session log.
    pub fn record_session(&mut self) {
        self.session = Session::enabled();
    }

    /// Enables the recording of requests.
    pub fn trace_requests(&mut self) {
        self.trace = Trace::enabled();
    }

    /// Takes the recorded requests in the order of their ends.
    pub fn take_traced_requests(&mut self) -> Vec<TracedRequest> {
        self.trace.take()
    }

    /// Lines of the session log.
    pub fn session(&self) -> &[String] {
        self.session.lines()
    }

    fn set_up(&mut self) {
        self.platform_starts();
        self.place_servers();
        self.place_nodes();
        self.draw_faults();
        let warm = Time::ZERO + Span::from_seconds(self.scenario.run.warm_up_seconds);
        for (index, service) in self.scenario.services.iter().enumerate() {
            self.events.add(warm, Event::NextArrival(index));
            let period = service.load.hot_move_seconds;
            if period > 0.0 {
                self.after(super::rng::seconds(period), Event::MoveHotKeys(index));
            }
        }
        self.after(Span::from_seconds(1), Event::EverySecond);
    }

    fn place_servers(&mut self) {
        for plan in deployment::servers(self.scenario) {
            let index = self.servers.len();
            self.network.put(Endpoint::Server(index), plan.zone);
            let drift = self.scenario.nodes.clock_drift_ppm;
            let clock = super::clock::SkewedClock::draw(&mut self.process_rng, drift);
            self.servers.push(ServerProcess::new(plan, clock));
            self.server_starts(index);
        }
    }

    fn place_nodes(&mut self) {
        const LATEST_START: f64 = 0.2;
        for zone in 0..self.scenario.zones.len() {
            for _ in 0..self.scenario.nodes.per_zone {
                let index = self.nodes.len();
                self.network.put(Endpoint::Node(index), zone);
                self.nodes.push(NodeProcess::new(index, zone));
                let delay = self.process_rng.between(0.0, LATEST_START);
                self.after(super::rng::seconds(delay), Event::StartNode(index));
            }
        }
    }

    /// Runs to the end of the scenario.
    pub fn run(&mut self) {
        self.run_until(self.end());
    }

    /// End of the run.
    pub(super) fn end(&self) -> Time {
        Time::ZERO + Span::from_seconds(self.scenario.run.virtual_seconds)
    }

    /// Runs up to and including a time of the run.
    pub fn run_until(&mut self, until: Time) {
        while let Some(next) = self.next_time().filter(|next| *next <= until) {
            self.advance(next);
        }
        self.run_clock.set(until);
    }

    fn next_time(&mut self) -> Option<Time> {
        let timer = self.stakker.next_expiry().map(|instant| {
            let nanos = instant.saturating_duration_since(self.start).as_nanos();
            Time(nanos.div_ceil(1_000) as u64)
        });
        match (self.events.next_time(), timer) {
            (Some(event), Some(timer)) => Some(event.min(timer)),
            (event, timer) => event.or(timer),
        }
    }

    fn advance(&mut self, next: Time) {
        let now = self.now().max(next);
        self.run_clock.set(now);
        self.run_actors();
        while let Some(event) = self.events.take_due(now) {
            self.handle(event);
            self.run_actors();
        }
    }

    /// Lets the actors process everything that is due, and carries out their outputs.
    pub(super) fn run_actors(&mut self) {
        let instant = self.start + Span(self.now().0).to_std();
        self.stakker.run(instant, false);
        let outputs = std::mem::take(&mut *self.outbox.borrow_mut());
        for (run, output) in outputs {
            self.perform(run, output);
        }
    }

    /// Current time of the run.
    pub fn now(&self) -> Time {
        self.run_clock.get()
    }

    pub(super) fn after(&mut self, delay: Span, event: Event) {
        let at = self.now() + delay;
        self.events.add(at, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StartNode(index) => self.node_starts(index),
            Event::ResumeNode(index) => self.node_resumes(index),
            Event::StopTimeout(run) => self.stop_times_out(run),
            Event::ToNode(run, event) => self.reach_node(run, event),
            Event::ResumeServer(index) => self.server_resumes(index),
            Event::ToServer { index, run, event } => self.reach_server(index, run, event),
            Event::CheckLeaving(index) => self.check_leaving(index),
            Event::ToPlatform(run, call, request) => self.reach_platform(run, call, &request),
            Event::WatchTimeout(watch) => self.watch_times_out(watch),
            Event::NextArrival(service) => self.next_arrival(service),
            Event::SendRequest(body) => self.send_request(body),
            Event::NotifyCaller {
                body,
                outcome,
                answer,
            } => self.notify_caller(body, outcome, answer),
            Event::CallerTimeout(body) => self.caller_times_out(body),
            Event::SendCommand(command, purpose) => self.send_command(*command, purpose),
            Event::FaultBegins(index) => self.fault_begins(index),
            Event::FaultEnds(index) => self.fault_ends(index),
            Event::Probe(index) => self.send_probe(index),
            Event::MoveHotKeys(service) => self.move_hot_keys(service),
            Event::EverySecond => self.every_second(),
        }
    }

    fn move_hot_keys(&mut self, service: usize) {
        self.callers.services[service].move_hot_keys(&mut self.callers.rng);
        let period = self.scenario.services[service].load.hot_move_seconds;
        self.after(super::rng::seconds(period), Event::MoveHotKeys(service));
    }

    fn every_second(&mut self) {
        let now = self.now();
        let platform_available_since = self.platform.undisturbed_since(now);
        self.checker.configuration.check(
            now,
            platform_available_since,
            &mut self.checker.violations,
        );
        self.measure_imbalance();
        self.measure_balance();
        self.age_losses(Span::from_seconds(1));
        self.after(Span::from_seconds(1), Event::EverySecond);
    }

    /// Performs the final checks and returns the results.
    pub fn finish(mut self) -> (Measurements, Checker) {
        let now = self.now();
        self.checker
            .ownership
            .finish(now, &mut self.checker.violations);
        self.finish_probes();
        for index in 0..self.scenario.services.len() {
            let share = self
                .checker
                .ownership
                .churned_share(deployment::service_id(index));
            self.measurements.churned_share += share;
        }
        let configuration = &self.checker.configuration;
        self.measurements.longest_configuration_lag = configuration.longest_lag();
        self.measurements.longest_undisturbed_configuration_lag =
            configuration.longest_undisturbed_lag();
        self.measurements.end(now);
        (self.measurements, self.checker)
    }

    /// Whether a node incarnation is the current one.
    pub(super) fn is_current(&self, run: NodeRun) -> bool {
        self.nodes[run.index].run() == Some(run)
    }
}
