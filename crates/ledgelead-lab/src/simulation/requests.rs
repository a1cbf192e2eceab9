//! Requests on their way from callers to nodes and servers, and back.

use super::callers::CallerRequest;
use super::deployment;
use super::event::{Event, NodeRun, ToNode, ToServer};
use super::network::Endpoint;
use super::nodes::{OpenAttempt, RunningNode};
use super::rng::{milliseconds, seconds};
use super::world::World;
use crate::checker::requests::OnceKey;
use crate::standin::execution::{AttemptKey, ServerAnswer, ServerRequest};
use ledgelead_core::Input;
use ledgelead_types::request::{AttemptId, Forward, RequestArrival};
use ledgelead_types::server::{AttemptResult, LoadReport};
use ledgelead_types::{Outcome, RequestId, ServerId, Span, Text};

/// The load ends this long before the run, so that every request ends within the run.
pub(super) const LOAD_ENDS_BEFORE: Span = Span::from_seconds(5);
/// Time limit for a node's connection to a server.
const CONNECT_TIMEOUT: Span = Span::from_millis(250);
/// How much longer than the deadline a caller waits for the outcome.
const CALLER_GRACE: Span = Span::from_millis(500);
/// Maximum delay of a caller's retry after the original request, in seconds.
const MAX_RETRY_DELAY_SECONDS: f64 = 0.4;

impl World<'_> {
    pub(super) fn next_arrival(&mut self, service: usize) {
        let now = self.now();
        if now + LOAD_ENDS_BEFORE >= self.end() {
            return;
        }
        let rate = self.callers.services[service].mean_rate()
            * self.diurnal_factor()
            * self.pull_factor(service);
        let gap = seconds(self.callers.rng.exponential(1.0 / rate.max(0.001)));
        self.after(gap, Event::NextArrival(service));
        let body = self.callers.draw(service, now);
        let request = self.callers.open[&body].clone();
        if let Some(OnceKey::Idempotency(_)) = request.once {
            let delay = seconds(self.callers.rng.between(0.0, MAX_RETRY_DELAY_SECONDS));
            let retry = self.callers.retry(&request, now + delay);
            self.after(delay, Event::SendRequest(retry));
        }
        self.send_request(body);
    }

    fn diurnal_factor(&self) -> f64 {
        let run = &self.scenario.run;
        if run.diurnal_period_seconds == 0 {
            return 1.0;
        }
        let day = self.now().as_seconds() / run.diurnal_period_seconds as f64;
        1.0 + run.diurnal_amplitude * (day * std::f64::consts::TAU).sin()
    }

    /// Factor on a service's load during an archive download.
    fn pull_factor(&self, service: usize) -> f64 {
        let load = &self.scenario.services[service].load;
        let pulls = load.pull_every_seconds > 0
            && self.now().as_seconds() as u64 % load.pull_every_seconds < load.pull_seconds;
        if pulls { load.pull_factor } else { 1.0 }
    }

    /// Sends a caller's request to a random running node.
    pub(super) fn send_request(&mut self, body: u64) {
        let running = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].process.is_some())
            .collect::<Vec<_>>();
        let Some(node) = self.callers.rng.pick(&running) else {
            self.callers.open.remove(&body);
            return;
        };
        let Some(request) = self.callers.open.get(&body) else {
            return;
        };
        let (deadline, once, counted) = (request.deadline, request.once, request.counted);
        self.checker.requests.sent(body, once);
        if counted {
            self.measurements.requests += 1;
        }
        let Some(run) = self.nodes[node].run() else {
            return;
        };
        if let Some(delay) = self
            .network
            .segment(Endpoint::Clients, Endpoint::Node(node))
        {
            self.after(delay, Event::ToNode(run, ToNode::Request(body)));
        }
        self.after(deadline + CALLER_GRACE, Event::CallerTimeout(body));
    }

    pub(super) fn request_reaches(&mut self, run: NodeRun, body: u64) {
        let Some(request) = self.callers.open.get_mut(&body) else {
            return;
        };
        let mut arrival = arrival(request);
        arrival.service = self.scenario.services[request.service].name.as_str().into();
        let Some(process) = &mut self.nodes[run.index].process else {
            return;
        };
        process.last_request += 1;
        arrival.request = RequestId(process.last_request);
        process.bodies.insert(arrival.request, body);
        process.open.insert(arrival.request);
        request.accepted = Some((run, arrival.request));
        self.input(run, Input::RequestArrived(arrival));
    }

    pub(super) fn respond(
        &mut self,
        run: NodeRun,
        request: RequestId,
        outcome: Outcome,
        attempt: Option<AttemptId>,
    ) {
        let Some(process) = &mut self.nodes[run.index].process else {
            return;
        };
        let Some(body) = process.bodies.get(&request).copied() else {
            return;
        };
        process.open.remove(&request);
        let answer = attempt.and_then(|attempt| process.answers.get(&attempt).copied());
        let delay = self
            .network
            .segment(Endpoint::Node(run.index), Endpoint::Clients)
            .unwrap_or_default();
        self.after(
            delay,
            Event::NotifyCaller {
                body,
                outcome,
                answer,
            },
        );
    }

    pub(super) fn notify_caller(&mut self, body: u64, outcome: Outcome, answer: Option<u64>) {
        let now = self.now();
        let Some(request) = self.callers.open.remove(&body) else {
            return;
        };
        self.checker.requests.outcome_reported(
            now,
            body,
            outcome,
            answer,
            &mut self.checker.violations,
        );
        self.session
            .add_line(now, || format!("request {body} ended: {outcome}"));
        if let Some(probe) = request.probe {
            self.probe_finished(probe, outcome, request.sent);
        }
        self.trace.record(now, &request, Some(outcome));
        if request.counted {
            let latency = now.since(request.sent);
            self.measurements
                .outcome_reported(now, request.tier, outcome, latency);
        }
    }

    /// Ends a request without an outcome, because the connection broke or the caller gave up.
    fn end_without_outcome(&mut self, body: u64) -> Option<CallerRequest> {
        let now = self.now();
        let request = self.callers.open.remove(&body)?;
        self.trace.record(now, &request, None);
        if request.counted {
            self.measurements.unknown += 1;
        }
        Some(request)
    }

    pub(super) fn caller_loses_connection(&mut self, body: u64) {
        self.end_without_outcome(body);
    }

    pub(super) fn caller_times_out(&mut self, body: u64) {
        let accepted = self
            .end_without_outcome(body)
            .and_then(|request| request.accepted);
        if let Some((run, request)) = accepted {
            let input = Box::new(Input::CallerDisconnected(request));
            self.reach_node(run, ToNode::Input(input));
        }
    }

    pub(super) fn forward(&mut self, run: NodeRun, forward: &Forward) {
        let Some(index) = self.server_index(forward.server) else {
            return self.attempt_fails_unsent(run, forward.attempt, Span::ZERO);
        };
        let key = AttemptKey {
            gateway: self.member(run),
            attempt: forward.attempt,
        };
        let Some(process) = &mut self.nodes[run.index].process else {
            return;
        };
        let body = process.bodies.get(&forward.attempt.request).copied();
        let fresh_connection = !take_idle(process, index);
        let timeout = process.clock.timer_delay(forward.deadline);
        if fresh_connection && !self.servers[index].may_connect() {
            return self.attempt_fails_unsent(run, forward.attempt, Span::ZERO);
        }
        if fresh_connection {
            self.servers[index].connections += 1;
        }
        let attempt = OpenAttempt {
            server: index,
            written: !fresh_connection,
        };
        process.attempts.insert(forward.attempt, attempt);
        let timeout = Span::from_micros(timeout.as_micros() as u64);
        let expired = ToNode::AttemptTimeout(forward.attempt);
        self.after(timeout, Event::ToNode(run, expired));
        let (node, endpoint) = (Endpoint::Node(run.index), Endpoint::Server(index));
        let Some(mut delay) = self.network.segment(node, endpoint) else {
            if fresh_connection {
                let refused = ToNode::AttemptNotSent(forward.attempt);
                self.after(CONNECT_TIMEOUT, Event::ToNode(run, refused));
            }
            return;
        };
        if fresh_connection {
            delay = delay + milliseconds(self.scenario.network.connect_ms);
        }
        if let Some(attempt) = self.open_attempt(run, forward.attempt) {
            attempt.written = true;
        }
        let service_time = body
            .and_then(|body| self.callers.open.get_mut(&body))
            .map_or(Span::from_millis(1), |request| {
                request.server = Some(index);
                request.service_time
            });
        let request = ServerRequest {
            key,
            body: body.unwrap_or(0),
            ownership: forward.ownership,
            deadline: forward.deadline,
            tier: forward.tier,
            service_time,
        };
        let event = ToServer::Request {
            request,
            fresh_connection,
        };
        self.after(
            delay,
            Event::ToServer {
                index,
                run: None,
                event,
            },
        );
    }

    fn open_attempt(&mut self, run: NodeRun, attempt: AttemptId) -> Option<&mut OpenAttempt> {
        let process = self.nodes[run.index].process.as_mut()?;
        process.attempts.get_mut(&attempt)
    }

    fn attempt_fails_unsent(&mut self, run: NodeRun, attempt: AttemptId, delay: Span) {
        let input = Input::AttemptEnded {
            attempt,
            result: AttemptResult::NotSent,
            load: None,
        };
        self.after(delay, Event::ToNode(run, ToNode::Input(Box::new(input))));
    }

    pub(super) fn cancel_attempt(&mut self, run: NodeRun, attempt: AttemptId, server: ServerId) {
        let Some(index) = self.server_index(server) else {
            return;
        };
        let key = AttemptKey {
            gateway: self.member(run),
            attempt,
        };
        let (node, endpoint) = (Endpoint::Node(run.index), Endpoint::Server(index));
        if let Some(delay) = self.network.segment(node, endpoint) {
            let event = ToServer::Cancel(key);
            self.after(
                delay,
                Event::ToServer {
                    index,
                    run: None,
                    event,
                },
            );
        }
    }

    pub(super) fn attempt_not_sent(&mut self, run: NodeRun, attempt: AttemptId) {
        self.end_attempt(run, attempt, AttemptResult::NotSent, None, false);
    }

    pub(super) fn attempt_lost(&mut self, run: NodeRun, attempt: AttemptId) {
        self.end_attempt(run, attempt, AttemptResult::Lost, None, false);
    }

    pub(super) fn attempt_times_out(&mut self, run: NodeRun, attempt: AttemptId) {
        let written = self
            .open_attempt(run, attempt)
            .is_some_and(|attempt| attempt.written);
        let result = if written {
            AttemptResult::Lost
        } else {
            AttemptResult::NotSent
        };
        self.end_attempt(run, attempt, result, None, false);
    }

    pub(super) fn attempt_answered(
        &mut self,
        run: NodeRun,
        attempt: AttemptId,
        answer: ServerAnswer,
        cut: bool,
        load: LoadReport,
    ) {
        let result = match answer {
            _ if cut => AttemptResult::BadAnswer,
            ServerAnswer::Done { .. } => AttemptResult::Answered { failure: false },
            ServerAnswer::Refused(refusal) => AttemptResult::Refused(refusal),
            ServerAnswer::Aborted => AttemptResult::Lost,
        };
        if let ServerAnswer::Done { body } = answer
            && !cut
            && let Some(process) = &mut self.nodes[run.index].process
            && process.attempts.contains_key(&attempt)
        {
            process.answers.insert(attempt, body);
        }
        self.end_attempt(run, attempt, result, Some(load), !cut);
    }

    fn end_attempt(
        &mut self,
        run: NodeRun,
        attempt: AttemptId,
        result: AttemptResult,
        load: Option<LoadReport>,
        keep_connection: bool,
    ) {
        let Some(process) = &mut self.nodes[run.index].process else {
            return;
        };
        let Some(open) = process.attempts.remove(&attempt) else {
            return;
        };
        if keep_connection {
            *process.idle_connections.entry(open.server).or_insert(0) += 1;
        } else {
            self.servers[open.server].connections -= 1;
        }
        let input = Input::AttemptEnded {
            attempt,
            result,
            load,
        };
        self.input(run, input);
    }
}

fn arrival(request: &CallerRequest) -> RequestArrival {
    let idempotency_key = match request.once {
        Some(OnceKey::Idempotency(number)) => Some(Text(format!("once-{number}"))),
        Some(OnceKey::Body(_)) | None => None,
    };
    RequestArrival {
        request: RequestId(0),
        service: Text::default(),
        key: request.key.clone(),
        credential_sha256: deployment::credential_of(request.tier),
        deadline: Some(request.deadline),
        repeatable: request.once.is_none(),
        idempotency_key,
    }
}

/// Takes an idle connection, if there is one.
fn take_idle(process: &mut RunningNode, server: usize) -> bool {
    match process.idle_connections.get_mut(&server) {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}
