//! Renews servers' leases on separate threads, so that a renewal never waits for
//! forwarded requests.

use super::exchange::{self, AgentLimits};
use super::signature::{ControlRequest, ServerKey};
use super::wire::LEASE_PATH;
use super::write_tracking::ExchangeControl;
use crate::InputSink;
use crate::callers::headers;
use crate::metrics::{ControlKind, Metrics};
use crate::work_pool::{Rejected, WorkPool};
use ledgelead_core::{CallId, Input};
use ledgelead_types::server::{LeaseRenewal, RenewalReply};
use ledgelead_types::{ServerId, Text, codec};
use std::sync::Arc;
use std::time::{Duration, Instant};
use ureq::Agent;
use ureq::http::Request;

/// How long a renewal may take, including the time in the queue.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a connection for renewals may stay idle; it covers several renewals.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest reply, in bytes.
const MAX_REPLY_BYTES: usize = 256 * 1024;
/// Renewals that may be queued.
const MAX_WAITING: usize = 1_024;
/// Idle connections to all servers together.
const MAX_IDLE_CONNECTIONS: usize = 1_024;

/// One renewal to send.
#[derive(Debug)]
pub struct RenewalCall {
    /// Identifies the call in the reply.
    pub call: CallId,
    /// The server.
    pub server: ServerId,
    /// Its `IP:port`.
    pub address: Text,
    /// The renewal.
    pub renewal: LeaseRenewal,
}

struct Job {
    call: RenewalCall,
    until: Instant,
}

/// The thread pool that renews leases.
pub struct Renewer {
    pool: WorkPool<Job>,
    inputs: InputSink,
}

impl Renewer {
    /// Starts the pool.
    ///
    /// # Errors
    /// When the system can't create more threads.
    pub fn start(
        thread_name: &str,
        threads: usize,
        key: Option<ServerKey>,
        metrics: Metrics,
        inputs: InputSink,
    ) -> std::io::Result<Renewer> {
        let agent = control_agent(RENEWAL_TIMEOUT);
        let sink = inputs.clone();
        let pool = WorkPool::start(thread_name, threads, MAX_WAITING, move |job: Job| {
            let reply = renew(&agent, key.as_ref(), &metrics, &job);
            sink(Input::ServerReplied {
                call: job.call.call,
                server: job.call.server,
                reply,
            });
        })?;
        Ok(Renewer { pool, inputs })
    }

    /// Starts a renewal; its end is reported as [`Input::ServerReplied`].
    pub fn renew(&self, call: RenewalCall) {
        let until = Instant::now() + RENEWAL_TIMEOUT;
        if let Err(Rejected(job)) = self.pool.submit(Job { call, until }) {
            (self.inputs)(Input::ServerReplied {
                call: job.call.call,
                server: job.call.server,
                reply: None,
            });
        }
    }

    /// Stops the threads.
    pub fn close(&self) {
        self.pool.close();
    }
}

/// An agent for short control requests to many servers.
pub(super) fn control_agent(connect_time: Duration) -> Agent {
    exchange::agent(AgentLimits {
        idle_connections: MAX_IDLE_CONNECTIONS,
        idle_time: IDLE_TIMEOUT,
        connect_time,
    })
}

fn renew(
    agent: &Agent,
    key: Option<&ServerKey>,
    metrics: &Metrics,
    job: &Job,
) -> Option<RenewalReply> {
    let body = codec::encode(&job.call.renewal);
    metrics.count_control_out(ControlKind::Renewal, body.len());
    let uri = format!("http://{}{LEASE_PATH}", job.call.address);
    let mut request = Request::post(uri);
    if let Some(key) = key {
        let signature = key.sign(ControlRequest {
            path: LEASE_PATH,
            attempt: "",
            body: &body,
        });
        request = request.header(headers::SIGNATURE, signature);
    }
    let request = request.body(body).ok()?;
    let remaining = job.until.saturating_duration_since(Instant::now());
    let control = Arc::new(ExchangeControl::default());
    let answer = exchange::exchange(agent, request, remaining, MAX_REPLY_BYTES, &control).ok()?;
    metrics.count_control_in(ControlKind::Renewal, answer.body.len());
    if answer.status != 200 {
        return None;
    }
    codec::decode(&answer.body).ok()
}
