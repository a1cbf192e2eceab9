//! Derives from the result of an attempt whether the request was run, and what may follow.
//!
//! Invariant: a request that is not repeatable is retried only after evidence that it was
//! not run. Otherwise a retry after a lost answer could run its side effects twice.

use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::server::{AttemptResult, ServerRefusal};
use ledgelead_types::{NotRunReason, Span, Time, UnknownReason};

/// Consecutive failures after which a server is reported.
const FAILURES_BEFORE_REPORT: u32 = 3;

/// Minimum time between two reports of the same server.
pub const EVIDENCE_INTERVAL: Span = Span::from_millis(100);

/// Why a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryCause {
    /// The server refused because ownership or its status has changed: wait for new routes.
    /// Does not use the retry budget.
    Relocate,
    /// The server had no free slot, or no connection could be established.
    NotStarted(NotRunReason),
    /// The attempt may have run; the request is repeatable.
    MaybeRun(UnknownReason),
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptOutcome {
    /// Deliver the answer to the caller.
    ForwardAnswer,
    /// Retry the request while budget and deadline allow it.
    Retry(RetryCause),
    /// The request was not run, and a retry would not help.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Decides what follows from an attempt's result.
pub(super) fn classify_result(
    result: AttemptResult,
    repeatable: bool,
    protections: Protections,
) -> AttemptOutcome {
    match result {
        AttemptResult::Answered { .. } => AttemptOutcome::ForwardAnswer,
        AttemptResult::NotSent => {
            AttemptOutcome::Retry(RetryCause::NotStarted(NotRunReason::NoServer))
        }
        AttemptResult::Refused(refusal) => classify_refusal(refusal),
        AttemptResult::Lost => {
            classify_possibly_run(UnknownReason::ConnectionLost, repeatable, protections)
        }
        AttemptResult::BadAnswer => {
            classify_possibly_run(UnknownReason::BadAnswer, repeatable, protections)
        }
    }
}

fn classify_refusal(refusal: ServerRefusal) -> AttemptOutcome {
    match refusal {
        ServerRefusal::NotOwner | ServerRefusal::LeaseExpired | ServerRefusal::Draining => {
            AttemptOutcome::Retry(RetryCause::Relocate)
        }
        ServerRefusal::Busy | ServerRefusal::Cancelled => {
            AttemptOutcome::Retry(RetryCause::NotStarted(NotRunReason::Overloaded))
        }
        ServerRefusal::DeadlinePassed => AttemptOutcome::NotRun(NotRunReason::DeadlineTooClose),
    }
}

fn classify_possibly_run(
    reason: UnknownReason,
    repeatable: bool,
    protections: Protections,
) -> AttemptOutcome {
    if repeatable || !protections.has(Protection::UnknownNotRetried) {
        return AttemptOutcome::Retry(RetryCause::MaybeRun(reason));
    }
    AttemptOutcome::Unknown(reason)
}

/// Whether the result counts as a failure of the server.
pub(super) fn is_server_failure(result: AttemptResult) -> bool {
    match result {
        AttemptResult::Answered { failure } => failure,
        AttemptResult::NotSent | AttemptResult::Lost | AttemptResult::BadAnswer => true,
        AttemptResult::Refused(_) => false,
    }
}

/// Consecutive failures of a server, as observed by this gateway.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureCount {
    failures: u32,
    reported: Option<Time>,
}

impl FailureCount {
    /// Records an attempt's result; returns the number of failures if a report is due.
    pub(super) fn observe(&mut self, now: Time, failed: bool) -> Option<u32> {
        if !failed {
            self.failures = 0;
            return None;
        }
        self.failures = self.failures.saturating_add(1);
        let reported_recently = self
            .reported
            .is_some_and(|reported| now.since(reported) < EVIDENCE_INTERVAL);
        if self.failures < FAILURES_BEFORE_REPORT || reported_recently {
            return None;
        }
        self.reported = Some(now);
        Some(self.failures)
    }
}
