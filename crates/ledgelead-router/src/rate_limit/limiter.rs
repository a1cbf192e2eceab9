//! One node that hands out the requests which an instance takes from all nodes together.
//!
//! The load it answers: an instance in need names a rate far below what it is asked for by
//! many nodes, each of which sends it little. A share for each node would be a fraction of a
//! request a second, and mostly unused; so nodes ask for each request.
//!
//! Nothing is agreed upon. Two nodes hand out tokens for an instance at most: the first by
//! rendezvous hashing at the named rate, and the second, which is asked where the first is
//! silent, at a part of it. Both together stay within what the instance bears beyond its rate
//! for moments, however long they don't hear each other.

use super::notice::RateLimit;
use crate::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the rate that the second node hands out.
const SECOND_SHARE: f64 = 0.3;
/// Time without a token at a node that has just become a limiter of an instance: what was
/// sent there before, without a limit or by another limiter's tokens, counts as well.
const STARTING_PAUSE: Duration = Duration::from_secs(2);
/// Requests that may be sent at once after silence, beside those of `BURST`.
const LEAST_BURST: f64 = 1.0;
/// How much of the rate may be sent at once after silence.
const BURST: Duration = Duration::from_millis(500);
/// Least rate, in requests a second: an instance that takes none can't say when it takes
/// some again.
const LEAST_RATE: f64 = 0.25;
/// Longest time after which a node asks again.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Messages carry whole milliseconds: a node must not ask just before its token is there.
const ROUNDING: Duration = Duration::from_millis(1);
/// How long an unused bucket is kept.
const UNUSED_TTL: Duration = Duration::from_secs(30);

/// Which of an instance's limiters a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimiterRole {
    /// The one that is asked.
    Primary,
    /// The one that is asked where the first is silent.
    Secondary,
}

/// What becomes of an ask for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// One request may be sent.
    Granted,
    /// There is none for the asker for so long.
    Refused(Duration),
    /// The instance names no limit any more.
    Unlimited,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimiterCounters {
    /// Tokens handed out.
    pub granted: u64,
    /// Asks without a token.
    pub refused: u64,
}

#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Timestamp,
    used_at: Timestamp,
    /// When refused nodes were told to ask again.
    promised: BTreeMap<SocketAddr, Timestamp>,
}

/// Tokens of all instances that this node is a limiter of, by the stable hashes of their ids.
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

    /// Decides on an ask for one request to an instance with this limit.
    pub fn request_token(
        &mut self,
        asker: SocketAddr,
        instance: u64,
        limit: RateLimit,
        role: LimiterRole,
        now: Timestamp,
    ) -> TokenVerdict {
        let rate = limit.per_s().max(LEAST_RATE);
        let rate = match role {
            LimiterRole::Primary => rate,
            LimiterRole::Secondary => rate * SECOND_SHARE,
        };
        let bucket = self.buckets.entry(instance).or_insert(Bucket {
            tokens: -rate * STARTING_PAUSE.as_secs_f64(),
            filled_at: now,
            used_at: now,
            promised: BTreeMap::new(),
        });
        bucket.fill(rate, now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            self.counters.granted += 1;
            return TokenVerdict::Granted;
        }
        self.counters.refused += 1;
        TokenVerdict::Refused(bucket.refuse(asker, rate, now))
    }

    /// Forgets what nobody asks for.
    pub fn expire(&mut self, now: Timestamp) {
        let is_used = |bucket: &Bucket| bucket.used_at + UNUSED_TTL > now;
        self.buckets.retain(|_, bucket| is_used(bucket));
    }
}

impl Bucket {
    fn fill(&mut self, rate: f64, now: Timestamp) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        let most = LEAST_BURST + rate * BURST.as_secs_f64();
        self.tokens = (self.tokens + rate * passed).min(most);
        self.filled_at = now;
        self.used_at = now;
    }

    /// For how long the asker gets none. Each node is told another token's time, so that they
    /// don't all come back for the same one.
    fn refuse(&mut self, asker: SocketAddr, rate: f64, now: Timestamp) -> Duration {
        self.promised.retain(|_, at| *at > now);
        if let Some(known) = self.promised.get(&asker) {
            return *known - now + ROUNDING;
        }
        let seconds = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_WAIT);
        let last = self.promised.values().max();
        let next = last.map_or(Timestamp::ZERO, |last| *last + seconds(1.0 / rate));
        let free_at = now + seconds((1.0 - self.tokens) / rate);
        let promised = free_at.max(next).min(now + LONGEST_WAIT);
        self.promised.insert(asker, promised);
        promised - now + ROUNDING
    }
}
