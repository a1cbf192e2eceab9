//! A caller's connection and the inner connection to the HTTP server to which its
//! bytes are copied.

use super::progress::{ExceededLimit, RequestProgress};
use stakker_mio::mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Bytes buffered in each direction before reading pauses.
const BUFFER_BYTES: usize = 64 * 1024;
/// Bytes of a response that a caller must take within `caller_time` to be granted
/// another `caller_time`.
const MIN_PROGRESS: usize = 64 * 1024;

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct PairLimits {
    /// Limit of a request's header in bytes.
    pub max_header_bytes: usize,
    /// Limit of a request's body in bytes.
    pub max_body_bytes: usize,
    /// How long a caller may take to send a request, and to take each
    /// [`MIN_PROGRESS`] bytes of a response.
    pub caller_time: Duration,
    /// How long a connection may be without any traffic.
    pub idle_time: Duration,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PairCloseReason {
    /// The HTTP server closed and all its bytes were forwarded.
    Finished,
    /// The caller's connection failed.
    CallerDisconnected,
    /// The inner connection failed.
    ServerDisconnected,
    /// The caller takes its response too slowly.
    TooSlow,
    /// There was no traffic for too long.
    Idle,
}

/// Bytes read and not yet written, in one direction.
#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    sent: usize,
}

/// The outcome of one read.
enum ReadOutcome {
    Progress { count: usize },
    Blocked,
    Ended,
}

/// Readiness of one connection as reported by the poller. Events are
/// edge-triggered, so a connection is read until it is drained, and not again
/// before the next event.
#[derive(Clone, Copy, Debug)]
struct Readiness {
    /// Bytes may be available.
    readable: bool,
    /// The other end has closed; reading continues up to the end of the stream.
    closing: bool,
}

/// One of the two connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The caller's connection.
    Caller,
    /// The connection to the HTTP server.
    Inner,
}

/// The two connections and the bytes in transit between them.
pub struct ConnectionPair {
    /// The caller's connection.
    pub caller: TcpStream,
    /// The connection to the HTTP server.
    pub inner: TcpStream,
    to_inner: Buffer,
    to_caller: Buffer,
    progress: RequestProgress,
    limits: PairLimits,
    caller_ready: Readiness,
    inner_ready: Readiness,
    caller_ended: bool,
    inner_ended: bool,
    inner_write_closed: bool,
    /// Since when a request is incomplete.
    incomplete_since: Option<Instant>,
    /// Since when bytes for the caller are unsent, and how many were sent since.
    unsent_since: Option<Instant>,
    sent_since: usize,
    last_activity: Instant,
    /// Whether bytes were sent to the HTTP server.
    forwarded: bool,
    /// Whether the HTTP server ever answered on the inner connection.
    answered: bool,
    exceeded_limit: Option<ExceededLimit>,
}

impl Readiness {
    /// Readiness of a connection that was never read.
    fn new() -> Readiness {
        Readiness {
            readable: true,
            closing: false,
        }
    }

    fn record_event(&mut self, closing: bool) {
        self.readable = true;
        self.closing |= closing;
    }

    /// A read that did not fill its buffer has drained the socket; bytes that arrive
    /// later are announced by an event.
    fn after_read(&mut self, read: &io::Result<ReadOutcome>, capacity: usize) {
        self.readable = match read {
            Ok(ReadOutcome::Progress { count }) => self.closing || *count == capacity,
            _ => false,
        };
    }
}

impl Buffer {
    fn has_capacity(&self) -> bool {
        self.bytes.len() - self.sent < BUFFER_BYTES
    }

    fn is_empty(&self) -> bool {
        self.bytes.len() == self.sent
    }

    /// Reads once.
    fn fill(&mut self, source: &mut TcpStream, read_buffer: &mut [u8]) -> io::Result<ReadOutcome> {
        self.bytes.drain(..self.sent);
        self.sent = 0;
        match retry_interrupted(|| source.read(read_buffer)) {
            Ok(0) => Ok(ReadOutcome::Ended),
            Ok(count) => {
                self.bytes.extend_from_slice(&read_buffer[..count]);
                Ok(ReadOutcome::Progress { count })
            }
            Err(error) if would_block(&error) => Ok(ReadOutcome::Blocked),
            Err(error) => Err(error),
        }
    }

    /// Writes as much as the sink takes and returns the number of bytes.
    fn flush(&mut self, sink: &mut TcpStream) -> io::Result<usize> {
        let before = self.sent;
        while !self.is_empty() {
            match retry_interrupted(|| sink.write(&self.bytes[self.sent..])) {
                Ok(count) => self.sent += count,
                Err(error) if would_block(&error) => break,
                Err(error) => return Err(error),
            }
        }
        Ok(self.sent - before)
    }
}

impl ConnectionPair {
    /// A pair on which nothing was transferred yet.
    pub fn new(
        caller: TcpStream,
        inner: TcpStream,
        limits: PairLimits,
        now: Instant,
    ) -> ConnectionPair {
        ConnectionPair {
            caller,
            inner,
            to_inner: Buffer::default(),
            to_caller: Buffer::default(),
            progress: RequestProgress::new(limits.max_header_bytes, limits.max_body_bytes),
            limits,
            caller_ready: Readiness::new(),
            inner_ready: Readiness::new(),
            caller_ended: false,
            inner_ended: false,
            inner_write_closed: false,
            incomplete_since: None,
            unsent_since: None,
            sent_since: 0,
            last_activity: now,
            forwarded: false,
            answered: false,
            exceeded_limit: None,
        }
    }

    /// Records an event of the poller: the connection is readable, or its other end
    /// is `closing`.
    pub fn readable(&mut self, side: Side, closing: bool) {
        match side {
            Side::Caller => self.caller_ready.record_event(closing),
            Side::Inner => self.inner_ready.record_event(closing),
        }
    }

    /// Copies bytes in both directions until both block.
    pub fn pump(&mut self, now: Instant, read_buffer: &mut [u8]) -> Result<(), PairCloseReason> {
        loop {
            let inward = self.pump_inward(now, read_buffer)?;
            let outward = self.pump_outward(now, read_buffer)?;
            if inward || outward {
                self.last_activity = now;
                continue;
            }
            return self.check_ended();
        }
    }

    /// Whether bytes were sent to the HTTP server and it has never answered.
    pub fn awaits_first_response(&self) -> bool {
        self.forwarded && !self.answered
    }

    /// Whether the HTTP server ever answered on the inner connection.
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Whether no request, response or unsent byte is in progress.
    pub fn is_idle(&self) -> bool {
        self.to_caller.is_empty() && self.to_inner.is_empty() && !self.progress.is_incomplete()
    }

    /// Enforces the time limits.
    pub fn check_time(
        &mut self,
        now: Instant,
        read_buffer: &mut [u8],
    ) -> Result<(), PairCloseReason> {
        let is_over_limit = |since: Option<Instant>, limit: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(since) > limit)
        };
        if is_over_limit(self.unsent_since, self.limits.caller_time) {
            return Err(PairCloseReason::TooSlow);
        }
        if is_over_limit(Some(self.last_activity), self.limits.idle_time) {
            return Err(PairCloseReason::Idle);
        }
        if is_over_limit(self.incomplete_since, self.limits.caller_time) {
            // The HTTP server sees the end of the stream and refuses the request.
            self.stop_reading_caller();
            return self.pump(now, read_buffer);
        }
        Ok(())
    }

    /// Takes the limit that the caller exceeded; `None` on later calls. The bytes
    /// above the limit were not forwarded.
    pub fn take_exceeded_limit(&mut self) -> Option<ExceededLimit> {
        self.exceeded_limit.take()
    }

    /// Writes a final response, as much of it as the socket takes.
    pub fn write_last(&mut self, answer: &[u8]) {
        let _ = retry_interrupted(|| self.caller.write(answer));
    }

    fn pump_inward(
        &mut self,
        now: Instant,
        read_buffer: &mut [u8],
    ) -> Result<bool, PairCloseReason> {
        let mut moved = false;
        if self.caller_ready.readable && !self.caller_ended && self.to_inner.has_capacity() {
            let tracked = self.to_inner.bytes.len() - self.to_inner.sent;
            let read = self.to_inner.fill(&mut self.caller, read_buffer);
            self.caller_ready.after_read(&read, read_buffer.len());
            match read.map_err(|_| PairCloseReason::CallerDisconnected)? {
                ReadOutcome::Progress { .. } => {
                    moved = true;
                    self.track_request(tracked, now);
                }
                ReadOutcome::Blocked => {}
                ReadOutcome::Ended => self.caller_ended = true,
            }
        }
        let flushed = self.to_inner.flush(&mut self.inner);
        if flushed.map_err(|_| PairCloseReason::ServerDisconnected)? > 0 {
            self.forwarded = true;
            moved = true;
        }
        if self.caller_ended && self.to_inner.is_empty() && !self.inner_write_closed {
            self.inner_write_closed = true;
            let _ = self.inner.shutdown(Shutdown::Write);
        }
        Ok(moved)
    }

    /// Tracks the request through the buffered bytes after the first `tracked`, which
    /// were tracked before.
    fn track_request(&mut self, tracked: usize, now: Instant) {
        if let Err(exceeded) = self
            .progress
            .record_received(&self.to_inner.bytes[tracked..])
        {
            self.exceeded_limit = Some(exceeded);
            self.to_inner.bytes.truncate(tracked);
            self.stop_reading_caller();
        }
        if self.progress.is_incomplete() {
            self.incomplete_since.get_or_insert(now);
        } else {
            self.incomplete_since = None;
        }
    }

    fn stop_reading_caller(&mut self) {
        self.caller_ended = true;
        self.incomplete_since = None;
    }

    fn pump_outward(
        &mut self,
        now: Instant,
        read_buffer: &mut [u8],
    ) -> Result<bool, PairCloseReason> {
        let mut moved = false;
        if self.inner_ready.readable && !self.inner_ended && self.to_caller.has_capacity() {
            let read = self.to_caller.fill(&mut self.inner, read_buffer);
            self.inner_ready.after_read(&read, read_buffer.len());
            match read.map_err(|_| PairCloseReason::ServerDisconnected)? {
                ReadOutcome::Progress { .. } => {
                    moved = true;
                    self.answered = true;
                    self.progress.response_started();
                }
                ReadOutcome::Blocked => {}
                ReadOutcome::Ended => self.inner_ended = true,
            }
        }
        let sent = self
            .to_caller
            .flush(&mut self.caller)
            .map_err(|_| PairCloseReason::CallerDisconnected)?;
        moved |= sent > 0;
        self.track_response(sent, now);
        Ok(moved)
    }

    fn track_response(&mut self, sent: usize, now: Instant) {
        self.sent_since += sent;
        if self.to_caller.is_empty() {
            self.unsent_since = None;
            self.sent_since = 0;
        } else if self.unsent_since.is_none() || self.sent_since >= MIN_PROGRESS {
            self.unsent_since = Some(now);
            self.sent_since = 0;
        }
    }

    fn check_ended(&self) -> Result<(), PairCloseReason> {
        if self.inner_ended && self.to_caller.is_empty() {
            return Err(PairCloseReason::Finished);
        }
        Ok(())
    }
}

fn would_block(error: &io::Error) -> bool {
    // A connection that is still being established returns NotConnected.
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}

fn retry_interrupted<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match operation() {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            result => return result,
        }
    }
}
