//! When a group is formed or rebuilt, and with which voters.

use super::io::GroupManagerOutput;
use super::known::KnownGroup;
use super::{GroupManager, PROOF_SETTLED, Purpose, SETTLED, SETTLED_WITH_FEW};
use crate::placement::choose_voters;
use crate::swap::{Progress, Swap};
use ledgelead_types::codec::encode;
use ledgelead_types::event::Event;
use ledgelead_types::platform::{ObjectVersion, PlatformError, PlatformReply, group_object};
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Bytes, Epoch, GroupId, Member, Time, ZoneId};
use std::collections::BTreeSet;

impl GroupManager {
    pub(super) fn form_where_due(&mut self, now: Time) {
        let due: Vec<GroupId> = self
            .configuration
            .groups()
            .filter(|group| !self.is_busy(*group) && self.may_form(now, *group))
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
        if known.is_absent() {
            return self.is_settled(now, group);
        }
        known.is_lost_since(now.before(PROOF_SETTLED)) && self.sees_enough(known)
    }

    fn is_settled(&self, now: Time, group: GroupId) -> bool {
        let has_enough = self.live.len() >= self.replicas(group);
        let span = if has_enough {
            SETTLED
        } else {
            SETTLED_WITH_FEW
        };
        now.since(self.live_since) >= span
    }

    fn replicas(&self, group: GroupId) -> usize {
        let service = self.configuration.service(group.service);
        service.map_or(0, |service| usize::from(service.replicas))
    }

    /// Whether this node is placed to know that the group can't decide: every
    /// voter that is not proven dead is live here, so its news has arrived,
    /// and most zones are in reach. A node that was cut off for long, with
    /// only the platform in reach, knows voters of the past.
    fn sees_enough(&self, known: &KnownGroup) -> bool {
        let live: BTreeSet<Member> = self.live.iter().map(|node| node.member).collect();
        let accounted =
            |member: &Member| self.proven_dead.contains(member) || live.contains(member);
        known.voters().all(accounted) && self.sees_most_zones()
    }

    fn sees_most_zones(&self) -> bool {
        let live: BTreeSet<ZoneId> = self.live.iter().map(|node| node.zone).collect();
        let zones = &self.configuration.zones;
        let seen = zones.iter().filter(|zone| live.contains(&zone.id)).count();
        seen * 2 > zones.len() || zones.is_empty()
    }

    pub(super) fn take_forming(
        &mut self,
        now: Time,
        group: GroupId,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        let Some(swap) = self.forming.get_mut(&group) else {
            return;
        };
        match swap.replied(reply) {
            Progress::Call(request) => self.call(group, Purpose::Form, request),
            Progress::Read { version, value } => self.decide(now, group, version, value.as_ref()),
            Progress::Written(version) => self.take_formed(group, version),
            Progress::Unavailable => {
                self.end_forming(group);
                self.back_off(now, group);
            }
        }
    }

    fn end_forming(&mut self, group: GroupId) -> Option<GroupRecord> {
        self.forming.remove(&group);
        self.formed.remove(&group)
    }

    /// Decides with the object just read whether the group still has to be
    /// formed, and writes it.
    fn decide(&mut self, now: Time, group: GroupId, version: ObjectVersion, value: Option<&Bytes>) {
        let present = self.take_object(group, version, value);
        let is_unreadable = value.is_some() && present.is_none();
        self.look_at_losses(now);
        if is_unreadable || !self.may_form(now, group) {
            self.recognise(group, present.as_ref());
            return;
        }
        let Some(record) = self.next_record(group, present) else {
            self.end_forming(group);
            return;
        };
        let value = Bytes(encode(&record));
        self.formed.insert(group, record);
        let swap = self.forming.get_mut(&group);
        match swap.and_then(|swap| swap.write(version, value)) {
            Some(request) => self.call(group, Purpose::Form, request),
            None => {
                self.end_forming(group);
                self.back_off(now, group);
            }
        }
    }

    /// Ends forming; the record read back may be this node's own.
    fn recognise(&mut self, group: GroupId, present: Option<&GroupRecord>) {
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

    fn take_formed(&mut self, group: GroupId, version: ObjectVersion) {
        if let Some(record) = self.end_forming(group) {
            let epoch = record.epoch;
            let known = self.groups.entry(group).or_default();
            known.note_record(version, Some(&record));
            self.outputs.push(GroupManagerOutput::Publish(record));
            self.report_formed(group, epoch);
        }
    }

    fn report_formed(&mut self, group: GroupId, epoch: Epoch) {
        let event = Event::GroupFormed { group, epoch };
        self.outputs.push(GroupManagerOutput::Event(event));
    }
}
