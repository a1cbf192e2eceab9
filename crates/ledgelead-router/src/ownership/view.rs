//! This node's copy of the ownership record, and the lookup of owners in it.

use super::record::{Assignment, OwnershipRecord};
use crate::identity::ServiceName;
use crate::store::era_of;

/// The version of the record that a call to the store returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordVersion {
    /// The store's revision.
    pub revision: u64,
    /// Whether it was the newest version when the call began. False after a list that may be
    /// stale.
    pub is_confirmed: bool,
}

impl RecordVersion {
    /// A version that is known to have been the newest.
    pub fn confirmed(revision: u64) -> RecordVersion {
        RecordVersion {
            revision,
            is_confirmed: true,
        }
    }
}

/// The newest version of the record that this node has seen.
#[derive(Debug, Default)]
pub struct OwnershipView {
    record: OwnershipRecord,
    revision: Option<u64>,
    /// The revision at which the record was written. After a restore from a backup, the store
    /// holds another version at `revision`.
    written_revision: Option<u64>,
    /// Whether the store itself returned this version.
    confirmed: bool,
}

impl OwnershipView {
    /// Whether a version is newer than the known one, or confirms it.
    pub fn is_update(&self, version: RecordVersion) -> bool {
        let RecordVersion {
            revision,
            is_confirmed,
        } = version;
        let newer = self.revision.is_none_or(|known| known < revision);
        newer || self.revision == Some(revision) && is_confirmed && !self.confirmed
    }

    /// Replaces the known version unless that is newer. Returns whether the given version was
    /// newer, or confirmed the known one.
    pub fn update(&mut self, record: OwnershipRecord, version: RecordVersion) -> bool {
        if !self.is_update(version) {
            return false;
        }
        let RecordVersion {
            revision,
            is_confirmed,
        } = version;
        self.record = record;
        self.record.sort();
        self.revision = Some(revision);
        self.written_revision = Some(revision);
        self.confirmed = is_confirmed;
        true
    }

    /// Applies changes that the coordinator says it has written, if they follow directly on
    /// the known version. Requests are routed by the result, but no write is based on it
    /// before the store has confirmed it. Returns whether the changes were applied.
    pub fn apply_changes(&mut self, base: u64, revision: u64, changes: Vec<Assignment>) -> bool {
        if self.revision != Some(base) || revision <= base {
            return false;
        }
        self.record.apply_changes(changes);
        self.revision = Some(revision);
        self.written_revision = Some(revision);
        self.confirmed = false;
        true
    }

    /// Replaces the known version by one that another node says it has written on top of it.
    /// Like `apply_changes`, this leaves the version unconfirmed. Returns whether it was
    /// replaced.
    pub fn supersede(&mut self, base: u64, revision: u64, record: OwnershipRecord) -> bool {
        // The very first version has no predecessor.
        if self.revision.unwrap_or(0) != base || revision <= base {
            return false;
        }
        self.record = record;
        self.revision = Some(revision);
        self.written_revision = Some(revision);
        self.confirmed = false;
        true
    }

    /// After a restore from a backup, the store holds an earlier version at this revision, or
    /// none. The known record is kept: requests are routed by it, and a coordinator can write
    /// it again.
    pub fn rewind_revision(&mut self, revision: Option<u64>, is_confirmed: bool) {
        self.revision = revision;
        self.confirmed = is_confirmed;
    }

    /// The revision at which the known record was written.
    pub fn written_revision(&self) -> Option<u64> {
        self.written_revision
    }

    /// Whether later versions may be lost: the record was written in an earlier era than the
    /// one in which the store holds it.
    pub fn is_from_earlier_era(&self) -> bool {
        self.revision
            .is_none_or(|revision| self.record.era < era_of(revision))
    }

    /// Whether the store itself returned this version.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// The record.
    pub fn record(&self) -> &OwnershipRecord {
        &self.record
    }

    /// The store's revision of the record, if there is one.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The assignment that contains a key.
    pub fn find(&self, service: &ServiceName, key: u16) -> Option<&Assignment> {
        let after = self.record.assignments.partition_point(|assignment| {
            (&assignment.service, assignment.first) <= (service, key)
        });
        let assignment = self.record.assignments.get(after.checked_sub(1)?)?;
        (assignment.service == *service && assignment.range().contains(key)).then_some(assignment)
    }
}
