//! Elections: pre-votes, votes, and transitions between roles.
//!
//! A replica with a promise to a leader refuses pre-votes and votes until the promise has
//! run out, and does not adopt the candidate's term. Only a candidate that the leader
//! itself named as its successor is exempt.

use crate::leader_state::LeaderState;
use crate::message::*;
use crate::progress::Progress;
use crate::replica::{Replica, State};
use ledgelead_types::timing::{
    ELECTION_JITTER, HEARTBEAT_INTERVAL, LEADER_LEASE, lengthened_for_drift,
};
use ledgelead_types::{Member, Span, Term, Time};
use std::collections::BTreeSet;

/// How long a pre-vote or an election waits for replies before the next pre-vote, not
/// counting the random delay.
const ELECTION_TIMEOUT: Span = Span::from_millis(30);

/// How long a replica defers its own candidacy after it granted another's pre-vote. Shorter
/// than the interval between pre-votes of one replica, so that a replica that can't win
/// does not block the others.
const PRE_VOTE_YIELD: Span = Span::from_millis(10);

/// Upper bound of the random delay before a refused pre-vote is repeated.
const PRE_VOTE_RETRY_JITTER: Span = Span::from_millis(5);

impl Replica {
    /// Whether this replica may become a candidate.
    pub(crate) fn may_campaign(&self) -> bool {
        self.is_voter()
    }

    /// Starts a pre-vote. It changes no term, so a replica that was partitioned does not
    /// disrupt the group when it reconnects.
    pub(crate) fn start_pre_vote(&mut self) {
        if self.now < self.promise_until {
            self.election_at = self.promise_until;
            return;
        }
        self.state = State::PreCandidate {
            first: matches!(self.state, State::Follower),
            granted: BTreeSet::from([self.identity]),
        };
        self.leader = None;
        self.reset_election_timer();
        let request = self.vote_request(false);
        self.send_to_voters(Body::PreVote(request));
        self.campaign_if_pre_vote_won();
    }

    pub(crate) fn handle_pre_vote(&mut self, from: Member, term: Term, request: VoteRequest) {
        if !self.has_state {
            return;
        }
        let for_term = Term(term.0.saturating_add(1));
        let wait = self.promised_until().since(self.now);
        let can_vote = self.can_vote_in(for_term, from);
        let up_to_date = self.is_log_up_to_date(&request);
        let busy = self.has_priority_over(from);
        let granted = can_vote && up_to_date && !busy && wait == Span::ZERO;
        if granted {
            self.yield_to_pre_vote();
        }
        let reply = PreVoteReply {
            for_term,
            granted,
            wait,
        };
        self.send(from, Body::PreVoteReply(reply));
    }

    /// Whether a pre-vote of `other` is refused in favor of this replica. Of two replicas
    /// that start a pre-vote at the same time, the lower member goes first; otherwise both
    /// would campaign and split the votes. This applies only to the first pre-vote after a
    /// promise, because the lower member may be unable to win.
    fn has_priority_over(&self, other: Member) -> bool {
        match &self.state {
            State::Leader(_) => true,
            State::PreCandidate { first, .. } => *first && self.identity < other,
            State::Follower | State::Candidate { .. } => false,
        }
    }

    /// Defers this replica's candidacy after it granted a pre-vote.
    fn yield_to_pre_vote(&mut self) {
        if matches!(self.state, State::PreCandidate { .. }) {
            self.state = State::Follower;
            self.reset_election_timer();
        }
        self.election_at = self.election_at.max(self.now + PRE_VOTE_YIELD);
    }

    pub(crate) fn handle_pre_vote_reply(&mut self, from: Member, term: Term, reply: PreVoteReply) {
        let for_term = Term(self.term.0.saturating_add(1));
        let is_voter = self.log.membership().is_voter(from);
        let State::PreCandidate { granted, .. } = &mut self.state else {
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
            self.campaign_if_pre_vote_won();
        } else if reply.wait > Span::ZERO {
            self.retry_pre_vote_after(reply.wait);
        }
    }

    fn retry_pre_vote_after(&mut self, wait: Span) {
        let wait = lengthened_for_drift(wait.min(LEADER_LEASE));
        let again = self.now + wait + self.jitter(PRE_VOTE_RETRY_JITTER);
        self.election_at = self.election_at.min(again);
    }

    fn campaign_if_pre_vote_won(&mut self) {
        if let State::PreCandidate { granted, .. } = &self.state
            && granted.len() >= self.log.membership().quorum()
        {
            self.campaign(false);
        }
    }

    /// Starts an election in the next term.
    fn campaign(&mut self, transfer: bool) {
        self.move_to_term(Term(self.term.0.saturating_add(1)));
        self.voted_for = Some(self.identity);
        self.state = State::Candidate {
            granted: BTreeSet::from([self.identity]),
            transfer,
        };
        self.reset_election_timer();
        let request = self.vote_request(transfer);
        self.send_to_voters(Body::Vote(request));
        self.become_leader_if_elected();
    }

    pub(crate) fn handle_vote(&mut self, from: Member, term: Term, request: VoteRequest) {
        let promised = self.now < self.promised_until();
        if !self.has_state || (promised && !request.transfer) {
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        let following = matches!(self.state, State::Follower | State::PreCandidate { .. });
        let can_vote = term == self.term && self.can_vote_in(term, from);
        let granted = following && can_vote && self.is_log_up_to_date(&request);
        if granted {
            self.voted_for = Some(from);
            self.state = State::Follower;
            self.reset_election_timer();
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
            self.become_leader_if_elected();
        }
    }

    fn become_leader_if_elected(&mut self) {
        if let State::Candidate { granted, transfer } = &self.state
            && granted.len() >= self.log.membership().quorum()
        {
            let transfer = *transfer;
            self.become_leader(transfer);
        }
    }

    /// Handles the request of the leader to take over from it.
    pub(crate) fn handle_timeout_now(&mut self, from: Member, term: Term) {
        let from_leader = term == self.term && self.leader == Some(from);
        if from_leader && matches!(self.state, State::Follower) && self.may_campaign() {
            self.campaign(true);
        }
    }

    /// Becomes a follower in a term; a leader or candidate steps down.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<Member>) {
        // A leader and its delegates may act until this time, so it must not help to elect
        // another leader before.
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
        self.delegated_ends.clear();
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

    fn send_to_voters(&mut self, request: Body) {
        let voters = self.log.membership().voters.clone();
        for voter in &voters {
            if *voter != self.identity {
                self.send(*voter, request.clone());
            }
        }
    }

    fn reset_election_timer(&mut self) {
        let delay = self.jitter(ELECTION_JITTER);
        let after = self.now.max(self.promise_until);
        self.election_at = after + ELECTION_TIMEOUT + delay;
    }

    fn can_vote_in(&self, term: Term, candidate: Member) -> bool {
        let same_term = term == self.term;
        let free = self.voted_for.is_none_or(|voted| voted == candidate);
        term > self.term || (same_term && free)
    }

    fn is_log_up_to_date(&self, request: &VoteRequest) -> bool {
        self.log
            .is_up_to_date(request.last_term, request.last_revision)
    }
}
