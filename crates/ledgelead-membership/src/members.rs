//! State kept for each other node.

use crate::message::{NodeRecord, NodeStatus, StatusVersion};
use ledgelead_types::{ConfigurationVersion, Member, NodeId, Span, Time};
use std::collections::BTreeMap;
use std::ops::Bound;

/// How long a node that is dead or has left is remembered, so that a partition of an hour
/// heals without the platform.
const FORGET_AFTER: Span = Span::from_seconds(2 * 60 * 60);
/// Maximum number of remembered nodes; far above any deployment.
const MAX_NODES: usize = 4_096;

/// This node's conclusion about another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Conclusion {
    /// Live.
    Alive,
    /// Considered live until this time unless it refutes the suspicion.
    Suspect { until: Time },
    /// The suspicion was not refuted.
    Dead { since: Time },
    /// It announced that it stops.
    Left { since: Time },
}

/// State of one other node.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The received record that supersedes all others.
    pub(crate) record: NodeRecord,
    /// The conclusion of this node.
    pub(crate) conclusion: Conclusion,
}

impl Entry {
    /// Whether the node is considered live.
    pub(crate) fn is_live(&self) -> bool {
        matches!(
            self.conclusion,
            Conclusion::Alive | Conclusion::Suspect { .. }
        )
    }

    /// Whether the node is considered dead, although it may only be unreachable.
    pub(crate) fn is_dead(&self) -> bool {
        matches!(self.conclusion, Conclusion::Dead { .. })
    }
}

/// Result of merging a received record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// Older than the current record, or not accepted.
    Older,
    /// Equal to the current record.
    Same,
    /// Newer; to be gossiped.
    Newer {
        /// Whether the live set, an incarnation or an address changed.
        visible: bool,
    },
}

/// Effect of an answer on the conclusion about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Revival {
    /// No change.
    None,
    /// The node was suspected.
    Cleared,
    /// The node was considered dead.
    Returned,
}

/// All other nodes, by identifier.
#[derive(Debug)]
pub(crate) struct Members {
    entries: BTreeMap<NodeId, Entry>,
    /// No suspicion expires before this time. It may be too early, which costs one needless
    /// check, but is never too late.
    next_expiry: Time,
}

impl Default for Members {
    fn default() -> Self {
        Members {
            entries: BTreeMap::new(),
            next_expiry: Time(u64::MAX),
        }
    }
}

impl Members {
    /// The entry of a node.
    pub(crate) fn get(&self, node: NodeId) -> Option<&Entry> {
        self.entries.get(&node)
    }

    /// All entries, ordered by node.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (NodeId, &Entry)> {
        self.entries.iter().map(|(node, entry)| (*node, entry))
    }

    /// Live nodes in order.
    pub(crate) fn live(&self) -> impl Iterator<Item = NodeId> {
        self.iter()
            .filter(|(_, entry)| entry.is_live())
            .map(|(node, _)| node)
    }

    /// Dead nodes in order.
    pub(crate) fn dead(&self) -> impl Iterator<Item = NodeId> {
        self.iter()
            .filter(|(_, entry)| entry.is_dead())
            .map(|(node, _)| node)
    }

    /// Merges a record; a new suspicion lasts until `suspect_until`.
    pub(crate) fn merge(&mut self, now: Time, record: &NodeRecord, suspect_until: Time) -> Merge {
        let node = record.member.node;
        if record.version > StatusVersion::MAX_ACCEPTED {
            return Merge::Older;
        }
        let Some(held) = self.entries.get_mut(&node) else {
            return self.insert(now, record, suspect_until);
        };
        note_configuration(&mut held.record, record);
        if !record.supersedes(&held.record) {
            let is_same = !held.record.supersedes(record);
            return if is_same { Merge::Same } else { Merge::Older };
        }
        let before = (
            held.is_live(),
            held.record.member,
            held.record.address.clone(),
        );
        let configuration = held.record.configuration;
        held.record = record.clone();
        if before.1 == record.member {
            held.record.configuration = configuration;
        }
        held.conclusion = conclusion_of(now, record.status, suspect_until);
        self.next_expiry = self.next_expiry.min(suspect_until);
        let after = (
            held.is_live(),
            held.record.member,
            held.record.address.clone(),
        );
        Merge::Newer {
            visible: before != after,
        }
    }

    fn insert(&mut self, now: Time, record: &NodeRecord, suspect_until: Time) -> Merge {
        if record.status == NodeStatus::Left || self.entries.len() >= MAX_NODES {
            return Merge::Older;
        }
        let conclusion = conclusion_of(now, record.status, suspect_until);
        let entry = Entry {
            record: record.clone(),
            conclusion,
        };
        self.entries.insert(record.member.node, entry);
        self.next_expiry = self.next_expiry.min(suspect_until);
        Merge::Newer { visible: true }
    }

    /// Marks a node that answered as live if it is suspected or considered dead at the same
    /// version.
    pub(crate) fn revive(&mut self, member: Member) -> Revival {
        let held = self.entries.get_mut(&member.node);
        let Some(entry) = held.filter(|entry| entry.record.member == member) else {
            return Revival::None;
        };
        let revival = match entry.conclusion {
            Conclusion::Alive | Conclusion::Left { .. } => return Revival::None,
            Conclusion::Suspect { .. } => Revival::Cleared,
            Conclusion::Dead { .. } => Revival::Returned,
        };
        entry.record.status = NodeStatus::Alive;
        entry.conclusion = Conclusion::Alive;
        revival
    }

    /// The next live node in the order of identifiers.
    pub(crate) fn next_live(&self, after: Bound<NodeId>) -> Option<&NodeRecord> {
        let mut following = self.entries.range((after, Bound::Unbounded));
        let (_, entry) = following.find(|(_, entry)| entry.is_live())?;
        Some(&entry.record)
    }

    /// Suspects a live node; `None` if it is not live or already suspected.
    pub(crate) fn suspect(&mut self, node: NodeId, until: Time) -> Option<&NodeRecord> {
        let entry = self.entries.get_mut(&node)?;
        if entry.conclusion != Conclusion::Alive {
            return None;
        }
        entry.record.status = NodeStatus::Suspect;
        entry.conclusion = Conclusion::Suspect { until };
        self.next_expiry = self.next_expiry.min(until);
        Some(&entry.record)
    }

    /// Expires suspicions; returns the nodes that are now dead.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<NodeId> {
        let mut died = Vec::new();
        if now < self.next_expiry {
            return died;
        }
        self.next_expiry = Time(u64::MAX);
        for (node, entry) in &mut self.entries {
            let Conclusion::Suspect { until } = entry.conclusion else {
                continue;
            };
            if until <= now {
                entry.conclusion = Conclusion::Dead { since: now };
                died.push(*node);
            } else {
                self.next_expiry = self.next_expiry.min(until);
            }
        }
        died
    }

    /// Removes nodes that died or left long ago.
    pub(crate) fn forget(&mut self, now: Time) {
        self.entries.retain(|_, entry| match entry.conclusion {
            Conclusion::Dead { since } | Conclusion::Left { since } => {
                now.since(since) < FORGET_AFTER
            }
            Conclusion::Alive | Conclusion::Suspect { .. } => true,
        });
    }

    /// Shortens a suspicion to end at `until` at the latest.
    pub(crate) fn shorten_suspicion(&mut self, node: NodeId, until: Time) {
        if let Some(entry) = self.entries.get_mut(&node)
            && let Conclusion::Suspect { until: held } = &mut entry.conclusion
        {
            *held = until.min(*held);
            self.next_expiry = self.next_expiry.min(until);
        }
    }

    /// Extends all suspicions by the time for which this process was paused.
    pub(crate) fn postpone_suspicions(&mut self, span: Span) {
        for entry in self.entries.values_mut() {
            if let Conclusion::Suspect { until } = &mut entry.conclusion {
                *until = *until + span;
            }
        }
    }

    /// No suspicion expires before this time.
    pub(crate) fn next_expiry(&self) -> Time {
        self.next_expiry
    }

    /// Records which configuration is in force on a node.
    pub(crate) fn note_version(&mut self, node: NodeId, version: ConfigurationVersion) {
        if let Some(entry) = self.entries.get_mut(&node) {
            entry.record.configuration = entry.record.configuration.max(version);
        }
    }
}

fn note_configuration(held: &mut NodeRecord, received: &NodeRecord) {
    if held.member == received.member {
        held.configuration = held.configuration.max(received.configuration);
    }
}

fn conclusion_of(now: Time, status: NodeStatus, suspect_until: Time) -> Conclusion {
    match status {
        NodeStatus::Alive => Conclusion::Alive,
        NodeStatus::Suspect => Conclusion::Suspect {
            until: suspect_until,
        },
        NodeStatus::Left => Conclusion::Left { since: now },
    }
}
