//! The leader: proposals, appends, replies, commits.

use crate::leader_state::LeaderState;
use crate::message::*;
use crate::progress::ProgressState;
use crate::replica::{Replica, State};
use ledgelead_types::protections::Protection;
use ledgelead_types::timing::{HEARTBEAT_INTERVAL, LEADER_LEASE};
use ledgelead_types::{Bytes, List, Member, Revision, Term, Time};

/// Most entries in one append.
pub const MAX_APPEND_ENTRIES: usize = 256;

/// Most bytes of commands in one append, unless a single command is larger.
pub const MAX_APPEND_BYTES: usize = 32 * 1024;

/// Why a command was rejected. It was not appended and will not be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica is not the leader.
    NotLeader {
        /// The leader, when known.
        leader: Option<Member>,
    },
    /// Leadership is being transferred; retry with the next leader.
    Transferring {
        /// The successor.
        to: Member,
    },
}

impl std::fmt::Display for ProposeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ProposeError::NotLeader { .. } => formatter.write_str("not the leader"),
            ProposeError::Transferring { to } => {
                write!(formatter, "transferring leadership to {to}")
            }
        }
    }
}

impl std::error::Error for ProposeError {}

impl Replica {
    /// Appends a command and returns its position. The next [`Replica::take_ready`] sends
    /// it; it is delivered there, too, once it is committed. Until then another leader may
    /// still discard it.
    pub fn propose(&mut self, now: Time, command: Vec<u8>) -> Result<Revision, ProposeError> {
        self.propose_payload(now, Payload::Command(Bytes(command)))
    }

    /// Like [`Replica::propose`], for a command whose result only the leader acts on. Other
    /// members learn of the commit with the next message sent to them, at the latest a
    /// heartbeat. This saves one message and its reply for each member.
    pub fn propose_lazy(&mut self, now: Time, command: Vec<u8>) -> Result<Revision, ProposeError> {
        self.propose_payload(now, Payload::LazyCommand(Bytes(command)))
    }

    fn propose_payload(&mut self, now: Time, payload: Payload) -> Result<Revision, ProposeError> {
        self.advance_clock(now);
        let State::Leader(leader) = &self.state else {
            let leader = self.leader;
            return Err(ProposeError::NotLeader { leader });
        };
        if let Some(transfer) = leader.transfer {
            return Err(ProposeError::Transferring { to: transfer.to });
        }
        Ok(self.append_own(payload))
    }

    pub(crate) fn append_own(&mut self, payload: Payload) -> Revision {
        let term = self.term;
        let revision = self.log.append(Entry { term, payload });
        self.advance_commit();
        revision
    }

    pub(crate) fn tick_leader(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if leader.heartbeat_at <= self.now {
            leader.heartbeat_at = self.now + HEARTBEAT_INTERVAL;
            for progress in leader.progress.values_mut() {
                let due = progress.append_sent + HEARTBEAT_INTERVAL;
                if due <= self.now {
                    progress.heartbeat_due = true;
                } else {
                    leader.heartbeat_at = leader.heartbeat_at.min(due);
                }
            }
        }
        self.abort_overdue_transfer();
    }

    /// When the leader steps down unless a quorum replies before.
    pub(crate) fn leadership_ends(&self, leader: &LeaderState) -> Time {
        leader.authority_until.max(leader.elected + LEADER_LEASE)
    }

    pub(crate) fn handle_append_reply(&mut self, from: Member, term: Term, reply: AppendReply) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        if term > self.term {
            self.become_follower(term, None);
            return;
        }
        let plausible = reply.sent <= self.now && reply.sent >= leader.elected;
        if term < self.term || !plausible {
            return;
        }
        progress.record_reply(self.now, reply.sent, reply.stamp);
        let last = self.log.last_revision();
        match reply.outcome {
            AppendOutcome::Matched(matched) => {
                let revision = matched.revision.min(last);
                progress.record_match(revision);
            }
            AppendOutcome::Mismatch(mismatch) => {
                progress.record_mismatch(mismatch.previous, mismatch.hint.min(last));
                progress.retry_snapshot(self.now);
            }
            AppendOutcome::NeedsSnapshot => progress.require_snapshot(self.now),
            AppendOutcome::StaleTerm => {}
        }
        self.renew_authority();
        self.advance_commit();
        self.notify_successor();
    }

    /// Commits what a majority of voters holds. Only entries of the leader's own term are
    /// counted: an older entry can still be replaced even if a majority holds it (Raft,
    /// section 5.4.2).
    pub(crate) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let last = self.log.last_revision();
        let held = |member: Member| {
            if member == self.identity {
                return last;
            }
            let progress = leader.progress.get(&member);
            progress.map_or(Revision(0), |progress| progress.matched)
        };
        let mut reached = self.log.membership().reached_by_quorum(held);
        if !self.protections.has(Protection::QuorumAcknowledgement) {
            reached = Some(last);
        }
        if let Some(revision) = reached
            && self.log.term_at(revision) == Some(self.term)
        {
            self.commit_to(revision);
        }
    }

    /// Sends each member what is due: entries, the commit position, a heartbeat or a
    /// snapshot.
    pub(crate) fn send_appends(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let members: Vec<Member> = leader.progress.keys().copied().collect();
        for member in members {
            while let Some(body) = self.next_append(member) {
                self.send(member, body);
            }
        }
    }

    fn next_append(&mut self, member: Member) -> Option<Body> {
        let last = self.log.last_revision();
        let snapshot = self.log.snapshot().revision;
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let progress = leader.progress.get_mut(&member)?;
        let lacks_entries = progress.next <= last;
        let lacks_commit = self.log.has_non_lazy(progress.commit_sent, self.commit);
        let due = progress.heartbeat_due;
        match progress.state {
            ProgressState::Snapshot { .. } if due => Some(self.append_for(member, snapshot, 0)),
            ProgressState::Snapshot { .. } => None,
            _ if progress.next <= snapshot => Some(self.install_for(member)),
            ProgressState::Probe { waiting } if waiting && !due => None,
            ProgressState::Probe { waiting } => {
                progress.state = ProgressState::Probe { waiting: true };
                let previous = Revision(progress.next.0 - 1);
                // A member that has not replied to the first append may be down for a long
                // time, so its heartbeats carry no entries.
                let most = if waiting { 0 } else { MAX_APPEND_ENTRIES };
                Some(self.append_for(member, previous, most))
            }
            ProgressState::Replicate => {
                let sends_entries = lacks_entries && progress.has_room();
                if !sends_entries && !lacks_commit && !due {
                    return None;
                }
                let previous = Revision(progress.next.0 - 1);
                let most = if sends_entries { MAX_APPEND_ENTRIES } else { 0 };
                Some(self.append_for(member, previous, most))
            }
        }
    }

    fn append_for(&mut self, member: Member, previous: Revision, most_entries: usize) -> Body {
        let entries = self.entries_after(previous, most_entries);
        let due = self.heartbeat_is_due(member);
        let lazy = !due && !entries.is_empty() && entries.iter().all(Entry::is_lazy);
        let delegation = self.delegate(member);
        let commit = self.commit;
        if let State::Leader(leader) = &mut self.state
            && let Some(progress) = leader.progress.get_mut(&member)
        {
            progress.sent_append(self.now, previous, entries.len(), commit);
        }
        Body::Append(Append {
            sent: self.now,
            previous,
            previous_term: self.log.agreement_at(previous).unwrap_or_default(),
            commit,
            delegation,
            lazy,
            entries,
        })
    }

    fn heartbeat_is_due(&self, member: Member) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let progress = leader.progress.get(&member);
        progress.is_some_and(|progress| progress.heartbeat_due)
    }

    fn entries_after(&self, previous: Revision, most: usize) -> List<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while entries.len() < most {
            let revision = Revision(previous.0 + 1 + entries.len() as u64);
            let Some(entry) = self.log.entry(revision) else {
                break;
            };
            bytes += command_bytes(entry);
            if bytes > MAX_APPEND_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        List(entries)
    }

    fn install_for(&mut self, member: Member) -> Body {
        let revision = self.log.snapshot().revision;
        if let State::Leader(leader) = &mut self.state
            && let Some(progress) = leader.progress.get_mut(&member)
        {
            let sent = self.now;
            progress.state = ProgressState::Snapshot { sent, revision };
            progress.heartbeat_due = false;
        }
        let snapshot = self.log.snapshot();
        Body::Install(Install {
            sent: self.now,
            revision: snapshot.revision,
            revision_term: snapshot.term,
            membership: self.log.snapshot_membership().clone(),
            state: Bytes(snapshot.state.clone()),
        })
    }
}

fn command_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(command) | Payload::LazyCommand(command) => command.0.len(),
        Payload::Noop | Payload::Membership(_) => 0,
    }
}
