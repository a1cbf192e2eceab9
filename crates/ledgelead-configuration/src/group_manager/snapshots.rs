//! Stores snapshots of the groups led on this node. Each group has one write at a time; of the
//! waiting snapshots only the newest is kept.

use super::decode_record;
use crate::swap::{Progress, Swap};
use ledgelead_types::codec::encode;
use ledgelead_types::platform::{
    ObjectVersion, PlatformCall, PlatformError, PlatformReply, group_object,
};
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Bytes, Epoch, GroupId, Revision};
use std::collections::BTreeMap;

/// Next step of storing a snapshot.
#[derive(Debug)]
pub(super) enum SnapshotStep {
    /// No action now.
    Wait,
    /// Call the platform.
    Call(PlatformCall),
    /// The snapshot was stored.
    Stored {
        /// Log position that the snapshot includes.
        revision: Revision,
        /// Step for the next snapshot.
        next: Box<SnapshotStep>,
    },
    /// The store has a higher epoch.
    Superseded {
        /// The record in the store.
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
    /// Epoch and version of the object after this node's last write. The next write expects
    /// this version and needs no read.
    stored: Option<(Epoch, ObjectVersion)>,
}

#[derive(Debug)]
struct Writing {
    swap: Swap,
    record: GroupRecord,
    revision: Revision,
    /// Version expected by the last write.
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
    /// Stores a snapshot, or queues it until the current write has ended.
    pub(super) fn store(&mut self, record: GroupRecord, revision: Revision) -> SnapshotStep {
        let group = self.groups.entry(record.group).or_default();
        group.waiting = Some((record, revision));
        group.write_waiting()
    }

    /// Processes the answer to a group's call.
    pub(super) fn handle_reply(
        &mut self,
        group: GroupId,
        reply: Result<PlatformReply, PlatformError>,
    ) -> SnapshotStep {
        match self.groups.get_mut(&group) {
            Some(snapshots) => snapshots.handle_reply(group, reply),
            None => SnapshotStep::Wait,
        }
    }

    /// Keeps only the groups for which `keep` holds.
    pub(super) fn retain(&mut self, keep: impl Fn(&GroupId) -> bool) {
        self.groups.retain(|group, _| keep(group));
    }
}

impl GroupSnapshots {
    fn write_waiting(&mut self) -> SnapshotStep {
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

    fn handle_reply(
        &mut self,
        group: GroupId,
        reply: Result<PlatformReply, PlatformError>,
    ) -> SnapshotStep {
        let Some(writing) = self.writing.as_mut() else {
            return SnapshotStep::Wait;
        };
        match writing.swap.handle_reply(reply) {
            Progress::Call(call) => SnapshotStep::Call(call),
            Progress::Read { version, value } => self.handle_read(group, version, value.as_ref()),
            Progress::Written(version) => self.finish_stored(version),
            Progress::Unavailable => self.drop_snapshot(),
        }
    }

    fn handle_read(
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
            return self.drop_snapshot();
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
            // Another node wrote in this epoch, such as a later leader with a newer snapshot.
            // The next snapshot starts with a read.
            return self.drop_snapshot();
        }
        writing.expected = Some(version);
        match writing.write(version) {
            Some(call) => SnapshotStep::Call(call),
            None => self.drop_snapshot(),
        }
    }

    fn finish_stored(&mut self, version: ObjectVersion) -> SnapshotStep {
        let written = self.writing.take();
        self.stored = written
            .as_ref()
            .map(|writing| (writing.record.epoch, version));
        let revision = written.map(|writing| writing.revision);
        let next = self.write_waiting();
        match revision {
            Some(revision) => SnapshotStep::Stored {
                revision,
                next: Box::new(next),
            },
            None => next,
        }
    }

    /// Drops the snapshot. The leader stores another one soon; until then the snapshot's lag
    /// is visible.
    fn drop_snapshot(&mut self) -> SnapshotStep {
        self.writing = None;
        self.write_waiting()
    }
}
