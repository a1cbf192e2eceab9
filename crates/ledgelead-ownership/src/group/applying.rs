//! Applying the output of the replicated log.

use super::GroupReplica;
use super::unavailable::UnavailableSlices;
use crate::command::GroupCommand;
use crate::io::GroupOutput;
use crate::leader::Leader;
use crate::message::{GroupAnswer, GroupMessage};
use crate::requests::Origin;
use crate::state::{Decision, GroupState};
use ledgelead_replication::{CommittedEntry, CommittedPayload, Ready, Role};
use ledgelead_types::codec::decode;
use ledgelead_types::event::Event;
use ledgelead_types::protections::Protection;
use ledgelead_types::*;

/// Number of entries after the latest compaction at which the log is compacted again.
const COMPACTION_ENTRIES: u64 = 8_192;

impl GroupReplica {
    /// Applies what the log has ready: state, entries, messages.
    pub(super) fn apply_ready(&mut self, now: Time) {
        let ready: Ready = self.replica.take_ready();
        if let Some(installed) = ready.install {
            // The state was encoded by a replica of this group, so decoding does not fail.
            if let Ok(state) = GroupState::restore(&installed.state) {
                self.state = state;
                self.state.applied = installed.revision;
                self.compacted = installed.revision;
                self.note_ownership_change();
            }
        }
        if let Some(role) = ready.role_changed {
            self.change_role(now, role);
        }
        let term = self.state.term;
        for entry in ready.committed {
            self.apply_entry(now, entry);
        }
        if self.state.term != term {
            self.dispatcher.leader_changed();
        }
        if std::mem::take(&mut self.duties_stale) {
            self.dispatcher.state_changed();
            if let Some(leader) = &mut self.leader {
                leader.observe_state(&self.state);
            }
        }
        for (to, message) in ready.messages {
            let message = GroupMessage::Replication(message);
            self.outputs.push(GroupOutput::Send { to, message });
        }
        self.compact();
    }

    fn note_ownership_change(&mut self) {
        self.ownership_changed = true;
        self.duties_stale = true;
    }

    fn change_role(&mut self, now: Time, role: Role) {
        let group = self.group;
        if let Some(leader) = self.leader.take() {
            let term = leader.term();
            self.event(Event::LeaderSteppedDown { group, term });
            self.routes = None;
        }
        if role != Role::Leader {
            return;
        }
        let term = self.replica.term();
        let lease_wait = self.protections.has(Protection::LeaseWait);
        let former_ends = self.replica.former_authority_ends();
        self.unavailable = UnavailableSlices::new(now);
        self.leader = Some(Leader::new(
            term,
            now,
            former_ends,
            lease_wait,
            self.assigner,
        ));
        self.duties_stale = true;
        self.snapshots = Default::default();
        self.snapshots.members_changed(now);
        self.next_reconcile = now;
        let epoch = self.state.epoch;
        self.event(Event::LeaderElected { group, epoch, term });
    }

    fn apply_entry(&mut self, now: Time, entry: CommittedEntry) {
        self.state.applied = entry.revision;
        match entry.payload {
            CommittedPayload::Noop => {}
            CommittedPayload::Membership(membership) => {
                self.ownership_changed = true;
                self.snapshots.members_changed(now);
                if self.leader.is_some() {
                    let group = self.group;
                    let members = membership.voters.0;
                    self.event(Event::MembershipChanged { group, members });
                }
            }
            CommittedPayload::Command(bytes) => {
                self.apply_command(now, entry.revision, entry.term, &bytes);
            }
        }
    }

    fn apply_command(&mut self, now: Time, revision: Revision, term: Term, bytes: &[u8]) {
        // An entry that can't be decoded is skipped, as on every other replica. No replica
        // writes such entries.
        let Ok(commands) = decode::<List<GroupCommand>>(bytes) else {
            return;
        };
        if commands.iter().all(is_record_command) {
            self.snapshots.records_changed(now);
        } else {
            self.note_ownership_change();
            self.snapshots.ownership_changed(now);
            self.next_reconcile = now;
        }
        let decisions = self.state.apply(revision, term, &commands);
        let origins = self.requests.applied(revision);
        let proposed_here = self.leader.as_ref().is_some_and(|l| l.term() == term);
        if proposed_here && !origins.is_empty() {
            let answers = answers(&commands, origins, &decisions);
            self.answer(now, answers);
        }
        for decision in decisions {
            self.emit_decision_event(decision);
        }
    }

    fn emit_decision_event(&mut self, decision: Decision) {
        let group = self.group;
        self.track_unavailability(self.now, &decision);
        let event = match decision {
            Decision::Operated(_) | Decision::Idempotency { .. } => return,
            Decision::OwnerChanged {
                range,
                from,
                to,
                token,
                after_loss,
            } => Event::OwnerChanged {
                group,
                range,
                from,
                to,
                token,
                after_loss,
            },
            Decision::StatusChanged { server, status } => {
                Event::ServerStatusChanged { server, status }
            }
        };
        if self.leader.is_some() {
            self.event(event);
        }
    }

    fn track_unavailability(&mut self, now: Time, decision: &Decision) {
        let Decision::OwnerChanged {
            range,
            from,
            to,
            after_loss,
            ..
        } = *decision
        else {
            return;
        };
        match (from, to) {
            (Some(owner), None) if after_loss => self.unavailable.record_loss(range, owner),
            (None, Some(_)) => {
                let regained = self.unavailable.record_regained(now, range);
                if let Some(unavailable) = regained.filter(|_| self.leader.is_some()) {
                    let group = self.group;
                    self.event(Event::SliceRegained {
                        group,
                        range,
                        unavailable,
                    });
                }
            }
            _ => {}
        }
    }

    pub(super) fn event(&mut self, event: Event) {
        self.outputs.push(GroupOutput::Event(event));
    }

    fn compact(&mut self) {
        if self.state.applied.0 >= self.compacted.0 + COMPACTION_ENTRIES {
            self.compact_log();
        }
    }

    /// Replaces the log with the applied state.
    pub(super) fn compact_log(&mut self) {
        let applied = self.state.applied;
        self.replica.compact(applied, self.state.snapshot());
        self.compacted = applied;
    }
}

/// The answer to each request of an entry. Each command produces at most one decision that
/// is an answer, and the decisions are in the order of the commands.
fn answers(
    commands: &[GroupCommand],
    origins: Vec<Origin>,
    decisions: &[Decision],
) -> Vec<(Origin, GroupAnswer)> {
    let mut asked_for = decisions.iter().filter_map(|decision| match decision {
        Decision::Operated(result) => Some(GroupAnswer::Operated(result.clone())),
        Decision::Idempotency { verdict, .. } => Some(GroupAnswer::Idempotency(*verdict)),
        Decision::OwnerChanged { .. } | Decision::StatusChanged { .. } => None,
    });
    let answer = |(command, origin): (&GroupCommand, Origin)| {
        let answer = match command {
            GroupCommand::EndIdempotencyRecord { .. } => Some(GroupAnswer::Ended),
            _ => asked_for.next(),
        };
        answer.map(|answer| (origin, answer))
    };
    commands.iter().zip(origins).filter_map(answer).collect()
}

fn is_record_command(command: &GroupCommand) -> bool {
    matches!(
        command,
        GroupCommand::BeginIdempotencyRecord { .. }
            | GroupCommand::EndIdempotencyRecord { .. }
            | GroupCommand::ExpireRecords { .. }
            | GroupCommand::AssumeRecordsComplete
    )
}
