//! Many concurrent faults on a small deployment: no violations with all protections, and some
//! with a protection disabled.

use googletest::prelude::*;
use ledgelead_lab::checker::Violation;
use ledgelead_lab::scenario::parse;
use ledgelead_lab::simulation::run_seed;
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::protections::{Protection, Protections};

/// Number of violations found over the given seeds.
fn count_violations(
    seeds: impl Iterator<Item = u64>,
    protections: Protections,
    violation: Option<Violation>,
) -> u64 {
    let text = include_str!("../../../scenarios/storm.toml");
    let scenario = parse(text).expect("the scenario is valid");
    seeds
        .map(|seed| {
            run_seed(&scenario, seed, protections, AssignerChoice::Planner)
                .1
                .violations
        })
        .map(|violations| violation.map_or(violations.total(), |one| violations.count(one)))
        .sum()
}

/// Seed 30 stops a node while it is paused: requests that reach it before it sees the stop
/// signal must be refused, not interrupted.
#[gtest]
fn no_violation_is_found_with_every_protection() {
    let seeds = (1..=6).chain([30]);
    expect_that!(count_violations(seeds, Protections::default(), None), eq(0));
}

#[gtest]
fn older_configuration_is_found_if_it_is_not_refused() {
    let protections = Protections::without(Protection::ConfigurationOrder);
    let violation = Some(Violation::ConfigurationMonotonic);
    expect_that!(count_violations(1..=6, protections, violation), gt(0));
}

#[gtest]
fn interrupted_requests_are_found_if_a_stop_does_not_wait() {
    let protections = Protections::without(Protection::StopWaitsForInFlight);
    let violation = Some(Violation::PlannedStopCutsNothing);
    expect_that!(count_violations(1..=6, protections, violation), gt(0));
}
