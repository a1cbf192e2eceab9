//! Request rates of slices and of their hottest positions, in bounded memory.

use super::interface::ServerSliceLoads;
use crate::estimate::DecayingRate;
use ledgelead_types::dispatch::{HotPosition, SliceLoad};
use ledgelead_types::routes::GroupRoutes;
use ledgelead_types::{GroupId, Position, PositionRange, ServerId, Time};
use std::collections::BTreeMap;

/// Number of positions tracked per slice.
const SKETCH_SIZE: usize = 8;

/// Minimum share of the slice's load for a position to be reported as hot.
const HOT_SHARE: f64 = 0.2;

/// A position with its rate. `error` is the maximum part of the rate that belongs to the
/// positions that used this counter before.
#[derive(Clone, Copy, Debug)]
struct SketchEntry {
    position: Position,
    rate: DecayingRate,
    error: DecayingRate,
}

/// Space-saving sketch (Metwally, Agrawal and El Abbadi, 2005) over decaying rates: a new
/// position replaces the one with the lowest counter and continues from its rate.
#[derive(Clone, Debug, Default)]
struct HotSketch {
    entries: Vec<SketchEntry>,
}

impl HotSketch {
    fn count(&mut self, position: Position, now: Time) {
        let known = self
            .entries
            .iter_mut()
            .find(|entry| entry.position == position);
        if let Some(entry) = known {
            entry.rate.count(now);
            return;
        }
        let taken_over = self.make_room(now);
        let mut rate = taken_over;
        rate.count(now);
        self.entries.push(SketchEntry {
            position,
            rate,
            error: taken_over,
        });
    }

    /// Removes the lowest counter if the sketch is full, and returns its rate.
    fn make_room(&mut self, now: Time) -> DecayingRate {
        if self.entries.len() < SKETCH_SIZE {
            return DecayingRate::default();
        }
        let lowest = (0..self.entries.len()).min_by(|&left, &right| {
            let rate = |index: usize| self.entries[index].rate.at(now);
            rate(left).total_cmp(&rate(right))
        });
        match lowest {
            Some(index) => self.entries.swap_remove(index).rate,
            None => DecayingRate::default(),
        }
    }

    /// The hottest position, by its guaranteed rate.
    fn hottest(&self, now: Time) -> Option<HotPosition> {
        self.entries
            .iter()
            .map(|entry| HotPosition {
                position: entry.position,
                requests_per_second: entry.rate.at(now) - entry.error.at(now),
            })
            .max_by(|left, right| {
                left.requests_per_second
                    .total_cmp(&right.requests_per_second)
            })
    }
}

/// Rate of a slice. Its time constant is short because the planner smooths the rates itself;
/// smoothing twice would delay the detection of hot keys.
type SliceRate = DecayingRate<2>;

#[derive(Clone, Debug)]
struct SliceCounter {
    range: PositionRange,
    owner: Option<ServerId>,
    rate: SliceRate,
    sketch: HotSketch,
}

/// Loads of the slices of all groups with known routes.
#[derive(Debug, Default)]
pub(super) struct SliceLoads {
    groups: BTreeMap<GroupId, BTreeMap<Position, SliceCounter>>,
}

impl SliceLoads {
    /// Applies a group's slices. A slice that was split or merged starts with the load of
    /// its positions, assumed to be evenly distributed.
    pub(super) fn route(&mut self, routes: &GroupRoutes, now: Time) {
        let before = self.groups.remove(&routes.group).unwrap_or_default();
        let counters = routes
            .slices
            .iter()
            .map(|slice| {
                let mut counter = inherit(&before, slice.range, now);
                counter.owner = slice.owner;
                (slice.range.first, counter)
            })
            .collect();
        self.groups.insert(routes.group, counters);
    }

    /// Counts a request.
    pub(super) fn count(&mut self, group: GroupId, position: Position, now: Time) {
        let Some(counters) = self.groups.get_mut(&group) else {
            return;
        };
        let Some((_, counter)) = counters.range_mut(..=position).next_back() else {
            return;
        };
        if counter.range.contains(position) {
            counter.rate.count(now);
            counter.sketch.count(position, now);
        }
    }

    /// Loads of the slices whose owners satisfy `is_here`.
    pub(super) fn loads(
        &self,
        now: Time,
        is_here: impl Fn(ServerId) -> bool,
    ) -> Vec<ServerSliceLoads> {
        let mut loads: BTreeMap<(GroupId, ServerId), Vec<SliceLoad>> = BTreeMap::new();
        for (&group, counters) in &self.groups {
            for counter in counters.values() {
                let Some(owner) = counter.owner.filter(|&owner| is_here(owner)) else {
                    continue;
                };
                let slices = loads.entry((group, owner)).or_default();
                slices.push(counter.load(now));
            }
        }
        loads
            .into_iter()
            .map(|((group, server), slices)| ServerSliceLoads {
                group,
                server,
                slices,
            })
            .collect()
    }
}

impl SliceCounter {
    fn load(&self, now: Time) -> SliceLoad {
        let requests_per_second = self.rate.at(now);
        let stands_out =
            |hot: &HotPosition| hot.requests_per_second > HOT_SHARE * requests_per_second;
        SliceLoad {
            range: self.range,
            requests_per_second,
            hottest: self.sketch.hottest(now).filter(stands_out),
        }
    }
}

/// Derives the counter of a slice from the counters that covered its positions before.
fn inherit(
    before: &BTreeMap<Position, SliceCounter>,
    range: PositionRange,
    now: Time,
) -> SliceCounter {
    if let Some(same) = before.get(&range.first)
        && same.range == range
    {
        return same.clone();
    }
    let mut per_second = 0.0;
    let mut entries = Vec::new();
    let from_last_before = before
        .range(..=range.first)
        .next_back()
        .map_or(range.first, |(&first, _)| first);
    for counter in before
        .range(from_last_before..=range.last)
        .map(|(_, counter)| counter)
        .filter(|counter| counter.range.overlaps(&range))
    {
        per_second += counter.rate.at(now) * overlap_share(&counter.range, &range);
        entries.extend(
            counter
                .sketch
                .entries
                .iter()
                .filter(|entry| range.contains(entry.position))
                .copied(),
        );
    }
    entries.sort_by(|left, right| right.rate.at(now).total_cmp(&left.rate.at(now)));
    entries.truncate(SKETCH_SIZE);
    SliceCounter {
        range,
        owner: None,
        rate: SliceRate::starting_at(per_second, now),
        sketch: HotSketch { entries },
    }
}

/// The share of `of` that lies within `within`.
fn overlap_share(of: &PositionRange, within: &PositionRange) -> f64 {
    let overlap = PositionRange {
        first: of.first.max(within.first),
        last: of.last.min(within.last),
    };
    overlap.share() / of.share()
}
