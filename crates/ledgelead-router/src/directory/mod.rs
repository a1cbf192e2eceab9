//! The registered instances, as far as this node knows them.

mod addresses;
mod instance;

pub use instance::{Entry, Instance, InstanceRecord, Presence};

use crate::Timestamp;
use crate::events::Event;
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::protections::{Protection, Protections};
use instance::CurrentIncarnation;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after a store outage within which every running instance that reaches the store has
/// rewritten its entry.
const ENTRY_REWRITE_TIME: Duration = Duration::from_millis(2_200);

/// Time within which this node learns that an instance has become cold: a heartbeat interval
/// (0.9 to 1.3 s) plus propagation.
const COLDNESS_PROPAGATION_TIME: Duration = Duration::from_millis(1_500);

/// All known instances.
#[derive(Debug, Default)]
pub struct Directory {
    instances: BTreeMap<InstanceId, Instance>,
    /// Instances by address; kept consistent with `instances`.
    by_address: HashMap<SocketAddr, BTreeSet<InstanceId>>,
    /// Current incarnations by instance name; kept consistent with `instances`.
    current: BTreeMap<Arc<str>, CurrentIncarnation>,
    /// Whether all incarnations with the same name are treated as one.
    merges_incarnations: bool,
    /// Incarnations that announced in a response that they leave, and when. No entry, list or
    /// other response revokes that: an entry may predate the announcement, and such an entry
    /// may be rewritten as long as the store doesn't accept the instance's updates.
    announced_leaving: BTreeMap<InstanceId, Timestamp>,
    /// Entries that vanished around a store outage, and until when their instances are assumed
    /// to be present.
    deferred_removals: BTreeMap<InstanceId, Timestamp>,
    /// Evacuated zones by the stable hashes of their names, and since when this node knows of
    /// the evacuation.
    evacuated: BTreeMap<u64, Timestamp>,
    /// Until when vanished entries are not taken as removed.
    defer_removals_until: Timestamp,
    /// Everything that the store acknowledged before this time is known here.
    current_at: Timestamp,
    complete: bool,
    /// From when on instances that are missing here are certainly gone.
    absence_conclusive_at: Timestamp,
    /// Counts changes of which instances may get new requests; heartbeats don't count.
    changes: u64,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(protections: Protections) -> Directory {
        Directory {
            merges_incarnations: !protections.has(Protection::DistinctIncarnations),
            ..Directory::default()
        }
    }

    /// Whether a full list has been read.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// A number that increases with each change of which instances may get new requests.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Records that the store could not be reached until now. Missing entries may have expired
    /// only because nobody could rewrite them.
    pub fn record_store_outage(&mut self, now: Timestamp) {
        self.defer_removals_until(now + ENTRY_REWRITE_TIME);
    }

    /// Handles a restore of the store from a backup, whose entries may predate an instance's
    /// announcement that it leaves. Such an entry doesn't revoke the announcement.
    pub fn begin_era(&mut self, now: Timestamp) {
        self.record_store_outage(now);
        for (id, instance) in &self.instances {
            if let Presence::Draining { since } = instance.presence {
                self.announced_leaving.entry(id.clone()).or_insert(since);
            }
        }
    }

    /// Treats entries that vanish before this time as possibly coming back. A node that relays
    /// changes states this time with them.
    pub fn defer_removals_until(&mut self, until: Timestamp) {
        self.defer_removals_until = self.defer_removals_until.max(until);
        self.absence_conclusive_at = self.absence_conclusive_at.max(until);
    }

    /// How much longer entries that vanish are treated as possibly coming back.
    pub fn removal_deferral_left(&self, now: Timestamp) -> Duration {
        self.defer_removals_until.saturating_sub(now)
    }

    /// Whether an instance that is unknown here is certainly gone. That is not so until
    /// entries that expired in an outage have had time to return, nor right after the first
    /// list, which may date from such a moment.
    pub fn is_absence_conclusive(&self, now: Timestamp) -> bool {
        self.complete && self.absence_conclusive_at <= now
    }

    /// Records that the store has served another node continuously since `since`. Any running
    /// instance has been able to write its entry since then, whatever kept this node from
    /// reaching the store.
    pub fn record_store_served_since(&mut self, since: Timestamp) {
        let until = since + ENTRY_REWRITE_TIME;
        self.defer_removals_until = self.defer_removals_until.min(until);
        for deferred_until in self.deferred_removals.values_mut() {
            *deferred_until = until.min(*deferred_until);
        }
    }

    /// Whether there is a time up to which everything acknowledged by the store is known here.
    /// A first list that may be stale establishes none.
    pub fn is_confirmed(&self) -> bool {
        self.current_at > Timestamp::ZERO
    }

    /// The time before which everything acknowledged by the store is known here, if there is
    /// one.
    pub fn current_at(&self) -> Option<Timestamp> {
        self.is_confirmed().then_some(self.current_at)
    }

    /// Records that everything that the store acknowledged before `at` is known here. Anything
    /// learned later has happened since.
    pub fn advance_current_at(&mut self, at: Timestamp) {
        self.current_at = self.current_at.max(at);
    }

    /// Replaces all entries by a full list.
    pub fn replace_all<E: Into<Entry>>(&mut self, entries: Vec<E>, now: Timestamp) {
        let entries: Vec<Entry> = entries.into_iter().map(Into::into).collect();
        let names = entries
            .iter()
            .map(|entry| entry.record.id.name().to_owned());
        let listed: BTreeSet<String> = names.collect();
        for entry in entries {
            self.upsert(entry, now);
        }
        let is_missing = |name: &&Arc<str>| !listed.contains(name.as_ref());
        let missing: Vec<Arc<str>> = self.current.keys().filter(is_missing).cloned().collect();
        for name in missing {
            self.remove(&name, now);
        }
        if !self.complete {
            self.complete = true;
            self.absence_conclusive_at = self.absence_conclusive_at.max(now + ENTRY_REWRITE_TIME);
        }
    }

    /// Adds or updates an entry. An entry of a later incarnation proves that the earlier one
    /// has ended, and so does an entry with a later start at the address of another instance.
    /// An entry of an earlier incarnation is outdated and ignored.
    pub fn upsert(&mut self, entry: impl Into<Entry>, now: Timestamp) {
        let Entry {
            mut record,
            revision,
        } = entry.into();
        if self.merges_incarnations {
            record.id = InstanceId::from(record.id.name());
        }
        if self.lacks_start_time(&record.id) {
            self.remove_unreadable(record.id.name(), now);
            return;
        }
        if !self.update_incarnation(&record.id, revision, now) {
            return;
        }
        if !self.instances.contains_key(&record.id) {
            // Not logged for the first list, which has thousands of entries at each node.
            if self.complete {
                let registered = Event::InstanceRegistered {
                    instance: &record.id,
                    service: &record.service,
                    address: record.address,
                };
                registered.emit();
                self.review_address(&record);
            }
        }
        self.deferred_removals.remove(&record.id);
        let id = record.id.clone();
        let warm_at = now + record.warmup_left;
        let earlier = self.instances.get(&id);
        let announced_leaving = self.announced_leaving.get(&id).copied();
        let leaving = earlier
            .and_then(Instance::leaving_since)
            .or(announced_leaving);
        let presence = match (record.draining || announced_leaving.is_some(), leaving) {
            (false, _) => Presence::Serving,
            (true, Some(since)) => Presence::Draining { since },
            (true, None) => {
                Event::InstanceDrains { instance: &id }.emit();
                Presence::Draining {
                    since: self.current_at.min(now),
                }
            }
        };
        let known = earlier.is_some_and(|instance| {
            instance.presence == presence && instance.record.address == record.address
        });
        self.changes += u64::from(!known);
        let evacuated_since = self.evacuated_since(&record.zone);
        let displaced_by = match earlier {
            Some(earlier) if earlier.record.address == record.address => {
                earlier.displaced_by.clone()
            }
            _ => self.started_later_at_address(&record),
        };
        let instance = Instance {
            evacuated_since,
            displaced_by,
            ended: earlier.is_some_and(|instance| instance.ended),
            is_superseded: false,
            record,
            presence,
            warm_at,
            forget_at: None,
        };
        self.insert(instance);
    }

    /// Updates the current incarnation from an entry. Returns whether the entry belongs to it.
    fn update_incarnation(
        &mut self,
        id: &InstanceId,
        revision: Option<u64>,
        now: Timestamp,
    ) -> bool {
        let previous = match self.current.get_mut(id.name()) {
            Some(current) if current.id == *id => {
                current.revision = current.revision.max(revision);
                return true;
            }
            Some(current) if !current.precedes(id, revision) => return false,
            previous => previous.map(|previous| previous.id.clone()),
        };
        if let Some(previous) = previous {
            self.supersede(&previous, now);
        }
        // The incarnation's own entry, written later than the other one, shows that it is
        // running.
        if let Some(revived) = self
            .instances
            .get_mut(id)
            .filter(|incarnation| incarnation.is_superseded)
        {
            revived.ended = false;
        }
        let current = CurrentIncarnation {
            id: id.clone(),
            revision,
        };
        self.current.insert(Arc::from(id.name()), current);
        true
    }

    /// Marks this incarnation as ended, since a later one owns its entry.
    fn supersede(&mut self, id: &InstanceId, now: Timestamp) {
        self.deferred_removals.remove(id);
        self.changes += 1;
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        instance.is_superseded = !instance.ended;
        instance.ended = true;
        if !instance.is_gone() {
            instance.mark_gone_as_of(self.current_at, now);
        }
        self.restore_displaced_by(id);
    }

    /// Whether an entry lacks the start time that the instance has already stated, and was
    /// therefore written by something else.
    fn lacks_start_time(&self, id: &InstanceId) -> bool {
        let current = self.current.get(id.name());
        id.start_ms().is_none() && current.is_some_and(|current| current.id.start_ms().is_some())
    }

    /// The later incarnation of a restarted instance, if this one is known to have ended by
    /// the restart. The later one listens under the same name, so it receives messages still
    /// in flight to this one.
    pub fn later_incarnation(&self, id: &InstanceId) -> Option<&Instance> {
        let current = &self.current.get(id.name())?.id;
        let is_known = self.instances.contains_key(id);
        let is_later = current != id && (is_known || id.start_ms() < current.start_ms());
        is_later.then(|| self.instances.get(current)).flatten()
    }

    /// The instance that receives orders sent to this incarnation; `None` if a later
    /// incarnation would receive them.
    pub fn get_unless_superseded(&self, id: &InstanceId) -> Option<&Instance> {
        match self.later_incarnation(id) {
            Some(_) => None,
            None => self.get(id),
        }
    }

    fn evacuated_since(&self, zone: &ZoneName) -> Option<Timestamp> {
        if self.evacuated.is_empty() {
            return None;
        }
        self.evacuated.get(&zone.stable_hash()).copied()
    }

    /// Replaces the set of zones that the operator has evacuated, by the stable hashes of
    /// their names. Instances of a zone that is no longer evacuated count as cold until their
    /// entries have had time to state otherwise.
    pub fn set_evacuated_zones(&mut self, zones: &BTreeSet<u64>, now: Timestamp) {
        let no_longer_evacuated: Vec<u64> = self
            .evacuated
            .keys()
            .filter(|zone| !zones.contains(zone))
            .copied()
            .collect();
        let since = |zone: &u64| (*zone, self.evacuated.get(zone).copied().unwrap_or(now));
        self.evacuated = zones.iter().map(since).collect();
        self.changes += 1;
        for instance in self.instances.values_mut() {
            let zone = instance.record.zone.stable_hash();
            instance.evacuated_since = self.evacuated.get(&zone).copied();
            if no_longer_evacuated.contains(&zone) {
                instance.warm_at = instance.warm_at.max(now + COLDNESS_PROPAGATION_TIME);
            }
        }
    }

    /// Records that this incarnation announced in a response at `at` that it leaves. Returns
    /// whether it was in use until now.
    pub fn mark_leaving(&mut self, id: &InstanceId, at: Timestamp) -> bool {
        let Some(instance) = self.instances.get_mut(id) else {
            return false;
        };
        if instance.ended || instance.is_gone() {
            return false;
        }
        let known = instance.leaving_since();
        let since = known.map_or(at, |known| known.min(at));
        instance.presence = Presence::Draining { since };
        self.announced_leaving.insert(id.clone(), since);
        self.deferred_removals.remove(id);
        if known.is_none() {
            self.changes += 1;
            Event::InstanceDrains { instance: id }.emit();
        }
        known.is_none()
    }

    /// Incarnations that announced in responses that they leave, and whose entries don't state
    /// it.
    pub fn leaving_by_response(&self) -> impl Iterator<Item = (&InstanceId, Timestamp)> {
        let is_redundant = |id: &InstanceId| {
            let known = self.instances.get(id);
            known.is_none_or(|known| known.record.draining || known.is_gone() || known.ended)
        };
        let announced = self.announced_leaving.iter().map(|(id, at)| (id, *at));
        announced.filter(move |(id, _)| !is_redundant(id))
    }

    /// Whether an instance has announced that it leaves, in its entry or in a response.
    pub fn has_announced_leaving(&self, instance: &Instance) -> bool {
        instance.record.draining || self.announced_leaving.contains_key(&instance.record.id)
    }

    /// Records that this incarnation is proved to have ended.
    pub fn mark_ended(&mut self, id: &InstanceId) {
        if let Some(instance) = self.instances.get_mut(id) {
            self.changes += u64::from(!instance.ended);
            instance.ended = true;
            self.restore_displaced_by(id);
        }
    }

    /// Whether this incarnation is proved to have ended.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        self.instances
            .get(id)
            .is_some_and(|instance| instance.ended)
    }

    /// Handles the removal of an instance's entry.
    pub fn remove(&mut self, name: &str, now: Timestamp) {
        let Some((id, instance)) = present_incarnation(&self.current, &mut self.instances, name)
        else {
            return;
        };
        let outage = now < self.defer_removals_until && instance.presence == Presence::Serving;
        if outage && self.deferred_removals.contains_key(id) {
            return;
        }
        // Counts as a change, so that nodes that follow the changes of this node check the store
        // themselves.
        self.changes += 1;
        if outage {
            self.deferred_removals
                .insert(id.clone(), self.defer_removals_until);
        } else {
            let id = id.clone();
            self.mark_gone(&id, now);
        }
    }

    /// Handles an entry that exists in the store but can't be parsed, so that it describes no
    /// usable instance. An outage can't have caused that, so the removal is not deferred.
    pub fn remove_unreadable(&mut self, name: &str, now: Timestamp) {
        let Some((id, _)) = present_incarnation(&self.current, &mut self.instances, name) else {
            return;
        };
        let id = id.clone();
        self.changes += 1;
        self.deferred_removals.remove(&id);
        self.mark_gone(&id, now);
    }

    /// Records that the entry of an instance is gone.
    fn mark_gone(&mut self, id: &InstanceId, now: Timestamp) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.mark_gone_as_of(self.current_at, now);
        }
        self.restore_displaced_by(id);
    }

    /// Removes entries whose removal was deferred until now, and drops instances whose entries
    /// have been gone for long.
    pub fn expire(&mut self, now: Timestamp) {
        let ended: Vec<InstanceId> = self
            .deferred_removals
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.deferred_removals.remove(&id);
            self.changes += 1;
            if let Some(instance) = self.instances.get_mut(&id) {
                // It may have left at any time during the outage.
                instance.mark_gone(Timestamp::ZERO, now);
            }
            self.restore_displaced_by(&id);
        }
        let is_forgotten = |instance: &&Instance| instance.forget_at.is_some_and(|at| at <= now);
        let forgotten: Vec<(InstanceId, SocketAddr)> = self
            .instances
            .values()
            .filter(is_forgotten)
            .map(|instance| (instance.record.id.clone(), instance.record.address))
            .collect();
        for (id, address) in &forgotten {
            self.instances.remove(id);
            self.remove_from_address(*address, id);
        }
        if !forgotten.is_empty() {
            let instances = &self.instances;
            self.current
                .retain(|_, current| instances.contains_key(&current.id));
            self.announced_leaving
                .retain(|id, _| instances.contains_key(id));
        }
    }

    /// The next time at which `expire` changes something.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.deferred_removals.values().min().copied()
    }

    /// A known instance.
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// The instances of a service, present or not.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Instance> {
        self.instances
            .values()
            .filter(move |instance| instance.record.service == *service)
    }

    /// Instances whose entries exist. An instance whose entry vanished around a store outage
    /// stays in use for a while, but another node that took it for listed would never drop it.
    pub fn listed(&self) -> impl Iterator<Item = &Instance> {
        let is_listed = |instance: &&Instance| {
            !instance.is_gone() && !self.deferred_removals.contains_key(&instance.record.id)
        };
        self.instances.values().filter(is_listed)
    }

    /// Number of known instances, present or not.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// All known instances.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }
}

/// The current incarnation of this name, unless its entry is gone.
fn present_incarnation<'a>(
    current: &'a BTreeMap<Arc<str>, CurrentIncarnation>,
    instances: &'a mut BTreeMap<InstanceId, Instance>,
    name: &str,
) -> Option<(&'a InstanceId, &'a mut Instance)> {
    let CurrentIncarnation { id, .. } = current.get(name)?;
    let instance = instances.get_mut(id)?;
    (!instance.is_gone()).then_some((id, instance))
}
