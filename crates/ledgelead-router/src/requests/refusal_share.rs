//! Tracks the share of recently refused requests, which determines when callers should retry:
//! soon if few are refused, later if most would be refused again.

use crate::Timestamp;
use crate::identity::ServiceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Half-life of the counts; bursts last for seconds.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Retry delay when hardly any request is refused: the service time of one request, after which
/// a slot becomes free.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Additional delay when all requests are refused. A burst beyond a service's capacity lasts
/// at least that long.
const MAX_EXTRA_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Share of recently refused requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalShare {
    received: f64,
    refused: f64,
    at: Timestamp,
}

impl RefusalShare {
    /// Records a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.decay(now);
        self.received += 1.0;
    }

    /// Records a request that was refused for lack of capacity.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.decay(now);
        self.refused += 1.0;
    }

    /// The share of refused requests, 0 to 1.
    pub fn share(&mut self, now: Timestamp) -> f64 {
        self.decay(now);
        if self.received <= 0.0 {
            return 0.0;
        }
        (self.refused / self.received).min(1.0)
    }

    fn decay(&mut self, now: Timestamp) {
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
    /// Records a request.
    pub fn record_request(&mut self, service: &ServiceName, now: Timestamp) {
        self.of(service).record_request(now);
    }

    /// Records a request that was refused for lack of capacity.
    pub fn record_refusal(&mut self, service: &ServiceName, now: Timestamp) {
        self.of(service).record_refusal(now);
    }

    /// The share of refused requests, 0 to 1.
    pub fn share(&mut self, service: &ServiceName, now: Timestamp) -> f64 {
        self.of(service).share(now)
    }

    /// Like `share`, without updating the decayed counts.
    pub fn share_at(&self, service: &ServiceName, now: Timestamp) -> f64 {
        let known = self.services.get(service).copied();
        known.map_or(0.0, |mut share| share.share(now))
    }

    fn of(&mut self, service: &ServiceName) -> &mut RefusalShare {
        self.services.entry(service.clone()).or_default()
    }
}

/// When a caller may retry if this share of requests is refused.
pub fn retry_after(refused_share: f64) -> Duration {
    MIN_RETRY_DELAY + MAX_EXTRA_RETRY_DELAY.mul_f64(refused_share.clamp(0.0, 1.0))
}
