//! Replays of load peaks at one owner.

use crate::load::{Kind, Load, Outcome, Run};
use googletest::prelude::*;
use std::f64::consts::TAU;
use std::time::Duration;

/// Two kinds that compete for the owner: payments, and less urgent lookups.
fn kinds() -> Vec<Kind> {
    vec![
        Kind {
            urgency: 1,
            target: Duration::from_millis(500),
            share: 0.3,
        },
        Kind {
            urgency: 2,
            target: Duration::from_millis(300),
            share: 0.7,
        },
    ]
}

/// Twelve independent owners.
const OWNERS: u64 = 12;

fn simulate(factor: fn(Duration) -> f64, impatient_share: f64, permits: bool) -> Runs {
    simulate_slow(factor, impatient_share, permits, 0.0)
}

/// The same with owners whose machines are slow for this share of the time.
fn simulate_slow(
    factor: fn(Duration) -> f64,
    impatient_share: f64,
    permits: bool,
    slow_share: f64,
) -> Runs {
    let load = Load {
        slow_share,
        factor,
        impatient_share,
        length: Duration::from_secs(60),
        kinds: kinds(),
        permits,
    };
    Runs(
        (0..OWNERS)
            .map(|owner| Run::simulate(load.clone(), owner))
            .collect(),
    )
}

struct Runs(Vec<Run>);

impl Runs {
    /// Results for callers that arrived between two seconds.
    fn total(&self, from: usize, to: usize) -> Outcome {
        let each = self.0.iter().map(|run| run.total(from, to));
        each.fold(Outcome::default(), Outcome::plus)
    }

    /// Results of one kind for callers that arrived between two seconds.
    fn of_kind(&self, kind: usize, from: usize, to: usize) -> Outcome {
        let each = self.0.iter().map(|run| run.of_kind(kind, from, to));
        each.fold(Outcome::default(), Outcome::plus)
    }
}

/// A sine wave with a period of 17 s around 0.8 of the capacity, whose peak exceeds the
/// capacity.
fn wave(at: Duration) -> f64 {
    0.8 * (1.0 + 0.55 * (TAU * at.as_secs_f64() / 17.0).sin())
}

#[gtest]
fn permits_reduce_late_responses_at_the_peaks_of_a_wave() {
    let before = simulate(wave, 0.0, false).total(0, 60);
    let after = simulate(wave, 0.0, true).total(0, 60);
    println!("wave: before {before:?} after {after:?}");
    expect_that!(after.share_late(), lt(before.share_late() / 2.0));
    expect_that!(after.share_in_time(), gt(before.share_in_time() + 0.1));
}

/// 0.7 of the capacity, and 1.5 times the capacity from 20 to 40 s.
fn overload_by_half(at: Duration) -> f64 {
    if (20..40).contains(&at.as_secs()) {
        1.5
    } else {
        0.7
    }
}

/// 0.7 of the capacity, and twice the capacity from 20 to 40 s.
fn overload_by_two(at: Duration) -> f64 {
    if (20..40).contains(&at.as_secs()) {
        2.0
    } else {
        0.7
    }
}

/// Responses in time as a share of what the owners could handle in the 20 s of overload.
fn goodput(runs: &Runs) -> f64 {
    let capacity = OWNERS as f64 * 20.0 * crate::load::capacity(0.0);
    f64::from(runs.total(20, 40).in_time) / capacity
}

#[gtest]
fn goodput_stays_near_capacity_under_overload_with_impatient_callers() {
    for factor in [overload_by_half, overload_by_two] {
        let before = goodput(&simulate(factor, 0.33, false));
        let run = simulate(factor, 0.33, true);
        let after = goodput(&run);
        let recovered: Outcome = run.total(42, 60);
        let undisturbed = run.total(5, 20);
        println!(
            "goodput before {before:.3} after {after:.3}, recovered {:.3} of {:.3}",
            recovered.share_in_time(),
            undisturbed.share_in_time()
        );
        expect_that!(after, ge(0.9));
        expect_that!(after, gt(before));
        expect_that!(
            recovered.share_in_time(),
            ge(undisturbed.share_in_time() - 0.03)
        );
    }
}

#[gtest]
fn more_urgent_kind_is_served_at_least_as_well_and_no_kind_starves() {
    let run = simulate(overload_by_two, 0.33, true);
    let urgent = run.of_kind(0, 20, 40).share_in_time();
    let less = run.of_kind(1, 20, 40).share_in_time();
    let all = run.total(20, 40).share_in_time();
    println!("urgent {urgent:.3} less urgent {less:.3} all {all:.3}");
    expect_that!(urgent, ge(less));
    expect_that!(less, ge(all / 4.0));
}

#[gtest]
fn permits_also_help_owners_with_slow_periods() {
    let weighted_responses =
        |outcome: Outcome| f64::from(outcome.in_time) + 0.3 * f64::from(outcome.late);
    for (name, factor) in [
        ("wave", wave as fn(Duration) -> f64),
        ("half more", overload_by_half),
    ] {
        let before = simulate_slow(factor, 0.33, false, 0.2).total(0, 60);
        let after = simulate_slow(factor, 0.33, true, 0.2).total(0, 60);
        println!(
            "slow {name}: before {before:?} {:.0} after {after:?} {:.0}",
            weighted_responses(before),
            weighted_responses(after)
        );
        expect_that!(weighted_responses(after), gt(weighted_responses(before)));
        expect_that!(after.in_time, gt(before.in_time));
    }
}
