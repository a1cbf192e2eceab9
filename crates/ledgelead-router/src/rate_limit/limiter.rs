//! Hands out tokens for requests to an instance, so that its rate limit holds for all nodes
//! together.
//!
//! An overloaded instance may announce a rate far below the number of requests that many nodes
//! have for it, each of them only a few. A fixed share per node would be a fraction of a
//! request a second, and mostly unused; so nodes request a token for each request.
//!
//! No agreement between nodes is needed. At most two nodes hand out tokens for an instance:
//! the primary limiter, chosen by rendezvous hashing, at the announced rate, and the secondary
//! one, which is asked when the primary does not respond, at a part of it. Both together stay
//! within what the instance can take beyond its rate for short times, however long the two
//! cannot reach each other.

use super::notice::RateLimit;
use crate::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the rate that the secondary limiter hands out.
const SECONDARY_SHARE: f64 = 0.3;
/// Time without tokens at a node that has just become a limiter of an instance, because
/// requests sent there before, without a limit or with another limiter's tokens, count as
/// well.
const START_DELAY: Duration = Duration::from_secs(2);
/// Number of requests that may be sent at once after an idle period, in addition to `BURST`.
const MIN_BURST: f64 = 1.0;
/// Requests that may be sent at once after an idle period, as time at the announced rate.
const BURST: Duration = Duration::from_millis(500);
/// Minimum rate, in requests a second: an instance that gets no requests could not announce a
/// higher limit.
const MIN_RATE: f64 = 0.25;
/// Maximum time after which a refused node asks again.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Added to waits, since messages carry whole milliseconds: a node must not return just before
/// its token is available.
const ROUNDING: Duration = Duration::from_millis(1);
/// How long an unused bucket is kept.
const UNUSED_TTL: Duration = Duration::from_secs(30);

/// Which of an instance's two limiters a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimiterRole {
    /// The limiter that is asked first.
    Primary,
    /// The limiter that is asked if the primary one does not respond.
    Secondary,
}

/// The decision on a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenStatus {
    /// One request may be sent.
    Granted,
    /// No token is available for the node for this time.
    Refused(Duration),
    /// The instance has withdrawn its limit.
    Unlimited,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimiterCounters {
    /// Tokens handed out.
    pub granted: u64,
    /// Requests for a token that were refused.
    pub refused: u64,
}

#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Timestamp,
    used_at: Timestamp,
    /// When each refused node may request a token again.
    retry_at: BTreeMap<SocketAddr, Timestamp>,
}

/// Token buckets of all instances for which this node is a limiter, by the stable hashes of
/// their ids.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    buckets: HashMap<u64, Bucket>,
    counters: LimiterCounters,
}

impl Limiter {
    /// Counts for metrics.
    pub fn counters(&self) -> LimiterCounters {
        self.counters
    }

    /// Decides on a token for one request to an instance with this limit.
    pub fn request_token(
        &mut self,
        requester: SocketAddr,
        instance: u64,
        limit: RateLimit,
        role: LimiterRole,
        now: Timestamp,
    ) -> TokenStatus {
        let rate = limit.per_s().max(MIN_RATE);
        let rate = match role {
            LimiterRole::Primary => rate,
            LimiterRole::Secondary => rate * SECONDARY_SHARE,
        };
        let bucket = self.buckets.entry(instance).or_insert(Bucket {
            tokens: -rate * START_DELAY.as_secs_f64(),
            filled_at: now,
            used_at: now,
            retry_at: BTreeMap::new(),
        });
        bucket.fill(rate, now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            self.counters.granted += 1;
            return TokenStatus::Granted;
        }
        self.counters.refused += 1;
        TokenStatus::Refused(bucket.refuse(requester, rate, now))
    }

    /// Removes unused buckets.
    pub fn expire(&mut self, now: Timestamp) {
        let is_used = |bucket: &Bucket| bucket.used_at + UNUSED_TTL > now;
        self.buckets.retain(|_, bucket| is_used(bucket));
    }
}

impl Bucket {
    fn fill(&mut self, rate: f64, now: Timestamp) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        let max_tokens = MIN_BURST + rate * BURST.as_secs_f64();
        self.tokens = (self.tokens + rate * passed).min(max_tokens);
        self.filled_at = now;
        self.used_at = now;
    }

    /// How long the requester has to wait. Each node is given the time of a different token, so
    /// that they do not all return for the same one.
    fn refuse(&mut self, requester: SocketAddr, rate: f64, now: Timestamp) -> Duration {
        self.retry_at.retain(|_, at| *at > now);
        if let Some(known) = self.retry_at.get(&requester) {
            return *known - now + ROUNDING;
        }
        let seconds = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT);
        let last = self.retry_at.values().max();
        let next = last.map_or(Timestamp::ZERO, |last| *last + seconds(1.0 / rate));
        let free_at = now + seconds((1.0 - self.tokens) / rate);
        let retry_at = free_at.max(next).min(now + MAX_WAIT);
        self.retry_at.insert(requester, retry_at);
        retry_at - now + ROUNDING
    }
}
