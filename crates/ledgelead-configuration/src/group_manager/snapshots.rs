//! Snapshots of the groups led on this node, on their way into the store. One
//! write a group at a time; of those that wait only the newest is kept.

use super::decode_record;
use crate::swap::{Progress, Swap};
use ledgelead_types::codec::encode;
use ledgelead_types::platform::{
    ObjectVersion, PlatformCall, PlatformError, PlatformReply, group_object,
};
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Bytes, Epoch, GroupId, Revision};
use std::collections::BTreeMap;

/// What storing a snapshot needs next.
#[derive(Debug)]
pub(super) enum SnapshotStep {
    /// Nothing for now.
    Wait,
    /// Call the platform.
    Call(PlatformCall),
    /// The snapshot is in the store.
    Stored {
        /// Log position that it contains.
        revision: Revision,
        /// What the next one needs.
        next: Box<SnapshotStep>,
    },
    /// The store has a higher epoch.
    Superseded {
        /// Its record.
        record: GroupRecord,
    },
}

/// Snapshots by group.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    groups: BTreeMap<GroupId, GroupSnapshots>,
}

#[derive(Debug, Default)]
struct GroupSnapshots {
    writing: Option<Writing>,
    waiting: Option<(GroupRecord, Revision)>,
    /// Epoch and version of the object as this node wrote it last. The next
    /// write expects that version and needs no read.
    stored: Option<(Epoch, ObjectVersion)>,
}

#[derive(Debug)]
struct Writing {
    swap: Swap,
    record: GroupRecord,
    revision: Revision,
    /// Version that the last write expected.
    expected: Option<ObjectVersion>,
}

impl Writing {
    fn first_call(&mut self) -> PlatformCall {
        let write = self.expected.and_then(|version| self.write(version));
        write.unwrap_or_else(|| self.swap.read())
    }

    fn write(&mut self, version: ObjectVersion) -> Option<PlatformCall> {
        let value = Bytes(encode(&self.record));
        self.swap.write(version, value)
    }
}

impl Snapshots {
    /// Stores a snapshot, or keeps it until the present write has ended.
    pub(super) fn store(&mut self, record: GroupRecord, revision: Revision) -> SnapshotStep {
        let group = self.groups.entry(record.group).or_default();
        group.waiting = Some((record, revision));
        group.begin_waiting()
    }

    /// Takes in the answer to a group's call.
    pub(super) fn replied(
        &mut self,
        group: GroupId,
        reply: Result<PlatformReply, PlatformError>,
    ) -> SnapshotStep {
        match self.groups.get_mut(&group) {
            Some(snapshots) => snapshots.replied(group, reply),
            None => SnapshotStep::Wait,
        }
    }

    /// Keeps only some groups.
    pub(super) fn retain(&mut self, keep: impl Fn(&GroupId) -> bool) {
        self.groups.retain(|group, _| keep(group));
    }
}

impl GroupSnapshots {
    fn begin_waiting(&mut self) -> SnapshotStep {
        if self.writing.is_some() {
            return SnapshotStep::Wait;
        }
        let Some((record, revision)) = self.waiting.take() else {
            return SnapshotStep::Wait;
        };
        let stored = self.stored.take();
        let expected = stored.filter(|(epoch, _)| *epoch == record.epoch);
        let mut writing = Writing {
            swap: Swap::of(group_object(record.group)),
            record,
            revision,
            expected: expected.map(|(_, version)| version),
        };
        let call = writing.first_call();
        self.writing = Some(writing);
        SnapshotStep::Call(call)
    }

    fn replied(
        &mut self,
        group: GroupId,
        reply: Result<PlatformReply, PlatformError>,
    ) -> SnapshotStep {
        let Some(writing) = self.writing.as_mut() else {
            return SnapshotStep::Wait;
        };
        match writing.swap.replied(reply) {
            Progress::Call(call) => SnapshotStep::Call(call),
            Progress::Read { version, value } => self.decide(group, version, value.as_ref()),
            Progress::Written(version) => self.finish_stored(version),
            Progress::Unavailable => self.give_up(),
        }
    }

    fn decide(
        &mut self,
        group: GroupId,
        version: ObjectVersion,
        value: Option<&Bytes>,
    ) -> SnapshotStep {
        let Some(writing) = self.writing.as_mut() else {
            return SnapshotStep::Wait;
        };
        let present = value.and_then(|value| decode_record(group, value));
        let Some(present) = present else {
            return self.give_up();
        };
        if present.epoch > writing.record.epoch {
            self.writing = None;
            self.waiting = None;
            return SnapshotStep::Superseded { record: present };
        }
        if present == writing.record {
            return self.finish_stored(version);
        }
        if writing.expected.is_some_and(|expected| expected != version) {
            // Somebody else wrote under this epoch: a later leader, perhaps,
            // with a newer snapshot. The next one starts afresh.
            return self.give_up();
        }
        writing.expected = Some(version);
        match writing.write(version) {
            Some(call) => SnapshotStep::Call(call),
            None => self.give_up(),
        }
    }

    fn finish_stored(&mut self, version: ObjectVersion) -> SnapshotStep {
        let written = self.writing.take();
        self.stored = written
            .as_ref()
            .map(|writing| (writing.record.epoch, version));
        let revision = written.map(|writing| writing.revision);
        let next = self.begin_waiting();
        match revision {
            Some(revision) => SnapshotStep::Stored {
                revision,
                next: Box::new(next),
            },
            None => next,
        }
    }

    /// Drops the snapshot. The leader stores another soon; its lag shows.
    fn give_up(&mut self) -> SnapshotStep {
        self.writing = None;
        self.begin_waiting()
    }
}
