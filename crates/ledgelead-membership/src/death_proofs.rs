//! Proof that an earlier incarnation of a node's process has ended.
//!
//! A machine runs one process of the node at a time. When an incarnation answers a ping that
//! was sent after another incarnation of the same node was first seen, the other incarnation
//! has ended. An incarnation that is only *reported* as replaced is not proven dead: the
//! order of two reports proves nothing, and an incarnation that is still running but
//! considered dead could lead a group at the same time as its successor.

use ledgelead_types::{Incarnation, Member, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of incarnations kept for a node; the oldest is dropped first.
const MAX_INCARNATIONS: usize = 16;

/// Maximum number of nodes with known incarnations; far above any deployment.
const MAX_NODES: usize = 4_096;

/// An incarnation of a node's process.
#[derive(Clone, Copy, Debug)]
struct KnownIncarnation {
    incarnation: Incarnation,
    first_seen: Time,
    has_ended: bool,
}

/// Incarnations of all nodes, and which of them have ended.
#[derive(Debug, Default)]
pub(crate) struct DeathProofs {
    incarnations: BTreeMap<NodeId, Vec<KnownIncarnation>>,
    unproven: BTreeSet<NodeId>,
}

impl DeathProofs {
    /// Records that an incarnation was seen.
    pub(crate) fn note(&mut self, now: Time, member: Member) {
        if self.incarnations.len() >= MAX_NODES && !self.incarnations.contains_key(&member.node) {
            return;
        }
        let incarnations = self.incarnations.entry(member.node).or_default();
        if incarnations
            .iter()
            .any(|known| known.incarnation == member.incarnation)
        {
            return;
        }
        if incarnations.len() == MAX_INCARNATIONS {
            incarnations.remove(0);
        }
        incarnations.push(KnownIncarnation {
            incarnation: member.incarnation,
            first_seen: now,
            has_ended: false,
        });
    }

    /// Records that an incarnation answered a ping sent at `sent`; returns whether this
    /// proves the end of another one.
    pub(crate) fn answered(&mut self, member: Member, sent: Time) -> bool {
        let incarnations = self.incarnations.entry(member.node).or_default();
        let over = |known: &&mut KnownIncarnation| {
            known.incarnation != member.incarnation && known.first_seen <= sent && !known.has_ended
        };
        let mut proves = false;
        for known in incarnations.iter_mut().filter(over) {
            known.has_ended = true;
            proves = true;
        }
        let open = incarnations
            .iter()
            .any(|known| known.incarnation != member.incarnation && !known.has_ended);
        if !open {
            self.unproven.remove(&member.node);
        }
        proves
    }

    /// Records that the platform lists the machine as switched off; returns whether this
    /// proves the end of an incarnation.
    pub(crate) fn machine_gone(&mut self, now: Time, node: NodeId) -> bool {
        let mut proves = false;
        for known in self.incarnations.entry(node).or_default() {
            let is_new = known.first_seen < now && !known.has_ended;
            known.has_ended |= is_new;
            proves |= is_new;
        }
        proves
    }

    /// Whether the end of the incarnation is proven.
    pub(crate) fn has_ended(&self, member: Member) -> bool {
        self.incarnations
            .get(&member.node)
            .is_some_and(|incarnations| {
                incarnations
                    .iter()
                    .any(|known| known.incarnation == member.incarnation && known.has_ended)
            })
    }

    /// Requests a proof: the node should be pinged.
    pub(crate) fn request_proof(&mut self, node: NodeId) {
        self.unproven.insert(node);
    }

    /// Retains the requests of the nodes selected by `keep`; a node that is not live can't
    /// answer.
    pub(crate) fn retain_unproven(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.unproven.retain(|node| keep(*node));
    }

    /// Nodes that should be pinged for a proof.
    pub(crate) fn unproven(&self) -> impl Iterator<Item = NodeId> {
        self.unproven.iter().copied()
    }

    /// Whether any node should be pinged for a proof.
    pub(crate) fn has_unproven(&self) -> bool {
        !self.unproven.is_empty()
    }
}
