//! How long a kept connection may rest before it is used again.
//!
//! Instances may forget connections that have rested, without notice. What is
//! sent on such a connection is lost, and a request that must not run twice
//! with it. Connections also end for other reasons, whether they have rested or
//! not. So what counts is the share of lost requests among those on rested
//! connections, and that few are lost on others.

use crate::Timestamp;
use std::time::Duration;

/// Connections that rested for less count as fresh, and are always used.
const FRESH: Duration = Duration::from_millis(80);
/// Time in which what was seen loses half of its weight.
const HALVES_IN: Duration = Duration::from_secs(3);
/// Lost requests, by weight, that make a limit.
const LOST_FOR_LIMIT: f64 = 1.8;
/// Share of the requests on rested connections that are lost, for a limit.
const LOST_SHARE: f64 = 0.2;
/// Share of the shortest rest after which a request was lost that is trusted.
const TRUSTED_SHARE: f64 = 0.6;
/// How long the limit of another node is followed.
const TOLD_HOLDS_FOR: Duration = Duration::from_secs(2);

/// What became of requests on kept connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleConnectionLimit {
    lost: f64,
    answered: f64,
    lost_fresh: f64,
    shortest: Duration,
    at: Timestamp,
    told: Option<(Duration, Timestamp)>,
}

impl IdleConnectionLimit {
    /// A request on a connection that had rested for `rested`, nothing if it
    /// was new, was answered.
    pub fn answered(&mut self, rested: Duration, now: Timestamp) {
        self.fade(now);
        if rested >= FRESH {
            self.answered += 1.0;
        }
    }

    /// A request was lost as soon as it was sent.
    pub fn lost(&mut self, rested: Duration, now: Timestamp) {
        self.fade(now);
        if rested < FRESH {
            self.lost_fresh += 1.0;
            return;
        }
        if self.lost < 0.5 {
            self.shortest = rested;
        }
        self.shortest = self.shortest.min(rested);
        self.lost += 1.0;
    }

    /// Another node of the zone goes by this limit.
    pub fn told(&mut self, limit: Duration, now: Timestamp) {
        self.told = Some((limit.max(FRESH), now + TOLD_HOLDS_FOR));
    }

    /// The limit by what this node has seen itself.
    pub fn own(&self, now: Timestamp) -> Option<Duration> {
        let weight = self.weight(now);
        let enough = self.lost * weight >= LOST_FOR_LIMIT;
        let often = self.lost >= (self.lost + self.answered) * LOST_SHARE;
        let by_rest = self.lost_fresh < self.lost / 2.0;
        let limit = self.shortest.mul_f64(TRUSTED_SHARE).max(FRESH);
        (enough && often && by_rest).then_some(limit)
    }

    /// The limit now, if there is one.
    pub fn current(&self, now: Timestamp) -> Option<Duration> {
        let told = self.told.filter(|(_, until)| now < *until);
        let told = told.map(|(limit, _)| limit);
        self.own(now).into_iter().chain(told).min()
    }

    fn weight(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        0.5f64.powf(age / HALVES_IN.as_secs_f64())
    }

    fn fade(&mut self, now: Timestamp) {
        let weight = self.weight(now);
        self.lost *= weight;
        self.answered *= weight;
        self.lost_fresh *= weight;
        self.at = now;
    }
}
