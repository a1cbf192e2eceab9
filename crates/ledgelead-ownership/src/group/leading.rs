//! The leader: proposes the commands of its duties, publishes routes and stores snapshots
//! asynchronously.

use super::GroupReplica;
use crate::command::GroupCommand;
use crate::io::GroupOutput;
use crate::leader::{LeaderActions, LeaderContext, MemberContact};
use crate::message::DispatcherReport;
use crate::routes::{routes_of, same_content};
use ledgelead_replication::MembershipChange;
use ledgelead_types::codec::encode;
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::*;

impl GroupReplica {
    /// Performs the leader's duties. Returns whether something was proposed.
    pub(super) fn lead(&mut self, now: Time) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        if !self.replica.leader_is_ready() {
            return false;
        }
        if self.state.term != leader.term() {
            return self.start_leadership(now);
        }
        if now < self.next_reconcile {
            return false;
        }
        let LeaderActions {
            commands,
            membership,
        } = self.reconcile(now);
        if let Some(change) = membership {
            if let MembershipChange::AddLearner(_) = change {
                // The learner is sent the current state, which is smaller than the entries
                // that produced it.
                self.compact_log();
            }
            // A rejected change is proposed again by a later pass.
            let _ = self.replica.change_membership(now, change);
        }
        let proposed = !commands.is_empty() && self.propose_duties(now, commands);
        proposed || membership.is_some()
    }

    fn start_leadership(&mut self, now: Time) -> bool {
        let unproposed = self
            .leader
            .as_ref()
            .is_some_and(|leader| !leader.has_proposed());
        unproposed && self.propose_duties(now, vec![GroupCommand::StartLeadership(self.identity)])
    }

    fn reconcile(&mut self, now: Time) -> LeaderActions {
        let members = self.member_contacts(now);
        let Some(leader) = &mut self.leader else {
            return LeaderActions::default();
        };
        let context = LeaderContext {
            now,
            identity: self.identity,
            group: self.group,
            state: &self.state,
            configuration: self.configuration.as_deref(),
            live: &self.live,
            members: &members,
        };
        let replica = &self.replica;
        let result = leader.reconcile(&context, &|member| {
            replica.delegated_authority_until(member)
        });
        self.next_reconcile = leader.next_wakeup(now);
        result
    }

    fn propose_duties(&mut self, now: Time, commands: Vec<GroupCommand>) -> bool {
        let payload = encode(&List(commands));
        let Ok(revision) = self.replica.propose(now, payload) else {
            return false;
        };
        if let Some(leader) = &mut self.leader {
            leader.proposed(revision);
        }
        true
    }

    fn member_contacts(&mut self, now: Time) -> Vec<MemberContact> {
        let contact = |member: Member, voter: bool| {
            let last_contact = if member == self.identity {
                Some(now)
            } else {
                self.replica.last_contact(member)
            };
            let matched = self.replica.match_revision(member);
            MemberContact {
                member,
                voter,
                last_contact,
                caught_up: matched.is_some_and(|matched| matched >= self.state.applied),
            }
        };
        let voters = self.replica.voters().iter();
        let learners = self.replica.learners().iter();
        let voters = voters.map(|member| contact(*member, true));
        let learners = learners.map(|member| contact(*member, false));
        voters.chain(learners).collect()
    }

    pub(super) fn handle_report(&mut self, now: Time, from: Member, report: DispatcherReport) {
        if let Some(leader) = &mut self.leader {
            if report.term == leader.term() {
                for server in report.servers.iter() {
                    self.unavailable.record_report(now, server);
                }
            }
            leader.handle_report(now, from, report, &self.state);
            self.next_reconcile = now;
        }
    }

    /// Transfers this node's duties to other nodes before it stops.
    pub(super) fn prepare_shutdown(&mut self, now: Time) {
        self.dispatcher.stop();
        if self.leader.is_none() {
            return;
        }
        let others = self.replica.voters().iter().copied();
        let others = others.filter(|voter| *voter != self.identity);
        let successor = others
            .max_by_key(|voter| (self.replica.last_contact(*voter), std::cmp::Reverse(*voter)));
        if let Some(successor) = successor {
            // If the transfer is rejected, the others elect a leader once this one stops
            // responding.
            let _ = self.replica.transfer_leadership(now, successor);
        }
    }

    /// Publishes what changed: routes, assigned servers, the group's record.
    pub(super) fn publish(&mut self, now: Time) {
        if std::mem::take(&mut self.ownership_changed) {
            self.publish_routes();
            self.publish_assigned_servers();
        }
        self.publish_dispatched();
        self.store_snapshot(now);
    }

    fn publish_routes(&mut self) {
        let leads = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.term() == self.state.term);
        if !leads {
            return;
        }
        let voters = self.replica.voters();
        let routes = routes_of(self.group, &self.state, self.identity, voters);
        let known = self.routes.as_ref();
        if known.is_some_and(|known| same_content(known, &routes)) {
            return;
        }
        self.routes = Some(routes.clone());
        self.outputs.push(GroupOutput::Routes(routes));
    }

    /// Publishes all assigned servers if the set of servers has changed.
    fn publish_assigned_servers(&mut self) {
        let present = self.dispatcher.dispatched(&self.state);
        let known = &self.dispatched;
        let same_servers = present.len() == known.len()
            && present.iter().all(|entry| {
                known
                    .get(&entry.server)
                    .is_some_and(|known| known.slots == entry.slots && known.status == entry.status)
            });
        if same_servers {
            return;
        }
        self.outputs.push(GroupOutput::Dispatch(present.clone()));
        let keyed = present.into_iter().map(|entry| (entry.server, entry));
        self.dispatched = keyed.collect();
    }

    /// Publishes the assigned servers that have changed.
    fn publish_dispatched(&mut self) {
        for id in self.dispatcher.take_updated() {
            let Some(entry) = self.dispatcher.dispatched_server(id, &self.state) else {
                continue;
            };
            if self.dispatched.get(&id) != Some(&entry) {
                self.dispatched.insert(id, entry);
                self.outputs.push(GroupOutput::DispatchChanged(entry));
            }
        }
    }

    fn store_snapshot(&mut self, now: Time) {
        let leads = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.term() == self.state.term);
        if !leads || !self.snapshots.is_due(now) {
            return;
        }
        let record = GroupRecord {
            group: self.group,
            epoch: self.state.epoch,
            members: self.replica.voters().to_vec().into(),
            snapshot: Bytes(self.state.snapshot()),
        };
        let revision = self.state.applied;
        self.snapshots.sent(now, revision, record.snapshot.0.len());
        self.outputs
            .push(GroupOutput::StoreSnapshot(record, revision));
    }
}
