//! Instances by address: which of several at one address may be running.

use super::{Directory, Instance, InstanceRecord};
use crate::identity::InstanceId;
use std::net::SocketAddr;

impl Directory {
    /// Reviews the other instances at the address of one that is new to this node. Those that
    /// started earlier have ended. Without start times, the entry may also be the last one of
    /// an instance that has ended, written late: only an answer from the address can tell.
    pub(super) fn review_address(&mut self, new: &InstanceRecord) {
        let others = self.by_address.get(&new.address).cloned();
        for id in others.into_iter().flatten() {
            match starts_later(&new.id, &id) {
                Some(true) => self.mark_ended(&id),
                Some(false) => {}
                None => self.displace(&id, &new.id),
            }
        }
    }

    fn displace(&mut self, id: &InstanceId, by: &InstanceId) {
        if let Some(instance) = self.instances.get_mut(id) {
            self.changes += 1;
            instance.displaced_by = Some(by.clone());
        }
    }

    /// An instance at the same address that started later and is not known to have ended.
    pub(super) fn started_later_at_address(&self, record: &InstanceRecord) -> Option<InstanceId> {
        let others = self.by_address.get(&record.address)?;
        let is_later = |other: &&InstanceId| {
            let other_instance = self.instances.get(other);
            starts_later(other, &record.id) == Some(true)
                && other_instance.is_some_and(|other| !other.ended && !other.is_gone())
        };
        others.iter().find(is_later).cloned()
    }

    /// The instances that this one has displaced may be running after all.
    pub(super) fn restore_displaced_by(&mut self, id: &InstanceId) {
        let Some(address) = self.instances.get(id).map(|it| it.record.address) else {
            return;
        };
        for other in self.by_address.get(&address).into_iter().flatten() {
            if let Some(other) = self.instances.get_mut(other)
                && other.displaced_by.as_ref() == Some(id)
            {
                other.displaced_by = None;
                self.changes += 1;
            }
        }
    }

    /// Inserts an instance and indexes its address.
    pub(super) fn insert(&mut self, instance: Instance) {
        let id = instance.record.id.clone();
        let address = instance.record.address;
        let before = self.instances.insert(id.clone(), instance);
        let previous = before.map(|before| before.record.address);
        if previous == Some(address) {
            return;
        }
        if let Some(previous) = previous {
            self.remove_from_address(previous, &id);
        }
        self.by_address.entry(address).or_default().insert(id);
    }

    pub(super) fn remove_from_address(&mut self, address: SocketAddr, id: &InstanceId) {
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }
}

/// Whether an instance started later than another one at its address; `None` if one of them
/// doesn't state its start.
fn starts_later(id: &InstanceId, other: &InstanceId) -> Option<bool> {
    Some(id.start_ms()? > other.start_ms()?)
}
