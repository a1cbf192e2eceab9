//! Splits hot slices before they obstruct the balance, merges cold ones, and moves isolated
//! positions that have cooled down back to the owner of their neighbours.

use crate::planner::round::Round;
use crate::slice_record::SliceRecord;
use crate::slice_table::ORDERING_SLACK;
use ledgelead_types::{Position, ServerId, Span};

/// Load above which a slice is split, relative to the mean server load.
const HOT_LOAD: f64 = 0.5;
/// Maximum total load for merging two slices, relative to the mean server load. It is far
/// below half of [`HOT_LOAD`], so that a merged slice is not split again.
const COLD_LOAD: f64 = 0.2;
/// An isolated position has cooled down when its load falls to this part of the minimum load
/// worth moving, so that it is not moved away again.
const COOLED_PART: f64 = 0.5;
/// Maximum difference in positions between equal parts of a range.
const ROUNDING: u128 = 1;
/// Minimum age of a slice's bounds before it is merged.
const MIN_AGE: Span = Span::from_seconds(60);
/// Number of slices examined for merges per round.
const MERGE_SCAN_SLICES: usize = 64;
/// Maximum number of merges per round.
const MAX_MERGES: usize = 8;

/// Splits slices that carry a large part of a server's load.
pub fn split_hot(round: &mut Round) {
    let hot_load = HOT_LOAD * round.levels.mean_server_load();
    let servers: Vec<ServerId> = round.levels.iter().map(|(server, _)| server).collect();
    for server in servers {
        for record in hot_slices(round, server, hot_load) {
            if round.can_split() {
                split(round, &record);
            }
        }
    }
}

fn hot_slices(round: &Round, server: ServerId, hot_load: f64) -> Vec<SliceRecord> {
    let Some(held) = round.planner.slices.held_by(server) else {
        return Vec::new();
    };
    held.by_load()
        .filter_map(|first| round.slice(first))
        .take_while(|record| record.smoothed.as_per_second() * ORDERING_SLACK > hot_load)
        .filter(|record| record.smoothed.as_per_second() > hot_load)
        .filter(|record| !record.is_single() && record.has_no_pending_change(round.now))
        .cloned()
        .collect()
}

fn split(round: &mut Round, record: &SliceRecord) {
    let hottest = record.hottest.filter(|hottest| {
        let is_most = record.hottest_rate() >= record.smoothed.part(0.5);
        is_most && record.range.contains(hottest.position)
    });
    match hottest {
        Some(hottest) => round.isolate(record, hottest.position),
        None => round.halve(record),
    }
}

/// Examines the next slices, in the order of positions across rounds, for merging with their
/// successors.
pub fn merge_cold(round: &mut Round) {
    let considered: Vec<Position> = round
        .planner
        .slices
        .from(round.planner.merge_cursor)
        .take(MERGE_SCAN_SLICES)
        .map(|record| record.range.first)
        .collect();
    let mut merges = 0;
    for first in &considered {
        if merges == MAX_MERGES {
            round.planner.merge_cursor = *first;
            return;
        }
        merges += usize::from(reshape_cold(round, *first));
    }
    let is_end = considered.len() < MERGE_SCAN_SLICES;
    let last = considered.last().filter(|_| !is_end);
    round.planner.merge_cursor = last.copied().unwrap_or_default();
}

/// Merges the slice, or moves it back to its neighbours' owner; returns whether either was
/// done.
fn reshape_cold(round: &mut Round, first: Position) -> bool {
    let Some(record) = round.slice(first).cloned() else {
        return false;
    };
    if !is_reshapable(round, &record) {
        return false;
    }
    let next = round.planner.slices.next(record.range.last).cloned();
    if let Some(next) = next.filter(|next| can_merge(round, &record, next)) {
        round.merge(&record, &next);
        return true;
    }
    let Some(neighbour_owner) = neighbour_owner(round, &record) else {
        return false;
    };
    let percent = round.percent(&record);
    let limit = round.planner.policy.max_churn_percent_per_minute;
    if !round.planner.churn.allows(percent, limit) {
        return false;
    }
    round.planner.churn.spend(percent, round.now);
    round.move_slice(&record, neighbour_owner);
    true
}

/// Whether the slice has no pending change, has kept its bounds for some time, and belongs
/// to a server that is not shedding load. A server that sheds load may need the slice as it
/// is.
fn is_reshapable(round: &Round, record: &SliceRecord) -> bool {
    let owner = record
        .owner
        .and_then(|owner| round.planner.servers.get(owner));
    record.is_movable(round.now)
        && record.shaped_at + MIN_AGE <= round.now
        && owner.is_some_and(|owner| owner.accepting && !owner.shedding)
}

/// A merged slice is never wider than the widest slice, so merges undo splits but leave the
/// service's original slices.
fn can_merge(round: &Round, record: &SliceRecord, next: &SliceRecord) -> bool {
    let mean = round.levels.mean_server_load();
    let load = record.smoothed.as_per_second() + next.smoothed.as_per_second();
    record.owner == next.owner
        && is_reshapable(round, next)
        && load <= COLD_LOAD * mean
        && record.width() + next.width() <= round.planner.slices.widest() + ROUNDING
        && !is_isolated_hot(round, record)
        && !is_isolated_hot(round, next)
}

fn is_isolated_hot(round: &Round, record: &SliceRecord) -> bool {
    record.is_single() && !has_cooled(round, record)
}

fn has_cooled(round: &Round, record: &SliceRecord) -> bool {
    let least = round.worthwhile_part() * round.levels.mean_server_load();
    record.smoothed.as_per_second() <= COOLED_PART * least
}

/// The owner of the neighbours of a single position that has cooled down and is owned by
/// another server.
fn neighbour_owner(round: &Round, record: &SliceRecord) -> Option<ServerId> {
    if !record.is_single() || !has_cooled(round, record) {
        return None;
    }
    let slices = &round.planner.slices;
    let previous = slices.previous(record.range.first);
    let next = slices.next(record.range.last);
    let neighbour = previous
        .filter(|slice| !slice.is_single())
        .or(next.filter(|slice| !slice.is_single()))?;
    let beside_own = |slice: Option<&SliceRecord>| {
        slice.is_some_and(|slice| slice.owner == record.owner && !slice.is_single())
    };
    let is_apart = !beside_own(previous) && !beside_own(next);
    let owner = neighbour
        .owner
        .filter(|_| neighbour.has_no_pending_change(round.now))?;
    let accepts = round.planner.servers.accepts(owner);
    (is_apart && accepts).then_some(owner)
}
