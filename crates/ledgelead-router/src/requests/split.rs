//! Which requests of a split go to the service whose keys have owners.
//!
//! A route can split its requests between a service without keys, which has instances in
//! every zone, and one whose keys have owners, most of them in other zones. Each service
//! receives its share whichever requests it gets, so those with large bodies go to the
//! owners that cost least to reach: first those of the own zone, then small bodies.
//!
//! Each request has a probability. Its offset from the share is linear in how far the
//! request's cost lies from the mean cost, so that the offsets of many requests cancel
//! out, from the first request of a node on; what remains of them is carried to the next
//! requests. Dependent rounding turns the probabilities into decisions: each is met
//! exactly, and the number of requests sent differs from their sum by less than one.

use crate::Timestamp;
use crate::identity::ServiceName;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::time::Duration;

/// Shortest body, in bytes, that is placed by its cost. Below it, a request to another
/// zone costs hardly more than the heads of the exchange.
pub const LARGE_BODY_BYTES: usize = 8_192;
/// Part of the smaller share that is the least probability of either service, so that
/// each of them receives some requests of every kind.
const LEAST_PART: f64 = 0.1;
/// Part of the room for correction that one request too few or too many takes up. Lower
/// values leave the share of some tens of requests to chance, higher ones forgo savings.
const CORRECTION: f64 = 0.5;
/// Requests too few or too many from which on the share goes before the preference.
const FAR_OWED: f64 = 1.5;
/// Largest cost, in mean bodies: few very large bodies don't set the scale for others.
const MAX_COST: f64 = 2.0;
/// Observations that the share of local keys stands for before any request was seen.
const PRIOR_REQUESTS: u32 = 32;
/// Observations over which means are formed at most, so that they follow keys that move.
const MEAN_REQUESTS: u32 = 64;
/// Time without large requests after which a route is forgotten: it is removed, or its
/// balance of about one request is worth nothing.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// A request with a large body that both services of a route can serve.
#[derive(Clone, Copy, Debug)]
pub struct SplitRequest<'a> {
    /// The route's name.
    pub route: &'a str,
    /// The service whose keys have owners.
    pub keyed: &'a ServiceName,
    /// Its share of the route's requests, above 0 and below 1.
    pub share: f64,
    /// Length of the body.
    pub body_bytes: usize,
    /// Whether the owner of the key is in this node's zone, if there is an owner.
    pub is_local: Option<bool>,
}

/// What one route has sent, and the costs that it saw.
#[derive(Clone, Debug)]
struct Account {
    keyed: ServiceName,
    /// Requests that the probabilities so far have left the keyed service short of.
    owed: f64,
    rounding: Rounding,
    /// Mean cost of a request at the keyed service, in mean bodies.
    mean_cost: f64,
    /// Largest cost of late, at least that of a mean body.
    peak_cost: f64,
    /// Mean length of large bodies.
    mean_bytes: f64,
    /// Observations behind the means.
    observed: u32,
    used_at: Timestamp,
}

/// The accounts of all split routes at this node.
#[derive(Debug, Default)]
pub struct Splits {
    by_route: HashMap<String, Account>,
}

impl Splits {
    /// Whether a request goes to the keyed service.
    ///
    /// `local_keys` returns the share of the service's keys that have their owner in this
    /// node's zone; it is asked for once a route.
    pub fn draw(
        &mut self,
        request: &SplitRequest<'_>,
        local_keys: impl FnOnce() -> f64,
        now: Timestamp,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let known = self.by_route.get(request.route);
        if known.is_none_or(|known| known.keyed != *request.keyed) {
            let account = Account::new(request, local_keys(), now);
            self.by_route.insert(request.route.to_owned(), account);
        }
        match self.by_route.get_mut(request.route) {
            Some(account) => account.draw(request, now, rng),
            None => rng.random_range(0.0..1.0) < request.share,
        }
    }

    /// Forgets routes that have had no large requests for long.
    pub fn expire(&mut self, now: Timestamp) {
        self.by_route
            .retain(|_, account| account.used_at + FORGET_AFTER > now);
    }
}

impl Account {
    fn new(request: &SplitRequest<'_>, local_keys: f64, now: Timestamp) -> Account {
        Account {
            keyed: request.keyed.clone(),
            owed: 0.0,
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
        self.owed += request.share - probability;
        self.observe(request.body_bytes, cost);
        self.used_at = now;
        self.rounding.draw(probability, rng)
    }

    /// What the keyed service costs, in mean bodies. Without a known owner it counts as
    /// the mean, which prefers neither service.
    fn cost(&self, request: &SplitRequest<'_>) -> f64 {
        match request.is_local {
            Some(true) => 0.0,
            Some(false) => (request.body_bytes as f64 / self.mean_bytes).min(MAX_COST),
            None => self.mean_cost,
        }
    }

    /// How likely a request of this cost goes to the keyed service. The correction takes
    /// up as much room above as below, so that the bounds give it no direction.
    fn probability(&self, share: f64, cost: f64) -> f64 {
        let least = LEAST_PART * share.min(1.0 - share);
        let offset = self.slope(share, least) * (self.mean_cost - cost);
        let preferred = (share + offset).clamp(least, 1.0 - least);
        let room = (preferred - least).min(1.0 - least - preferred);
        let corrected = preferred + room * (CORRECTION * self.owed).clamp(-1.0, 1.0);
        let far = self.owed - self.owed.clamp(-FAR_OWED, FAR_OWED);
        (corrected + CORRECTION * far).clamp(least, 1.0 - least)
    }

    /// The steepest preference that keeps free requests and the dearest ones within the
    /// bounds.
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

/// Rounds a sequence of probabilities to decisions. Their number is the sum of the
/// probabilities, rounded down or up; chance decides which, so that no order of arrivals
/// has a fixed pattern of decisions.
#[derive(Clone, Debug, Default)]
struct Rounding {
    /// The sum so far, without its whole part.
    fraction: f64,
    /// Whether the number of decisions is the sum rounded up.
    is_ahead: bool,
}

impl Rounding {
    fn draw(&mut self, probability: f64, rng: &mut Pcg64Mcg) -> bool {
        let sum = self.fraction + probability;
        let passes_whole = sum >= 1.0;
        let conditional = match (self.is_ahead, passes_whole) {
            (true, false) => 0.0,
            (false, false) => probability / (1.0 - self.fraction),
            (false, true) => 1.0,
            (true, true) => (sum - 1.0) / self.fraction.max(f64::EPSILON),
        };
        let is_drawn = rng.random_range(0.0..1.0) < conditional;
        self.is_ahead = match passes_whole {
            true => self.is_ahead && is_drawn,
            false => self.is_ahead || is_drawn,
        };
        self.fraction = sum - if passes_whole { 1.0 } else { 0.0 };
        is_drawn
    }
}
