//! What the former knows of one group.

use ledgelead_types::platform::ObjectVersion;
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Epoch, Member, Time};
use std::collections::BTreeSet;

/// One group: its object as last read, and its voters as last heard.
#[derive(Debug, Default)]
pub(super) struct KnownGroup {
    is_read: bool,
    version: ObjectVersion,
    epoch: Epoch,
    recorded: Vec<Member>,
    heard: Vec<Member>,
    lost_since: Option<Time>,
    backs_off_until: Time,
}

impl KnownGroup {
    /// Takes in the object as read; returns whether the epoch is new. An
    /// object older than one seen before is ignored.
    pub(super) fn note_record(
        &mut self,
        version: ObjectVersion,
        record: Option<&GroupRecord>,
    ) -> bool {
        self.is_read = true;
        let Some(record) = record.filter(|record| record.epoch >= self.epoch) else {
            return false;
        };
        let is_new_epoch = record.epoch > self.epoch || self.version == ObjectVersion(0);
        if record.epoch > self.epoch {
            self.heard.clear();
            self.lost_since = None;
        }
        self.epoch = record.epoch;
        self.version = self.version.max(version);
        self.recorded = record.members.0.clone();
        is_new_epoch
    }

    /// Takes in voters that were disseminated.
    pub(super) fn note_members(&mut self, epoch: Epoch, members: Vec<Member>) {
        if epoch < self.epoch || members.is_empty() {
            return;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.recorded = members.clone();
            self.lost_since = None;
        }
        self.heard = members;
    }

    /// Every voter that may count.
    pub(super) fn voters(&self) -> impl Iterator<Item = &Member> {
        let distinct: BTreeSet<&Member> = self.voter_sets().flatten().collect();
        distinct.into_iter()
    }

    /// The voters of the record and those heard of last. Either may be newer:
    /// the leader stores the record behind its log, and news can be late.
    fn voter_sets(&self) -> impl Iterator<Item = &Vec<Member>> {
        let sets = [&self.recorded, &self.heard];
        sets.into_iter().filter(|members| !members.is_empty())
    }

    /// Notes since when the quorum is lost for certain: a majority of the
    /// voters, by each set that may count, is proven dead.
    pub(super) fn note_loss(&mut self, now: Time, proven_dead: &BTreeSet<Member>) {
        let lost = |members: &Vec<Member>| {
            let dead = members
                .iter()
                .filter(|member| proven_dead.contains(member))
                .count();
            dead * 2 > members.len()
        };
        let is_lost = self.voters().next().is_some() && self.voter_sets().all(lost);
        if !is_lost {
            self.lost_since = None;
        } else if self.lost_since.is_none() {
            self.lost_since = Some(now);
        }
    }

    /// Whether the quorum is known to be lost since this time or earlier.
    pub(super) fn is_lost_since(&self, time: Time) -> bool {
        self.lost_since.is_some_and(|since| since <= time)
    }

    /// Whether there is no record, as last read or heard.
    pub(super) fn is_absent(&self) -> bool {
        self.is_read && self.epoch == Epoch(0)
    }

    /// Whether the object was never read and may be read now.
    pub(super) fn needs_read(&self, now: Time) -> bool {
        !self.is_read && !self.is_backing_off(now)
    }

    /// Leaves the group alone until then.
    pub(super) fn back_off_until(&mut self, time: Time) {
        self.backs_off_until = time;
    }

    /// Whether the group is left alone.
    pub(super) fn is_backing_off(&self, now: Time) -> bool {
        now < self.backs_off_until
    }
}
