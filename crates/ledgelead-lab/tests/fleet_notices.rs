//! Instances that say in their answers that they leave or want a pause, while the store
//! fails all nodes or some, and beside all other faults: each node heeds what it is told.

use googletest::prelude::*;
use ledgelead_lab::fleet::ViolationKind;
use ledgelead_lab::fleet::command::{NODES, drawn_notices, run_seeds};
use ledgelead_router::protections::{Protection, Protections};

/// Nodes of a run whose zones are large enough for broadcasts to be passed on.
const MANY_NODES: usize = 21;

fn kinds(protection: Protection) -> Vec<ViolationKind> {
    let protections = Protections::without(protection);
    let (report, _) = run_seeds(drawn_notices, 1..=10, NODES, protections, false);
    report.violations.iter().map(|found| found.kind).collect()
}

#[gtest]
fn what_instances_say_in_answers_is_heeded() {
    let (report, lines) = run_seeds(drawn_notices, 1..=60, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
    expect_that!(report.answered as f64 / report.requests as f64, gt(0.9));
}

#[gtest]
fn what_instances_say_is_heeded_where_broadcasts_are_passed_on() {
    let (_, lines) = run_seeds(
        drawn_notices,
        1..=16,
        MANY_NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

#[gtest]
fn a_starting_node_confirms_its_first_list_though_it_hears_a_coordinator_meanwhile() {
    // A node was refused by the store from its start at 23.220 s until 24.714 s, and read a
    // list from before 22.103 s, when an instance began to leave. It was to confirm that
    // with its first request, but read the configuration 0.2 s later, and followed a
    // coordinator by then: the call went with the other watches, and a request reached the
    // instance at 25.588 s, 1.5 s after its bound.
    let (_, lines) = run_seeds(
        drawn_notices,
        189..=189,
        NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

#[gtest]
fn the_checker_sees_a_statement_of_leaving_that_is_forgotten() {
    let found = kinds(Protection::HeededLeaving);
    expect_that!(found, contains(eq(&ViolationKind::LeavingHeeded)));
}

#[gtest]
fn the_checker_sees_a_pause_that_is_ignored() {
    let found = kinds(Protection::HeededBackoff);
    expect_that!(found, contains(eq(&ViolationKind::PauseKept)));
}
