//! Node processes: start, stop, loss and pauses, and the input and output between their state
//! machines and the simulated network.

use super::clock::{NodeClock, SkewedClock};
use super::deployment;
use super::event::{Event, NodeRun, ToNode, ToServer};
use super::network::Endpoint;

use super::ports::SimulatedPorts;
use super::world::World;
use ledgelead_core::{CallId, Input, NodeSettings, Output, PeerMessage, SeedNode};
use ledgelead_node::NodeActor;
use ledgelead_types::event::Event as Recorded;
use ledgelead_types::platform::MachineState;
use ledgelead_types::request::AttemptId;
use ledgelead_types::server::LeaseRenewal;
use ledgelead_types::view::NodeView;
use ledgelead_types::{Incarnation, Member, NodeId, RequestId, ServerId, Span};
use stakker::{ActorOwn, actor, call, ret_nop};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How long a node waits for a reply to a renewal.
const RENEWAL_TIMEOUT: Span = Span::from_millis(300);
/// Time limit of a planned stop.
const STOP_TIMEOUT: Span = Span::from_seconds(20);

/// A node's machine, with its process while it is running.
pub struct NodeProcess {
    /// Its identifier.
    pub node: NodeId,
    /// Index of its zone.
    pub zone: usize,
    index: usize,
    /// Its process, if it is running.
    pub process: Option<RunningNode>,
}

/// An incarnation of a node's process.
pub struct RunningNode {
    actor: ActorOwn<NodeActor<SimulatedPorts>>,
    /// Its index and incarnation.
    pub run: NodeRun,
    /// Its clock.
    pub clock: Rc<NodeClock>,
    queued_events: Vec<ToNode>,
    /// Attempts that have not ended.
    pub attempts: BTreeMap<AttemptId, OpenAttempt>,
    /// Numbers in the complete answers, by attempt.
    pub answers: BTreeMap<AttemptId, u64>,
    /// Numbers in the request bodies.
    pub bodies: BTreeMap<RequestId, u64>,
    /// Requests that have not been answered.
    pub open: BTreeSet<RequestId>,
    calls: BTreeSet<CallId>,
    /// Open but unused connections, by server index.
    pub idle_connections: BTreeMap<usize, u32>,
    /// Number of the last request.
    pub last_request: u64,
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
pub struct OpenAttempt {
    /// Index of the server.
    pub server: usize,
    /// Whether bytes may have been written.
    pub written: bool,
}

impl NodeProcess {
    /// Creates a machine whose process is not running.
    pub fn new(index: usize, zone: usize) -> NodeProcess {
        NodeProcess {
            node: deployment::node_id(index),
            zone,
            index,
            process: None,
        }
    }

    /// Its current incarnation.
    pub fn run(&self) -> Option<NodeRun> {
        self.process.as_ref().map(|process| process.run)
    }

    /// Whether its process is running and not paused.
    pub fn is_active(&self) -> bool {
        self.process
            .as_ref()
            .is_some_and(|process| process.clock.paused_until().is_none())
    }
}

impl World<'_> {
    pub(super) fn node_starts(&mut self, index: usize) {
        if self.nodes[index].process.is_some() {
            return;
        }
        let run = NodeRun {
            index,
            incarnation: Incarnation(self.process_rng.number()),
        };
        let drift = self.scenario.nodes.clock_drift_ppm;
        let skew = SkewedClock::draw(&mut self.process_rng, drift);
        let clock = Rc::new(NodeClock::new(self.run_clock.clone(), skew));
        let ports = SimulatedPorts {
            run,
            clock: clock.clone(),
            outbox: self.outbox.clone(),
        };
        let settings = self.node_settings(run);
        let actor = actor!(
            &mut self.stakker,
            <NodeActor<SimulatedPorts>>::init(settings, ports),
            ret_nop!()
        );
        self.nodes[index].process = Some(RunningNode {
            actor,
            run,
            clock,
            queued_events: Vec::new(),
            attempts: BTreeMap::new(),
            answers: BTreeMap::new(),
            bodies: BTreeMap::new(),
            open: BTreeSet::new(),
            calls: BTreeSet::new(),
            idle_connections: BTreeMap::new(),
            last_request: 0,
        });
        let now = self.now();
        self.checker
            .configuration
            .started(deployment::node_id(index), now);
        self.update_reachability(index);
        self.list_machine(index, MachineState::Live);
    }

    fn node_settings(&mut self, run: NodeRun) -> NodeSettings {
        let seeds = (0..self.nodes.len().max(self.node_count()))
            .filter(|other| *other != run.index)
            .map(|other| SeedNode {
                node: deployment::node_id(other),
                address: deployment::node_address(other),
            })
            .collect();
        NodeSettings {
            node: deployment::node_id(run.index),
            incarnation: run.incarnation,
            zone: deployment::zone_id(self.nodes[run.index].zone),
            address: deployment::node_address(run.index),
            seeds,
            random_seed: self.process_rng.number(),
            protections: self.protections,
            assigner: self.assigner,
        }
    }

    fn node_count(&self) -> usize {
        self.scenario.zones.len() * self.scenario.nodes.per_zone as usize
    }

    /// Kills a node's process: callers lose their connections, and the memory of its replicas
    /// is lost.
    pub(super) fn node_dies(&mut self, index: usize) {
        if self.nodes[index].process.is_some() {
            self.record_node_loss(index);
            self.node_ends(index);
        }
    }

    fn node_ends(&mut self, index: usize) {
        let Some(process) = self.nodes[index].process.take() else {
            return;
        };
        for (server, count) in &process.idle_connections {
            self.servers[*server].connections -= count;
        }
        for attempt in process.attempts.values() {
            self.servers[attempt.server].connections -= 1;
        }
        for request in &process.open {
            self.caller_loses_connection(process.bodies[request]);
        }
        self.checker
            .configuration
            .connected(self.nodes[index].node, None);
        self.list_machine(index, MachineState::Gone);
    }

    /// Tells a node to stop as planned.
    pub(super) fn node_stops(&mut self, index: usize) {
        let Some(run) = self.nodes[index].run() else {
            return;
        };
        self.list_machine(index, MachineState::Leaving);
        self.input(run, Input::Stop);
        self.after(STOP_TIMEOUT, Event::StopTimeout(run));
    }

    pub(super) fn stop_times_out(&mut self, run: NodeRun) {
        if self.is_current(run) {
            self.report_interrupted_requests(run);
            self.node_dies(run.index);
        }
    }

    fn node_stopped(&mut self, run: NodeRun) {
        self.report_interrupted_requests(run);
        self.node_ends(run.index);
    }

    fn report_interrupted_requests(&mut self, run: NodeRun) {
        let now = self.now();
        let open = self.nodes[run.index]
            .process
            .as_ref()
            .map_or(0, |process| process.open.len());
        let checker = &mut self.checker;
        checker
            .leaving
            .stopped(now, "a node", open, &mut checker.violations);
    }

    /// Pauses a node's process; events that reach it meanwhile are queued.
    pub(super) fn node_pauses(&mut self, index: usize, length: Span) {
        let until = self.now() + length;
        let Some(process) = &self.nodes[index].process else {
            return;
        };
        if process.clock.paused_until().is_some() {
            return;
        }
        process.clock.pause(until);
        self.events.add(until, Event::ResumeNode(index));
        self.update_reachability(index);
    }

    pub(super) fn node_resumes(&mut self, index: usize) {
        let now = self.now();
        let Some(process) = &mut self.nodes[index].process else {
            return;
        };
        if process.clock.paused_until().is_none_or(|until| until > now) {
            return;
        }
        process.clock.resume();
        let run = process.run;
        for event in std::mem::take(&mut process.queued_events) {
            self.reach_node(run, event);
            self.run_actors();
        }
        self.update_reachability(index);
    }

    /// Informs the checker whether a node is currently connected.
    pub(super) fn update_reachability(&mut self, index: usize) {
        let reachable =
            self.nodes[index].is_active() && !self.network.is_cut(Endpoint::Node(index));
        let since = reachable.then_some(self.now());
        self.checker
            .configuration
            .connected(self.nodes[index].node, since);
    }

    /// Passes an input to a node's actor.
    pub(super) fn input(&mut self, run: NodeRun, input: Input) {
        let Some(process) = &self.nodes[run.index].process else {
            return;
        };
        if process.run == run {
            call!([process.actor], input(input));
        }
    }

    /// A snapshot of the node's state; `None` while it is not running.
    pub fn view(&mut self, index: usize) -> Option<NodeView> {
        let seen = Rc::new(RefCell::new(None));
        let process = self.nodes[index].process.as_ref()?;
        let answer = seen.clone();
        let capture = move |view: NodeView| *answer.borrow_mut() = Some(view);
        call!([process.actor], inspect(capture));
        self.run_actors();
        seen.take()
    }

    pub(super) fn reach_node(&mut self, run: NodeRun, event: ToNode) {
        if !self.is_current(run) {
            return;
        }
        let Some(process) = &mut self.nodes[run.index].process else {
            return;
        };
        if process.clock.paused_until().is_some() {
            process.queued_events.push(event);
            return;
        }
        match event {
            ToNode::Input(input) => self.input(run, *input),
            ToNode::Request(body) => self.request_reaches(run, body),
            ToNode::AttemptNotSent(attempt) => self.attempt_not_sent(run, attempt),
            ToNode::AttemptLost(attempt) => self.attempt_lost(run, attempt),
            ToNode::AttemptAnswered {
                attempt,
                answer,
                cut,
                load,
            } => self.attempt_answered(run, attempt, answer, cut, load),
            ToNode::AttemptTimeout(attempt) => self.attempt_times_out(run, attempt),
            ToNode::Renewed(call, server, reply) => {
                if process.calls.remove(&call) {
                    self.renewed(run, call, server, reply);
                }
            }
            ToNode::PlatformReplied(call, reply) => {
                if process.calls.remove(&call) {
                    self.input(run, Input::PlatformReplied { call, reply });
                }
            }
        }
    }

    /// Carries out an output of a node.
    pub(super) fn perform(&mut self, run: NodeRun, output: Output) {
        if !self.is_current(run) {
            return;
        }
        match output {
            Output::SendPeer { to, message } => self.send_peer(run, to, message),
            Output::PeerAddress { .. } | Output::Inquired { .. } => {}
            Output::RenewLease {
                call,
                server,
                renewal,
                ..
            } => self.renew(run, call, server, renewal),
            Output::CallPlatform { call, request } => {
                self.register_call(run, call);
                self.call_platform(run, call, request);
            }
            Output::Forward(forward) => self.forward(run, &forward),
            Output::CancelAttempt {
                attempt, server, ..
            } => self.cancel_attempt(run, attempt, server),
            // Every answer is kept until it is forgotten.
            Output::KeepAnswer(_) => {}
            Output::ForgetAnswer(attempt) => self.forget_answer(run, attempt),
            Output::Respond {
                request,
                outcome,
                attempt,
                ..
            } => self.respond(run, request, outcome, attempt),
            Output::CommandFinished { ticket, result } => self.command_finished(ticket, result),
            Output::Record(event) => self.recorded(run, &event),
            Output::Stopped => self.node_stopped(run),
        }
    }

    fn forget_answer(&mut self, run: NodeRun, attempt: AttemptId) {
        if let Some(process) = &mut self.nodes[run.index].process {
            process.answers.remove(&attempt);
        }
    }

    pub(super) fn register_call(&mut self, run: NodeRun, call: CallId) {
        if let Some(process) = &mut self.nodes[run.index].process {
            process.calls.insert(call);
        }
    }

    fn send_peer(&mut self, run: NodeRun, to: NodeId, message: PeerMessage) {
        let index = to.0 as usize - 1;
        if index >= self.nodes.len() {
            return;
        }
        let now = self.now();
        self.measurements
            .peer_message(now, run.index, index, &message);
        let delays = self
            .network
            .datagram(Endpoint::Node(run.index), Endpoint::Node(index));
        let Some(receiver) = self.nodes[index].run() else {
            return;
        };
        let from = self.nodes[run.index].node;
        for delay in delays.iter() {
            let input = Input::Peer {
                from,
                message: message.clone(),
            };
            self.after(
                delay,
                Event::ToNode(receiver, ToNode::Input(Box::new(input))),
            );
        }
    }

    fn renew(&mut self, run: NodeRun, call: CallId, server: ServerId, renewal: LeaseRenewal) {
        self.register_call(run, call);
        let now = self.now();
        self.measurements.renewal(now, run.index, &renewal);
        let timeout = ToNode::Renewed(call, server, None);
        self.after(RENEWAL_TIMEOUT, Event::ToNode(run, timeout));
        let Some(index) = self.server_index(server) else {
            return;
        };
        let (node, endpoint) = (Endpoint::Node(run.index), Endpoint::Server(index));
        let Some(delay) = self.network.segment(node, endpoint) else {
            return;
        };
        if self.servers[index].process.is_none() {
            let refused = ToNode::Renewed(call, server, None);
            return self.after(delay + delay, Event::ToNode(run, refused));
        }
        let probe = super::rng::milliseconds(self.scenario.network.probe_ms);
        let event = ToServer::Renewal(run, call, Box::new(renewal));
        self.after(
            delay + probe,
            Event::ToServer {
                index,
                run: None,
                event,
            },
        );
    }

    fn recorded(&mut self, run: NodeRun, event: &Recorded) {
        let now = self.now();
        if let Recorded::ConfigurationApplied { version } = event {
            let node = self.nodes[run.index].node;
            self.checker
                .configuration
                .applied(now, node, *version, &mut self.checker.violations);
        }
        self.measurements.recorded(event);
        let node = self.nodes[run.index].node;
        self.session.recorded(now, node, event);
    }

    /// The member identity of a node incarnation.
    pub(super) fn member(&self, run: NodeRun) -> Member {
        Member {
            node: self.nodes[run.index].node,
            incarnation: run.incarnation,
        }
    }

    /// Index of the node with this identifier.
    pub(super) fn index_of(&self, node: NodeId) -> usize {
        debug_assert_eq!(self.nodes[node.0 as usize - 1].index, node.0 as usize - 1);
        node.0 as usize - 1
    }
}
