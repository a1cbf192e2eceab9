//! The groups of which this node has a replica.
//!
//! A node becomes a replica when a group's record names its current incarnation as a voter,
//! or when a group's leader contacts it as a learner. It stops being one when a record with
//! a higher epoch doesn't include it, when the group removed it, or when the service was
//! deleted.
//!
//! Invariant: a process starts at most one replica of a group in an epoch. A second one
//! would not know the votes and promises of the first, and could help to elect another
//! leader beside the one that the first promised to follow.

use ledgelead_ownership::{GroupInput, GroupReplica, GroupReplicaSettings};
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::configuration::Configuration;
use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::protections::Protections;
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Epoch, GroupId, Member, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Multiplier that derives a different random seed for each group.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Replicas of groups on this node, and the records of all groups.
pub(crate) struct HostedGroups {
    identity: Member,
    random_seed: u64,
    protections: Protections,
    assigner: AssignerChoice,
    replicas: BTreeMap<GroupId, GroupReplica>,
    records: BTreeMap<GroupId, GroupRecord>,
    /// Highest epoch in which this process has started a replica, or has failed to. Never
    /// removed, even when the group is gone.
    started: BTreeMap<GroupId, Epoch>,
    configuration: Arc<Configuration>,
    live: Vec<LiveNode>,
}

impl HostedGroups {
    /// Creates an empty set of groups.
    pub(crate) fn new(
        identity: Member,
        random_seed: u64,
        protections: Protections,
        assigner: AssignerChoice,
    ) -> Self {
        HostedGroups {
            identity,
            random_seed,
            protections,
            assigner,
            replicas: BTreeMap::new(),
            records: BTreeMap::new(),
            started: BTreeMap::new(),
            configuration: Arc::default(),
            live: Vec::new(),
        }
    }

    /// Applies a group's record; starts a replica if it names this incarnation.
    pub(crate) fn apply_record(&mut self, now: Time, record: GroupRecord) {
        let known = self.records.get(&record.group).map(|record| record.epoch);
        if known.is_some_and(|epoch| epoch > record.epoch) {
            return;
        }
        let group = record.group;
        let is_new_epoch = known != Some(record.epoch);
        if is_new_epoch {
            self.replicas.remove(&group);
        }
        let names_this_run = record.members.contains(&self.identity);
        self.records.insert(group, record);
        if is_new_epoch && names_this_run {
            self.start(now, group);
        }
    }

    /// The replica that a message is addressed to. A message of a group with a known record
    /// starts a learner, because only a leader contacts a node that is not a replica.
    pub(crate) fn replica_for_message(
        &mut self,
        now: Time,
        group: GroupId,
    ) -> Option<&mut GroupReplica> {
        if !self.replicas.contains_key(&group) && self.records.contains_key(&group) {
            self.start(now, group);
        }
        self.replicas.get_mut(&group)
    }

    /// Starts the replica of a group, unless this process already had one in the epoch.
    fn start(&mut self, now: Time, group: GroupId) {
        let Some(record) = self.records.get(&group) else {
            return;
        };
        let started = self.started.get(&group);
        if started.is_some_and(|epoch| *epoch >= record.epoch) {
            return;
        }
        self.started.insert(group, record.epoch);
        let part_of_seed = (u64::from(group.service.0) << 16) | u64::from(group.part);
        let settings = GroupReplicaSettings {
            identity: self.identity,
            record: record.clone(),
            random_seed: self.random_seed ^ (part_of_seed + 1).wrapping_mul(SEED_MULTIPLIER),
            protections: self.protections,
            assigner: self.assigner,
        };
        // A record written by another version of the program may be unreadable. The group
        // then continues with the replicas that can read it.
        let Ok(mut replica) = GroupReplica::new(settings, now) else {
            return;
        };
        replica.step(now, GroupInput::Configuration(self.configuration.clone()));
        replica.step(now, GroupInput::LiveNodes(self.live.clone()));
        self.replicas.insert(group, replica);
    }

    /// Applies a configuration; stops the replicas of groups that no longer exist.
    ///
    /// The record of a new service may arrive before the configuration that creates it, so
    /// a group is kept if its service identifier has not been assigned yet.
    pub(crate) fn apply_configuration(&mut self, now: Time, configuration: Arc<Configuration>) {
        let configured: BTreeSet<GroupId> = configuration.groups().collect();
        let is_kept = |group: &GroupId| {
            configured.contains(group) || group.service > configuration.highest_service
        };
        self.replicas.retain(|group, _| is_kept(group));
        self.records.retain(|group, _| is_kept(group));
        self.configuration = configuration;
        for replica in self.replicas.values_mut() {
            replica.step(now, GroupInput::Configuration(self.configuration.clone()));
        }
    }

    /// Passes the live nodes to the replicas.
    pub(crate) fn set_live_nodes(&mut self, now: Time, live: Vec<LiveNode>) {
        self.live = live;
        for replica in self.replicas.values_mut() {
            replica.step(now, GroupInput::LiveNodes(self.live.clone()));
        }
    }

    /// Stops a replica whose group has moved on to a higher epoch.
    pub(crate) fn supersede(&mut self, group: GroupId, epoch: Epoch) {
        let is_older = self
            .records
            .get(&group)
            .is_some_and(|record| record.epoch < epoch);
        if is_older {
            self.replicas.remove(&group);
        }
    }

    /// Steps a replica; returns whether there is one.
    pub(crate) fn step(&mut self, now: Time, group: GroupId, input: GroupInput) -> bool {
        match self.replicas.get_mut(&group) {
            Some(replica) => {
                replica.step(now, input);
                true
            }
            None => false,
        }
    }

    /// Steps every replica.
    pub(crate) fn step_all(&mut self, now: Time, input: &GroupInput) {
        for replica in self.replicas.values_mut() {
            replica.step(now, input.clone());
        }
    }

    /// The replica of a group.
    pub(crate) fn replica(&self, group: GroupId) -> Option<&GroupReplica> {
        self.replicas.get(&group)
    }

    /// Every replica.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (GroupId, &GroupReplica)> {
        self.replicas
            .iter()
            .map(|(group, replica)| (*group, replica))
    }

    /// Every replica, mutable.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (GroupId, &mut GroupReplica)> {
        self.replicas
            .iter_mut()
            .map(|(group, replica)| (*group, replica))
    }

    /// The record of a group.
    pub(crate) fn record(&self, group: GroupId) -> Option<&GroupRecord> {
        self.records.get(&group)
    }

    /// Records of all groups.
    pub(crate) fn records(&self) -> impl Iterator<Item = &GroupRecord> {
        self.records.values()
    }
}

#[cfg(test)]
#[path = "groups_tests.rs"]
mod tests;
