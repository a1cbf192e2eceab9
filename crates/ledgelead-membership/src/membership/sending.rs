//! Construction and sending of messages.

use super::{COMPARISON_INTERVAL, Membership, PERIOD, StateUse};
use crate::message::{Gossip, MembershipMessage, NodeRecord, NodeStatus, ObservedVersion};
use crate::probes::Purpose;
use crate::settings::MembershipOutput;
use ledgelead_types::codec::encode;
use ledgelead_types::{List, NodeId, Span, Text, Time};
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::ops::Bound;

/// Maximum size of the records in one message; with the rest of the message they fit into
/// one datagram.
const MAX_GOSSIP_BYTES: usize = 1_024;
/// Configuration versions per message.
const VERSIONS_PER_MESSAGE: usize = 2;
/// Number of contacts asked at once while this node has no live peers.
const CONTACTS_AT_START: usize = 3;
/// Mean number of periods between requests to a contact that is not live, while this node
/// has live peers.
const PERIODS_PER_CONTACT: f64 = 10.0;

impl Membership {
    /// Pings a node and returns the nonce.
    pub(super) fn ping(&mut self, now: Time, to: NodeId, purpose: Purpose) -> u64 {
        let nonce = self.sent.send(now, to, purpose);
        let message = MembershipMessage::Ping {
            sender: self.own.clone(),
            nonce,
            gossip: self.gossip_for(to),
        };
        self.send(to, message);
        nonce
    }

    pub(super) fn acknowledge(&mut self, to: NodeId, nonce: u64) {
        let message = MembershipMessage::Acknowledgement {
            sender: self.own.clone(),
            nonce,
            gossip: self.gossip_for(to),
        };
        self.send(to, message);
    }

    pub(super) fn request_indirect_ping(&mut self, helper: NodeId, target: NodeId, nonce: u64) {
        let message = MembershipMessage::IndirectPing {
            sender: self.own.clone(),
            target,
            nonce,
        };
        self.send(helper, message);
    }

    pub(super) fn relay_acknowledgement(&mut self, to: NodeId, target: &NodeRecord, nonce: u64) {
        let message = MembershipMessage::IndirectAcknowledgement {
            sender: self.own.clone(),
            target: target.clone(),
            nonce,
        };
        self.send(to, message);
    }

    pub(super) fn notify(&mut self, to: NodeId) {
        let sender = self.own.clone();
        self.send(to, MembershipMessage::Notice { sender });
    }

    /// Requests the whole state of a node that was unreachable, at most once per period.
    pub(super) fn request_state_after_partition(&mut self, now: Time, node: NodeId) {
        if now >= self.next_state_request {
            self.next_state_request = now + PERIOD;
            self.send_join(node, StateUse::Heal);
        }
    }

    /// Requests the whole state of a node with a different live set, unless changes are
    /// still being gossiped.
    pub(super) fn compare_live(&mut self, now: Time, node: NodeId, their_hash: u64) {
        let is_due = now >= self.next_comparison && self.gossip.is_empty();
        if is_due && their_hash != self.live_hash() {
            let jitter = Span(
                self.random
                    .random_range(0..=COMPARISON_INTERVAL.as_micros()),
            );
            self.next_comparison = now + COMPARISON_INTERVAL + jitter;
            self.send_join(node, StateUse::Compare);
        }
    }

    fn send_join(&mut self, to: NodeId, state_use: StateUse) {
        self.requested_states.insert(to, state_use);
        let sender = self.own.clone();
        self.send(to, MembershipMessage::Join { sender });
    }

    /// Requests the state of contacts that are not live; at once while no peer is live.
    pub(super) fn ask_contacts(&mut self, is_alone: bool) {
        let not_live: Vec<NodeId> = self
            .contacts
            .nodes()
            .filter(|node| !self.is_live(*node))
            .collect();
        let is_due = is_alone || self.random.random_bool(1.0 / PERIODS_PER_CONTACT);
        if !is_due {
            return;
        }
        let count = if is_alone { CONTACTS_AT_START } else { 1 };
        let asked: BTreeSet<NodeId> = not_live.sample(&mut self.random, count).copied().collect();
        for node in asked {
            self.send_join(node, StateUse::Heal);
        }
    }

    /// Sends the records of all live nodes and of the requester.
    pub(super) fn send_state(&mut self, to: NodeId) {
        let records = self
            .members
            .iter()
            .filter(|(node, entry)| entry.is_live() || *node == to)
            .map(|(_, entry)| entry.record.clone())
            .collect();
        let message = MembershipMessage::State {
            sender: self.own.clone(),
            records,
        };
        self.send(to, message);
    }

    /// The gossip for a message. The receiver's own record comes first if it does not match
    /// the live incarnation, so that the receiver can refute it; then changes follow, the
    /// least transmitted first.
    fn gossip_for(&mut self, to: NodeId) -> Gossip {
        let mut records = Vec::new();
        let mut bytes = 0;
        let is_contradicted = self.contradicted.contains(&to);
        let disputed = self
            .members
            .get(to)
            .filter(|entry| entry.record.status != NodeStatus::Alive || is_contradicted);
        if let Some(entry) = disputed {
            records.push(entry.record.clone());
        }
        for node in self.gossip.order() {
            let Some(entry) = self.members.get(node).filter(|_| node != to) else {
                continue;
            };
            bytes += encode(&entry.record).len();
            if bytes > MAX_GOSSIP_BYTES {
                break;
            }
            records.push(entry.record.clone());
            self.gossip.count(node);
        }
        Gossip {
            records: List(records),
            live_hash: self.live_hash(),
            versions: self.next_versions(),
        }
    }

    /// Configuration versions of the next nodes in rotation.
    fn next_versions(&mut self) -> List<ObservedVersion> {
        let mut observed = List::default();
        for _ in 0..VERSIONS_PER_MESSAGE {
            let start = self
                .version_cursor
                .map_or(Bound::Unbounded, Bound::Excluded);
            let next = self.members.next_live(start);
            self.version_cursor = next.map(|record| record.member.node);
            if let Some(record) = next {
                observed.push(ObservedVersion {
                    node: record.member.node,
                    version: record.configuration,
                });
            }
        }
        observed
    }

    fn send(&mut self, to: NodeId, message: MembershipMessage) {
        if let Some(address) = self.address_of(to)
            && self.announced_addresses.get(&to) != Some(&address)
        {
            self.announced_addresses.insert(to, address.clone());
            self.outputs
                .push(MembershipOutput::Address { node: to, address });
        }
        self.outputs.push(MembershipOutput::Send { to, message });
    }

    fn address_of(&self, node: NodeId) -> Option<Text> {
        let entry = self.members.get(node);
        let known = entry.map(|entry| &entry.record.address);
        known.or_else(|| self.contacts.address(node)).cloned()
    }
}
