//! Requests that only the leader can decide: those of this node that wait for an answer,
//! and while this node is the leader those that are in its log.
//!
//! A request is sent again until it is answered or times out. That is safe: an operation
//! takes effect only once per identifier, and a repeated request to begin gets the same
//! answer.

use crate::message::{GroupAnswer, GroupRequest, NumberedRequest};
use ledgelead_types::administration::{CommandRejection, CommandResult};
use ledgelead_types::dispatch::IdempotencyVerdict;
use ledgelead_types::*;
use std::collections::BTreeMap;

/// How long a request waits for an answer before it is sent again.
const RETRY_INTERVAL: Span = Span::from_millis(150);
/// How long the end of an executed request waits to be sent to the leader together with
/// others. It is not urgent: until it arrives, a retry is refused as a duplicate anyway.
const END_DELAY: Span = Span::from_millis(100);
/// How long such an end waits for an answer before it is sent again.
const END_RETRY_INTERVAL: Span = Span::from_millis(500);
/// Timeout of an operation.
const OPERATION_TIMEOUT: Span = Span::from_seconds(2);
/// Timeout of a request to begin under an idempotency key.
const BEGIN_TIMEOUT: Span = Span::from_seconds(1);
/// Timeout of recording the end of a request.
const END_TIMEOUT: Span = Span::from_seconds(5);
/// Maximum number of pending requests; further ones are refused immediately.
const MAX_PENDING: usize = 16_384;

/// The receiver of an answer on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// An operation, by its ticket.
    Operation(u64),
    /// The owner of an idempotency record, who is named in the request.
    Idempotency,
    /// Nobody.
    Nobody,
}

/// A request of this node.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The request.
    pub request: GroupRequest,
    /// The receiver of the answer.
    pub waiter: Waiter,
    /// Whether it may be delayed to be sent with others.
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

/// The origin of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A request of this node.
    Local(u64),
    /// A request of another replica, with the number that it assigned.
    Replica(Member, u64),
}

/// A request that was answered or timed out.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRequest {
    /// The request.
    pub request: GroupRequest,
    /// The receiver of the answer.
    pub waiter: Waiter,
    /// The answer.
    pub answer: GroupAnswer,
}

/// All pending and proposed requests.
#[derive(Default)]
pub struct Requests {
    pending: BTreeMap<u64, PendingRequest>,
    /// Origins of the commands of each entry proposed here, in order.
    proposed: BTreeMap<Revision, Vec<Origin>>,
    next_number: u64,
}

impl Requests {
    /// Adds a request of this node; `false` if too many are pending. A request to begin
    /// that is already pending is not added again: if one of the two timed out, it would
    /// free the key although the other was granted.
    pub fn add(&mut self, now: Time, request: GroupRequest, waiter: Waiter) -> bool {
        if self.has_begin_request(&request) {
            return true;
        }
        if self.pending.len() >= MAX_PENDING {
            return false;
        }
        let timeout = match &request {
            GroupRequest::Operate { .. } => OPERATION_TIMEOUT,
            GroupRequest::BeginIdempotencyRecord { .. } => BEGIN_TIMEOUT,
            GroupRequest::EndIdempotencyRecord { .. } => END_TIMEOUT,
        };
        // The end of a request that was not executed is not deferred: it frees the key for
        // a retry that may arrive immediately.
        let deferred = matches!(
            &request,
            GroupRequest::EndIdempotencyRecord { state: Some(_), .. }
        );
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

    /// Whether this request to begin is already pending.
    fn has_begin_request(&self, request: &GroupRequest) -> bool {
        let is_begin = matches!(request, GroupRequest::BeginIdempotencyRecord { .. });
        let mut pending = self.pending.values();
        is_begin && pending.any(|pending| pending.request == *request)
    }

    /// The requests to send to the leader now, oldest first. Deferred ends are sent along
    /// with any request that is due, so the end of a key is never sent after the next
    /// request to begin under it.
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

    /// Handles a change of leader: pending requests are sent to the new one immediately.
    /// Proposals of this node may have been discarded.
    pub fn leader_changed(&mut self, now: Time) {
        self.proposed.clear();
        for pending in self.pending.values_mut() {
            pending.next_send = now;
        }
    }

    /// Records that requests were proposed in one entry at this position, in this order.
    pub fn proposed(&mut self, revision: Revision, origins: Vec<Origin>) {
        self.proposed.insert(revision, origins);
    }

    /// The origins of the commands of the entry at this position, in order; empty if they
    /// were not proposed here for a request.
    pub fn applied(&mut self, revision: Revision) -> Vec<Origin> {
        self.proposed.remove(&revision).unwrap_or_default()
    }

    /// Handles an answer; `None` if the request is no longer pending.
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

    /// Ends the requests that have timed out.
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

/// Delay before a request is sent again after the receiver answered that it is not the
/// leader.
const NOT_LEADER_DELAY: Span = Span::from_millis(20);

/// The answer to a request that timed out.
pub fn timeout_answer(request: &GroupRequest, sent: bool) -> GroupAnswer {
    match request {
        GroupRequest::Operate { .. } if sent => GroupAnswer::Operated(CommandResult::Unknown),
        GroupRequest::Operate { .. } => {
            GroupAnswer::Operated(CommandResult::Rejected(CommandRejection::NoLeader))
        }
        GroupRequest::BeginIdempotencyRecord { .. } => {
            GroupAnswer::Idempotency(IdempotencyVerdict::Unavailable)
        }
        GroupRequest::EndIdempotencyRecord { .. } => GroupAnswer::Ended,
    }
}
