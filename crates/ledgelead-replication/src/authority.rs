//! Promises and the authority that depends on them (`docs/design/overview.md`, "Authority,
//! leases, fencing" 1 and 2).
//!
//! Invariant: at any instant of real time, authority is held under at most one term. A
//! leader's authority ends [`LEADER_LEASE`] after it sent a message that a majority of
//! voters has acknowledged. Each of these voters promised on receipt to vote for nobody
//! else for that time, lengthened for clock drift, and every later majority contains at
//! least one of them.

use crate::leader_state::LeaderState;
use crate::message::Delegation;
use crate::replica::{Replica, State};
use ledgelead_types::timing::{LEADER_LEASE, shortened_for_drift};
use ledgelead_types::{Member, Term, Time};

/// The right to act for a group until a time on the holder's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The term that it belongs to.
    pub term: Term,
    /// When it ends.
    pub until: Time,
}

impl Replica {
    /// The authority that this replica holds: a leader's own, or the part delegated to a
    /// follower. `None` if it holds none or it has ended.
    pub fn authority(&self, now: Time) -> Option<Authority> {
        let until = match &self.state {
            State::Leader(leader) => self.leader_authority(leader, now),
            State::Follower => self.delegated_until,
            State::PreCandidate { .. } | State::Candidate { .. } => Time::ZERO,
        };
        (until > now).then_some(Authority {
            term: self.term,
            until,
        })
    }

    /// For a leader, on its clock: the time by which all authority that it delegated to the
    /// member in this term has ended; [`Time::ZERO`] if it delegated none.
    pub fn delegated_authority_until(&self, member: Member) -> Time {
        self.delegated_ends
            .get(&member)
            .copied()
            .unwrap_or(Time::ZERO)
    }

    /// For a leader: the time by which the authority of every earlier leader of this epoch,
    /// and of its delegates, has ended. Normally this is the time of the election, because
    /// the voters' promises had run out by then; it is later after a transfer, which does
    /// not wait for promises.
    pub fn former_authority_ends(&self) -> Time {
        self.former_authority_ends
    }

    /// Until when this replica votes only for its leader. A leader is bound by its own
    /// authority in the same way.
    pub(crate) fn promised_until(&self) -> Time {
        match &self.state {
            State::Leader(leader) => self.promise_until.max(leader.authority_until),
            _ => self.promise_until,
        }
    }

    /// Recomputes the leader's authority from the replies received so far.
    pub(crate) fn renew_authority(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let until = self.leader_authority(leader, self.now);
        if let State::Leader(leader) = &mut self.state {
            leader.authority_until = until;
        }
    }

    fn leader_authority(&self, leader: &LeaderState, now: Time) -> Time {
        let acked_sent = |member: Member| {
            if member == self.identity {
                return Some(now);
            }
            leader.progress.get(&member)?.acked_sent
        };
        let acked_by_quorum = self
            .log
            .membership()
            .reached_by_quorum(acked_sent)
            .flatten();
        let until = acked_by_quorum.map_or(Time::ZERO, |sent| sent + LEADER_LEASE);
        until.max(leader.authority_until)
    }

    /// The part of the authority that the next message delegates to a voter. It counts from
    /// the member's own timestamp, which the leader received at `received`, so it ends
    /// before the leader's authority however long the message is delayed.
    ///
    /// It ends no later than [`LEADER_LEASE`] after the latest message that the member
    /// itself has acknowledged. A leader's authority is renewed while any quorum replies.
    /// Without this limit, a member that receives messages but can't reply would keep its
    /// delegation forever, and the servers assigned to it could never be marked as lost.
    pub(crate) fn delegate(&mut self, member: Member) -> Option<Delegation> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        if !self.log.membership().is_voter(member) {
            return None;
        }
        let progress = leader.progress.get(&member)?;
        let known = progress.stamp?;
        let until = leader
            .authority_until
            .min(progress.acked_sent? + LEADER_LEASE);
        if until <= self.now {
            return None;
        }
        let given = self.delegated_ends.entry(member).or_insert(Time::ZERO);
        *given = until.max(*given);
        Some(Delegation {
            stamp: known.stamp,
            span: shortened_for_drift(until.since(known.received)),
        })
    }
}
