//! The instances that registered themselves, as far as this node knows.

mod instance;

pub use instance::{Entry, Instance, InstanceRecord, Presence};

use crate::Timestamp;
use crate::events::Event;
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::protections::{Protection, Protections};
use instance::CurrentLife;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after the return of the store within which every instance that lives
/// and reaches it has written its entry again.
const ENTRIES_RETURN_WITHIN: Duration = Duration::from_millis(2_200);

/// Time within which an instance that has become cold has written so: a heartbeat
/// (0.9 to 1.3 s), and the way to this node.
const COLDNESS_KNOWN_WITHIN: Duration = Duration::from_millis(1_500);

/// All instances.
#[derive(Debug, Default)]
pub struct Directory {
    instances: BTreeMap<InstanceId, Instance>,
    /// By address; in step with `instances`.
    by_address: HashMap<SocketAddr, BTreeSet<InstanceId>>,
    /// By the names of instances; in step with `instances`.
    current: BTreeMap<Arc<str>, CurrentLife>,
    /// Whether lives of one name are taken for one.
    merges_lives: bool,
    /// Lives that have said in an answer that they leave, and when. No entry, list or
    /// other answer takes that back: an entry may be from before, and be written anew as
    /// long as the store doesn't take what the instance says.
    said_leaving: BTreeMap<InstanceId, Timestamp>,
    /// Entries that went while the store was in doubt, and until when their
    /// instances are taken for present.
    doubted: BTreeMap<InstanceId, Timestamp>,
    /// Evacuated zones, by the stable hashes of their names, and since when this
    /// node knows of it.
    evacuated: BTreeMap<u64, Timestamp>,
    /// Until when vanished entries are doubted.
    doubt_until: Timestamp,
    /// All that the store acknowledged before this time is known here.
    current_at: Timestamp,
    complete: bool,
    /// From when on instances that are missing here are gone.
    settled_at: Timestamp,
    /// Counts changes of who may get work, heartbeats not among them.
    changes: u64,
}

impl Directory {
    /// A directory that knows nothing yet.
    pub fn new(protections: Protections) -> Directory {
        Directory {
            merges_lives: !protections.has(Protection::DistinctIncarnations),
            ..Directory::default()
        }
    }

    /// Whether the whole list was read once.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// A number that rises with each change of who may get work.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The store could not be reached until now: entries that are missing were
    /// perhaps dropped since nobody could write them.
    pub fn note_store_outage(&mut self, now: Timestamp) {
        self.defer_removals_until(now + ENTRIES_RETURN_WITHIN);
    }

    /// The store came back from a copy, whose entries may be from before an instance began to
    /// leave. Such an entry takes nothing back.
    pub fn begin_era(&mut self, now: Timestamp) {
        self.note_store_outage(now);
        for (id, instance) in &self.instances {
            if let Presence::Draining { since } = instance.presence {
                self.said_leaving.entry(id.clone()).or_insert(since);
            }
        }
    }

    /// Entries that go before this time may come back: whoever tells of them
    /// says so.
    pub fn defer_removals_until(&mut self, until: Timestamp) {
        self.doubt_until = self.doubt_until.max(until);
        self.settled_at = self.settled_at.max(until);
    }

    /// How much longer an entry that goes now may come back.
    pub fn removal_deferral_left(&self, now: Timestamp) -> Duration {
        self.doubt_until.saturating_sub(now)
    }

    /// Whether an instance that is unknown here is gone: not before entries that
    /// lapsed in an outage have had their time to come back, nor sooner after the
    /// first list, which may be of just such a moment.
    pub fn is_absence_conclusive(&self, now: Timestamp) -> bool {
        self.complete && self.settled_at <= now
    }

    /// The store has served a node that asks it all the time since `since`. An
    /// instance that lives could write its entry since then, whatever kept this
    /// node from the store.
    pub fn store_served_since(&mut self, since: Timestamp) {
        let until = since + ENTRIES_RETURN_WITHIN;
        self.doubt_until = self.doubt_until.min(until);
        for doubted in self.doubted.values_mut() {
            *doubted = until.min(*doubted);
        }
    }

    /// Whether it is known of some time that all acknowledged before is known here. A first
    /// list that may be stale shows none.
    pub fn is_confirmed(&self) -> bool {
        self.current_at > Timestamp::ZERO
    }

    /// Before when all that the store acknowledged is known here, if that is known.
    pub fn current_at(&self) -> Option<Timestamp> {
        self.is_confirmed().then_some(self.current_at)
    }

    /// All that the store acknowledged before `at` is known here. What is
    /// learned later has happened since.
    pub fn note_current(&mut self, at: Timestamp) {
        self.current_at = self.current_at.max(at);
    }

    /// Takes over a whole list.
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
            self.settled_at = self.settled_at.max(now + ENTRIES_RETURN_WITHIN);
        }
    }

    /// An entry was made or changed. One of a later life proves that the earlier life
    /// has ended, and a new one at the address of another that this one has; one of an
    /// earlier life is late and tells nothing.
    pub fn upsert(&mut self, entry: impl Into<Entry>, now: Timestamp) {
        let Entry {
            mut record,
            revision,
        } = entry.into();
        if self.merges_lives {
            record.id = InstanceId::from(record.id.name());
        }
        if self.lacks_start(&record.id) {
            self.remove_unreadable(record.id.name(), now);
            return;
        }
        if !self.begin_life(&record.id, revision, now) {
            return;
        }
        if !self.instances.contains_key(&record.id) {
            // A first list has thousands, at each node.
            if self.complete {
                let registered = Event::InstanceRegistered {
                    instance: &record.id,
                    service: &record.service,
                    address: record.address,
                };
                registered.emit();
                self.end_others_at(record.address);
            }
        }
        self.doubted.remove(&record.id);
        let id = record.id.clone();
        let warm_at = now + record.warmup_left;
        let earlier = self.instances.get(&id);
        let said_leaving = self.said_leaving.get(&id).copied();
        let leaving = earlier.and_then(Instance::leaving_since).or(said_leaving);
        let presence = match (record.draining || said_leaving.is_some(), leaving) {
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
        let instance = Instance {
            evacuated_since,
            ended: earlier.is_some_and(|instance| instance.ended),
            is_superseded: false,
            record,
            presence,
            warm_at,
            forget_at: None,
        };
        self.insert(instance);
    }

    /// Notes whose entry this is. Returns whether it is that of the instance's current
    /// life.
    fn begin_life(&mut self, id: &InstanceId, revision: Option<u64>, now: Timestamp) -> bool {
        let former = match self.current.get_mut(id.name()) {
            Some(current) if current.id == *id => {
                current.revision = current.revision.max(revision);
                return true;
            }
            Some(current) if !current.precedes(id, revision) => return false,
            former => former.map(|former| former.id.clone()),
        };
        if let Some(former) = former {
            self.supersede(&former, now);
        }
        // Its own entry, written later than the other, shows that it lives.
        if let Some(again) = self.instances.get_mut(id).filter(|life| life.is_superseded) {
            again.ended = false;
        }
        let current = CurrentLife {
            id: id.clone(),
            revision,
        };
        self.current.insert(Arc::from(id.name()), current);
        true
    }

    /// This life is over, since a later one has its entry.
    fn supersede(&mut self, id: &InstanceId, now: Timestamp) {
        self.doubted.remove(id);
        self.changes += 1;
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        instance.is_superseded = !instance.ended;
        instance.ended = true;
        if !instance.is_gone() {
            instance.leave_from(self.current_at, now);
        }
    }

    /// Whether an entry leaves out the start of an instance that has told it: another writer
    /// made it.
    fn lacks_start(&self, id: &InstanceId) -> bool {
        let current = self.current.get(id.name());
        id.start_ms().is_none() && current.is_some_and(|current| current.id.start_ms().is_some())
    }

    /// The later life of an instance that has started again, if this life is known to
    /// have ended by that. It listens under the same name, so that it takes what is
    /// still on its way to this life.
    pub fn later_incarnation(&self, id: &InstanceId) -> Option<&Instance> {
        let current = &self.current.get(id.name())?.id;
        let is_known = self.instances.contains_key(id);
        let is_later = current != id && (is_known || id.start_ms() < current.start_ms());
        is_later.then(|| self.instances.get(current)).flatten()
    }

    /// The instance that orders to this life reach: none if a later one would take them.
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

    /// The operator has emptied these zones, by the stable hashes of their names,
    /// and no others. Instances of a zone that is taken back count as cold until
    /// their entries can have told otherwise.
    pub fn set_evacuated_zones(&mut self, zones: &BTreeSet<u64>, now: Timestamp) {
        let taken_back: Vec<u64> = self
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
            if taken_back.contains(&zone) {
                instance.warm_at = instance.warm_at.max(now + COLDNESS_KNOWN_WITHIN);
            }
        }
    }

    /// This life of an instance said at `at`, in an answer, that it leaves. Returns whether
    /// it has been in use until now.
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
        self.said_leaving.insert(id.clone(), since);
        self.doubted.remove(id);
        if known.is_none() {
            self.changes += 1;
            Event::InstanceDrains { instance: id }.emit();
        }
        known.is_none()
    }

    /// Lives that have said in answers that they leave, whose entries don't say so.
    pub fn leaving_by_response(&self) -> impl Iterator<Item = (&InstanceId, Timestamp)> {
        let is_known_elsewhere = |id: &InstanceId| {
            let known = self.instances.get(id);
            known.is_none_or(|known| known.record.draining || known.is_gone() || known.ended)
        };
        let said = self.said_leaving.iter().map(|(id, at)| (id, *at));
        said.filter(move |(id, _)| !is_known_elsewhere(id))
    }

    /// Whether an instance has said, by its entry or in an answer, that it leaves.
    pub fn has_announced_leaving(&self, instance: &Instance) -> bool {
        instance.record.draining || self.said_leaving.contains_key(&instance.record.id)
    }

    /// This life of an instance is proved to be over.
    pub fn mark_ended(&mut self, id: &InstanceId) {
        if let Some(instance) = self.instances.get_mut(id) {
            self.changes += u64::from(!instance.ended);
            instance.ended = true;
        }
    }

    /// Whether this life of an instance is proved to be over.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        self.instances
            .get(id)
            .is_some_and(|instance| instance.ended)
    }

    /// Another instance has registered at an address: those that had it are over.
    fn end_others_at(&mut self, address: SocketAddr) {
        for id in self.by_address.get(&address).into_iter().flatten() {
            if let Some(instance) = self.instances.get_mut(id) {
                self.changes += u64::from(!instance.ended);
                instance.ended = true;
            }
        }
    }

    /// Takes an instance in, under its address.
    fn insert(&mut self, instance: Instance) {
        let id = instance.record.id.clone();
        let address = instance.record.address;
        let before = self.instances.insert(id.clone(), instance);
        let former = before.map(|before| before.record.address);
        if former == Some(address) {
            return;
        }
        if let Some(former) = former {
            self.leave_address(former, &id);
        }
        self.by_address.entry(address).or_default().insert(id);
    }

    fn leave_address(&mut self, address: SocketAddr, id: &InstanceId) {
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// The entry of an instance is gone.
    pub fn remove(&mut self, name: &str, now: Timestamp) {
        let Some((id, instance)) = standing(&self.current, &mut self.instances, name) else {
            return;
        };
        let outage = now < self.doubt_until && instance.presence == Presence::Serving;
        if outage && self.doubted.contains_key(id) {
            return;
        }
        // Others that hear of changes from this node are to look for themselves.
        self.changes += 1;
        if outage {
            self.doubted.insert(id.clone(), self.doubt_until);
        } else {
            instance.leave_from(self.current_at, now);
        }
    }

    /// An entry that stands in the store can't be read any more: it names no instance to
    /// use. No outage has made it so, hence it is not doubted as one that is missing.
    pub fn remove_unreadable(&mut self, name: &str, now: Timestamp) {
        let Some((id, instance)) = standing(&self.current, &mut self.instances, name) else {
            return;
        };
        self.changes += 1;
        self.doubted.remove(id);
        instance.leave_from(self.current_at, now);
    }

    /// Entries whose doubt has ended are gone; entries gone for long are
    /// forgotten.
    pub fn expire(&mut self, now: Timestamp) {
        let ended: Vec<InstanceId> = self
            .doubted
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.doubted.remove(&id);
            self.changes += 1;
            if let Some(instance) = self.instances.get_mut(&id) {
                // It may have left at any time of the outage.
                instance.leave(Timestamp::ZERO, now);
            }
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
            self.leave_address(*address, id);
        }
        if !forgotten.is_empty() {
            let instances = &self.instances;
            self.current
                .retain(|_, current| instances.contains_key(&current.id));
            self.said_leaving.retain(|id, _| instances.contains_key(id));
        }
    }

    /// The next time at which `expire` changes something.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.doubted.values().min().copied()
    }

    /// One instance.
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

    /// Instances whose entries stand. One whose entry went while the store was in doubt is in
    /// use for a while, but another node that took it for listed would never drop it.
    pub fn listed(&self) -> impl Iterator<Item = &Instance> {
        let is_listed = |instance: &&Instance| {
            !instance.is_gone() && !self.doubted.contains_key(&instance.record.id)
        };
        self.instances.values().filter(is_listed)
    }

    /// How many instances are known, present or not.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// All instances.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }
}

/// The current life of this name, unless its entry is gone.
fn standing<'a>(
    current: &'a BTreeMap<Arc<str>, CurrentLife>,
    instances: &'a mut BTreeMap<InstanceId, Instance>,
    name: &str,
) -> Option<(&'a InstanceId, &'a mut Instance)> {
    let CurrentLife { id, .. } = current.get(name)?;
    let instance = instances.get_mut(id)?;
    (!instance.is_gone()).then_some((id, instance))
}
