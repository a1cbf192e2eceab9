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
const MAX_RUNS: usize = 16;

/// Most nodes of which runs are remembered; far above any deployment.
const MAX_NODES: usize = 4_096;

/// One run of a node's process.
#[derive(Clone, Copy, Debug)]
struct Run {
    incarnation: Incarnation,
    first_heard: Time,
    is_over: bool,
}

/// Runs of every node and which of them are over.
#[derive(Debug, Default)]
pub(crate) struct DeathProofs {
    runs: BTreeMap<NodeId, Vec<Run>>,
    doubted: BTreeSet<NodeId>,
}

impl DeathProofs {
    /// Notes that a run was heard of.
    pub(crate) fn note(&mut self, now: Time, member: Member) {
        if self.runs.len() >= MAX_NODES && !self.runs.contains_key(&member.node) {
            return;
        }
        let runs = self.runs.entry(member.node).or_default();
        if runs.iter().any(|run| run.incarnation == member.incarnation) {
            return;
        }
        if runs.len() == MAX_RUNS {
            runs.remove(0);
        }
        runs.push(Run {
            incarnation: member.incarnation,
            first_heard: now,
            is_over: false,
        });
    }

    /// Takes in that a run answered a ping sent at `sent`. Returns whether
    /// this proves something new.
    pub(crate) fn answered(&mut self, member: Member, sent: Time) -> bool {
        let runs = self.runs.entry(member.node).or_default();
        let over = |run: &&mut Run| {
            run.incarnation != member.incarnation && run.first_heard <= sent && !run.is_over
        };
        let mut proves = false;
        for run in runs.iter_mut().filter(over) {
            run.is_over = true;
            proves = true;
        }
        let open = runs
            .iter()
            .any(|run| run.incarnation != member.incarnation && !run.is_over);
        if !open {
            self.doubted.remove(&member.node);
        }
        proves
    }

    /// Takes in that the platform lists the machine as switched off. Returns
    /// whether this proves something new.
    pub(crate) fn machine_gone(&mut self, now: Time, node: NodeId) -> bool {
        let mut proves = false;
        for run in self.runs.entry(node).or_default() {
            let is_new = run.first_heard < now && !run.is_over;
            run.is_over |= is_new;
            proves |= is_new;
        }
        proves
    }

    /// Whether the run is over for certain.
    pub(crate) fn is_over(&self, member: Member) -> bool {
        self.runs.get(&member.node).is_some_and(|runs| {
            runs.iter()
                .any(|run| run.incarnation == member.incarnation && run.is_over)
        })
    }

    /// Asks for a proof: the node should be pinged.
    pub(crate) fn doubt(&mut self, node: NodeId) {
        self.doubted.insert(node);
    }

    /// Keeps the doubts about some nodes: one that is not live can't answer.
    pub(crate) fn keep_doubts(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.doubted.retain(|node| keep(*node));
    }

    /// Nodes that should be pinged for a proof.
    pub(crate) fn doubted(&self) -> impl Iterator<Item = NodeId> {
        self.doubted.iter().copied()
    }

    /// Whether any node should be pinged for a proof.
    pub(crate) fn has_doubts(&self) -> bool {
        !self.doubted.is_empty()
    }
}
