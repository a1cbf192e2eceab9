//! Assigns slices without an owner, and moves slices off servers that are leaving.

use crate::planner::round::Round;
use crate::slice_record::SliceRecord;
use ledgelead_types::{Position, ServerId};

/// Minimum number of slices moved off one leaving server per round.
const MIN_DRAIN_MOVES: usize = 4;
/// Divisor for the part of a leaving server's slices that is moved in a round: the number of
/// concurrent handovers stays bounded, and all are done within a few rounds.
const DRAIN_DIVISOR: usize = 2;

/// Assigns every slice without an owner to a server, the most loaded first. The same server
/// is named again until it is observed as the owner.
pub fn assign_ownerless(round: &mut Round) {
    let mut slices: Vec<SliceRecord> = round
        .planner
        .slices
        .ownerless()
        .filter_map(|first| round.slice(first).cloned())
        .filter(|record| !record.moving)
        .collect();
    slices.sort_by_key(|record| (std::cmp::Reverse(record.smoothed), record.range.first));
    for record in slices {
        let load = record.smoothed.as_per_second();
        let owner = record
            .holder()
            .or_else(|| round.levels.best_owner(load, record.width()));
        if let Some(to) = owner {
            round.assign(&record, to);
        }
    }
}

/// Moves slices off servers that no longer accept slices.
pub fn drain_leaving(round: &mut Round) {
    let leaving: Vec<ServerId> = round
        .planner
        .servers
        .iter()
        .filter(|(_, record)| !record.accepting)
        .map(|(server, _)| server)
        .collect();
    for server in leaving {
        drain(round, server);
    }
}

fn drain(round: &mut Round, server: ServerId) {
    let Some(held) = round.planner.slices.held_by(server) else {
        return;
    };
    let pace = MIN_DRAIN_MOVES.max(held.count() / DRAIN_DIVISOR);
    let slices: Vec<Position> = held
        .by_load()
        .filter(|first| is_drainable(round, *first))
        .take(pace)
        .collect();
    for first in slices {
        let Some(record) = round.slice(first).cloned() else {
            continue;
        };
        let load = record.smoothed.as_per_second();
        if let Some(to) = round.levels.best_owner(load, record.width()) {
            round.move_slice(&record, to);
        }
    }
}

/// A slice with a pending split or merge would change during the move.
fn is_drainable(round: &Round, first: Position) -> bool {
    round
        .slice(first)
        .is_some_and(|record| record.owner.is_some() && record.has_no_pending_change(round.now))
}
