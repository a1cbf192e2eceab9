//! Decides which requests of a split route go to the sharded service.
//!
//! A route can split its requests between a service without keys, which has instances in every
//! zone, and a sharded one, most of whose owners are in other zones. Each service gets its
//! configured share, whichever requests make it up. So among requests with large bodies, the
//! sharded service gets those whose owners are cheapest to reach: first the ones with an owner
//! in the own zone, then those with smaller bodies.
//!
//! Each request has a probability. Its offset from the share is linear in the difference
//! between the request's cost and the mean cost, so that the offsets of many requests cancel
//! out, beginning with the first request of a node. The remainder is carried over to the next
//! requests. Dependent rounding turns the probabilities into decisions: each probability is
//! met exactly, and the number of requests sent differs from the sum of probabilities by less
//! than one.

use crate::Timestamp;
use crate::identity::ServiceName;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::time::Duration;

/// Minimum body length in bytes for a request to be placed by its cost. Below it, a request to
/// another zone costs hardly more than the headers of the exchange.
pub const LARGE_BODY_BYTES: usize = 8_192;
/// The minimum probability of either service, as a fraction of the smaller share, so that each
/// of them gets some requests of every kind.
const MIN_PROBABILITY_FRACTION: f64 = 0.1;
/// Fraction of the available correction that is used for each request too few or too many.
/// Lower values leave the share of some tens of requests to chance, higher ones save less
/// traffic.
const CORRECTION: f64 = 0.5;
/// Deficit or surplus in requests beyond which the share takes precedence over the preference.
const LARGE_DEFICIT: f64 = 1.5;
/// Maximum cost, in mean bodies, so that a few very large bodies don't set the scale for the
/// others.
const MAX_COST: f64 = 2.0;
/// Number of observations that the initial share of local keys counts for.
const PRIOR_REQUESTS: u32 = 32;
/// Maximum number of observations in the means, so that they follow keys that move.
const MEAN_REQUESTS: u32 = 64;
/// Time without large requests after which a route is dropped: it was removed, or its balance
/// of about one request no longer matters.
const UNUSED_TTL: Duration = Duration::from_secs(600);

/// A request with a large body that both services of a route can handle.
#[derive(Clone, Copy, Debug)]
pub struct SplitRequest<'a> {
    /// The route's name.
    pub route: &'a str,
    /// The sharded service.
    pub sharded: &'a ServiceName,
    /// The sharded service's share of the route's requests, above 0 and below 1.
    pub share: f64,
    /// Length of the body.
    pub body_bytes: usize,
    /// Whether the key's owner is in this node's zone, if there is an owner.
    pub is_local: Option<bool>,
}

/// State of one route: its balance and the observed costs.
#[derive(Clone, Debug)]
struct RouteState {
    sharded: ServiceName,
    /// Number of requests that the sharded service is short of, according to the probabilities
    /// so far.
    deficit: f64,
    rounding: Rounding,
    /// Mean cost of a request at the sharded service, in mean bodies.
    mean_cost: f64,
    /// Largest recent cost, at least that of a mean body.
    peak_cost: f64,
    /// Mean length of large bodies.
    mean_bytes: f64,
    /// Number of observations in the means.
    observed: u32,
    used_at: Timestamp,
}

/// State of all split routes at this node.
#[derive(Debug, Default)]
pub struct Splits {
    by_route: HashMap<String, RouteState>,
}

impl Splits {
    /// Whether a request goes to the sharded service.
    ///
    /// `local_keys` returns the share of the service's keys whose owner is in this node's
    /// zone; it is called once per route.
    pub fn draw(
        &mut self,
        request: &SplitRequest<'_>,
        local_keys: impl FnOnce() -> f64,
        now: Timestamp,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let known = self.by_route.get(request.route);
        if known.is_none_or(|known| known.sharded != *request.sharded) {
            let state = RouteState::new(request, local_keys(), now);
            self.by_route.insert(request.route.to_owned(), state);
        }
        match self.by_route.get_mut(request.route) {
            Some(state) => state.draw(request, now, rng),
            None => rng.random_range(0.0..1.0) < request.share,
        }
    }

    /// Drops routes that have had no large requests for a long time.
    pub fn expire(&mut self, now: Timestamp) {
        self.by_route
            .retain(|_, state| state.used_at + UNUSED_TTL > now);
    }
}

impl RouteState {
    fn new(request: &SplitRequest<'_>, local_keys: f64, now: Timestamp) -> RouteState {
        RouteState {
            sharded: request.sharded.clone(),
            deficit: 0.0,
            rounding: Rounding::default(),
            mean_cost: 1.0 - local_keys,
            peak_cost: 1.0,
            mean_bytes: request.body_bytes as f64,
            observed: PRIOR_REQUESTS,
            used_at: now,
        }
    }

    fn draw(&mut self, request: &SplitRequest<'_>, now: Timestamp, rng: &mut Pcg64Mcg) -> bool {
        let cost = self.cost(request);
        let probability = self.probability(request.share, cost);
        self.deficit += request.share - probability;
        self.observe(request.body_bytes, cost);
        self.used_at = now;
        self.rounding.draw(probability, rng)
    }

    /// The cost of the request at the sharded service, in mean bodies. Without a known owner
    /// it is the mean cost, which favors neither service.
    fn cost(&self, request: &SplitRequest<'_>) -> f64 {
        match request.is_local {
            Some(true) => 0.0,
            Some(false) => (request.body_bytes as f64 / self.mean_bytes).min(MAX_COST),
            None => self.mean_cost,
        }
    }

    /// The probability that a request of this cost goes to the sharded service. The correction
    /// has equal room in both directions, so that the bounds don't bias it.
    fn probability(&self, share: f64, cost: f64) -> f64 {
        let least = MIN_PROBABILITY_FRACTION * share.min(1.0 - share);
        let offset = self.slope(share, least) * (self.mean_cost - cost);
        let preferred = (share + offset).clamp(least, 1.0 - least);
        let room = (preferred - least).min(1.0 - least - preferred);
        let corrected = preferred + room * (CORRECTION * self.deficit).clamp(-1.0, 1.0);
        let excess = self.deficit - self.deficit.clamp(-LARGE_DEFICIT, LARGE_DEFICIT);
        (corrected + CORRECTION * excess).clamp(least, 1.0 - least)
    }

    /// The steepest preference that keeps both free requests and the most expensive ones
    /// within the bounds.
    fn slope(&self, share: f64, least: f64) -> f64 {
        let above = (1.0 - least - share) / self.mean_cost.max(f64::EPSILON);
        let below = (share - least) / (self.peak_cost - self.mean_cost).max(f64::EPSILON);
        above.min(below)
    }

    fn observe(&mut self, body_bytes: usize, cost: f64) {
        self.observed = (self.observed + 1).min(MEAN_REQUESTS);
        let weight = 1.0 / f64::from(self.observed);
        self.mean_cost += (cost - self.mean_cost) * weight;
        self.mean_bytes += (body_bytes as f64 - self.mean_bytes) * weight;
        let decayed = self.peak_cost + (1.0 - self.peak_cost) / f64::from(MEAN_REQUESTS);
        self.peak_cost = decayed.max(cost);
    }
}

/// Rounds a sequence of probabilities to decisions. The number of positive decisions is the
/// sum of the probabilities, rounded up or down at random, so that no order of arrivals leads
/// to a fixed pattern.
#[derive(Clone, Debug, Default)]
struct Rounding {
    /// Fractional part of the sum so far.
    fraction: f64,
    /// Whether the number of positive decisions is the sum rounded up.
    is_rounded_up: bool,
}

impl Rounding {
    fn draw(&mut self, probability: f64, rng: &mut Pcg64Mcg) -> bool {
        let sum = self.fraction + probability;
        let passes_whole = sum >= 1.0;
        let conditional = match (self.is_rounded_up, passes_whole) {
            (true, false) => 0.0,
            (false, false) => probability / (1.0 - self.fraction),
            (false, true) => 1.0,
            (true, true) => (sum - 1.0) / self.fraction.max(f64::EPSILON),
        };
        let is_drawn = rng.random_range(0.0..1.0) < conditional;
        self.is_rounded_up = match passes_whole {
            true => self.is_rounded_up && is_drawn,
            false => self.is_rounded_up || is_drawn,
        };
        self.fraction = sum - if passes_whole { 1.0 } else { 0.0 };
        is_drawn
    }
}
