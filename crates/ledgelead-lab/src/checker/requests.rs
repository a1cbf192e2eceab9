//! Checks the outcomes reported to callers against the executions of servers.

use super::violation::{Violation, Violations};
use ledgelead_types::{Outcome, Time};
use std::collections::BTreeMap;

/// Identifies what may run at most once: a single request, or all requests with the same
/// idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OnceKey {
    /// A request that may not be retried and has no idempotency key.
    Body(u64),
    /// Requests with this idempotency key.
    Idempotency(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    once: Option<OnceKey>,
    executions: u32,
    reported_not_run: bool,
}

/// Checks requests and their outcomes.
#[derive(Clone, Debug, Default)]
pub struct RequestChecker {
    records: BTreeMap<u64, Record>,
    once_executions: BTreeMap<OnceKey, u32>,
}

impl RequestChecker {
    /// A caller sends a request with this number in its body.
    pub fn sent(&mut self, body: u64, once: Option<OnceKey>) {
        let record = Record {
            once,
            ..Record::default()
        };
        self.records.insert(body, record);
    }

    /// A server started to execute a request.
    pub fn started(&mut self, now: Time, body: u64, violations: &mut Violations) {
        let record = self.records.entry(body).or_default();
        record.executions += 1;
        if record.reported_not_run {
            violations.add(now, Violation::NotRunIsTrue, || {
                format!("request {body} started after its caller was told it was not run")
            });
        }
        let Some(once) = record.once else {
            return;
        };
        let executions = self.once_executions.entry(once).or_insert(0);
        *executions += 1;
        if *executions > 1 {
            violations.add(now, Violation::OnceOnly, || {
                format!("request {body} under {once:?} started again")
            });
        }
    }

    /// Whether an answer to request `answered` is valid for request `body`: it is the same
    /// request, or one with the same idempotency key that was executed.
    fn answers(&self, answered: u64, body: u64) -> bool {
        if answered == body {
            return true;
        }
        let first = self.records.get(&answered);
        let was_executed = first.is_some_and(|record| record.executions > 0);
        was_executed && self.key(body).is_some() && self.key(answered) == self.key(body)
    }

    /// The idempotency key of a request.
    fn key(&self, body: u64) -> Option<u64> {
        match self.records.get(&body)?.once? {
            OnceKey::Idempotency(number) => Some(number),
            OnceKey::Body(_) => None,
        }
    }

    /// A caller was told the outcome of its request. `answer` is the number in the body of a
    /// complete answer.
    pub fn outcome_reported(
        &mut self,
        now: Time,
        body: u64,
        outcome: Outcome,
        answer: Option<u64>,
        violations: &mut Violations,
    ) {
        let is_own = answer.is_some_and(|answer| self.answers(answer, body));
        let record = self.records.entry(body).or_default();
        match outcome {
            Outcome::Answered if !is_own => {
                violations.add(now, Violation::AnswerMatchesRequest, || {
                    format!("request {body} was handed the answer {answer:?}")
                });
            }
            Outcome::NotRun(reason) => {
                record.reported_not_run = true;
                if record.executions > 0 {
                    violations.add(now, Violation::NotRunIsTrue, || {
                        format!("request {body} was run and told not run: {reason:?}")
                    });
                }
            }
            Outcome::Answered | Outcome::Unknown(_) => {}
        }
    }
}
