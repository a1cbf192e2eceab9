//! Accessors for a replica's status.

use crate::ready::Role;
use crate::replica::{Replica, State};
use ledgelead_types::{Epoch, GroupId, Member, Revision, Term, Time};

impl Replica {
    /// The group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Generation of the replica set.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// This replica's identity in the group.
    pub fn identity(&self) -> Member {
        self.identity
    }

    /// Its role in the group.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leader(_) => Role::Leader,
            State::PreCandidate { .. } | State::Candidate { .. } => Role::Candidate,
            State::Follower if self.is_voter() => Role::Follower,
            State::Follower => Role::Learner,
        }
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<Member> {
        self.leader
    }

    /// Voters, by the latest membership in the log.
    pub fn voters(&self) -> &[Member] {
        &self.log.membership().voters
    }

    /// Learners, by the latest membership in the log.
    pub fn learners(&self) -> &[Member] {
        &self.log.membership().learners
    }

    /// Digest of the state and voters that the epoch started from; `None` if the log no
    /// longer starts there.
    pub fn start_digest(&self) -> Option<u64> {
        self.log.start_digest()
    }

    /// Last position known to be committed.
    pub fn commit_revision(&self) -> Revision {
        self.commit
    }

    /// Last position in the log.
    pub fn last_revision(&self) -> Revision {
        self.log.last_revision()
    }

    /// Number of entries that the log keeps after its snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// For a leader: last position at which another member's log is known to match.
    pub fn match_revision(&self, member: Member) -> Option<Revision> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        leader.progress.get(&member).map(|known| known.matched)
    }

    /// For a leader: when another member last replied in this term.
    pub fn last_contact(&self, member: Member) -> Option<Time> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        leader.progress.get(&member)?.last_contact
    }

    /// Whether this replica is the leader and has committed an entry of its own term, so
    /// that its state includes everything committed before.
    pub fn leader_is_ready(&self) -> bool {
        match &self.state {
            State::Leader(leader) => self.commit >= leader.first_revision,
            _ => false,
        }
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.has_state && self.log.membership().is_voter(self.identity)
    }
}
