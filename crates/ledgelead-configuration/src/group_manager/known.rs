//! What is known about one group.

use ledgelead_types::platform::ObjectVersion;
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Epoch, Member, Time};
use std::collections::BTreeSet;

/// One group: its object as last read and its voters as last disseminated.
#[derive(Debug, Default)]
pub(super) struct KnownGroup {
    is_read: bool,
    version: ObjectVersion,
    epoch: Epoch,
    recorded: Vec<Member>,
    disseminated: Vec<Member>,
    quorum_lost_since: Option<Time>,
    backs_off_until: Time,
}

impl KnownGroup {
    /// Applies a record that was read or written; returns whether its epoch is new. A record
    /// of an older epoch is ignored.
    pub(super) fn apply_record(
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
            self.disseminated.clear();
            self.quorum_lost_since = None;
        }
        self.epoch = record.epoch;
        self.version = self.version.max(version);
        self.recorded = record.members.0.clone();
        is_new_epoch
    }

    /// Applies voters received by dissemination.
    pub(super) fn apply_members(&mut self, epoch: Epoch, members: Vec<Member>) {
        if epoch < self.epoch || members.is_empty() {
            return;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.recorded = members.clone();
            self.quorum_lost_since = None;
        }
        self.disseminated = members;
    }

    /// The voters of both sets.
    pub(super) fn voters(&self) -> impl Iterator<Item = &Member> {
        let distinct: BTreeSet<&Member> = self.voter_sets().flatten().collect();
        distinct.into_iter()
    }

    /// The voters of the record and the voters disseminated last. Either set may be newer: the
    /// leader stores the record later than its log, and dissemination can be delayed.
    fn voter_sets(&self) -> impl Iterator<Item = &Vec<Member>> {
        let sets = [&self.recorded, &self.disseminated];
        sets.into_iter().filter(|members| !members.is_empty())
    }

    /// Updates the time since which the quorum is lost: in each set of voters a majority is
    /// proven dead.
    pub(super) fn update_quorum_loss(&mut self, now: Time, proven_dead: &BTreeSet<Member>) {
        let lost = |members: &Vec<Member>| {
            let dead = members
                .iter()
                .filter(|member| proven_dead.contains(member))
                .count();
            dead * 2 > members.len()
        };
        let is_lost = self.voters().next().is_some() && self.voter_sets().all(lost);
        if !is_lost {
            self.quorum_lost_since = None;
        } else if self.quorum_lost_since.is_none() {
            self.quorum_lost_since = Some(now);
        }
    }

    /// Whether the quorum has been known to be lost since this time or earlier.
    pub(super) fn is_quorum_lost_since(&self, time: Time) -> bool {
        self.quorum_lost_since.is_some_and(|since| since <= time)
    }

    /// Whether the object was read and neither it nor dissemination shows an epoch.
    pub(super) fn has_no_record(&self) -> bool {
        self.is_read && self.epoch == Epoch(0)
    }

    /// Whether the object has not been read yet and may be read now.
    pub(super) fn needs_read(&self, now: Time) -> bool {
        !self.is_read && !self.is_backing_off(now)
    }

    /// Suspends actions on the group until this time.
    pub(super) fn back_off_until(&mut self, time: Time) {
        self.backs_off_until = time;
    }

    /// Whether actions on the group are suspended.
    pub(super) fn is_backing_off(&self, now: Time) -> bool {
        now < self.backs_off_until
    }
}
