//! Announcement of changed instances and node registrations.

use super::entries::{
    changed_instance, changed_node, instance_record, listed_instance, registration,
};
use super::part_datagrams;
use crate::Timestamp;
use crate::dialect::{Object, ObjectContent, ObjectEvent, ObjectKind};
use crate::directory::{Directory, Entry, Presence};
use crate::identity::{InstanceId, NodeName};
use crate::io::Action;
use crate::node::Node;
use crate::peers::{
    ChangeList, ChangeSpan, ChangedInstance, ChangedNode, Changes, Datagram, MAX_PARTS,
    PeerMessage, RelayedKind,
};
use ledgelead_types::codec::List;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of instances in one datagram.
const INSTANCES_PER_PART: usize = 8;
/// Maximum number of nodes in one datagram.
const NODES_PER_PART: usize = 12;
/// Maximum number of instances in one list.
pub(super) const MAX_INSTANCES: usize = INSTANCES_PER_PART * MAX_PARTS as usize;
/// Maximum number of nodes in one list.
pub(super) const MAX_NODES: usize = NODES_PER_PART * MAX_PARTS as usize;

impl Node {
    /// Announces the changes that the store has reported to this coordinator up to a revision.
    /// The list starts at the last change of the same kind, not at the revision from which the
    /// watch continued. The store's revision also increases with objects of other kinds, which
    /// are not part of these lists.
    pub(in crate::node) fn relay_changes(
        &mut self,
        kind: ObjectKind,
        revision: u64,
        events: Vec<ObjectEvent>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let unconfirmed = self.directory.removal_deferral_left(now);
        let relay = &mut self.messaging.relay;
        let (log, base) = match kind {
            ObjectKind::Instances => (&mut relay.instances, relay.instances_revision),
            ObjectKind::Nodes => (&mut relay.nodes, relay.nodes_revision),
            _ => return,
        };
        if revision <= base {
            return;
        }
        let changes = Changes {
            base,
            revision,
            items: events,
        };
        log.push(changes.clone());
        let datagrams = match kind {
            ObjectKind::Nodes => node_datagrams(&changes),
            _ => instance_datagrams(&changes, unconfirmed),
        };
        self.broadcast(&datagrams, now, out);
    }

    /// Applies changed instances announced by the coordinator.
    pub(in crate::node) fn instances_announced(
        &mut self,
        span: ChangeSpan,
        changes: List<ChangedInstance>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let list = self.messaging.relay.instance_parts.add(span, changes.0);
        let Some(list) = self.next_in_sequence(RelayedKind::Instances, list, now, out) else {
            return;
        };
        let revision = list.revision();
        for change in list.into_changes() {
            let id = InstanceId::parse(&change.id.0);
            match &change.entry {
                None => self.directory.remove(id.name(), now),
                Some(entry) => match instance_record(id.clone(), entry) {
                    Some(record) => self.directory.upsert(Entry::at(revision, record), now),
                    None => self.directory.remove_unreadable(id.name(), now),
                },
            }
        }
        self.list_applied(ObjectKind::Instances, revision);
        self.reconsider_waiting(now, out);
    }

    /// Applies a snapshot of all instances sent by the coordinator.
    pub(in crate::node) fn instances_listed(
        &mut self,
        span: ChangeSpan,
        instances: List<ChangedInstance>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let list = self.messaging.relay.snapshot_parts.add(span, instances.0);
        let Some(list) = self.next_in_sequence(RelayedKind::Instances, list, now, out) else {
            return;
        };
        let revision = list.revision();
        let record = |listed: ChangedInstance| {
            let id = InstanceId::parse(&listed.id.0);
            let record = instance_record(id, &listed.entry?)?;
            Some(Entry::at(revision, record))
        };
        let entries: Vec<Entry> = list.into_changes().into_iter().filter_map(record).collect();
        self.directory.replace_all(entries, now);
        self.list_applied(ObjectKind::Instances, revision);
        self.reconsider_waiting(now, out);
    }

    /// Applies changed node registrations announced by the coordinator.
    pub(in crate::node) fn nodes_announced(
        &mut self,
        span: ChangeSpan,
        changes: List<ChangedNode>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let list = self.messaging.relay.node_parts.add(span, changes.0);
        let Some(list) = self.next_in_sequence(RelayedKind::Nodes, list, now, out) else {
            return;
        };
        let revision = list.revision();
        for change in list.into_changes() {
            let name = NodeName::from(change.node.0.as_str());
            match &change.entry {
                None => self.registry.remove(&name),
                Some(entry) => {
                    if let Some(registration) = registration(name, entry) {
                        self.registry.upsert(registration);
                        self.record_earlier_incarnation();
                    }
                }
            }
        }
        self.list_applied(ObjectKind::Nodes, revision);
    }

    /// Records that all changes of a kind up to this revision are known.
    fn list_applied(&mut self, kind: ObjectKind, revision: u64) {
        self.store.advance(kind, revision);
        self.messaging.relay.record_change(kind, revision);
    }

    /// Returns the list if it is complete, new, and no list before it is missing. If this
    /// node's calls to the store fail and it follows no coordinator that the store serves, an
    /// entry may be gone only because its instance couldn't write it. Then no list is
    /// returned, and the node's own watch decides later.
    fn next_in_sequence<T>(
        &mut self,
        kind: RelayedKind,
        list: Option<ChangeList<T>>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> Option<ChangeList<T>> {
        let list = list?;
        let is_served = self.store.health.serves() || self.messaging.following_until.is_some();
        let may_apply = is_served && self.coordination.coordinator().is_none();
        let known = self.known_revision(kind).filter(|_| may_apply)?;
        if known < list.base() {
            self.request_changes(kind, now, out);
        }
        list.follows(known).then_some(list)
    }
}

/// The changes between the known instances and a complete list. An unreadable entry counts as
/// removed.
pub(in crate::node) fn differences(directory: &Directory, listed: &[Object]) -> Vec<ObjectEvent> {
    let listed: Vec<&Object> = listed
        .iter()
        .filter(|object| object.content.is_ok())
        .collect();
    let present: BTreeSet<&str> = listed.iter().map(|object| object.name.as_str()).collect();
    let is_known = |object: &Object| match &object.content {
        Ok(ObjectContent::Instance(record)) => directory.get(&record.id).is_some_and(|known| {
            known.record == *record && !matches!(known.presence, Presence::Gone { .. })
        }),
        _ => false,
    };
    let changed = listed
        .iter()
        .filter(|object| !is_known(object))
        .map(|object| ObjectEvent {
            object: (*object).clone(),
            gone: false,
        });
    let gone = directory
        .iter()
        .filter(|known| !matches!(known.presence, Presence::Gone { .. }))
        .filter(|known| !present.contains(known.record.id.name()))
        .map(|known| ObjectEvent {
            object: Object {
                name: known.record.id.name().to_owned(),
                revision: 0,
                content: Ok(ObjectContent::Instance(known.record.clone())),
            },
            gone: true,
        });
    changed.chain(gone).collect()
}

/// The datagrams for changed instances. Removals may be unconfirmed for a while after an
/// outage of the store, since instances may write their entries again.
pub(super) fn instance_datagrams(
    changes: &Changes<ObjectEvent>,
    unconfirmed: Duration,
) -> Vec<Datagram> {
    // Unreadable entries are announced as removed.
    let named = changes
        .items
        .iter()
        .filter(|event| !event.object.name.is_empty());
    let events = last_events(named).into_iter();
    let changed: Vec<ChangedInstance> = events.map(changed_instance).collect();
    let message = |span, changes| PeerMessage::InstancesChanged {
        span,
        unconfirmed_ms: u16::try_from(unconfirmed.as_millis()).unwrap_or(u16::MAX),
        changes,
    };
    part_datagrams(
        changes.base,
        changes.revision,
        &changed,
        INSTANCES_PER_PART,
        message,
    )
}

/// The datagrams for a snapshot of all instances as known at a revision.
pub(super) fn snapshot_datagrams(
    directory: &Directory,
    revision: u64,
    now: Timestamp,
) -> Vec<Datagram> {
    let unconfirmed = directory.removal_deferral_left(now);
    let present: Vec<ChangedInstance> = directory
        .listed()
        .map(|known| listed_instance(&known.record))
        .collect();
    let message = |span, instances| PeerMessage::InstancesListed {
        span,
        unconfirmed_ms: u16::try_from(unconfirmed.as_millis()).unwrap_or(u16::MAX),
        instances,
    };
    part_datagrams(0, revision, &present, INSTANCES_PER_PART, message)
}

/// The datagrams for changed node registrations.
pub(super) fn node_datagrams(changes: &Changes<ObjectEvent>) -> Vec<Datagram> {
    // Unreadable registrations are not announced: the node is still reached as before.
    let read = changes
        .items
        .iter()
        .filter(|event| event.gone || event.object.content.is_ok());
    let events = last_events(read).into_iter();
    let changed: Vec<ChangedNode> = events.map(changed_node).collect();
    let message = |span, changes| PeerMessage::NodesChanged { span, changes };
    part_datagrams(
        changes.base,
        changes.revision,
        &changed,
        NODES_PER_PART,
        message,
    )
}

/// The last event of each object, sorted by name.
fn last_events<'a>(events: impl Iterator<Item = &'a ObjectEvent>) -> Vec<&'a ObjectEvent> {
    let by_name: BTreeMap<&str, &ObjectEvent> = events
        .map(|event| (event.object.name.as_str(), event))
        .collect();
    by_name.into_values().collect()
}
