//! The replica: its state and the entry points for its caller.

use crate::leader_state::LeaderState;
use crate::log::{Log, Snapshot};
use crate::membership::Membership;
use crate::message::{Body, ReplicationMessage};
use crate::ready::{InstalledState, Role};
use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::timing::ELECTION_JITTER;
use ledgelead_types::{Epoch, GroupId, Member, Revision, Span, Term, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Wakeup time of a replica with nothing scheduled.
const NEVER: Time = Time(u64::MAX);

/// Initial settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The group.
    pub group: GroupId,
    /// Generation of the replica set.
    pub epoch: Epoch,
    /// This node and the incarnation of its process.
    pub identity: Member,
    /// Voters at the start of the epoch.
    pub voters: Vec<Member>,
    /// State of the state machine at the start of the epoch; the same on each
    /// of `voters`.
    pub start_state: Vec<u8>,
    /// Seed of the election delays.
    pub random_seed: u64,
    /// Safety checks. All are on, except in simulations that verify that a checker detects
    /// a missing one.
    pub protections: Protections,
}

/// The role of a replica, with the data of that role.
#[derive(Clone, Debug)]
pub(crate) enum State {
    /// Follower or learner.
    Follower,
    /// Collects pre-votes.
    PreCandidate {
        /// Whether this is the first pre-vote since it was a follower.
        first: bool,
        /// Voters that granted the pre-vote, including itself.
        granted: BTreeSet<Member>,
    },
    /// Candidate in an election.
    Candidate {
        /// Voters that voted for it, including itself.
        granted: BTreeSet<Member>,
        /// Whether the previous leader asked it to.
        transfer: bool,
    },
    /// Leader.
    Leader(Box<LeaderState>),
}

/// One replica of one group in one epoch.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) group: GroupId,
    pub(crate) epoch: Epoch,
    pub(crate) identity: Member,
    pub(crate) protections: Protections,
    pub(crate) random: Pcg64Mcg,
    /// The latest time passed by the caller.
    pub(crate) now: Time,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<Member>,
    pub(crate) leader: Option<Member>,
    pub(crate) state: State,
    /// Whether the replica holds the state that the log starts from. A replica that isn't
    /// one of the epoch's first voters has none until a leader sends it.
    pub(crate) has_state: bool,
    pub(crate) log: Log,
    pub(crate) commit: Revision,
    /// Last position delivered to the caller.
    pub(crate) delivered: Revision,
    /// Until when it votes only for the last leader that contacted it. It never decreases,
    /// even when the term changes, because the authority that depends on the promise does
    /// not end earlier either.
    pub(crate) promise_until: Time,
    /// When to start an election, unless a leader makes contact before.
    pub(crate) election_at: Time,
    /// End of the authority delegated to this follower in this term.
    pub(crate) delegated_until: Time,
    /// End of the authority that this leader delegated to each follower.
    pub(crate) delegated_ends: BTreeMap<Member, Time>,
    pub(crate) former_authority_ends: Time,
    pub(crate) messages: Vec<(Member, ReplicationMessage)>,
    pub(crate) installed: Option<InstalledState>,
    pub(crate) reported_role: Role,
}

impl Replica {
    /// Creates a replica at the start of its process. A replica whose identity isn't among
    /// the voters waits as a learner until a leader contacts it.
    ///
    /// A process must create at most one replica for each group and epoch: a second one
    /// would not know the votes and promises of the first.
    pub fn new(settings: ReplicaSettings, now: Time) -> Replica {
        let identity = starting_identity(&settings);
        let has_state = settings.voters.contains(&identity);
        let snapshot = Snapshot {
            revision: Revision(0),
            term: Term(0),
            state: settings.start_state,
        };
        let membership = Membership::of_voters(settings.voters);
        let mut replica = Replica {
            group: settings.group,
            epoch: settings.epoch,
            identity,
            protections: settings.protections,
            random: Pcg64Mcg::seed_from_u64(settings.random_seed),
            now,
            term: Term(0),
            voted_for: None,
            leader: None,
            state: State::Follower,
            has_state,
            log: Log::new(snapshot, membership),
            commit: Revision(0),
            delivered: Revision(0),
            promise_until: now,
            election_at: now,
            delegated_until: Time::ZERO,
            delegated_ends: BTreeMap::new(),
            former_authority_ends: Time::ZERO,
            messages: Vec::new(),
            installed: None,
            reported_role: Role::Learner,
        };
        replica.election_at = now + replica.jitter(ELECTION_JITTER);
        replica.reported_role = replica.role();
        replica
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, now: Time, from: Member, message: ReplicationMessage) {
        self.advance_clock(now);
        let from = self.sender_identity(from);
        let for_other_run = message.to != self.identity.incarnation;
        if for_other_run && self.protections.has(Protection::IncarnationCheck) {
            return;
        }
        if message.epoch != self.epoch || from == self.identity {
            return;
        }
        let term = message.term;
        match message.body {
            Body::Append(append) => self.handle_append(from, term, append),
            Body::Install(install) => self.handle_install(from, term, install),
            Body::AppendReply(reply) => self.handle_append_reply(from, term, reply),
            Body::PreVote(request) => self.handle_pre_vote(from, term, request),
            Body::PreVoteReply(reply) => self.handle_pre_vote_reply(from, term, reply),
            Body::Vote(request) => self.handle_vote(from, term, request),
            Body::VoteReply(reply) => self.handle_vote_reply(from, term, reply),
            Body::TimeoutNow => self.handle_timeout_now(from, term),
        }
    }

    /// Performs the actions that are due. Call it at [`Replica::next_wakeup`] or later.
    pub fn tick(&mut self, now: Time) {
        self.advance_clock(now);
        match &self.state {
            State::Leader(_) => self.tick_leader(),
            _ if now >= self.election_at && self.may_campaign() => self.start_pre_vote(),
            _ => {}
        }
    }

    /// When to call [`Replica::tick`] next, unless a message arrives before.
    pub fn next_wakeup(&self) -> Time {
        match &self.state {
            State::Leader(leader) => {
                let transfer_until = leader.transfer.map_or(NEVER, |transfer| transfer.until);
                leader
                    .heartbeat_at
                    .min(self.leadership_ends(leader))
                    .min(transfer_until)
            }
            _ if self.may_campaign() => self.election_at,
            _ => NEVER,
        }
    }

    /// Replaces the log up to an applied position with the state machine's state at that
    /// position. Members that need a removed entry are sent the state instead. A position
    /// that wasn't delivered yet is ignored.
    pub fn compact(&mut self, revision: Revision, state: Vec<u8>) {
        let applied = revision <= self.delivered;
        if applied && revision > self.log.snapshot().revision {
            self.log.compact(revision, state);
        }
    }

    /// Advances the replica's time. A leader that is past [`Replica::leadership_ends`], for
    /// instance because its process was paused, steps down.
    pub(crate) fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
        let State::Leader(leader) = &self.state else {
            return;
        };
        let alone = self.log.membership().voters.0 == [self.identity];
        if alone {
            self.renew_authority();
        } else if self.leadership_ends(leader) <= self.now {
            self.become_follower(self.term, None);
        }
    }

    pub(crate) fn jitter(&mut self, bound: Span) -> Span {
        Span(self.random.random_range(0..=bound.0))
    }

    pub(crate) fn send(&mut self, to: Member, body: Body) {
        let message = ReplicationMessage {
            epoch: self.epoch,
            term: self.term,
            to: to.incarnation,
            body,
        };
        self.messages.push((to, message));
    }

    /// The member that a message is attributed to: the sender, or with the incarnation
    /// check disabled any known member on the same node.
    fn sender_identity(&self, from: Member) -> Member {
        if self.protections.has(Protection::IncarnationCheck) {
            return from;
        }
        let membership = self.log.membership();
        let of_node = membership.members().find(|known| known.node == from.node);
        of_node.unwrap_or(from)
    }
}

/// The identity of a starting replica: its own, or with the incarnation check disabled that
/// of the voter on the same node.
fn starting_identity(settings: &ReplicaSettings) -> Member {
    let identity = settings.identity;
    if settings.protections.has(Protection::IncarnationCheck) {
        return identity;
    }
    let of_node = settings
        .voters
        .iter()
        .find(|voter| voter.node == identity.node);
    of_node.copied().unwrap_or(identity)
}
