//! Suspended machines: a process makes no progress, and its monotonic clock stops too.
//!
//! If a coordinator measures the age of its authority by a clock that stops during suspension,
//! it overestimates its remaining authority after it resumes. Its successor has meanwhile
//! waited out that authority and given the keys of an unresponsive owner to another instance,
//! but the resumed coordinator renews them at the previous owner.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_suspended, run_seeds};
use ledgelead_lab::fleet::{
    FaultKind, FleetReport, FleetSettings, Schedule, Target, ViolationKind, World,
};
use ledgelead_router::protections::Protections;
use ledgelead_runtime::clock::ClockSource;
use std::time::Duration;

#[gtest]
fn suspended_machine_creates_no_second_owner() {
    for seeds in [1..=130, 1_807..=1_807] {
        let protections = Protections::default();
        let (_, lines) = run_seeds(drawn_suspended, seeds, NODES, protections, false);
        expect_that!(lines, is_empty());
    }
}

/// The coordinator and one owner reach only each other. The coordinator is suspended until its
/// successor may soon give the owner's keys away, and then reaches the owner again.
fn resumed_coordinator_reaches_an_owner_alone(clock: ClockSource) -> FleetReport {
    let schedule = Schedule::one(
        Duration::from_secs(15),
        Duration::from_secs(30),
        FaultKind::IsolateWithCoordinator(1),
    )
    .and(
        Duration::from_millis(15_500),
        Duration::from_secs(16),
        FaultKind::SuspendNode(Target::Coordinator),
    );
    World::new(FleetSettings {
        clock,
        schedule,
        ..drawn_suspended(3, NODES, Protections::default())
    })
    .run()
}

#[gtest]
fn checker_detects_two_owners_if_the_clock_stops_during_suspension() {
    let safe = resumed_coordinator_reaches_an_owner_alone(ClockSource::Boottime);
    expect_that!(safe.violations, is_empty());
    let unsafe_run = resumed_coordinator_reaches_an_owner_alone(ClockSource::Monotonic);
    let kinds = unsafe_run.violations.iter().map(|found| found.kind);
    expect_that!(
        kinds.collect::<Vec<_>>(),
        contains(eq(&ViolationKind::SingleOwner))
    );
}
