//! Requests that instances have answered lately: whatever ended under them since, they are
//! harmless.

use super::entry::CallerId;
use crate::Timestamp;
use crate::requests::RequestDigest;
use std::collections::HashSet;
use std::time::Duration;

/// How long an answer is remembered at least, unless there are too many.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Most answers of one generation; two of them take 0.6 MB.
const MAX_ANSWERS: usize = 8_192;

type Answered = HashSet<(RequestDigest, CallerId)>;

/// The answers of the last time, in two generations.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    current: Answered,
    previous: Answered,
    rotate_at: Timestamp,
}

impl RecentAnswers {
    /// An instance has answered a request.
    pub fn note(&mut self, request: RequestDigest, caller: CallerId, now: Timestamp) {
        if self.rotate_at <= now || self.current.len() >= MAX_ANSWERS {
            self.previous = std::mem::take(&mut self.current);
            self.rotate_at = now + REMEMBERED;
        }
        self.current.insert((request, caller));
    }

    /// Whether an instance has answered a request lately.
    pub fn holds(&self, request: RequestDigest, caller: CallerId) -> bool {
        let known = (request, caller);
        self.current.contains(&known) || self.previous.contains(&known)
    }
}
