//! Changes that the store told the coordinator, passed on to the other nodes.
//!
//! A node that gets them all needs no watch of its own. Each list of changes
//! names the store's revisions it lies between. A node that has missed one
//! learns so from the next list, or from the coordinator's next heartbeat. It
//! asks the coordinator for what is missing, and the store if that doesn't
//! help.

mod configuration;
mod entries;
mod gaps;
mod lacking;
mod objects;
mod ownership;

pub(super) use entries::{changed_assignment, listed_node, registration};
pub(super) use objects::differences;
pub(super) use ownership::TakeOver;

use gaps::Gap;
use lacking::Lacking;
use ownership::AnnouncedTakeOver;

use super::Node;
use super::gossip::send;
use crate::Timestamp;
use crate::configuration::Configuration;
use crate::dialect::{ObjectEvent, ObjectKind};
use crate::io::Action;
use crate::ownership::record::Assignment;
use crate::peers::{
    ChangeListAssembler, ChangeLog, ChangeSpan, ChangedAssignment, ChangedInstance, ChangedNode,
    ConfigurationChange, Datagram, LimitsEntry, MAX_PARTS, PeerMessage, RelayedKind, encode,
};
use ledgelead_types::codec::{self, List};
use nanoserde::SerBin;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// How many lists of changes of instances or nodes a coordinator keeps. Its
/// watch answers each 150 ms at most, so they reach back 10 s, further than a
/// list that may be some seconds old.
const KEPT_LISTS: usize = 64;
/// The same for the record of ownership, which is written up to 20 times a
/// second while keys move.
const KEPT_OWNERSHIP: usize = 256;
/// Most bytes of entries in one datagram. With its span it fits what a receiver reads,
/// also if it is passed on; names of 255 bytes would exceed that at the usual count.
const MAX_PART_BYTES: usize = 1_350;
/// Pause between two requests for missed changes of one kind.
const REQUEST_PAUSE: Duration = Duration::from_millis(60);

/// State of what is passed on.
pub(super) struct RelayState {
    instances: ChangeLog<ObjectEvent>,
    nodes: ChangeLog<ObjectEvent>,
    ownership: ChangeLog<Assignment>,
    /// This node's own take-over, if it has taken the coordinator's place.
    take_over: Option<AnnouncedTakeOver>,
    /// The newest versions, the oldest first.
    configurations: VecDeque<Configuration>,
    /// The datagrams that bring a node with an earlier version to the newest one,
    /// or none where they would be too many. Many nodes ask for the same.
    configuration_datagrams: HashMap<u64, Option<Vec<Datagram>>>,
    /// The store's revision by which this node last knew of a change of an
    /// instance.
    instances_revision: u64,
    /// The same for the nodes.
    nodes_revision: u64,
    gaps: [Gap; RelayedKind::ALL.len()],
    instance_parts: ChangeListAssembler<ChangedInstance>,
    snapshot_parts: ChangeListAssembler<ChangedInstance>,
    /// Nodes that lack changes of instances which the log doesn't reach back to.
    lacking: Lacking,
    node_parts: ChangeListAssembler<ChangedNode>,
    ownership_parts: ChangeListAssembler<ChangedAssignment>,
    configuration_parts: ChangeListAssembler<(LimitsEntry, Vec<ConfigurationChange>)>,
}

impl Default for RelayState {
    fn default() -> RelayState {
        RelayState {
            instances: ChangeLog::new(KEPT_LISTS),
            nodes: ChangeLog::new(KEPT_LISTS),
            ownership: ChangeLog::new(KEPT_OWNERSHIP),
            take_over: None,
            configurations: VecDeque::new(),
            configuration_datagrams: HashMap::new(),
            instances_revision: 0,
            nodes_revision: 0,
            gaps: Default::default(),
            instance_parts: ChangeListAssembler::default(),
            snapshot_parts: ChangeListAssembler::default(),
            lacking: Lacking::default(),
            node_parts: ChangeListAssembler::default(),
            ownership_parts: ChangeListAssembler::default(),
            configuration_parts: ChangeListAssembler::default(),
        }
    }
}

impl RelayState {
    /// The store's revision by which this node last knew of a change.
    pub(super) fn instances_revision(&self) -> u64 {
        self.instances_revision
    }

    /// The same for the nodes.
    pub(super) fn nodes_revision(&self) -> u64 {
        self.nodes_revision
    }

    /// Some object of this kind has changed by this revision.
    pub(super) fn changed(&mut self, kind: ObjectKind, revision: u64) {
        let known = match kind {
            ObjectKind::Instances => &mut self.instances_revision,
            ObjectKind::Nodes => &mut self.nodes_revision,
            _ => return,
        };
        *known = revision.max(*known);
    }
}

impl RelayedKind {
    /// Every kind, in the order of its declaration.
    pub(super) const ALL: [RelayedKind; 4] = [
        RelayedKind::Instances,
        RelayedKind::Nodes,
        RelayedKind::Ownership,
        RelayedKind::Configuration,
    ];

    /// Its name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            RelayedKind::Instances => "instances",
            RelayedKind::Nodes => "nodes",
            RelayedKind::Ownership => "ownership",
            RelayedKind::Configuration => "configuration",
        }
    }

    /// The kind of the store's objects.
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
    /// The kind that the store's objects of another kind are relayed as, if they are.
    pub(super) fn of(kind: ObjectKind) -> Option<RelayedKind> {
        let is_same = |relayed: &RelayedKind| relayed.object_kind() == kind;
        RelayedKind::ALL.into_iter().find(is_same)
    }
}

impl Node {
    /// Up to which revision this node knows all changes of a kind; none before
    /// its first list.
    pub(super) fn known_revision(&self, kind: RelayedKind) -> Option<u64> {
        match kind {
            RelayedKind::Instances | RelayedKind::Nodes => {
                self.store.revision_of(kind.object_kind())
            }
            RelayedKind::Ownership => {
                let listed = self.coordination.listed;
                listed.then(|| self.ownership.revision().unwrap_or(0))
            }
            RelayedKind::Configuration => {
                // A node that the store refuses from its start gets it from the
                // coordinator.
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
        let gap = self.gossip.relay.gap(kind);
        if gap.next_request > now {
            return;
        }
        gap.next_request = now + REQUEST_PAUSE;
        let request = encode(&PeerMessage::ResyncRequest { kind, since });
        send(address, &[request], out);
    }

    /// A node has missed changes that this coordinator has announced.
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
        let unconfirmed = self.directory.doubt_left(now);
        let relay = &mut self.gossip.relay;
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
        }
    }

    /// All instances, for a node that goes on lacking changes of them: the store, which
    /// every other node asks for them, refuses it. Where they are too many for datagrams,
    /// nodes get them from each other.
    fn snapshot_for(
        &mut self,
        from: SocketAddr,
        kind: RelayedKind,
        now: Timestamp,
    ) -> Option<Vec<Datagram>> {
        let is_due = kind == RelayedKind::Instances
            && self.directory.is_complete()
            && self.directory.len() <= objects::MAX_INSTANCES
            && self.gossip.relay.lacking.is_snapshot_due(from, now);
        is_due.then(|| {
            let revision = self.gossip.relay.instances_revision;
            objects::snapshot_datagrams(&self.directory, revision, now)
        })
    }
}

/// Splits a list into parts and encodes each. A list with too many of them reaches the
/// others as a whole, over connections, or by the store.
fn parts<T: Clone + SerBin>(
    base: u64,
    revision: u64,
    changed: &[T],
    a_part: usize,
    message: impl Fn(ChangeSpan, List<T>) -> PeerMessage,
) -> Vec<Datagram> {
    if changed.len() > a_part * usize::from(MAX_PARTS) {
        log::info!(target: "peers", "{} changes are too many for datagrams", changed.len());
        return Vec::new();
    }
    let chunks = chunks(changed, a_part);
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

/// Splits changes so that each part fits a datagram. At least one part: a list that
/// changes nothing is told too, else the others would ask for what lies before it.
fn chunks<T: Clone + SerBin>(changed: &[T], a_part: usize) -> Vec<Vec<T>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for change in changed {
        let length = codec::encode(change).len();
        let last_is_full = chunks
            .last()
            .is_some_and(|last| last.len() >= a_part || bytes + length > MAX_PART_BYTES);
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
