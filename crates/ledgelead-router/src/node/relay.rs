//! Changes that the store told the coordinator, passed on to the other nodes.
//!
//! A node that gets them all needs no watch of its own. Each list of changes
//! names the store's revisions it lies between. A node that has missed one
//! learns so from the next list, or from the coordinator's next heartbeat. It
//! asks the coordinator for what is missing, and the store if that is of no
//! help.

use super::Node;
use super::gossip::{Lag, send};
use crate::Timestamp;
use crate::dialect::{ObjectContent, ObjectEvent, ObjectKind};
use crate::directory::InstanceRecord;
use crate::identity::{InstanceId, NodeIdentity, NodeName, ServiceName, ZoneName};
use crate::io::Action;
use crate::ownership::record::{Assignment, OwnershipRecord};
use crate::peers::{
    Assembly, ChangeList, ChangeSpan, ChangedAssignment, ChangedInstance, ChangedNode, Datagram,
    InstanceEntry, MAX_PARTS, NodeEntry, NodeRecord, PeerMessage, RelayedKind, encode,
};
use ledgelead_types::codec::{List, Text};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Most instances in one datagram.
const INSTANCES_A_PART: usize = 8;
/// Most nodes in one datagram.
const NODES_A_PART: usize = 12;
/// Most assignments in one datagram.
const ASSIGNMENTS_A_PART: usize = 20;
/// How many lists of changes of one kind a coordinator keeps for nodes that
/// have missed some.
const KEPT_LISTS: usize = 64;
/// Pause between two questions for missed changes of one kind.
const WANT_PAUSE: Duration = Duration::from_millis(60);

/// A list of changes between two revisions.
#[derive(Clone, Debug)]
struct Changes {
    base: u64,
    revision: u64,
    events: Vec<ObjectEvent>,
}

/// What is kept of one kind of changes.
#[derive(Debug, Default)]
struct Relayed {
    /// Lists that this node has told as coordinator, the oldest first; each
    /// goes on where the one before ends.
    told: VecDeque<Changes>,
    /// The store's revision by which this node last knew of a change.
    revision: u64,
    /// How long this node has known less than the coordinator.
    lag: Lag,
    /// When the coordinator may be asked for missed changes again.
    next_want: Timestamp,
}

impl Relayed {
    fn keep(&mut self, changes: Changes) {
        let follows = self
            .told
            .back()
            .is_none_or(|last| last.revision == changes.base);
        if !follows {
            self.told.clear();
        }
        self.told.push_back(changes);
        if self.told.len() > KEPT_LISTS {
            self.told.pop_front();
        }
    }

    /// All changes after a revision, if they are still there.
    fn since(&self, revision: u64) -> Option<Changes> {
        let first = self.told.front()?;
        let last = self.told.back()?;
        if revision < first.base || last.revision <= revision {
            return None;
        }
        let later = self.told.iter().filter(|list| list.revision > revision);
        Some(Changes {
            base: revision,
            revision: last.revision,
            events: later.flat_map(|list| list.events.clone()).collect(),
        })
    }
}

/// State of what is passed on.
#[derive(Debug, Default)]
pub(super) struct RelayState {
    instances: Relayed,
    nodes: Relayed,
    instance_parts: Assembly<ChangedInstance>,
    node_parts: Assembly<ChangedNode>,
    ownership_parts: Assembly<ChangedAssignment>,
}

impl RelayState {
    fn of(&mut self, kind: RelayedKind) -> &mut Relayed {
        match kind {
            RelayedKind::Instances => &mut self.instances,
            RelayedKind::Nodes => &mut self.nodes,
        }
    }

    /// The store's revision by which this node last knew of a change.
    pub(super) fn revision(&self, kind: RelayedKind) -> u64 {
        match kind {
            RelayedKind::Instances => self.instances.revision,
            RelayedKind::Nodes => self.nodes.revision,
        }
    }

    /// Something of this kind has changed by this revision.
    pub(super) fn changed(&mut self, kind: RelayedKind, revision: u64) {
        let relayed = self.of(kind);
        relayed.revision = relayed.revision.max(revision);
    }
}

/// What a node says that has taken the coordinator's place.
#[derive(Debug)]
pub(super) struct TakeOver {
    /// The revision of the record before.
    pub(super) base: u64,
    /// Its revision now.
    pub(super) revision: u64,
    pub(super) coordinator: NodeIdentity,
    /// The token of the first assignment.
    pub(super) first_fence: u64,
    /// Digest of the record as it is now.
    pub(super) digest: u64,
}

impl Node {
    /// Tells all nodes what the store has told this coordinator up to a
    /// revision. The list begins at the last change, not where the watch went
    /// on: the store's revision rises with other kinds too, and the others have
    /// seen nothing of that.
    pub(super) fn relay(
        &mut self,
        kind: RelayedKind,
        revision: u64,
        events: Vec<ObjectEvent>,
        out: &mut Vec<Action>,
    ) {
        let changes = Changes {
            base: self.gossip.relay.revision(kind),
            revision,
            events,
        };
        self.tell_all(&encode_changes(kind, &changes), out);
        self.gossip.relay.of(kind).keep(changes);
    }

    /// The coordinator has seen a change of this revision. What this node has
    /// missed, it asks the coordinator for, and after a while the store.
    pub(super) fn heard_of(
        &mut self,
        kind: RelayedKind,
        revision: u64,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let object_kind = kind.object_kind();
        let follows = self.coordination.coordinator().is_none();
        let known = self.store.revision_of(object_kind);
        let behind = follows && known.is_some_and(|known| known < revision);
        if behind {
            self.want_changes(kind, now, out);
        }
        let relayed = self.gossip.relay.of(kind);
        if let Some(since) = relayed.lag.update(behind, now) {
            self.ask_again(object_kind, since, now, out);
        }
    }

    /// A node has missed changes that this coordinator has told.
    pub(super) fn changes_wanted(
        &mut self,
        from: SocketAddr,
        kind: RelayedKind,
        since: u64,
        out: &mut Vec<Action>,
    ) {
        if self.coordination.coordinator().is_none() {
            return;
        }
        if let Some(changes) = self.gossip.relay.of(kind).since(since) {
            send(from, &encode_changes(kind, &changes), out);
        }
    }

    /// Asks the coordinator for changes that this node has missed. If it gets
    /// no answer, it asks the store, since it stays behind.
    pub(super) fn want_changes(
        &mut self,
        kind: RelayedKind,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(since) = self.store.revision_of(kind.object_kind()) else {
            return;
        };
        let Some(address) = self.coordinator_address() else {
            return;
        };
        let relayed = self.gossip.relay.of(kind);
        if relayed.next_want > now {
            return;
        }
        relayed.next_want = now + WANT_PAUSE;
        let request = encode(&PeerMessage::ChangesWanted { kind, since });
        send(address, &[request], out);
    }

    /// The coordinator told changed instances.
    pub(super) fn instances_told(
        &mut self,
        span: ChangeSpan,
        changes: List<ChangedInstance>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(list) = self.gossip.relay.instance_parts.add(span, changes.0) else {
            return;
        };
        if !self.follows_on(RelayedKind::Instances, &list, now, out) {
            return;
        }
        let revision = list.revision();
        for change in list.into_changes() {
            let id = InstanceId::from(change.id.0.as_str());
            match &change.entry {
                None => self.directory.remove(&id, now),
                Some(entry) => {
                    if let Some(record) = instance_record(id, entry) {
                        self.directory.upsert(record, now);
                    }
                }
            }
        }
        self.list_applied(RelayedKind::Instances, revision);
        self.reconsider_waiting(now, out);
    }

    /// The coordinator told changed registrations of nodes.
    pub(super) fn nodes_told(
        &mut self,
        span: ChangeSpan,
        changes: List<ChangedNode>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(list) = self.gossip.relay.node_parts.add(span, changes.0) else {
            return;
        };
        if !self.follows_on(RelayedKind::Nodes, &list, now, out) {
            return;
        }
        let revision = list.revision();
        for change in list.into_changes() {
            let name = NodeName::from(change.node.0.as_str());
            match &change.entry {
                None => self.registry.remove(&name),
                Some(entry) => {
                    if let Some(record) = node_record(name, entry) {
                        self.registry.upsert(record);
                    }
                }
            }
        }
        self.list_applied(RelayedKind::Nodes, revision);
    }

    /// All up to this revision is known.
    fn list_applied(&mut self, kind: RelayedKind, revision: u64) {
        self.store.advance(kind.object_kind(), revision);
        self.gossip.relay.changed(kind, revision);
    }

    /// Whether changes are news to this node and none before them is missing.
    /// While the store fails this node, an entry may be gone only because its
    /// instance couldn't write; that is for its own watch to judge.
    fn follows_on<T>(
        &mut self,
        kind: RelayedKind,
        list: &ChangeList<T>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> bool {
        let judges = self.store.health.serves() && self.coordination.coordinator().is_none();
        let Some(known) = self.store.revision_of(kind.object_kind()) else {
            return false;
        };
        if judges && known < list.base() {
            self.want_changes(kind, now, out);
        }
        judges && list.follows(known)
    }

    /// Tells all nodes what a write of the record has changed.
    pub(super) fn tell_ownership(&self, base: u64, changes: &[Assignment], out: &mut Vec<Action>) {
        let Some(revision) = self.ownership.revision() else {
            return;
        };
        let changed: Vec<ChangedAssignment> = changes.iter().map(changed_assignment).collect();
        let datagrams = parts(
            base,
            revision,
            &changed,
            ASSIGNMENTS_A_PART,
            |span, changes| PeerMessage::OwnershipChanged { span, changes },
        );
        self.tell_all(&datagrams, out);
    }

    /// The coordinator told new assignments.
    pub(super) fn ownership_told(
        &mut self,
        span: ChangeSpan,
        changes: List<ChangedAssignment>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(list) = self.gossip.relay.ownership_parts.add(span, changes.0) else {
            return;
        };
        let (base, revision) = (list.base(), list.revision());
        let assignments: Option<Vec<Assignment>> = list
            .into_changes()
            .iter()
            .map(|change| self.known_assignment(change))
            .collect();
        let Some(assignments) = assignments else {
            return;
        };
        let follows = self.coordination.coordinator().is_none();
        if follows && self.ownership.overlay(base, revision, assignments) {
            self.reconsider_waiting(now, out);
        }
    }

    fn known_assignment(&self, change: &ChangedAssignment) -> Option<Assignment> {
        let service = self.service_by_hash(change.service)?;
        Some(Assignment {
            service: service.clone(),
            first: change.first,
            last: change.last,
            owner: InstanceId::from(change.owner.0.as_str()),
            fence: change.fence,
        })
    }

    /// The service whose keys have owners and whose name has this hash.
    pub(super) fn service_by_hash(&self, hash: u64) -> Option<&ServiceName> {
        self.configuration
            .as_ref()?
            .sharded_services()
            .find(|service| service.stable_hash() == hash)
    }

    /// Tells all nodes that this one has taken the coordinator's place.
    pub(super) fn tell_take_over(
        &self,
        base: u64,
        before: &OwnershipRecord,
        out: &mut Vec<Action>,
    ) {
        let Some(revision) = self.ownership.revision() else {
            return;
        };
        let took_over = encode(&PeerMessage::TookOver {
            base,
            revision,
            node: Text(self.settings.identity.node.to_string()),
            incarnation: self.settings.identity.incarnation,
            first_fence: before.next_fence,
            digest: self.ownership.record().digest(),
        });
        self.tell_all(&[took_over], out);
    }

    /// Another node says that it has taken the coordinator's place. The record
    /// follows from the one before; if this node's doesn't, the store is asked
    /// as soon as a heartbeat tells of the newer revision.
    pub(super) fn heard_take_over(
        &mut self,
        told: TakeOver,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.coordination.coordinator().is_some() {
            self.store.refresh_ownership(now, out);
            return;
        }
        let mut before = self.ownership.record().clone();
        before.next_fence = told.first_fence;
        let record = before.taken_over_by(&told.coordinator, self.settings.protections);
        let same = record.digest() == told.digest;
        if same && self.ownership.supersede(told.base, told.revision, record) {
            let record = self.ownership.record();
            self.coordination.election.observed(record, now);
            self.reconsider_waiting(now, out);
        }
    }
}

/// The last event of each object, by name. What can't be read is not told.
fn last_events(events: &[ObjectEvent]) -> Vec<&ObjectEvent> {
    let by_name: BTreeMap<&str, &ObjectEvent> = events
        .iter()
        .filter(|event| event.gone || event.object.content.is_ok())
        .map(|event| (event.object.name.as_str(), event))
        .collect();
    by_name.into_values().collect()
}

impl RelayedKind {
    fn object_kind(self) -> ObjectKind {
        match self {
            RelayedKind::Instances => ObjectKind::Instances,
            RelayedKind::Nodes => ObjectKind::Nodes,
        }
    }
}

/// The kind by which changes of these objects are passed on, if they are.
pub(super) fn relayed_kind(kind: ObjectKind) -> Option<RelayedKind> {
    match kind {
        ObjectKind::Instances => Some(RelayedKind::Instances),
        ObjectKind::Nodes => Some(RelayedKind::Nodes),
        ObjectKind::Configuration | ObjectKind::Ownership => None,
    }
}

/// Splits a list into parts and encodes each. A list with too many of them is
/// left to the store.
fn parts<T: Clone>(
    base: u64,
    revision: u64,
    changed: &[T],
    a_part: usize,
    message: impl Fn(ChangeSpan, List<T>) -> PeerMessage,
) -> Vec<Datagram> {
    let chunks: Vec<&[T]> = changed.chunks(a_part).collect();
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
            encode(&message(span, List(chunk.to_vec())))
        })
        .collect()
}

fn encode_changes(kind: RelayedKind, changes: &Changes) -> Vec<Datagram> {
    let (base, revision) = (changes.base, changes.revision);
    let events = last_events(&changes.events).into_iter();
    match kind {
        RelayedKind::Instances => {
            let changed: Vec<ChangedInstance> = events.map(changed_instance).collect();
            parts(
                base,
                revision,
                &changed,
                INSTANCES_A_PART,
                |span, changes| PeerMessage::InstancesChanged { span, changes },
            )
        }
        RelayedKind::Nodes => {
            let changed: Vec<ChangedNode> = events.map(changed_node).collect();
            parts(base, revision, &changed, NODES_A_PART, |span, changes| {
                PeerMessage::NodesChanged { span, changes }
            })
        }
    }
}

fn changed_assignment(assignment: &Assignment) -> ChangedAssignment {
    ChangedAssignment {
        service: assignment.service.stable_hash(),
        first: assignment.first,
        last: assignment.last,
        owner: Text(assignment.owner.to_string()),
        fence: assignment.fence,
    }
}

fn changed_instance(event: &ObjectEvent) -> ChangedInstance {
    let entry = match &event.object.content {
        Ok(ObjectContent::Instance(record)) if !event.gone => Some(InstanceEntry {
            service: Text(record.service.to_string()),
            address: Text(record.address.to_string()),
            zone: Text(record.zone.to_string()),
            slots: record.slots,
            draining: record.draining,
            warmup_left_ms: u32::try_from(record.warmup_left.as_millis()).unwrap_or(u32::MAX),
        }),
        _ => None,
    };
    ChangedInstance {
        id: Text(event.object.name.clone()),
        entry,
    }
}

fn changed_node(event: &ObjectEvent) -> ChangedNode {
    let entry = match &event.object.content {
        Ok(ObjectContent::Node(record)) if !event.gone => Some(NodeEntry {
            incarnation: record.identity.incarnation,
            zone: Text(record.zone.to_string()),
            address: Text(record.address.to_string()),
            millicores: record.millicores,
        }),
        _ => None,
    };
    ChangedNode {
        node: Text(event.object.name.clone()),
        entry,
    }
}

fn instance_record(id: InstanceId, entry: &InstanceEntry) -> Option<InstanceRecord> {
    Some(InstanceRecord {
        id,
        service: ServiceName::from(entry.service.0.as_str()),
        address: entry.address.0.parse().ok()?,
        zone: ZoneName::from(entry.zone.0.as_str()),
        slots: entry.slots,
        draining: entry.draining,
        warmup_left: Duration::from_millis(u64::from(entry.warmup_left_ms)),
    })
}

fn node_record(node: NodeName, entry: &NodeEntry) -> Option<NodeRecord> {
    Some(NodeRecord {
        identity: NodeIdentity {
            node,
            incarnation: entry.incarnation,
        },
        zone: ZoneName::from(entry.zone.0.as_str()),
        address: entry.address.0.parse().ok()?,
        millicores: entry.millicores,
    })
}
