//! Bytes that a node exchanges with its own zone and with others, by purpose.
//!
//! Datagrams are counted without UDP and IP headers. An exchange is counted with its encoded
//! request, even if that is not completely written, and with its whole response, which is
//! assumed to be framed by a length. Aborted exchanges count without a response.

use serde::Serialize;
use std::collections::BTreeMap;

/// Calls to the store.
pub const STORE: &str = "store";
/// Orders of a coordinator to instances.
pub const ORDERS: &str = "orders";
/// Transfers of complete lists between nodes.
pub const TRANSFERS: &str = "transfers";
/// Client requests relayed to instances, and their responses.
pub const REQUESTS: &str = "requests";

/// The zone of the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneRelation {
    /// In this node's zone.
    Own,
    /// In another zone.
    Other,
    /// The zone is unknown: the store, or a node that is not registered.
    Unknown,
}

/// Bytes for one purpose in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneBytes {
    /// Exchanged with this node's zone.
    pub own: u64,
    /// Exchanged with other zones.
    pub other: u64,
    /// Exchanged with unknown zones.
    pub unknown: u64,
}

impl ZoneBytes {
    fn add(&mut self, zone: ZoneRelation, bytes: usize) {
        let count = match zone {
            ZoneRelation::Own => &mut self.own,
            ZoneRelation::Other => &mut self.other,
            ZoneRelation::Unknown => &mut self.unknown,
        };
        *count += bytes as u64;
    }
}

/// Bytes that a node has exchanged since its start. A purpose is the kind of a datagram or one
/// of the constants above.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneTraffic {
    /// Sent, by purpose.
    pub sent: BTreeMap<&'static str, ZoneBytes>,
    /// Received, by purpose.
    pub received: BTreeMap<&'static str, ZoneBytes>,
}

impl ZoneTraffic {
    /// Counts sent bytes.
    pub fn record_sent(&mut self, purpose: &'static str, zone: ZoneRelation, bytes: usize) {
        self.sent.entry(purpose).or_default().add(zone, bytes);
    }

    /// Counts received bytes.
    pub fn record_received(&mut self, purpose: &'static str, zone: ZoneRelation, bytes: usize) {
        self.received.entry(purpose).or_default().add(zone, bytes);
    }
}
