//! Requests that instances have answered recently. Such requests are harmless, even if an
//! instance has ended during one since.

use super::entry::CallerId;
use crate::Timestamp;
use crate::requests::RequestDigest;
use std::collections::HashSet;
use std::time::Duration;

/// Minimum time for which an answer is remembered, unless there are too many.
const MIN_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of entries per generation, with two per answer; two generations take 0.8 MB.
const MAX_ENTRIES: usize = 16_384;

type Answered = HashSet<(RequestDigest, CallerId)>;

/// Recent answers, in two generations.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    current: Answered,
    previous: Answered,
    rotate_at: Timestamp,
}

impl RecentAnswers {
    /// Records that an instance has answered a request.
    pub fn record(&mut self, request: RequestDigest, caller: CallerId, now: Timestamp) {
        if self.rotate_at <= now || self.current.len() >= MAX_ENTRIES {
            self.previous = std::mem::take(&mut self.current);
            self.rotate_at = now + MIN_RETENTION;
        }
        self.current.insert((request, caller));
        self.current.insert((request, CallerId::ALL));
    }

    /// Whether an instance has recently answered this request of the caller; with
    /// `CallerId::ALL`, of any caller.
    pub fn contains(&self, request: RequestDigest, caller: CallerId) -> bool {
        let known = (request, caller);
        self.current.contains(&known) || self.previous.contains(&known)
    }
}
