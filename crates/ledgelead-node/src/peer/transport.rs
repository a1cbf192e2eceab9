//! The transport's actor: one listener, one connection to each receiver.
//!
//! Each connection carries messages in one direction. It is opened for the first
//! message, has a bounded queue, and drops messages that don't fit: the protocols
//! between nodes tolerate lost messages, but not late ones.

use super::close_reason::{CloseReason, DropReason};
use super::counters::{KindLabel, PeerCounters};
use super::frame::{self, ClusterKey};
use super::incoming::Incoming;
use super::outgoing::Outgoing;
use ledgelead_core::PeerMessage;
use ledgelead_types::{NodeId, codec};
use stakker::{CX, Fwd, after, fwd_to, lazy};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready, TcpStreamBuf};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How often stalled connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection may take to be established, to accept unsent bytes, or to
/// complete a frame that it has begun.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between a failed connection and the next attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Incoming connections open at the same time.
const MAX_INCOMING: usize = 2_048;
/// Priority of socket events in the poller.
const POLL_PRIORITY: u32 = 5;

/// The settings of the transport.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// This node.
    pub node: NodeId,
    /// The cluster's key.
    pub key: ClusterKey,
}

/// An authenticated message from another node.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The sender.
    pub from: NodeId,
    /// The message.
    pub message: PeerMessage,
}

/// The actor.
pub struct PeerTransport {
    settings: PeerSettings,
    counters: PeerCounters,
    listener: MioSource<TcpListener>,
    received: Fwd<ReceivedMessage>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    outgoing: BTreeMap<NodeId, Outgoing>,
    incoming: BTreeMap<u64, Incoming>,
    next_connection: u64,
    flush_pending: bool,
}

impl PeerTransport {
    /// Starts the transport on a bound listener.
    pub fn init(
        cx: CX![],
        settings: PeerSettings,
        counters: PeerCounters,
        listener: std::net::TcpListener,
        received: Fwd<ReceivedMessage>,
    ) -> Option<Self> {
        let listener = TcpListener::from_std(listener);
        let accept = fwd_to!([cx], accept() as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        let listener = poll
            .add(listener, Interest::READABLE, POLL_PRIORITY, accept)
            .inspect_err(
                |error| log::error!(target: "peer", "registering the listener failed: {error}"),
            )
            .ok()?;
        after!(SWEEP_INTERVAL, [cx], sweep());
        Some(PeerTransport {
            settings,
            counters,
            listener,
            received,
            addresses: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            next_connection: 0,
            flush_pending: false,
        })
    }

    /// Sets the address of a node. An open connection to another address is dropped.
    pub fn set_address(&mut self, _cx: CX![], node: NodeId, address: SocketAddr) {
        let before = self.addresses.insert(node, address);
        if before.is_some_and(|before| before != address) {
            self.outgoing.remove(&node);
        }
    }

    /// Sends a message, or drops it if the receiver has no address, is not connected
    /// or its queue is full.
    pub fn send(&mut self, cx: CX![], to: NodeId, message: PeerMessage) {
        let payload = codec::encode(&message);
        let bytes = (frame::HEADER_BYTES + payload.len()) as u64;
        match self.queue(cx, to, payload) {
            Ok(()) => {
                let kind = KindLabel {
                    kind: message.kind().name(),
                };
                self.counters
                    .bytes_by_kind
                    .get_or_create(&kind)
                    .inc_by(bytes);
            }
            Err(error) => {
                self.counters.dropped.inc();
                log::debug!(target: "peer", "message to {to} dropped: {error}");
            }
        }
    }

    fn queue(&mut self, cx: CX![], to: NodeId, payload: Vec<u8>) -> Result<(), DropReason> {
        let address = *self.addresses.get(&to).ok_or(DropReason::NoAddress)?;
        self.connect_if_needed(cx, to, address)?;
        let outgoing = self.outgoing.get_mut(&to).ok_or(DropReason::NotConnected)?;
        outgoing.push(payload)?;
        outgoing.pending_since.get_or_insert(cx.now());
        self.counters.messages_out.inc();
        self.flush_later(cx);
        Ok(())
    }

    fn connect_if_needed(
        &mut self,
        cx: CX![],
        to: NodeId,
        address: SocketAddr,
    ) -> Result<(), DropReason> {
        if let Some(outgoing) = self.outgoing.get(&to) {
            return match outgoing.retry_at {
                None => Ok(()),
                Some(retry_at) if cx.now() < retry_at => Err(DropReason::NotConnected),
                Some(_) => self.connect(cx, to, address),
            };
        }
        self.connect(cx, to, address)
    }

    fn connect(&mut self, cx: CX![], to: NodeId, address: SocketAddr) -> Result<(), DropReason> {
        let connection = self.new_connection();
        let mut outgoing = Outgoing {
            connection,
            address,
            stream: TcpStreamBuf::new(),
            session: None,
            queued_messages: Vec::new(),
            pending_since: None,
            retry_at: None,
        };
        let ready = fwd_to!([cx], outgoing_ready(to, connection) as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        let stream = TcpStream::connect(address).and_then(|stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            poll.add(stream, interest, POLL_PRIORITY, ready)
        });
        match stream {
            Ok(stream) => {
                outgoing.stream.init(stream);
                outgoing.stream.set_nodelay(true);
                self.outgoing.insert(to, outgoing);
                Ok(())
            }
            Err(error) => {
                log::debug!(target: "peer", "connecting to {to} at {address} failed: {error}");
                outgoing.retry_at = Some(cx.now() + RECONNECT_PAUSE);
                self.outgoing.insert(to, outgoing);
                Err(DropReason::NotConnected)
            }
        }
    }

    fn new_connection(&mut self) -> u64 {
        self.next_connection += 1;
        self.next_connection
    }

    /// Flushes once after the current batch of calls.
    fn flush_later(&mut self, cx: CX![]) {
        if !self.flush_pending {
            self.flush_pending = true;
            lazy!([cx], flush_all());
        }
    }

    fn flush_all(&mut self, cx: CX![]) {
        self.flush_pending = false;
        let busy: Vec<NodeId> = self
            .outgoing
            .iter()
            .filter(|(_, outgoing)| !outgoing.stream.out.is_empty())
            .map(|(node, _)| *node)
            .collect();
        for node in busy {
            self.flush(cx, node);
        }
    }

    fn flush(&mut self, cx: CX![], node: NodeId) {
        let Some(outgoing) = self.outgoing.get_mut(&node) else {
            return;
        };
        let before = outgoing.stream.out.len();
        let result = outgoing.stream.flush();
        let written = before - outgoing.stream.out.len();
        self.counters.bytes_out.inc_by(written as u64);
        if written > 0 {
            outgoing.pending_since = None;
        }
        if !outgoing.stream.out.is_empty() {
            outgoing.pending_since.get_or_insert(cx.now());
        }
        if let Err(error) = result
            && error.kind() != ErrorKind::NotConnected
        {
            self.close_outgoing(cx, node, CloseReason::Socket(error));
        }
    }

    fn outgoing_ready(&mut self, cx: CX![], node: NodeId, connection: u64, ready: Ready) {
        let current = self
            .outgoing
            .get(&node)
            .is_some_and(|outgoing| outgoing.connection == connection);
        if !current {
            return;
        }
        if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
            self.read_greeting(cx, node);
        }
        if ready.is_writable() {
            self.flush(cx, node);
        }
    }

    /// Reads the receiver's greeting, the only bytes that it ever sends.
    fn read_greeting(&mut self, cx: CX![], node: NodeId) {
        let Some(outgoing) = self.outgoing.get_mut(&node) else {
            return;
        };
        let result = outgoing.read_all();
        let result = result.and_then(|()| outgoing.complete_handshake(&self.settings, node));
        if let Err(reason) = result {
            self.close_outgoing(cx, node, reason);
            return;
        }
        self.flush(cx, node);
    }

    fn close_outgoing(&mut self, cx: CX![], node: NodeId, reason: CloseReason) {
        let Some(outgoing) = self.outgoing.get_mut(&node) else {
            return;
        };
        log::debug!(target: "peer", "connection to {node} closed: {reason}");
        self.counters
            .dropped
            .inc_by(outgoing.queued_messages.len() as u64);
        outgoing.stream = TcpStreamBuf::new();
        outgoing.queued_messages.clear();
        outgoing.session = None;
        outgoing.pending_since = None;
        outgoing.retry_at = Some(cx.now() + RECONNECT_PAUSE);
    }

    fn accept(&mut self, cx: CX![], _ready: Ready) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.add_incoming(cx, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => continue,
                Err(error) => {
                    log::warn!(target: "peer", "accept failed: {error}");
                    return;
                }
            }
        }
    }

    fn add_incoming(&mut self, cx: CX![], stream: TcpStream) {
        if self.incoming.len() >= MAX_INCOMING {
            log::warn!(target: "peer", "refused a node's connection: too many are open");
            return;
        }
        let connection = self.new_connection();
        let ready = fwd_to!([cx], incoming_ready(connection) as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let stream = match poll.add(stream, interest, POLL_PRIORITY, ready) {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!(target: "peer", "registering a connection failed: {error}");
                return;
            }
        };
        let mut incoming = Incoming {
            stream: TcpStreamBuf::new(),
            challenge: rand::random(),
            session: None,
            incomplete_since: Some(cx.now()),
        };
        incoming.stream.init(stream);
        incoming.stream.set_nodelay(true);
        let greeting = frame::greeting(&incoming.challenge);
        incoming.stream.out.extend_from_slice(&greeting);
        self.incoming.insert(connection, incoming);
        self.serve_incoming(cx, connection);
    }

    fn incoming_ready(&mut self, cx: CX![], connection: u64, _ready: Ready) {
        self.serve_incoming(cx, connection);
    }

    fn serve_incoming(&mut self, cx: CX![], connection: u64) {
        let Some(incoming) = self.incoming.get_mut(&connection) else {
            return;
        };
        let before = incoming.stream.out.len();
        let flushed = incoming.stream.flush().map_err(CloseReason::Socket);
        let written = before - incoming.stream.out.len();
        self.counters.bytes_out.inc_by(written as u64);
        let result = flushed
            .and_then(|()| incoming.read(cx.now(), &self.settings, &self.counters, &self.received));
        if let Err(reason) = result {
            self.close_incoming(connection, reason);
        }
    }

    fn close_incoming(&mut self, connection: u64, reason: CloseReason) {
        let Some(incoming) = self.incoming.remove(&connection) else {
            return;
        };
        let sender = incoming.sender_name();
        match reason {
            CloseReason::Frame(_) | CloseReason::Message(_) => {
                self.counters.bad_frames.inc();
                log::warn!(target: "peer", "bad frame from {sender}: {reason}");
            }
            _ => log::debug!(target: "peer", "connection from {sender} closed: {reason}"),
        }
    }

    /// Closes connections that make no progress.
    fn sweep(&mut self, cx: CX![]) {
        let now = cx.now();
        let is_stalled =
            |since: &Option<Instant>| since.is_some_and(|since| now > since + STALL_TIMEOUT);
        let receivers: Vec<NodeId> = self
            .outgoing
            .iter()
            .filter(|(_, outgoing)| is_stalled(&outgoing.pending_since))
            .map(|(node, _)| *node)
            .collect();
        for node in receivers {
            self.close_outgoing(cx, node, CloseReason::Stalled);
        }
        let senders: Vec<u64> = self
            .incoming
            .iter()
            .filter(|(_, incoming)| is_stalled(&incoming.incomplete_since))
            .map(|(connection, _)| *connection)
            .collect();
        for connection in senders {
            self.close_incoming(connection, CloseReason::Stalled);
        }
        after!(SWEEP_INTERVAL, [cx], sweep());
    }
}
