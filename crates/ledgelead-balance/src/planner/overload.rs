//! Detects servers that have been overloaded or underfilled long enough to act.

use crate::levels::Level;
use crate::planner::SMOOTHING_TIME_CONSTANT;
use crate::planner::round::Round;
use ledgelead_types::{ServerId, Span, Time};

/// How long a server must be out of balance before slices are moved for it.
const PERSISTENCE: Span = Span::from_seconds(3);
/// An overloaded server sheds load until its excess falls to this part of the excess that
/// the target permits.
const SETTLED_PART: f64 = 0.5;
/// An excess within this number of standard deviations of a Poisson process, counted over
/// the smoothing time, is treated as noise.
const NOISE_DEVIATIONS: f64 = 2.0;
/// A server is filled when its utilization falls below the first value, up to the second;
/// both are relative to the mean.
const UNDERFILLED: f64 = 0.5;
const FILLED: f64 = 0.75;

/// Updates the overload and underfill state of the servers.
pub fn update(round: &mut Round) {
    let now = round.now;
    let levels: Vec<(ServerId, Level)> = round.levels.iter().map(|(s, l)| (s, *l)).collect();
    for (server, level) in levels {
        let excess = excess(round, server, &level);
        let allowed = (round.planner.policy.target_imbalance - 1.0).max(0.0);
        let is_over = excess > allowed && !is_noise(round, &level);
        let mean = round.levels.mean();
        let is_under = level.utilization() < UNDERFILLED * mean;
        let Some(record) = round.planner.servers.get_mut(server) else {
            continue;
        };
        record.overloaded_since = since(record.overloaded_since, is_over, now);
        record.underfilled_since = since(record.underfilled_since, is_under, now);
        let starts = has_persisted(record.overloaded_since, now);
        let continues = record.shedding && excess > allowed * SETTLED_PART;
        record.shedding = starts || continues;
    }
}

/// Whether the server still has to shed load.
pub fn is_unsettled(round: &Round, server: ServerId) -> bool {
    let allowed = (round.planner.policy.target_imbalance - 1.0).max(0.0);
    let level = round.levels.get(server);
    level.is_some_and(|level| excess(round, server, level) > allowed * SETTLED_PART)
}

/// Whether the server has had a low utilization for long enough to be given more.
pub fn is_underfilled(round: &Round, server: ServerId) -> bool {
    let since = round
        .planner
        .servers
        .get(server)
        .and_then(|record| record.underfilled_since);
    let is_empty = |level: &Level| level.utilization() < FILLED * round.levels.mean();
    has_persisted(since, round.now) && round.levels.get(server).is_some_and(is_empty)
}

/// Utilization in excess of the mean, relative to the mean. A slice with a single position
/// can't be split; if one alone exceeds the mean, its utilization replaces the mean.
fn excess(round: &Round, server: ServerId, level: &Level) -> f64 {
    let reference = round
        .levels
        .mean()
        .max(single_slice_floor(round, server, level));
    if reference > 0.0 {
        level.utilization() / reference - 1.0
    } else {
        0.0
    }
}

fn single_slice_floor(round: &Round, server: ServerId, level: &Level) -> f64 {
    let most_loaded = round
        .planner
        .slices
        .held_by(server)
        .and_then(|held| held.by_load().next())
        .and_then(|first| round.slice(first));
    most_loaded
        .filter(|record| record.is_single())
        .map_or(0.0, |record| record.smoothed.as_per_second() / level.weight)
}

fn is_noise(round: &Round, level: &Level) -> bool {
    let expected = round.levels.mean() * level.weight;
    let deviation = (expected / (2.0 * SMOOTHING_TIME_CONSTANT.as_seconds())).sqrt();
    level.load - expected < NOISE_DEVIATIONS * deviation
}

fn since(former: Option<Time>, holds: bool, now: Time) -> Option<Time> {
    holds.then(|| former.unwrap_or(now))
}

fn has_persisted(since: Option<Time>, now: Time) -> bool {
    since.is_some_and(|since| now.since(since) >= PERSISTENCE)
}
