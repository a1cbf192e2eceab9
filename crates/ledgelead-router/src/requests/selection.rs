//! Which instance of a service gets a request.

use super::cold_start::ColdGate;
use super::statistics::{Statistics, StatisticsTable};
use crate::Timestamp;
use crate::directory::{Directory, Instance};
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::peers::SharedLoad;
use rand::RngExt;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Share of the time that is left within which an instance of the own zone
/// must be expected to answer; else other zones are looked at as well.
const OWN_ZONE_SHARE: f64 = 0.6;
/// By how much an instance of another zone must be faster to be preferred.
const OTHER_ZONE_GAIN: f64 = 0.75;
/// Largest share of a service's instances that may be passed over.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// What a failure costs, as a multiple of the time that is left: the request is
/// lost, or begins anew elsewhere.
const FAILURE_COST: f64 = 2.0;
/// Share of failures that is taken for chance: one failure alone stays below.
const CHANCE_FAILURES: f64 = 0.35;
/// Instances that are drawn where no slot is free (Mitzenmacher's power of choices;
/// more gain little).
const CHOICES: usize = 4;
/// Room for each slot with which a zone needs no other: below, requests wait for half
/// of the work of another on average.
const ENOUGH_ROOM: f64 = 0.5;
/// How old a digest is when the next one comes, with the reports that it rests on.
const DIGEST_AGE: Duration = Duration::from_millis(150);
/// Least service time that is reckoned with, so that its inverse stays finite.
const LEAST_SERVICE_TIME: Duration = Duration::from_millis(1);
/// How much longer an instance works while it is cold.
const COLD_FACTOR: f64 = 2.0;

/// What a selection rests on.
pub struct SelectionContext<'a> {
    /// The time.
    pub now: Timestamp,
    /// All instances.
    pub directory: &'a Directory,
    /// What this node has seen of them.
    pub statistics: &'a StatisticsTable,
    /// What other nodes of the zone have open.
    pub shared: &'a SharedLoad,
    /// This node's zone.
    pub zone: &'a ZoneName,
    /// How many zones have nodes.
    pub zones: u32,
    /// Which cold instances this node may send to.
    pub cold: ColdGate<'a>,
    /// Which mechanisms are on.
    pub mechanisms: Mechanisms,
}

/// An instance and when it is expected to answer.
#[derive(Clone, Debug)]
pub struct Selected {
    /// The instance.
    pub id: InstanceId,
    /// Expected time to its answer.
    pub expected: Duration,
    /// The expected time, and what a failure would cost.
    pub cost: Duration,
    /// Requests for each slot, this one with them.
    pub load_factor: f64,
    /// Slots of the instance.
    slots: f64,
    /// Requests that are open there, without this one.
    open: f64,
    /// Expected time of work for one request.
    service_time: Duration,
}

impl Selected {
    /// Requests that find a free slot there before the next digest: its free slots, and
    /// those that become free. None if it is unlikely to answer in the time left.
    fn room(&self, left: Duration) -> f64 {
        if self.cost > left.mul_f64(OWN_ZONE_SHARE) {
            return 0.0;
        }
        let service_time = self.service_time.max(LEAST_SERVICE_TIME);
        let finished = self.slots * DIGEST_AGE.as_secs_f64() / service_time.as_secs_f64();
        (self.slots + finished - self.open).max(0.0)
    }
}

impl SelectionContext<'_> {
    /// The best instance that was not tried yet, if there is any.
    /// `left` is the time in which an answer is worth most.
    pub fn select(
        &self,
        service: &ServiceName,
        tried: &[InstanceId],
        left: Duration,
        rng: &mut Pcg64Mcg,
    ) -> Option<Selected> {
        let serving: Vec<&Instance> = self
            .directory
            .of_service(service)
            .filter(|instance| instance.serves() && !self.is_unavailable(instance))
            .collect();
        let usable = self.without_ejected(&serving);
        let typical = self.typical_service_time(&serving, left);
        let expect = |instance: &Instance| self.expect(instance, typical, 1, left);
        let untried = usable
            .iter()
            .filter(|instance| !tried.contains(&instance.record.id))
            .filter(|instance| self.cold.admits(instance, self.now));
        let (own, other): (Vec<&Instance>, Vec<&Instance>) =
            untried.partition(|instance| instance.record.zone == *self.zone);
        let own: Vec<Selected> = own.into_iter().map(expect).collect();
        if self.draws_by_room() {
            let other: Vec<Selected> = other.into_iter().map(expect).collect();
            return self.select_by_room(own, other, left, rng);
        }
        let best_own = best(own, rng);
        let prefers = self.mechanisms.has(Mechanism::ZonePreference);
        let enough = prefers
            && best_own
                .as_ref()
                .is_some_and(|selected| selected.cost <= left.mul_f64(OWN_ZONE_SHARE));
        if enough {
            return best_own;
        }
        let best_other = best(other.into_iter().map(expect), rng);
        match (best_own, best_other) {
            (Some(own), Some(other)) => {
                let gain = if prefers { OTHER_ZONE_GAIN } else { 1.0 };
                let better = other.cost <= own.cost.mul_f64(gain);
                Some(if better { other } else { own })
            }
            (own, other) => own.or(other),
        }
    }

    /// Whether nodes choose by chance among instances with room. Where many nodes go by
    /// the same digest, all would take the instance that it shows as the best one.
    fn draws_by_room(&self) -> bool {
        self.mechanisms.has(Mechanism::FreeSlots) && self.shared.follows_digest(self.now)
    }

    /// An instance with room until the next digest: of the own zone, and of others the
    /// less room it has. Without any room, the best of a few that are drawn
    /// from all zones.
    fn select_by_room(
        &self,
        own: Vec<Selected>,
        other: Vec<Selected>,
        left: Duration,
        rng: &mut Pcg64Mcg,
    ) -> Option<Selected> {
        let preference = match self.mechanisms.has(Mechanism::ZonePreference) {
            true => weight_of_others(&own, &other, left),
            false => 1.0,
        };
        let weighted = |weight: f64| move |selected: &Selected| selected.room(left) * weight;
        let own_weights = own.iter().map(weighted(1.0));
        let weights: Vec<f64> = own_weights
            .chain(other.iter().map(weighted(preference)))
            .collect();
        let all: Vec<Selected> = own.into_iter().chain(other).collect();
        draw_by_room(&all, &weights, rng).or_else(|| {
            let drawn = (0..CHOICES).filter_map(|_| all.choose(rng).cloned());
            let drawn: Vec<Selected> = drawn.collect();
            best(drawn, rng)
        })
    }

    /// What the owner of a key is expected to need for one more request. All zones
    /// send to it; those whose open requests are not known count like the others.
    pub fn expect_owner(&self, owner: &Instance, left: Duration) -> Selected {
        let typical = self.typical_service_time(&[owner], left);
        let known = self.shared.zones(self.now).max(1);
        self.expect(owner, typical, self.zones.div_ceil(known).max(1), left)
    }

    /// What an instance is expected to need for one more request, by what the senders of
    /// this zone have open there.
    pub fn expect_one(&self, instance: &Instance, left: Duration) -> Selected {
        let typical = self.typical_service_time(&[instance], left);
        self.expect(instance, typical, 1, left)
    }

    fn expect(
        &self,
        instance: &Instance,
        typical: Duration,
        senders: u32,
        left: Duration,
    ) -> Selected {
        let id = &instance.record.id;
        let statistics = self.statistics.get(id);
        let own = statistics.map_or(0, |statistics| statistics.open);
        let told = if self.mechanisms.has(Mechanism::SharedLoad) {
            self.shared.open_at(id.stable_hash(), self.now)
        } else {
            0
        };
        let reported = statistics
            .and_then(|statistics| statistics.reported_open(self.now))
            // A digest is younger.
            .filter(|_| !self.shared.follows_digest(self.now));
        let open = own
            .saturating_add(told)
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
            .filter(|share| *share > CHANCE_FAILURES)
            .filter(|_| self.mechanisms.has(Mechanism::FailureShare))
            .unwrap_or(0.0);
        Selected {
            id: id.clone(),
            expected,
            cost: expected + left.mul_f64(failures * FAILURE_COST),
            load_factor,
            slots,
            open: f64::from(open),
            service_time,
        }
    }

    /// The time of work for one request at an instance that works as usual.
    fn service_time(&self, id: &InstanceId) -> Option<Duration> {
        let shared = || self.shared.service_time(id.stable_hash(), self.now);
        let own = || self.statistics.get(id)?.service_time(self.now);
        let shares = self.mechanisms.has(Mechanism::SharedSpeed);
        shares.then(shared).flatten().or_else(own)
    }

    /// How much longer than usual an instance takes for its work now, as far as that
    /// is known.
    fn slowness(&self, id: &InstanceId) -> f64 {
        if !self.mechanisms.has(Mechanism::Slowness) {
            return 1.0;
        }
        let own = self.statistics.get(id);
        let own = own.and_then(|seen| seen.slowness(self.now));
        let percent = own.or_else(|| self.shared.slowness(id.stable_hash(), self.now));
        percent.map_or(1.0, |percent| f64::from(percent) / 100.0)
    }

    /// The mean service time of the instances that are known.
    fn typical_service_time(&self, instances: &[&Instance], left: Duration) -> Duration {
        let known: Vec<Duration> = instances
            .iter()
            .filter_map(|instance| self.service_time(&instance.record.id))
            .collect();
        match u32::try_from(known.len()) {
            Ok(count) if count > 0 => known.iter().sum::<Duration>() / count,
            _ => left / 4,
        }
    }

    /// Whether an instance takes no requests of this node now.
    fn is_unavailable(&self, instance: &Instance) -> bool {
        let id = &instance.record.id;
        self.statistics.unavailable_for(id, self.now).is_some()
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

/// How much instances of other zones count beside those of the own: nothing as long as
/// the own zone has room, since bytes between zones are dear; fully once it has none.
fn weight_of_others(own: &[Selected], other: &[Selected], left: Duration) -> f64 {
    let room_a_slot = |zone: &[Selected]| {
        let room: f64 = zone.iter().map(|selected| selected.room(left)).sum();
        let slots: f64 = zone.iter().map(|selected| selected.slots).sum();
        room / slots.max(1.0)
    };
    let own = room_a_slot(own);
    if own >= ENOUGH_ROOM || room_a_slot(other) <= own {
        return 0.0;
    }
    1.0 - own / ENOUGH_ROOM
}

/// The better one of two instances that are drawn by their weights, if any has one.
fn draw_by_room(candidates: &[Selected], weights: &[f64], rng: &mut Pcg64Mcg) -> Option<Selected> {
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

/// The one with the lowest cost; one of them at random where
/// several are equal.
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
