//! How often an instance has failed lately, and whether it is passed over for that.

use crate::Timestamp;
use std::time::Duration;

/// Time in which a share of failures without new outcomes halves, so that the
/// instance gets another chance.
const HALVE_IN: Duration = Duration::from_secs(3);
/// How often an ejection's length doubles at most; the longest holds long before.
const MAX_DOUBLINGS: u32 = 6;

/// What failures lead to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureRules {
    /// Weight of a new outcome in the share of failures.
    pub(crate) outcome_weight: f64,
    /// Failures in a row after which an instance is ejected.
    pub(crate) eject_after: u32,
    /// The first ejection's length; it doubles.
    pub(crate) first_ejection: Duration,
    /// The longest ejection.
    pub(crate) longest_ejection: Duration,
}

/// Failures of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Failures {
    in_a_row: u32,
    share: f64,
    noted_at: Timestamp,
    ejections: u32,
    ejected_until: Timestamp,
}

impl Failures {
    /// A request was answered.
    pub(crate) fn answered(&mut self, rules: &FailureRules, now: Timestamp) {
        self.note(0.0, rules, now);
        self.in_a_row = 0;
        self.ejections = 0;
    }

    /// A request failed.
    pub(crate) fn failed(&mut self, rules: &FailureRules, now: Timestamp) {
        self.rejected(rules, now);
        self.in_a_row += 1;
        if self.in_a_row >= rules.eject_after {
            let doubled = 1 << self.ejections.min(MAX_DOUBLINGS);
            let length = rules.first_ejection.saturating_mul(doubled);
            self.ejected_until = now + length.min(rules.longest_ejection);
            self.ejections += 1;
            // One more failure ejects it again.
            self.in_a_row = rules.eject_after - 1;
        }
    }

    /// A request was turned away: that counts in the share, and ejects nobody.
    pub(crate) fn rejected(&mut self, rules: &FailureRules, now: Timestamp) {
        self.note(1.0, rules, now);
    }

    /// The share of lately sent requests that failed, 0 to 1.
    pub(crate) fn share(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.noted_at);
        let halvings = age.as_secs_f64() / HALVE_IN.as_secs_f64();
        self.share * 0.5f64.powf(halvings)
    }

    /// Whether the instance is passed over for now.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    /// Until when it is passed over.
    pub(crate) fn ejected_until(&self) -> Timestamp {
        self.ejected_until
    }

    fn note(&mut self, failed: f64, rules: &FailureRules, now: Timestamp) {
        let earlier = self.share(now);
        self.share = earlier + (failed - earlier) * rules.outcome_weight;
        self.noted_at = now;
    }
}
