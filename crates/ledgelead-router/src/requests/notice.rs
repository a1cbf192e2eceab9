//! What instances announce about themselves in responses.

use crate::dialect::HeaderNames;
use crate::identity::InstanceId;
use crate::validation::{MAX_TIMEOUT, decimal};
use ledgelead_http::Response;
use std::time::Duration;

/// Header value by which an instance announces that it leaves.
const LEAVING: &str = "1";

/// Announcements about the instance in one of its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The instance is about to leave.
    pub leaving: bool,
    /// How long after the response the instance wants no requests from the receiving node.
    pub backoff: Option<Duration>,
    /// Whether the instance requested a pause in a format that can't be parsed.
    pub is_unreadable: bool,
}

impl Notice {
    /// Extracts the announcements from a response to a message that was intended for `intended`.
    /// Values that can't be parsed are ignored, and so are those of another instance at the
    /// same address.
    pub fn of(intended: &InstanceId, response: &Response, headers: &HeaderNames) -> Notice {
        let answering = response.headers.text(&headers.instance);
        if answering.is_some_and(|id| id != intended.name()) {
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

/// The pauses requested by a response.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    longest: Option<Duration>,
    is_unreadable: bool,
}

impl Backoff {
    /// The longest time counts if there are several headers.
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

/// Parses a time in seconds, with an optional fraction. Dates (which would need the instance's
/// clock), negative numbers and other texts are not accepted.
fn seconds(value: &[u8]) -> Option<Duration> {
    let time = Duration::try_from_secs_f64(decimal(value)?);
    Some(time.map_or(MAX_TIMEOUT, |time| time.min(MAX_TIMEOUT)))
}
