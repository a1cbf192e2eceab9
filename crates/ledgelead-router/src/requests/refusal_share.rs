//! Which share of a service's requests is refused lately, so that callers learn when
//! to come back: soon where few are refused, late where most would be refused again.

use crate::Timestamp;
use crate::identity::ServiceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which what was seen loses half of its weight: bursts last seconds.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// When a caller may come back where hardly any request is refused: the work of one
/// request, after which a slot is free.
const SOONEST_RETURN: Duration = Duration::from_millis(150);
/// How much later where all are refused; bursts that a service can't bear last that
/// long at least.
const LATEST_RETURN: Duration = Duration::from_millis(1_500);

/// Which share of the requests for something is refused lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalShare {
    received: f64,
    refused: f64,
    at: Timestamp,
}

impl RefusalShare {
    /// A request came.
    pub fn received(&mut self, now: Timestamp) {
        self.fade(now);
        self.received += 1.0;
    }

    /// A request was refused since there was no room.
    pub fn refused(&mut self, now: Timestamp) {
        self.fade(now);
        self.refused += 1.0;
    }

    /// The share of requests that are refused, 0 to 1.
    pub fn share(&mut self, now: Timestamp) -> f64 {
        self.fade(now);
        if self.received <= 0.0 {
            return 0.0;
        }
        (self.refused / self.received).min(1.0)
    }

    fn fade(&mut self, now: Timestamp) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let weight = 0.5f64.powf(age / HALF_LIFE.as_secs_f64());
        self.received *= weight;
        self.refused *= weight;
        self.at = now;
    }
}

/// Shares of refused requests by service.
#[derive(Clone, Debug, Default)]
pub struct RefusalShares {
    services: BTreeMap<ServiceName, RefusalShare>,
}

impl RefusalShares {
    /// A request came.
    pub fn received(&mut self, service: &ServiceName, now: Timestamp) {
        self.of(service).received(now);
    }

    /// A request was refused since there was no room.
    pub fn refused(&mut self, service: &ServiceName, now: Timestamp) {
        self.of(service).refused(now);
    }

    /// The share of requests that are refused, 0 to 1.
    pub fn share(&mut self, service: &ServiceName, now: Timestamp) -> f64 {
        self.of(service).share(now)
    }

    /// The same without noting the time.
    pub fn share_at(&self, service: &ServiceName, now: Timestamp) -> f64 {
        let known = self.services.get(service).copied();
        known.map_or(0.0, |mut share| share.share(now))
    }

    fn of(&mut self, service: &ServiceName) -> &mut RefusalShare {
        self.services.entry(service.clone()).or_default()
    }
}

/// When a caller may come back, if this share of requests is refused.
pub fn retry_after(refused_share: f64) -> Duration {
    SOONEST_RETURN + LATEST_RETURN.mul_f64(refused_share.clamp(0.0, 1.0))
}
