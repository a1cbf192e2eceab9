//! What the end of an attempt proves, and what may be done then.
//!
//! Invariant: a request that may not be repeated is sent again only after
//! evidence that it was not run. Without this rule a lost answer makes an
//! application or a commission run twice.

use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::server::{AttemptResult, ServerRefusal};
use ledgelead_types::{NotRunReason, Span, Time, UnknownReason};

/// Failures in a row from which a server is reported.
const FAILURES_BEFORE_REPORT: u32 = 3;

/// Least time between two reports of the same server.
pub const EVIDENCE_INTERVAL: Span = Span::from_millis(100);

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryCause {
    /// The server refused because ownership or its status has changed: wait
    /// for new routes. Takes nothing from the retry budget.
    Relocate,
    /// The server had no room, or no connection came about.
    NotStarted(NotRunReason),
    /// The attempt may have run; the request is repeatable.
    MaybeRun(UnknownReason),
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptOutcome {
    /// Pass the answer on whole.
    ForwardAnswer,
    /// Send the request again, while budget and deadline allow.
    Retry(RetryCause),
    /// It was not run, and sending it again is of no use.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

/// The evidence rule: what an attempt's end proves of a request.
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

/// Whether the end of an attempt speaks against its server.
pub(super) fn is_server_failure(result: AttemptResult) -> bool {
    match result {
        AttemptResult::Answered { failure } => failure,
        AttemptResult::NotSent | AttemptResult::Lost | AttemptResult::BadAnswer => true,
        AttemptResult::Refused(_) => false,
    }
}

/// A server's failures in a row, as this gateway saw them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureCount {
    failures: u32,
    reported: Option<Time>,
}

impl FailureCount {
    /// Takes an attempt's end in; the failures to be reported, if any.
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
