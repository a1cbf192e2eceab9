//! A connection from a sender: verifies and decodes frames and delivers their
//! messages.

use super::close_reason::CloseReason;
use super::counters::PeerCounters;
use super::frame::{self, Challenge, HELLO_BYTES, Session};
use super::transport::{PeerSettings, ReceivedMessage};
use ledgelead_types::codec;
use stakker::Fwd;
use stakker_mio::{ReadStatus, TcpStreamBuf};
use std::time::Instant;

/// Bytes taken from a socket in one read.
const READ_CHUNK: usize = 64 * 1024;

/// A connection from a sender.
pub(super) struct Incoming {
    pub(super) stream: TcpStreamBuf,
    pub(super) challenge: Challenge,
    /// `None` until the sender's hello was verified.
    pub(super) session: Option<Session>,
    /// Since when a frame or the hello is incomplete.
    pub(super) incomplete_since: Option<Instant>,
}

impl Incoming {
    /// The sender, for logs.
    pub(super) fn sender_name(&self) -> String {
        match &self.session {
            Some(session) => session.sender().to_string(),
            None => "an unknown sender".to_owned(),
        }
    }

    pub(super) fn read(
        &mut self,
        now: Instant,
        settings: &PeerSettings,
        counters: &PeerCounters,
        received: &Fwd<ReceivedMessage>,
    ) -> Result<(), CloseReason> {
        loop {
            let before = self.stream.wr - self.stream.rd;
            let status = self.stream.read(READ_CHUNK);
            let arrived = (self.stream.wr - self.stream.rd) - before;
            counters.bytes_in.inc_by(arrived as u64);
            match status {
                ReadStatus::NewData => self.open_frames(now, settings, counters, received)?,
                ReadStatus::WouldBlock => return Ok(()),
                ReadStatus::EndOfStream => return Err(CloseReason::Ended),
                ReadStatus::Error(error) => return Err(CloseReason::Socket(error)),
            }
        }
    }

    fn open_frames(
        &mut self,
        now: Instant,
        settings: &PeerSettings,
        counters: &PeerCounters,
        received: &Fwd<ReceivedMessage>,
    ) -> Result<(), CloseReason> {
        let mut progress = false;
        loop {
            let bytes = &self.stream.inp[self.stream.rd..self.stream.wr];
            let Some(session) = &mut self.session else {
                let hello = frame::read_hello(bytes, &settings.key, self.challenge, settings.node);
                let Some(session) = hello.map_err(CloseReason::Frame)? else {
                    break;
                };
                self.session = Some(session);
                self.stream.rd += HELLO_BYTES;
                progress = true;
                continue;
            };
            let Some(opened) = session.open_frame(bytes).map_err(CloseReason::Frame)? else {
                break;
            };
            let message = codec::decode(opened.payload).map_err(CloseReason::Message)?;
            let from = session.sender();
            self.stream.rd += opened.consumed;
            progress = true;
            counters.messages_in.inc();
            received.fwd(ReceivedMessage { from, message });
        }
        if progress {
            self.incomplete_since = None;
        }
        if self.session.is_none() || self.stream.rd < self.stream.wr {
            self.incomplete_since.get_or_insert(now);
        }
        Ok(())
    }
}
