//! Machines that are suspended: a process stands still, and its steady clock with it.
//!
//! A coordinator that was suspended took its authority for as young as before, since it
//! counted that by a clock which stands still meanwhile. Its successor had waited the
//! authority out and given a silent owner's keys away; the former one, awake again, went on
//! to renew them at the earlier owner. In the simulation:
//!
//!     45.9867 single_owner: i-2 takes 32768 to 43689 while i-3 holds them until 49.967
//!     46.8890 single_owner: i-3 takes 32768 to 43689 while i-2 holds them until 50.067

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_suspended, run_seeds};
use ledgelead_lab::fleet::{FleetSettings, World};
use ledgelead_router::protections::Protections;
use ledgelead_runtime::clock::ClockSource;

#[gtest]
fn a_suspended_machine_leaves_no_keys_with_two_owners() {
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
fn the_checker_sees_two_owners_by_a_clock_that_stands_still() {
    let report = World::new(FleetSettings {
        clock: ClockSource::Steady,
        ..drawn_suspended(1_807, NODES, Protections::default())
    })
    .run();
    expect_that!(report.violations, not(is_empty()));
}
