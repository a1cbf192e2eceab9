//! What callers were told, against what servers executed.

use super::violation::{Violation, Violations};
use ledgelead_types::{Outcome, Time};
use std::collections::BTreeMap;

/// Names what may run once: one request, or all requests under one
/// idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OnceKey {
    /// A request that may not be repeated and has no idempotency key.
    Body(u64),
    /// Requests under this idempotency key.
    Idempotency(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    once: Option<OnceKey>,
    executions: u32,
    reported_not_run: bool,
}

/// Checks requests.
#[derive(Clone, Debug, Default)]
pub struct RequestChecker {
    records: BTreeMap<u64, Record>,
    once_executions: BTreeMap<OnceKey, u32>,
}

impl RequestChecker {
    /// A caller sends a request whose body holds this number.
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

    /// Whether the answer to one request is that of another: the same, or one
    /// under the same idempotency key that was executed.
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

    /// A caller was told how its request ended; `answer` is the number in the
    /// answer's body, when a whole answer came.
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
