//! Applies objects read from the store to the node's state.

use super::Node;
use crate::Timestamp;
use crate::configuration::{Configuration, RouteTable};
use crate::dialect::{Object, ObjectContent, ObjectEvent, ObjectKind};
use crate::directory::Entry;
use crate::events::Event;
use crate::identity::NodeName;
use crate::io::Action;
use crate::ownership::record::OwnershipRecord;
use crate::ownership::view::RecordVersion;
use crate::peers::Registration;
use crate::protections::Protection;
use crate::requests::RequestDigest;
use crate::store::era_of;
use std::collections::BTreeSet;

impl Node {
    /// Applies a complete list of objects of one kind.
    pub(super) fn apply_list(
        &mut self,
        kind: ObjectKind,
        objects: Vec<Object>,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let is_empty = objects.is_empty();
        let mut instances = Vec::new();
        let mut nodes = Vec::new();
        let mut zones = Vec::new();
        let mut quarantined = BTreeSet::new();
        for object in objects {
            self.record_readability(kind, &object);
            if kind == ObjectKind::Quarantine {
                self.evidence_read(&object, now);
                quarantined.extend(RequestDigest::parse(&object.name));
                continue;
            }
            match object.content {
                Ok(ObjectContent::Instance(record)) => {
                    instances.push(Entry::at(object.revision, record));
                }
                Ok(ObjectContent::Node(record)) => nodes.push(Registration {
                    record,
                    revision: object.revision,
                }),
                Ok(ObjectContent::Configuration(configuration)) => {
                    self.activate_configuration(configuration, now, out);
                }
                Ok(ObjectContent::Ownership(record)) => {
                    let version = RecordVersion {
                        revision: object.revision,
                        // A list that may be stale doesn't confirm the record.
                        is_confirmed: self.store.is_exact(kind),
                    };
                    self.ownership_changed(record, version, started, now, out);
                }
                Ok(ObjectContent::Evacuation(zone)) => zones.push(zone),
                Ok(ObjectContent::Quarantine(_)) => {}
                // An unreadable registration names no usable node; the rest of the list is
                // applied.
                Err(_) if kind == ObjectKind::Nodes => {
                    nodes.extend(self.known_registration(&object.name))
                }
                Err(_) => self.apply_unreadable(kind, &object.name, false, now),
            }
        }
        match kind {
            ObjectKind::Quarantine => {
                let revision = self.store.revision_of(kind).unwrap_or(0);
                if self.store.is_exact(kind) {
                    self.evidence_listed(&quarantined, revision, now);
                }
            }
            ObjectKind::Instances => self.directory.replace_all(instances, now),
            ObjectKind::Nodes => self.replace_nodes(nodes),
            ObjectKind::Ownership => {
                self.coordination.record_listed = true;
                if is_empty && self.store.is_exact(kind) {
                    self.apply_missing_record(now);
                }
            }
            ObjectKind::Configuration => {}
            ObjectKind::Evacuations => {
                let revision = self.store.revision_of(kind).unwrap_or(0);
                if self.evacuations.apply_list(&zones, revision) {
                    self.evacuations_changed(now, out);
                }
            }
        }
    }

    /// Replaces all known registrations of nodes.
    pub(super) fn replace_nodes(&mut self, registrations: Vec<Registration>) {
        let own = self.written_registration();
        self.registry.replace_all(registrations);
        if let Some(own) = own {
            // The list may be older.
            self.registry.upsert(own);
        }
        self.record_earlier_incarnation();
    }

    /// Records that the nodes were listed completely; `is_first` marks the first such list.
    pub(super) fn nodes_listed(&mut self, is_first: bool, now: Timestamp) {
        self.store.registration.record_nodes_listed();
        if is_first && !self.node_list.has_begun() {
            self.coordination.election.nodes_listed(now);
        }
    }

    /// Activates changed evacuations and announces them in an immediate heartbeat.
    pub(super) fn evacuations_changed(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let zones = self.evacuations.zones();
        Event::Evacuated { zones: zones.len() }.emit();
        self.directory.set_evacuated_zones(zones, now);
        self.coordination.schedule_step();
        self.messaging.send_heartbeat_soon();
        self.reconsider_waiting(now, out);
    }

    /// Applies a single change of an object.
    pub(super) fn apply_event(
        &mut self,
        kind: ObjectKind,
        event: ObjectEvent,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let object = event.object;
        if event.gone {
            self.unreadable.clear(kind, &object.name);
        } else {
            self.record_readability(kind, &object);
        }
        if let (Ok(ObjectContent::Quarantine(_)), false) = (&object.content, event.gone) {
            self.evidence_read(&object, now);
            return;
        }
        match object.content {
            Ok(ObjectContent::Instance(record)) if event.gone => {
                self.directory.remove(record.id.name(), now);
            }
            Ok(ObjectContent::Instance(record)) => {
                let entry = Entry::at(object.revision, record);
                self.directory.upsert(entry, now);
            }
            Ok(ObjectContent::Node(record)) if event.gone => {
                self.registry.remove(&record.identity.node);
            }
            Ok(ObjectContent::Node(record)) => {
                self.registry.upsert(Registration {
                    record,
                    revision: object.revision,
                });
                self.record_earlier_incarnation();
            }
            Ok(ObjectContent::Configuration(configuration)) if !event.gone => {
                self.activate_configuration(configuration, now, out);
            }
            Ok(ObjectContent::Ownership(record)) if !event.gone => {
                let version = RecordVersion::confirmed(object.revision);
                self.ownership_changed(record, version, started, now, out);
            }
            Ok(ObjectContent::Evacuation(zone)) => {
                let revision = self.store.revision_of(ObjectKind::Evacuations);
                let revision = revision.unwrap_or(object.revision);
                if self.evacuations.apply_change(&zone, !event.gone, revision) {
                    self.evacuations_changed(now, out);
                }
            }
            Ok(ObjectContent::Quarantine(_)) => {
                if let Some(request) = RequestDigest::parse(&object.name) {
                    self.quarantine_lifted(request, now);
                }
            }
            Ok(_) => self.unreadable.record(kind, &object.name, "was removed"),
            Err(_) => self.apply_unreadable(kind, &object.name, event.gone, now),
        }
    }

    /// Handles an object that was written in an unreadable form, or that was removed and is
    /// known only by its name. In both cases it names no usable instance.
    fn apply_unreadable(&mut self, kind: ObjectKind, name: &str, gone: bool, now: Timestamp) {
        match kind {
            ObjectKind::Instances if gone => self.directory.remove(name, now),
            ObjectKind::Instances
                if self.settings.protections.has(Protection::ExcludeUnreadable) =>
            {
                self.directory.remove_unreadable(name, now);
            }
            ObjectKind::Nodes if gone => self.registry.remove(&NodeName::from(name)),
            ObjectKind::Quarantine if gone => {
                if let Some(request) = RequestDigest::parse(name) {
                    self.quarantine_lifted(request, now);
                }
            }
            _ => {}
        }
    }

    /// The last known registration of a node whose object has become unreadable. The node is
    /// still reached by it.
    fn known_registration(&self, name: &str) -> Option<Registration> {
        self.registry.registration(&NodeName::from(name)).cloned()
    }

    fn record_readability(&mut self, kind: ObjectKind, object: &Object) {
        match &object.content {
            Ok(_) => self.unreadable.clear(kind, &object.name),
            Err(finding) => self.unreadable.record(kind, &object.name, finding),
        }
    }

    /// Activates a configuration, unless this incarnation of the node already has that version
    /// or a higher one.
    pub(super) fn activate_configuration(
        &mut self,
        configuration: Configuration,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let known = self.configuration.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= configuration.version) {
            return;
        }
        let version = configuration.version;
        Event::ConfigurationInForce { version }.emit();
        self.routes = RouteTable::new(&configuration);
        self.configuration = Some(configuration);
        self.configuration_activated(now, out);
    }

    pub(super) fn ownership_changed(
        &mut self,
        record: OwnershipRecord,
        version: RecordVersion,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if record.era < era_of(version.revision) {
            self.apply_former_record(record, version, now);
            return;
        }
        // A write of this node may be confirmed by its answer, or by a list if the answer was
        // lost. It is announced to the other nodes in either case.
        let written = self.is_pending_write(&record).then(|| {
            let changes = record.changes_since(self.ownership.record());
            (self.ownership.revision(), changes)
        });
        let before = self.record_before_change();
        if !self.ownership.update(record, version) {
            return;
        }
        self.record_cold_keys(before, now);
        self.coordination.election.record_confirmation(now);
        self.reconcile_role(started, now, out);
        if let Some((Some(base), changes)) = written {
            self.announce_ownership(base, changes, now, out);
        }
    }
}

impl Node {
    /// A copy of the record before a change, if some routes need to know which keys get a new
    /// owner without the state of the previous one.
    pub(super) fn record_before_change(&self) -> Option<OwnershipRecord> {
        let is_needed = self.routes.has_contended();
        is_needed.then(|| self.ownership.record().clone())
    }

    /// Records which keys got a new owner without the state of the previous one by a change of
    /// the record.
    pub(super) fn record_cold_keys(&mut self, before: Option<OwnershipRecord>, now: Timestamp) {
        if let Some(before) = before {
            let after = self.ownership.record();
            self.cold_keys
                .apply_record_change(&before, after, &self.directory, now);
        }
    }
}
