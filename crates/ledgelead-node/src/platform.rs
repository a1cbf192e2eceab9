//! Client of the platform's object API over HTTP, by `ureq`.

use crate::InputSink;
use crate::callers::headers::HeaderLine;
use crate::servers::exchange::{self, AgentLimits, BufferedResponse, ExchangeError};
use crate::servers::write_tracking::ExchangeControl;
use crate::settings::Limits;
use crate::work_pool::{Rejected, WorkPool};
use ledgelead_core::{CallId, Input};
use ledgelead_types::platform::*;
use ledgelead_types::{Bytes, List, NodeId, Text, ZoneId};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use ureq::Agent;
use ureq::http::{Request, request::Builder};

/// Threads for calls; there are few, since the platform supports few concurrent readers.
const THREADS: usize = 8;
/// Calls that may be queued.
const MAX_WAITING: usize = 64;
/// Longest object, in bytes.
const MAX_OBJECT_BYTES: usize = 16 * 1024 * 1024;
/// How long a connection may stay idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Header with an object's version.
const OBJECT_VERSION: &str = "Object-Version";

/// Settings of the client.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// `IP:port` of the platform.
    pub address: SocketAddr,
    /// How long a call may take.
    pub call_time: Duration,
    /// How long the platform may hold a watch until there is a change.
    pub watch_time: Duration,
    /// How long a connection may take to be established.
    pub connect_time: Duration,
}

impl PlatformSettings {
    /// Takes the times from the node's limits.
    pub fn new(address: SocketAddr, limits: &Limits) -> PlatformSettings {
        PlatformSettings {
            address,
            call_time: limits.platform_time,
            watch_time: limits.platform_watch_time,
            connect_time: limits.connect_time,
        }
    }
}

struct Job {
    call: CallId,
    request: PlatformCall,
}

/// A client that runs calls on a thread pool.
pub struct PlatformClient {
    pool: WorkPool<Job>,
    inputs: InputSink,
}

impl PlatformClient {
    /// Starts the pool.
    ///
    /// # Errors
    /// When the system can't create more threads.
    pub fn start(
        thread_name: &str,
        settings: PlatformSettings,
        inputs: InputSink,
    ) -> std::io::Result<PlatformClient> {
        let caller = PlatformCaller::new(settings);
        let sink = inputs.clone();
        let pool = WorkPool::start(thread_name, THREADS, MAX_WAITING, move |job: Job| {
            let reply = caller.call(&job.request);
            sink(Input::PlatformReplied {
                call: job.call,
                reply,
            });
        })?;
        Ok(PlatformClient { pool, inputs })
    }

    /// Starts a call; its end is reported as [`Input::PlatformReplied`].
    pub fn call(&self, call: CallId, request: PlatformCall) {
        if let Err(Rejected(job)) = self.pool.submit(Job { call, request }) {
            (self.inputs)(Input::PlatformReplied {
                call: job.call,
                reply: Err(PlatformError::Unavailable),
            });
        }
    }

    /// Stops the threads.
    pub fn close(&self) {
        self.pool.close();
    }
}

/// Runs calls synchronously.
pub struct PlatformCaller {
    settings: PlatformSettings,
    agent: Agent,
}

impl PlatformCaller {
    /// Creates a caller with its own connections.
    pub fn new(settings: PlatformSettings) -> PlatformCaller {
        let agent = exchange::agent(AgentLimits {
            idle_connections: THREADS,
            idle_time: IDLE_TIMEOUT,
            connect_time: settings.connect_time,
        });
        PlatformCaller { settings, agent }
    }

    /// Runs a call.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`] only if the platform has certainly changed nothing,
    /// which holds for every call that only reads.
    pub fn call(&self, call: &PlatformCall) -> Result<PlatformReply, PlatformError> {
        let reply = self.carry_out(call);
        match call {
            PlatformCall::CompareAndSwap { .. } => reply,
            _ => reply.map_err(|_| PlatformError::Unavailable),
        }
    }

    fn carry_out(&self, call: &PlatformCall) -> Result<PlatformReply, PlatformError> {
        match call {
            PlatformCall::Get { name } => {
                let request = Request::get(self.object(name));
                let answer = self.run(request, Vec::new(), self.settings.call_time)?;
                read_object(answer)
            }
            PlatformCall::Watch { name, after } => {
                let wait = self.settings.watch_time;
                let uri = format!(
                    "{}?after={}&wait_ms={}",
                    self.object(name),
                    after.0,
                    wait.as_millis()
                );
                let time = wait + self.settings.call_time;
                read_object(self.run(Request::get(uri), Vec::new(), time)?)
            }
            PlatformCall::CompareAndSwap {
                name,
                expected,
                value,
            } => {
                let request =
                    Request::put(self.object(name)).header("If-Match", expected.0.to_string());
                let answer = self.run(request, value.0.clone(), self.settings.call_time)?;
                read_swap(&answer)
            }
            PlatformCall::ListMachines => {
                let uri = format!("http://{}/machines", self.settings.address);
                let answer = self.run(Request::get(uri), Vec::new(), self.settings.call_time)?;
                read_machines(&answer)
            }
        }
    }

    fn object(&self, name: &str) -> String {
        format!("http://{}/objects/{name}", self.settings.address)
    }

    fn run(
        &self,
        request: Builder,
        body: Vec<u8>,
        time: Duration,
    ) -> Result<BufferedResponse, PlatformError> {
        let request = request.body(body).map_err(|_| PlatformError::Unavailable)?;
        let control = Arc::new(ExchangeControl::default());
        let answer = exchange::exchange(&self.agent, request, time, MAX_OBJECT_BYTES, &control);
        let answer = answer.map_err(|error| match error {
            ExchangeError::NotSent => PlatformError::Unavailable,
            ExchangeError::Lost | ExchangeError::BadAnswer => PlatformError::AnswerLost,
        })?;
        match answer.status {
            404 | 412 => Ok(answer),
            400..=499 | 503 => Err(PlatformError::Unavailable),
            _ => Ok(answer),
        }
    }
}

fn version_of(headers: &[HeaderLine]) -> Result<ObjectVersion, PlatformError> {
    headers
        .iter()
        .find(|header| header.is(OBJECT_VERSION))
        .and_then(|header| header.value.parse().ok())
        .map(ObjectVersion)
        .ok_or(PlatformError::AnswerLost)
}

fn read_object(answer: BufferedResponse) -> Result<PlatformReply, PlatformError> {
    match answer.status {
        200 => Ok(PlatformReply::Object {
            version: version_of(&answer.headers)?,
            value: Bytes(answer.body),
        }),
        304 => Ok(PlatformReply::Unchanged),
        404 => Ok(PlatformReply::NotFound),
        _ => Err(PlatformError::AnswerLost),
    }
}

fn read_swap(answer: &BufferedResponse) -> Result<PlatformReply, PlatformError> {
    match answer.status {
        200 => version_of(&answer.headers).map(|version| PlatformReply::Swapped { version }),
        412 => version_of(&answer.headers).map(|version| PlatformReply::Conflict { version }),
        404 => Err(PlatformError::Unavailable),
        _ => Err(PlatformError::AnswerLost),
    }
}

/// A machine in the platform's list, in JSON.
#[derive(Deserialize)]
struct MachineLine {
    node: u32,
    zone: u16,
    address: String,
    state: MachineStateName,
}

/// The state of a machine as reported by the platform, in JSON.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum MachineStateName {
    Live,
    Leaving,
    Gone,
}

fn read_machines(answer: &BufferedResponse) -> Result<PlatformReply, PlatformError> {
    if answer.status != 200 {
        return Err(PlatformError::AnswerLost);
    }
    let lines: Vec<MachineLine> =
        serde_json::from_slice(&answer.body).map_err(|_| PlatformError::AnswerLost)?;
    let machines: List<MachineEntry> = lines.into_iter().map(machine_entry).collect();
    Ok(PlatformReply::Machines(machines))
}

fn machine_entry(line: MachineLine) -> MachineEntry {
    MachineEntry {
        node: NodeId(line.node),
        zone: ZoneId(line.zone),
        address: Text(line.address),
        state: match line.state {
            MachineStateName::Live => MachineState::Live,
            MachineStateName::Leaving => MachineState::Leaving,
            MachineStateName::Gone => MachineState::Gone,
        },
    }
}
