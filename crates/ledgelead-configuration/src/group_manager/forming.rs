//! Decides when a group is formed or rebuilt, and with which voters.

use super::io::GroupManagerOutput;
use super::known::KnownGroup;
use super::{
    GroupManager, LIVE_SET_STABLE_TIME, LIVE_SET_STABLE_TIME_BELOW_REPLICAS, Purpose,
    QUORUM_LOSS_DELAY,
};
use crate::placement::choose_voters;
use crate::swap::{Progress, Swap};
use ledgelead_types::codec::encode;
use ledgelead_types::event::Event;
use ledgelead_types::platform::{ObjectVersion, PlatformError, PlatformReply, group_object};
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Bytes, Epoch, GroupId, Member, Time, ZoneId};
use std::collections::BTreeSet;

impl GroupManager {
    pub(super) fn form_due_groups(&mut self, now: Time) {
        let due: Vec<GroupId> = self
            .configuration
            .groups()
            .filter(|group| !self.has_open_call(*group) && self.may_form(now, *group))
            .collect();
        for group in due {
            let swap = Swap::of(group_object(group));
            let request = swap.read();
            self.forming.insert(group, swap);
            self.call(group, Purpose::Form, request);
        }
    }

    fn may_form(&self, now: Time, group: GroupId) -> bool {
        let Some(known) = self.groups.get(&group) else {
            return false;
        };
        if known.is_backing_off(now) {
            return false;
        }
        if known.has_no_record() {
            return self.is_live_set_stable(now, group);
        }
        known.is_quorum_lost_since(now.before(QUORUM_LOSS_DELAY)) && self.has_sufficient_view(known)
    }

    fn is_live_set_stable(&self, now: Time, group: GroupId) -> bool {
        let has_enough = self.live.len() >= self.replicas(group);
        let span = if has_enough {
            LIVE_SET_STABLE_TIME
        } else {
            LIVE_SET_STABLE_TIME_BELOW_REPLICAS
        };
        now.since(self.live_since) >= span
    }

    fn replicas(&self, group: GroupId) -> usize {
        let service = self.configuration.service(group.service);
        service.map_or(0, |service| usize::from(service.replicas))
    }

    /// Whether this node has enough information to conclude that the group can't decide: every
    /// voter that is not proven dead is live in this node's view, so what it disseminated has
    /// arrived, and a majority of zones is reachable. A node that was partitioned for long and
    /// reaches only the platform may know outdated voters.
    fn has_sufficient_view(&self, known: &KnownGroup) -> bool {
        let live: BTreeSet<Member> = self.live.iter().map(|node| node.member).collect();
        let is_accounted_for =
            |member: &Member| self.proven_dead.contains(member) || live.contains(member);
        known.voters().all(is_accounted_for) && self.sees_majority_of_zones()
    }

    fn sees_majority_of_zones(&self) -> bool {
        let live: BTreeSet<ZoneId> = self.live.iter().map(|node| node.zone).collect();
        let zones = &self.configuration.zones;
        let seen = zones.iter().filter(|zone| live.contains(&zone.id)).count();
        seen * 2 > zones.len() || zones.is_empty()
    }

    pub(super) fn handle_formation_reply(
        &mut self,
        now: Time,
        group: GroupId,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        let Some(swap) = self.forming.get_mut(&group) else {
            return;
        };
        match swap.handle_reply(reply) {
            Progress::Call(request) => self.call(group, Purpose::Form, request),
            Progress::Read { version, value } => {
                self.handle_read(now, group, version, value.as_ref())
            }
            Progress::Written(version) => self.handle_formed(group, version),
            Progress::Unavailable => {
                self.end_forming(group);
                self.back_off(now, group);
            }
        }
    }

    fn end_forming(&mut self, group: GroupId) -> Option<GroupRecord> {
        self.forming.remove(&group);
        self.proposed.remove(&group)
    }

    /// Checks with the object just read whether the group still has to be formed, and writes
    /// the new record.
    fn handle_read(
        &mut self,
        now: Time,
        group: GroupId,
        version: ObjectVersion,
        value: Option<&Bytes>,
    ) {
        let present = self.handle_object(group, version, value);
        let is_unreadable = value.is_some() && present.is_none();
        self.update_quorum_losses(now);
        if is_unreadable || !self.may_form(now, group) {
            self.end_without_write(group, present.as_ref());
            return;
        }
        let Some(record) = self.next_record(group, present) else {
            self.end_forming(group);
            return;
        };
        let value = Bytes(encode(&record));
        self.proposed.insert(group, record);
        let swap = self.forming.get_mut(&group);
        match swap.and_then(|swap| swap.write(version, value)) {
            Some(request) => self.call(group, Purpose::Form, request),
            None => {
                self.end_forming(group);
                self.back_off(now, group);
            }
        }
    }

    /// Ends forming without a write. If the record in the store is the one that this node
    /// proposed, an earlier write whose answer was lost took effect, and the group is reported
    /// as formed.
    fn end_without_write(&mut self, group: GroupId, present: Option<&GroupRecord>) {
        let own = self.end_forming(group);
        if let Some(own) = own.filter(|own| Some(own) == present) {
            self.report_formed(group, own.epoch);
        }
    }

    fn next_record(&self, group: GroupId, present: Option<GroupRecord>) -> Option<GroupRecord> {
        let known = self.groups.get(&group)?;
        let survivors: Vec<Member> = known
            .voters()
            .filter(|member| !self.proven_dead.contains(member))
            .copied()
            .collect();
        let present = present.unwrap_or_default();
        let members = choose_voters(group, self.replicas(group), &self.live, &survivors);
        let record = GroupRecord {
            group,
            epoch: Epoch(present.epoch.0 + 1),
            members: members.into(),
            snapshot: present.snapshot,
        };
        (!record.members.is_empty()).then_some(record)
    }

    fn handle_formed(&mut self, group: GroupId, version: ObjectVersion) {
        if let Some(record) = self.end_forming(group) {
            let epoch = record.epoch;
            let known = self.groups.entry(group).or_default();
            known.apply_record(version, Some(&record));
            self.outputs.push(GroupManagerOutput::Publish(record));
            self.report_formed(group, epoch);
        }
    }

    fn report_formed(&mut self, group: GroupId, epoch: Epoch) {
        let event = Event::GroupFormed { group, epoch };
        self.outputs.push(GroupManagerOutput::Event(event));
    }
}
