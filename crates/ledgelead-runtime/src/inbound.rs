//! Connections of clients.

use crate::endpoint::Endpoint;
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
        events: &mut Vec<ClientEvent>,
    ) {
        let current = self
            .connections
            .get(key.index)
            .is_some_and(|connection| connection.generation == key.generation);
        if current {
            self.progress(key.index, now, events);
        }
    }

    /// Answers a request.
    pub(crate) fn respond(
        &mut self,
        client: ClientId,
        response: &Response,
        now: Instant,
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
        connection.close_after_answer = close;
        connection.since = now;
        self.progress(index, now, events);
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
    pub(crate) fn sweep(&mut self, now: Instant) {
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

    fn progress(&mut self, index: usize, now: Instant, events: &mut Vec<ClientEvent>) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        connection.stream.fill();
        connection.stream.flush();
        if connection.stream.end().is_some() {
            let connection = self.connections.remove(index);
            if let Some(client) = connection.open {
                self.by_client.remove(&client);
                events.push(ClientEvent::Left { client });
            }
            return;
        }
        if connection.ended.is_some() {
            connection.stream.input.clear();
        } else if connection.open.is_none() && connection.close_after_answer {
            connection.end_once_flushed(now);
        } else if connection.open.is_none() {
            self.read_request(index, now, events);
        }
    }

    fn read_request(&mut self, index: usize, now: Instant, events: &mut Vec<ClientEvent>) {
        let limits = RequestLimits {
            max_head_bytes: self.limits.max_head_bytes,
            max_body_bytes: self.limits.max_body_bytes,
        };
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        match connection.reader.read(&mut connection.stream.input, limits) {
            Ok(RequestProgress::Idle) => {}
            Ok(RequestProgress::Partial) => connection.begin_receiving(now),
            Ok(RequestProgress::ExpectsContinue) => {
                connection.begin_receiving(now);
                connection
                    .stream
                    .output()
                    .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                connection.stream.flush();
            }
            Ok(RequestProgress::Complete(request)) => {
                self.last_client += 1;
                let client = ClientId(self.last_client);
                connection.receiving = false;
                connection.open = Some(client);
                connection.to_head_request = request.method == "HEAD";
                connection.close_after_answer = request.headers.has_token("connection", "close");
                let endpoint = connection.endpoint;
                let source = connection.source;
                self.by_client.insert(client, index);
                events.push(ClientEvent::Request {
                    client,
                    endpoint,
                    source,
                    request,
                });
            }
            Err(error) => connection.reject(error, now),
        }
    }
}

impl Connection {
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
        if self.receiving && !self.reader.reads_body() {
            return age >= limits.head_timeout;
        }
        age >= limits.idle_timeout
    }
}
