//! Counts of datagrams between nodes by message kind, for metrics.

use super::message::Datagram;
use std::collections::BTreeMap;

/// Datagrams of one kind in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Their size in bytes, without UDP and IP headers.
    pub bytes: u64,
}

impl TrafficCount {
    fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// Datagrams that a node has exchanged with other nodes since its start.
#[derive(Clone, Debug, Default)]
pub struct PeerTraffic {
    /// Sent, by kind of message.
    pub sent: BTreeMap<&'static str, TrafficCount>,
    /// Received, by kind of message.
    pub received: BTreeMap<&'static str, TrafficCount>,
}

impl PeerTraffic {
    /// Counts a sent datagram.
    pub fn record_sent(&mut self, datagram: &Datagram) {
        let count = self.sent.entry(datagram.kind).or_default();
        count.add(datagram.bytes.len());
    }

    /// Counts a received datagram.
    pub fn record_received(&mut self, kind: &'static str, bytes: usize) {
        self.received.entry(kind).or_default().add(bytes);
    }
}
