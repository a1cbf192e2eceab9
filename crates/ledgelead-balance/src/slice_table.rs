//! All slices of a group, indexed by position, holder, load and density.
//!
//! A change costs the logarithm of the number of slices; a round then only reads the ends of
//! the indexes.

use crate::input::SliceState;
use crate::rate::Rate;
use crate::slice_record::{PlannedOwner, SliceRecord};
use ledgelead_types::{Position, PositionRange, ServerId, Span, Time};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// Shift that leaves the bits of a number that order the indexes: the exponent and three
/// bits of the fraction. A load that changes by less than an eighth usually keeps its place,
/// so smoothing rarely updates the indexes.
const ORDERING_SHIFT: u32 = 49;

/// How long a slice that changed owner may not be moved for balance. It also applies after a
/// move that an operator requested.
pub const COOLDOWN: Span = Span::from_seconds(60);

/// Maximum ratio of two loads that the indexes may have in the wrong order.
pub const ORDERING_SLACK: f64 = 1.125;

/// The slices held by one server, ordered by load and by density with a tolerance of
/// [`ORDERING_SLACK`].
#[derive(Clone, Debug, Default)]
pub struct HeldSlices {
    /// Sum of their smoothed loads.
    pub load: Rate,
    /// Sum of their widths.
    pub width: u128,
    by_load: BTreeSet<IndexKey>,
    by_density: BTreeSet<IndexKey>,
}

/// Magnitude of a load or density, and the first position of the slice.
type IndexKey = (u64, Position);

/// Keys of a slice in the indexes.
#[derive(Clone, Copy, PartialEq)]
struct IndexKeys {
    by_load: IndexKey,
    by_density: IndexKey,
}

impl IndexKeys {
    fn of(record: &SliceRecord) -> IndexKeys {
        let first = record.range.first;
        IndexKeys {
            by_load: (magnitude(record.smoothed.as_per_second()), first),
            by_density: (magnitude(record.density()), first),
        }
    }
}

/// The bits of non-negative floating-point numbers have the order of the numbers.
fn magnitude(number: f64) -> u64 {
    number.to_bits() >> ORDERING_SHIFT
}

impl HeldSlices {
    /// Number of slices.
    pub fn count(&self) -> usize {
        self.by_load.len()
    }

    /// First positions of the slices, highest load first.
    pub fn by_load(&self) -> impl Iterator<Item = Position> + '_ {
        self.by_load.iter().rev().map(|(_, first)| *first)
    }

    /// First positions of the slices, highest density first.
    pub fn by_density(&self) -> impl Iterator<Item = Position> + '_ {
        self.by_density.iter().rev().map(|(_, first)| *first)
    }

    fn add(&mut self, record: &SliceRecord) {
        self.load += record.smoothed;
        self.width += record.width();
        self.insert(IndexKeys::of(record));
    }

    fn remove(&mut self, record: &SliceRecord) {
        self.load -= record.smoothed;
        self.width -= record.width();
        self.withdraw(IndexKeys::of(record));
    }

    fn insert(&mut self, keys: IndexKeys) {
        self.by_load.insert(keys.by_load);
        self.by_density.insert(keys.by_density);
    }

    fn withdraw(&mut self, keys: IndexKeys) {
        self.by_load.remove(&keys.by_load);
        self.by_density.remove(&keys.by_density);
    }
}

/// Slices by first position. The records never overlap.
#[derive(Clone, Debug, Default)]
pub struct SliceTable {
    records: BTreeMap<Position, SliceRecord>,
    held: BTreeMap<ServerId, HeldSlices>,
    ownerless: BTreeSet<Position>,
    unsettled: BTreeSet<Position>,
    pending_changes: BTreeSet<Position>,
    widths: BTreeMap<u128, usize>,
    load: Rate,
    width: u128,
}

impl SliceTable {
    /// Applies a slice that is new or has changed.
    pub fn observe(&mut self, state: &SliceState, now: Time) {
        let known = self.records.get(&state.range.first);
        if known.is_some_and(|record| record.range == state.range) {
            self.observe_known(state, now);
        } else {
            self.observe_new(state, now);
        }
    }

    /// Removes the slices, or parts of slices, in a range.
    pub fn remove(&mut self, range: &PositionRange) {
        for record in self.take_overlapping(range) {
            self.put_remainders(&record, range);
        }
    }

    /// The slice that starts at `first`.
    pub fn get(&self, first: Position) -> Option<&SliceRecord> {
        self.records.get(&first)
    }

    /// The slice that ends right before `first`.
    pub fn previous(&self, first: Position) -> Option<&SliceRecord> {
        let (_, record) = self.records.range(..first).next_back()?;
        (record.range.last.0 + 1 == first.0).then_some(record)
    }

    /// The slice that starts right after `last`.
    pub fn next(&self, last: Position) -> Option<&SliceRecord> {
        self.records.get(&Position(last.0.checked_add(1)?))
    }

    /// Slices from `first` on, ordered by position.
    pub fn from(&self, first: Position) -> impl Iterator<Item = &SliceRecord> {
        self.records.range(first..).map(|(_, record)| record)
    }

    /// First positions of slices without an observed owner.
    pub fn ownerless(&self) -> impl Iterator<Item = Position> + '_ {
        self.ownerless.iter().copied()
    }

    /// The slices held by a server.
    pub fn held_by(&self, server: ServerId) -> Option<&HeldSlices> {
        self.held.get(&server)
    }

    /// Number of slices.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// Load of all slices.
    pub fn load(&self) -> Rate {
        self.load
    }

    /// Number of positions in all slices.
    pub fn width(&self) -> u128 {
        self.width
    }

    /// Number of positions in the widest slice.
    pub fn widest(&self) -> u128 {
        self.widths.last_key_value().map_or(0, |(width, _)| *width)
    }

    /// Moves all smoothed loads towards the reported ones.
    pub fn smooth(&mut self, part: f64) {
        let mut unsettled = std::mem::take(&mut self.unsettled);
        unsettled.retain(|first| self.smooth_one(*first, part));
        self.unsettled = unsettled;
    }

    /// Drops pending changes of owner that are late or whose new owner is not fit.
    pub fn expire_pending_changes(&mut self, now: Time, is_fit: impl Fn(ServerId) -> bool) {
        for first in self.pending_changes.clone() {
            let Some(record) = self.records.get(&first) else {
                continue;
            };
            let Some(planned) = record.planned else {
                continue;
            };
            let late = planned.until <= now && !record.moving;
            if late || !is_fit(planned.to) {
                self.update(first, |record| record.planned = None);
            }
        }
    }

    /// Records a requested change of owner.
    pub fn record_planned_owner(
        &mut self,
        first: Position,
        planned: PlannedOwner,
        cooldown_until: Time,
    ) {
        self.update(first, |record| {
            record.planned = Some(planned);
            record.cooldown_until = cooldown_until;
        });
    }

    /// Records a requested split or merge.
    pub fn record_reshaping(&mut self, first: Position, until: Time) {
        self.update(first, |record| record.reshaping_until = until);
    }

    /// Updates the smoothed load of a slice; returns whether it still differs from the
    /// reported one.
    fn smooth_one(&mut self, first: Position, part: f64) -> bool {
        let Some(record) = self.records.get_mut(&first) else {
            return false;
        };
        let former_load = record.smoothed;
        let former = IndexKeys::of(record);
        record.smoothed = former_load.approached(record.reported, part);
        self.load -= former_load;
        self.load += record.smoothed;
        if let Some(holder) = record.holder()
            && let Some(held) = self.held.get_mut(&holder)
        {
            held.load -= former_load;
            held.load += record.smoothed;
            let keys = IndexKeys::of(record);
            if keys != former {
                held.withdraw(former);
                held.insert(keys);
            }
        }
        record.smoothed != record.reported
    }

    fn observe_known(&mut self, state: &SliceState, now: Time) {
        let first = state.range.first;
        if self.get(first).is_some_and(|record| record.matches(state)) {
            return;
        }
        self.update(first, |record| {
            let has_new_owner = record.owner != state.owner;
            record.owner = state.owner;
            if let Some(reported) = state.reported() {
                record.reported = reported;
                if !record.has_load {
                    record.smoothed = reported;
                    record.has_load = true;
                }
            }
            record.hottest = state.hottest;
            record.moving = state.moving;
            if has_new_owner && !state.moving {
                let planned = record.planned.take().map(|planned| planned.to);
                if planned != state.owner {
                    record.cooldown_until = now + COOLDOWN;
                }
            }
        });
    }

    /// A slice with new bounds starts with the smoothed loads of the slices that it was
    /// split or merged from, because its own measurements lag behind.
    fn observe_new(&mut self, state: &SliceState, now: Time) {
        let mut record = SliceRecord::new(state, now);
        let ancestors = self.take_overlapping(&state.range);
        if !ancestors.is_empty() {
            record.smoothed = Rate::ZERO;
        }
        for ancestor in &ancestors {
            let shared = PositionRange {
                first: ancestor.range.first.max(state.range.first),
                last: ancestor.range.last.min(state.range.last),
            };
            record.smoothed += ancestor.estimate(&shared);
            record.has_load |= ancestor.has_load;
            if !record.is_single() {
                record.cooldown_until = record.cooldown_until.max(ancestor.cooldown_until);
            }
            self.put_remainders(ancestor, &state.range);
        }
        if state.reported().is_none() {
            record.reported = record.smoothed;
        }
        self.put(record);
    }

    fn take_overlapping(&mut self, range: &PositionRange) -> Vec<SliceRecord> {
        let firsts: Vec<Position> = self
            .records
            .range(..=range.last)
            .rev()
            .take_while(|(_, record)| record.range.last >= range.first)
            .map(|(first, _)| *first)
            .collect();
        firsts
            .into_iter()
            .filter_map(|first| self.take(first))
            .collect()
    }

    fn put_remainders(&mut self, record: &SliceRecord, range: &PositionRange) {
        if record.range.first < range.first {
            self.put(record.remainder(PositionRange {
                first: record.range.first,
                last: Position(range.first.0 - 1),
            }));
        }
        if record.range.last > range.last {
            self.put(record.remainder(PositionRange {
                first: Position(range.last.0 + 1),
                last: record.range.last,
            }));
        }
    }

    fn update(&mut self, first: Position, change: impl FnOnce(&mut SliceRecord)) {
        if let Some(mut record) = self.take(first) {
            change(&mut record);
            self.put(record);
        }
    }

    fn take(&mut self, first: Position) -> Option<SliceRecord> {
        let record = self.records.remove(&first)?;
        self.load -= record.smoothed;
        self.width -= record.width();
        if let Entry::Occupied(mut count) = self.widths.entry(record.width()) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
        self.ownerless.remove(&first);
        self.unsettled.remove(&first);
        self.pending_changes.remove(&first);
        if let Some(holder) = record.holder()
            && let Some(held) = self.held.get_mut(&holder)
        {
            held.remove(&record);
            if held.count() == 0 {
                self.held.remove(&holder);
            }
        }
        Some(record)
    }

    fn put(&mut self, record: SliceRecord) {
        let first = record.range.first;
        self.load += record.smoothed;
        self.width += record.width();
        *self.widths.entry(record.width()).or_default() += 1;
        if record.owner.is_none() {
            self.ownerless.insert(first);
        }
        if record.smoothed != record.reported {
            self.unsettled.insert(first);
        }
        if record.planned.is_some() {
            self.pending_changes.insert(first);
        }
        if let Some(holder) = record.holder() {
            self.held.entry(holder).or_default().add(&record);
        }
        self.records.insert(first, record);
    }
}
