//! The replica: its state, and the entry points that its caller steps.

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

/// A point in time that is never reached.
const NEVER: Time = Time(u64::MAX);

/// What a replica starts from.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The group.
    pub group: GroupId,
    /// Generation of the replica set.
    pub epoch: Epoch,
    /// This run of this node's process.
    pub identity: Member,
    /// Voters at the start of the epoch.
    pub voters: Vec<Member>,
    /// State of the state machine at the start of the epoch; the same on each
    /// of `voters`.
    pub start_state: Vec<u8>,
    /// Seed of the election delays.
    pub random_seed: u64,
    /// All on, except in a simulation that proves its checker.
    pub protections: Protections,
}

/// What a replica does at present.
#[derive(Clone, Debug)]
pub(crate) enum State {
    /// Follows, or learns.
    Follower,
    /// Asks whether it would be voted for (pre-vote).
    PreCandidate {
        /// Whether it is the first poll since it followed somebody.
        first: bool,
        /// Voters that would, itself included.
        granted: BTreeSet<Member>,
    },
    /// Stands for election.
    Candidate {
        /// Voters that voted for it, itself included.
        granted: BTreeSet<Member>,
        /// Whether the leader before asked it to.
        transfer: bool,
    },
    /// Leads.
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
    /// The latest time that the caller told.
    pub(crate) now: Time,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<Member>,
    pub(crate) leader: Option<Member>,
    pub(crate) state: State,
    /// Whether the log starts from the group's state. A replica that isn't
    /// one of the epoch's first voters has no state until a leader sends it.
    pub(crate) has_state: bool,
    pub(crate) log: Log,
    pub(crate) commit: Revision,
    /// Last position given to the caller.
    pub(crate) delivered: Revision,
    /// Until when it votes for nobody but the leader that it heard last. It
    /// only grows, whatever term the replica moves to: the authority that
    /// rests on it does not end earlier.
    pub(crate) promise_until: Time,
    /// When to stand for election, unless a leader is heard before.
    pub(crate) election_at: Time,
    /// End of the authority delegated to this follower in this term.
    pub(crate) delegated_until: Time,
    /// End of the authority that this leader gave to each follower.
    pub(crate) delegated_ends: BTreeMap<Member, Time>,
    pub(crate) former_authority_ends: Time,
    pub(crate) messages: Vec<(Member, ReplicationMessage)>,
    pub(crate) installed: Option<InstalledState>,
    pub(crate) reported_role: Role,
}

impl Replica {
    /// A replica at the start of its process. One whose identity isn't among
    /// the voters waits as a learner until a leader contacts it.
    ///
    /// A run of a process makes one replica of a group and epoch at most: a
    /// second one would have forgotten the votes and promises of the first.
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

    /// Takes a message of another replica.
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

    /// Does what is due. Call it at [`Replica::next_wakeup`] or later.
    pub fn tick(&mut self, now: Time) {
        self.advance_clock(now);
        match &self.state {
            State::Leader(_) => self.tick_leader(),
            _ if now >= self.election_at && self.may_campaign() => self.start_pre_vote(),
            _ => {}
        }
    }

    /// When [`Replica::tick`] has something to do, unless a message comes
    /// before.
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

    /// Replaces the log up to an applied position by the state machine's
    /// state as of it. Members that lack an entry that is gone are sent the
    /// state. A position that wasn't handed out yet is ignored.
    pub fn compact(&mut self, revision: Revision, state: Vec<u8>) {
        let applied = revision <= self.delivered;
        if applied && revision > self.log.snapshot().revision {
            self.log.compact(revision, state);
        }
    }

    /// Notes the time, and that a leader which was silent for too long, as
    /// after a pause of its process, leads no more.
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

    /// The member that a sender is taken for: itself, unless the check of
    /// incarnations is switched off and only its node counts.
    fn sender_identity(&self, from: Member) -> Member {
        if self.protections.has(Protection::IncarnationCheck) {
            return from;
        }
        let membership = self.log.membership();
        let of_node = membership.members().find(|known| known.node == from.node);
        of_node.unwrap_or(from)
    }
}

/// The member that a starting replica takes itself for: its own run, unless
/// the check of incarnations is switched off.
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
