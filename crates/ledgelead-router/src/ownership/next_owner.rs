//! Next owners for ranges that nobody holds.

use super::load::KeyLoad;
use super::planner::Candidate;
use crate::dialect::KeyRange;
use crate::identity::InstanceId;

/// Utilisation up to which an instance is given ranges. Somewhat above all that it
/// can work on, since rates and capacities are estimates; beyond, one range more
/// would take the time of those that it serves.
const MAX_PLACED_UTILISATION: f64 = 1.2;
/// The same as a multiple of the mean utilisation, where that is higher: what all
/// instances together can't bear is shared by them, not left to nobody.
const MAX_PLACED_IMBALANCE: f64 = 1.5;
/// Least part of an instance's capacity that a part of a range is cut off for.
const MIN_SPARE_SHARE: f64 = 0.05;

/// An instance that ranges can be given to.
#[derive(Clone, Debug)]
struct EligibleInstance {
    id: InstanceId,
    capacity: f64,
    /// Requests a second for all keys that it has or is to get.
    rate: f64,
    keys: u32,
}

impl EligibleInstance {
    fn utilisation_with(&self, rate: f64) -> f64 {
        // Without any known load, keys count.
        let tie = f64::from(self.keys) * 1e-9;
        (self.rate + rate) / self.capacity + tie
    }

    /// Requests a second that it can take up to a utilisation.
    fn spare_capacity(&self, utilisation: f64) -> f64 {
        utilisation * self.capacity - self.rate
    }
}

/// A part of a free range, and who gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct RangePlacement {
    /// The keys.
    pub range: KeyRange,
    /// Their next owner.
    pub owner: InstanceId,
}

/// The instances of a service that can be given free ranges at one moment.
#[derive(Clone)]
pub struct NextOwners<'a> {
    instances: Vec<EligibleInstance>,
    load: Option<&'a KeyLoad>,
    /// Up to which utilisation they are given ranges.
    max_utilisation: f64,
}

impl<'a> NextOwners<'a> {
    /// Those that take keys, or all where none does. Without a `load` none is known.
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
            max_utilisation: MAX_PLACED_UTILISATION.max(mean * MAX_PLACED_IMBALANCE),
        }
    }

    /// Gives a free range to the instances that are least utilised, in parts where it
    /// is more than one of them can bear. What is left over stays free until there is
    /// room. A single key that is too much for any instance goes to the one that is
    /// least utilised.
    pub fn assign(&mut self, range: KeyRange) -> Vec<RangePlacement> {
        let mut parts = Vec::new();
        let mut left = Some(range);
        while let Some(range) = left.take() {
            let rate = self.rate(range);
            let Some(least) = self.least_utilised(rate) else {
                break;
            };
            let room = self.instances[least].spare_capacity(self.max_utilisation);
            let (taken, rest) = if rate <= room {
                (range, None)
            } else if room < MIN_SPARE_SHARE * self.instances[least].capacity {
                break;
            } else {
                self.front(range, room)
            };
            parts.push(self.give(least, taken));
            left = rest;
        }
        parts
    }

    fn rate(&self, range: KeyRange) -> f64 {
        self.load.map_or(0.0, |load| load.rate(range))
    }

    /// The one that is least utilised with this many requests a second more.
    fn least_utilised(&self, rate: f64) -> Option<usize> {
        let utilisation = |place: &usize| self.instances[*place].utilisation_with(rate);
        let places = 0..self.instances.len();
        places.min_by(|left, right| utilisation(left).total_cmp(&utilisation(right)))
    }

    /// The front of a range that carries no more than `room`, one key at least, and
    /// the rest.
    fn front(&self, range: KeyRange, room: f64) -> (KeyRange, Option<KeyRange>) {
        let single = KeyRange {
            last: range.first,
            ..range
        };
        let cuts = self.load.map(|load| load.cuts(range, room, true));
        let fitting = cuts.into_iter().flatten().find(|(_, rate)| *rate <= room);
        let front = fitting.map_or(single, |(front, _)| front);
        (front, range.without(front).pop())
    }

    fn give(&mut self, place: usize, range: KeyRange) -> RangePlacement {
        let rate = self.rate(range);
        let instance = &mut self.instances[place];
        instance.rate += rate;
        instance.keys += range.len();
        RangePlacement {
            range,
            owner: instance.id.clone(),
        }
    }
}
