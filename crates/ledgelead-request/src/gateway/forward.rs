//! Sends attempts to servers and handles their results.

use super::Gateway;
use super::evidence::{self, AttemptOutcome};
use super::interface::GatewayOutput;
use super::request::{ActiveRequest, PermitSearch, SearchStage, SentAttempt};
use crate::message::{PermitEnd, ServerSelector};
use ledgelead_types::protections::Protection;
use ledgelead_types::request::{AttemptId, Forward};
use ledgelead_types::server::{AttemptResult, ServerRefusal};
use ledgelead_types::{Outcome, RequestId, ServerId, Time};

impl Gateway {
    /// Sends the request to the server named by its permit.
    pub(super) fn forward(&mut self, now: Time, id: RequestId, server: ServerId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(PermitSearch {
            number,
            stage: SearchStage::Acquiring(acquiring),
            ..
        }) = request.search.take()
        else {
            return;
        };
        let attempt = request.attempt(number);
        let Some(address) = self.directory.address(acquiring.group, server) else {
            self.release(
                acquiring.dispatcher,
                attempt,
                PermitEnd::Unused,
                Default::default(),
            );
            self.hold(now, id);
            return;
        };
        let ownership = match acquiring.selector {
            ServerSelector::Owner { claim, .. } => Some(claim),
            ServerSelector::Any { .. } => None,
        };
        request.sent = request.sent.saturating_add(1);
        request.avoid = Some(server);
        let forward = Forward {
            attempt,
            server,
            address: address.clone(),
            ownership,
            deadline: request.deadline.since(now),
            tier: request.tier,
        };
        request.sent_attempts.push(SentAttempt {
            number,
            group: acquiring.group,
            server,
            address,
            dispatcher: acquiring.dispatcher,
            sent_at: now,
        });
        self.outputs.push(GatewayOutput::Forward(forward));
        self.schedule_hedge(now, id);
    }

    /// Handles the result of an attempt. The permit is released; if the request is already
    /// finished or the attempt unknown, nothing else changes.
    pub(super) fn attempt_ended(&mut self, now: Time, attempt: AttemptId, result: AttemptResult) {
        if let Some(sent_attempt) = self.take_detached(attempt) {
            self.return_permit(now, attempt, &sent_attempt, result);
            self.deliver_mismatched_answer(now, attempt, result);
            return;
        }
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        let Some(sent_attempt) = take_sent_attempt(request, attempt.number) else {
            return;
        };
        let (service, repeatable) = (request.service, request.repeatable);
        request.hedge_at = None;
        self.return_permit(now, attempt, &sent_attempt, result);
        if matches!(result, AttemptResult::Answered { failure: false }) {
            let latency = now.since(sent_attempt.sent_at);
            self.service_state(service).record_latency(latency);
        }
        if !self.deliver_mismatched_answer(now, attempt, result) {
            let attempt_outcome = evidence::classify_result(result, repeatable, self.protections);
            self.apply_outcome(now, attempt, attempt_outcome);
        }
        self.reschedule(attempt.request);
    }

    fn apply_outcome(&mut self, now: Time, attempt: AttemptId, attempt_outcome: AttemptOutcome) {
        let id = attempt.request;
        match attempt_outcome {
            AttemptOutcome::ForwardAnswer => {
                self.finish(now, id, Outcome::Answered, Some(attempt), None)
            }
            AttemptOutcome::Retry(cause) => self.retry_request(now, attempt, cause),
            AttemptOutcome::NotRun(reason) => {
                self.withdraw(id);
                self.end_search_not_run(now, id, reason, None);
            }
            AttemptOutcome::Unknown(reason) => {
                let outcome = self.unknown_outcome(reason);
                self.finish(now, id, outcome, None, None);
            }
        }
    }

    fn return_permit(
        &mut self,
        now: Time,
        attempt: AttemptId,
        sent_attempt: &SentAttempt,
        result: AttemptResult,
    ) {
        let service_time = now.since(sent_attempt.sent_at);
        self.release(
            sent_attempt.dispatcher,
            attempt,
            permit_end(result),
            service_time,
        );
        let failed = evidence::is_server_failure(result);
        let count = self.failure_counts.entry(sent_attempt.server).or_default();
        if let Some(failures) = count.observe(now, failed) {
            self.outputs.push(GatewayOutput::Evidence {
                group: sent_attempt.group,
                server: sent_attempt.server,
                failures,
            });
        }
    }

    /// With [`Protection::AnswerMatch`] off, hands an answer to the oldest request in
    /// flight, whichever attempt it belongs to, which the simulation's checker has to
    /// detect.
    fn deliver_mismatched_answer(
        &mut self,
        now: Time,
        attempt: AttemptId,
        result: AttemptResult,
    ) -> bool {
        let answered = matches!(result, AttemptResult::Answered { .. });
        if self.protections.has(Protection::AnswerMatch) || !answered {
            return false;
        }
        let in_flight = |request: &&ActiveRequest| !request.sent_attempts.is_empty();
        let Some(oldest) = self.requests.values().find(in_flight) else {
            return false;
        };
        let id = oldest.id;
        self.finish(now, id, Outcome::Answered, Some(attempt), None);
        true
    }
}

/// Removes a sent attempt from its request.
pub(super) fn take_sent_attempt(request: &mut ActiveRequest, number: u8) -> Option<SentAttempt> {
    let index = request
        .sent_attempts
        .iter()
        .position(|sent_attempt| sent_attempt.number == number)?;
    Some(request.sent_attempts.remove(index))
}

/// The end of the permit that is reported to the dispatcher.
fn permit_end(result: AttemptResult) -> PermitEnd {
    match result {
        AttemptResult::Answered { failure: false } => PermitEnd::Answered,
        AttemptResult::Answered { failure: true } => PermitEnd::ServerFailure,
        AttemptResult::NotSent => PermitEnd::NotSent,
        AttemptResult::Refused(ServerRefusal::Busy) => PermitEnd::Busy,
        AttemptResult::Refused(_) => PermitEnd::Refused,
        AttemptResult::Lost | AttemptResult::BadAnswer => PermitEnd::Lost,
    }
}
