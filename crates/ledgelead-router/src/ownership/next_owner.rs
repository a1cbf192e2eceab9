//! Chooses next owners for ranges that no instance holds.

use super::load::KeyLoad;
use super::planner::Candidate;
use crate::dialect::KeyRange;
use crate::identity::InstanceId;

/// Utilization up to which an instance is given ranges. It is above 1 because rates and
/// capacities are estimates; beyond it, a further range would take time from the ranges that
/// the instance already serves.
const MAX_PLACED_UTILIZATION: f64 = 1.2;
/// The same as a multiple of the mean utilization, where that is higher: load that exceeds the
/// capacity of all instances is shared among them instead of staying without an owner.
const MAX_PLACED_IMBALANCE: f64 = 1.5;
/// Minimum spare share of an instance's capacity for which a range is split.
const MIN_SPARE_SHARE: f64 = 0.05;

/// An instance that can be given ranges.
#[derive(Clone, Debug)]
struct EligibleInstance {
    id: InstanceId,
    capacity: f64,
    /// Requests a second for all keys that it has or is about to get.
    rate: f64,
    keys: u32,
}

impl EligibleInstance {
    fn utilization_with(&self, rate: f64) -> f64 {
        // Without any known load, the number of keys decides.
        let tie = f64::from(self.keys) * 1e-9;
        (self.rate + rate) / self.capacity + tie
    }

    /// Requests a second that it can still take up to a utilization.
    fn spare_capacity(&self, utilization: f64) -> f64 {
        utilization * self.capacity - self.rate
    }
}

/// A part of a free range, and its next owner.
#[derive(Clone, Debug, PartialEq)]
pub struct RangePlacement {
    /// The keys.
    pub range: KeyRange,
    /// Their next owner.
    pub owner: InstanceId,
}

/// The instances of a service that can currently be given free ranges.
#[derive(Clone)]
pub struct NextOwners<'a> {
    instances: Vec<EligibleInstance>,
    load: Option<&'a KeyLoad>,
    /// Utilization up to which instances are given ranges.
    max_utilization: f64,
}

impl<'a> NextOwners<'a> {
    /// Instances that accept keys, or all if none does. `load` is none while no load is known.
    pub fn new(candidates: Vec<Candidate>, load: Option<&'a KeyLoad>) -> NextOwners<'a> {
        let any_accepts = candidates.iter().any(|candidate| candidate.accepts_keys);
        let rate = |range: &KeyRange| load.map_or(0.0, |load| load.rate(*range));
        let instance = |candidate: Candidate| EligibleInstance {
            rate: candidate.ranges.iter().map(rate).sum::<f64>() + candidate.incoming,
            id: candidate.id,
            capacity: candidate.capacity,
            keys: candidate.keys,
        };
        let instances: Vec<EligibleInstance> = candidates
            .into_iter()
            .filter(|candidate| candidate.accepts_keys || !any_accepts)
            .map(instance)
            .collect();
        let capacity: f64 = instances.iter().map(|instance| instance.capacity).sum();
        let mean = rate(&KeyRange::ALL) / capacity;
        NextOwners {
            instances,
            load,
            max_utilization: MAX_PLACED_UTILIZATION.max(mean * MAX_PLACED_IMBALANCE),
        }
    }

    /// Assigns a free range to the least utilized instances, in parts if it exceeds the spare
    /// capacity of one. The remainder stays free until there is spare capacity. A single key
    /// that exceeds the spare capacity of every instance goes to the least utilized one, unless
    /// that has less than `MIN_SPARE_SHARE` of its capacity to spare.
    pub fn assign(&mut self, range: KeyRange) -> Vec<RangePlacement> {
        let mut parts = Vec::new();
        let mut left = Some(range);
        while let Some(range) = left.take() {
            let rate = self.rate(range);
            let Some(least) = self.least_utilized(rate) else {
                break;
            };
            let room = self.instances[least].spare_capacity(self.max_utilization);
            let (taken, rest) = if rate <= room {
                (range, None)
            } else if room < MIN_SPARE_SHARE * self.instances[least].capacity {
                break;
            } else {
                self.split_front(range, room)
            };
            parts.push(self.place(least, taken));
            left = rest;
        }
        parts
    }

    fn rate(&self, range: KeyRange) -> f64 {
        self.load.map_or(0.0, |load| load.rate(range))
    }

    /// The instance with the least utilization after adding this many requests a second.
    fn least_utilized(&self, rate: f64) -> Option<usize> {
        let utilization = |index: &usize| self.instances[*index].utilization_with(rate);
        let indices = 0..self.instances.len();
        indices.min_by(|left, right| utilization(left).total_cmp(&utilization(right)))
    }

    /// Splits a range into a prefix that receives no more than `room` requests a second, but
    /// has at least one key, and the rest.
    fn split_front(&self, range: KeyRange, room: f64) -> (KeyRange, Option<KeyRange>) {
        let single = KeyRange {
            last: range.first,
            ..range
        };
        let cuts = self.load.map(|load| load.cuts(range, room, true));
        let fitting = cuts.into_iter().flatten().find(|(_, rate)| *rate <= room);
        let front = fitting.map_or(single, |(front, _)| front);
        (front, range.without(front).pop())
    }

    fn place(&mut self, index: usize, range: KeyRange) -> RangePlacement {
        let rate = self.rate(range);
        let instance = &mut self.instances[index];
        instance.rate += rate;
        instance.keys += range.len();
        RangePlacement {
            range,
            owner: instance.id.clone(),
        }
    }
}
