//! Handling of received messages.

use super::{Membership, StateUse};
use crate::members::Revival;
use crate::message::{Gossip, MembershipMessage, NodeRecord, NodeStatus};
use crate::probes::{Purpose, SentPing};
use crate::settings::MembershipOutput;
use ledgelead_types::{Member, NodeId, Time};

impl Membership {
    pub(super) fn receive(&mut self, now: Time, from: NodeId, message: MembershipMessage) {
        let sender = message.sender().clone();
        let is_authentic = sender.member.node == from && from != self.own.member.node;
        if !is_authentic {
            return;
        }
        self.apply_record(now, &sender);
        self.note_contradiction(&sender);
        match message {
            MembershipMessage::Ping { nonce, gossip, .. } => {
                self.apply_gossip(now, from, gossip);
                self.acknowledge(from, nonce);
            }
            MembershipMessage::Acknowledgement { nonce, gossip, .. } => {
                self.apply_gossip(now, from, gossip);
                self.apply_acknowledgement(now, &sender, nonce);
            }
            MembershipMessage::IndirectPing { target, nonce, .. } => {
                let requester = from;
                self.ping(now, target, Purpose::Relay { requester, nonce });
            }
            MembershipMessage::IndirectAcknowledgement { target, nonce, .. } => {
                self.apply_record(now, &target);
                if self.mark_probe_answered(target.member.node, nonce) {
                    self.revive(target.member);
                }
            }
            MembershipMessage::Join { .. } => self.send_state(from),
            MembershipMessage::State { records, .. } => self.apply_state(now, from, &records),
            MembershipMessage::Notice { .. } => {}
        }
    }

    /// Records whether this node's entry has a different incarnation than the sender, so
    /// that the answer includes that entry.
    fn note_contradiction(&mut self, sender: &NodeRecord) {
        let node = sender.member.node;
        let held = self.members.get(node);
        if held.is_some_and(|entry| entry.record.member != sender.member) {
            self.contradicted.insert(node);
        } else {
            self.contradicted.remove(&node);
        }
    }

    fn apply_gossip(&mut self, now: Time, from: NodeId, gossip: Gossip) {
        for record in &gossip.records {
            self.apply_record(now, record);
        }
        for observed in &gossip.versions {
            self.members.note_version(observed.node, observed.version);
        }
        self.compare_live(now, from, gossip.live_hash);
    }

    fn apply_acknowledgement(&mut self, now: Time, sender: &NodeRecord, nonce: u64) {
        let member = sender.member;
        let Some(SentPing { sent, purpose, .. }) = self.sent.take(member.node, nonce) else {
            return;
        };
        if self.proofs.answered(member, sent) {
            self.outputs.push(MembershipOutput::Changed);
        }
        match purpose {
            Purpose::Own => self.note_answered(now, sender, nonce),
            Purpose::Relay { requester, nonce } => {
                self.relay_acknowledgement(requester, sender, nonce)
            }
        }
    }

    fn note_answered(&mut self, now: Time, sender: &NodeRecord, nonce: u64) {
        let was_dead = self.is_considered_dead(sender.member.node);
        self.mark_probe_answered(sender.member.node, nonce);
        self.revive(sender.member);
        if was_dead {
            // The partition may hide more nodes, so request the whole state.
            self.request_state_after_partition(now, sender.member.node);
        }
    }

    fn is_considered_dead(&self, node: NodeId) -> bool {
        self.members.get(node).is_some_and(|entry| entry.is_dead())
    }

    /// Marks the current probe as answered if the nonce matches.
    fn mark_probe_answered(&mut self, node: NodeId, nonce: u64) -> bool {
        let probe = self.probe.as_mut();
        let Some(probe) = probe.filter(|probe| probe.nonce == nonce && probe.target == node) else {
            return false;
        };
        probe.is_answered = true;
        probe.indirect_at = None;
        true
    }

    fn revive(&mut self, member: Member) {
        let node = member.node;
        match self.members.revive(member) {
            Revival::None => return,
            Revival::Cleared => {}
            Revival::Returned => self.report(node, true),
        }
        // The suspicion was raised by this node, or is refuted before it spreads.
        self.gossip.remove(node);
    }

    /// Applies the whole state of another node. After a partition, nodes that are live for
    /// it are live here as well, because it could reach nodes that this node could not.
    fn apply_state(&mut self, now: Time, from: NodeId, records: &[NodeRecord]) {
        let Some(state_use) = self.requested_states.remove(&from) else {
            return;
        };
        for record in records {
            let node = record.member.node;
            let was_known = self.members.get(node).is_some();
            self.apply_record(now, record);
            if !was_known {
                // The other nodes know; the sender gossips what is new.
                self.gossip.remove(node);
            }
            let is_alive = record.status == NodeStatus::Alive;
            if is_alive && state_use == StateUse::Heal {
                self.revive(record.member);
            }
        }
    }
}
