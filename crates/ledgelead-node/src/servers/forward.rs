//! Forwards callers' requests to servers on a bounded pool of threads.

use super::exchange::{self, AgentLimits, BufferedResponse, ExchangeError};
use super::wire::{self, AttemptSender};
use super::write_tracking::ExchangeControl;
use crate::InputSink;
use crate::callers::headers;
use crate::callers::open_requests::OpenRequests;
use crate::callers::request_head::CallerRequest;
use crate::settings::Limits;
use crate::work_pool::{Rejected, WorkPool};
use ledgelead_core::Input;
use ledgelead_types::request::{AttemptId, Forward};
use ledgelead_types::server::{AttemptResult, LoadReport};
use ledgelead_types::{ServerId, Span, Text};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use ureq::Agent;

/// Connection limit for a server whose configured limit was not received yet.
const DEFAULT_CONNECTIONS: usize = 16;

/// The thread pool that forwards requests.
pub struct Forwarder {
    pool: WorkPool<Job>,
    shared: Arc<Shared>,
}

struct Shared {
    sender: AttemptSender,
    limits: Limits,
    open_requests: Arc<OpenRequests>,
    inputs: InputSink,
    servers: Mutex<HashMap<ServerId, ServerConnections>>,
    controls: Mutex<HashMap<AttemptId, Arc<ExchangeControl>>>,
}

/// This node's connections to one server.
struct ServerConnections {
    address: Text,
    agent: Agent,
    max_connections: usize,
    in_use: usize,
}

struct Job {
    forward: Forward,
    request: Arc<CallerRequest>,
    control: Arc<ExchangeControl>,
    until: Instant,
}

/// Limit of this node's connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimit {
    /// The server.
    pub server: ServerId,
    /// Largest number of connections, at least 1.
    pub connections: usize,
}

impl Forwarder {
    /// Starts the pool.
    ///
    /// # Errors
    /// When the system can't create more threads.
    pub fn start(
        thread_name: &str,
        sender: AttemptSender,
        limits: Limits,
        open_requests: Arc<OpenRequests>,
        inputs: InputSink,
    ) -> std::io::Result<Forwarder> {
        let threads = limits.forwarding_threads;
        let waiting = limits.max_open_requests;
        let shared = Arc::new(Shared {
            sender,
            limits,
            open_requests,
            inputs,
            servers: Mutex::default(),
            controls: Mutex::default(),
        });
        let worker = shared.clone();
        let pool = WorkPool::start(thread_name, threads, waiting, move |job| worker.run(job))?;
        Ok(Forwarder { pool, shared })
    }

    /// Starts an attempt; its end is reported as [`Input::AttemptEnded`].
    pub fn forward(&self, forward: Forward) {
        let attempt = forward.attempt;
        let Some(request) = self.shared.open_requests.request(attempt.request) else {
            self.shared.end(attempt, AttemptResult::NotSent, None);
            return;
        };
        let control = Arc::new(ExchangeControl::default());
        self.shared.controls().insert(attempt, control.clone());
        let until = Instant::now() + forward.deadline.to_std();
        let job = Job {
            forward,
            request,
            control,
            until,
        };
        if let Err(Rejected(job)) = self.pool.submit(job) {
            self.shared
                .end(job.forward.attempt, AttemptResult::NotSent, None);
        }
    }

    /// The control of an attempt, or `None` if it has ended.
    pub fn control(&self, attempt: AttemptId) -> Option<Arc<ExchangeControl>> {
        self.shared.controls().get(&attempt).cloned()
    }

    /// Sets the limits of this node's connections to each server. Servers without a
    /// limit are dropped once they have no connection in use.
    pub fn set_connection_limits(&self, server_limits: &[ConnectionLimit]) {
        let mut servers = self.shared.servers();
        for limit in server_limits {
            if let Some(server) = servers.get_mut(&limit.server)
                && server.max_connections != limit.connections
            {
                server.max_connections = limit.connections;
                server.agent = self.shared.agent(limit.connections);
            }
        }
        servers.retain(|server, connections| {
            connections.in_use > 0 || server_limits.iter().any(|limit| limit.server == *server)
        });
        for limit in server_limits {
            servers
                .entry(limit.server)
                .or_insert_with(|| self.shared.new_connections(limit.connections));
        }
    }

    /// Stops the threads; running attempts are cancelled and their sockets closed.
    pub fn close(&self) {
        self.pool.close();
        for control in self.shared.controls().values() {
            control.cancel();
            control.close_socket();
        }
    }
}

impl Shared {
    fn run(&self, job: Job) {
        let attempt = job.forward.attempt;
        let Some(agent) = self.acquire_connection(&job.forward) else {
            self.end(attempt, AttemptResult::NotSent, None);
            return;
        };
        let ended = self.exchange(&agent, &job);
        self.release_connection(job.forward.server);
        match ended {
            Ok(answer) => {
                let result = wire::attempt_result(&answer);
                let load = answer.header(headers::LOAD).and_then(wire::parse_load);
                if matches!(result, AttemptResult::Answered { .. }) {
                    self.open_requests.store_response(attempt, answer);
                }
                self.end(attempt, result, load);
            }
            Err(error) => self.end(attempt, failure(error), None),
        }
    }

    fn exchange(&self, agent: &Agent, job: &Job) -> Result<BufferedResponse, ExchangeError> {
        let remaining = job.until.saturating_duration_since(Instant::now());
        let time_left = Span::from_micros(remaining.as_micros() as u64);
        let request = wire::server_request(&job.forward, &job.request, time_left, &self.sender);
        let request = request.map_err(|error| {
            log::warn!(target: "forward", "request can't be represented as HTTP/1.1: {error}");
            ExchangeError::NotSent
        })?;
        exchange::exchange(
            agent,
            request,
            remaining,
            self.limits.max_answer_bytes,
            &job.control,
        )
    }

    /// Reserves one of this node's connections to the server; `None` when all are in
    /// use.
    fn acquire_connection(&self, forward: &Forward) -> Option<Agent> {
        let mut servers = self.servers();
        let server = servers
            .entry(forward.server)
            .or_insert_with(|| self.new_connections(DEFAULT_CONNECTIONS));
        if server.address != forward.address {
            server.address = forward.address.clone();
            server.agent = self.agent(server.max_connections);
        }
        if server.in_use >= server.max_connections {
            return None;
        }
        server.in_use += 1;
        Some(server.agent.clone())
    }

    fn release_connection(&self, server: ServerId) {
        if let Some(server) = self.servers().get_mut(&server) {
            server.in_use -= 1;
        }
    }

    fn end(&self, attempt: AttemptId, result: AttemptResult, load: Option<LoadReport>) {
        self.controls().remove(&attempt);
        (self.inputs)(Input::AttemptEnded {
            attempt,
            result,
            load,
        });
    }

    fn new_connections(&self, max_connections: usize) -> ServerConnections {
        ServerConnections {
            address: Text::default(),
            agent: self.agent(max_connections),
            max_connections,
            in_use: 0,
        }
    }

    fn agent(&self, idle_connections: usize) -> Agent {
        exchange::agent(AgentLimits {
            idle_connections,
            idle_time: self.limits.server_idle_time,
            connect_time: self.limits.connect_time,
        })
    }

    fn servers(&self) -> MutexGuard<'_, HashMap<ServerId, ServerConnections>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn controls(&self) -> MutexGuard<'_, HashMap<AttemptId, Arc<ExchangeControl>>> {
        self.controls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn failure(error: ExchangeError) -> AttemptResult {
    match error {
        ExchangeError::NotSent => AttemptResult::NotSent,
        ExchangeError::Lost => AttemptResult::Lost,
        ExchangeError::BadAnswer => AttemptResult::BadAnswer,
    }
}
