//! The actor that connects the sockets and the node.

use crate::clock::{ProcessClock, SuspensionDetector};
use crate::connection_limits::ConnectionLimits;
use crate::endpoint::{Endpoint, StatusPaths};
use crate::inbound::{ClientEvent, Inbound};
use crate::memory::Memory;
use crate::metrics::{self, BufferStats};
use crate::outbound::{ConnectionKey, NewExchange, Outbound};
use crate::process::{Control, SettingsSource};
use crate::redirects::Redirects;
use crate::stream::connect_failure;
use crate::transport;
use ledgelead_http::{Request, Response};
use ledgelead_router::io::{Action, ClientId, Input};
use ledgelead_router::node::Node;
use stakker::{CX, MinTimerKey, StopCause, fwd_to, idle, timer_min};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream, UdpSocket};
use stakker_mio::{MioPoll, MioSource, Ready};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Priority of all sockets in the poller.
const POLL_PRIORITY: u32 = 0;
/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks whether the settings have changed.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// How long a stopping node goes on accepting connections, so that the load balancer can
/// notice that it is not ready. Requests accepted in this time have the rest of the stop
/// grace for their answers.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_600);
/// How long before the end of the stop grace a stopping process ends in any case.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Connections that a listener accepts before others have their turn.
const MAX_ACCEPTED: usize = 64;
/// How long after a failure a listener accepts again. The poller reports connections that wait
/// in its queue only together with a further one.
const ACCEPT_RETRY_TIME: Duration = Duration::from_millis(100);
/// Longest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The sockets that the process is bound to.
pub(crate) struct Sockets {
    pub(crate) clients: std::net::TcpListener,
    pub(crate) status: Vec<std::net::TcpListener>,
    pub(crate) transfers: std::net::TcpListener,
    pub(crate) peers: std::net::UdpSocket,
}

/// What the reactor is created from.
pub(crate) struct ReactorSetup {
    pub(crate) node: Node,
    pub(crate) sockets: Sockets,
    pub(crate) paths: StatusPaths,
    pub(crate) redirects: Redirects,
    pub(crate) control: Control,
    pub(crate) settings: Box<dyn SettingsSource>,
    pub(crate) stop_grace: Duration,
    pub(crate) clock: ProcessClock,
}

/// The actor that runs the node: it passes events of sockets and timers to the node and
/// carries out the node's actions.
pub(crate) struct Reactor {
    node: Node,
    /// The node's clock. Timers and connections use the monotonic clock.
    clock: ProcessClock,
    suspension: SuspensionDetector,
    listeners: Vec<Option<(Endpoint, MioSource<TcpListener>)>>,
    peers: MioSource<UdpSocket>,
    memory: Memory,
    inbound: Inbound,
    outbound: Outbound,
    paths: StatusPaths,
    redirects: Redirects,
    control: Control,
    settings: Box<dyn SettingsSource>,
    stop_grace: Duration,
    /// When a stop was requested.
    stop_requested_at: Option<Instant>,
    inputs: VecDeque<Input>,
    timer: MinTimerKey,
    /// Whether the next turns of connections are scheduled.
    turns_scheduled: bool,
    /// When the listeners accept again without an event of the poller.
    accept_again_at: Option<Instant>,
    next_sweep: Instant,
    next_settings: Instant,
}

impl Reactor {
    pub(crate) fn init(cx: CX![], setup: ReactorSetup) -> Option<Reactor> {
        let now = cx.now();
        let mut reactor = match Reactor::register(cx, setup, now) {
            Ok(reactor) => reactor,
            Err(error) => {
                log::error!(target: "runtime", "failed to register sockets with the poller: {error}");
                cx.shutdown(StopCause::Stopped);
                return None;
            }
        };
        reactor.inputs.push_back(Input::Deadline);
        reactor.pump(cx);
        Some(reactor)
    }

    fn register(cx: CX![], setup: ReactorSetup, now: Instant) -> io::Result<Reactor> {
        let poll = cx.anymap_get::<MioPoll>();
        let mut listeners = Vec::new();
        let clients = [(Endpoint::Clients, setup.sockets.clients)];
        let status = setup
            .sockets
            .status
            .into_iter()
            .map(|listener| (Endpoint::Status, listener));
        let transfers = [(Endpoint::Peers, setup.sockets.transfers)];
        let all = clients.into_iter().chain(status).chain(transfers);
        for (index, (endpoint, listener)) in all.enumerate() {
            listener.set_nonblocking(true)?;
            let listener = TcpListener::from_std(listener);
            let accept = fwd_to!([cx], accept(index) as (Ready));
            let source = poll.add(listener, Interest::READABLE, POLL_PRIORITY, accept)?;
            listeners.push(Some((endpoint, source)));
        }
        setup.sockets.peers.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(setup.sockets.peers);
        let received = fwd_to!([cx], datagrams() as (Ready));
        let peers = poll.add(socket, Interest::READABLE, POLL_PRIORITY, received)?;
        let memory = Memory::default();
        memory.set_limit(setup.node.memory_limit());
        Ok(Reactor {
            node: setup.node,
            clock: setup.clock,
            suspension: SuspensionDetector::new(now, setup.clock.now()),
            listeners,
            peers,
            inbound: Inbound::new(memory.clone()),
            outbound: Outbound::new(memory.clone()),
            memory,
            paths: setup.paths,
            redirects: setup.redirects,
            control: setup.control,
            settings: setup.settings,
            stop_grace: setup.stop_grace,
            stop_requested_at: None,
            inputs: VecDeque::new(),
            timer: MinTimerKey::default(),
            turns_scheduled: false,
            accept_again_at: None,
            next_sweep: now + SWEEP_INTERVAL,
            next_settings: now + SETTINGS_INTERVAL,
        })
    }

    fn accept(&mut self, cx: CX![], index: usize, _ready: Ready) {
        let again_at = self.accept_some(cx, index);
        self.accept_again_at = [self.accept_again_at, again_at].into_iter().flatten().min();
        self.set_timer(cx);
    }

    /// Accepts connections again, of which the poller may report none.
    fn accept_again(&mut self, cx: CX![]) {
        let now = cx.now();
        if self.accept_again_at.take_if(|at| *at <= now).is_some() {
            let again_at =
                (0..self.listeners.len()).filter_map(|index| self.accept_some(cx, index));
            self.accept_again_at = again_at.min();
        }
    }

    /// Accepts the connections of one turn. Returns when to go on if some may be left.
    fn accept_some(&mut self, cx: CX![], index: usize) -> Option<Instant> {
        let now = cx.now();
        for _ in 0..MAX_ACCEPTED {
            let (endpoint, listener) = self.listeners[index].as_ref()?;
            let (stream, from) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                Err(error) => {
                    log::warn!(target: "runtime", "failed to accept a connection: {error}");
                    self.inbound.release_descriptors(now);
                    return Some(now + ACCEPT_RETRY_TIME);
                }
            };
            if !self.inbound.make_room(*endpoint, now) {
                // Closed unread, so its client can tell that no request was run.
                continue;
            }
            let key = self.inbound.next_key();
            let ready = fwd_to!([cx], client_ready(key) as (Ready));
            let poll = cx.anymap_get::<MioPoll>();
            let interest = Interest::READABLE | Interest::WRITABLE;
            match poll.add(stream, interest, POLL_PRIORITY, ready) {
                Ok(source) => {
                    // Otherwise small answers would wait for acknowledgements (Nagle's algorithm).
                    let _ = source.set_nodelay(true);
                    self.inbound.accepted(source, from.ip(), *endpoint, now);
                }
                Err(error) => {
                    log::warn!(target: "runtime", "failed to register a connection with the poller: {error}");
                }
            }
        }
        Some(now)
    }

    fn client_ready(&mut self, cx: CX![], key: ConnectionKey, ready: Ready) {
        let mut events = Vec::new();
        let is_closed = ready.is_read_closed();
        self.inbound.ready(key, is_closed, cx.now(), &mut events);
        self.take_events(cx.now(), events);
        self.pump(cx);
    }

    fn server_ready(&mut self, cx: CX![], key: ConnectionKey, _ready: Ready) {
        self.read_answer(cx, key);
    }

    fn read_answer(&mut self, cx: CX![], key: ConnectionKey) {
        let mut inputs = Vec::new();
        self.outbound.ready(key, cx.now(), &mut inputs);
        self.inputs.extend(inputs);
        self.pump(cx);
    }

    fn datagrams(&mut self, cx: CX![], _ready: Ready) {
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
        loop {
            match self.peers.recv_from(&mut buffer) {
                Ok((length, from)) => self.inputs.push_back(Input::Datagram {
                    from,
                    bytes: buffer[..length].to_vec(),
                }),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    log::debug!(target: "runtime", "failed to receive a datagram: {error}");
                    break;
                }
            }
        }
        self.pump(cx);
    }

    fn timer_fired(&mut self, cx: CX![]) {
        let now = cx.now();
        let mut inputs = vec![Input::Deadline];
        self.outbound.expire(now, &mut inputs);
        self.inputs.extend(inputs);
        self.accept_again(cx);
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.outbound.close_expired_idle(now);
            self.inbound.sweep(now);
        }
        self.check_settings(now);
        self.pump(cx);
        self.end_if_stopped(cx);
    }

    /// Schedules the next turns of connections that have some. The poller is asked before.
    fn schedule_turns(&mut self, cx: CX![]) {
        let has_turns = self.outbound.has_unread() || self.inbound.has_turns();
        if has_turns && !self.turns_scheduled {
            self.turns_scheduled = true;
            idle!([cx], take_turns());
        }
    }

    /// Makes the next turn of each connection that has one. After each of them the node handles
    /// what is due, so that no more than one answer is between its buffers.
    fn take_turns(&mut self, cx: CX![]) {
        self.turns_scheduled = false;
        for key in self.outbound.take_unread() {
            self.read_answer(cx, key);
        }
        for key in self.inbound.take_turns() {
            let mut events = Vec::new();
            self.inbound.take_turn(key, cx.now(), &mut events);
            self.take_events(cx.now(), events);
            self.pump(cx);
        }
        self.pump(cx);
    }

    fn check_settings(&mut self, now: Instant) {
        let reload = self.control.reload.swap(false, Ordering::Relaxed);
        if !reload && self.next_settings > now {
            return;
        }
        self.next_settings = now + SETTINGS_INTERVAL;
        if let Some(settings) = self.settings.changed() {
            log::info!(target: "runtime", "settings changed");
            self.node.change_settings(settings);
        }
    }

    fn check_stop(&mut self, now: Instant) {
        if self.stop_requested_at.is_none() && self.control.stop.load(Ordering::Relaxed) {
            self.stop_requested_at = Some(now);
            self.inbound.begin_stopping();
            // Ahead of a due `Input::Deadline`, at which the node could still abort a slow
            // attempt to send its request elsewhere.
            self.inputs.push_front(Input::Stop);
        }
    }

    fn end_if_stopped(&mut self, cx: CX![]) {
        let Some(stop_requested_at) = self.stop_requested_at else {
            return;
        };
        let elapsed = cx.now().duration_since(stop_requested_at);
        if elapsed >= STOP_ACCEPT_TIME {
            self.stop_accepting();
        }
        let is_idle = self.node.has_finished() && !self.inbound.is_busy();
        let grace_ends = elapsed + STOP_MARGIN >= self.stop_grace;
        if (is_idle && elapsed >= STOP_ACCEPT_TIME.min(self.stop_grace)) || grace_ends {
            log::info!(target: "runtime", "stopped");
            cx.shutdown(StopCause::Stopped);
        }
    }

    /// Stops accepting connections of clients, and closes idle ones.
    fn stop_accepting(&mut self) {
        for listener in &mut self.listeners {
            listener.take_if(|(endpoint, _)| *endpoint == Endpoint::Clients);
        }
        self.inbound.close_idle();
    }

    fn take_events(&mut self, now: Instant, events: Vec<ClientEvent>) {
        for event in events {
            match event {
                ClientEvent::RequestWithoutBody { client, request } => {
                    self.inputs
                        .push_back(Input::RequestWithoutBody { client, request });
                }
                ClientEvent::Disconnected { client } => {
                    self.inputs.push_back(Input::ClientDisconnected { client });
                }
                ClientEvent::Request {
                    client,
                    endpoint: Endpoint::Clients,
                    source,
                    request,
                } => self.inputs.push_back(Input::Request {
                    client,
                    source,
                    request,
                }),
                ClientEvent::Request {
                    client,
                    endpoint: Endpoint::Peers,
                    request,
                    ..
                } => self
                    .inputs
                    .push_back(Input::PeerRequest { client, request }),
                ClientEvent::Request {
                    client,
                    endpoint: Endpoint::Status,
                    request,
                    ..
                } => self.answer_status(client, &request, now),
            }
        }
    }

    fn answer_status(&mut self, client: ClientId, request: &Request, now: Instant) {
        let path = request.path();
        let response = if path == self.paths.readiness {
            let status = if self.node.is_ready() { 200 } else { 503 };
            Response::new(status, Vec::new())
        } else if path == self.paths.metrics {
            let buffers = BufferStats {
                bytes: self.memory.buffers.total(),
                closed: self.inbound.closed(),
            };
            let unsolicited = self.outbound.unsolicited_answers();
            Response::new(
                200,
                metrics::render(&self.node.status(), buffers, unsolicited),
            )
        } else {
            Response::new(404, Vec::new())
        };
        self.inbound.respond(client, response, now);
    }

    /// Passes inputs to the node and carries out its actions until no input is left, then
    /// sets the timer.
    fn pump(&mut self, cx: CX![]) {
        let now = cx.now();
        let time = self.clock.now();
        let suspended = self.suspension.detect(Instant::now(), time);
        if !suspended.is_zero() {
            log::info!(target: "runtime", "the machine was suspended for {} ms", suspended.as_millis());
            self.outbound.add_suspension(suspended);
        }
        // Due deadlines come before queued inputs. After a suspension an authority may have
        // expired, and the inputs must not be decided under it.
        if self.node.next_deadline() <= time {
            self.inputs.push_front(Input::Deadline);
        }
        // Before any decision, since a stopping node doesn't abort slow attempts.
        self.check_stop(now);
        let mut actions = Vec::new();
        while let Some(input) = self.inputs.pop_front() {
            self.node.step(input, time, &mut actions);
            for action in actions.drain(..) {
                self.perform(cx, action, now);
            }
        }
        self.inbound.set_limits(self.node.client_limits());
        self.memory.set_limit(self.node.memory_limit());
        let limits = ConnectionLimits::of(self.node.connection_limit());
        self.inbound.set_connection_limits(limits);
        let outbound = limits.outbound(self.inbound.len());
        self.outbound.set_connection_limit(outbound);
        self.schedule_turns(cx);
        self.set_timer(cx);
    }

    fn set_timer(&mut self, cx: CX![]) {
        // The timer doesn't advance during a suspension. One that was set before fires late
        // by its remaining time, at most the interval of a node's reports (0.2 s).
        let remaining = self.node.next_deadline().saturating_sub(self.clock.now());
        let node_deadline = Instant::now() + remaining;
        let next = [
            Some(node_deadline),
            self.outbound.next_deadline(),
            Some(self.next_sweep),
            self.accept_again_at,
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(self.next_sweep);
        timer_min!(&mut self.timer, next, [cx], timer_fired());
    }

    fn perform(&mut self, cx: CX![], action: Action, now: Instant) {
        match action {
            Action::Respond { client, response } => self.inbound.respond(client, response, now),
            Action::Exchange {
                exchange,
                address,
                request,
                options,
            } => {
                let new = NewExchange {
                    exchange,
                    address,
                    request: Some(request),
                    options: *options,
                };
                self.start_exchange(cx, new, now);
            }
            Action::Probe {
                exchange,
                address,
                timeout,
            } => self.connect(cx, NewExchange::probe(exchange, address, timeout), now),
            Action::Cancel { exchange } => self.outbound.cancel(exchange),
            Action::Datagram { address, datagram } => {
                if let Err(error) = self.peers.send_to(&datagram.bytes, address) {
                    // Datagrams may be lost, also because the send buffer is full.
                    log::debug!(target: "peers", "{} to {address}: {error}", datagram.kind);
                }
            }
        }
    }

    fn start_exchange(&mut self, cx: CX![], new: NewExchange, now: Instant) {
        let mut inputs = Vec::new();
        let started = self.outbound.start_on_idle(Box::new(new), now, &mut inputs);
        self.inputs.extend(inputs);
        if let Err(new) = started {
            self.connect(cx, *new, now);
        }
    }

    /// Begins an exchange on a new connection.
    fn connect(&mut self, cx: CX![], new: NewExchange, now: Instant) {
        let exchange = new.exchange;
        self.outbound.make_room();
        let key = self.outbound.next_key();
        let ready = fwd_to!([cx], server_ready(key) as (Ready));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let poll = cx.anymap_get::<MioPoll>();
        let source = TcpStream::connect(self.redirects.apply(new.address)).and_then(|stream| {
            transport::limit_retransmission(&stream)?;
            poll.add(stream, interest, POLL_PRIORITY, ready)
        });
        match source {
            Ok(source) => self.outbound.start_on_new(source, new, now),
            Err(error) => {
                log::warn!(target: "runtime", "failed to connect to {}: {error}", new.address);
                self.inputs.push_back(Input::ExchangeEnded {
                    exchange,
                    result: Err(connect_failure(&error)),
                    idle_for: Duration::ZERO,
                });
            }
        }
    }
}
