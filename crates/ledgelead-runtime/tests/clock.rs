//! The process's clock, and detection of machine suspensions.

use googletest::prelude::*;
use ledgelead_runtime::clock::{ClockSource, ProcessClock, SuspensionDetector};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn the_process_clock_counts_suspensions() {
    expect_that!(ProcessClock::SOURCE, eq(ClockSource::Boottime));
    let clock = ProcessClock::start();
    let first = clock.now();
    expect_that!(clock.now(), ge(first));
}

#[gtest]
fn each_suspension_is_reported_once() {
    let origin = Instant::now();
    let mut detector = SuspensionDetector::new(origin, ms(3));
    let mut detect = |monotonic, time| detector.detect(origin + ms(monotonic), ms(time));
    expect_that!(detect(1_000, 1_003), eq(Duration::ZERO));
    expect_that!(detect(1_100, 6_103), eq(ms(5_000)));
    expect_that!(detect(1_200, 6_203), eq(Duration::ZERO));
    expect_that!(
        detect(1_300, 6_403),
        eq(Duration::ZERO),
        "preempted between the readings"
    );
    expect_that!(detect(1_400, 7_703), eq(ms(1_300)));
}
