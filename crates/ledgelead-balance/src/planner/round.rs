//! State of one planning round: its inputs and the changes decided so far.

use crate::change::PlannedChange;
use crate::levels::Levels;
use crate::planner::Planner;
use crate::slice_record::{PlannedOwner, SliceRecord};
use crate::slice_table::COOLDOWN;
use ledgelead_types::{Position, ServerId, Span, Time};

/// How long a requested change is awaited before it is planned again.
const CHANGE_TIMEOUT: Span = Span::from_seconds(5);
/// Cooldown of a moved slice with a single position: the move is almost free, and hot
/// positions change quickly.
const SINGLE_COOLDOWN: Span = Span::from_seconds(10);
/// Maximum number of splits per round.
const MAX_SPLITS: usize = 16;
/// Number of slices per server that may be created by splits.
const MAX_SPLITS_PER_SERVER: usize = 64;
/// Minimum load that justifies a change, relative to the mean server load.
const WORTHWHILE_LOAD: f64 = 0.01;
/// The same relative to the mean slice load; it applies when there are many slices.
const WORTHWHILE_PART_OF_SLICE: f64 = 0.5;

/// One round of planning.
pub struct Round<'a> {
    /// The planner's state.
    pub planner: &'a mut Planner,
    /// The current time.
    pub now: Time,
    /// Levels of the accepting servers after the changes so far.
    pub levels: Levels,
    /// The changes so far.
    pub changes: Vec<PlannedChange>,
    splits: usize,
}

impl<'a> Round<'a> {
    /// A round without changes.
    pub fn new(planner: &'a mut Planner, now: Time) -> Round<'a> {
        let levels = Levels::new(&planner.slices, &planner.servers, now);
        Round {
            planner,
            now,
            levels,
            changes: Vec::new(),
            splits: 0,
        }
    }

    /// The slice that starts at `first`.
    pub fn slice(&self, first: Position) -> Option<&SliceRecord> {
        self.planner.slices.get(first)
    }

    /// The share of a slice in the group's positions, in percent.
    pub fn percent(&self, record: &SliceRecord) -> f64 {
        self.levels.percent(record.width())
    }

    /// Assigns a slice without an owner to `to`.
    pub fn assign(&mut self, record: &SliceRecord, to: ServerId) {
        let range = record.range;
        self.changes.push(PlannedChange::Assign { range, to });
        self.expect_owner(record, to, record.cooldown_until);
    }

    /// Hands a slice over to `to`.
    pub fn move_slice(&mut self, record: &SliceRecord, to: ServerId) {
        let Some(from) = record.owner else {
            return;
        };
        let range = record.range;
        self.changes.push(PlannedChange::Move { range, from, to });
        let cooldown = if record.is_single() {
            SINGLE_COOLDOWN
        } else {
            COOLDOWN
        };
        self.expect_owner(record, to, self.now + cooldown);
    }

    /// Whether another slice may be split in this round. The number of slices is bounded by
    /// the service's original number, as estimated from the widest slice, plus a number per
    /// server.
    pub fn can_split(&self) -> bool {
        let slices = &self.planner.slices;
        let unsplit = slices.width().div_ceil(slices.widest().max(1));
        let most = unsplit + (MAX_SPLITS_PER_SERVER * self.levels.count()) as u128;
        self.splits < MAX_SPLITS && ((slices.count() + self.splits) as u128) < most
    }

    /// Load below which no change is made, relative to the mean server load.
    pub fn worthwhile_part(&self) -> f64 {
        let slices = self.planner.slices.count().max(1) as f64;
        let slices_per_server = slices / self.levels.count() as f64;
        WORTHWHILE_LOAD.min(WORTHWHILE_PART_OF_SLICE / slices_per_server)
    }

    /// Splits a slice in the middle.
    pub fn halve(&mut self, record: &SliceRecord) {
        let first = record.range.first.0;
        let at = Position(first + (record.range.last.0 - first) / 2 + 1);
        self.split(record, &[at]);
    }

    /// Splits off one position as a slice of its own.
    pub fn isolate(&mut self, record: &SliceRecord, position: Position) {
        let after = position.0.checked_add(1).map(Position);
        let bounds: Vec<Position> = std::iter::once(position).chain(after).collect();
        self.split(record, &bounds);
    }

    /// Merges two slices.
    pub fn merge(&mut self, first: &SliceRecord, second: &SliceRecord) {
        self.changes.push(PlannedChange::Merge {
            first: first.range,
            second: second.range,
        });
        let until = self.now + CHANGE_TIMEOUT;
        let slices = &mut self.planner.slices;
        slices.record_reshaping(first.range.first, until);
        slices.record_reshaping(second.range.first, until);
    }

    fn split(&mut self, record: &SliceRecord, bounds: &[Position]) {
        let mut range = record.range;
        for at in bounds {
            if let Some((_, right)) = range.split_at(*at) {
                self.changes.push(PlannedChange::Split { range, at: *at });
                range = right;
            }
        }
        self.splits += 1;
        let until = self.now + CHANGE_TIMEOUT;
        self.planner
            .slices
            .record_reshaping(record.range.first, until);
    }

    fn expect_owner(&mut self, record: &SliceRecord, to: ServerId, cooldown_until: Time) {
        let load = record.smoothed.as_per_second();
        self.levels.shift(record.holder(), to, load, record.width());
        let until = self.now + CHANGE_TIMEOUT;
        let planned = PlannedOwner { to, until };
        self.planner
            .slices
            .record_planned_owner(record.range.first, planned, cooldown_until);
    }
}
