//! What this node knows of the record, and the owners of keys by it.

use super::record::{Assignment, OwnershipRecord};
use crate::identity::ServiceName;
use crate::store::era_of;

/// Which version of the record a call of the store has told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordVersion {
    /// The store's revision.
    pub revision: u64,
    /// Whether it was the newest version as the call began. A list that may be
    /// stale doesn't say.
    pub is_confirmed: bool,
}

impl RecordVersion {
    /// A version that was the newest one.
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
    /// The revision by which the record was written. A store that came back from a copy holds
    /// another version at `revision`.
    written_revision: Option<u64>,
    /// Whether the store itself told this version.
    confirmed: bool,
}

impl OwnershipView {
    /// Whether a version is newer than what is known, or confirms it.
    pub fn is_update(&self, version: RecordVersion) -> bool {
        let RecordVersion {
            revision,
            is_confirmed,
        } = version;
        let newer = self.revision.is_none_or(|known| known < revision);
        newer || self.revision == Some(revision) && is_confirmed && !self.confirmed
    }

    /// Takes over a version, unless a newer one is known.
    /// Returns whether it was newer, or confirms what was known.
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

    /// Takes over what the coordinator says it has written, if it follows
    /// on the version that is known. Requests are routed by it; nothing is
    /// written on its base before the store has confirmed it.
    /// Returns whether it did.
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

    /// Takes over a version that another node says it has written on the base
    /// of the one that is known; like `overlay`, it is not confirmed.
    /// Returns whether it did.
    pub fn supersede(&mut self, base: u64, revision: u64, record: OwnershipRecord) -> bool {
        // The first version of all follows on none.
        if self.revision.unwrap_or(0) != base || revision <= base {
            return false;
        }
        self.record = record;
        self.revision = Some(revision);
        self.written_revision = Some(revision);
        self.confirmed = false;
        true
    }

    /// Since it came back from a copy, the store holds an earlier version at this revision, or
    /// none. What is known stays, for requests to be routed by it and for a coordinator to
    /// write it again.
    pub fn rewind_revision(&mut self, revision: Option<u64>, is_confirmed: bool) {
        self.revision = revision;
        self.confirmed = is_confirmed;
    }

    /// The revision by which the record that is known was written.
    pub fn written_revision(&self) -> Option<u64> {
        self.written_revision
    }

    /// Whether versions that followed on this one may be lost: it was written in an earlier
    /// era than the one in which the store holds it.
    pub fn is_from_earlier_era(&self) -> bool {
        self.revision
            .is_none_or(|revision| self.record.era < era_of(revision))
    }

    /// Whether the store itself told this version.
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

    /// The assignment that holds a key.
    pub fn find(&self, service: &ServiceName, key: u16) -> Option<&Assignment> {
        let after = self.record.assignments.partition_point(|assignment| {
            (&assignment.service, assignment.first) <= (service, key)
        });
        let assignment = self.record.assignments.get(after.checked_sub(1)?)?;
        (assignment.service == *service && assignment.range().contains(key)).then_some(assignment)
    }
}
