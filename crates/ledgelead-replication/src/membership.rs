//! Voters and learners of a group.

use ledgelead_types::{List, Member};
use nanoserde::{DeBin, SerBin};

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Membership {
    /// Members that vote and make promises.
    pub voters: List<Member>,
    /// Members that receive the log but neither vote nor make promises.
    pub learners: List<Member>,
}

/// A change of one member. Consecutive memberships differ by at most one voter, so their
/// majorities overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a member that receives the log without a vote.
    AddLearner(Member),
    /// Makes a learner that has caught up a voter.
    Promote(Member),
    /// Removes a voter or learner.
    Remove(Member),
}

/// Why a membership change was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// This replica is not the leader.
    NotLeader {
        /// The leader, when known.
        leader: Option<Member>,
    },
    /// The leader has not yet committed an entry of its own term. A change before that
    /// could be committed by majorities that don't overlap.
    NotReady,
    /// The previous change is not committed yet.
    InProgress,
    /// Leadership is being transferred.
    Transferring,
    /// The learner to promote lacks entries or is unresponsive.
    NotCaughtUp,
    /// The member to add is already a member.
    AlreadyMember,
    /// The member to promote is not a learner, or the member to remove is not a member.
    NotMember,
    /// The last voter can't be removed.
    LastVoter,
}

impl std::fmt::Display for MembershipError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = match self {
            MembershipError::NotLeader { .. } => "not the leader",
            MembershipError::NotReady => "no entry of the current term is committed yet",
            MembershipError::InProgress => "the previous change is not committed yet",
            MembershipError::Transferring => "leadership is being transferred",
            MembershipError::NotCaughtUp => "the learner has not caught up",
            MembershipError::AlreadyMember => "already a member",
            MembershipError::NotMember => "not a learner or member that this change applies to",
            MembershipError::LastVoter => "the last voter can't be removed",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for MembershipError {}

impl Membership {
    /// A membership of voters without learners.
    pub fn of_voters(voters: Vec<Member>) -> Membership {
        Membership {
            voters: List(voters),
            learners: List::default(),
        }
    }

    /// Whether the member votes.
    pub fn is_voter(&self, member: Member) -> bool {
        self.voters.contains(&member)
    }

    /// Whether it is a voter or learner.
    pub fn contains(&self, member: Member) -> bool {
        self.is_voter(member) || self.learners.contains(&member)
    }

    /// Smallest number of voters that is a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.voters.iter().chain(self.learners.iter()).copied()
    }

    /// The membership after a change.
    pub fn after(&self, change: MembershipChange) -> Result<Membership, MembershipError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(member) if self.contains(member) => {
                return Err(MembershipError::AlreadyMember);
            }
            MembershipChange::AddLearner(member) => next.learners.push(member),
            MembershipChange::Promote(member) if !self.learners.contains(&member) => {
                return Err(MembershipError::NotMember);
            }
            MembershipChange::Promote(member) => {
                next.learners.retain(|learner| *learner != member);
                next.voters.push(member);
            }
            MembershipChange::Remove(member) if !self.contains(member) => {
                return Err(MembershipError::NotMember);
            }
            MembershipChange::Remove(member) => {
                next.learners.retain(|learner| *learner != member);
                next.voters.retain(|voter| *voter != member);
            }
        }
        if next.voters.is_empty() {
            return Err(MembershipError::LastVoter);
        }
        Ok(next)
    }

    /// The highest value that a majority of voters has reached, given the value of each
    /// voter.
    pub(crate) fn reached_by_quorum<T: Ord + Copy>(
        &self,
        value_of: impl Fn(Member) -> T,
    ) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(|voter| value_of(*voter)).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied()
    }
}
