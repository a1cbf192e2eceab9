//! Instances that announce a rate limit: all nodes together must stay within it, even while
//! nodes, instances and the store fail.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_for, drawn_limits, run_seeds};
use ledgelead_lab::fleet::{
    FaultKind, FleetSettings, SHARDED_INSTANCES, Schedule, TRAFFIC_FROM, ViolationKind, World,
};
use ledgelead_router::protections::{Protection, Protections};
use std::time::Duration;

/// Number of nodes for which zones are large enough that broadcasts are relayed.
const MANY_NODES: usize = 21;
/// How long an instance announces its limit in runs without other faults.
const ANNOUNCED_FOR: Duration = Duration::from_secs(33);
/// Time from the first response that announces a limit until the limit is enforced.
const BINDS_AFTER: Duration = Duration::from_secs(3);

#[gtest]
fn nodes_together_stay_within_announced_rate_limits() {
    let (_, lines) = run_seeds(drawn_limits, 1..=40, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

#[gtest]
fn large_fleet_stays_within_announced_rate_limits() {
    let (_, lines) = run_seeds(
        drawn_limits,
        1..=12,
        MANY_NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

/// Runs with a limit on each owner of a third of its load or less, so that no other owner has
/// spare capacity. Returns the share of the limits that was used.
fn used_share(seed: u64, millis_per_s: u32) -> f64 {
    let drawn = drawn_for(seed, NODES, Protections::default());
    let begins = TRAFFIC_FROM + Duration::from_secs(4);
    let name = |schedule: Schedule, position| {
        schedule.and(
            begins,
            ANNOUNCED_FOR,
            FaultKind::AnnounceLimit(position, millis_per_s),
        )
    };
    let settings = FleetSettings {
        schedule: (0..SHARDED_INSTANCES).fold(Schedule::default(), name),
        ..drawn
    };
    let report = World::new(settings).run();
    expect_that!(report.violations, is_empty());
    let limit = f64::from(millis_per_s) / 1_000.0;
    let allowed = limit * SHARDED_INSTANCES as f64 * (ANNOUNCED_FOR - BINDS_AFTER).as_secs_f64();
    report.arrived_under_limit as f64 / allowed
}

#[gtest]
fn most_of_a_limit_is_used_under_excess_load() {
    for seed in 1..=4 {
        for millis_per_s in [1_500, 4_000] {
            expect_that!(used_share(seed, millis_per_s), all!(ge(0.7), le(1.1)));
        }
    }
}

fn violation_kinds(protection: Protection) -> Vec<ViolationKind> {
    let protections = Protections::without(protection);
    let (report, _) = run_seeds(drawn_limits, 1..=10, NODES, protections, false);
    report.violations.iter().map(|found| found.kind).collect()
}

#[gtest]
fn checker_detects_an_ignored_rate_limit() {
    let found = violation_kinds(Protection::HonorRateLimit);
    expect_that!(found, contains(eq(&ViolationKind::LimitKept)));
}

#[gtest]
fn checker_detects_a_rate_limit_applied_per_node() {
    let found = violation_kinds(Protection::SharedRateLimit);
    expect_that!(found, contains(eq(&ViolationKind::LimitKept)));
}
