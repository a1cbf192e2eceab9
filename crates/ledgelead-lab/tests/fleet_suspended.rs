//! Suspended machines: a process makes no progress, and its monotonic clock stops too.
//!
//! If a coordinator measures the age of its authority by a clock that stops during suspension,
//! it overestimates its remaining authority after it resumes. Its successor has meanwhile
//! waited out that authority and given the keys of an unresponsive owner to another instance,
//! but the resumed coordinator renews them at the previous owner. In the simulation:
//!
//!     45.9867 single_owner: i-2 takes 32768 to 43689 while i-3 holds them until 49.967
//!     46.8890 single_owner: i-3 takes 32768 to 43689 while i-2 holds them until 50.067

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_suspended, run_seeds};
use ledgelead_lab::fleet::{FleetSettings, World};
use ledgelead_router::protections::Protections;
use ledgelead_runtime::clock::ClockSource;

#[gtest]
fn suspended_machine_creates_no_second_owner() {
    let (_, lines) = run_seeds(
        drawn_suspended,
        1..=130,
        NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

#[gtest]
fn checker_detects_two_owners_if_the_clock_stops_during_suspension() {
    let report = World::new(FleetSettings {
        clock: ClockSource::Monotonic,
        ..drawn_suspended(1_807, NODES, Protections::default())
    })
    .run();
    expect_that!(report.violations, not(is_empty()));
}
