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
/// Bytes after which other connections have their turn. A peer may send without end.
const MAX_FILL_BYTES: usize = 262_144;

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

/// A connection with its buffers.
pub(crate) struct Stream {
    source: MioSource<TcpStream>,
    /// Bytes that were received and not consumed.
    pub(crate) input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes of `output` that are written already.
    written: usize,
    has_written: bool,
    has_read: bool,
    /// Whether the last fill ended before all available bytes were read.
    has_unread: bool,
    /// Whether a byte was read since the current message began.
    is_answered: bool,
    end: Option<StreamEnd>,
}

impl Stream {
    pub(crate) fn new(source: MioSource<TcpStream>) -> Stream {
        Stream {
            source,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            has_written: false,
            has_read: false,
            has_unread: false,
            is_answered: false,
            end: None,
        }
    }

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

    /// Reads available bytes into the input buffer, up to `MAX_FILL_BYTES`. The poller reports
    /// the rest only once more bytes arrive, so `has_unread` must be checked.
    pub(crate) fn fill(&mut self) {
        let mut buffer = [0u8; READ_BYTES];
        let mut filled = 0;
        self.has_unread = false;
        while self.end.is_none() {
            if filled >= MAX_FILL_BYTES {
                self.has_unread = true;
                return;
            }
            match self.source.read(&mut buffer) {
                Ok(0) => self.end = Some(StreamEnd::Closed),
                Ok(count) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    filled += count;
                    self.has_read = true;
                    self.is_answered = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.end = Some(StreamEnd::Reset),
            }
        }
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
        while self.written < self.output.len() {
            match self.source.write(&self.output[self.written..]) {
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
        self.written = 0;
    }

    /// Bytes in both buffers. The small empty buffers of an idle connection don't count.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }

    /// Bytes that are not written yet.
    pub(crate) fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Frees the memory of a large message once its bytes are consumed.
    pub(crate) fn shrink_input(&mut self) {
        self.input.shrink_to(IDLE_BUFFER_BYTES);
    }

    /// The buffer to which bytes to be sent are appended.
    pub(crate) fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Whether the whole output buffer was written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.output.is_empty()
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
        if let Err(error) = transport::reset_on_close(&self.source) {
            // The connection has ended already, and its undelivered bytes with it.
            log::debug!(target: "runtime", "failed to set a connection to reset on close: {error}");
        }
    }

    /// Shuts down the sending direction.
    pub(crate) fn shut_down_output(&mut self) {
        let _ = self.source.shutdown(Shutdown::Write);
    }
}
