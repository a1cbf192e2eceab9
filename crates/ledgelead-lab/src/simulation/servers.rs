//! Server processes, and the messages between them and nodes.

use super::clock::SkewedClock;
use super::deployment::{self, ServerPlan};
use super::event::{Event, NodeRun, ToNode, ToServer};
use super::network::Endpoint;
use super::nodes::NodeProcess;
use super::world::World;
use crate::checker::ownership::Claim;
use crate::standin::Moment;
use crate::standin::execution::{AttemptKey, ServerAction, ServerAnswer, ServerRequest};
use crate::standin::server::{ServerSettings, ServerState};
use ledgelead_core::{CallId, Input};
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::server::{LeaseRenewal, RenewalReply, RenewalVerdict};
use ledgelead_types::{ServerId, Span, Time};

/// Interval at which a leaving server checks whether it may stop.
const LEAVING_CHECK: Span = Span::from_millis(100);
/// How long a leaving server waits to be drained before it stops regardless.
const LEAVING_GRACE: Span = Span::from_seconds(20);

/// A server's machine, with its process while it is running.
pub struct ServerProcess {
    /// The server in the scenario.
    pub plan: ServerPlan,
    /// Its clock.
    pub clock: SkewedClock,
    /// Its process.
    pub process: Option<ServerState>,
    /// Number of processes started so far.
    pub run: u64,
    /// Since when it has been running without a fault; `None` during a fault.
    pub healthy_since: Option<Time>,
    /// Number of open connections.
    pub connections: u32,
    /// Requests started in the current measurement window.
    pub started_in_window: u64,
    /// When it asked to be drained.
    pub leaving_since: Option<Time>,
    /// Whether a node has been informed that it is leaving.
    pub leaving_reported: bool,
    max_connections: u32,
    frozen: bool,
    queued_events: Vec<ToServer>,
}

impl ServerProcess {
    /// Creates a machine whose process is not running.
    pub fn new(plan: ServerPlan, clock: SkewedClock) -> ServerProcess {
        ServerProcess {
            plan,
            clock,
            process: None,
            run: 0,
            healthy_since: None,
            connections: 0,
            started_in_window: 0,
            leaving_since: None,
            leaving_reported: false,
            max_connections: 0,
            frozen: false,
            queued_events: Vec::new(),
        }
    }

    fn moment(&self, run: Time) -> Moment {
        Moment {
            local: self.clock.local(run),
            run,
        }
    }

    /// Whether it accepts another connection.
    pub fn may_connect(&self) -> bool {
        self.connections < self.max_connections
    }
}

impl World<'_> {
    /// Index of the server with this identifier.
    pub(super) fn server_index(&self, server: ServerId) -> Option<usize> {
        let index = (server.0 as usize).checked_sub(1)?;
        (index < self.servers.len()).then_some(index)
    }

    pub(super) fn server_starts(&mut self, index: usize) {
        let now = self.now();
        if self.servers[index].process.is_some() {
            return;
        }
        let plan = self.servers[index].plan;
        let section = &self.scenario.services[plan.service];
        let settings = ServerSettings {
            server: plan.server,
            slots: section.slots,
            queue: usize::from(section.slots),
            keyed: section.partitioning != Partitioning::None,
            cold_for: super::rng::seconds(section.cold_seconds),
            cold_factor: section.cold_factor,
            protections: self.protections,
        };
        let server = &mut self.servers[index];
        server.run += 1;
        server.max_connections = u32::from(section.connections);
        let moment = server.moment(now);
        server.process = Some(ServerState::new(settings, server.run, moment));
        server.healthy_since = Some(now);
        server.leaving_since = None;
        server.leaving_reported = false;
        self.checker.leaving.returned(plan.server);
    }

    /// Kills a server's process.
    pub(super) fn server_dies(&mut self, index: usize) {
        let server = &mut self.servers[index];
        if server.process.take().is_none() {
            return;
        }
        server.frozen = false;
        server.queued_events.clear();
        server.healthy_since = None;
        let id = server.plan.server;
        self.checker.ownership.died(id);
        self.break_connections(index);
    }

    /// Breaks the nodes' connections to a dead server.
    fn break_connections(&mut self, index: usize) {
        for node in 0..self.nodes.len() {
            let Some(process) = &mut self.nodes[node].process else {
                continue;
            };
            let run = process.run;
            let idle = process.idle_connections.remove(&index).unwrap_or(0);
            self.servers[index].connections -= idle;
            let broken = process
                .attempts
                .iter()
                .filter(|(_, attempt)| attempt.server == index && attempt.written)
                .map(|(attempt, _)| *attempt)
                .collect::<Vec<_>>();
            for attempt in broken {
                let (from, to) = (Endpoint::Server(index), Endpoint::Node(node));
                if let Some(delay) = self.network.segment(from, to) {
                    self.after(delay, Event::ToNode(run, ToNode::AttemptLost(attempt)));
                }
            }
        }
    }

    /// Freezes a server for a time.
    pub(super) fn server_freezes(&mut self, index: usize, length: Span) {
        let server = &mut self.servers[index];
        if server.process.is_none() || server.frozen {
            return;
        }
        server.frozen = true;
        server.healthy_since = None;
        let id = server.plan.server;
        self.checker.ownership.allow_loss(id);
        self.after(length, Event::ResumeServer(index));
    }

    pub(super) fn server_resumes(&mut self, index: usize) {
        let now = self.now();
        let server = &mut self.servers[index];
        if !std::mem::take(&mut server.frozen) {
            return;
        }
        server.healthy_since = Some(now);
        for event in std::mem::take(&mut server.queued_events) {
            self.reach_server(index, None, event);
        }
    }

    pub(super) fn reach_server(&mut self, index: usize, run: Option<u64>, event: ToServer) {
        let server = &mut self.servers[index];
        if run.is_some_and(|run| run != server.run) {
            return;
        }
        if server.frozen {
            server.queued_events.push(event);
            return;
        }
        match event {
            ToServer::Request {
                request,
                fresh_connection,
            } => self.request_at_server(index, request, fresh_connection),
            ToServer::Cancel(key) => self.at_server(index, |state, now| state.cancel(now, key)),
            ToServer::Finish(key) => self.at_server(index, |state, now| state.finish(now, key)),
            ToServer::Renewal(node, call, renewal) => {
                self.renewal_at_server(index, node, call, &renewal);
            }
        }
    }

    fn request_at_server(&mut self, index: usize, request: ServerRequest, fresh: bool) {
        if self.servers[index].process.is_some() {
            return self.at_server(index, |state, now| state.request(now, request));
        }
        let event = if fresh {
            ToNode::AttemptNotSent(request.key.attempt)
        } else {
            ToNode::AttemptLost(request.key.attempt)
        };
        self.send_to_gateway(index, request.key, event);
    }

    /// Steps a server's state machine and carries out its actions.
    fn at_server(&mut self, index: usize, step: impl FnOnce(&mut ServerState, Moment)) {
        let now = self.now();
        let server = &mut self.servers[index];
        let moment = server.moment(now);
        let Some(state) = &mut server.process else {
            return;
        };
        step(state, moment);
        let load = state.load(moment);
        for execution in state.take_executions() {
            self.checker.ownership.ended(execution.key);
        }
        for action in state.take_actions() {
            match action {
                ServerAction::Started { key, duration } => self.started(index, key, duration),
                ServerAction::Ended { key, answer } => {
                    let cut = self.draw_answer_cut(answer);
                    let event = ToNode::AttemptAnswered {
                        attempt: key.attempt,
                        answer,
                        cut,
                        load,
                    };
                    self.send_to_gateway(index, key, event);
                }
            }
        }
    }

    /// Whether an answer is truncated in transit, which happens on a degraded network.
    fn draw_answer_cut(&mut self, answer: ServerAnswer) -> bool {
        const CUT_ANSWERS_PER_LOSS: f64 = 0.1;
        let probability = self.network.degradation().loss * CUT_ANSWERS_PER_LOSS;
        matches!(answer, ServerAnswer::Done { .. }) && self.fault_rng.chance(probability)
    }

    fn started(&mut self, index: usize, key: AttemptKey, duration: Span) {
        let now = self.now();
        let server = &mut self.servers[index];
        server.started_in_window += 1;
        let plan = server.plan;
        let run = server.run;
        let duration = server.clock.run_span(duration);
        let started = server
            .process
            .iter()
            .flat_map(ServerState::unfinished)
            .find(|execution| execution.key == key)
            .copied();
        if let Some(execution) = started {
            let checker = &mut self.checker;
            let service = deployment::service_id(plan.service);
            checker
                .ownership
                .started(now, service, &execution, &mut checker.violations);
            checker
                .requests
                .started(now, execution.body, &mut checker.violations);
            checker
                .leaving
                .started(now, plan.server, &mut checker.violations);
        }
        self.after(
            duration,
            Event::ToServer {
                index,
                run: Some(run),
                event: ToServer::Finish(key),
            },
        );
    }

    fn send_to_gateway(&mut self, index: usize, key: AttemptKey, event: ToNode) {
        let node = self.index_of(key.gateway.node);
        let run = NodeRun {
            index: node,
            incarnation: key.gateway.incarnation,
        };
        let (from, to) = (Endpoint::Server(index), Endpoint::Node(node));
        if let Some(delay) = self.network.segment(from, to) {
            self.after(delay, Event::ToNode(run, event));
        }
    }

    fn renewal_at_server(
        &mut self,
        index: usize,
        node: NodeRun,
        call: CallId,
        renewal: &LeaseRenewal,
    ) {
        let now = self.now();
        let server = &mut self.servers[index];
        let moment = server.moment(now);
        let (id, service) = (server.plan.server, server.plan.service);
        let Some(state) = &mut server.process else {
            return;
        };
        let reply = state.renew(moment, renewal);
        if reply.verdict == RenewalVerdict::Taken && state.settings().keyed {
            let claim = Claim {
                service: deployment::service_id(service),
                held: state.held().to_vec(),
                lease_until: server.clock.run_time(state.lease_until()),
            };
            self.session.holds(now, id, state.held());
            let checker = &mut self.checker;
            checker
                .ownership
                .renewed(now, id, claim, &mut checker.violations);
        }
        let (from, to) = (Endpoint::Server(index), Endpoint::Node(node.index));
        if let Some(delay) = self.network.segment(from, to) {
            let event = ToNode::Renewed(call, id, Some(reply));
            self.after(delay, Event::ToNode(node, event));
        }
    }

    /// A node receives the result of a renewal.
    pub(super) fn renewed(
        &mut self,
        run: NodeRun,
        call: CallId,
        server: ServerId,
        reply: Option<RenewalReply>,
    ) {
        if let Some(reply) = &reply {
            let now = self.now();
            self.measurements.renewal_reply(now, run.index, reply);
            self.record_reported_leaving(server, reply);
        }
        self.input(
            run,
            Input::ServerReplied {
                call,
                server,
                reply,
            },
        );
    }

    fn record_reported_leaving(&mut self, server: ServerId, reply: &RenewalReply) {
        let now = self.now();
        let Some(index) = self.server_index(server).filter(|_| reply.leaving) else {
            return;
        };
        let process = &mut self.servers[index];
        if process.leaving_since.is_some() && !process.leaving_reported {
            process.leaving_reported = true;
            self.checker.leaving.leave_announced(now, server);
        }
    }

    /// A server asks to be drained, and stops when it is or when `LEAVING_GRACE` has passed.
    pub(super) fn server_leaves(&mut self, index: usize) {
        let now = self.now();
        let server = &mut self.servers[index];
        let Some(state) = &mut server.process else {
            return;
        };
        state.set_leaving(true);
        server.leaving_since = Some(now);
        let id = server.plan.server;
        self.checker.ownership.allow_loss(id);
        self.after(LEAVING_CHECK, Event::CheckLeaving(index));
    }

    pub(super) fn check_leaving(&mut self, index: usize) {
        let now = self.now();
        let server = &self.servers[index];
        let (Some(state), Some(since)) = (&server.process, server.leaving_since) else {
            return;
        };
        let drained = state.is_draining() && state.is_idle() && state.held().is_empty();
        if !drained && now < since + LEAVING_GRACE {
            return self.after(LEAVING_CHECK, Event::CheckLeaving(index));
        }
        let cut = state.unfinished().count();
        let checker = &mut self.checker;
        checker
            .leaving
            .stopped(now, "a server", cut, &mut checker.violations);
        checker.leaving.returned(server.plan.server);
        self.server_dies(index);
    }

    /// Servers of a service that have been running without a fault since the given time.
    pub(super) fn healthy_servers(&self, service: usize, since: Time) -> Vec<usize> {
        (0..self.servers.len())
            .filter(|index| {
                let server = &self.servers[*index];
                server.plan.service == service
                    && server.leaving_since.is_none()
                    && server.healthy_since.is_some_and(|healthy| healthy <= since)
            })
            .collect()
    }

    /// Nodes with a running process.
    pub(super) fn running_nodes(&self) -> Vec<usize> {
        let running = |node: &NodeProcess| node.process.is_some();
        (0..self.nodes.len())
            .filter(|index| running(&self.nodes[*index]))
            .collect()
    }
}
