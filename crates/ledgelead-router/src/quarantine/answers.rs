//! Requests that instances have answered lately: whatever ended under them since, they are
//! harmless.

use super::entry::CallerId;
use crate::Timestamp;
use crate::requests::RequestDigest;
use std::collections::HashSet;
use std::time::Duration;

/// How long an answer is remembered at least, unless there are too many.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Most entries of one generation, two for an answer; two generations take 0.8 MB.
const MAX_ENTRIES: usize = 16_384;

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
        if self.rotate_at <= now || self.current.len() >= MAX_ENTRIES {
            self.previous = std::mem::take(&mut self.current);
            self.rotate_at = now + REMEMBERED;
        }
        self.current.insert((request, caller));
        self.current.insert((request, CallerId::ALL));
    }

    /// Whether an instance has answered a caller's request lately, or anybody's.
    pub fn contains(&self, request: RequestDigest, caller: CallerId) -> bool {
        let known = (request, caller);
        self.current.contains(&known) || self.previous.contains(&known)
    }
}
