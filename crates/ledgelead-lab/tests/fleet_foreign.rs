//! Store entries written by a foreign writer: the instance of such an entry must get no more
//! requests, and the other instances must be unaffected, even if they leave meanwhile.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn, drawn_foreign, run_seeds};
use ledgelead_lab::fleet::{FaultKind, FleetSettings, Schedule, ViolationKind, World};
use ledgelead_router::protections::{Protection, Protections};
use std::time::Duration;

/// Number of nodes for which zones are large enough that broadcasts are relayed.
const MANY_NODES: usize = 21;

fn violation_kinds(protection: Protection) -> Vec<ViolationKind> {
    let (report, _) = run_seeds(
        drawn_foreign,
        1..=20,
        NODES,
        Protections::without(protection),
        false,
    );
    report.violations.iter().map(|found| found.kind).collect()
}

#[gtest]
fn foreign_entries_cause_no_violations() {
    let (_, lines) = run_seeds(drawn_foreign, 1..=60, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

#[gtest]
fn foreign_entries_cause_no_violations_with_relayed_broadcasts() {
    let (_, lines) = run_seeds(
        drawn_foreign,
        1..=16,
        MANY_NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

#[gtest]
fn foreign_entries_alone_cause_no_violations_with_relayed_broadcasts() {
    // Even seeds draw no other faults.
    for seed in (2..=32).step_by(2) {
        let settings = drawn_foreign(seed, MANY_NODES, Protections::default());
        let report = World::new(settings).run();
        expect_that!(report.violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn drain_is_known_to_nodes_that_start_without_a_coordinator() {
    // All nodes are killed, and an instance begins to drain meanwhile. Nodes that start with
    // lists older than that must not send it requests; three of them did 2.7 s later.
    let (_, lines) = run_seeds(
        drawn_foreign,
        279..=279,
        NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

#[gtest]
fn foreign_entry_does_not_affect_other_instances() {
    let fault_free = drawn(4, Protections::default());
    let run = |schedule| {
        World::new(FleetSettings {
            schedule,
            ..fault_free.clone()
        })
        .run()
    };
    let without = run(Schedule::default());
    // An unsharded instance: three others of its service can take over its requests.
    let foreign = FaultKind::ForeignEntry(7);
    let at = Duration::from_secs(15);
    let with_entry = run(Schedule::one(at, Duration::from_secs(20), foreign));
    expect_that!(with_entry.violations, is_empty());
    expect_that!(with_entry.unserved.0, is_empty());
    let lost = |report: &ledgelead_lab::fleet::FleetReport| report.requests - report.answered;
    expect_that!(lost(&with_entry), le(lost(&without) + 20));
}

#[gtest]
fn checker_detects_store_answers_dropped_because_of_a_foreign_entry() {
    let found = violation_kinds(Protection::IsolateUnreadable);
    expect_that!(found, contains(eq(&ViolationKind::NoNewWorkAfterLeave)));
}

#[gtest]
fn checker_detects_requests_to_an_instance_with_a_foreign_entry() {
    let found = violation_kinds(Protection::ExcludeUnreadable);
    expect_that!(found, contains(eq(&ViolationKind::NoNewWorkAfterLeave)));
}

#[gtest]
fn checker_detects_requests_based_on_an_unconfirmed_first_list() {
    let protections = Protections::without(Protection::ConfirmedView);
    let (report, _) = run_seeds(drawn_foreign, 279..=279, NODES, protections, false);
    let found: Vec<ViolationKind> = report.violations.iter().map(|found| found.kind).collect();
    expect_that!(found, contains(eq(&ViolationKind::NoNewWorkAfterLeave)));
}
