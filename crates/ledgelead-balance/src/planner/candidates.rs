//! Options for moving load off a server, and their value.

use crate::levels::Level;
use crate::planner::round::Round;
use crate::slice_record::SliceRecord;
use ledgelead_types::{Position, ServerId};
use std::collections::BTreeSet;

/// Number of slices examined at the end of each of a server's indexes.
const MAX_EXAMINED: usize = 32;
/// Load of a position that is worth isolating, relative to the mean server load.
const ISOLATED_LOAD: f64 = 0.02;
/// Added to the moved percentage when gains are compared, so that an almost free move does
/// not win with a tiny gain.
const FIXED_PERCENT: f64 = 0.1;
/// Width of the narrowest slice that is halved for a smaller move, in percent of the mean
/// server's share.
const MIN_HALVED_PERCENT: f64 = 3.0;

/// A method to move load off a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MoveMethod {
    /// Move a whole slice.
    Move,
    /// Split off the hottest position; it is moved once the split is observed.
    Isolate(Position),
    /// Split the slice in half; one half is moved once the split is observed.
    Halve,
}

/// A possible move and its value.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The slice.
    pub record: SliceRecord,
    /// The method.
    pub method: MoveMethod,
    /// Load that is eventually moved, in requests per second.
    pub load: f64,
    /// Positions that are eventually moved, in percent of the group's positions.
    pub percent: f64,
    score: f64,
}

/// The candidate that reduces the imbalance most in relation to the share of the position
/// space that changes servers, among those worth their cost.
pub fn best(round: &Round, from: ServerId, to: ServerId) -> Option<Candidate> {
    let held = round.planner.slices.held_by(from)?;
    let movable = |first: &Position| {
        round
            .slice(*first)
            .is_some_and(|record| record.owner == Some(from) && record.is_movable(round.now))
    };
    let dense = held.by_density().filter(movable).take(MAX_EXAMINED);
    let loaded = held.by_load().filter(movable).take(MAX_EXAMINED);
    let firsts: BTreeSet<Position> = dense.chain(loaded).collect();
    let transfer = Transfer::new(round, from, to)?;
    firsts
        .into_iter()
        .filter_map(|first| round.slice(first))
        .flat_map(|record| transfer.candidates(record))
        .filter(|candidate| transfer.is_worthwhile(candidate))
        .max_by(|a, b| a.score.total_cmp(&b.score))
}

/// A pair of servers between which load could be moved.
struct Transfer<'a> {
    round: &'a Round<'a>,
    from: Level,
    to: Level,
}

impl<'a> Transfer<'a> {
    fn new(round: &'a Round<'a>, from: ServerId, to: ServerId) -> Option<Transfer<'a>> {
        Some(Transfer {
            round,
            from: *round.levels.get(from)?,
            to: *round.levels.get(to)?,
        })
    }

    fn candidates(&self, record: &SliceRecord) -> Vec<Candidate> {
        let load = record.smoothed.as_per_second();
        let percent = self.round.percent(record);
        let mut candidates = vec![self.candidate(record, MoveMethod::Move, load, percent)];
        if record.is_single() || !self.round.can_split() {
            return candidates;
        }
        let hottest = record.hottest_rate().as_per_second();
        if let Some(position) = record.hottest.map(|hottest| hottest.position)
            && hottest >= ISOLATED_LOAD * self.round.levels.mean_server_load()
            && record.range.contains(position)
        {
            let one = self.round.levels.percent(1);
            candidates.push(self.candidate(record, MoveMethod::Isolate(position), hottest, one));
        }
        let mean_percent = 100.0 / self.round.levels.count() as f64;
        if percent * 100.0 >= MIN_HALVED_PERCENT * mean_percent {
            candidates.push(self.candidate(record, MoveMethod::Halve, load / 2.0, percent / 2.0));
        }
        candidates
    }

    fn candidate(
        &self,
        record: &SliceRecord,
        method: MoveMethod,
        load: f64,
        percent: f64,
    ) -> Candidate {
        Candidate {
            record: record.clone(),
            method,
            load,
            percent,
            score: self.gain(load) / (percent + FIXED_PERCENT),
        }
    }

    /// Reduction of the imbalance of the server with the higher utilization when `load`
    /// moves.
    fn gain(&self, load: f64) -> f64 {
        let from = (self.from.load - load) / self.from.weight;
        let to = (self.to.load + load) / self.to.weight;
        (self.from.utilization() - from.max(to)) / self.round.levels.mean()
    }

    fn is_worthwhile(&self, candidate: &Candidate) -> bool {
        let policy = &self.round.planner.policy;
        let gain = self.gain(candidate.load);
        let price = policy.churn_price * candidate.percent;
        let limit = policy.max_churn_percent_per_minute;
        gain >= self.round.worthwhile_part()
            && gain >= price
            && self.round.planner.churn.allows(candidate.percent, limit)
    }
}
