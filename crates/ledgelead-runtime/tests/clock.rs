//! The clock of a process, and how it notices that the machine was suspended.

use googletest::prelude::*;
use ledgelead_runtime::clock::{ClockSource, ProcessClock, SuspensionDetector};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn processes_go_by_a_clock_that_counts_suspensions() {
    expect_that!(ProcessClock::SOURCE, eq(ClockSource::Boottime));
    let clock = ProcessClock::start();
    let first = clock.now();
    expect_that!(clock.now(), ge(first));
}

#[gtest]
fn a_steady_clock_that_stands_still_shows_a_suspension_once() {
    let origin = Instant::now();
    let mut suspension = SuspensionDetector::new(origin, ms(3));
    let mut passed = |steady, time| suspension.passed(origin + ms(steady), ms(time));
    expect_that!(passed(1_000, 1_003), eq(Duration::ZERO));
    expect_that!(passed(1_100, 6_103), eq(ms(5_000)));
    expect_that!(passed(1_200, 6_203), eq(Duration::ZERO));
    expect_that!(
        passed(1_300, 6_403),
        eq(Duration::ZERO),
        "lost its processor"
    );
    expect_that!(passed(1_400, 7_703), eq(ms(1_300)));
}
