//! Selects the instance of a service for a request.

use super::cold_start::ColdGate;
use super::statistics::{Statistics, StatisticsTable};
use crate::Timestamp;
use crate::directory::{Directory, Instance};
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::peers::SharedLoad;
use crate::reachability::{Path, Reachability};
use rand::RngExt;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Share of the time left within which an instance of the own zone must be expected to answer;
/// otherwise other zones are considered too.
const OWN_ZONE_TIME_SHARE: f64 = 0.6;
/// Maximum cost of an instance of another zone, relative to the best one of the own zone, for
/// it to be preferred.
const MAX_OTHER_ZONE_COST: f64 = 0.75;
/// Maximum share of a service's instances that may be ejected.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Share of a service's instances that this node must reach itself for the others not to be
/// used by way of peers.
const MIN_DIRECT_SHARE: f64 = 0.5;
/// Cost of a failure as a multiple of the time left: the request is lost, or starts over
/// elsewhere.
const FAILURE_COST: f64 = 2.0;
/// Failure share up to which failures are attributed to chance; a single failure stays below
/// it.
const MAX_CHANCE_FAILURE_SHARE: f64 = 0.35;
/// Number of random candidates if no slot is free (Mitzenmacher's power of choices; more gain
/// little).
const CHOICES: usize = 4;
/// Free slots per slot above which a zone needs no help from others. Below it, requests wait
/// on average for half of another request's service time.
const ENOUGH_FREE_SLOTS: f64 = 0.5;
/// Age of a digest when the next one arrives, including the reports that it is based on.
const DIGEST_AGE: Duration = Duration::from_millis(150);
/// Minimum assumed service time, so that its inverse stays finite.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Factor by which a cold instance is slower.
const COLD_FACTOR: f64 = 2.0;

/// Inputs of a selection.
pub struct SelectionContext<'a> {
    /// The current time.
    pub now: Timestamp,
    /// Known instances.
    pub directory: &'a Directory,
    /// This node's observations of them.
    pub statistics: &'a StatisticsTable,
    /// Open requests of the other nodes in the zone.
    pub shared: &'a SharedLoad,
    /// This node's links to the instances.
    pub reachability: &'a Reachability,
    /// This node's zone.
    pub zone: &'a ZoneName,
    /// Number of zones that have nodes.
    pub zones: u32,
    /// Decides which cold instances this node may send to.
    pub cold: ColdGate<'a>,
    /// Enabled mechanisms.
    pub mechanisms: Mechanisms,
}

/// An instance and its expected response time.
#[derive(Clone, Debug)]
pub struct Selected {
    /// The instance.
    pub id: InstanceId,
    /// Expected time to the response.
    pub expected: Duration,
    /// The expected time plus the expected cost of a failure.
    pub cost: Duration,
    /// Requests per slot, including this one.
    pub load_factor: f64,
    /// Slots of the instance.
    slots: f64,
    /// Open requests there, without this one.
    open: f64,
    /// Expected service time of one request.
    service_time: Duration,
}

impl Selected {
    /// Number of requests that find a free slot there before the next digest: the free slots,
    /// and those that become free until then. Zero if the instance is unlikely to answer in
    /// the time left.
    fn free_capacity(&self, time_left: Duration) -> f64 {
        if self.cost > time_left.mul_f64(OWN_ZONE_TIME_SHARE) {
            return 0.0;
        }
        let service_time = self.service_time.max(MIN_SERVICE_TIME);
        let finished = self.slots * DIGEST_AGE.as_secs_f64() / service_time.as_secs_f64();
        (self.slots + finished - self.open).max(0.0)
    }
}

impl SelectionContext<'_> {
    /// Selects the best instance that was not tried yet, if there is any. `time_left` is the
    /// time until the target latency, or until the deadline once that has passed.
    pub fn select(
        &self,
        service: &ServiceName,
        tried: &[InstanceId],
        time_left: Duration,
        rng: &mut Pcg64Mcg,
    ) -> Option<Selected> {
        let serving: Vec<&Instance> = self
            .directory
            .of_service(service)
            .filter(|instance| instance.serves() && !self.is_unavailable(instance))
            .collect();
        let reachable = self.reachable(&serving);
        let usable = self.without_ejected(&reachable);
        let typical = self.typical_service_time(&serving, time_left);
        let estimate = |instance: &Instance| self.estimate(instance, typical, 1, time_left);
        let untried = usable
            .iter()
            .filter(|instance| !tried.contains(&instance.record.id))
            .filter(|instance| self.cold.admits(instance, self.now));
        let (own, other): (Vec<&Instance>, Vec<&Instance>) =
            untried.partition(|instance| instance.record.zone == *self.zone);
        let own: Vec<Selected> = own.into_iter().map(estimate).collect();
        if self.selects_by_free_capacity() {
            let other: Vec<Selected> = other.into_iter().map(estimate).collect();
            return self.select_by_free_capacity(own, other, time_left, rng);
        }
        let best_own = best(own, rng);
        let prefers = self.mechanisms.has(Mechanism::ZonePreference);
        let enough = prefers
            && best_own
                .as_ref()
                .is_some_and(|selected| selected.cost <= time_left.mul_f64(OWN_ZONE_TIME_SHARE));
        if enough {
            return best_own;
        }
        let best_other = best(other.into_iter().map(estimate), rng);
        match (best_own, best_other) {
            (Some(own), Some(other)) => {
                let max_cost = if prefers { MAX_OTHER_ZONE_COST } else { 1.0 };
                let better = other.cost <= own.cost.mul_f64(max_cost);
                Some(if better { other } else { own })
            }
            (own, other) => own.or(other),
        }
    }

    /// Whether instances with free capacity are selected at random. When many nodes rely on
    /// the same digest, all of them would otherwise pick the instance that looks best in it.
    fn selects_by_free_capacity(&self) -> bool {
        self.mechanisms.has(Mechanism::FreeSlots) && self.shared.follows_digest(self.now)
    }

    /// Selects an instance with free capacity until the next digest from the own zone, and
    /// from other zones the less capacity the own zone has. If none has any, selects the best
    /// of a few random candidates from all zones.
    fn select_by_free_capacity(
        &self,
        own: Vec<Selected>,
        other: Vec<Selected>,
        time_left: Duration,
        rng: &mut Pcg64Mcg,
    ) -> Option<Selected> {
        let preference = match self.mechanisms.has(Mechanism::ZonePreference) {
            true => other_zone_weight(&own, &other, time_left),
            false => 1.0,
        };
        let weighted =
            |weight: f64| move |selected: &Selected| selected.free_capacity(time_left) * weight;
        let own_weights = own.iter().map(weighted(1.0));
        let weights: Vec<f64> = own_weights
            .chain(other.iter().map(weighted(preference)))
            .collect();
        let all: Vec<Selected> = own.into_iter().chain(other).collect();
        draw_by_weight(&all, &weights, rng).or_else(|| {
            let drawn = (0..CHOICES).filter_map(|_| all.choose(rng).cloned());
            let drawn: Vec<Selected> = drawn.collect();
            best(drawn, rng)
        })
    }

    /// Estimates one more request at the owner of a key. All zones send to an owner; zones
    /// whose open requests are unknown are assumed to be like the others.
    pub fn estimate_owner(&self, owner: &Instance, time_left: Duration) -> Selected {
        let typical = self.typical_service_time(&[owner], time_left);
        let known = self.shared.zones(self.now).max(1);
        self.estimate(owner, typical, self.zones.div_ceil(known).max(1), time_left)
    }

    /// Estimates one more request at an instance from the open requests of this zone's nodes.
    pub fn estimate_instance(&self, instance: &Instance, time_left: Duration) -> Selected {
        let typical = self.typical_service_time(&[instance], time_left);
        self.estimate(instance, typical, 1, time_left)
    }

    fn estimate(
        &self,
        instance: &Instance,
        typical: Duration,
        senders: u32,
        time_left: Duration,
    ) -> Selected {
        let id = &instance.record.id;
        let statistics = self.statistics.get(id);
        let own = statistics.map_or(0, |statistics| statistics.open);
        let others = if self.mechanisms.has(Mechanism::SharedLoad) {
            self.shared.open_at(id.stable_hash(), self.now)
        } else {
            0
        };
        let reported = statistics
            .and_then(|statistics| statistics.reported_open(self.now))
            // A digest is more recent.
            .filter(|_| !self.shared.follows_digest(self.now));
        let open = own
            .saturating_add(others)
            .saturating_mul(senders)
            .max(reported.unwrap_or(0));
        let slots = f64::from(instance.record.slots.max(1));
        let load_factor = (f64::from(open) + 1.0) / slots;
        let expects_cold = self.mechanisms.has(Mechanism::ColdFactor);
        let cold = if expects_cold && instance.is_cold(self.now) {
            COLD_FACTOR
        } else {
            1.0
        };
        let service_time = self
            .service_time(id)
            .unwrap_or(typical.mul_f64(cold))
            .mul_f64(self.slowness(id));
        let expected = service_time.mul_f64(load_factor.max(1.0));
        let failures = statistics
            .map(|statistics| statistics.failure_share(self.now))
            .filter(|share| *share > MAX_CHANCE_FAILURE_SHARE)
            .filter(|_| self.mechanisms.has(Mechanism::FailureShare))
            .unwrap_or(0.0);
        Selected {
            id: id.clone(),
            expected,
            cost: expected + time_left.mul_f64(failures * FAILURE_COST),
            load_factor,
            slots,
            open: f64::from(open),
            service_time,
        }
    }

    /// The usual service time of an instance.
    fn service_time(&self, id: &InstanceId) -> Option<Duration> {
        let shared = || self.shared.service_time(id.stable_hash(), self.now);
        let own = || self.statistics.get(id)?.service_time(self.now);
        let shares = self.mechanisms.has(Mechanism::SharedSpeed);
        shares.then(shared).flatten().or_else(own)
    }

    /// The factor by which an instance is currently slower than usual, as far as it is known.
    fn slowness(&self, id: &InstanceId) -> f64 {
        if !self.mechanisms.has(Mechanism::Slowness) {
            return 1.0;
        }
        let own = self.statistics.get(id);
        let own = own.and_then(|seen| seen.slowness(self.now));
        let percent = own.or_else(|| self.shared.slowness(id.stable_hash(), self.now));
        percent.map_or(1.0, |percent| f64::from(percent) / 100.0)
    }

    /// The mean service time of the instances for which it is known.
    fn typical_service_time(&self, instances: &[&Instance], time_left: Duration) -> Duration {
        let known: Vec<Duration> = instances
            .iter()
            .filter_map(|instance| self.service_time(&instance.record.id))
            .collect();
        match u32::try_from(known.len()) {
            Ok(count) if count > 0 => known.iter().sum::<Duration>() / count,
            _ => time_left / 4,
        }
    }

    /// Whether an instance currently accepts no requests from this node.
    fn is_unavailable(&self, instance: &Instance) -> bool {
        let id = &instance.record.id;
        self.statistics.unavailable_for(id, self.now).is_some()
    }

    /// The instances that this node reaches itself, or if those are too few, also those that
    /// peers may reach.
    fn reachable<'a>(&self, serving: &[&'a Instance]) -> Vec<&'a Instance> {
        let path = |instance: &Instance| self.reachability.path(&instance.record.id, self.now);
        let by = |accepts: fn(Path) -> bool| -> Vec<&'a Instance> {
            let accepted = serving.iter().filter(|instance| accepts(path(instance)));
            accepted.copied().collect()
        };
        let direct = by(|path| path == Path::Direct);
        if direct.len() as f64 >= serving.len() as f64 * MIN_DIRECT_SHARE {
            return direct;
        }
        by(|path| path != Path::Unreachable)
    }

    fn without_ejected<'a>(&self, serving: &[&'a Instance]) -> Vec<&'a Instance> {
        let is_ejected = |instance: &&&Instance| {
            self.statistics
                .get(&instance.record.id)
                .is_some_and(|statistics: &Statistics| statistics.is_ejected(self.now))
        };
        let ejected = serving.iter().filter(is_ejected).count();
        let ejects = self.mechanisms.has(Mechanism::Ejection);
        if !ejects || ejected as f64 > serving.len() as f64 * MAX_EJECTED_SHARE {
            return serving.to_vec();
        }
        serving
            .iter()
            .filter(|instance| !is_ejected(instance))
            .copied()
            .collect()
    }
}

/// Weight of instances in other zones relative to the own zone: zero as long as the own zone
/// has free capacity, since traffic between zones is expensive, and one once it has none.
fn other_zone_weight(own: &[Selected], other: &[Selected], time_left: Duration) -> f64 {
    let free_capacity_per_slot = |zone: &[Selected]| {
        let free_capacity: f64 = zone
            .iter()
            .map(|selected| selected.free_capacity(time_left))
            .sum();
        let slots: f64 = zone.iter().map(|selected| selected.slots).sum();
        free_capacity / slots.max(1.0)
    };
    let own = free_capacity_per_slot(own);
    if own >= ENOUGH_FREE_SLOTS || free_capacity_per_slot(other) <= own {
        return 0.0;
    }
    1.0 - own / ENOUGH_FREE_SLOTS
}

/// The better of two instances drawn by weight, if any has a weight.
fn draw_by_weight(
    candidates: &[Selected],
    weights: &[f64],
    rng: &mut Pcg64Mcg,
) -> Option<Selected> {
    let places = WeightedIndex::new(weights).ok()?;
    let first = &candidates[places.sample(rng)];
    let second = &candidates[places.sample(rng)];
    let better = if first.cost <= second.cost {
        first
    } else {
        second
    };
    Some(better.clone())
}

/// The instance with the lowest cost, chosen at random among equal ones.
fn best(candidates: impl IntoIterator<Item = Selected>, rng: &mut Pcg64Mcg) -> Option<Selected> {
    let mut chosen: Option<Selected> = None;
    let mut equal = 1u32;
    for candidate in candidates {
        let replace = match &chosen {
            None => true,
            Some(best) if candidate.cost == best.cost => {
                equal += 1;
                rng.random_range(0..equal) == 0
            }
            Some(best) => {
                let better = candidate.cost < best.cost;
                if better {
                    equal = 1;
                }
                better
            }
        };
        if replace {
            chosen = Some(candidate);
        }
    }
    chosen
}
