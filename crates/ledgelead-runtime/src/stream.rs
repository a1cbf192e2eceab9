//! A non-blocking connection with buffers for both directions.

use crate::memory::IDLE_BUFFER_BYTES;
use crate::transport;
use ledgelead_router::io::ExchangeFailure;
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;

/// Bytes that one system call reads at most.
const READ_BYTES: usize = 16_384;
/// Bytes that one connection reads before others have their turn. A peer may send without end.
pub(crate) const TURN_BYTES: usize = 262_144;

/// Shorter bodies, in bytes, are copied behind their head, so that one system call writes both.
const MIN_MOVED_BYTES: usize = 16_384;

/// How the peer ended its direction of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// By a regular close.
    Closed,
    /// By a reset or another error.
    Reset,
}

/// The failure that an error while connecting proves.
pub(crate) fn connect_failure(error: &io::Error) -> ExchangeFailure {
    match error.kind() {
        ErrorKind::ConnectionRefused => ExchangeFailure::Refused,
        _ => ExchangeFailure::NotConnected,
    }
}

/// The operating system's end of a connection.
pub(crate) trait Socket {
    /// Reads available bytes; none at the end of the peer's direction.
    fn receive(&mut self, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes as many bytes as the connection accepts.
    fn send(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Shuts down the sending direction.
    fn shut_down_output(&mut self) -> io::Result<()>;

    /// Makes the following close reset the connection, which discards undelivered bytes.
    fn reset_on_close(&self) -> io::Result<()>;
}

impl Socket for MioSource<TcpStream> {
    fn receive(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.read(buffer)
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.write(bytes)
    }

    fn shut_down_output(&mut self) -> io::Result<()> {
        self.shutdown(Shutdown::Write)
    }

    fn reset_on_close(&self) -> io::Result<()> {
        transport::reset_on_close(self)
    }
}

/// A connection with its buffers.
pub(crate) struct Stream<S = MioSource<TcpStream>> {
    source: S,
    /// Bytes that were received and not consumed.
    pub(crate) input: Vec<u8>,
    output: Vec<u8>,
    /// A long body that follows `output`.
    body: Vec<u8>,
    /// Bytes of `output` and `body` that are written already.
    written: usize,
    has_written: bool,
    has_read: bool,
    /// Whether bytes may be available that were not read.
    has_unread: bool,
    /// Whether a byte was read since the current message began.
    is_answered: bool,
    end: Option<StreamEnd>,
}

impl Stream {
    /// Whether the connection is established. An error means that it never will be.
    pub(crate) fn check_connected(&self) -> Result<bool, ExchangeFailure> {
        if let Ok(Some(error)) | Err(error) = self.source.take_error() {
            return Err(connect_failure(&error));
        }
        match self.source.peer_addr() {
            Ok(_) => {
                // Otherwise small messages would wait for acknowledgements (Nagle's algorithm).
                let _ = self.source.set_nodelay(true);
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(connect_failure(&error)),
        }
    }
}

impl<S: Socket> Stream<S> {
    pub(crate) fn new(source: S) -> Stream<S> {
        Stream {
            source,
            input: Vec::new(),
            output: Vec::new(),
            body: Vec::new(),
            written: 0,
            has_written: false,
            has_read: false,
            has_unread: false,
            is_answered: false,
            end: None,
        }
    }

    /// Reads available bytes until the input buffer has this many. The poller reports the rest
    /// only once more bytes arrive, so `has_unread` must be checked.
    pub(crate) fn fill(&mut self, max_input: usize) {
        let mut buffer = [0u8; READ_BYTES];
        while self.end.is_none() {
            let room = max_input.saturating_sub(self.input.len());
            if room == 0 {
                return;
            }
            match self.source.receive(&mut buffer[..room.min(READ_BYTES)]) {
                Ok(0) => self.end = Some(StreamEnd::Closed),
                Ok(count) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    self.has_unread = true;
                    self.has_read = true;
                    self.is_answered = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.has_unread = false;
                    return;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.end = Some(StreamEnd::Reset),
            }
        }
        self.has_unread = false;
    }

    /// Reads available bytes of one turn.
    pub(crate) fn fill_turn(&mut self) {
        self.fill(self.input.len().saturating_add(TURN_BYTES));
    }

    /// Notes that the poller has reported the connection.
    pub(crate) fn set_unread(&mut self) {
        self.has_unread = true;
    }

    /// Whether more bytes may be available than were read.
    pub(crate) fn has_unread(&self) -> bool {
        self.has_unread
    }

    /// Whether bytes were read since the last call.
    pub(crate) fn take_has_read(&mut self) -> bool {
        std::mem::take(&mut self.has_read)
    }

    /// Writes as much of the output buffer as the connection accepts.
    pub(crate) fn flush(&mut self) {
        while self.unsent_bytes() > 0 {
            let part = match self.written.checked_sub(self.output.len()) {
                Some(written) => &self.body[written..],
                None => &self.output[self.written..],
            };
            match self.source.send(part) {
                Ok(count) => {
                    self.written += count;
                    self.has_written |= count > 0;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.end = Some(StreamEnd::Reset);
                    return;
                }
            }
        }
        self.output.clear();
        self.output.shrink_to(IDLE_BUFFER_BYTES);
        self.body = Vec::new();
        self.written = 0;
    }

    /// Bytes of memory that both buffers take.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity() + self.body.capacity()
    }

    /// Bytes that are not written yet.
    pub(crate) fn unsent_bytes(&self) -> usize {
        self.output.len() + self.body.len() - self.written
    }

    /// Frees the memory of a large message once its bytes are consumed.
    pub(crate) fn shrink_input(&mut self) {
        self.input.shrink_to(IDLE_BUFFER_BYTES);
    }

    /// The buffer to which bytes to be sent are appended.
    pub(crate) fn output(&mut self) -> &mut Vec<u8> {
        if !self.body.is_empty() {
            self.output.append(&mut self.body);
        }
        &mut self.output
    }

    /// Appends a body to the bytes to be sent, without copying a long one.
    pub(crate) fn send_body(&mut self, body: Vec<u8>) {
        if body.len() < MIN_MOVED_BYTES {
            self.output().extend_from_slice(&body);
        } else {
            self.output();
            self.body = body;
        }
    }

    /// Whether all bytes to be sent were written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.unsent_bytes() == 0
    }

    /// Begins a new message, which `has_written` and `is_incomplete` refer to from now on.
    pub(crate) fn begin_message(&mut self) {
        self.has_written = false;
        self.is_answered = false;
    }

    /// Whether the peer can't have the whole current message and has not answered it: the last
    /// byte is still in the output buffer, and the peer has sent nothing since the message
    /// began. Bytes that the kernel has accepted count as sent, since they may still arrive.
    pub(crate) fn is_incomplete(&self) -> bool {
        !self.is_flushed() && !self.is_answered
    }

    /// Whether a byte of the current message was written.
    pub(crate) fn has_written(&self) -> bool {
        self.has_written
    }

    /// How the peer ended its direction, if it did.
    pub(crate) fn end(&self) -> Option<StreamEnd> {
        self.end
    }

    /// Makes the following close reset the connection, which discards undelivered bytes.
    pub(crate) fn reset_on_close(&self) {
        if let Err(error) = self.source.reset_on_close() {
            // The connection has ended already, and its undelivered bytes with it.
            log::debug!(target: "runtime", "failed to set a connection to reset on close: {error}");
        }
    }

    /// Shuts down the sending direction.
    pub(crate) fn shut_down_output(&mut self) {
        // A connection that has ended already needs no shutdown.
        let _ = self.source.shut_down_output();
    }
}
