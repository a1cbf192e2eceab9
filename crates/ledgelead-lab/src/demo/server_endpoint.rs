//! A back end on a socket (`docs/server-interface.md`).
//!
//! A thread per server drives the state machine
//! [`ServerState`](crate::standin::server::ServerState).

use super::clock::WallClock;
use super::http::HttpListener;
use super::nodes;
use super::relay::Relay;
use super::server_thread::ServerThread;
use crate::standin::Moment;
use crate::standin::execution::Execution;
use crate::standin::server::{ServerSettings, ServerState};
use ledgelead_node::servers::signature::ServerKey;
use ledgelead_node::settings::Secret;
use ledgelead_types::protections::Protections;
use ledgelead_types::server::GrantedSlice;
use ledgelead_types::{ServerId, Span, Time};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};

/// Maximum number of queued requests.
const QUEUE: usize = 8;
/// Maximum number of queued requests that bypass the router, which nothing else throttles.
const DIRECT_QUEUE: usize = 4_096;

/// Settings of a server endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSettings {
    /// The server.
    pub server: ServerId,
    /// Requests that it executes concurrently.
    pub slots: u16,
    /// Whether its service is keyed.
    pub keyed: bool,
    /// Execution time of a request.
    pub service_time: Span,
    /// Whether it can be killed, which requires a relay.
    pub killable: bool,
}

/// A server that listens until it is killed or dropped.
pub struct ServerEndpoint {
    settings: EndpointSettings,
    address: SocketAddr,
    shared: Arc<Shared>,
    server: Arc<HttpListener>,
    relay: Option<Relay>,
    thread: Option<JoinHandle<()>>,
    stopped_at: Option<Time>,
}

/// State shared by the server thread and the owner of the endpoint.
pub(super) struct Shared {
    /// The clock of all records.
    pub(super) clock: WallClock,
    states: Mutex<States>,
    /// Set to stop the thread.
    pub(super) stop: AtomicBool,
}

/// States of a server: one for requests from nodes, and one of the same size for requests
/// directly from callers, which carry no ownership claims to check.
pub(super) struct States {
    /// For requests from nodes.
    pub(super) routed: ServerState,
    direct: ServerState,
    executions: Vec<Execution>,
}

impl ServerEndpoint {
    /// Starts a server without slices.
    pub fn start(clock: WallClock, settings: EndpointSettings) -> io::Result<ServerEndpoint> {
        let server = Arc::new(HttpListener::start()?);
        let relay = match settings.killable {
            true => Some(Relay::start(server.address())?),
            false => None,
        };
        let address = relay.as_ref().map_or(server.address(), Relay::address);
        let shared = Arc::new(Shared {
            clock,
            states: Mutex::new(States::new(&settings, clock.now())),
            stop: AtomicBool::new(false),
        });
        let key = ServerKey::new(&Secret::new(nodes::SERVER_KEY));
        let serving = ServerThread::new(settings, Arc::clone(&shared), key);
        let listening = Arc::clone(&server);
        let thread = thread::Builder::new()
            .name(format!("lab-server-{}", settings.server.0))
            .spawn(move || serving.run(&listening))?;
        Ok(ServerEndpoint {
            settings,
            address,
            shared,
            server,
            relay,
            thread: Some(thread),
            stopped_at: None,
        })
    }

    /// Its settings.
    pub fn settings(&self) -> &EndpointSettings {
        &self.settings
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// When it was killed or stopped.
    pub fn stopped_at(&self) -> Option<Time> {
        self.stopped_at
    }

    /// Slices for which it would currently start a request; none once it is stopped.
    pub fn claimable(&self) -> Vec<GrantedSlice> {
        if self.stopped_at.is_some() {
            return Vec::new();
        }
        let now = Moment::exact(self.shared.clock.now());
        self.shared.states().routed.claimable(now).to_vec()
    }

    /// Asks its dispatcher to be drained, with the next renewal.
    pub fn leave(&self) {
        self.shared.states().routed.set_leaving(true);
    }

    /// Whether it is drained and no request is running or queued.
    pub fn is_drained(&self) -> bool {
        let now = Moment::exact(self.shared.clock.now());
        let states = self.shared.states();
        states.routed.is_draining()
            && states.routed.is_idle()
            && states.routed.claimable(now).is_empty()
    }

    /// Whether it is executing a request.
    pub fn is_executing(&self) -> bool {
        let states = self.shared.states();
        !states.routed.is_idle() || !states.direct.is_idle()
    }

    /// Ends it immediately: all connections are closed, and running requests are never
    /// answered.
    pub fn kill(&mut self) {
        if let Some(relay) = &self.relay {
            relay.disconnect();
        }
        self.stop_thread();
    }

    /// All executions that it started. Those running when it was stopped ended at that time.
    pub fn executions(&self) -> Vec<Execution> {
        let mut states = self.shared.states();
        states.collect_ended();
        let terminated = |execution: &Execution| Execution {
            ended: self.stopped_at,
            ..*execution
        };
        let unfinished = states.routed.unfinished().map(terminated);
        let ended = states.executions.iter().copied();
        ended.chain(unfinished).collect()
    }

    fn stop_thread(&mut self) {
        if self.stopped_at.is_some() {
            return;
        }
        self.stopped_at = Some(self.shared.clock.now());
        self.shared.stop.store(true, Ordering::SeqCst);
        self.server.server().unblock();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been reported on standard error.
            let _ = thread.join();
        }
    }
}

impl Drop for ServerEndpoint {
    fn drop(&mut self) {
        self.stop_thread();
    }
}

impl Shared {
    pub(super) fn states(&self) -> MutexGuard<'_, States> {
        self.states.lock().expect("server states")
    }
}

impl States {
    fn new(settings: &EndpointSettings, now: Time) -> States {
        let routed = ServerSettings {
            server: settings.server,
            slots: settings.slots,
            queue: QUEUE,
            keyed: settings.keyed,
            cold_for: Span::ZERO,
            cold_factor: 1.0,
            protections: Protections::default(),
        };
        let direct = ServerSettings {
            queue: DIRECT_QUEUE,
            keyed: false,
            ..routed
        };
        let now = Moment::exact(now);
        let run = u64::from(settings.server.0);
        States {
            routed: ServerState::new(routed, run, now),
            direct: ServerState::new(direct, run, now),
            executions: Vec::new(),
        }
    }

    fn collect_ended(&mut self) {
        let ended = self.routed.take_executions();
        self.executions.extend(ended);
        self.direct.take_executions();
    }

    /// The state for requests of a kind of sender.
    pub(super) fn state(&mut self, sent_by: SentBy) -> &mut ServerState {
        match sent_by {
            SentBy::Node => &mut self.routed,
            SentBy::Caller => &mut self.direct,
        }
    }
}

/// Sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SentBy {
    /// A node.
    Node,
    /// A caller, directly.
    Caller,
}
