//! Consistent hashing with bounded loads: V. Mirrokni, M. Thorup, M. Zadimoghaddam,
//! "Consistent Hashing with Bounded Loads" (SODA 2018).
//!
//! Each server is placed on a ring at several points. A slice is assigned to the first
//! server clockwise from its own point that is not full. A server is full at the mean load
//! for its capacity times a constant. Unlike the balls of equal weight in the paper, slices
//! have individual loads.

use crate::baseline::Assigner;
use crate::baseline::smoothed_loads::{SmoothedLoads, accepting, change_to};
use crate::change::PlannedChange;
use crate::input::{PlanInput, SliceState};
use ledgelead_types::{ServerId, Time};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points of each server on the ring.
const POINTS_PER_SERVER: u64 = 64;

/// The baseline; its bound is the policy's target imbalance.
#[derive(Clone, Debug, Default)]
pub struct BoundedLoads {
    loads: SmoothedLoads,
}

impl Assigner for BoundedLoads {
    fn plan(&mut self, input: &PlanInput, now: Time) -> Vec<PlannedChange> {
        self.loads.observe(input, now);
        let ring = ring(input);
        let mut room = self.room(input);
        let mut changes = Vec::new();
        for slice in input.slices.iter().filter(|slice| !slice.moving) {
            let load = self.loads.of(slice);
            let Some(to) = self.place(slice, load, &ring, &room) else {
                continue;
            };
            if let Some(change) = change_to(slice, to) {
                changes.push(change);
                shift(&mut room, slice.owner, to, load);
            }
        }
        changes
    }
}

impl BoundedLoads {
    /// Load that each server can still accept; negative if it exceeds its bound.
    fn room(&self, input: &PlanInput) -> BTreeMap<ServerId, f64> {
        let loads = self.loads.by_server(input);
        let total: f64 = input.slices.iter().map(|slice| self.loads.of(slice)).sum();
        let capacity: f64 = accepting(input).map(|server| server.capacity).sum();
        let bound = input.policy.target_imbalance * total / capacity;
        accepting(input)
            .map(|server| {
                let load = loads.get(&server.server).copied().unwrap_or(0.0);
                (server.server, bound * server.capacity - load)
            })
            .collect()
    }

    /// The first server clockwise that has room. The slice's current owner needs no
    /// additional room for it.
    fn place(
        &self,
        slice: &SliceState,
        load: f64,
        ring: &BTreeMap<u64, ServerId>,
        room: &BTreeMap<ServerId, f64>,
    ) -> Option<ServerId> {
        let point = hash(slice.range.first.0, 0);
        let clockwise = ring.range(point..).chain(ring.range(..point));
        let fits = |server: &ServerId| {
            let needed = if slice.owner == Some(*server) {
                0.0
            } else {
                load
            };
            room.get(server).is_some_and(|room| *room >= needed)
        };
        let emptiest = || {
            let roomiest = room.iter().max_by(|a, b| a.1.total_cmp(b.1));
            roomiest.map(|(server, _)| *server)
        };
        clockwise
            .map(|(_, server)| *server)
            .find(fits)
            .or_else(|| slice.owner.filter(|owner| room.contains_key(owner)))
            .or_else(emptiest)
    }
}

fn ring(input: &PlanInput) -> BTreeMap<u64, ServerId> {
    accepting(input)
        .flat_map(|server| {
            let number = u64::from(server.server.0);
            (1..=POINTS_PER_SERVER).map(move |point| (hash(number, point), server.server))
        })
        .collect()
}

fn hash(number: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&number.to_le_bytes(), seed)
}

fn shift(room: &mut BTreeMap<ServerId, f64>, from: Option<ServerId>, to: ServerId, load: f64) {
    if let Some(room) = from.and_then(|from| room.get_mut(&from)) {
        *room += load;
    }
    if let Some(room) = room.get_mut(&to) {
        *room -= load;
    }
}
