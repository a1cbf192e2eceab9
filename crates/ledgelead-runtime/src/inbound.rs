//! Inbound connections: requests of clients, of status probes and of other nodes.

use crate::endpoint::Endpoint;
use crate::memory::{MIN_CHECKED_BYTES, MemoryBudget};
use crate::outbound::ConnectionKey;
use crate::stream::Stream;
use ledgelead_http::{
    Request, RequestError, RequestLimits, RequestProgress, RequestReader, Response, write_response,
};
use ledgelead_router::configuration::ClientLimits;
use ledgelead_router::io::ClientId;
use slab::Slab;
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// How long a connection stays open after this side has shut down its direction, to wait for
/// the client's close. Closing earlier could cut off the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes by which a request of another node may exceed the longest body of a client: it wraps
/// a client's request with its head.
const WRAPPING_BYTES: usize = 4_096;
/// If memory is short, a client that has accepted no byte of its answer for this long is
/// disconnected. Retransmissions over a lossy link take only a part of this time.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(1);

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

struct Connection {
    generation: u64,
    endpoint: Endpoint,
    /// The client's address.
    source: IpAddr,
    stream: Stream,
    reader: RequestReader,
    /// The request that is not answered yet.
    open: Option<ClientId>,
    /// Length of the body of the open request, which is kept until it is answered.
    open_body_bytes: usize,
    /// Whether the body that is being read was admitted. Its whole length is known and counts
    /// as buffered from then on, so it isn't refused because of bytes that arrive later.
    is_admitted: bool,
    /// When bytes of an answer were written last, or when the answer began.
    last_write: Instant,
    to_head_request: bool,
    close_after_answer: bool,
    /// When this side shut down its direction of the connection.
    shut_down_at: Option<Instant>,
    /// When the current request began, or when the connection became idle.
    state_since: Instant,
    receiving: bool,
}

/// All inbound connections.
#[derive(Default)]
pub(crate) struct Inbound {
    connections: Slab<Connection>,
    by_client: HashMap<ClientId, usize>,
    /// Connections that may have more bytes than were read.
    unread: BTreeSet<ConnectionKey>,
    last_generation: u64,
    last_client: u64,
    limits: ClientLimits,
    stopping: bool,
    dropped_clients: u64,
}

impl Inbound {
    /// Replaces the limits of requests and connections.
    pub(crate) fn set_limits(&mut self, limits: ClientLimits) {
        self.limits = limits;
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
    pub(crate) fn accepted(
        &mut self,
        stream: MioSource<TcpStream>,
        source: IpAddr,
        endpoint: Endpoint,
        now: Instant,
    ) {
        self.last_generation += 1;
        let _ = stream.set_nodelay(true);
        self.connections.insert(Connection {
            generation: self.last_generation,
            endpoint,
            source,
            stream: Stream::new(stream),
            reader: RequestReader::default(),
            open: None,
            open_body_bytes: 0,
            is_admitted: false,
            last_write: now,
            to_head_request: false,
            close_after_answer: false,
            shut_down_at: None,
            state_since: now,
            receiving: false,
        });
    }

    /// Handles the readiness of a connection's socket.
    pub(crate) fn ready(
        &mut self,
        key: ConnectionKey,
        now: Instant,
        budget: MemoryBudget<'_>,
        events: &mut Vec<ClientEvent>,
    ) {
        let current = self
            .connections
            .get(key.index)
            .is_some_and(|connection| connection.generation == key.generation);
        if current {
            self.progress(key.index, now, budget, events);
        }
    }

    /// Whether some connections may have more bytes than were read.
    pub(crate) fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Connections that may have more bytes than were read since the last call.
    pub(crate) fn take_unread(&mut self) -> BTreeSet<ConnectionKey> {
        std::mem::take(&mut self.unread)
    }

    /// Bytes of memory that requests of clients and answers to them take.
    pub(crate) fn buffered_bytes(&self) -> usize {
        let connections = self.connections.iter();
        connections
            .map(|(_, connection)| connection.buffered_bytes())
            .sum()
    }

    /// Number of clients that were disconnected because they did not read their answer.
    pub(crate) fn dropped_clients(&self) -> u64 {
        self.dropped_clients
    }

    /// Answers a request.
    pub(crate) fn respond(
        &mut self,
        client: ClientId,
        response: &Response,
        now: Instant,
        budget: MemoryBudget<'_>,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(index) = self.by_client.remove(&client) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let close = connection.close_after_answer || self.stopping;
        let to_head = connection.to_head_request;
        write_response(response, close, to_head, connection.stream.output());
        connection.open = None;
        connection.open_body_bytes = 0;
        connection.close_after_answer = close;
        connection.state_since = now;
        connection.last_write = now;
        self.progress(index, now, budget, events);
        if response.body.len() >= MIN_CHECKED_BYTES {
            self.drop_stalled_clients(Duration::ZERO, Some(index), now, budget);
        }
    }

    /// While the buffers exceed the memory budget, disconnects clients that have accepted no
    /// byte of their answers for `min_stall`, the longest stalled first. The connection that
    /// was just answered is exempt. Answers within the share that is reserved for answers
    /// are never dropped to make room for bodies.
    fn drop_stalled_clients(
        &mut self,
        min_stall: Duration,
        answered: Option<usize>,
        now: Instant,
        budget: MemoryBudget<'_>,
    ) {
        let mut excess = budget.excess(|| self.buffered_bytes());
        if excess == 0 {
            return;
        }
        let unsent = self.connections.iter();
        let unsent: usize = unsent
            .map(|(_, connection)| connection.stream.unsent_bytes())
            .sum();
        excess = excess.min(unsent.saturating_sub(budget.response_reserve()));
        let mut stalled: Vec<(Instant, usize)> = self
            .connections
            .iter()
            .filter(|(index, _)| Some(*index) != answered)
            .filter(|(_, connection)| connection.is_stalled(min_stall, now))
            .map(|(index, connection)| (connection.last_write, index))
            .collect();
        stalled.sort_unstable();
        for (_, index) in stalled {
            if excess == 0 {
                return;
            }
            let connection = self.connections.remove(index);
            connection.stream.reset_on_close();
            excess = excess.saturating_sub(connection.buffered_bytes());
            self.dropped_clients += 1;
            log::warn!(target: "runtime", "memory limit reached: disconnected {}, which does not read its answer", connection.source);
        }
    }

    /// Closes the connections of clients without an open request. If a request arrives at the
    /// same time, the client gets no answer and can tell that it was not read.
    pub(crate) fn close_idle(&mut self) {
        let idle: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                connection.endpoint == Endpoint::Clients
                    && connection.open.is_none()
                    && !connection.receiving
                    && connection.stream.is_flushed()
                    && connection.shut_down_at.is_none()
            })
            .map(|(index, _)| index)
            .collect();
        for index in idle {
            self.connections.remove(index);
        }
    }

    /// Closes connections that were idle, or sent no whole request, for too long, and drops
    /// stalled clients if memory is short.
    pub(crate) fn sweep(&mut self, now: Instant, budget: MemoryBudget<'_>) {
        self.drop_stalled_clients(WRITE_STALL_TIMEOUT, None, now, budget);
        let limits = self.limits;
        let timed_out: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.has_timed_out(limits, now))
            .map(|(index, _)| index)
            .collect();
        for index in timed_out {
            self.connections.remove(index);
        }
    }

    fn progress(
        &mut self,
        index: usize,
        now: Instant,
        budget: MemoryBudget<'_>,
        events: &mut Vec<ClientEvent>,
    ) {
        self.advance(index, now, budget, events);
        if let Some(connection) = self.connections.get(index)
            && connection.stream.has_unread()
        {
            self.unread.insert(ConnectionKey {
                index,
                generation: connection.generation,
            });
        }
    }

    fn advance(
        &mut self,
        index: usize,
        now: Instant,
        budget: MemoryBudget<'_>,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        connection.stream.fill();
        connection.flush(now);
        if self.pipelines_too_much(index, budget) {
            self.reset_pipelining_client(index, events);
            return;
        }
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        if connection.stream.end().is_some() {
            self.remove(index, events);
            return;
        }
        if connection.shut_down_at.is_some() {
            connection.stream.input.clear();
        } else if connection.open.is_none() && connection.close_after_answer {
            connection.shut_down_once_flushed(now);
        } else if connection.open.is_none() {
            self.read_request(index, now, budget, events);
        }
    }

    /// Whether a client has sent more than one largest request beyond its open request while
    /// memory is short.
    fn pipelines_too_much(&self, index: usize, budget: MemoryBudget<'_>) -> bool {
        let Some(connection) = self.connections.get(index) else {
            return false;
        };
        let limits = self.limits;
        let longest = limits.max_head_bytes.saturating_add(limits.max_body_bytes);
        let is_ahead = connection.open.is_some() && connection.stream.input.len() > longest;
        is_ahead && budget.excess(|| self.buffered_bytes()) > 0
    }

    fn reset_pipelining_client(&mut self, index: usize, events: &mut Vec<ClientEvent>) {
        if let Some(connection) = self.connections.get(index) {
            connection.stream.reset_on_close();
            let source = connection.source;
            log::warn!(target: "runtime", "memory limit reached: disconnected {source}, which sends ahead of its answer");
        }
        self.remove(index, events);
    }

    fn remove(&mut self, index: usize, events: &mut Vec<ClientEvent>) {
        let connection = self.connections.remove(index);
        if let Some(client) = connection.open {
            self.by_client.remove(&client);
            events.push(ClientEvent::Disconnected { client });
        }
    }

    fn read_request(
        &mut self,
        index: usize,
        now: Instant,
        budget: MemoryBudget<'_>,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let wrapping = match connection.endpoint {
            Endpoint::Peers => self.limits.max_head_bytes.saturating_add(WRAPPING_BYTES),
            Endpoint::Clients | Endpoint::Status => 0,
        };
        let limits = RequestLimits {
            max_head_bytes: self.limits.max_head_bytes,
            max_body_bytes: self.limits.max_body_bytes.saturating_add(wrapping),
        };
        let progress = match connection.reader.read(&mut connection.stream.input, limits) {
            Ok(progress) => progress,
            Err(error) => {
                connection.reject(error, now);
                return;
            }
        };
        connection.stream.shrink_input();
        match progress {
            RequestProgress::Idle => {}
            RequestProgress::Partial | RequestProgress::ExpectsContinue => {
                connection.begin_receiving(now);
                if self.must_refuse_body(index, budget) {
                    self.discard_body(index, events);
                    return;
                }
                self.admit_body(index);
                if progress == RequestProgress::ExpectsContinue {
                    self.send_continue(index);
                }
            }
            RequestProgress::Complete(request) => {
                self.take_request(index, request, budget, events);
            }
        }
    }

    /// Whether the body that is being read, or was just read, exceeds the memory budget.
    fn must_refuse_body(&self, index: usize, budget: MemoryBudget<'_>) -> bool {
        let Some(connection) = self.connections.get(index) else {
            return false;
        };
        if connection.is_admitted {
            return false;
        }
        let body = connection.reader.reserved_bytes() + connection.open_body_bytes;
        let is_status = connection.endpoint == Endpoint::Status;
        let is_checked = !is_status && body >= MIN_CHECKED_BYTES;
        is_checked
            && !budget.admits(|| self.buffered_bytes())
            && !budget.is_nearly_empty(|| self.buffered_bytes() - body)
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

    fn take_request(
        &mut self,
        index: usize,
        mut request: Request,
        budget: MemoryBudget<'_>,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        connection.open_body_bytes = request.body.len();
        if self.must_refuse_body(index, budget) {
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
        connection.open_body_bytes = 0;
        connection.close_after_answer = true;
        connection.stream.input = Vec::new();
        events.push(ClientEvent::RequestWithoutBody { client, request });
    }

    fn open_request(
        &mut self,
        index: usize,
        request: &Request,
    ) -> Option<(ClientId, &mut Connection)> {
        let connection = self.connections.get_mut(index)?;
        self.last_client += 1;
        let client = ClientId(self.last_client);
        self.by_client.insert(client, index);
        connection.receiving = false;
        connection.is_admitted = false;
        connection.open = Some(client);
        connection.to_head_request = request.method == "HEAD";
        Some((client, connection))
    }
}

impl Connection {
    fn buffered_bytes(&self) -> usize {
        self.stream.buffered_bytes() + self.reader.reserved_bytes() + self.open_body_bytes
    }

    fn flush(&mut self, now: Instant) {
        let before = self.stream.unsent_bytes();
        self.stream.flush();
        if self.stream.unsent_bytes() < before {
            self.last_write = now;
        }
    }

    /// Whether an answer is not completely written, and no byte of it was written for this
    /// time.
    fn is_stalled(&self, time: Duration, now: Instant) -> bool {
        let is_unsent = self.open.is_none() && !self.stream.is_flushed();
        is_unsent && now.duration_since(self.last_write) >= time
    }

    fn begin_receiving(&mut self, now: Instant) {
        if !self.receiving {
            self.receiving = true;
            self.state_since = now;
        }
    }

    fn reject(&mut self, error: RequestError, now: Instant) {
        let response = Response::new(error.status(), Vec::new());
        write_response(&response, true, false, self.stream.output());
        self.stream.flush();
        self.receiving = false;
        self.close_after_answer = true;
        self.shut_down_once_flushed(now);
    }

    fn shut_down_once_flushed(&mut self, now: Instant) {
        if self.stream.is_flushed() {
            self.stream.shut_down_output();
            self.stream.input.clear();
            self.shut_down_at = Some(now);
        }
    }

    fn has_timed_out(&self, limits: ClientLimits, now: Instant) -> bool {
        if let Some(shut_down_at) = self.shut_down_at {
            return now.duration_since(shut_down_at) >= CLOSE_TIMEOUT;
        }
        let age = now.duration_since(self.state_since);
        if self.open.is_some() {
            return false;
        }
        if self.receiving && !self.reader.is_reading_body() {
            return age >= limits.head_timeout;
        }
        age >= limits.idle_timeout
    }
}

#[cfg(test)]
#[path = "../tests/inbound.rs"]
mod tests;
