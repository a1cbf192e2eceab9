//! A connection to a receiver: seals messages into frames and bounds its queue.

use super::close_reason::{CloseReason, DropReason};
use super::frame::{self, FrameError, Session};
use super::transport::PeerSettings;
use ledgelead_types::NodeId;
use stakker_mio::{ReadStatus, TcpStreamBuf};
use std::net::SocketAddr;
use std::time::Instant;

/// Unsent bytes above which a connection drops messages.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;
/// Messages queued until the receiver's greeting arrives; later ones are dropped.
const MAX_MESSAGES_BEFORE_HANDSHAKE: usize = 256;

/// A connection to a receiver.
pub(super) struct Outgoing {
    pub(super) connection: u64,
    pub(super) address: SocketAddr,
    pub(super) stream: TcpStreamBuf,
    /// `None` until the receiver's greeting arrived.
    pub(super) session: Option<Session>,
    pub(super) queued_messages: Vec<Vec<u8>>,
    /// Since when bytes or messages are unsent without progress; used to detect stalled
    /// connections.
    pub(super) pending_since: Option<Instant>,
    /// Set after a failure: the earliest time for the next attempt to connect.
    pub(super) retry_at: Option<Instant>,
}

impl Outgoing {
    /// Seals a message, or queues it until the receiver's greeting arrives.
    pub(super) fn push(&mut self, payload: Vec<u8>) -> Result<(), DropReason> {
        if payload.len() > frame::MAX_PAYLOAD {
            return Err(DropReason::TooLong);
        }
        let Some(session) = &mut self.session else {
            if self.queued_messages.len() >= MAX_MESSAGES_BEFORE_HANDSHAKE {
                return Err(DropReason::QueueFull);
            }
            self.queued_messages.push(payload);
            return Ok(());
        };
        if self.stream.out.len() + payload.len() > MAX_QUEUED_BYTES {
            return Err(DropReason::QueueFull);
        }
        session
            .seal_frame(&payload, &mut self.stream.out)
            .map_err(|_| DropReason::TooLong)
    }

    /// Answers the receiver's greeting with the hello and the queued messages. Does
    /// nothing while the greeting is incomplete.
    pub(super) fn complete_handshake(
        &mut self,
        settings: &PeerSettings,
        receiver: NodeId,
    ) -> Result<(), CloseReason> {
        if self.session.is_some() {
            return Ok(());
        }
        let bytes = &self.stream.inp[self.stream.rd..self.stream.wr];
        let Some(challenge) = frame::read_greeting(bytes).map_err(CloseReason::Frame)? else {
            return Ok(());
        };
        self.stream.rd += frame::GREETING_BYTES;
        log::debug!(target: "peer", "connected to {receiver} at {}", self.address);
        let mut session = Session::new(settings.key.clone(), challenge, settings.node, receiver);
        session.seal_hello(&mut self.stream.out);
        for payload in self.queued_messages.drain(..) {
            session
                .seal_frame(&payload, &mut self.stream.out)
                .map_err(CloseReason::Frame)?;
        }
        self.session = Some(session);
        Ok(())
    }

    /// Reads until the socket is drained. The receiver sends nothing but its greeting.
    pub(super) fn read_all(&mut self) -> Result<(), CloseReason> {
        let stream = &mut self.stream;
        loop {
            match stream.read(frame::GREETING_BYTES + 1) {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => return Ok(()),
                ReadStatus::EndOfStream => return Err(CloseReason::Ended),
                ReadStatus::Error(error) => return Err(CloseReason::Socket(error)),
            }
            if stream.wr - stream.rd > frame::GREETING_BYTES {
                return Err(CloseReason::Frame(FrameError::BadGreeting));
            }
        }
    }
}
