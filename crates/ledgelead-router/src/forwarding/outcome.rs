//! What the end of an exchange with a forwarding peer proves.

use crate::io::ExchangeFailure;
use crate::peers::{ForwardAnswer, ForwardDecline, headers_of};
use ledgelead_http::Response;
use ledgelead_types::codec;

/// The outcome of an exchange with a peer that was asked to forward.
#[derive(Debug)]
pub enum ForwardOutcome {
    /// The peer made an attempt, with this result.
    Attempted(Result<Response, ExchangeFailure>),
    /// The peer made no attempt.
    Declined(ForwardDecline),
    /// The peer is of a version that doesn't forward, or has no memory for the request.
    Unsupported,
    /// The peer received no complete request.
    NotReached,
    /// The peer may have made an attempt.
    Unknown(ExchangeFailure),
}

impl ForwardOutcome {
    /// The result as that of an attempt of this node. Without an attempt of the peer, nothing
    /// was sent.
    pub fn into_result(self) -> Result<Response, ExchangeFailure> {
        match self {
            ForwardOutcome::Attempted(result) => result,
            ForwardOutcome::Declined(_)
            | ForwardOutcome::Unsupported
            | ForwardOutcome::NotReached => Err(ExchangeFailure::NotConnected),
            ForwardOutcome::Unknown(failure) => Err(failure),
        }
    }

    /// The name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            ForwardOutcome::Attempted(_) => "attempted",
            ForwardOutcome::Declined(_) | ForwardOutcome::Unsupported => "declined",
            ForwardOutcome::NotReached => "not_reached",
            ForwardOutcome::Unknown(_) => "in_doubt",
        }
    }

    /// Whether the peer showed that it doesn't reach the instance either.
    pub fn lacks_path(&self) -> bool {
        match self {
            ForwardOutcome::Attempted(Err(failure)) => failure.shows_failed_link(),
            ForwardOutcome::Declined(decline) => *decline == ForwardDecline::NoPath,
            _ => false,
        }
    }

    /// Whether the peer showed that it reaches the instance.
    pub fn has_path(&self) -> bool {
        matches!(self, ForwardOutcome::Attempted(Ok(_)))
    }

    /// Whether the peer made an attempt.
    pub fn was_attempted(&self) -> bool {
        matches!(self, ForwardOutcome::Attempted(_))
    }
}

/// Evaluates the end of an exchange with a forwarding peer.
pub fn forward_outcome(result: Result<Response, ExchangeFailure>) -> ForwardOutcome {
    let response = match result {
        Ok(response) => response,
        Err(failure) if failure.lacks_whole_request() => return ForwardOutcome::NotReached,
        Err(failure) => return ForwardOutcome::Unknown(failure),
    };
    if !response.is_success() {
        return ForwardOutcome::Unsupported;
    }
    match codec::decode::<ForwardAnswer>(&response.body) {
        Ok(ForwardAnswer::Response {
            status,
            headers,
            body,
        }) => {
            let mut response = Response::new(status, body.0);
            response.headers = headers_of(headers);
            match response.is_final() {
                true => ForwardOutcome::Attempted(Ok(response)),
                false => ForwardOutcome::Attempted(Err(ExchangeFailure::Malformed)),
            }
        }
        Ok(ForwardAnswer::Failed(failure)) => ForwardOutcome::Attempted(Err(failure.into())),
        Ok(ForwardAnswer::Declined(decline)) => ForwardOutcome::Declined(decline),
        Err(_) => ForwardOutcome::Unknown(ExchangeFailure::Malformed),
    }
}
