//! Load-based moves from overloaded servers, and to underfilled ones.

use crate::planner::candidates::{self, Candidate, MoveMethod};
use crate::planner::overload;
use crate::planner::round::Round;
use ledgelead_types::ServerId;

/// Maximum number of moves for balance per round.
const MAX_MOVES: usize = 16;
/// A server whose utilization exceeds the mean by this factor may give load to an
/// underfilled one.
const DONOR_UTILIZATION: f64 = 1.02;

/// Moves load off servers that have been above the target for some time, highest utilization
/// first.
pub fn relieve_overloaded(round: &mut Round) {
    let mut shedding: Vec<ServerId> = round
        .planner
        .servers
        .iter()
        .filter(|(_, record)| record.shedding && record.accepting)
        .map(|(server, _)| server)
        .collect();
    let utilization = |server: &ServerId| {
        let level = round.levels.get(*server);
        level.map_or(0.0, |level| level.utilization())
    };
    shedding.sort_by(|a, b| utilization(b).total_cmp(&utilization(a)));
    let mut moves = 0;
    for server in shedding {
        while moves < MAX_MOVES && overload::is_unsettled(round, server) {
            if !move_load(round, server, None) {
                break;
            }
            moves += 1;
        }
    }
}

/// Moves load to servers that have been far below the mean for some time, such as new ones.
pub fn fill_underfilled(round: &mut Round) {
    let servers: Vec<ServerId> = round.levels.iter().map(|(server, _)| server).collect();
    let mut moves = 0;
    for server in servers {
        while moves < MAX_MOVES && overload::is_underfilled(round, server) {
            let Some(from) = donor(round) else {
                return;
            };
            if !move_load(round, from, Some(server)) {
                break;
            }
            moves += 1;
        }
    }
}

fn donor(round: &Round) -> Option<ServerId> {
    let fullest = round.levels.fullest()?;
    let utilization = round.levels.get(fullest)?.utilization();
    (utilization > DONOR_UTILIZATION * round.levels.mean()).then_some(fullest)
}

/// Applies the best candidate; returns whether there was one.
fn move_load(round: &mut Round, from: ServerId, to: Option<ServerId>) -> bool {
    let target = to.or_else(|| round.levels.emptiest_for(from));
    let Some(to) = target.filter(|to| *to != from) else {
        return false;
    };
    let Some(candidate) = candidates::best(round, from, to) else {
        return false;
    };
    apply(round, &candidate, from, to);
    true
}

fn apply(round: &mut Round, candidate: &Candidate, from: ServerId, to: ServerId) {
    let record = &candidate.record;
    match candidate.method {
        MoveMethod::Move => {
            round.planner.churn.spend(candidate.percent, round.now);
            round.move_slice(record, to);
        }
        MoveMethod::Isolate(position) => {
            round.isolate(record, position);
            round.levels.shift(Some(from), to, candidate.load, 0);
        }
        MoveMethod::Halve => {
            round.halve(record);
            let width = record.width() / 2;
            round.levels.shift(Some(from), to, candidate.load, width);
        }
    }
}
