//! The simulation state and event loop of a hollow deployment.

use super::accounts::NodeAccount;
use super::calibration::Costs;
use super::cpu::Stopwatch;
use super::deployment::DeploymentShape;
use super::event::Event;
use super::lag::Lags;
use super::network;
use super::nodes::{FrameSealer, HollowNode};
use super::options::Options;
use super::platform::HollowPlatform;
use super::requests::RequestCounts;
use super::servers::HollowServer;
use crate::simulation::queue::EventQueue;
use crate::simulation::rng::RandomStream;
use ledgelead_core::Input;
use ledgelead_types::{Span, Time};

/// Streams of random numbers.
const NETWORK_STREAM: u64 = 1;
const PROCESS_STREAM: u64 = 2;
const PLAN_STREAM: u64 = 3;
/// Time over which the starts of the nodes are spread.
const START_SPREAD_SECONDS: f64 = 2.0;
/// Length of the windows for the maximum control traffic.
const SECOND: Span = Span::from_seconds(1);

/// A hollow deployment.
pub struct World {
    /// Options of the run.
    pub options: Options,
    /// Its size.
    pub shape: DeploymentShape,
    /// Current virtual time.
    pub now: Time,
    /// Scheduled events.
    pub(super) events: EventQueue<Event>,
    /// Nodes by index.
    pub(super) nodes: Vec<HollowNode>,
    /// Traffic and processor time of each node in the current phase.
    pub(super) accounts: Vec<NodeAccount>,
    /// Servers by index.
    pub(super) servers: Vec<HollowServer>,
    /// The platform.
    pub(super) platform: HollowPlatform,
    /// Distribution lags of changes.
    pub lags: Lags,
    pub(super) stopwatch: Stopwatch,
    pub(super) sealer: FrameSealer,
    pub(super) network_rng: RandomStream,
    pub(super) process_rng: RandomStream,
    pub(super) plan_rng: RandomStream,
    pub(super) commands: u64,
    /// Requests since the start of the run.
    pub requests: RequestCounts,
    /// When all groups first had complete routes.
    pub started_after: Time,
    /// Number of commands that failed.
    pub failed_commands: u64,
    events_handled: u64,
}

impl World {
    /// Creates a deployment whose nodes are scheduled to start.
    pub fn new(options: &Options, costs: Costs) -> World {
        let shape = DeploymentShape::new(options);
        let servers = (0..shape.servers)
            .map(|index| HollowServer::new(index, shape.location_of(index).zone))
            .collect();
        let mut world = World {
            options: *options,
            shape,
            now: Time::ZERO,
            events: EventQueue::default(),
            nodes: (0..options.nodes).map(HollowNode::new).collect(),
            accounts: vec![NodeAccount::default(); options.nodes],
            servers,
            platform: HollowPlatform::new(costs),
            lags: Lags::default(),
            stopwatch: Stopwatch::default(),
            sealer: FrameSealer::new(),
            network_rng: RandomStream::new(options.seed, NETWORK_STREAM),
            process_rng: RandomStream::new(options.seed, PROCESS_STREAM),
            plan_rng: RandomStream::new(options.seed, PLAN_STREAM),
            commands: 0,
            requests: RequestCounts::default(),
            started_after: Time::ZERO,
            failed_commands: 0,
            events_handled: 0,
        };
        for index in 0..options.nodes {
            let delay = world.process_rng.between(0.0, START_SPREAD_SECONDS);
            let at = Span::from_micros((delay * 1e6) as u64);
            world.after(at, Event::StartNode(index));
        }
        world.after(SECOND, Event::EverySecond);
        world
    }

    /// Runs for a span of virtual time.
    pub fn run_for(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(at) = self.events.next_time().filter(|at| *at <= end) {
            self.now = at;
            while let Some(event) = self.events.take_due(at) {
                self.events_handled += 1;
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Number of events handled so far.
    pub fn events_handled(&self) -> u64 {
        self.events_handled
    }

    /// Nodes with a running process.
    pub fn running_nodes(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].process.is_some())
    }

    /// Resets the accounts of all nodes.
    pub fn reset_accounts(&mut self) {
        self.accounts.fill(NodeAccount::default());
    }

    /// Estimated socket cost of a node with this account, in nanoseconds.
    pub fn socket_nanos(account: &NodeAccount, costs: &Costs) -> u64 {
        use super::accounts::Traffic;
        let calls = account.flow(Traffic::Lease).messages_out
            + account.flow(Traffic::Platform).messages_out;
        calls * costs.http_call_nanos + account.frames() * costs.frame_pair_nanos / 2
    }

    pub(super) fn after(&mut self, span: Span, event: Event) {
        self.events.add(self.now + span, event);
    }

    /// Draws the delay of a message between zones.
    pub(super) fn delay(&mut self, from: usize, to: usize) -> Span {
        network::delay(&mut self.network_rng, from, to)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StartNode(index) => self.node_starts(index),
            Event::Wake(run) => self.node_wakes(run),
            Event::Frame { to, from, payload } => self.frame_arrives(to, from, &payload),
            Event::Renewal {
                from,
                call,
                server,
                renewal,
            } => self.renewal_arrives(from, call, server, &renewal),
            Event::Renewed {
                to,
                call,
                server,
                reply,
            } => self.renewed(to, call, server, reply),
            Event::PlatformCall {
                from,
                call,
                request,
            } => self.platform_called(from, call, &request),
            Event::PlatformReply { to, call, reply } => self.platform_replied(to, call, reply),
            Event::AttemptEnded {
                to,
                attempt,
                result,
            } => {
                let load = None;
                let ended = Input::AttemptEnded {
                    attempt,
                    result,
                    load,
                };
                self.input(to, ended);
            }
            Event::WatchTimeout(watch) => self.watch_times_out(watch),
            Event::EverySecond => self.end_second(),
            Event::Planned(planned) => self.carry_out(planned),
        }
    }

    fn end_second(&mut self) {
        for account in &mut self.accounts {
            account.end_second();
        }
        self.after(SECOND, Event::EverySecond);
    }
}
