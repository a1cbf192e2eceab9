//! Instances that name a rate limit: all nodes together keep to it, also where nodes, lives
//! of instances and the store fail meanwhile.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_for, drawn_limits, run_seeds};
use ledgelead_lab::fleet::{
    FaultKind, FleetSettings, SHARDED_INSTANCES, Schedule, TRAFFIC_FROM, ViolationKind, World,
};
use ledgelead_router::protections::{Protection, Protections};
use std::time::Duration;

/// Nodes of a run whose zones are large enough for broadcasts to be passed on.
const MANY_NODES: usize = 21;
/// How long an instance names its limit in runs without other faults.
const NAMED: Duration = Duration::from_secs(33);
/// Time from the first answer that names it until it binds.
const BINDS_AFTER: Duration = Duration::from_secs(3);

#[gtest]
fn instances_get_no_more_of_all_nodes_than_the_limits_that_they_name() {
    let (_, lines) = run_seeds(drawn_limits, 1..=40, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

#[gtest]
fn limits_are_kept_by_many_nodes() {
    let (_, lines) = run_seeds(
        drawn_limits,
        1..=12,
        MANY_NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

/// Each owner names a third of what is asked of it or less, so that no other has room.
/// Returns the share of the limits that was used.
fn used_share(seed: u64, millis_per_s: u32) -> f64 {
    let drawn = drawn_for(seed, NODES, Protections::default());
    let begins = TRAFFIC_FROM + Duration::from_secs(4);
    let name = |schedule: Schedule, position| {
        schedule.and(
            begins,
            NAMED,
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
    let allowed = limit * SHARDED_INSTANCES as f64 * (NAMED - BINDS_AFTER).as_secs_f64();
    report.arrived_under_limit as f64 / allowed
}

#[gtest]
fn most_of_a_limit_is_used_while_more_is_asked_for() {
    for seed in 1..=4 {
        for millis_per_s in [1_500, 4_000] {
            expect_that!(used_share(seed, millis_per_s), all!(ge(0.7), le(1.1)));
        }
    }
}

fn kinds(protection: Protection) -> Vec<ViolationKind> {
    let protections = Protections::without(protection);
    let (report, _) = run_seeds(drawn_limits, 1..=10, NODES, protections, false);
    report.violations.iter().map(|found| found.kind).collect()
}

#[gtest]
fn the_checker_sees_a_limit_that_is_ignored() {
    let found = kinds(Protection::HeededRateLimit);
    expect_that!(found, contains(eq(&ViolationKind::LimitKept)));
}

#[gtest]
fn the_checker_sees_a_limit_that_each_node_keeps_alone() {
    let found = kinds(Protection::SharedRateLimit);
    expect_that!(found, contains(eq(&ViolationKind::LimitKept)));
}
