//! What this node holds of every other node.

use crate::message::{NodeRecord, NodeStatus, StatusVersion};
use ledgelead_types::{ConfigurationVersion, Member, NodeId, Span, Time};
use std::collections::BTreeMap;
use std::ops::Bound;

/// How long a node that died or left is remembered, so that a cut that lasts
/// an hour heals without the platform.
const FORGET_AFTER: Span = Span::from_seconds(2 * 60 * 60);
/// Most nodes that are remembered; far above any deployment.
const MAX_NODES: usize = 4_096;

/// This node's conclusion about another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Conclusion {
    /// Live.
    Alive,
    /// Live until this time, unless it refutes.
    Suspect { until: Time },
    /// Did not refute.
    Dead { since: Time },
    /// Said that it stops.
    Left { since: Time },
}

/// One other node.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The record that superseded all others heard.
    pub(crate) record: NodeRecord,
    /// What this node concludes.
    pub(crate) conclusion: Conclusion,
}

impl Entry {
    /// Whether the node counts as live.
    pub(crate) fn is_live(&self) -> bool {
        matches!(
            self.conclusion,
            Conclusion::Alive | Conclusion::Suspect { .. }
        )
    }

    /// Whether the node is thought dead, but might only be out of reach.
    pub(crate) fn is_dead(&self) -> bool {
        matches!(self.conclusion, Conclusion::Dead { .. })
    }
}

/// What became of a record that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// Older than what is held, or not to be believed.
    Older,
    /// What is held.
    Same,
    /// Newer; others should hear it.
    Newer {
        /// The live set, a run or an address changed.
        visible: bool,
    },
}

/// What an answer changed about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Revival {
    /// Nothing.
    None,
    /// It was suspected.
    Cleared,
    /// It was thought dead.
    Returned,
}

/// All other nodes, by identifier.
#[derive(Debug)]
pub(crate) struct Members {
    entries: BTreeMap<NodeId, Entry>,
    /// No suspicion runs out before this time. It may be too early, which
    /// costs one look, and is never too late.
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

    /// All entries in the order of their nodes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (NodeId, &Entry)> {
        self.entries.iter().map(|(node, entry)| (*node, entry))
    }

    /// Live nodes in their order.
    pub(crate) fn live(&self) -> impl Iterator<Item = NodeId> {
        self.iter()
            .filter(|(_, entry)| entry.is_live())
            .map(|(node, _)| node)
    }

    /// Dead nodes in their order.
    pub(crate) fn dead(&self) -> impl Iterator<Item = NodeId> {
        self.iter()
            .filter(|(_, entry)| entry.is_dead())
            .map(|(node, _)| node)
    }

    /// Takes in a record; a suspicion runs until `suspect_until`.
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

    /// Concludes from an answer that the node lives although it is suspected
    /// or thought dead at the same version.
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

    /// The live node that follows in the order of identifiers.
    pub(crate) fn next_live(&self, after: Bound<NodeId>) -> Option<&NodeRecord> {
        let mut following = self.entries.range((after, Bound::Unbounded));
        let (_, entry) = following.find(|(_, entry)| entry.is_live())?;
        Some(&entry.record)
    }

    /// Suspects a live node that is not suspected yet; `None` if it is.
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

    /// Ends suspicions that ran out; returns the nodes that are dead now.
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

    /// Forgets nodes that died or left long ago.
    pub(crate) fn forget(&mut self, now: Time) {
        self.entries.retain(|_, entry| match entry.conclusion {
            Conclusion::Dead { since } | Conclusion::Left { since } => {
                now.since(since) < FORGET_AFTER
            }
            Conclusion::Alive | Conclusion::Suspect { .. } => true,
        });
    }

    /// Shortens a suspicion, never below the present.
    pub(crate) fn shorten_suspicion(&mut self, node: NodeId, until: Time) {
        if let Some(entry) = self.entries.get_mut(&node)
            && let Conclusion::Suspect { until: held } = &mut entry.conclusion
        {
            *held = until.min(*held);
            self.next_expiry = self.next_expiry.min(until);
        }
    }

    /// Puts every suspicion off by the time that this process was stopped.
    pub(crate) fn postpone_suspicions(&mut self, span: Span) {
        for entry in self.entries.values_mut() {
            if let Conclusion::Suspect { until } = &mut entry.conclusion {
                *until = *until + span;
            }
        }
    }

    /// No suspicion runs out before this time.
    pub(crate) fn next_expiry(&self) -> Time {
        self.next_expiry
    }

    /// Notes which configuration is in force on a node.
    pub(crate) fn note_version(&mut self, node: NodeId, version: ConfigurationVersion) {
        if let Some(entry) = self.entries.get_mut(&node) {
            entry.record.configuration = entry.record.configuration.max(version);
        }
    }
}

fn note_configuration(held: &mut NodeRecord, heard: &NodeRecord) {
    if held.member == heard.member {
        held.configuration = held.configuration.max(heard.configuration);
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
