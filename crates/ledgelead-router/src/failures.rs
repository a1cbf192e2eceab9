//! Tracks the recent failures of an instance, and its ejection.

use crate::Timestamp;
use std::time::Duration;

/// Half-life of the failure share without new outcomes, so that the instance is tried again.
const FAILURE_SHARE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Limit for the doubling of an ejection's duration; the maximum duration is reached long
/// before.
const MAX_DOUBLINGS: u32 = 6;

/// Parameters for failures and ejections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureRules {
    /// Weight of a new outcome in the failure share.
    pub(crate) outcome_weight: f64,
    /// Consecutive failures after which an instance is ejected.
    pub(crate) eject_after: u32,
    /// Duration of the first ejection; it doubles with each further one.
    pub(crate) first_ejection: Duration,
    /// Maximum duration of an ejection.
    pub(crate) longest_ejection: Duration,
}

/// Recent failures of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Failures {
    consecutive: u32,
    share: f64,
    updated_at: Timestamp,
    ejections: u32,
    ejected_until: Timestamp,
}

impl Failures {
    /// A request was answered.
    pub(crate) fn record_success(&mut self, rules: &FailureRules, now: Timestamp) {
        self.update_share(0.0, rules, now);
        self.consecutive = 0;
        self.ejections = 0;
    }

    /// A request failed.
    pub(crate) fn record_failure(&mut self, rules: &FailureRules, now: Timestamp) {
        self.record_rejection(rules, now);
        self.consecutive += 1;
        if self.consecutive >= rules.eject_after {
            let doubled = 1 << self.ejections.min(MAX_DOUBLINGS);
            let length = rules.first_ejection.saturating_mul(doubled);
            self.ejected_until = now + length.min(rules.longest_ejection);
            self.ejections += 1;
            // A single further failure ejects it again.
            self.consecutive = rules.eject_after - 1;
        }
    }

    /// A request was rejected. This counts in the failure share, but never leads to an
    /// ejection.
    pub(crate) fn record_rejection(&mut self, rules: &FailureRules, now: Timestamp) {
        self.update_share(1.0, rules, now);
    }

    /// The share of recent requests that failed, 0 to 1.
    pub(crate) fn share(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        let halvings = age.as_secs_f64() / FAILURE_SHARE_HALF_LIFE.as_secs_f64();
        self.share * 0.5f64.powf(halvings)
    }

    /// Whether the instance currently gets no requests.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    /// When the ejection ends.
    pub(crate) fn ejected_until(&self) -> Timestamp {
        self.ejected_until
    }

    fn update_share(&mut self, failed: f64, rules: &FailureRules, now: Timestamp) {
        let earlier = self.share(now);
        self.share = earlier + (failed - earlier) * rules.outcome_weight;
        self.updated_at = now;
    }
}
