//! Broadcasts of the coordinator, relayed by one node in each zone.
//!
//! A coordinator that sends each message to each node sends most of them between zones, where
//! traffic is expensive, and all of them over its own link and with its own CPU. So one node
//! of each other zone relays the coordinator's messages within its zone. It is chosen by its
//! reports from the nodes with the largest CPU share; the reports show that it is alive and
//! which nodes it knows. Without such a node, or in a small zone, the coordinator sends to
//! each node directly.
//!
//! Time budget after the loss of a relay: its last report is valid for `REPORT_TTL` (350 ms),
//! and the next heartbeat is sent at most 200 ms later, to each node directly. So the zone
//! receives nothing for at most 750 ms, less than the 1 s after which nodes campaign.

use super::Node;
use super::messaging::send;
use crate::Timestamp;
use crate::identity::ZoneName;
use crate::io::Action;
use crate::peers::{Datagram, NodeRecord, PeerAddress, PeerMessage, decode, encode};
use ledgelead_types::codec::Bytes;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a node counts as alive after a report: one of the reports, sent every 200 ms, may
/// be late.
const REPORT_TTL: Duration = Duration::from_millis(350);
/// Minimum number of nodes in a zone for the use of a relay. In a smaller zone the detour
/// saves little.
const MIN_NODES: usize = 6;
/// Maximum number of datagrams that one node sends for a list of changes: about 3.5 MB, 0.14 s
/// of a link of 200 Mbit/s. A longer list reaches the other nodes as a complete list over
/// connections, from many nodes at once.
const MAX_LIST_DATAGRAMS: usize = 2_500;
/// How many nodes of a zone send reports even if they are empty, so that one can be chosen as
/// relay.
const MAX_RELAY_CANDIDATES: usize = 3;

/// The relay candidates, by their reports.
#[derive(Debug, Default)]
pub(super) struct ZoneRelays {
    reports: HashMap<SocketAddr, NodeReport>,
    /// The relay last used in each zone, which is kept as long as it is alive.
    chosen: BTreeMap<ZoneName, SocketAddr>,
}

#[derive(Clone, Copy, Debug)]
struct NodeReport {
    at: Timestamp,
    /// The revision up to which it knows the registered nodes.
    nodes: u64,
}

impl ZoneRelays {
    /// Records a node's report.
    pub(super) fn record_report(&mut self, from: SocketAddr, nodes: u64, now: Timestamp) {
        self.reports.insert(from, NodeReport { at: now, nodes });
    }

    /// Removes nodes whose last report is too old.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.reports
            .retain(|_, report| report.at + REPORT_TTL > now);
    }

    /// The relay of a zone, if there is a node that is alive and knows all nodes of the zone.
    fn choose(
        &mut self,
        zone: &ZoneName,
        members: &[&NodeRecord],
        nodes: u64,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        if members.len() < MIN_NODES {
            return None;
        }
        let is_eligible = |address: &SocketAddr| {
            let report = self.reports.get(address);
            report.is_some_and(|report| report.at + REPORT_TTL > now && report.nodes >= nodes)
        };
        let is_member = |address: &SocketAddr| members.iter().any(|node| node.address == *address);
        let previous = self.chosen.get(zone).copied();
        let previous = previous.filter(is_eligible).filter(is_member);
        let chosen = previous.or_else(|| {
            let eligible = members.iter().filter(|node| is_eligible(&node.address));
            let strongest = eligible.min_by_key(|node| strength_key(node));
            strongest.map(|node| node.address)
        })?;
        if previous.is_none() {
            self.chosen.insert(zone.clone(), chosen);
        }
        Some(chosen)
    }
}

/// Sort key of a zone's nodes: the largest CPU share first.
pub(super) fn strength_key(node: &NodeRecord) -> impl Ord + use<> {
    (Reverse(node.millicores), node.identity.node.clone())
}

impl Node {
    /// Sends datagrams to all other nodes, to those of another zone through its relay.
    pub(super) fn broadcast(
        &mut self,
        datagrams: &[Datagram],
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(origin) = PeerAddress::new(self.settings.peer_address) else {
            self.send_to_all(datagrams, out);
            return;
        };
        let mut zones: BTreeMap<&ZoneName, Vec<&NodeRecord>> = BTreeMap::new();
        let own = self.settings.peer_address;
        for node in self.registry.iter().filter(|node| node.address != own) {
            zones.entry(&node.zone).or_default().push(node);
        }
        let nodes = self.messaging.relay.nodes_revision();
        let mut chosen_relays = Vec::new();
        let mut direct_receivers = Vec::new();
        let mut largest_relayed_zone = 0;
        for (zone, members) in zones {
            let is_other = *zone != self.settings.zone;
            let relays = &mut self.zone_relays;
            let relay = is_other.then(|| relays.choose(zone, &members, nodes, now));
            match relay.flatten() {
                Some(relay) => {
                    chosen_relays.push(relay);
                    largest_relayed_zone = largest_relayed_zone.max(members.len());
                }
                None => direct_receivers.extend(members),
            }
        }
        let max_sends_per_node = datagrams.len() * direct_receivers.len().max(largest_relayed_zone);
        if datagrams.len() > 1 && max_sends_per_node > MAX_LIST_DATAGRAMS {
            log::info!(target: "peers", "list of {} datagrams exceeds the broadcast limit; not sent", datagrams.len());
            return;
        }
        for relay in chosen_relays {
            send(relay, &wrap_forwarded(origin, true, datagrams), out);
        }
        for member in direct_receivers {
            send(member.address, datagrams, out);
        }
    }

    /// Handles a message of the coordinator that another node has relayed.
    pub(super) fn forwarded_received(
        &mut self,
        from: SocketAddr,
        origin: PeerAddress,
        to_zone: bool,
        message: Bytes,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let inner = decode(&message.0);
        if matches!(inner, Ok(PeerMessage::Forwarded { .. })) {
            // Nodes wrap a message only once; each further layer would be relayed again.
            return;
        }
        let origin = origin.socket();
        if to_zone {
            self.relay_to_zone(origin, &message, out);
        }
        self.datagram_received(origin, &message.0, now, out);
        let is_heartbeat = matches!(inner, Ok(PeerMessage::CoordinatorHeartbeat(_)));
        if is_heartbeat && self.messaging.coordinator_address == Some(origin) {
            self.messaging.heartbeat_sender = Some(from);
        }
    }

    /// Relays a message of the coordinator to the other nodes of this zone.
    fn relay_to_zone(&self, origin: SocketAddr, message: &Bytes, out: &mut Vec<Action>) {
        let Some(address) = PeerAddress::new(origin) else {
            return;
        };
        let datagram = encode(&PeerMessage::Forwarded {
            origin: address,
            to_zone: false,
            message: message.clone(),
        });
        for peer in self.zone_peers().filter(|peer| *peer != origin) {
            send(peer, std::slice::from_ref(&datagram), out);
        }
    }

    /// Whether this node is a relay candidate, and so has to report even if there is nothing
    /// to report.
    pub(super) fn is_relay_candidate(&self) -> bool {
        let zone = &self.settings.zone;
        let members = || self.registry.iter().filter(|node| node.zone == *zone);
        let own = self.settings.peer_address;
        let Some(own) = members().find(|node| node.address == own) else {
            return false;
        };
        let stronger = members()
            .filter(|node| strength_key(node) < strength_key(own))
            .count();
        stronger < MAX_RELAY_CANDIDATES && members().count() >= MIN_NODES
    }
}

/// Wraps messages for a relay.
fn wrap_forwarded(origin: PeerAddress, to_zone: bool, datagrams: &[Datagram]) -> Vec<Datagram> {
    let wrap = |datagram: &Datagram| {
        encode(&PeerMessage::Forwarded {
            origin,
            to_zone,
            message: Bytes(datagram.bytes.to_vec()),
        })
    };
    datagrams.iter().map(wrap).collect()
}
