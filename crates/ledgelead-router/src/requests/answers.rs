//! Responses that the router generates itself.

use crate::dialect::HeaderNames;
use ledgelead_http::{Request, Response};
use std::time::Duration;

/// Why the router answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// No configuration is known yet.
    NotConfigured,
    /// No route matches the request.
    NoRoute,
    /// The caller's key is missing or belongs to no tenant.
    UnknownCaller,
    /// This node can't know whether the caller's key is still valid.
    KeysOutdated,
    /// The tenant's requests exceed its quota.
    QuotaExceeded,
    /// The key header is missing or not a number.
    BadKey,
    /// No instance can answer in time.
    Overloaded,
    /// The requests that wait for the key's owner take up its time until the target latency.
    QueueTooLong,
    /// The request rate of the key exceeds the capacity of its owner.
    KeyOverloaded,
    /// The key has no known owner.
    NoOwner,
    /// This node can't know whether the key still has the owner that it knows.
    OwnersOutdated,
    /// The key's owner has left, or is leaving.
    OwnerLeft,
    /// The key's owner rejected the request, since the key is being moved.
    KeyMoving,
    /// The key's owner has failed several times in a row.
    OwnerFails,
    /// The key's owner is cold, and only other nodes may send to it.
    OwnerCold,
    /// The service has no usable instance.
    NoInstance,
    /// Neither this node nor its peers reach an instance that could run the request.
    Unreachable,
    /// Instances rejected the request without running it.
    Rejected,
    /// Every instance that could run the request has requested a pause from this node.
    BackedOff,
    /// Every instance that could run the request has reached its rate limit.
    RateLimited,
    /// Instances have ended while running the request, and it is another node's turn to try it.
    Suspected,
    /// The request is quarantined because instances have crashed while running it.
    Quarantined,
    /// This node has no memory for the request's body.
    NoMemory,
    /// The deadline passed before the request could be sent.
    NotSentInTime,
    /// The request may have run; its response was lost.
    AnswerLost,
    /// The request may have run; no response arrived in time.
    AnswerLate,
}

impl Refusal {
    /// The HTTP status. A 503 guarantees that the request has not run and never will.
    pub fn status(self) -> u16 {
        match self {
            Refusal::NoRoute => 404,
            Refusal::UnknownCaller => 401,
            Refusal::QuotaExceeded => 429,
            Refusal::BadKey => 400,
            Refusal::NotConfigured
            | Refusal::KeysOutdated
            | Refusal::Overloaded
            | Refusal::QueueTooLong
            | Refusal::KeyOverloaded
            | Refusal::NoOwner
            | Refusal::OwnersOutdated
            | Refusal::OwnerLeft
            | Refusal::KeyMoving
            | Refusal::OwnerFails
            | Refusal::OwnerCold
            | Refusal::NoInstance
            | Refusal::Unreachable
            | Refusal::Rejected
            | Refusal::BackedOff
            | Refusal::RateLimited
            | Refusal::Suspected
            | Refusal::Quarantined
            | Refusal::NoMemory
            | Refusal::NotSentInTime => 503,
            Refusal::AnswerLost => 502,
            Refusal::AnswerLate => 504,
        }
    }

    /// Whether the request was refused for lack of capacity, so that others are refused as
    /// well.
    pub fn lacks_capacity(self) -> bool {
        matches!(
            self,
            Refusal::Overloaded | Refusal::QueueTooLong | Refusal::Rejected
        )
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NotConfigured => "not_configured",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownCaller => "unknown_caller",
            Refusal::KeysOutdated => "keys_outdated",
            Refusal::QuotaExceeded => "quota_exceeded",
            Refusal::BadKey => "bad_key",
            Refusal::Overloaded => "overloaded",
            Refusal::QueueTooLong => "queue_too_long",
            Refusal::KeyOverloaded => "key_overloaded",
            Refusal::NoOwner => "no_owner",
            Refusal::OwnersOutdated => "owners_outdated",
            Refusal::OwnerLeft => "owner_left",
            Refusal::KeyMoving => "key_moving",
            Refusal::OwnerFails => "owner_fails",
            Refusal::OwnerCold => "owner_cold",
            Refusal::NoInstance => "no_instance",
            Refusal::Unreachable => "unreachable",
            Refusal::Rejected => "rejected",
            Refusal::BackedOff => "backed_off",
            Refusal::RateLimited => "rate_limited",
            Refusal::Suspected => "suspected",
            Refusal::Quarantined => "quarantined",
            Refusal::NoMemory => "no_memory",
            Refusal::NotSentInTime => "not_sent_in_time",
            Refusal::AnswerLost => "answer_lost",
            Refusal::AnswerLate => "answer_late",
        }
    }
}

/// Builds the response to a refused request, with the time after which to retry.
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
    if matches!(reason.status(), 429 | 503) {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        response.headers.push(&headers.retry_after, seconds);
    }
    response
}
