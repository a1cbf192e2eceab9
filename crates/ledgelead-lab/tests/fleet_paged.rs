//! Fleets whose lists of instances and nodes span several store pages, so that nodes fetch
//! them from each other.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_paged, run_seeds};
use ledgelead_lab::fleet::{FleetSettings, Schedule, World};
use ledgelead_router::protections::Protections;

/// Number of nodes for which zones are large enough that broadcasts are relayed.
const MANY_NODES: usize = 21;

#[gtest]
fn lists_from_other_nodes_cause_no_violations() {
    let (report, lines) = run_seeds(drawn_paged, 1..=40, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
    expect_that!(report.answered as f64 / report.requests as f64, gt(0.9));
}

#[gtest]
fn lists_from_other_nodes_cause_no_violations_with_relayed_broadcasts() {
    let (_, lines) = run_seeds(
        drawn_paged,
        1..=16,
        MANY_NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

/// Number of store calls of a run without faults.
fn calls(nodes: usize) -> u64 {
    let drawn = drawn_paged(3, nodes, Protections::default());
    let report = World::new(FleetSettings {
        schedule: Schedule::default(),
        datagram_loss: 0.0,
        ..drawn
    })
    .run();
    expect_that!(report.violations, is_empty());
    report.store_calls
}

#[gtest]
fn long_lists_cost_a_further_node_no_more_calls_than_short_ones() {
    // One call each for the configuration, the ownership record, a page of nodes, a page of
    // instances and the registration. The two pages may be read twice.
    let added = calls(24) - calls(12);
    expect_that!(added, le(12 * 7));
}
