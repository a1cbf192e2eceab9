//! What an instance says of itself in its answers.

use crate::dialect::HeaderNames;
use crate::identity::InstanceId;
use crate::validation::{MAX_TIMEOUT, decimal};
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
    /// Whether it has asked for a pause in a way that can't be read.
    pub is_unreadable: bool,
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
            503 => Backoff::read(response, headers),
            _ => Backoff::default(),
        };
        Notice {
            leaving: response.headers.text(&headers.leaving) == Some(LEAVING),
            backoff: backoff.longest,
            is_unreadable: backoff.is_unreadable,
        }
    }
}

/// The pauses that an answer asks for.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    longest: Option<Duration>,
    is_unreadable: bool,
}

impl Backoff {
    /// Of several headers the longest time counts.
    fn read(response: &Response, headers: &HeaderNames) -> Backoff {
        let mut read = Backoff::default();
        for value in response.headers.all(&headers.retry_after) {
            match seconds(value) {
                Some(time) => read.longest = read.longest.max(Some(time)),
                None => read.is_unreadable = true,
            }
        }
        read.longest = read.longest.filter(|time| !time.is_zero());
        read
    }
}

/// A time in seconds, fractions included. A date, which needs the clock of the instance, a
/// negative number and other texts are none.
fn seconds(value: &[u8]) -> Option<Duration> {
    let time = Duration::try_from_secs_f64(decimal(value)?);
    Some(time.map_or(MAX_TIMEOUT, |time| time.min(MAX_TIMEOUT)))
}
