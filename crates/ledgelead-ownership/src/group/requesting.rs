//! Requests about operations and idempotency records: sending them to the leader, proposing
//! them there, and answering them.

use super::GroupReplica;
use crate::command::GroupCommand;
use crate::io::{GroupInput, GroupOutput};
use crate::message::{GroupAnswer, GroupMessage, GroupRequest, NumberedAnswer, NumberedRequest};
use crate::requests::{FinishedRequest, Origin, Waiter, timeout_answer};
use ledgelead_types::codec::encode;
use ledgelead_types::dispatch::{IdempotencyOwner, IdempotencyVerdict};
use ledgelead_types::protections::Protection;
use ledgelead_types::*;
use std::collections::BTreeMap;

impl GroupReplica {
    /// Starts a request of this node.
    pub(super) fn start_request(&mut self, now: Time, input: GroupInput) {
        let (request, waiter) = match input {
            GroupInput::Operate {
                ticket,
                command_id,
                operation,
            } => {
                let request = GroupRequest::Operate {
                    command_id,
                    operation,
                };
                (request, Waiter::Operation(ticket))
            }
            GroupInput::BeginIdempotencyRecord { owner, key } => {
                if !self.protections.has(Protection::IdempotencyRecord) {
                    self.idempotency_record_decided(owner, key, IdempotencyVerdict::Fresh);
                    return;
                }
                (
                    GroupRequest::BeginIdempotencyRecord { owner, key },
                    Waiter::Idempotency,
                )
            }
            GroupInput::EndIdempotencyRecord { owner, key, state } => {
                let state = Some(state);
                let request = GroupRequest::EndIdempotencyRecord { owner, key, state };
                (request, Waiter::Nobody)
            }
            GroupInput::CancelIdempotencyRecord { owner, key } => {
                (cancel(owner, key), Waiter::Nobody)
            }
            _ => return,
        };
        if !self.requests.add(now, request.clone(), waiter) {
            let answer = timeout_answer(&request, false);
            self.end(
                now,
                FinishedRequest {
                    request,
                    waiter,
                    answer,
                },
            );
        }
    }

    /// Sends the pending requests to the leader. Returns whether something was proposed on
    /// this replica.
    pub(super) fn forward_requests(&mut self, now: Time) -> bool {
        let Some(leader) = self.replica.leader() else {
            return false;
        };
        let due = self.requests.due(now);
        if leader != self.identity {
            self.send_requests(leader, due);
            return false;
        }
        let mut proposed = false;
        for asked in due {
            let origin = Origin::Local(asked.number);
            proposed |= self.accept_request(now, origin, asked.request);
        }
        proposed
    }

    /// Operations and requests about records are sent in separate messages, so that each
    /// message has one purpose.
    fn send_requests(&mut self, leader: Member, due: Vec<NumberedRequest>) {
        let is_operation =
            |asked: &NumberedRequest| matches!(asked.request, GroupRequest::Operate { .. });
        let (operations, records): (Vec<NumberedRequest>, Vec<NumberedRequest>) =
            due.into_iter().partition(is_operation);
        for asked in [operations, records] {
            if !asked.is_empty() {
                self.outputs.push(GroupOutput::Send {
                    to: leader,
                    message: GroupMessage::Requests(List(asked)),
                });
            }
        }
    }

    /// Handles requests from another replica.
    pub(super) fn handle_requests(
        &mut self,
        now: Time,
        from: Member,
        asked: List<NumberedRequest>,
    ) {
        let mut refused = Vec::new();
        for asked in asked {
            let origin = Origin::Replica(from, asked.number);
            if !self.accept_request(now, origin, asked.request) {
                refused.push((origin, GroupAnswer::NotLeader));
            }
        }
        self.answer(now, refused);
    }

    /// Handles an answer from another replica.
    pub(super) fn handle_answer(&mut self, now: Time, number: u64, answer: GroupAnswer) {
        if let Some(ended) = self.requests.answered(now, number, answer) {
            self.end(now, ended);
        }
    }

    /// Ends requests that have timed out.
    ///
    /// A request to begin that no leader answered may still have created the record. The
    /// record is not removed here, because the owner may have begun it through another
    /// replica in the meantime and be executing. Only the owner can tell that it was not
    /// executed.
    pub(super) fn expire_requests(&mut self, now: Time) {
        for ended in self.requests.expire(now) {
            self.end(now, ended);
        }
    }

    /// Sends answers, with all answers for one replica in one message.
    pub(super) fn answer(&mut self, now: Time, answers: Vec<(Origin, GroupAnswer)>) {
        let mut by_replica: BTreeMap<Member, Vec<NumberedAnswer>> = BTreeMap::new();
        for (origin, answer) in answers {
            match origin {
                Origin::Local(number) => self.handle_answer(now, number, answer),
                Origin::Replica(to, number) => by_replica
                    .entry(to)
                    .or_default()
                    .push(NumberedAnswer { number, answer }),
            }
        }
        for (to, answered) in by_replica {
            let message = GroupMessage::Answers(List(answered));
            self.outputs.push(GroupOutput::Send { to, message });
        }
    }

    /// Proposes a request or adds it to the batch of records. Returns whether this replica
    /// is the leader and can decide it now. Operations are not accepted, and are sent again,
    /// until a rebuilt group has received the servers' claims, because the slices in its
    /// snapshot may be outdated.
    fn accept_request(&mut self, now: Time, origin: Origin, request: GroupRequest) -> bool {
        let started = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.term() == self.state.term);
        let is_operation = matches!(request, GroupRequest::Operate { .. });
        if !started || (is_operation && self.state.recovering) {
            return false;
        }
        if !is_operation {
            self.record_batch.add(now, origin, command_of(request));
            return true;
        }
        let payload = encode(&List(vec![command_of(request)]));
        let Ok(revision) = self.replica.propose(now, payload) else {
            return false;
        };
        self.requests.proposed(revision, vec![origin]);
        true
    }

    /// Proposes the batched commands on records when they are due. Returns whether
    /// something was proposed.
    pub(super) fn propose_records(&mut self, now: Time) -> bool {
        let Some((commands, origins)) = self.record_batch.take_due(now) else {
            return false;
        };
        let payload = encode(&List(commands));
        let Ok(revision) = self.replica.propose_lazy(now, payload) else {
            // This replica is no longer the leader; the requesters will retry.
            let refused = origins.into_iter();
            let refused = refused.map(|origin| (origin, GroupAnswer::NotLeader));
            self.answer(now, refused.collect());
            return false;
        };
        self.requests.proposed(revision, origins);
        true
    }

    fn end(&mut self, now: Time, ended: FinishedRequest) {
        match (ended.waiter, ended.answer, ended.request) {
            (Waiter::Operation(ticket), GroupAnswer::Operated(result), _) => {
                self.outputs
                    .push(GroupOutput::OperationFinished { ticket, result });
            }
            (
                Waiter::Idempotency,
                GroupAnswer::Idempotency(verdict),
                GroupRequest::BeginIdempotencyRecord { owner, key },
            ) => self.idempotency_record_decided(owner, key, verdict),
            (Waiter::Nobody, _, _) => {}
            (waiter, answer, request) => {
                debug_assert!(false, "{waiter:?}: {answer:?} to {request:?} at {now:?}");
            }
        }
    }

    fn idempotency_record_decided(
        &mut self,
        owner: IdempotencyOwner,
        key: IdempotencyKey,
        verdict: IdempotencyVerdict,
    ) {
        self.outputs.push(GroupOutput::IdempotencyRecordDecided {
            owner,
            key,
            verdict,
        });
    }
}

fn cancel(owner: IdempotencyOwner, key: IdempotencyKey) -> GroupRequest {
    GroupRequest::EndIdempotencyRecord {
        owner,
        key,
        state: None,
    }
}

fn command_of(request: GroupRequest) -> GroupCommand {
    match request {
        GroupRequest::Operate {
            command_id,
            operation,
        } => GroupCommand::Operate {
            command_id,
            operation,
        },
        GroupRequest::BeginIdempotencyRecord { owner, key } => {
            GroupCommand::BeginIdempotencyRecord { owner, key }
        }
        GroupRequest::EndIdempotencyRecord { owner, key, state } => {
            GroupCommand::EndIdempotencyRecord { owner, key, state }
        }
    }
}
