//! Each way an attempt can end, and what it proves.
//!
//! | end of the attempt | proves | idempotent | once only |
//! |---|---|---|---|
//! | no connection came up | not run | sent again | sent again |
//! | none came up in the time for sending | not run | 503 | 503 |
//! | last byte never written, no answer begun | not run | sent again | sent again |
//! | last byte not written in time | not run | 503 | 503 |
//! | answer with "not executed", or 421 | not run | sent again | sent again |
//! | other whole answer | run | relayed | relayed |
//! | answer with a failure of the instance (5xx, not 504) | run | sent again, else relayed | relayed |
//! | success without a signature | nothing | sent again | 502 |
//! | connection lost, no whole answer, no answer | nothing | sent again | 502 |
//! | no answer in time | nothing | sent again | 504 at its time-out |
//!
//! A request whose last byte was never written proves this by HTTP's framing: an instance
//! begins a request once it is whole. The connection is reset, so that what the kernel
//! holds doesn't arrive later either; the last byte never left this process.
//!
//! "Sent again" holds within the attempts of the route, the retry budget, what
//! the repeat wins beside others while that runs short, and the time that is
//! left. Without them, a request that is proved not to have run is answered 503,
//! any other 502 or 504. The owner of a key that rejects with free slots is asked
//! once more at once, any other one after a pause.

use crate::dialect::HeaderNames;
use crate::identity::InstanceId;
use crate::io::ExchangeFailure;
use ledgelead_http::Response;

/// What the end of an attempt proves.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The instance's answer goes to the client.
    Relay(Response),
    /// The instance answered that it failed; its answer goes to the client
    /// unless the request is sent again.
    Failed(Response),
    /// The request never reached an instance.
    NeverSent {
        /// The connection was refused at once.
        refused: bool,
    },
    /// An instance received a part of the request, and never receives the rest.
    Incomplete {
        /// The time for sending it is over.
        timed_out: bool,
    },
    /// An instance received the request and did not run it.
    Rejected {
        /// It is another instance, or doesn't hold the key.
        misdirected: bool,
        /// Another instance has the address: the one meant has ended.
        ended: bool,
    },
    /// It may have run.
    Unknown {
        /// No answer came in time.
        timed_out: bool,
    },
}

impl AttemptOutcome {
    /// A name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            AttemptOutcome::Relay(_) => "relayed",
            AttemptOutcome::Failed(_) => "failed",
            AttemptOutcome::NeverSent { refused: true } => "connection_refused",
            AttemptOutcome::NeverSent { refused: false } => "never_sent",
            AttemptOutcome::Incomplete { timed_out: true } => "unsent_in_time",
            AttemptOutcome::Incomplete { timed_out: false } => "incomplete",
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

/// Judges the end of an attempt.
pub fn classify_outcome(
    result: Result<Response, ExchangeFailure>,
    meant: &InstanceId,
    headers: &HeaderNames,
) -> AttemptOutcome {
    match result {
        Ok(response) => classify_response(response, meant, headers),
        Err(failure) if failure.proves_not_sent() => AttemptOutcome::NeverSent {
            refused: failure == ExchangeFailure::Refused,
        },
        Err(ExchangeFailure::Incomplete { timed_out }) => AttemptOutcome::Incomplete { timed_out },
        Err(failure) => AttemptOutcome::Unknown {
            timed_out: failure == ExchangeFailure::TimedOut,
        },
    }
}

/// Whether an instance says that it failed. 504 only says that the time is over:
/// neither is the instance at fault, nor is sending again of use.
pub fn tells_failure(response: &Response) -> bool {
    (500..=599).contains(&response.status) && response.status != 504
}

fn classify_response(
    response: Response,
    meant: &InstanceId,
    headers: &HeaderNames,
) -> AttemptOutcome {
    let misdirected = response.status == 421;
    if misdirected || response.headers.get(&headers.not_executed).is_some() {
        let answering = response.headers.text(&headers.instance);
        let ended = misdirected && answering.is_some_and(|id| id != meant.name());
        return AttemptOutcome::Rejected { misdirected, ended };
    }
    if response.is_success() && response.headers.get(&headers.signature).is_none() {
        return AttemptOutcome::Unknown { timed_out: false };
    }
    if tells_failure(&response) && response.headers.get(&headers.signature).is_some() {
        return AttemptOutcome::Failed(response);
    }
    AttemptOutcome::Relay(response)
}
