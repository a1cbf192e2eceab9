//! Requests that only the leader can decide: those of this node that wait for
//! an answer, and those under way in this node's log while it leads.
//!
//! A request is sent again until it is answered or its time is up. That is
//! safe: an operation takes effect once under its identifier, and a wish to
//! begin is answered the same when its owner repeats it.

use crate::message::{GroupAnswer, GroupRequest, NumberedRequest};
use ledgelead_types::administration::{CommandRejection, CommandResult};
use ledgelead_types::dispatch::IdempotencyVerdict;
use ledgelead_types::*;
use std::collections::BTreeMap;

/// How long a request waits for an answer before it is sent again.
const RETRY_INTERVAL: Span = Span::from_millis(150);
/// How long a recorded end waits for company on its way to the leader. It is
/// not urgent: until it arrives a repeat is refused as a duplicate all the same.
const END_DELAY: Span = Span::from_millis(100);
/// How long it waits for an answer before it is sent again.
const END_RETRY_INTERVAL: Span = Span::from_millis(500);
/// How long an operation waits for its end.
const OPERATION_TIMEOUT: Span = Span::from_seconds(2);
/// How long a wish to begin waits.
const BEGIN_TIMEOUT: Span = Span::from_seconds(1);
/// How long the end of a request is tried to be recorded.
const END_TIMEOUT: Span = Span::from_seconds(5);
/// Most requests that wait at once; more are refused at once.
const MAX_PENDING: usize = 16_384;

/// Who waits for an answer on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// An operation's ticket.
    Operation(u64),
    /// The owner of an idempotency record, by the request itself.
    Idempotency,
    /// Nobody.
    Nobody,
}

/// A request of this node.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The request.
    pub request: GroupRequest,
    /// Who waits.
    pub waiter: Waiter,
    /// Whether it may wait to be sent with others.
    deferred: bool,
    deadline: Time,
    next_send: Time,
    sent: bool,
}

impl PendingRequest {
    fn retry_interval(&self) -> Span {
        if self.deferred {
            END_RETRY_INTERVAL
        } else {
            RETRY_INTERVAL
        }
    }
}

/// Where a proposal came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A request of this node.
    Local(u64),
    /// A request of another replica under its own number.
    Replica(Member, u64),
}

/// A request that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRequest {
    /// The request.
    pub request: GroupRequest,
    /// Who waits.
    pub waiter: Waiter,
    /// The answer.
    pub answer: GroupAnswer,
}

/// All requests under way.
#[derive(Default)]
pub struct Requests {
    pending: BTreeMap<u64, PendingRequest>,
    /// Origins of the commands of each entry proposed here, in order.
    proposed: BTreeMap<Revision, Vec<Origin>>,
    next_number: u64,
}

impl Requests {
    /// Takes a request of this node; `false` when too many wait. A wish to
    /// begin that waits already is not added again: one that was left
    /// unanswered would free the key when its time is up, although the other
    /// was granted.
    pub fn add(&mut self, now: Time, request: GroupRequest, waiter: Waiter) -> bool {
        if self.has_begin_request(&request) {
            return true;
        }
        if self.pending.len() >= MAX_PENDING {
            return false;
        }
        let timeout = match &request {
            GroupRequest::Operate { .. } => OPERATION_TIMEOUT,
            GroupRequest::BeginIdempotent { .. } => BEGIN_TIMEOUT,
            GroupRequest::EndIdempotent { .. } => END_TIMEOUT,
        };
        // The end of a request that was not run frees its key for a repeat
        // that may come at once.
        let deferred = matches!(&request, GroupRequest::EndIdempotent { state: Some(_), .. });
        let delay = if deferred { END_DELAY } else { Span::ZERO };
        let pending = PendingRequest {
            request,
            waiter,
            deferred,
            deadline: now + timeout,
            next_send: now + delay,
            sent: false,
        };
        self.pending.insert(self.next_number, pending);
        self.next_number += 1;
        true
    }

    /// Whether this wish to begin waits already.
    fn has_begin_request(&self, request: &GroupRequest) -> bool {
        let is_begin = matches!(request, GroupRequest::BeginIdempotent { .. });
        let mut pending = self.pending.values();
        is_begin && pending.any(|pending| pending.request == *request)
    }

    /// The requests to hand to the leader now, oldest first. With one that is
    /// due go the ends that wait for company; so a key's end never comes
    /// behind the next wish to begin under it.
    pub fn due(&mut self, now: Time) -> Vec<NumberedRequest> {
        let any = self
            .pending
            .values()
            .any(|pending| pending.next_send <= now);
        if !any {
            return Vec::new();
        }
        let due = self.pending.iter_mut().filter(|(_, pending)| {
            let piggybacks = pending.deferred && !pending.sent;
            piggybacks || pending.next_send <= now
        });
        due.map(|(number, pending)| {
            pending.next_send = now + pending.retry_interval();
            pending.sent = true;
            NumberedRequest {
                number: *number,
                request: pending.request.clone(),
            }
        })
        .collect()
    }

    /// Another leader is known: what waits is handed to it at once. What was
    /// proposed here may have been discarded.
    pub fn leader_changed(&mut self, now: Time) {
        self.proposed.clear();
        for pending in self.pending.values_mut() {
            pending.next_send = now;
        }
    }

    /// Requests were proposed in one entry at this position, in this order.
    pub fn proposed(&mut self, revision: Revision, origins: Vec<Origin>) {
        self.proposed.insert(revision, origins);
    }

    /// Where the commands of the entry at this position came from, in order;
    /// none when they were not proposed here for a request.
    pub fn applied(&mut self, revision: Revision) -> Vec<Origin> {
        self.proposed.remove(&revision).unwrap_or_default()
    }

    /// An answer arrived; `None` when nobody waits for it any more.
    pub fn answered(
        &mut self,
        now: Time,
        number: u64,
        answer: GroupAnswer,
    ) -> Option<FinishedRequest> {
        if answer == GroupAnswer::NotLeader {
            if let Some(pending) = self.pending.get_mut(&number) {
                pending.next_send = pending.next_send.min(now + NOT_LEADER_DELAY);
            }
            return None;
        }
        let pending = self.pending.remove(&number)?;
        Some(FinishedRequest {
            request: pending.request,
            waiter: pending.waiter,
            answer,
        })
    }

    /// Ends the requests whose time is up.
    pub fn expire(&mut self, now: Time) -> Vec<FinishedRequest> {
        let mut ended = Vec::new();
        self.pending.retain(|_, pending| {
            if now < pending.deadline {
                return true;
            }
            ended.push(FinishedRequest {
                request: pending.request.clone(),
                waiter: pending.waiter,
                answer: timeout_answer(&pending.request, pending.sent),
            });
            false
        });
        ended
    }

    /// When something is due next.
    pub fn next_wakeup(&self, reachable: bool) -> Option<Time> {
        let due = |pending: &PendingRequest| {
            if reachable {
                pending.next_send.min(pending.deadline)
            } else {
                pending.deadline
            }
        };
        self.pending.values().map(due).min()
    }
}

/// A replica that was asked and doesn't lead is not asked again before this.
const NOT_LEADER_DELAY: Span = Span::from_millis(20);

/// The answer to a request that no leader answered in time.
pub fn timeout_answer(request: &GroupRequest, sent: bool) -> GroupAnswer {
    match request {
        GroupRequest::Operate { .. } if sent => GroupAnswer::Operated(CommandResult::Unknown),
        GroupRequest::Operate { .. } => {
            GroupAnswer::Operated(CommandResult::Rejected(CommandRejection::NoLeader))
        }
        GroupRequest::BeginIdempotent { .. } => {
            GroupAnswer::Idempotency(IdempotencyVerdict::Unavailable)
        }
        GroupRequest::EndIdempotent { .. } => GroupAnswer::Ended,
    }
}
