//! Classifies the ways an attempt can end, by what they prove.
//!
//! | end of the attempt | proves | idempotent request | non-idempotent request |
//! |---|---|---|---|
//! | no connection established | not run | retried | retried |
//! | none established in the time for sending | not run | 503 | 503 |
//! | a part of the request written, no response begun | nothing | retried | 502 |
//! | a part of the request written when its time is over | nothing | 504 | 504 |
//! | response with "not executed", or 421 | not run | retried | retried |
//! | 408, 429 or 503 without "not executed" | nothing | relayed, or as a failure | 502 |
//! | other complete response | run | relayed | relayed |
//! | response with a failure of the instance (5xx, not 504) | run | retried, else relayed | relayed |
//! | success without a signature | nothing | retried | 502 |
//! | connection lost, incomplete response, no response | nothing | retried | 502 |
//! | no response in time | nothing | retried | 504 at its timeout |
//!
//! Only the instance knows whether it has run a request. This node knows that it hasn't if no
//! byte was written, or if the instance says so. An instance may begin a request before it has
//! read all of it.
//!
//! "Retried" is subject to the route's maximum number of attempts, the retry budget, the value
//! of the retry compared to others while the budget runs short, and the time left. If a retry
//! isn't possible, a request that is proved not to have run is answered with 503, any other
//! with 502 or 504. The owner of a key that rejects with free slots is asked once more at
//! once, any other owner after a pause.

use crate::dialect::HeaderNames;
use crate::identity::InstanceId;
use crate::io::ExchangeFailure;
use ledgelead_http::Response;

/// What the end of an attempt proves.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The response is relayed to the client.
    Relay(Response),
    /// The instance reported a failure. Its response is relayed to the client unless the
    /// request is retried.
    Failed(Response),
    /// The request never reached an instance.
    NeverSent {
        /// The connection was refused at once.
        refused: bool,
    },
    /// An instance received the request and did not run it.
    Rejected {
        /// The instance is not the one addressed, or doesn't own the key.
        misdirected: bool,
        /// Another instance uses the address: the one addressed has ended.
        ended: bool,
    },
    /// The request may have run.
    Unknown {
        /// No response arrived in time.
        timed_out: bool,
    },
}

impl AttemptOutcome {
    /// The outcome for a request that may run once. Its client would take some statuses for a
    /// promise that the request has not run, which an instance has not made without "not
    /// executed".
    pub fn for_single_run(self) -> AttemptOutcome {
        match self {
            AttemptOutcome::Relay(response) | AttemptOutcome::Failed(response)
                if promises_not_run(response.status) =>
            {
                AttemptOutcome::Unknown { timed_out: false }
            }
            other => other,
        }
    }

    /// The name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            AttemptOutcome::Relay(_) => "relayed",
            AttemptOutcome::Failed(_) => "failed",
            AttemptOutcome::NeverSent { refused: true } => "connection_refused",
            AttemptOutcome::NeverSent { refused: false } => "never_sent",
            AttemptOutcome::Rejected { ended: true, .. } => "instance_ended",
            AttemptOutcome::Rejected {
                misdirected: true, ..
            } => "misdirected",
            AttemptOutcome::Rejected { .. } => "shed",
            AttemptOutcome::Unknown { timed_out: true } => "no_answer_in_time",
            AttemptOutcome::Unknown { .. } => "answer_lost",
        }
    }
}

/// Classifies the end of an attempt.
pub fn classify_outcome(
    result: Result<Response, ExchangeFailure>,
    intended: &InstanceId,
    headers: &HeaderNames,
) -> AttemptOutcome {
    match result {
        Ok(response) => classify_response(response, intended, headers),
        Err(failure) if failure.proves_not_sent() => AttemptOutcome::NeverSent {
            refused: failure == ExchangeFailure::Refused,
        },
        Err(failure) => AttemptOutcome::Unknown {
            timed_out: matches!(
                failure,
                ExchangeFailure::TimedOut | ExchangeFailure::Incomplete { timed_out: true }
            ),
        },
    }
}

/// Whether a response reports a failure of the instance. A 504 only says that the time is
/// over: it isn't the instance's fault, and a retry would be of no use.
pub fn is_server_failure(response: &Response) -> bool {
    (500..=599).contains(&response.status) && response.status != 504
}

/// Whether a client takes an answer with this status for a promise that its request has not
/// run and never will.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn classify_response(
    response: Response,
    intended: &InstanceId,
    headers: &HeaderNames,
) -> AttemptOutcome {
    let misdirected = response.status == 421;
    if misdirected || response.headers.get(&headers.not_executed).is_some() {
        let answering = response.headers.text(&headers.instance);
        let ended = misdirected && answering.is_some_and(|id| id != intended.name());
        return AttemptOutcome::Rejected { misdirected, ended };
    }
    if response.is_success() && response.headers.get(&headers.signature).is_none() {
        return AttemptOutcome::Unknown { timed_out: false };
    }
    if is_server_failure(&response) && response.headers.get(&headers.signature).is_some() {
        return AttemptOutcome::Failed(response);
    }
    AttemptOutcome::Relay(response)
}
