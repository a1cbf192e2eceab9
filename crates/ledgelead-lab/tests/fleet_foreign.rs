//! Entries of the store that another writer made: the instance that such an entry named
//! gets nothing more, and the others hold, also where they leave meanwhile.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn, drawn_foreign, run_seeds};
use ledgelead_lab::fleet::{FaultKind, FleetSettings, Schedule, ViolationKind, World};
use ledgelead_router::protections::{Protection, Protections};
use std::time::Duration;

/// Nodes of a run whose zones are large enough for broadcasts to be passed on.
const MANY_NODES: usize = 21;

fn kinds(protection: Protection) -> Vec<ViolationKind> {
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
fn foreign_entries_break_nothing() {
    let (_, lines) = run_seeds(drawn_foreign, 1..=60, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

#[gtest]
fn foreign_entries_break_nothing_where_broadcasts_are_passed_on() {
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
fn foreign_entries_alone_break_nothing_where_broadcasts_are_passed_on() {
    // Even seeds draw no other faults.
    for seed in (2..=32).step_by(2) {
        let settings = drawn_foreign(seed, MANY_NODES, Protections::default());
        let report = World::new(settings).run();
        expect_that!(report.violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn a_drain_is_known_to_nodes_that_start_without_a_coordinator() {
    // All nodes are killed and an instance begins to drain meanwhile; three of them sent it
    // work 2.7 s later, by lists that were older than that.
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
fn others_are_served_beside_a_foreign_entry() {
    let calm = drawn(4, Protections::default());
    let run = |schedule| {
        World::new(FleetSettings {
            schedule,
            ..calm.clone()
        })
        .run()
    };
    let without = run(Schedule::default());
    // An instance without keys: three others of its service have room for its work.
    let foreign = FaultKind::ForeignEntry(7);
    let at = Duration::from_secs(15);
    let beside = run(Schedule::one(at, Duration::from_secs(20), foreign));
    expect_that!(beside.violations, is_empty());
    expect_that!(beside.unserved.0, is_empty());
    let lost = |report: &ledgelead_lab::fleet::FleetReport| report.requests - report.answered;
    expect_that!(lost(&beside), le(lost(&without) + 20));
}

#[gtest]
fn the_checker_sees_an_answer_that_is_dropped_with_a_foreign_entry() {
    let found = kinds(Protection::ForeignApart);
    expect_that!(found, contains(eq(&ViolationKind::NoNewWorkAfterLeave)));
}

#[gtest]
fn the_checker_sees_the_use_of_an_instance_whose_entry_is_foreign() {
    let found = kinds(Protection::ForeignUnused);
    expect_that!(found, contains(eq(&ViolationKind::NoNewWorkAfterLeave)));
}

#[gtest]
fn the_checker_sees_work_by_a_first_list_that_nothing_confirms() {
    let protections = Protections::without(Protection::ConfirmedView);
    let (report, _) = run_seeds(drawn_foreign, 279..=279, NODES, protections, false);
    let found: Vec<ViolationKind> = report.violations.iter().map(|found| found.kind).collect();
    expect_that!(found, contains(eq(&ViolationKind::NoNewWorkAfterLeave)));
}
