//! Limits how long a kept connection may be idle before it is reused.
//!
//! Instances may drop idle connections silently. A request sent on such a connection is lost,
//! which is fatal for one that must not run twice. Connections also end for other reasons,
//! whether they were idle or not. A limit is therefore set only if a sufficient share of the
//! requests on idle connections is lost, and few on others.

use crate::Timestamp;
use std::time::Duration;

/// Connections that were idle for less count as fresh, and are always reused.
const MIN_IDLE_TIME: Duration = Duration::from_millis(80);
/// Half-life of the counts.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Lost requests, by weight, needed to set a limit.
const MIN_LOST: f64 = 1.8;
/// Share of the requests on idle connections that must be lost to set a limit.
const MIN_LOST_SHARE: f64 = 0.2;
/// The limit as a share of the shortest idle time after which a request was lost.
const LIMIT_SHARE: f64 = 0.6;
/// How long the limit of another node applies.
const PEER_LIMIT_TTL: Duration = Duration::from_secs(2);

/// Results of requests on kept connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    lost: f64,
    answered: f64,
    lost_fresh: f64,
    shortest_idle: Duration,
    at: Timestamp,
    peer_limit: Option<(Duration, Timestamp)>,
}

impl IdleLimit {
    /// Records an answered request. `idle` is how long its connection had been idle, zero if
    /// it was new.
    pub fn record_answered(&mut self, idle: Duration, now: Timestamp) {
        self.decay(now);
        if idle >= MIN_IDLE_TIME {
            self.answered += 1.0;
        }
    }

    /// Records a request that was lost as soon as it was sent.
    pub fn record_lost(&mut self, idle: Duration, now: Timestamp) {
        self.decay(now);
        if idle < MIN_IDLE_TIME {
            self.lost_fresh += 1.0;
            return;
        }
        if self.lost < 0.5 {
            self.shortest_idle = idle;
        }
        self.shortest_idle = self.shortest_idle.min(idle);
        self.lost += 1.0;
    }

    /// Adopts the limit of another node of the zone.
    pub fn set_peer_limit(&mut self, limit: Duration, now: Timestamp) {
        self.peer_limit = Some((limit.max(MIN_IDLE_TIME), now + PEER_LIMIT_TTL));
    }

    /// The limit derived from this node's own requests.
    pub fn own(&self, now: Timestamp) -> Option<Duration> {
        let weight = self.weight(now);
        let enough = self.lost * weight >= MIN_LOST;
        let often = self.lost >= (self.lost + self.answered) * MIN_LOST_SHARE;
        let by_idleness = self.lost_fresh < self.lost / 2.0;
        let limit = self.shortest_idle.mul_f64(LIMIT_SHARE).max(MIN_IDLE_TIME);
        (enough && often && by_idleness).then_some(limit)
    }

    /// The limit in force, if there is one.
    pub fn current(&self, now: Timestamp) -> Option<Duration> {
        let peer_limit = self.peer_limit.filter(|(_, until)| now < *until);
        let peer_limit = peer_limit.map(|(limit, _)| limit);
        self.own(now).into_iter().chain(peer_limit).min()
    }

    fn weight(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn decay(&mut self, now: Timestamp) {
        let weight = self.weight(now);
        self.lost *= weight;
        self.answered *= weight;
        self.lost_fresh *= weight;
        self.at = now;
    }
}
