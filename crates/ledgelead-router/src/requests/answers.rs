//! Answers of the router's own.

use crate::dialect::HeaderNames;
use ledgelead_http::{Request, Response};
use std::time::Duration;

/// Why the router answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// No configuration is known yet.
    NotConfigured,
    /// No route holds the request.
    NoRoute,
    /// A key is missing or no number.
    BadKey,
    /// No instance can answer in time.
    Overloaded,
    /// Those that wait for the key's owner take its time up to the target.
    QueueTooLong,
    /// Its key is asked for more often than its owner can work.
    KeyOverloaded,
    /// Nobody is known to own the key now.
    NoOwner,
    /// The key's owner has left, or is leaving.
    OwnerLeft,
    /// The key's owner has rejected it: it is on the move.
    KeyMoving,
    /// The key's owner has failed several times in a row.
    OwnerFails,
    /// The key's owner is cold, and others send to it.
    OwnerCold,
    /// The service has no instance.
    NoInstance,
    /// Rejected by instances; it was not run.
    Rejected,
    /// Every instance that could run it has asked this node for a pause.
    BackedOff,
    /// Every instance that could run it gets as many requests as the rate limits allow that
    /// they name.
    RateLimited,
    /// Instances have ended under it, so it is not sent to any more.
    Quarantined,
    /// This node has no memory for its body.
    NoMemory,
    /// The time was over before it could be sent.
    NotSentInTime,
    /// It may have run; its answer was lost.
    AnswerLost,
    /// It may have run; no answer came in time.
    AnswerLate,
}

impl Refusal {
    /// The status. 503 promises that the request has not run and never will.
    pub fn status(self) -> u16 {
        match self {
            Refusal::NoRoute => 404,
            Refusal::BadKey => 400,
            Refusal::NotConfigured
            | Refusal::Overloaded
            | Refusal::QueueTooLong
            | Refusal::KeyOverloaded
            | Refusal::NoOwner
            | Refusal::OwnerLeft
            | Refusal::KeyMoving
            | Refusal::OwnerFails
            | Refusal::OwnerCold
            | Refusal::NoInstance
            | Refusal::Rejected
            | Refusal::BackedOff
            | Refusal::RateLimited
            | Refusal::Quarantined
            | Refusal::NoMemory
            | Refusal::NotSentInTime => 503,
            Refusal::AnswerLost => 502,
            Refusal::AnswerLate => 504,
        }
    }

    /// Whether there was no room for the request, so that others are refused as well.
    pub fn lacks_room(self) -> bool {
        matches!(
            self,
            Refusal::Overloaded | Refusal::QueueTooLong | Refusal::Rejected
        )
    }

    /// A name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NotConfigured => "not_configured",
            Refusal::NoRoute => "no_route",
            Refusal::BadKey => "bad_key",
            Refusal::Overloaded => "overloaded",
            Refusal::QueueTooLong => "queue_too_long",
            Refusal::KeyOverloaded => "key_overloaded",
            Refusal::NoOwner => "no_owner",
            Refusal::OwnerLeft => "owner_left",
            Refusal::KeyMoving => "key_moving",
            Refusal::OwnerFails => "owner_fails",
            Refusal::OwnerCold => "owner_cold",
            Refusal::NoInstance => "no_instance",
            Refusal::Rejected => "rejected",
            Refusal::BackedOff => "backed_off",
            Refusal::RateLimited => "rate_limited",
            Refusal::Quarantined => "quarantined",
            Refusal::NoMemory => "no_memory",
            Refusal::NotSentInTime => "not_sent_in_time",
            Refusal::AnswerLost => "answer_lost",
            Refusal::AnswerLate => "answer_late",
        }
    }
}

/// The answer that tells a client of a refusal, and when to come back.
pub fn refusal(
    request: &Request,
    reason: Refusal,
    retry_after: Duration,
    headers: &HeaderNames,
) -> Response {
    let mut response = Response::new(reason.status(), reason.name().as_bytes());
    if let Some(attempt) = request.headers.get(&headers.attempt_id) {
        response.headers.push(&headers.attempt_id, attempt.to_vec());
    }
    if reason.status() == 503 {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        response.headers.push(&headers.retry_after, seconds);
    }
    response
}
