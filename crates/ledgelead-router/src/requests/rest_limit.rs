//! How long a kept connection may rest before it is used again.
//!
//! Instances may forget connections that have rested, without notice. What is
//! sent on such a connection is lost, and a request that must not run twice
//! with it. One such loss makes this node, and the nodes of its zone that it
//! tells, use only connections that rested for less, for some time.

use crate::Timestamp;
use std::time::Duration;

/// Share of the rest after which a connection was forgotten that is still
/// trusted.
const TRUSTED_SHARE: f64 = 0.6;
/// Connections that rested for less are always used.
const SHORTEST: Duration = Duration::from_millis(80);
/// How long a limit holds before it doubles.
const HOLDS_FOR: Duration = Duration::from_secs(4);
/// A limit that has grown to this is none any more.
const LONGEST: Duration = Duration::from_secs(8);

/// The limit on the rest of kept connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestLimit {
    limit: Option<Duration>,
    doubles_at: Timestamp,
}

impl RestLimit {
    /// A connection that had rested for this long was forgotten.
    pub fn forgotten(&mut self, rested: Duration, now: Timestamp) {
        let trusted = rested.mul_f64(TRUSTED_SHARE).max(SHORTEST);
        self.tighten(trusted, now);
    }

    /// Another node of the zone goes by this limit.
    pub fn told(&mut self, limit: Duration, now: Timestamp) {
        if self.current(now).is_none_or(|own| limit < own) {
            self.tighten(limit.max(SHORTEST), now);
        }
    }

    fn tighten(&mut self, limit: Duration, now: Timestamp) {
        let own = self.current(now).unwrap_or(LONGEST);
        self.limit = Some(limit.min(own));
        self.doubles_at = now + HOLDS_FOR;
    }

    /// The limit now, if there is one. It doubles as long as nothing is lost.
    pub fn current(&self, now: Timestamp) -> Option<Duration> {
        let mut limit = self.limit?;
        let mut doubles_at = self.doubles_at;
        while doubles_at <= now && limit < LONGEST {
            limit *= 2;
            doubles_at += HOLDS_FOR;
        }
        (limit < LONGEST).then_some(limit)
    }
}
