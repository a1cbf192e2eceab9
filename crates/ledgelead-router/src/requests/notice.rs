//! What an instance says of itself in its answers.

use crate::boundary::MAX_TIMEOUT;
use crate::dialect::HeaderNames;
use crate::identity::InstanceId;
use ledgelead_http::Response;
use std::time::Duration;

/// The value by which an instance says that it leaves.
const LEAVING: &str = "1";

/// What one answer says of its instance, besides the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// It is about to leave.
    pub leaving: bool,
    /// Time from the answer on in which it wants no requests of the node that asked.
    pub backoff: Option<Duration>,
}

impl Notice {
    /// What an answer to a message that was meant for `meant` says of that instance. What
    /// can't be read says nothing, and so does what another instance says at its address.
    pub fn of(meant: &InstanceId, response: &Response, headers: &HeaderNames) -> Notice {
        let answering = response.headers.text(&headers.instance);
        if answering.is_some_and(|id| id != meant.name()) {
            return Notice::default();
        }
        let backoff = match response.status {
            503 => response.headers.text(&headers.retry_after),
            _ => None,
        };
        Notice {
            leaving: response.headers.text(&headers.leaving) == Some(LEAVING),
            backoff: backoff.and_then(seconds),
        }
    }
}

/// A time in seconds, fractions included. A date or a number that is none counts as
/// missing.
fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    let time = Duration::try_from_secs_f64(seconds).ok()?;
    (!time.is_zero()).then(|| time.min(MAX_TIMEOUT))
}
