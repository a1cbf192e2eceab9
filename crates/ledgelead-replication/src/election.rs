//! Elections: polls (pre-vote), votes, and the steps between the roles.
//!
//! A replica that has promised itself to a leader refuses polls and votes
//! until the promise has run out, and does not move to a candidate's term for
//! them. Only a candidate that the leader itself named is exempt.

use crate::leader_state::LeaderState;
use crate::message::*;
use crate::progress::Progress;
use crate::replica::{Replica, State};
use ledgelead_types::timing::{
    ELECTION_JITTER, HEARTBEAT_INTERVAL, LEADER_LEASE, lengthened_for_drift,
};
use ledgelead_types::{Member, Span, Term, Time};
use std::collections::BTreeSet;

/// How long a poll or an election waits for answers before the next poll, the
/// random delay not counted.
const ELECTION_TIMEOUT: Span = Span::from_millis(30);

/// How long a replica leaves the field to another whose poll it granted; less
/// than the other's time between polls, so that one that can't win does not
/// keep the rest from standing.
const POLL_YIELD: Span = Span::from_millis(10);

/// Bound of the random delay before a refused poll is repeated.
const POLL_AGAIN_JITTER: Span = Span::from_millis(5);

impl Replica {
    /// Whether this replica may become a candidate.
    pub(crate) fn may_stand(&self) -> bool {
        self.is_voter()
    }

    /// Asks the voters whether they would vote for this replica. No term
    /// changes, so a replica that was cut off disturbs nobody on its return.
    pub(crate) fn start_poll(&mut self) {
        if self.now < self.promise_until {
            self.election_at = self.promise_until;
            return;
        }
        self.state = State::Polling {
            first: matches!(self.state, State::Follower),
            granted: BTreeSet::from([self.identity]),
        };
        self.leader = None;
        self.wait_for_answers();
        let request = self.vote_request(false);
        self.ask_voters(Body::Poll(request));
        self.stand_when_polled();
    }

    pub(crate) fn handle_poll(&mut self, from: Member, term: Term, request: VoteRequest) {
        if !self.has_state {
            return;
        }
        let for_term = Term(term.0.saturating_add(1));
        let wait = self.promised_until().since(self.now);
        let open = self.can_vote_in(for_term, from);
        let covered = self.covers_log(&request);
        let busy = self.leads_or_polls_before(from);
        let granted = open && covered && !busy && wait == Span::ZERO;
        if granted {
            self.yield_to_poll();
        }
        let reply = PollReply {
            for_term,
            granted,
            wait,
        };
        self.send(from, Body::PollReply(reply));
    }

    /// Whether a poll of `other` is refused for this replica's own sake. Of
    /// two replicas that poll at the same time the lower member goes first,
    /// or both would stand and split the votes. This holds for the first poll
    /// after a promise alone, as the lower one may be unable to win.
    fn leads_or_polls_before(&self, other: Member) -> bool {
        match &self.state {
            State::Leader(_) => true,
            State::Polling { first, .. } => *first && self.identity < other,
            State::Follower | State::Candidate { .. } => false,
        }
    }

    /// Leaves the field to a replica that was told it would get this vote.
    fn yield_to_poll(&mut self) {
        if matches!(self.state, State::Polling { .. }) {
            self.state = State::Follower;
            self.wait_for_answers();
        }
        self.election_at = self.election_at.max(self.now + POLL_YIELD);
    }

    pub(crate) fn handle_poll_reply(&mut self, from: Member, term: Term, reply: PollReply) {
        let for_term = Term(self.term.0.saturating_add(1));
        let is_voter = self.log.membership().is_voter(from);
        let State::Polling { granted, .. } = &mut self.state else {
            return;
        };
        if term > self.term {
            self.become_follower(term, None);
            return;
        }
        if reply.for_term != for_term || !is_voter {
            return;
        }
        if reply.granted {
            granted.insert(from);
            self.stand_when_polled();
        } else if reply.wait > Span::ZERO {
            self.poll_again_after(reply.wait);
        }
    }

    fn poll_again_after(&mut self, wait: Span) {
        let wait = lengthened_for_drift(wait.min(LEADER_LEASE));
        let again = self.now + wait + self.jitter(POLL_AGAIN_JITTER);
        self.election_at = self.election_at.min(again);
    }

    fn stand_when_polled(&mut self) {
        if let State::Polling { granted, .. } = &self.state
            && granted.len() >= self.log.membership().quorum()
        {
            self.stand(false);
        }
    }

    /// Moves to the next term and asks for its votes.
    fn stand(&mut self, transfer: bool) {
        self.move_to_term(Term(self.term.0.saturating_add(1)));
        self.voted_for = Some(self.identity);
        self.state = State::Candidate {
            granted: BTreeSet::from([self.identity]),
            transfer,
        };
        self.wait_for_answers();
        let request = self.vote_request(transfer);
        self.ask_voters(Body::Vote(request));
        self.lead_when_elected();
    }

    pub(crate) fn handle_vote(&mut self, from: Member, term: Term, request: VoteRequest) {
        let promised = self.now < self.promised_until();
        if !self.has_state || (promised && !request.transfer) {
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        let following = matches!(self.state, State::Follower | State::Polling { .. });
        let open = term == self.term && self.can_vote_in(term, from);
        let granted = following && open && self.covers_log(&request);
        if granted {
            self.voted_for = Some(from);
            self.state = State::Follower;
            self.wait_for_answers();
        }
        self.send(from, Body::VoteReply(VoteReply { granted }));
    }

    pub(crate) fn handle_vote_reply(&mut self, from: Member, term: Term, reply: VoteReply) {
        let is_voter = self.log.membership().is_voter(from);
        let State::Candidate { granted, .. } = &mut self.state else {
            return;
        };
        if term > self.term {
            self.become_follower(term, None);
            return;
        }
        if term == self.term && reply.granted && is_voter {
            granted.insert(from);
            self.lead_when_elected();
        }
    }

    fn lead_when_elected(&mut self) {
        if let State::Candidate { granted, transfer } = &self.state
            && granted.len() >= self.log.membership().quorum()
        {
            let transfer = *transfer;
            self.become_leader(transfer);
        }
    }

    /// The leader named this replica as its successor.
    pub(crate) fn handle_transfer_now(&mut self, from: Member, term: Term) {
        let from_leader = term == self.term && self.leader == Some(from);
        if from_leader && matches!(self.state, State::Follower) && self.may_stand() {
            self.stand(true);
        }
    }

    /// Follows in a term; a leader or candidate gives up its role.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<Member>) {
        // A leader may have acted, and let others act, until this time: it
        // must not help to elect another one before.
        self.promise_until = self.promised_until();
        self.state = State::Follower;
        self.move_to_term(term);
        self.leader = leader;
        let delay = self.jitter(ELECTION_JITTER);
        self.election_at = self.now.max(self.promise_until) + delay;
    }

    fn move_to_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.delegated_until = Time::ZERO;
        }
        self.leader = None;
    }

    fn become_leader(&mut self, transfer: bool) {
        self.former_authority_ends = self.now;
        if transfer {
            self.former_authority_ends = self.now + lengthened_for_drift(LEADER_LEASE);
        }
        self.leader = Some(self.identity);
        self.given.clear();
        let last = self.log.last_revision();
        let others = self.log.membership().members();
        let progress = others
            .filter(|member| *member != self.identity)
            .map(|member| (member, Progress::new(last)))
            .collect();
        let first_revision = self.log.append(Entry {
            term: self.term,
            payload: Payload::Noop,
        });
        self.state = State::Leader(Box::new(LeaderState {
            progress,
            first_revision,
            elected: self.now,
            heartbeat_at: self.now + HEARTBEAT_INTERVAL,
            authority_until: self.now,
            transfer: None,
        }));
        self.renew_authority();
        self.advance_commit();
    }

    fn vote_request(&self, transfer: bool) -> VoteRequest {
        VoteRequest {
            last_revision: self.log.last_revision(),
            last_term: self.log.last_term(),
            transfer,
        }
    }

    fn ask_voters(&mut self, request: Body) {
        let voters = self.log.membership().voters.clone();
        for voter in &voters {
            if *voter != self.identity {
                self.send(*voter, request.clone());
            }
        }
    }

    fn wait_for_answers(&mut self) {
        let delay = self.jitter(ELECTION_JITTER);
        let after = self.now.max(self.promise_until);
        self.election_at = after + ELECTION_TIMEOUT + delay;
    }

    fn can_vote_in(&self, term: Term, candidate: Member) -> bool {
        let same_term = term == self.term;
        let free = self.voted_for.is_none_or(|voted| voted == candidate);
        term > self.term || (same_term && free)
    }

    fn covers_log(&self, request: &VoteRequest) -> bool {
        self.log
            .is_covered_by(request.last_term, request.last_revision)
    }
}
