//! What this node knows of the record, and the owners of keys by it.

use super::record::{Assignment, OwnershipRecord};
use crate::identity::ServiceName;

/// The newest version of the record that this node has seen.
#[derive(Debug, Default)]
pub struct OwnershipView {
    record: OwnershipRecord,
    revision: Option<u64>,
}

impl OwnershipView {
    /// Takes over a version, unless a newer one is known.
    /// Returns whether it was newer.
    pub fn update(&mut self, record: OwnershipRecord, revision: u64) -> bool {
        if self.revision.is_some_and(|known| known >= revision) {
            return false;
        }
        self.record = record;
        self.record.sort();
        self.revision = Some(revision);
        true
    }

    /// The record.
    pub fn record(&self) -> &OwnershipRecord {
        &self.record
    }

    /// The store's revision of the record, if there is one.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The assignment that holds a key.
    pub fn find(&self, service: &ServiceName, key: u16) -> Option<&Assignment> {
        let after = self.record.assignments.partition_point(|assignment| {
            (&assignment.service, assignment.first) <= (service, key)
        });
        let assignment = self.record.assignments.get(after.checked_sub(1)?)?;
        (assignment.service == *service && assignment.range().contains(key)).then_some(assignment)
    }
}
