//! Connections of clients.

use crate::endpoint::Endpoint;
use crate::memory::{CHECKED_BYTES, MemoryBudget};
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
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// How long a connection that this side has ended waits for the other side's
/// end: to close it earlier could cut off the last answer.
const LINGER: Duration = Duration::from_secs(1);
/// Time in which a client that takes nothing of its answer loses it where memory is short.
/// A retransmission over a lossy link takes a part of that.
const STALLED: Duration = Duration::from_secs(1);

/// What happened on a client's connection.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// A request came.
    Request {
        client: ClientId,
        endpoint: Endpoint,
        source: IpAddr,
        request: Request,
    },
    /// A request came whose body is not read, since there is no memory for it.
    Unread { client: ClientId, request: Request },
    /// The client closed while its request was open.
    Left { client: ClientId },
}

struct Connection {
    generation: u64,
    endpoint: Endpoint,
    /// The client's address.
    source: IpAddr,
    stream: Stream,
    reader: RequestReader,
    open: Option<ClientId>,
    /// Length of the body of the open request, which is kept until it is answered.
    open_bytes: usize,
    /// Whether a body of known length was let in: its memory is counted since, so that it
    /// isn't refused for what came later.
    is_admitted: bool,
    /// When bytes of an answer were taken last, or the answer began.
    wrote_at: Instant,
    to_head_request: bool,
    close_after_answer: bool,
    /// When this side ended the connection.
    ended: Option<Instant>,
    /// Since when nothing is asked, or when the current request began.
    since: Instant,
    receiving: bool,
}

/// All connections of clients.
#[derive(Default)]
pub(crate) struct Inbound {
    connections: Slab<Connection>,
    by_client: HashMap<ClientId, usize>,
    last_generation: u64,
    last_client: u64,
    limits: ClientLimits,
    stopping: bool,
    dropped: u64,
}

impl Inbound {
    /// From now on these bounds hold.
    pub(crate) fn set_limits(&mut self, limits: ClientLimits) {
        self.limits = limits;
    }

    /// From now on each answer ends its connection.
    pub(crate) fn begin_stopping(&mut self) {
        self.stopping = true;
    }

    /// Whether some request is being received or answered.
    pub(crate) fn is_busy(&self) -> bool {
        self.connections.iter().any(|(_, connection)| {
            let client = connection.endpoint == Endpoint::Clients;
            let flushing = !connection.stream.is_flushed();
            client && (connection.open.is_some() || connection.receiving || flushing)
        })
    }

    /// The key that the next connection will have.
    pub(crate) fn next_key(&self) -> ConnectionKey {
        ConnectionKey {
            index: self.connections.vacant_key(),
            generation: self.last_generation + 1,
        }
    }

    /// A connection was accepted.
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
            open_bytes: 0,
            is_admitted: false,
            wrote_at: now,
            to_head_request: false,
            close_after_answer: false,
            ended: None,
            since: now,
            receiving: false,
        });
    }

    /// A socket is ready.
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

    /// Bytes of memory that requests of clients and answers to them take.
    pub(crate) fn held(&self) -> usize {
        let connections = self.connections.iter();
        connections.map(|(_, connection)| connection.held()).sum()
    }

    /// Clients whose answer was given up, since they didn't read it.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped
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
        connection.open_bytes = 0;
        connection.close_after_answer = close;
        connection.since = now;
        connection.wrote_at = now;
        self.progress(index, now, budget, events);
        if response.body.len() >= CHECKED_BYTES {
            self.relieve(Duration::ZERO, Some(index), now, budget);
        }
    }

    /// Closes connections of clients that have taken nothing of their answers for some
    /// time, the slowest first, until what is held is within the bound; but for one that was
    /// just answered. Answers that fit their own share are never given up for bodies.
    fn relieve(
        &mut self,
        stalled: Duration,
        answered: Option<usize>,
        now: Instant,
        budget: MemoryBudget<'_>,
    ) {
        let mut excess = budget.excess(|| self.held());
        if excess == 0 {
            return;
        }
        let unsent = self.connections.iter();
        let unsent: usize = unsent
            .map(|(_, connection)| connection.stream.unsent())
            .sum();
        excess = excess.min(unsent.saturating_sub(budget.response_reserve()));
        let mut slow: Vec<(Instant, usize)> = self
            .connections
            .iter()
            .filter(|(index, _)| Some(*index) != answered)
            .filter(|(_, connection)| connection.is_stalled(stalled, now))
            .map(|(index, connection)| (connection.wrote_at, index))
            .collect();
        slow.sort_unstable();
        for (_, index) in slow {
            if excess == 0 {
                return;
            }
            let connection = self.connections.remove(index);
            connection.stream.reset_on_close();
            excess = excess.saturating_sub(connection.held());
            self.dropped += 1;
            log::warn!(target: "runtime", "memory is short: {} doesn't read its answer", connection.source);
        }
    }

    /// Ends the connections of clients that ask nothing now. A request that
    /// crosses the end was never read, which its client can tell.
    pub(crate) fn end_unused(&mut self) {
        let unused: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                connection.endpoint == Endpoint::Clients
                    && connection.open.is_none()
                    && !connection.receiving
                    && connection.stream.is_flushed()
                    && connection.ended.is_none()
            })
            .map(|(index, _)| index)
            .collect();
        for index in unused {
            self.connections.remove(index);
        }
    }

    /// Closes what has been idle, or incomplete, for too long.
    pub(crate) fn sweep(&mut self, now: Instant, budget: MemoryBudget<'_>) {
        self.relieve(STALLED, None, now, budget);
        let limits = self.limits;
        let over: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_overdue(limits, now))
            .map(|(index, _)| index)
            .collect();
        for index in over {
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
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        connection.stream.fill();
        connection.flush(now);
        if self.sends_too_far_ahead(index, budget) {
            self.cut_off(index, events);
            return;
        }
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        if connection.stream.end().is_some() {
            self.remove(index, events);
            return;
        }
        if connection.ended.is_some() {
            connection.stream.input.clear();
        } else if connection.open.is_none() && connection.close_after_answer {
            connection.end_once_flushed(now);
        } else if connection.open.is_none() {
            self.read_request(index, now, budget, events);
        }
    }

    /// Whether a client fills the memory with what is to follow its open request.
    fn sends_too_far_ahead(&self, index: usize, budget: MemoryBudget<'_>) -> bool {
        let Some(connection) = self.connections.get(index) else {
            return false;
        };
        let limits = self.limits;
        let longest = limits.max_head_bytes.saturating_add(limits.max_body_bytes);
        let is_ahead = connection.open.is_some() && connection.stream.input.len() > longest;
        is_ahead && budget.excess(|| self.held()) > 0
    }

    fn cut_off(&mut self, index: usize, events: &mut Vec<ClientEvent>) {
        if let Some(connection) = self.connections.get(index) {
            connection.stream.reset_on_close();
            let source = connection.source;
            log::warn!(target: "runtime", "memory is short: {source} sends ahead of its answer");
        }
        self.remove(index, events);
    }

    fn remove(&mut self, index: usize, events: &mut Vec<ClientEvent>) {
        let connection = self.connections.remove(index);
        if let Some(client) = connection.open {
            self.by_client.remove(&client);
            events.push(ClientEvent::Left { client });
        }
    }

    fn read_request(
        &mut self,
        index: usize,
        now: Instant,
        budget: MemoryBudget<'_>,
        events: &mut Vec<ClientEvent>,
    ) {
        let limits = RequestLimits {
            max_head_bytes: self.limits.max_head_bytes,
            max_body_bytes: self.limits.max_body_bytes,
        };
        let Some(connection) = self.connections.get_mut(index) else {
            return;
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
                if self.lacks_memory(index, budget) {
                    self.discard_body(index, events);
                    return;
                }
                self.admit_body(index);
                if progress == RequestProgress::ExpectsContinue {
                    self.invite_body(index);
                }
            }
            RequestProgress::Complete(request) => {
                self.take_request(index, request, budget, events);
            }
        }
    }

    /// Whether a body that is being read, or was just read, doesn't fit.
    fn lacks_memory(&self, index: usize, budget: MemoryBudget<'_>) -> bool {
        let Some(connection) = self.connections.get(index) else {
            return false;
        };
        if connection.is_admitted {
            return false;
        }
        let body = connection.reader.reserved_bytes() + connection.open_bytes;
        let is_client = connection.endpoint == Endpoint::Clients;
        let is_checked = is_client && body >= CHECKED_BYTES;
        is_checked && !budget.admits(|| self.held()) && !budget.is_empty(|| self.held() - body)
    }

    /// From now on the body that is being read isn't refused, if all of it is counted.
    fn admit_body(&mut self, index: usize) {
        if let Some(connection) = self.connections.get_mut(index) {
            let reader = &connection.reader;
            connection.is_admitted = reader.is_reading_body() && !reader.has_unknown_length();
        }
    }

    /// The client is told to send the body that it holds back.
    fn invite_body(&mut self, index: usize) {
        if let Some(connection) = self.connections.get_mut(index) {
            let output = connection.stream.output();
            output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            connection.stream.flush();
        }
    }

    /// What has come of a body is dropped, and the rest is not read.
    fn discard_body(&mut self, index: usize, events: &mut Vec<ClientEvent>) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        if let Some(request) = connection.reader.discard_body() {
            self.refuse_unread(index, request, events);
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
        connection.open_bytes = request.body.len();
        if self.lacks_memory(index, budget) {
            request.body = Vec::new();
            self.refuse_unread(index, request, events);
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

    /// The connection ends after the answer, since bytes of the body may follow.
    fn refuse_unread(&mut self, index: usize, request: Request, events: &mut Vec<ClientEvent>) {
        let Some((client, connection)) = self.open_request(index, &request) else {
            return;
        };
        connection.open_bytes = 0;
        connection.close_after_answer = true;
        connection.stream.input = Vec::new();
        events.push(ClientEvent::Unread { client, request });
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
    fn held(&self) -> usize {
        self.stream.held() + self.reader.reserved_bytes() + self.open_bytes
    }

    fn flush(&mut self, now: Instant) {
        let before = self.stream.unsent();
        self.stream.flush();
        if self.stream.unsent() < before {
            self.wrote_at = now;
        }
    }

    /// Whether an answer is not written whole, and nothing of it was taken for this time.
    fn is_stalled(&self, time: Duration, now: Instant) -> bool {
        let is_unsent = self.open.is_none() && !self.stream.is_flushed();
        is_unsent && now.duration_since(self.wrote_at) >= time
    }

    fn begin_receiving(&mut self, now: Instant) {
        if !self.receiving {
            self.receiving = true;
            self.since = now;
        }
    }

    fn reject(&mut self, error: RequestError, now: Instant) {
        let response = Response::new(error.status(), Vec::new());
        write_response(&response, true, false, self.stream.output());
        self.stream.flush();
        self.receiving = false;
        self.close_after_answer = true;
        self.end_once_flushed(now);
    }

    fn end_once_flushed(&mut self, now: Instant) {
        if self.stream.is_flushed() {
            self.stream.shut_down_output();
            self.stream.input.clear();
            self.ended = Some(now);
        }
    }

    fn is_overdue(&self, limits: ClientLimits, now: Instant) -> bool {
        if let Some(ended) = self.ended {
            return now.duration_since(ended) >= LINGER;
        }
        let age = now.duration_since(self.since);
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
