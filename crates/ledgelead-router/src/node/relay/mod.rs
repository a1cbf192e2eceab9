//! Relaying of changes from the coordinator to the other nodes.
//!
//! A node that receives all changes needs no watch of its own. Each list of changes names the
//! store revisions before and after it, so that a node notices a missed list by the next one
//! or by the coordinator's next heartbeat. It then asks the coordinator for the missing
//! changes, and the store if that doesn't help.

mod configuration;
mod entries;
mod gaps;
mod objects;
mod ownership;
mod snapshot_requests;

pub(super) use entries::{changed_assignment, listed_node, registration};
pub(super) use objects::differences;
pub(super) use ownership::Takeover;

use gaps::Gap;
use ownership::AnnouncedTakeover;
use snapshot_requests::SnapshotRequests;

use super::Node;
use super::messaging::send;
use crate::Timestamp;
use crate::configuration::Configuration;
use crate::dialect::{ObjectEvent, ObjectKind};
use crate::io::Action;
use crate::ownership::record::Assignment;
use crate::peers::{
    ChangeListAssembler, ChangeLog, ChangeSpan, ChangedAssignment, ChangedInstance, ChangedNode,
    ConfigurationChange, Datagram, LimitsEntry, MAX_PARTS, PeerMessage, RelayedKind, encode,
};
use crate::protections::Protection;
use ledgelead_types::codec::{self, List};
use nanoserde::SerBin;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of lists of changed instances or nodes that a coordinator keeps. Its watch answers
/// at most every 150 ms, so they cover about 10 s, more than the age of a stale list.
const CHANGE_LOG_LENGTH: usize = 64;
/// The same for the ownership record, which is written up to 20 times a second while keys are
/// moving.
const OWNERSHIP_LOG_LENGTH: usize = 256;
/// Maximum size of the entries in one datagram. Together with its span it fits a receiver's
/// buffer, even when relayed; names of 255 bytes would exceed that at the usual number of
/// entries.
const MAX_PART_BYTES: usize = 1_350;
/// Minimum interval between requests for missed changes of one kind.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// State of the relayed changes.
pub(super) struct RelayState {
    instances: ChangeLog<ObjectEvent>,
    nodes: ChangeLog<ObjectEvent>,
    ownership: ChangeLog<Assignment>,
    /// The takeover of this node, if it has taken the coordinator role.
    takeover: Option<AnnouncedTakeover>,
    /// The latest versions, the oldest first.
    configurations: VecDeque<Configuration>,
    /// The datagrams that update a node from an earlier version to the latest one, by that
    /// earlier version; `None` if they would be too many. They are cached because many nodes
    /// ask for the same ones.
    configuration_datagrams: HashMap<u64, Option<Vec<Datagram>>>,
    /// The store revision of the last known change of an instance.
    instances_revision: u64,
    /// The store revision of the last known change of a node.
    nodes_revision: u64,
    gaps: [Gap; RelayedKind::ALL.len()],
    instance_parts: ChangeListAssembler<ChangedInstance>,
    snapshot_parts: ChangeListAssembler<ChangedInstance>,
    /// Nodes that miss changes of instances from before the start of the log.
    snapshot_requests: SnapshotRequests,
    node_parts: ChangeListAssembler<ChangedNode>,
    ownership_parts: ChangeListAssembler<ChangedAssignment>,
    configuration_parts: ChangeListAssembler<(LimitsEntry, Vec<ConfigurationChange>)>,
}

impl Default for RelayState {
    fn default() -> RelayState {
        RelayState {
            instances: ChangeLog::new(CHANGE_LOG_LENGTH),
            nodes: ChangeLog::new(CHANGE_LOG_LENGTH),
            ownership: ChangeLog::new(OWNERSHIP_LOG_LENGTH),
            takeover: None,
            configurations: VecDeque::new(),
            configuration_datagrams: HashMap::new(),
            instances_revision: 0,
            nodes_revision: 0,
            gaps: Default::default(),
            instance_parts: ChangeListAssembler::default(),
            snapshot_parts: ChangeListAssembler::default(),
            snapshot_requests: SnapshotRequests::default(),
            node_parts: ChangeListAssembler::default(),
            ownership_parts: ChangeListAssembler::default(),
            configuration_parts: ChangeListAssembler::default(),
        }
    }
}

impl RelayState {
    /// The store revision of the last known change of an instance.
    pub(super) fn instances_revision(&self) -> u64 {
        self.instances_revision
    }

    /// The store revision of the last known change of a node.
    pub(super) fn nodes_revision(&self) -> u64 {
        self.nodes_revision
    }

    /// Records that an object of this kind has changed at or before this revision.
    pub(super) fn record_change(&mut self, kind: ObjectKind, revision: u64) {
        let known = match kind {
            ObjectKind::Instances => &mut self.instances_revision,
            ObjectKind::Nodes => &mut self.nodes_revision,
            _ => return,
        };
        *known = revision.max(*known);
    }
}

impl RelayedKind {
    /// All kinds in the order of their declaration.
    pub(super) const ALL: [RelayedKind; 4] = [
        RelayedKind::Instances,
        RelayedKind::Nodes,
        RelayedKind::Ownership,
        RelayedKind::Configuration,
    ];

    /// Name of the kind in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            RelayedKind::Instances => "instances",
            RelayedKind::Nodes => "nodes",
            RelayedKind::Ownership => "ownership",
            RelayedKind::Configuration => "configuration",
        }
    }

    /// The corresponding kind of objects in the store.
    pub(super) fn object_kind(self) -> ObjectKind {
        match self {
            RelayedKind::Instances => ObjectKind::Instances,
            RelayedKind::Nodes => ObjectKind::Nodes,
            RelayedKind::Ownership => ObjectKind::Ownership,
            RelayedKind::Configuration => ObjectKind::Configuration,
        }
    }
}

impl RelayedKind {
    /// The relayed kind that corresponds to a kind of objects in the store, if there is one.
    pub(super) fn of(kind: ObjectKind) -> Option<RelayedKind> {
        let is_same = |relayed: &RelayedKind| relayed.object_kind() == kind;
        RelayedKind::ALL.into_iter().find(is_same)
    }
}

impl Node {
    /// The revision up to which this node knows all changes of a kind; `None` before its first
    /// list.
    pub(super) fn known_revision(&self, kind: RelayedKind) -> Option<u64> {
        match kind {
            RelayedKind::Instances | RelayedKind::Nodes => {
                self.store.revision_of(kind.object_kind())
            }
            RelayedKind::Ownership => {
                let listed = self.coordination.record_listed;
                listed.then(|| self.ownership.revision().unwrap_or(0))
            }
            RelayedKind::Configuration => {
                // A node whose calls the store has refused since its start gets the
                // configuration from the coordinator.
                let listed = self.store.has_listed(ObjectKind::Configuration);
                let refused = self.store.health.has_failed();
                (listed || refused).then(|| self.configuration_version())
            }
        }
    }

    /// Asks the coordinator for changes that this node has missed.
    fn request_changes(&mut self, kind: RelayedKind, now: Timestamp, out: &mut Vec<Action>) {
        if self.coordination.coordinator().is_some() {
            return;
        }
        let Some(since) = self.known_revision(kind) else {
            return;
        };
        let Some(address) = self.coordinator_address() else {
            return;
        };
        let gap = self.messaging.relay.gap(kind);
        if gap.next_request > now {
            return;
        }
        gap.next_request = now + REQUEST_INTERVAL;
        let request = encode(&PeerMessage::ResyncRequest { kind, since });
        send(address, &[request], out);
    }

    /// As coordinator, answers a node that has missed announced changes.
    pub(super) fn changes_requested(
        &mut self,
        from: SocketAddr,
        kind: RelayedKind,
        since: u64,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.coordination.coordinator().is_none() {
            return;
        }
        let unconfirmed = self.directory.removal_deferral_left(now);
        let relay = &mut self.messaging.relay;
        let datagrams = match kind {
            RelayedKind::Instances => {
                let changes = relay.instances.since(since, objects::MAX_INSTANCES);
                changes.map(|changes| objects::instance_datagrams(&changes, unconfirmed))
            }
            RelayedKind::Nodes => {
                let changes = relay.nodes.since(since, objects::MAX_NODES);
                changes.map(|changes| objects::node_datagrams(&changes))
            }
            RelayedKind::Ownership => relay.ownership_datagrams(since),
            RelayedKind::Configuration => relay.configuration_datagrams(since),
        };
        let datagrams = datagrams.or_else(|| self.snapshot_for(from, kind, now));
        if let Some(datagrams) = datagrams {
            send(from, &datagrams, out);
        } else if self.known_revision(kind).is_some_and(|known| since < known) {
            let unavailable = PeerMessage::ResyncUnavailable { kind, since };
            send(from, &[encode(&unavailable)], out);
        }
    }

    /// The coordinator can't send missed changes in datagrams, so waiting for them is of no use.
    pub(super) fn changes_unavailable(
        &mut self,
        from: SocketAddr,
        kind: RelayedKind,
        since: u64,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let is_awaited = self.known_revision(kind) == Some(since);
        let reads = self.settings.protections.has(Protection::ReadUnavailable);
        if reads && is_awaited && self.coordinator_address() == Some(from) {
            self.fill_gap_without_datagrams(kind, now, out);
        }
    }

    /// A snapshot of all instances for a node that repeatedly asks for changes no longer in
    /// the log. Any other node would ask the store, but the store refuses this one. Nodes
    /// transfer snapshots that are too large for datagrams among themselves.
    fn snapshot_for(
        &mut self,
        from: SocketAddr,
        kind: RelayedKind,
        now: Timestamp,
    ) -> Option<Vec<Datagram>> {
        let is_due = kind == RelayedKind::Instances
            && self.directory.is_complete()
            && self.directory.len() <= objects::MAX_INSTANCES
            && self
                .messaging
                .relay
                .snapshot_requests
                .is_snapshot_due(from, now);
        is_due.then(|| {
            let revision = self.messaging.relay.instances_revision;
            objects::snapshot_datagrams(&self.directory, revision, now)
        })
    }
}

/// Splits a list into parts and encodes each of them as a datagram. A list with too many parts
/// reaches the other nodes as a complete list over connections, or from the store.
fn part_datagrams<T: Clone + SerBin>(
    base: u64,
    revision: u64,
    changed: &[T],
    per_part: usize,
    message: impl Fn(ChangeSpan, List<T>) -> PeerMessage,
) -> Vec<Datagram> {
    if changed.len() > per_part * usize::from(MAX_PARTS) {
        log::info!(target: "peers", "{} changes exceed the limit for datagrams; not sent", changed.len());
        return Vec::new();
    }
    let chunks = split_by_size(changed, per_part);
    let count = match u8::try_from(chunks.len()) {
        Ok(count) if count <= MAX_PARTS => count,
        _ => return Vec::new(),
    };
    (0..count)
        .zip(chunks)
        .map(|(part, chunk)| {
            let span = ChangeSpan {
                base,
                revision,
                part,
                parts: count,
            };
            encode(&message(span, List(chunk)))
        })
        .collect()
}

/// Splits changes so that each part fits in a datagram. Returns at least one part: a list
/// without changes must be announced too, otherwise the receivers would ask for what precedes
/// the next one.
fn split_by_size<T: Clone + SerBin>(changed: &[T], per_part: usize) -> Vec<Vec<T>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for change in changed {
        let length = codec::encode(change).len();
        let last_is_full = chunks
            .last()
            .is_some_and(|last| last.len() >= per_part || bytes + length > MAX_PART_BYTES);
        if last_is_full && bytes > 0 {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += length;
        if let Some(last) = chunks.last_mut() {
            last.push(change.clone());
        }
    }
    chunks
}
