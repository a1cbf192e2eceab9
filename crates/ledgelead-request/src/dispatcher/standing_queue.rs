//! Standing queues: if the work of a tier waits too long for some time, more work is offered
//! than served, and a long queue only delays all of it.
//!
//! As in controlled delay (CoDel; Nichols and Jacobson, 2012), a queue that drains from time
//! to time is a burst, which may use the time up to its deadlines. A queue that never drains
//! is an overload, and its wait is then limited to a target. The limit is lifted when few
//! permit requests are affected by it.
//!
//! Under heavy overload the target is one service time: longer waits gain nothing, since
//! there is always other work. Under slight overload it is several service times, because a
//! short queue would refuse work that a free slot could take a moment later. Tiers that have
//! used less than their share are not limited.

use super::queue::Queue;
use ledgelead_types::{Span, TierId, Time};

/// How long all waits must exceed the target before they are limited.
const STANDING_TIME: Span = Span::from_seconds(1);

/// Weight of one permit request in the share of the tier's permit requests that exceed the
/// limit.
const REQUEST_WEIGHT: f64 = 0.02;
/// Initial value of that share when the limit is introduced.
const INITIAL_LIMITED_SHARE: f64 = 0.1;
/// The limit is lifted when the share falls below this value.
const MIN_LIMITED_SHARE: f64 = 0.02;
/// Weight of one permit request or grant in the excess.
const EXCESS_WEIGHT: f64 = 0.01;
/// Excess from which an overload is heavy: one and a half times the capacity.
const HEAVY_EXCESS: f64 = 0.2;
/// Maximum of the target in service times, in addition to the one that always applies;
/// reached under the slightest overload.
const MAX_EXTRA_SERVICE_TIMES: f64 = 7.0;

/// Number of permit requests that may always wait, so that a returned permit finds work and
/// the limit costs no capacity.
const MIN_QUEUED: usize = 3;

/// Waiting times of one tier in one queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StandingQueue {
    /// Since when all waits exceed the target.
    above_since: Option<Time>,
    /// While the wait is limited, the share of permit requests that exceed the limit.
    over_limit: Option<f64>,
}

impl StandingQueue {
    /// Records the wait of a permit request that is now granted. While no service time is
    /// measured the target is zero, and the queue never counts as standing.
    fn record_wait(&mut self, now: Time, waited: Span, target: Span) {
        if waited <= target || target == Span::ZERO {
            self.above_since = None;
            return;
        }
        let since = *self.above_since.get_or_insert(now);
        if now >= since + STANDING_TIME && self.over_limit.is_none() {
            self.over_limit = Some(INITIAL_LIMITED_SHARE);
        }
    }

    /// Records a new permit request; returns whether the limit applies to it.
    fn is_limited(&mut self, over_target: bool) -> bool {
        let Some(share) = &mut self.over_limit else {
            return false;
        };
        let sample = if over_target { 1.0 } else { 0.0 };
        move_towards(share, sample, REQUEST_WEIGHT);
        if *share < MIN_LIMITED_SHARE {
            *self = StandingQueue::default();
        }
        over_target
    }
}

impl Queue {
    /// The maximum wait for a tier with a standing queue.
    pub(super) fn target_wait(&self, service_time: Span) -> Span {
        let slight = 1.0 - (self.excess / HEAVY_EXCESS).clamp(0.0, 1.0);
        service_time.times(1.0 + MAX_EXTRA_SERVICE_TIMES * slight)
    }

    /// Records how long a permit request that is now granted has waited.
    pub(super) fn record_wait(
        &mut self,
        now: Time,
        tier: TierId,
        waited: Span,
        service_time: Span,
    ) {
        let target = self.target_wait(service_time);
        let standing = self.standing.entry(tier).or_default();
        standing.record_wait(now, waited, target);
        move_towards(&mut self.excess, -1.0, EXCESS_WEIGHT);
    }

    /// Records a new permit request; returns whether its expected wait exceeds the limit of
    /// its tier.
    pub(super) fn is_over_limit(&mut self, tier: TierId, wait: Span, service_time: Span) -> bool {
        move_towards(&mut self.excess, 1.0, EXCESS_WEIGHT);
        let over_target = wait > self.target_wait(service_time)
            && self.fair.len() >= MIN_QUEUED
            && !self.fair.has_credit(tier);
        let standing = self.standing.entry(tier).or_default();
        standing.is_limited(over_target)
    }
}

fn move_towards(mean: &mut f64, sample: f64, weight: f64) {
    *mean += weight * (sample - *mean);
}
