//! A version and a departure reach every node in time although kept connections to the store
//! have fallen silent: each step on their way has a time limit, and the sum of these stays
//! below the bound.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn, drawn_silent_connections, run_seeds};
use ledgelead_lab::fleet::{FaultKind, FleetSettings, Schedule, ViolationKind, World};
use ledgelead_router::protections::{Protection, Protections};
use std::time::Duration;

/// Number of nodes for which zones are large enough that broadcasts are relayed.
const MANY_NODES: usize = 21;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Violations if connections fall silent and a version follows after `version_after`.
fn late_versions(nodes: usize, version_after: u64, kind: FaultKind) -> Vec<String> {
    let at = ms(16_900);
    let schedule = Schedule::one(at, ms(0), FaultKind::SilenceConnections).and(
        at + ms(version_after),
        ms(0),
        kind,
    );
    let report = World::new(FleetSettings {
        nodes,
        schedule,
        ..drawn(3, Protections::default())
    })
    .run();
    let shown = |violation| format!("{nodes} nodes, {version_after} ms: {violation:?}");
    report.violations.iter().map(shown).collect()
}

#[gtest]
fn large_version_is_applied_in_time_after_connections_fell_silent() {
    for nodes in [NODES, MANY_NODES] {
        for version_after in (0..4_000).step_by(100) {
            let late = late_versions(nodes, version_after, FaultKind::ConfigureLarge);
            expect_that!(late, is_empty());
        }
    }
}

#[gtest]
fn versions_and_departures_reach_nodes_in_time_after_connections_fell_silent() {
    let draw = drawn_silent_connections;
    let (_, lines) = run_seeds(draw, 1..=60, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

/// A node without a coordinator waited 10 s for a change on a connection that fell silent.
#[gtest]
fn watch_that_waits_on_a_silent_connection_is_repeated_in_time() {
    let draw = drawn_silent_connections;
    let (_, lines) = run_seeds(draw, 53..=53, MANY_NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

#[gtest]
fn checker_detects_versions_delayed_by_dead_connections() {
    let protections = Protections::without(Protection::ReplaceUnresponsive);
    let draw = drawn_silent_connections;
    let (report, _) = run_seeds(draw, 1..=60, NODES, protections, false);
    let mut kinds = report.violations.iter().map(|seen| seen.kind);
    let is_late = kinds.any(|kind| kind == ViolationKind::ConfigurationInTime);
    expect_that!(is_late, eq(true));
}

#[gtest]
fn versions_and_departures_reach_many_nodes_in_time_after_connections_fell_silent() {
    let draw = drawn_silent_connections;
    let (_, lines) = run_seeds(draw, 1..=20, MANY_NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}
