//! A connection's bytes in both directions, without waiting.

use crate::memory::KEPT_BUFFER_BYTES;
use crate::transport;
use ledgelead_router::io::ExchangeFailure;
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;

/// Bytes read at once.
const READ_BYTES: usize = 16_384;

/// How the other side ended its direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// In good order.
    Closed,
    /// By a reset or another error.
    Reset,
}

/// What an error proves with which a connection did not come up.
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
    written: usize,
    wrote_any: bool,
    read_any: bool,
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
            wrote_any: false,
            read_any: false,
            is_answered: false,
            end: None,
        }
    }

    /// Whether the connection has come up. An error means that it never will.
    pub(crate) fn check_connected(&self) -> Result<bool, ExchangeFailure> {
        if let Ok(Some(error)) | Err(error) = self.source.take_error() {
            return Err(connect_failure(&error));
        }
        match self.source.peer_addr() {
            Ok(_) => {
                // Small messages must not wait for acknowledgements.
                let _ = self.source.set_nodelay(true);
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(connect_failure(&error)),
        }
    }

    /// Reads all that is there.
    pub(crate) fn fill(&mut self) {
        let mut buffer = [0u8; READ_BYTES];
        while self.end.is_none() {
            match self.source.read(&mut buffer) {
                Ok(0) => self.end = Some(StreamEnd::Closed),
                Ok(count) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    self.read_any = true;
                    self.is_answered = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.end = Some(StreamEnd::Reset),
            }
        }
    }

    /// Whether bytes were read since the last call.
    pub(crate) fn take_read_any(&mut self) -> bool {
        std::mem::take(&mut self.read_any)
    }

    /// Writes what the connection takes.
    pub(crate) fn flush(&mut self) {
        while self.written < self.output.len() {
            match self.source.write(&self.output[self.written..]) {
                Ok(count) => {
                    self.written += count;
                    self.wrote_any |= count > 0;
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
        self.output.shrink_to(KEPT_BUFFER_BYTES);
        self.written = 0;
    }

    /// Bytes in the buffers. Idle connections, which keep small empty ones, hold nothing.
    pub(crate) fn held(&self) -> usize {
        self.input.len() + self.output.len()
    }

    /// Bytes that are not written yet.
    pub(crate) fn unsent(&self) -> usize {
        self.output.len() - self.written
    }

    /// Gives back what a large message has taken, once its bytes are consumed.
    pub(crate) fn shrink_input(&mut self) {
        self.input.shrink_to(KEPT_BUFFER_BYTES);
    }

    /// Where bytes to be sent are appended.
    pub(crate) fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Whether all was written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// From now on `wrote_any` and `is_incomplete` are about a new message.
    pub(crate) fn begin_message(&mut self) {
        self.wrote_any = false;
        self.is_answered = false;
    }

    /// Whether the current message can't have been acted on: its last byte is still here,
    /// and the other side has sent nothing since it began. What the kernel holds doesn't
    /// count, since it may arrive later.
    pub(crate) fn is_incomplete(&self) -> bool {
        !self.is_flushed() && !self.is_answered
    }

    /// Whether a byte of the current message was written.
    pub(crate) fn wrote_any(&self) -> bool {
        self.wrote_any
    }

    /// How the other side ended, if it did.
    pub(crate) fn end(&self) -> Option<StreamEnd> {
        self.end
    }

    /// The close that follows takes back what has not arrived.
    pub(crate) fn reset_on_close(&self) {
        if let Err(error) = transport::reset_on_close(&self.source) {
            // The connection has ended already, and with it what it held.
            log::debug!(target: "runtime", "a connection is not reset: {error}");
        }
    }

    /// Ends this side's direction.
    pub(crate) fn shut_down_output(&mut self) {
        let _ = self.source.shutdown(Shutdown::Write);
    }
}
