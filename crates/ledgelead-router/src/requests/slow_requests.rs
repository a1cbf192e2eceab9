//! Requests that take longer than an attempt may take before it is replaced by another one.

use super::digest::RequestDigest;
use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// How long a request counts as slow: long enough that a client's retries at this node fall into
/// it.
const TTL: Duration = Duration::from_secs(60);
/// Maximum number of known requests.
const MAX_REQUESTS: usize = 1_024;

/// Requests that got no answer in time after an attempt was aborted for another one. The aborted
/// attempt might have been answered, so their next attempts are left to run.
#[derive(Debug, Default)]
pub struct SlowRequests(HashMap<RequestDigest, Timestamp>);

impl SlowRequests {
    /// Records that a request got no answer in time from either of two instances.
    pub fn record(&mut self, request: RequestDigest, now: Timestamp) {
        if self.0.len() >= MAX_REQUESTS {
            self.expire(now);
        }
        if self.0.len() < MAX_REQUESTS {
            self.0.insert(request, now);
        }
    }

    /// Whether no request is known to be slow.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a request counts as slow.
    pub fn contains(&self, request: &RequestDigest, now: Timestamp) -> bool {
        let recorded = self.0.get(request);
        recorded.is_some_and(|at| now < *at + TTL)
    }

    /// Forgets requests that were slow long ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.0.retain(|_, at| now < *at + TTL);
    }
}
