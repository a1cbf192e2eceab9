//! Promises and the authority that rests on them
//! (`docs/design/overview.md`, "Authority, leases, fencing" 1 and 2).
//!
//! Invariant: at any instant of true time, authority is held under one term at
//! most. A leader's authority ends [`LEADER_LEASE`] after it sent a message that a
//! majority of voters has taken. Each of these promised, from its receipt and
//! stretched for drift, to vote for nobody else; every later majority contains
//! one of them.

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
    /// The authority that this replica holds: a leader's own, or the part
    /// delegated to a follower. `None` when there is none or it has ended.
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

    /// On the leader's clock, by when all authority that it gave to the member
    /// in this term has ended; [`Time::ZERO`] when it gave none.
    pub fn delegated_authority_until(&self, member: Member) -> Time {
        self.delegated_ends
            .get(&member)
            .copied()
            .unwrap_or(Time::ZERO)
    }

    /// For a leader: by when the authority of every earlier leader of this
    /// epoch, and of its delegates, has ended. The time of the election as a
    /// rule, since the voters' promises had run out; later after a transfer,
    /// which does not wait for promises.
    pub fn former_authority_ends(&self) -> Time {
        self.former_authority_ends
    }

    /// Until when this replica votes for nobody else than its leader; a
    /// leader's own authority binds it in the same way.
    pub(crate) fn promised_until(&self) -> Time {
        match &self.state {
            State::Leader(leader) => self.promise_until.max(leader.authority_until),
            _ => self.promise_until,
        }
    }

    /// Recomputes the leader's authority from the answers heard so far.
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

    /// The part of the authority that the next message to a voter carries.
    /// It starts from the member's own stamp, received at `received`, so it
    /// ends before the leader's authority whatever the message's delay.
    ///
    /// It ends at the latest a promise after the latest message that the
    /// member itself has taken. A leader's authority lives on while any quorum
    /// answers; a member that can hear and not answer would otherwise hold a
    /// part of it without end, and the servers in its care could never be
    /// taken as lost.
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
