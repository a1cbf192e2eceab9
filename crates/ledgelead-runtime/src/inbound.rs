//! Inbound connections: requests of clients, of status probes and of other nodes.
//!
//! Connections have turns: in one turn a connection reads a bounded number of bytes and begins
//! one request at most. Whoever has more to read has its next turn after all others.

mod closing;
mod connection;
mod credit;

pub(crate) use self::closing::Closed;
use self::connection::Connection;
use self::credit::Phase;
use crate::connection_limits::ConnectionLimits;
use crate::endpoint::Endpoint;
use crate::memory::{Account, MIN_CHECKED_BYTES, Memory};
use crate::outbound::ConnectionKey;
use crate::stream::{Socket, Stream};
use ledgelead_http::{Request, RequestProgress, Response};
use ledgelead_router::configuration::ClientLimits;
use ledgelead_router::io::ClientId;
use slab::Slab;
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// An event on an inbound connection.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// A whole request arrived.
    Request {
        client: ClientId,
        endpoint: Endpoint,
        source: IpAddr,
        request: Request,
    },
    /// A request arrived whose body is not read, because there is no memory for it.
    RequestWithoutBody { client: ClientId, request: Request },
    /// The client disconnected while its request was open.
    Disconnected { client: ClientId },
}

/// Numbers of open connections.
#[derive(Default)]
struct OpenConnections {
    clients: Account,
    status: Account,
    peers: Account,
}

impl OpenConnections {
    fn of(&self, endpoint: Endpoint) -> &Account {
        match endpoint {
            Endpoint::Clients => &self.clients,
            Endpoint::Status => &self.status,
            Endpoint::Peers => &self.peers,
        }
    }
}

/// All inbound connections.
pub(crate) struct Inbound<S = MioSource<TcpStream>> {
    connections: Slab<Connection<S>>,
    by_client: HashMap<ClientId, usize>,
    /// Connections that have another turn without an event of the poller.
    turns: BTreeSet<ConnectionKey>,
    last_generation: u64,
    last_client: u64,
    limits: ClientLimits,
    connection_limits: ConnectionLimits,
    /// Bytes that are read beyond an open request.
    read_ahead: usize,
    open: OpenConnections,
    memory: Memory,
    stopping: bool,
    closed: Closed,
    logged: Closed,
}

impl<S: Socket> Inbound<S> {
    /// No connections; their buffers will be charged to this memory.
    pub(crate) fn new(memory: Memory) -> Inbound<S> {
        Inbound {
            connections: Slab::new(),
            by_client: HashMap::new(),
            turns: BTreeSet::new(),
            last_generation: 0,
            last_client: 0,
            limits: ClientLimits::default(),
            connection_limits: ConnectionLimits::default(),
            read_ahead: credit::READ_AHEAD_BYTES,
            open: OpenConnections::default(),
            memory,
            stopping: false,
            closed: Closed::default(),
            logged: Closed::default(),
        }
    }

    /// Replaces the limits of requests and connections.
    pub(crate) fn set_limits(&mut self, limits: ClientLimits) {
        self.limits = limits;
    }

    /// Replaces the limits of the numbers of connections.
    pub(crate) fn set_connection_limits(&mut self, limits: ConnectionLimits) {
        self.connection_limits = limits;
    }

    /// The number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Makes each further answer close its connection.
    pub(crate) fn begin_stopping(&mut self) {
        self.stopping = true;
    }

    /// Whether a request of a client is being received or answered, or an answer to another
    /// node is being written.
    pub(crate) fn is_busy(&self) -> bool {
        self.connections.iter().any(|(_, connection)| {
            let flushing = !connection.stream.is_flushed();
            match connection.endpoint {
                Endpoint::Clients => connection.open.is_some() || connection.receiving || flushing,
                // The node itself waits for the attempts that it makes for other nodes.
                Endpoint::Peers => flushing,
                Endpoint::Status => false,
            }
        })
    }

    /// The key that the next connection will have.
    pub(crate) fn next_key(&self) -> ConnectionKey {
        ConnectionKey {
            index: self.connections.vacant_key(),
            generation: self.last_generation + 1,
        }
    }

    /// Adds an accepted connection.
    pub(crate) fn accepted(&mut self, socket: S, source: IpAddr, endpoint: Endpoint, now: Instant) {
        self.last_generation += 1;
        self.connections.insert(Connection::new(
            self.last_generation,
            (endpoint, source),
            Stream::new(socket),
            self.read_ahead,
            &self.memory,
            self.open.of(endpoint),
            now,
        ));
    }

    /// Handles the readiness of a connection's socket. `is_closed` says whether the client has
    /// closed its direction.
    pub(crate) fn ready(
        &mut self,
        key: ConnectionKey,
        is_closed: bool,
        now: Instant,
        events: &mut Vec<ClientEvent>,
    ) {
        if let Some(connection) = self.current(key) {
            connection.stream.set_unread();
            connection.is_closed |= is_closed;
            self.progress(key.index, now, events);
        }
    }

    /// Whether some connections wait for their next turn.
    pub(crate) fn has_turns(&self) -> bool {
        !self.turns.is_empty()
    }

    /// Connections whose next turn it is.
    pub(crate) fn take_turns(&mut self) -> BTreeSet<ConnectionKey> {
        std::mem::take(&mut self.turns)
    }

    /// Makes the next turn of a connection.
    pub(crate) fn take_turn(
        &mut self,
        key: ConnectionKey,
        now: Instant,
        events: &mut Vec<ClientEvent>,
    ) {
        if self.current(key).is_some() {
            self.progress(key.index, now, events);
        }
    }

    /// Answers a request.
    pub(crate) fn respond(&mut self, client: ClientId, response: Response, now: Instant) {
        let Some(index) = self.by_client.remove(&client) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let is_long = response.body.len() >= MIN_CHECKED_BYTES;
        connection.answer(response, self.stopping, now);
        connection.shut_down_if_answered(now);
        connection.charge();
        if connection.phase() == Phase::Idle && !connection.stream.input.is_empty() {
            self.add_turn(index);
        } else {
            self.add_turn_if_unread(index);
        }
        if is_long {
            self.drop_stalled_clients(self.memory.excess(), Duration::ZERO, Some(index), now);
        }
    }

    fn current(&mut self, key: ConnectionKey) -> Option<&mut Connection<S>> {
        let connection = self.connections.get_mut(key.index)?;
        (connection.generation == key.generation).then_some(connection)
    }

    fn add_turn(&mut self, index: usize) {
        if let Some(connection) = self.connections.get(index) {
            self.turns.insert(ConnectionKey {
                index,
                generation: connection.generation,
            });
        }
    }

    fn add_turn_if_unread(&mut self, index: usize) {
        let limits = self.limits;
        let connection = self.connections.get(index);
        if connection.is_some_and(|connection| connection.needs_turn(limits)) {
            self.add_turn(index);
        }
    }

    fn progress(&mut self, index: usize, now: Instant, events: &mut Vec<ClientEvent>) {
        self.advance(index, now, events);
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        connection.charge();
        let is_long = connection.stream.input.len() >= MIN_CHECKED_BYTES;
        if is_long && connection.phase() == Phase::Head {
            self.drop_partial_heads();
        }
        self.add_turn_if_unread(index);
    }

    fn advance(&mut self, index: usize, now: Instant, events: &mut Vec<ClientEvent>) {
        let limits = self.limits;
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        connection.flush(now);
        connection.fill(limits);
        if connection.has_left() {
            self.remove(index, events);
            return;
        }
        connection.shut_down_if_answered(now);
        if matches!(connection.phase(), Phase::Idle | Phase::Head | Phase::Body) {
            self.read_request(index, now, events);
        }
    }

    fn remove(&mut self, index: usize, events: &mut Vec<ClientEvent>) {
        let connection = self.connections.remove(index);
        if let Some(client) = connection.open {
            self.by_client.remove(&client);
            events.push(ClientEvent::Disconnected { client });
        }
    }

    fn read_request(&mut self, index: usize, now: Instant, events: &mut Vec<ClientEvent>) {
        let limits = self.limits;
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let limits = connection.request_limits(limits);
        let progress = match connection.reader.read(&mut connection.stream.input, limits) {
            Ok(progress) => progress,
            Err(error) => {
                connection.reject(error, now);
                connection.shut_down_if_answered(now);
                return;
            }
        };
        connection.stream.shrink_input();
        match progress {
            RequestProgress::Idle => {}
            RequestProgress::Partial | RequestProgress::ExpectsContinue => {
                connection.begin_receiving(now);
                if self.must_refuse(index) {
                    self.discard_body(index, events);
                    return;
                }
                self.admit_body(index);
                if progress == RequestProgress::ExpectsContinue {
                    self.send_continue(index);
                }
            }
            RequestProgress::Complete(request) => self.take_request(index, request, events),
        }
    }

    /// Whether there is no memory for the request that is being read, or was just read.
    fn must_refuse(&mut self, index: usize) -> bool {
        let Some(connection) = self.connections.get_mut(index) else {
            return false;
        };
        connection.charge();
        if connection.is_admitted || connection.endpoint == Endpoint::Status {
            return false;
        }
        let bytes = connection.reader.reserved_bytes() + connection.open_bytes;
        bytes >= MIN_CHECKED_BYTES && !self.memory.admits(bytes)
    }

    /// Admits the body that is being read if its length is known, so that all of it counts as
    /// buffered already. A body of unknown length is checked again as it grows.
    fn admit_body(&mut self, index: usize) {
        if let Some(connection) = self.connections.get_mut(index) {
            let reader = &connection.reader;
            connection.is_admitted = reader.is_reading_body() && !reader.has_unknown_length();
        }
    }

    /// Answers `Expect: 100-continue`.
    fn send_continue(&mut self, index: usize) {
        if let Some(connection) = self.connections.get_mut(index) {
            let output = connection.stream.output();
            output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            connection.stream.flush();
        }
    }

    /// Discards the part of a body that has arrived, and refuses its request.
    fn discard_body(&mut self, index: usize, events: &mut Vec<ClientEvent>) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        if let Some(request) = connection.reader.discard_body() {
            self.refuse_body(index, request, events);
        }
    }

    fn take_request(&mut self, index: usize, mut request: Request, events: &mut Vec<ClientEvent>) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        connection.open_bytes = request.memory_bytes();
        if self.must_refuse(index) {
            request.body = Vec::new();
            self.refuse_body(index, request, events);
            return;
        }
        let Some((client, connection)) = self.open_request(index, &request) else {
            return;
        };
        connection.close_after_answer = request.headers.has_token("connection", "close");
        events.push(ClientEvent::Request {
            client,
            endpoint: connection.endpoint,
            source: connection.source,
            request,
        });
    }

    /// Reports a request without its body. The connection closes after the answer, since
    /// bytes of the body may follow.
    fn refuse_body(&mut self, index: usize, request: Request, events: &mut Vec<ClientEvent>) {
        let Some((client, connection)) = self.open_request(index, &request) else {
            return;
        };
        connection.open_bytes = 0;
        connection.close_after_answer = true;
        connection.stream.input = Vec::new();
        events.push(ClientEvent::RequestWithoutBody { client, request });
    }

    fn open_request(
        &mut self,
        index: usize,
        request: &Request,
    ) -> Option<(ClientId, &mut Connection<S>)> {
        let connection = self.connections.get_mut(index)?;
        self.last_client += 1;
        let client = ClientId(self.last_client);
        self.by_client.insert(client, index);
        connection.open(client, request);
        Some((client, connection))
    }
}

#[cfg(test)]
impl<S: Socket> Inbound<S> {
    /// Lets further connections read as much beyond an open request.
    pub(crate) fn set_read_ahead(&mut self, bytes: usize) {
        self.read_ahead = bytes;
    }

    /// The number of connections, counted one by one.
    pub(crate) fn connections(&self, endpoint: Endpoint) -> usize {
        let connections = self.connections.iter();
        connections
            .filter(|(_, connection)| connection.endpoint == endpoint)
            .count()
    }

    /// Memory that all connections take, in bytes, added up.
    pub(crate) fn buffered_bytes(&self) -> usize {
        let connections = self.connections.iter();
        connections
            .map(|(_, connection)| connection.buffered_bytes())
            .sum()
    }
}

#[cfg(test)]
#[path = "../tests/inbound.rs"]
mod tests;

#[cfg(test)]
#[path = "../tests/clients/mod.rs"]
mod client_tests;
