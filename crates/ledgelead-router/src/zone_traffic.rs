//! Bytes that a node exchanges with its own zone and with others, by purpose.
//!
//! Datagrams count without the headers of UDP and IP. Exchanges count the encoded request
//! as it is begun, whether or not all of it is written, and the whole answer, whose framing
//! is taken for a length; broken-off exchanges have no answer.

use serde::Serialize;
use std::collections::BTreeMap;

/// Calls of the store.
pub const STORE: &str = "store";
/// Orders of a coordinator to instances.
pub const ORDERS: &str = "orders";
/// Whole lists between nodes.
pub const TRANSFERS: &str = "transfers";
/// Clients' requests at instances, and their answers.
pub const REQUESTS: &str = "requests";

/// Where the other side is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneRelation {
    /// In this node's zone.
    Own,
    /// In another zone.
    Other,
    /// Its zone isn't known: the store, or a node that isn't registered.
    Unknown,
}

/// Bytes for one purpose in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneBytes {
    /// With this node's zone.
    pub own: u64,
    /// With other zones.
    pub other: u64,
    /// With who knows where.
    pub unknown: u64,
}

impl ZoneBytes {
    fn add(&mut self, place: ZoneRelation, bytes: usize) {
        let count = match place {
            ZoneRelation::Own => &mut self.own,
            ZoneRelation::Other => &mut self.other,
            ZoneRelation::Unknown => &mut self.unknown,
        };
        *count += bytes as u64;
    }
}

/// What a node has exchanged since its start. A purpose is the kind of a datagram or one
/// of the names above.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneTraffic {
    /// Sent, by purpose.
    pub sent: BTreeMap<&'static str, ZoneBytes>,
    /// Received, by purpose.
    pub received: BTreeMap<&'static str, ZoneBytes>,
}

impl ZoneTraffic {
    /// Bytes were sent.
    pub fn sent(&mut self, purpose: &'static str, place: ZoneRelation, bytes: usize) {
        self.sent.entry(purpose).or_default().add(place, bytes);
    }

    /// Bytes came.
    pub fn received(&mut self, purpose: &'static str, place: ZoneRelation, bytes: usize) {
        self.received.entry(purpose).or_default().add(place, bytes);
    }
}
