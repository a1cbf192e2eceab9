//! Membership changes and leadership transfers by the leader.

use crate::leader_state::Transfer;
use crate::membership::{MembershipChange, MembershipError};
use crate::message::{Body, Payload};
use crate::progress::{Progress, ProgressState};
use crate::replica::{Replica, State};
use ledgelead_types::timing::LEADER_LEASE;
use ledgelead_types::{Member, Revision, Time};

/// Entries that a learner may lack and still be promoted. Under load, some appends are
/// always in flight to it.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// Why a leadership transfer was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferError {
    /// This replica is not the leader.
    NotLeader {
        /// The leader, when known.
        leader: Option<Member>,
    },
    /// Another transfer is in progress.
    InProgress,
    /// The successor is this replica itself or not a voter.
    NotAnotherVoter,
}

impl std::fmt::Display for TransferError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            TransferError::NotLeader { .. } => "not the leader",
            TransferError::InProgress => "another transfer is in progress",
            TransferError::NotAnotherVoter => "the successor must be another voter",
        })
    }
}

impl std::error::Error for TransferError {}

impl Replica {
    /// Starts a change of one member and returns its position. It takes effect immediately
    /// and is final once committed.
    pub fn change_membership(
        &mut self,
        now: Time,
        change: MembershipChange,
    ) -> Result<Revision, MembershipError> {
        self.advance_clock(now);
        self.check_change(change)?;
        let membership = self.log.membership().after(change)?;
        let revision = self.append_own(Payload::Membership(membership));
        let last = Revision(revision.0 - 1);
        if let State::Leader(leader) = &mut self.state
            && let MembershipChange::AddLearner(member) = change
        {
            leader.progress.insert(member, Progress::new(last));
        }
        if let MembershipChange::Remove(member) = change {
            self.drop_removed_member(member);
        }
        Ok(revision)
    }

    fn check_change(&self, change: MembershipChange) -> Result<(), MembershipError> {
        let State::Leader(leader) = &self.state else {
            let leader = self.leader;
            return Err(MembershipError::NotLeader { leader });
        };
        if !self.leader_is_ready() {
            return Err(MembershipError::NotReady);
        }
        if self.log.membership_revision() > self.commit {
            return Err(MembershipError::InProgress);
        }
        if leader.transfer.is_some() {
            return Err(MembershipError::Transferring);
        }
        match change {
            MembershipChange::Promote(member) => self.check_caught_up(member),
            MembershipChange::AddLearner(_) | MembershipChange::Remove(_) => Ok(()),
        }
    }

    /// Checks that a learner is close to the end of the log. A voter that lacks many
    /// entries would delay every commit that needs it.
    fn check_caught_up(&self, member: Member) -> Result<(), MembershipError> {
        let State::Leader(leader) = &self.state else {
            return Ok(());
        };
        let Some(progress) = leader.progress.get(&member) else {
            return Err(MembershipError::NotMember);
        };
        let in_contact = progress
            .last_contact
            .is_some_and(|in_contact| self.now.since(in_contact) <= LEADER_LEASE);
        let near = progress.matched.0 + CAUGHT_UP_ENTRIES >= self.log.last_revision().0;
        if in_contact && near && progress.state == ProgressState::Replicate {
            return Ok(());
        }
        Err(MembershipError::NotCaughtUp)
    }

    /// Sends a removed member the entry that removes it, so that it stops starting
    /// elections, and then drops its progress.
    fn drop_removed_member(&mut self, member: Member) {
        self.send_appends();
        if let State::Leader(leader) = &mut self.state {
            leader.progress.remove(&member);
        }
        self.renew_authority();
        self.advance_commit();
    }

    /// Transfers leadership to another voter once it holds the whole log. New proposals are
    /// refused meanwhile; the attempt times out after [`LEADER_LEASE`].
    pub fn transfer_leadership(&mut self, now: Time, to: Member) -> Result<(), TransferError> {
        self.advance_clock(now);
        let is_voter = self.log.membership().is_voter(to);
        let State::Leader(leader) = &mut self.state else {
            let leader = self.leader;
            return Err(TransferError::NotLeader { leader });
        };
        if leader.transfer.is_some() {
            return Err(TransferError::InProgress);
        }
        if !is_voter || to == self.identity {
            return Err(TransferError::NotAnotherVoter);
        }
        leader.transfer = Some(Transfer {
            to,
            until: self.now + LEADER_LEASE,
            notified: false,
        });
        self.notify_successor();
        Ok(())
    }

    /// Tells the successor to start its election once it holds the whole log.
    pub(crate) fn notify_successor(&mut self) {
        let last = self.log.last_revision();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let progress = leader.progress.get(&transfer.to);
        let holds_log = progress.is_some_and(|progress| progress.matched == last);
        if transfer.notified || !holds_log {
            return;
        }
        transfer.notified = true;
        let to = transfer.to;
        self.send(to, Body::TimeoutNow);
    }

    pub(crate) fn abort_overdue_transfer(&mut self) {
        let now = self.now;
        if let State::Leader(leader) = &mut self.state {
            leader.transfer.take_if(|transfer| transfer.until <= now);
        }
    }

    /// Makes a leader that removed itself step down once its removal is committed. It names
    /// the voter with the longest matching log as its successor.
    pub(crate) fn step_down_if_removed(&mut self) {
        let removed = !self.log.membership().is_voter(self.identity);
        let final_removal = self.log.membership_revision() <= self.commit;
        let State::Leader(leader) = &self.state else {
            return;
        };
        if !removed || !final_removal {
            return;
        }
        let matched = |member: &Member| leader.progress.get(member).map(|known| known.matched);
        let voters = &self.log.membership().voters;
        let successor = voters.iter().copied().max_by_key(|voter| matched(voter));
        if let Some(successor) = successor {
            self.send(successor, Body::TimeoutNow);
        }
        self.become_follower(self.term, None);
    }
}
