//! Causes of rejections by instances.

use googletest::prelude::*;
use ledgelead_router::identity::{InstanceId, ServiceName};
use ledgelead_router::requests::{CommonRejections, RejectionCause, ReportedLoad};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn load(running: u32, waiting: u32) -> ReportedLoad {
    ReportedLoad {
        running,
        waiting,
        slowness: None,
        at: Duration::ZERO,
    }
}

#[gtest]
fn the_reported_load_distinguishes_full_instances_from_others() {
    let cause = |load: Option<ReportedLoad>| RejectionCause::of(load.as_ref(), 4);
    expect_that!(cause(Some(load(4, 0))), eq(RejectionCause::Full));
    expect_that!(cause(Some(load(3, 1))), eq(RejectionCause::Full));
    expect_that!(cause(Some(load(u32::MAX, 1))), eq(RejectionCause::Full));
    expect_that!(cause(Some(load(3, 0))), eq(RejectionCause::FreeSlots));
    expect_that!(cause(None), eq(RejectionCause::NoLoadReported));
}

/// Whether rejections count as common if the first of ten instances reject.
fn is_common(rejecting: usize, after: Duration) -> bool {
    let service = ServiceName::from("s");
    let mut common = CommonRejections::default();
    for number in 0..10 {
        let instance = InstanceId::from(format!("i-{number}").as_str());
        common.record(&service, &instance, number < rejecting, ms(0));
        common.record(&service, &instance, false, ms(1));
    }
    common.is_common(&service, after)
}

#[gtest]
fn a_cause_is_common_if_many_instances_reject() {
    expect_that!(is_common(0, ms(10)), eq(false));
    expect_that!(is_common(2, ms(10)), eq(false));
    expect_that!(is_common(3, ms(10)), eq(true));
    expect_that!(is_common(10, ms(3_999)), eq(true));
    expect_that!(is_common(10, ms(4_000)), eq(false));
}

#[gtest]
fn a_single_rejecting_instance_is_no_common_cause() {
    let service = ServiceName::from("s");
    let mut common = CommonRejections::default();
    common.record(&service, &InstanceId::from("i"), true, ms(0));
    expect_that!(common.is_common(&service, ms(1)), eq(false));
    common.record(&service, &InstanceId::from("j"), true, ms(0));
    expect_that!(common.is_common(&service, ms(1)), eq(true));
    expect_that!(common.is_common(&ServiceName::from("t"), ms(1)), eq(false));
    common.expire(ms(4_000));
    expect_that!(common.is_common(&service, ms(1)), eq(false));
}
