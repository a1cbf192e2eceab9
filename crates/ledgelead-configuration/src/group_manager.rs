//! Forms the groups that the configuration calls for, rebuilds those whose
//! quorum is proven dead, and stores the leaders' snapshots.
//!
//! Invariant: a group gets a new epoch only while this node has fresh reason
//! to believe that the old epoch can't decide any more; see
//! `docs/design/configuration.md`.

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

/// How long the live set must not have changed before a group is formed.
const SETTLED: Span = Span::from_millis(300);
/// The same while there are fewer live nodes than replicas: others may be
/// about to start.
const SETTLED_WITH_FEW: Span = Span::from_seconds(3);
/// How long a lost quorum must have been known before the group is rebuilt. A
/// leader that lives in spite of it has this time to record its present
/// voters.
const PROOF_SETTLED: Span = Span::from_millis(500);
/// One group's object is read again in this time, in turn. News of a higher
/// epoch comes by dissemination; this finds what was missed. An object holds
/// a whole snapshot, so it is read seldom.
const POLL_INTERVAL: Span = Span::from_seconds(30);
/// How often unfinished groups are looked at.
const LOOK_INTERVAL: Span = Span::from_millis(100);
/// Objects read at the same time.
const MAX_READS: usize = 8;
/// Delay after an error, at least; half of it is random.
const BACKOFF: Span = Span::from_seconds(1);

/// For what a call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Read,
    Form,
    Snapshot,
}

/// Former of groups on one node.
pub struct GroupManager {
    node: NodeId,
    live: Vec<LiveNode>,
    live_since: Time,
    is_reader: bool,
    configuration: Arc<Configuration>,
    proven_dead: BTreeSet<Member>,
    groups: BTreeMap<GroupId, KnownGroup>,
    forming: BTreeMap<GroupId, Swap>,
    formed: BTreeMap<GroupId, GroupRecord>,
    snapshots: Snapshots,
    calls: BTreeMap<u64, (GroupId, Purpose)>,
    numbers: CallNumbers,
    next_look: Time,
    next_poll: Time,
    polled_last: Option<GroupId>,
    random: Pcg64Mcg,
    outputs: Vec<GroupManagerOutput>,
}

impl GroupManager {
    /// A former that knows no group and no node.
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
            formed: BTreeMap::new(),
            snapshots: Snapshots::default(),
            calls: BTreeMap::new(),
            numbers: CallNumbers::default(),
            next_look: now,
            next_poll: now,
            polled_last: None,
            random: Pcg64Mcg::seed_from_u64(settings.random_seed),
            outputs: Vec::new(),
        }
    }

    /// Takes in what happened at `now`.
    pub fn step(&mut self, now: Time, input: GroupManagerInput) {
        match input {
            GroupManagerInput::LiveNodes(live) => self.take_live_nodes(now, live),
            GroupManagerInput::Configuration(configuration) => {
                self.take_configuration(configuration)
            }
            GroupManagerInput::KnownMembers {
                group,
                epoch,
                members,
            } => self
                .groups
                .entry(group)
                .or_default()
                .note_members(epoch, members),
            GroupManagerInput::ProvenDead(members) => {
                self.proven_dead = members;
                self.look_at_losses(now);
            }
            GroupManagerInput::PlatformReplied { call, reply } => self.take_reply(now, call, reply),
            GroupManagerInput::StoreSnapshot { record, revision } => {
                let group = record.group;
                let step = self.snapshots.store(record, revision);
                self.carry_out_snapshot(group, step);
            }
        }
    }

    /// Does what has become due by `now`.
    pub fn tick(&mut self, now: Time) {
        if now < self.next_look {
            return;
        }
        self.next_look = now + LOOK_INTERVAL;
        if !self.is_reader {
            return;
        }
        self.look_at_losses(now);
        self.read_unread(now);
        self.poll(now);
        self.form_where_due(now);
    }

    /// When [`GroupManager::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        if self.is_reader {
            self.next_look
        } else {
            Time(u64::MAX)
        }
    }

    /// What is to be done since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<GroupManagerOutput> {
        std::mem::take(&mut self.outputs)
    }

    fn take_live_nodes(&mut self, now: Time, live: Vec<LiveNode>) {
        if live != self.live {
            self.is_reader = is_reader(self.node, &live);
            self.live = live;
            self.live_since = now;
        }
    }

    fn take_configuration(&mut self, configuration: Arc<Configuration>) {
        if configuration.version < self.configuration.version {
            return;
        }
        self.configuration = configuration;
        let configured: BTreeSet<GroupId> = self.configuration.groups().collect();
        for group in &configured {
            self.groups.entry(*group).or_default();
        }
        // A service that this node has yet to hear of keeps its groups.
        let highest = self.configuration.highest_service;
        let remains = |group: &GroupId| configured.contains(group) || group.service > highest;
        self.groups.retain(|group, _| remains(group));
        self.snapshots.retain(remains);
    }

    fn look_at_losses(&mut self, now: Time) {
        for known in self.groups.values_mut() {
            known.note_loss(now, &self.proven_dead);
        }
    }

    fn call(&mut self, group: GroupId, purpose: Purpose, request: PlatformCall) {
        let call = self.numbers.next();
        self.calls.insert(call, (group, purpose));
        self.outputs
            .push(GroupManagerOutput::CallPlatform { call, request });
    }

    fn read(&mut self, group: GroupId) {
        let name = group_object(group);
        self.call(group, Purpose::Read, PlatformCall::Get { name });
    }

    fn is_busy(&self, group: GroupId) -> bool {
        self.calls
            .values()
            .any(|(other, purpose)| *other == group && *purpose != Purpose::Snapshot)
    }

    /// Reads the objects of configured groups that this node never saw.
    fn read_unread(&mut self, now: Time) {
        let reads = self.calls.values();
        let open = reads
            .filter(|(_, purpose)| *purpose == Purpose::Read)
            .count();
        let unread: Vec<GroupId> = self
            .configuration
            .groups()
            .filter(|group| !self.is_busy(*group))
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

    /// Reads one group's object in each interval, in turn.
    fn poll(&mut self, now: Time) {
        if now < self.next_poll {
            return;
        }
        self.next_poll = now + POLL_INTERVAL;
        let groups: BTreeSet<GroupId> = self.configuration.groups().collect();
        let following = groups.iter().find(|group| Some(**group) > self.polled_last);
        let Some(group) = following.or(groups.first()).copied() else {
            return;
        };
        self.polled_last = Some(group);
        if !self.is_busy(group) {
            self.read(group);
        }
    }

    fn take_reply(&mut self, now: Time, call: u64, reply: Result<PlatformReply, PlatformError>) {
        let Some((group, purpose)) = self.calls.remove(&call) else {
            return;
        };
        match purpose {
            Purpose::Read => self.take_read(now, group, reply),
            Purpose::Form => self.take_forming(now, group, reply),
            Purpose::Snapshot => {
                let step = self.snapshots.replied(group, reply);
                self.carry_out_snapshot(group, step);
            }
        }
    }

    fn take_read(
        &mut self,
        now: Time,
        group: GroupId,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        match reply {
            Ok(PlatformReply::Object { version, value }) => {
                self.take_object(group, version, Some(&value));
            }
            Ok(PlatformReply::NotFound) => {
                self.take_object(group, ObjectVersion(0), None);
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

    /// Takes in a group's object; returns its record.
    fn take_object(
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
        if known.note_record(version, record.as_ref())
            && let Some(record) = &record
        {
            self.outputs
                .push(GroupManagerOutput::Publish(record.clone()));
        }
        record
    }

    fn carry_out_snapshot(&mut self, group: GroupId, step: SnapshotStep) {
        match step {
            SnapshotStep::Wait => {}
            SnapshotStep::Call(request) => self.call(group, Purpose::Snapshot, request),
            SnapshotStep::Stored { revision, next } => {
                self.outputs
                    .push(GroupManagerOutput::SnapshotStored { group, revision });
                self.carry_out_snapshot(group, *next);
            }
            SnapshotStep::Superseded { record } => {
                let epoch = record.epoch;
                let known = self.groups.entry(group).or_default();
                if known.note_record(ObjectVersion(0), Some(&record)) {
                    self.outputs.push(GroupManagerOutput::Publish(record));
                }
                self.outputs
                    .push(GroupManagerOutput::Superseded { group, epoch });
            }
        }
    }
}

/// The record in an object. One that can't be read, or is of another group,
/// is left alone: writing over it could start a second leader.
fn decode_record(group: GroupId, value: &Bytes) -> Option<GroupRecord> {
    let record = decode::<GroupRecord>(&value.0).ok()?;
    (record.group == group).then_some(record)
}
