//! Takes over what the store tells.

use super::Node;
use crate::Timestamp;
use crate::configuration::{Configuration, RouteTable};
use crate::dialect::{Object, ObjectContent, ObjectEvent, ObjectKind};
use crate::events::Event;
use crate::identity::InstanceId;
use crate::io::Action;
use crate::ownership::record::OwnershipRecord;
use crate::ownership::view::RecordVersion;
use crate::peers::Registration;
use crate::requests::RequestDigest;
use std::collections::BTreeSet;

impl Node {
    /// A whole list.
    pub(super) fn apply_all(
        &mut self,
        kind: ObjectKind,
        objects: Vec<Object>,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let mut instances = Vec::new();
        let mut nodes = Vec::new();
        let mut zones = Vec::new();
        let mut quarantined = BTreeSet::new();
        for object in objects {
            if kind == ObjectKind::Quarantine {
                self.evidence_read(&object, now);
                quarantined.extend(RequestDigest::parse(&object.name));
                continue;
            }
            match object.content {
                Ok(ObjectContent::Instance(record)) => instances.push(record),
                Ok(ObjectContent::Node(record)) => nodes.push(Registration {
                    record,
                    revision: object.revision,
                }),
                Ok(ObjectContent::Configuration(configuration)) => {
                    self.configure(configuration, now, out);
                }
                Ok(ObjectContent::Ownership(record)) => {
                    let version = RecordVersion {
                        revision: object.revision,
                        // A list that may be stale confirms nothing.
                        is_confirmed: self.store.is_exact(kind),
                    };
                    self.ownership_changed(record, version, started, now, out);
                }
                Ok(ObjectContent::Evacuation(zone)) => zones.push(zone),
                Ok(ObjectContent::Quarantine(_)) => {}
                Err(finding) => unreadable(&object.name, &finding),
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
            ObjectKind::Nodes => {
                self.registry.replace_all(nodes);
                self.note_earlier_life();
            }
            ObjectKind::Ownership => self.coordination.listed = true,
            ObjectKind::Configuration => {}
            ObjectKind::Evacuations => {
                let revision = self.store.revision_of(kind).unwrap_or(0);
                if self.evacuations.listed(&zones, revision) {
                    self.evacuations_changed(now, out);
                }
            }
        }
    }

    /// Takes changed evacuations into force, and passes them on at once.
    pub(super) fn evacuations_changed(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let zones = self.evacuations.zones();
        Event::Evacuated { zones: zones.len() }.emit();
        self.directory.evacuate(zones, now);
        self.coordination.note_change();
        self.gossip.hasten_heartbeat();
        self.reconsider_waiting(now, out);
    }

    /// One change.
    pub(super) fn apply_event(
        &mut self,
        event: ObjectEvent,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let object = event.object;
        if let (Ok(ObjectContent::Quarantine(_)), false) = (&object.content, event.gone) {
            self.evidence_read(&object, now);
            return;
        }
        match object.content {
            Ok(ObjectContent::Instance(record)) if event.gone => {
                self.directory.remove(&record.id, now);
            }
            Ok(ObjectContent::Instance(record)) => self.directory.upsert(record, now),
            Ok(ObjectContent::Node(record)) if event.gone => {
                self.registry.remove(&record.identity.node);
            }
            Ok(ObjectContent::Node(record)) => {
                self.registry.upsert(Registration {
                    record,
                    revision: object.revision,
                });
                self.note_earlier_life();
            }
            Ok(ObjectContent::Configuration(configuration)) if !event.gone => {
                self.configure(configuration, now, out);
            }
            Ok(ObjectContent::Ownership(record)) if !event.gone => {
                let version = RecordVersion::confirmed(object.revision);
                self.ownership_changed(record, version, started, now, out);
            }
            Ok(ObjectContent::Evacuation(zone)) => {
                let revision = self.store.revision_of(ObjectKind::Evacuations);
                let revision = revision.unwrap_or(object.revision);
                if self.evacuations.changed(&zone, !event.gone, revision) {
                    self.evacuations_changed(now, out);
                }
            }
            Ok(ObjectContent::Quarantine(_)) => {
                if let Some(request) = RequestDigest::parse(&object.name) {
                    self.lifted(request, now);
                }
            }
            Ok(_) => unreadable(&object.name, "was removed"),
            Err(finding) if event.gone => {
                // An entry that is gone may be told by its name alone.
                log::debug!(target: "store", "{} is gone: {finding}", object.name);
                self.directory
                    .remove(&InstanceId::from(object.name.as_str()), now);
            }
            Err(finding) => unreadable(&object.name, &finding),
        }
    }

    /// Takes a version of the configuration into force, unless this life of
    /// the node has a newer one.
    pub(super) fn configure(
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
        self.configuration_in_force(now, out);
    }

    pub(super) fn ownership_changed(
        &mut self,
        record: OwnershipRecord,
        version: RecordVersion,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        // A write of this node may be told by its answer, or by a list if the
        // answer was lost: the others hear of it either way.
        let written = self.writes(&record).then(|| {
            let changes = record.changes_since(self.ownership.record());
            (self.ownership.revision(), changes)
        });
        if !self.ownership.update(record, version) {
            return;
        }
        self.coordination.election.confirmed(now);
        self.reconcile_role(started, now, out);
        if let Some((Some(base), changes)) = written {
            self.announce_ownership(base, changes, now, out);
        }
    }
}

fn unreadable(object: &str, finding: &str) {
    Event::ObjectUnreadable { object, finding }.emit();
}
