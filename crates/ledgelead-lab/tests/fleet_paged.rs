//! Fleets whose lists of instances and nodes take several pages of the store, so that nodes
//! get them from each other.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_paged, run_seeds};
use ledgelead_lab::fleet::{FleetSettings, Schedule, World};
use ledgelead_router::protections::Protections;

/// Nodes of a run whose zones are large enough for broadcasts to be passed on.
const MANY_NODES: usize = 21;

#[gtest]
fn lists_from_other_nodes_break_nothing() {
    let (report, lines) = run_seeds(drawn_paged, 1..=40, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
    expect_that!(report.answered as f64 / report.requests as f64, gt(0.9));
}

#[gtest]
fn lists_from_other_nodes_break_nothing_where_broadcasts_are_passed_on() {
    let (_, lines) = run_seeds(
        drawn_paged,
        1..=16,
        MANY_NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

/// Calls to the store of a calm run.
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
    // The configuration, the record, a page of nodes and one of instances, which of the
    // latter two may be read twice, and its registration.
    let added = calls(24) - calls(12);
    expect_that!(added, le(12 * 7));
}
