//! Token buckets: a rate with a bounded burst, and a budget proportional to the number of
//! requests.

use ledgelead_types::{Span, Time};

/// A bucket that refills with time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimit {
    per_second: f64,
    tokens: f64,
    updated: Time,
}

impl RateLimit {
    /// A full bucket that holds the tokens of one second.
    pub(crate) fn new(per_second: f64, now: Time) -> RateLimit {
        RateLimit {
            per_second,
            tokens: per_second.max(1.0),
            updated: now,
        }
    }

    /// Changes the rate. Available tokens are kept up to the new burst size.
    pub(crate) fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
        self.tokens = self.tokens.min(per_second.max(1.0));
    }

    /// Takes a token, or returns the time until one is available.
    pub(crate) fn take(&mut self, now: Time) -> Result<(), Span> {
        let inflow = now.since(self.updated).as_seconds() * self.per_second;
        self.tokens = (self.tokens + inflow).min(self.per_second.max(1.0));
        self.updated = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.tokens) / self.per_second.max(f64::MIN_POSITIVE);
        Err(Span::from_seconds(1).times(seconds))
    }
}

/// A bucket that is refilled by a fraction of a token with each request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShareBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl ShareBudget {
    /// A full bucket.
    pub(crate) fn new(share: f64, burst: f64) -> ShareBudget {
        ShareBudget {
            share,
            burst,
            tokens: burst,
        }
    }

    /// Adds the share of one request.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes a token; returns whether one was available.
    pub(crate) fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
