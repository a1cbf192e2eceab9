//! Proof that an earlier run of a node's process is over.
//!
//! A machine runs one process of the node at a time. So when a run answers a
//! ping that was sent after another run of the same node was first heard of,
//! the other one is over. A run that is merely *said* to be replaced is not
//! proven dead: the order of two rumours proves nothing, and a run that lives
//! and is taken for dead could lead a group next to its successor.

use ledgelead_types::{Incarnation, Member, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Most runs that are remembered of one node; the oldest is forgotten first.
const MAX_INCARNATIONS: usize = 16;

/// Most nodes of which runs are remembered; far above any deployment.
const MAX_NODES: usize = 4_096;

/// One run of a node's process.
#[derive(Clone, Copy, Debug)]
struct KnownIncarnation {
    incarnation: Incarnation,
    first_heard: Time,
    is_over: bool,
}

/// Runs of every node and which of them are over.
#[derive(Debug, Default)]
pub(crate) struct DeathProofs {
    incarnations: BTreeMap<NodeId, Vec<KnownIncarnation>>,
    unproven: BTreeSet<NodeId>,
}

impl DeathProofs {
    /// Notes that a run was heard of.
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
            first_heard: now,
            is_over: false,
        });
    }

    /// Takes in that a run answered a ping sent at `sent`. Returns whether
    /// this proves something new.
    pub(crate) fn answered(&mut self, member: Member, sent: Time) -> bool {
        let incarnations = self.incarnations.entry(member.node).or_default();
        let over = |known: &&mut KnownIncarnation| {
            known.incarnation != member.incarnation && known.first_heard <= sent && !known.is_over
        };
        let mut proves = false;
        for known in incarnations.iter_mut().filter(over) {
            known.is_over = true;
            proves = true;
        }
        let open = incarnations
            .iter()
            .any(|known| known.incarnation != member.incarnation && !known.is_over);
        if !open {
            self.unproven.remove(&member.node);
        }
        proves
    }

    /// Takes in that the platform lists the machine as switched off. Returns
    /// whether this proves something new.
    pub(crate) fn machine_gone(&mut self, now: Time, node: NodeId) -> bool {
        let mut proves = false;
        for known in self.incarnations.entry(node).or_default() {
            let is_new = known.first_heard < now && !known.is_over;
            known.is_over |= is_new;
            proves |= is_new;
        }
        proves
    }

    /// Whether the run is over for certain.
    pub(crate) fn is_over(&self, member: Member) -> bool {
        self.incarnations
            .get(&member.node)
            .is_some_and(|incarnations| {
                incarnations
                    .iter()
                    .any(|known| known.incarnation == member.incarnation && known.is_over)
            })
    }

    /// Asks for a proof: the node should be pinged.
    pub(crate) fn request_proof(&mut self, node: NodeId) {
        self.unproven.insert(node);
    }

    /// Keeps the doubts about some nodes: one that is not live can't answer.
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
