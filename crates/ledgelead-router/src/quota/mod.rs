//! Quotas of tenants, which apply to all nodes together.
//!
//! Each node counts the requests of limited tenants and reports the counts to the coordinator.
//! The coordinator keeps a token bucket for each tenant, and announces which share of its
//! requests nodes admit while it asks for more than its quota allows. So a tenant below its
//! quota is never refused, and no request waits for another node.

mod admission;
mod allocation;
mod bucket;
mod demand;

pub use admission::{Admission, Counts, NodeCounts};
pub use allocation::{Allocator, Share};

/// Requests by which any tenant may exceed its rate and burst for a short time: a quarter of the
/// slack that the platform tolerates.
const MARGIN_REQUESTS: f64 = 5.0;
/// Further ones, as time at the quota's rate, in seconds: half of the tolerated overage. The
/// rest remains for requests admitted before a new demand is known.
const MARGIN_TIME_S: f64 = 0.25;
/// Multiple of the square root of the rate above which the margin isn't needed: random
/// fluctuations of the number of requests grow no faster.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// The number of requests that a tenant is allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second; above 0.
    pub rate: f64,
    /// Requests above the rate.
    pub burst: f64,
}

impl Quota {
    /// A quota of this rate and burst. None without a limit, that is, if the rate is 0.
    pub fn new(rate: f64, burst: f64) -> Option<Quota> {
        (rate != 0.0).then_some(Quota { rate, burst })
    }

    /// Size of a token bucket.
    fn capacity(self) -> f64 {
        self.burst + self.margin()
    }

    /// Requests that no tenant below its quota is refused for a random fluctuation.
    fn margin(self) -> f64 {
        let fluctuation = MARGIN_DEVIATIONS * self.rate.sqrt();
        MARGIN_REQUESTS + fluctuation.min(self.rate * MARGIN_TIME_S)
    }
}
