//! Repair of the replica set: replaces replicas that are lost or whose nodes are stopping,
//! and spreads replicas over zones, one change at a time.
//!
//! A replacement first receives the whole log as a learner. Then a lost voter is removed
//! before the replacement becomes a voter: the number of live voters never decreases, and
//! the lost voter never counts together with its replacement, which would make any further
//! loss fatal. A voter whose node is stopping is still live, so its replacement becomes a
//! voter first.

use super::{Leader, LeaderContext};
use ledgelead_replication::MembershipChange;
use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// A voter is replaced if it was unresponsive for this long and the membership doesn't list
/// its incarnation as live.
const MEMBER_TIMEOUT: Span = Span::from_seconds(2);
/// The same for a voter whose node is live under another incarnation, so that the voter's
/// process has certainly ended.
const RESTARTED_MEMBER_TIMEOUT: Span = Span::from_millis(400);
/// Interval between attempts at a change.
const CHANGE_INTERVAL: Span = Span::from_millis(50);

/// A member of the replica set, as seen by the leader.
#[derive(Clone, Copy, Debug)]
pub struct MemberContact {
    /// The member.
    pub member: Member,
    /// Whether it votes; a learner otherwise.
    pub voter: bool,
    /// When it last replied in this term; the current time for the leader itself.
    pub last_contact: Option<Time>,
    /// Whether it holds the whole committed log.
    pub caught_up: bool,
}

impl Leader {
    /// The next change of the replica set, if one is needed.
    pub(super) fn repair_members(&mut self, context: &LeaderContext) -> Option<MembershipChange> {
        if context.now < self.next_member_change || context.live.is_empty() {
            return None;
        }
        self.next_member_change = context.now + CHANGE_INTERVAL;
        let target = usize::from(context.service()?.replicas.max(1));
        let view = MembersView::of(context, &self.stopping);
        let dead = view.dead_voter(context, self.since);
        let stopping = view.stopping_voter(context);
        let full = view.voters.len() >= target;
        if let Some(learner) = view.learners.first() {
            let stops = self.stopping.contains(&learner.member);
            if stops || view.is_dead(context, self.since, learner) {
                return Some(MembershipChange::Remove(learner.member));
            }
            if !learner.caught_up {
                return None;
            }
            // The dead voter is removed first: counted together with the new one it would
            // raise the majority.
            return Some(match dead.filter(|_| full) {
                Some(dead) => MembershipChange::Remove(dead),
                None => MembershipChange::Promote(learner.member),
            });
        }
        if view.voters.len() > target {
            let surplus = dead.or(stopping).or_else(|| view.surplus(context))?;
            return Some(MembershipChange::Remove(surplus));
        }
        let short = view.voters.len() < target;
        let complete = dead.is_none() && stopping.is_none() && !short;
        if complete && !view.is_spread_unevenly(context) {
            return None;
        }
        let candidate = view.candidate(context)?;
        Some(MembershipChange::AddLearner(candidate))
    }
}

struct MembersView<'a> {
    voters: Vec<MemberContact>,
    learners: Vec<MemberContact>,
    /// Number of live voters in each zone with a live node.
    zones: BTreeMap<ZoneId, usize>,
    /// Replicas whose nodes are stopping.
    stopping: &'a BTreeSet<Member>,
}

impl MembersView<'_> {
    fn of<'a>(context: &LeaderContext, stopping: &'a BTreeSet<Member>) -> MembersView<'a> {
        let (voters, learners) = context.members.iter().partition(|contact| contact.voter);
        let mut view = MembersView {
            voters,
            learners,
            zones: context.live.iter().map(|node| (node.zone, 0)).collect(),
            stopping,
        };
        for voter in view.voters.clone() {
            let zone = zone_of(context, voter.member);
            if let Some(count) = zone.and_then(|zone| view.zones.get_mut(&zone)) {
                *count += 1;
            }
        }
        view
    }

    fn is_dead(&self, context: &LeaderContext, elected: Time, contact: &MemberContact) -> bool {
        if contact.member == context.identity {
            return false;
        }
        let silence = context.now.since(contact.last_contact.unwrap_or(elected));
        let node = contact.member.node;
        let listed = context.live.iter().find(|live| live.member.node == node);
        match listed {
            Some(live) if live.member == contact.member => false,
            Some(_) => silence >= RESTARTED_MEMBER_TIMEOUT,
            None => silence >= MEMBER_TIMEOUT,
        }
    }

    fn dead_voter(&self, context: &LeaderContext, elected: Time) -> Option<Member> {
        let dead = self
            .voters
            .iter()
            .find(|voter| self.is_dead(context, elected, voter));
        dead.map(|voter| voter.member)
    }

    /// A voter whose node is stopping. Its replacement becomes a voter before it is
    /// removed, so that the loss of another voter in the meantime leaves a majority.
    fn stopping_voter(&self, context: &LeaderContext) -> Option<Member> {
        let mut members = self.voters.iter().map(|voter| voter.member);
        members.find(|member| *member != context.identity && self.stopping.contains(member))
    }

    /// A voter in the zone with the most voters, other than the leader.
    fn surplus(&self, context: &LeaderContext) -> Option<Member> {
        let others = self
            .voters
            .iter()
            .filter(|voter| voter.member != context.identity);
        let zone_voters = |voter: &&MemberContact| {
            zone_of(context, voter.member).and_then(|zone| self.zones.get(&zone).copied())
        };
        others.max_by_key(zone_voters).map(|voter| voter.member)
    }

    /// Whether a voter could move from a zone with two or more voters to a zone with none.
    fn is_spread_unevenly(&self, context: &LeaderContext) -> bool {
        let most = self.zones.values().max().copied().unwrap_or(0);
        let leader_zone = zone_of(context, context.identity);
        let removable = self
            .zones
            .iter()
            .any(|(zone, count)| *count == most && (Some(*zone) != leader_zone || most > 1));
        let empty = self
            .free_nodes(context)
            .any(|node| self.zones[&node.zone] == 0);
        most >= 2 && removable && empty
    }

    /// A live node that is not a member, in the zone with the fewest voters. Each group
    /// orders the nodes differently, so that groups that lost a replica at the same time
    /// don't all choose the same node.
    fn candidate(&self, context: &LeaderContext) -> Option<Member> {
        let chosen = self.free_nodes(context).min_by_key(|node| {
            let weight = context.group.replica_weight(node.member.node);
            (self.zones[&node.zone], weight)
        });
        chosen.map(|node| node.member)
    }

    fn free_nodes<'a>(&'a self, context: &'a LeaderContext) -> impl Iterator<Item = &'a LiveNode> {
        context.live.iter().filter(|node| {
            let is_member = |contact: &MemberContact| contact.member == node.member;
            !context.members.iter().any(is_member) && !self.stopping.contains(&node.member)
        })
    }
}

fn zone_of(context: &LeaderContext, member: Member) -> Option<ZoneId> {
    let live = context.live.iter().find(|live| live.member == member);
    live.map(|live| live.zone)
}
