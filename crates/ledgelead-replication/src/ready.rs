//! Output of a replica for its caller.

use crate::membership::Membership;
use crate::message::{Entry, Payload, ReplicationMessage};
use crate::replica::Replica;
use ledgelead_types::{Member, Revision, Term};

/// The role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the log but does not vote.
    Learner,
    /// Votes and follows a leader.
    Follower,
    /// Seeks election.
    Candidate,
    /// Orders and commits entries.
    Leader,
}

/// The actions to perform after a step, in this order: install the state, apply the
/// entries, send the messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    /// Messages to send; each may be lost.
    pub messages: Vec<(Member, ReplicationMessage)>,
    /// Replacement for the state machine's state.
    pub install: Option<InstalledState>,
    /// Newly committed entries, in order.
    pub committed: Vec<CommittedEntry>,
    /// The role, when it changed.
    pub role_changed: Option<Role>,
}

/// A committed entry.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedEntry {
    /// Its position.
    pub revision: Revision,
    /// Term of the leader that appended it.
    pub term: Term,
    /// The content.
    pub payload: CommittedPayload,
}

/// The content of a committed entry.
#[derive(Clone, Debug, PartialEq)]
pub enum CommittedPayload {
    /// No change.
    Noop,
    /// The members from this entry on.
    Membership(Membership),
    /// A command for the state machine.
    Command(Vec<u8>),
}

/// State of the state machine at a position.
#[derive(Clone, Debug, PartialEq)]
pub struct InstalledState {
    /// Last position that the state includes.
    pub revision: Revision,
    /// Members as of that position.
    pub membership: Membership,
    /// The state.
    pub state: Vec<u8>,
}

impl CommittedEntry {
    fn new(revision: Revision, entry: &Entry) -> CommittedEntry {
        let payload = match &entry.payload {
            Payload::Noop => CommittedPayload::Noop,
            Payload::Membership(membership) => CommittedPayload::Membership(membership.clone()),
            Payload::Command(command) | Payload::LazyCommand(command) => {
                CommittedPayload::Command(command.0.clone())
            }
        };
        CommittedEntry {
            revision,
            term: entry.term,
            payload,
        }
    }
}

impl Replica {
    /// Takes the pending actions. Appends are created here, so proposals made between two
    /// calls share one message.
    pub fn take_ready(&mut self) -> Ready {
        self.send_appends();
        self.step_down_if_removed();
        Ready {
            messages: std::mem::take(&mut self.messages),
            install: self.installed.take(),
            committed: self.take_committed(),
            role_changed: self.take_role_change(),
        }
    }

    fn take_committed(&mut self) -> Vec<CommittedEntry> {
        let mut committed = Vec::new();
        while self.delivered < self.commit {
            let revision = Revision(self.delivered.0 + 1);
            let Some(entry) = self.log.entry(revision) else {
                break;
            };
            committed.push(CommittedEntry::new(revision, entry));
            self.delivered = revision;
        }
        committed
    }

    fn take_role_change(&mut self) -> Option<Role> {
        let role = self.role();
        if role == self.reported_role {
            return None;
        }
        self.reported_role = role;
        Some(role)
    }
}
