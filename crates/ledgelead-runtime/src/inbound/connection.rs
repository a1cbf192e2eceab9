//! A client's connection: what it has sent, the request that is open, and the answer that is
//! being written.

use super::credit::{self, Phase};
use crate::endpoint::Endpoint;
use crate::memory::{Account, Charge, Memory};
use crate::stream::{Socket, Stream};
use ledgelead_http::{
    Request, RequestError, RequestLimits, RequestReader, Response, has_body, write_response,
};
use ledgelead_router::configuration::ClientLimits;
use ledgelead_router::io::ClientId;
use std::net::IpAddr;
use std::time::Instant;

/// Bytes by which a request of another node may exceed the longest body of a client: it wraps
/// a client's request with its head.
const WRAPPING_BYTES: usize = 4_096;

pub(super) struct Connection<S> {
    pub(super) generation: u64,
    pub(super) endpoint: Endpoint,
    /// The client's address.
    pub(super) source: IpAddr,
    pub(super) stream: Stream<S>,
    pub(super) reader: RequestReader,
    /// The request that is not answered yet.
    pub(super) open: Option<ClientId>,
    /// Memory that the open request takes, which is kept until it is answered, in bytes.
    pub(super) open_bytes: usize,
    /// Whether the body that is being read was admitted. Its whole length is known and counts
    /// as buffered from then on, so it isn't refused because of bytes that arrive later.
    pub(super) is_admitted: bool,
    /// When bytes of an answer were written last, or when the answer began.
    pub(super) last_write: Instant,
    pub(super) to_head_request: bool,
    pub(super) close_after_answer: bool,
    /// When this side shut down its direction of the connection.
    pub(super) shut_down_at: Option<Instant>,
    /// When the current request began, or when the connection became idle.
    pub(super) state_since: Instant,
    pub(super) receiving: bool,
    /// Whether the client has closed its direction, perhaps behind bytes that are not read.
    pub(super) is_closed: bool,
    /// Bytes that are read beyond an open request.
    read_ahead: usize,
    buffered: Charge,
    unsent: Charge,
    /// Counts the connection while it is open.
    _place: Charge,
}

impl<S: Socket> Connection<S> {
    pub(super) fn new(
        generation: u64,
        (endpoint, source): (Endpoint, IpAddr),
        stream: Stream<S>,
        read_ahead: usize,
        memory: &Memory,
        open: &Account,
        now: Instant,
    ) -> Connection<S> {
        let mut place = open.open();
        place.set(1);
        Connection {
            generation,
            endpoint,
            source,
            stream,
            reader: RequestReader::default(),
            open: None,
            open_bytes: 0,
            is_admitted: false,
            last_write: now,
            to_head_request: false,
            close_after_answer: false,
            shut_down_at: None,
            state_since: now,
            receiving: false,
            is_closed: false,
            read_ahead,
            buffered: memory.buffers.open(),
            unsent: memory.unsent.open(),
            _place: place,
        }
    }

    /// Memory that the connection takes, in bytes.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.stream.buffered_bytes() + self.reader.reserved_bytes() + self.open_bytes
    }

    /// Charges the present sizes of the buffers.
    pub(super) fn charge(&mut self) {
        self.buffered.set(self.buffered_bytes());
        self.unsent.set(self.stream.unsent_bytes());
    }

    /// What the connection is doing.
    pub(super) fn phase(&self) -> Phase {
        if self.shut_down_at.is_some() {
            Phase::ShutDown
        } else if self.open.is_some() {
            Phase::Open
        } else if !self.stream.is_flushed() || self.close_after_answer {
            Phase::Answering
        } else if self.reader.is_reading_body() {
            Phase::Body
        } else if self.receiving {
            Phase::Head
        } else {
            Phase::Idle
        }
    }

    /// Reads as much as the connection has credit for.
    pub(super) fn fill(&mut self, limits: ClientLimits) {
        if self.stream.has_unread() {
            self.stream.fill(self.max_input(limits));
        }
    }

    /// Whether the client has left. A close behind bytes without credit counts at once, since
    /// they are not read.
    pub(super) fn has_left(&self) -> bool {
        let is_out_of_credit = self.stream.has_unread() && self.phase() != Phase::Body;
        self.stream.end().is_some() || (self.is_closed && is_out_of_credit)
    }

    /// Whether a further turn may make progress without an event of the poller.
    pub(super) fn needs_turn(&self, limits: ClientLimits) -> bool {
        let has_credit = self.stream.input.len() < self.max_input(limits);
        self.stream.end().is_none() && self.stream.has_unread() && has_credit
    }

    fn max_input(&self, limits: ClientLimits) -> usize {
        let limits = self.request_limits(limits);
        credit::max_input(self.phase(), self.read_ahead, limits)
    }

    pub(super) fn request_limits(&self, limits: ClientLimits) -> RequestLimits {
        let max_body_bytes = match self.endpoint {
            Endpoint::Clients => limits.max_body_bytes,
            Endpoint::Peers => limits
                .max_body_bytes
                .saturating_add(limits.max_head_bytes)
                .saturating_add(WRAPPING_BYTES),
            Endpoint::Status => 0,
        };
        RequestLimits {
            max_head_bytes: limits.max_head_bytes,
            max_body_bytes,
        }
    }

    pub(super) fn flush(&mut self, now: Instant) {
        let before = self.stream.unsent_bytes();
        self.stream.flush();
        if self.stream.unsent_bytes() < before {
            self.last_write = now;
        }
    }

    pub(super) fn begin_receiving(&mut self, now: Instant) {
        if !self.receiving {
            self.receiving = true;
            self.state_since = now;
        }
    }

    /// Opens a request.
    pub(super) fn open(&mut self, client: ClientId, request: &Request) {
        self.receiving = false;
        self.is_admitted = false;
        self.open = Some(client);
        self.to_head_request = request.method == "HEAD";
    }

    /// Begins to write the answer to the open request.
    pub(super) fn answer(&mut self, response: Response, close: bool, now: Instant) {
        let close = close || self.close_after_answer;
        write_response(&response, close, true, self.stream.output());
        if !self.to_head_request && has_body(response.status) {
            self.stream.send_body(response.body);
        }
        self.open = None;
        self.open_bytes = 0;
        self.close_after_answer = close;
        self.state_since = now;
        self.last_write = now;
        self.flush(now);
    }

    pub(super) fn reject(&mut self, error: RequestError, now: Instant) {
        let response = Response::new(error.status(), Vec::new());
        self.receiving = false;
        self.answer(response, true, now);
    }

    /// Shuts down this direction of a connection that is to be closed, once its last answer is
    /// written.
    pub(super) fn shut_down_if_answered(&mut self, now: Instant) {
        let is_answered = self.open.is_none() && self.stream.is_flushed();
        if is_answered && self.close_after_answer && self.shut_down_at.is_none() {
            self.stream.shut_down_output();
            self.shut_down_at = Some(now);
        }
        if self.shut_down_at.is_some() {
            self.stream.input = Vec::new();
        }
    }
}
