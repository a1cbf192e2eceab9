//! A token bucket that can be overdrawn.

use super::Quota;
use crate::Timestamp;

/// Tokens of a quota. Admitted requests may overdraw it; the debt is paid back first.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    filled_at: Timestamp,
}

impl Bucket {
    /// A full bucket.
    pub(super) fn full(quota: Quota, now: Timestamp) -> Bucket {
        Bucket {
            tokens: quota.capacity(),
            filled_at: now,
        }
    }

    /// A bucket without the tokens of the burst.
    pub(super) fn without_burst(quota: Quota, now: Timestamp) -> Bucket {
        Bucket {
            tokens: quota.margin(),
            filled_at: now,
        }
    }

    /// Adds the tokens of the elapsed time.
    pub(super) fn fill(&mut self, quota: Quota, now: Timestamp) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + quota.rate * elapsed).min(quota.capacity());
        self.filled_at = now;
    }

    /// Number of tokens; negative if overdrawn.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Removes tokens, even more than there are.
    pub(super) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
