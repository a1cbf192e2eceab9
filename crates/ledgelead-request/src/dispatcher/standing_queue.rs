//! Standing queues: a tier whose work has waited too long for some time is
//! offered more than it gets, and a long queue only makes all of it late.
//!
//! As in controlled delay (Nichols and Jacobson, 2012) a queue that drains
//! now and then is a burst, which may use the time up to its deadlines; one
//! that does not is an overload, and the wait is limited to a target from then
//! on. The limit goes when few wishes meet it.
//!
//! Under a heavy overload the target is one service time: waiting longer
//! serves nobody, since there is always other work. Under a slight one it is
//! several, since a short queue would refuse work that a free slot could have
//! taken a moment later. A tier that has used less than its share meets no
//! limit.

use super::queue::Queue;
use ledgelead_types::{Span, TierId, Time};

/// How long every wait has to be above the target before it is limited.
const STANDING_TIME: Span = Span::from_seconds(1);

/// Weight of a wish in the share of a tier's wishes that meet the limit.
const REQUEST_WEIGHT: f64 = 0.02;
/// Share of wishes that is assumed to meet a new limit.
const INITIAL_LIMITED_SHARE: f64 = 0.1;
/// Share of wishes that meet the limit below which the limit goes.
const MIN_LIMITED_SHARE: f64 = 0.02;
/// Weight of a wish or a grant in the excess.
const EXCESS_WEIGHT: f64 = 0.01;
/// Excess from which an overload is heavy: one and a half times the capacity.
const HEAVY_EXCESS: f64 = 0.2;
/// Service times that the target has under the slightest overload, beyond
/// the one that it always has.
const MAX_EXTRA_SERVICE_TIMES: f64 = 7.0;

/// Wishes that may always wait, so that a returned permit finds work: the
/// limit costs no capacity.
const MIN_QUEUED: usize = 3;

/// Waits of one tier in one queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StandingQueue {
    /// Since when every wait was above the target.
    above_since: Option<Time>,
    /// Share of wishes that meet the limit, while it holds.
    over_limit: Option<f64>,
}

impl StandingQueue {
    /// Takes in how long a wish has waited that is served now. Nothing stands
    /// while no service time was measured and the target is zero.
    fn served(&mut self, now: Time, waited: Span, target: Span) {
        if waited <= target || target == Span::ZERO {
            self.above_since = None;
            return;
        }
        let since = *self.above_since.get_or_insert(now);
        if now >= since + STANDING_TIME && self.over_limit.is_none() {
            self.over_limit = Some(INITIAL_LIMITED_SHARE);
        }
    }

    /// Takes a wish in; whether it meets the limit.
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
    /// Wait to which a tier is limited whose queue stands.
    pub(super) fn target_wait(&self, service_time: Span) -> Span {
        let slight = 1.0 - (self.excess / HEAVY_EXCESS).clamp(0.0, 1.0);
        service_time.times(1.0 + MAX_EXTRA_SERVICE_TIMES * slight)
    }

    /// Takes in how long a wish has waited that is served now.
    pub(super) fn waited(&mut self, now: Time, tier: TierId, waited: Span, service_time: Span) {
        let target = self.target_wait(service_time);
        let standing = self.standing.entry(tier).or_default();
        standing.served(now, waited, target);
        move_towards(&mut self.excess, -1.0, EXCESS_WEIGHT);
    }

    /// Takes a new wish in; whether its expected wait is above its tier's
    /// limit.
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
