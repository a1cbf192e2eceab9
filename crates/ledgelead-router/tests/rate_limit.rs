//! Rate limits that instances name.

use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::dialect::HeaderNames;
use ledgelead_router::identity::InstanceId;
use ledgelead_router::rate_limit::{RateLimit, RateNotice};

fn headers() -> HeaderNames {
    let name = |name: &str| name.to_owned();
    HeaderNames {
        attempt_id: name("attempt"),
        deadline: name("deadline"),
        signature: name("signature"),
        target_instance: name("target"),
        load: name("load"),
        not_executed: name("not-executed"),
        instance: name("instance"),
        key: name("key"),
        retry_after: name("retry-after"),
        leaving: name("leaving"),
        rate_limit: name("rate-limit"),
    }
}

/// What an answer with this status and these headers says of the instance `a`.
fn notice(status: u16, fields: &[(&str, &str)]) -> RateNotice {
    let mut response = Response::new(status, "");
    for (name, value) in fields {
        response.headers.push(name, *value);
    }
    RateNotice::of(&InstanceId::from("a"), &response, &headers())
}

fn named(values: &[&str]) -> RateNotice {
    let fields: Vec<(&str, &str)> = values.iter().map(|value| ("rate-limit", *value)).collect();
    notice(200, &fields)
}

fn limited(millis_per_s: u32) -> RateNotice {
    RateNotice::Limited(RateLimit { millis_per_s })
}

#[gtest]
fn a_rate_limit_is_a_plain_decimal_number_and_the_lowest_counts() {
    expect_that!(named(&["6.5"]), eq(limited(6_500)));
    expect_that!(named(&["1.8"]), eq(limited(1_800)));
    expect_that!(named(&[" 7 "]), eq(limited(7_000)));
    expect_that!(named(&["0"]), eq(limited(0)));
    expect_that!(named(&["99999999999999999999"]), eq(limited(u32::MAX)));
    expect_that!(named(&["8", "2", "5"]), eq(limited(2_000)));
    expect_that!(named(&["soon", "2"]), eq(limited(2_000)));
    expect_that!(named(&["2", "soon"]), eq(limited(2_000)));
    for text in ["-1", "", "soon", "inf", "NaN", "1e3", "+3", "1,5", "1.2.3"] {
        expect_that!(named(&[text]), eq(RateNotice::Unreadable), "{text}");
    }
}

#[gtest]
fn each_whole_answer_of_the_instance_that_was_meant_counts() {
    for status in [200, 404, 429, 500, 503] {
        let named = notice(status, &[("rate-limit", "3")]);
        expect_that!(named, eq(limited(3_000)));
        expect_that!(notice(status, &[]), eq(RateNotice::Unlimited));
    }
    let other = [("rate-limit", "3"), ("instance", "b")];
    expect_that!(notice(200, &other), eq(RateNotice::Silent));
    expect_that!(notice(421, &[]), eq(RateNotice::Silent));
    expect_that!(notice(421, &[("rate-limit", "3")]), eq(RateNotice::Silent));
}
