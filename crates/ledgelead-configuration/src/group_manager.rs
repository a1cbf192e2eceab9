//! Forms the groups that the configuration requires, rebuilds groups whose quorum is proven
//! dead, and stores the leaders' snapshots.
//!
//! Invariant: a group gets a new epoch only while this node has current evidence that the old
//! epoch can't make decisions any more; see `docs/design/configuration.md`.

mod forming;
mod io;
mod known;
mod snapshots;

use crate::readers::is_reader;
use crate::swap::{CallNumbers, Swap};
pub use io::{GroupManagerInput, GroupManagerOutput, GroupManagerSettings};
use known::KnownGroup;
use ledgelead_types::codec::decode;
use ledgelead_types::configuration::Configuration;
use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::platform::{
    ObjectVersion, PlatformCall, PlatformError, PlatformReply, group_object,
};
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Bytes, GroupId, Member, NodeId, Span, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use snapshots::{SnapshotStep, Snapshots};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long the set of live nodes must be unchanged before a group is formed.
const LIVE_SET_STABLE_TIME: Span = Span::from_millis(300);
/// The same while there are fewer live nodes than replicas, since more nodes may be about to
/// start.
const LIVE_SET_STABLE_TIME_BELOW_REPLICAS: Span = Span::from_seconds(3);
/// How long a quorum must be known to be lost before the group is rebuilt. A leader that is
/// still working has this time to record its current voters.
const QUORUM_LOSS_DELAY: Span = Span::from_millis(500);
/// Interval at which the object of the next group, in turn, is read again. A higher epoch is
/// announced by dissemination, and these reads find what was missed. They are infrequent
/// because an object contains a whole snapshot.
const POLL_INTERVAL: Span = Span::from_seconds(30);
/// Interval between checks for groups to read, form or rebuild.
const CHECK_INTERVAL: Span = Span::from_millis(100);
/// Maximum number of concurrent reads.
const MAX_READS: usize = 8;
/// Longest delay after an error. The delay is drawn from the upper half.
const BACKOFF: Span = Span::from_seconds(1);

/// Purpose of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Read,
    Form,
    Snapshot,
}

/// Forms and rebuilds groups and stores snapshots on one node.
pub struct GroupManager {
    node: NodeId,
    live: Vec<LiveNode>,
    live_since: Time,
    is_reader: bool,
    configuration: Arc<Configuration>,
    proven_dead: BTreeSet<Member>,
    groups: BTreeMap<GroupId, KnownGroup>,
    forming: BTreeMap<GroupId, Swap>,
    proposed: BTreeMap<GroupId, GroupRecord>,
    snapshots: Snapshots,
    calls: BTreeMap<u64, (GroupId, Purpose)>,
    call_numbers: CallNumbers,
    next_check: Time,
    next_poll: Time,
    last_polled: Option<GroupId>,
    random: Pcg64Mcg,
    outputs: Vec<GroupManagerOutput>,
}

impl GroupManager {
    /// A manager without known groups and nodes.
    pub fn new(settings: GroupManagerSettings, now: Time) -> GroupManager {
        GroupManager {
            node: settings.node,
            live: Vec::new(),
            live_since: now,
            is_reader: true,
            configuration: Arc::default(),
            proven_dead: BTreeSet::new(),
            groups: BTreeMap::new(),
            forming: BTreeMap::new(),
            proposed: BTreeMap::new(),
            snapshots: Snapshots::default(),
            calls: BTreeMap::new(),
            call_numbers: CallNumbers::default(),
            next_check: now,
            next_poll: now,
            last_polled: None,
            random: Pcg64Mcg::seed_from_u64(settings.random_seed),
            outputs: Vec::new(),
        }
    }

    /// Processes an input at time `now`.
    pub fn step(&mut self, now: Time, input: GroupManagerInput) {
        match input {
            GroupManagerInput::LiveNodes(live) => self.handle_live_nodes(now, live),
            GroupManagerInput::Configuration(configuration) => {
                self.handle_configuration(configuration)
            }
            GroupManagerInput::KnownMembers {
                group,
                epoch,
                members,
            } => self
                .groups
                .entry(group)
                .or_default()
                .apply_members(epoch, members),
            GroupManagerInput::ProvenDead(members) => {
                self.proven_dead = members;
                self.update_quorum_losses(now);
            }
            GroupManagerInput::PlatformReplied { call, reply } => {
                self.handle_reply(now, call, reply)
            }
            GroupManagerInput::StoreSnapshot { record, revision } => {
                let group = record.group;
                let step = self.snapshots.store(record, revision);
                self.execute_snapshot_step(group, step);
            }
        }
    }

    /// Performs the actions that are due at time `now`.
    pub fn tick(&mut self, now: Time) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        if !self.is_reader {
            return;
        }
        self.update_quorum_losses(now);
        self.read_unread(now);
        self.poll(now);
        self.form_due_groups(now);
    }

    /// The time at which [`GroupManager::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        if self.is_reader {
            self.next_check
        } else {
            Time(u64::MAX)
        }
    }

    /// Removes and returns the outputs since the previous call, in order.
    pub fn take_outputs(&mut self) -> Vec<GroupManagerOutput> {
        std::mem::take(&mut self.outputs)
    }

    fn handle_live_nodes(&mut self, now: Time, live: Vec<LiveNode>) {
        if live != self.live {
            self.is_reader = is_reader(self.node, &live);
            self.live = live;
            self.live_since = now;
        }
    }

    fn handle_configuration(&mut self, configuration: Arc<Configuration>) {
        if configuration.version < self.configuration.version {
            return;
        }
        self.configuration = configuration;
        let configured: BTreeSet<GroupId> = self.configuration.groups().collect();
        for group in &configured {
            self.groups.entry(*group).or_default();
        }
        // A group of a service newer than this configuration is kept, since a later version
        // may contain the service.
        let highest = self.configuration.highest_service;
        let is_kept = |group: &GroupId| configured.contains(group) || group.service > highest;
        self.groups.retain(|group, _| is_kept(group));
        self.snapshots.retain(is_kept);
    }

    fn update_quorum_losses(&mut self, now: Time) {
        for known in self.groups.values_mut() {
            known.update_quorum_loss(now, &self.proven_dead);
        }
    }

    fn call(&mut self, group: GroupId, purpose: Purpose, request: PlatformCall) {
        let call = self.call_numbers.next();
        self.calls.insert(call, (group, purpose));
        self.outputs
            .push(GroupManagerOutput::CallPlatform { call, request });
    }

    fn read(&mut self, group: GroupId) {
        let name = group_object(group);
        self.call(group, Purpose::Read, PlatformCall::Get { name });
    }

    fn has_open_call(&self, group: GroupId) -> bool {
        self.calls
            .values()
            .any(|(other, purpose)| *other == group && *purpose != Purpose::Snapshot)
    }

    /// Reads the objects of configured groups that this node has not read yet.
    fn read_unread(&mut self, now: Time) {
        let reads = self.calls.values();
        let open = reads
            .filter(|(_, purpose)| *purpose == Purpose::Read)
            .count();
        let unread: Vec<GroupId> = self
            .configuration
            .groups()
            .filter(|group| !self.has_open_call(*group))
            .filter(|group| {
                self.groups
                    .get(group)
                    .is_some_and(|known| known.needs_read(now))
            })
            .take(MAX_READS.saturating_sub(open))
            .collect();
        for group in unread {
            self.read(group);
        }
    }

    /// Reads the object of one group per interval, in turn.
    fn poll(&mut self, now: Time) {
        if now < self.next_poll {
            return;
        }
        self.next_poll = now + POLL_INTERVAL;
        let groups: BTreeSet<GroupId> = self.configuration.groups().collect();
        let next_group = groups.iter().find(|group| Some(**group) > self.last_polled);
        let Some(group) = next_group.or(groups.first()).copied() else {
            return;
        };
        self.last_polled = Some(group);
        if !self.has_open_call(group) {
            self.read(group);
        }
    }

    fn handle_reply(&mut self, now: Time, call: u64, reply: Result<PlatformReply, PlatformError>) {
        let Some((group, purpose)) = self.calls.remove(&call) else {
            return;
        };
        match purpose {
            Purpose::Read => self.handle_read_reply(now, group, reply),
            Purpose::Form => self.handle_formation_reply(now, group, reply),
            Purpose::Snapshot => {
                let step = self.snapshots.handle_reply(group, reply);
                self.execute_snapshot_step(group, step);
            }
        }
    }

    fn handle_read_reply(
        &mut self,
        now: Time,
        group: GroupId,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        match reply {
            Ok(PlatformReply::Object { version, value }) => {
                self.handle_object(group, version, Some(&value));
            }
            Ok(PlatformReply::NotFound) => {
                self.handle_object(group, ObjectVersion(0), None);
            }
            _ => self.back_off(now, group),
        }
    }

    fn back_off(&mut self, now: Time, group: GroupId) {
        let delay = BACKOFF.times(self.random.random_range(0.5..1.0));
        if let Some(known) = self.groups.get_mut(&group) {
            known.back_off_until(now + delay);
        }
    }

    /// Processes a group's object and returns its record.
    fn handle_object(
        &mut self,
        group: GroupId,
        version: ObjectVersion,
        value: Option<&Bytes>,
    ) -> Option<GroupRecord> {
        let record = match value {
            Some(value) => Some(decode_record(group, value)?),
            None => None,
        };
        let known = self.groups.entry(group).or_default();
        if known.apply_record(version, record.as_ref())
            && let Some(record) = &record
        {
            self.outputs
                .push(GroupManagerOutput::Publish(record.clone()));
        }
        record
    }

    fn execute_snapshot_step(&mut self, group: GroupId, step: SnapshotStep) {
        match step {
            SnapshotStep::Wait => {}
            SnapshotStep::Call(request) => self.call(group, Purpose::Snapshot, request),
            SnapshotStep::Stored { revision, next } => {
                self.outputs
                    .push(GroupManagerOutput::SnapshotStored { group, revision });
                self.execute_snapshot_step(group, *next);
            }
            SnapshotStep::Superseded { record } => {
                let epoch = record.epoch;
                let known = self.groups.entry(group).or_default();
                if known.apply_record(ObjectVersion(0), Some(&record)) {
                    self.outputs.push(GroupManagerOutput::Publish(record));
                }
                self.outputs
                    .push(GroupManagerOutput::Superseded { group, epoch });
            }
        }
    }
}

/// Decodes a group's record. `None` if it is unreadable or belongs to another group; such an
/// object is never overwritten, since that could start a second leader.
fn decode_record(group: GroupId, value: &Bytes) -> Option<GroupRecord> {
    let record = decode::<GroupRecord>(&value.0).ok()?;
    (record.group == group).then_some(record)
}
