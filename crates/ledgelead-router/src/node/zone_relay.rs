//! Broadcasts of the coordinator by way of one node a zone.
//!
//! A coordinator that sends each message to each node sends most of them between
//! zones, where bytes are dear, and its own link and processor carry them all.
//! So one node of each other zone passes on what the coordinator has for its
//! zone. It is chosen among the strongest of the zone by its reports, which also
//! show that it lives and which nodes it knows. Without such a node, or where a
//! zone is small, the coordinator sends to each node by itself.
//!
//! Time budget after the loss of such a node: its last report is used for
//! `HEARD_TTL` (350 ms), the next heartbeat comes at most 200 ms later and goes
//! to each node by itself. So the zone hears nothing for at most 750 ms, less
//! than the 1 s after which nodes campaign.

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

/// How long a node that has reported counts as alive: one report of each 200 ms
/// may be late.
const HEARD_TTL: Duration = Duration::from_millis(350);
/// Nodes of a zone from which one of them passes messages on. Below, the detour
/// saves little.
const MIN_NODES: usize = 6;
/// Most datagrams that one node sends for a list of changes: some 3.5 MB, 0.14 s of a link of
/// 200 Mbit/s. A list that takes more reaches the others as a whole, over connections, by
/// many nodes at once.
const MAX_LIST_DATAGRAMS: usize = 2_500;
/// How many nodes of a zone report also when they have nothing to report, so
/// that one can be chosen.
const MAX_RELAY_CANDIDATES: usize = 3;

/// Which nodes may pass messages on, as their reports show.
#[derive(Debug, Default)]
pub(super) struct ZoneRelays {
    heard: HashMap<SocketAddr, Heard>,
    /// The one used last in each zone; it is kept while it lives.
    chosen: BTreeMap<ZoneName, SocketAddr>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Timestamp,
    /// The revision by which it knows the nodes.
    nodes: u64,
}

impl ZoneRelays {
    /// A node has reported.
    pub(super) fn heard(&mut self, from: SocketAddr, nodes: u64, now: Timestamp) {
        self.heard.insert(from, Heard { at: now, nodes });
    }

    /// Forgets nodes that have not reported for long.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.heard.retain(|_, heard| heard.at + HEARD_TTL > now);
    }

    /// The node that passes on what is for its zone, if there is one that is
    /// alive and knows all of the zone's nodes.
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
        let is_fit = |address: &SocketAddr| {
            let heard = self.heard.get(address);
            heard.is_some_and(|heard| heard.at + HEARD_TTL > now && heard.nodes >= nodes)
        };
        let is_member = |address: &SocketAddr| members.iter().any(|node| node.address == *address);
        let kept = self.chosen.get(zone).copied();
        let kept = kept.filter(is_fit).filter(is_member);
        let chosen = kept.or_else(|| {
            let fit = members.iter().filter(|node| is_fit(&node.address));
            let strongest = fit.min_by_key(|node| rank(node));
            strongest.map(|node| node.address)
        })?;
        if kept.is_none() {
            self.chosen.insert(zone.clone(), chosen);
        }
        Some(chosen)
    }
}

/// The order of a zone's nodes: the largest share of a processor first.
pub(super) fn rank(node: &NodeRecord) -> impl Ord + use<> {
    (Reverse(node.millicores), node.identity.node.clone())
}

impl Node {
    /// Sends datagrams to all other nodes, to those of another zone by way of
    /// one of them.
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
        let mut by_relay = Vec::new();
        let mut by_itself = Vec::new();
        let mut most_by_relay = 0;
        for (zone, members) in zones {
            let is_other = *zone != self.settings.zone;
            let relays = &mut self.zone_relays;
            let relay = is_other.then(|| relays.choose(zone, &members, nodes, now));
            match relay.flatten() {
                Some(relay) => {
                    by_relay.push(relay);
                    most_by_relay = most_by_relay.max(members.len());
                }
                None => by_itself.extend(members),
            }
        }
        let sent_by_one = datagrams.len() * by_itself.len().max(most_by_relay);
        if datagrams.len() > 1 && sent_by_one > MAX_LIST_DATAGRAMS {
            log::info!(target: "peers", "a list of {} datagrams is not broadcast", datagrams.len());
            return;
        }
        for relay in by_relay {
            send(relay, &wrapped(origin, true, datagrams), out);
        }
        for member in by_itself {
            send(member.address, datagrams, out);
        }
    }

    /// A message of the coordinator that came by way of another node.
    pub(super) fn forwarded(
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
            // No node wraps a message twice; each layer would be passed on again.
            return;
        }
        let origin = origin.socket();
        if to_zone {
            self.pass_on(origin, &message, out);
        }
        self.datagram(origin, &message.0, now, out);
        let is_heartbeat = matches!(inner, Ok(PeerMessage::CoordinatorHeartbeat(_)));
        if is_heartbeat && self.messaging.coordinator_address == Some(origin) {
            self.messaging.heartbeat_sender = Some(from);
        }
    }

    /// Passes a message of the coordinator on to the other nodes of this zone.
    fn pass_on(&self, origin: SocketAddr, message: &Bytes, out: &mut Vec<Action>) {
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

    /// Whether this node may be chosen to pass messages on, so that it has to
    /// show that it lives.
    pub(super) fn may_forward(&self) -> bool {
        let zone = &self.settings.zone;
        let members = || self.registry.iter().filter(|node| node.zone == *zone);
        let own = self.settings.peer_address;
        let Some(own) = members().find(|node| node.address == own) else {
            return false;
        };
        let stronger = members().filter(|node| rank(node) < rank(own)).count();
        stronger < MAX_RELAY_CANDIDATES && members().count() >= MIN_NODES
    }
}

/// Messages for a node that passes them on.
fn wrapped(origin: PeerAddress, to_zone: bool, datagrams: &[Datagram]) -> Vec<Datagram> {
    let wrap = |datagram: &Datagram| {
        encode(&PeerMessage::Forwarded {
            origin,
            to_zone,
            message: Bytes(datagram.bytes.to_vec()),
        })
    };
    datagrams.iter().map(wrap).collect()
}
