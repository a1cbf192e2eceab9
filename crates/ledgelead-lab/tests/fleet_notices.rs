//! Instances that announce in their responses that they are leaving or want a pause: each node
//! must comply, while the store fails for all or some nodes and under all other faults.

use googletest::prelude::*;
use ledgelead_lab::fleet::ViolationKind;
use ledgelead_lab::fleet::command::{NODES, drawn_notices, run_seeds};
use ledgelead_router::protections::{Protection, Protections};

/// Number of nodes for which zones are large enough that broadcasts are relayed.
const MANY_NODES: usize = 21;

fn violation_kinds(protection: Protection) -> Vec<ViolationKind> {
    let protections = Protections::without(protection);
    let (report, _) = run_seeds(drawn_notices, 1..=10, NODES, protections, false);
    report.violations.iter().map(|found| found.kind).collect()
}

#[gtest]
fn nodes_honor_notices_in_responses() {
    let (report, lines) = run_seeds(drawn_notices, 1..=60, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
    expect_that!(report.answered as f64 / report.requests as f64, gt(0.9));
}

#[gtest]
fn nodes_honor_notices_in_responses_with_relayed_broadcasts() {
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
fn starting_node_confirms_its_first_list_even_after_hearing_a_coordinator() {
    // The store refuses a node from its start at 23.220 s until 24.714 s. The node then reads
    // a list from before 22.103 s, when an instance began to leave. It must confirm the list
    // with its first request, even though it reads the configuration 0.2 s later and follows a
    // coordinator by then. Without that, the confirming call was dropped along with the other
    // watches, and a request reached the instance at 25.588 s, 1.5 s after its drain bound.
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
fn checker_detects_ignored_leaving_notices() {
    let found = violation_kinds(Protection::HonorLeaving);
    expect_that!(found, contains(eq(&ViolationKind::LeavingHeeded)));
}

#[gtest]
fn checker_detects_ignored_pauses() {
    let found = violation_kinds(Protection::HonorBackoff);
    expect_that!(found, contains(eq(&ViolationKind::PauseKept)));
}
