//! Rate limits that instances announce.

mod support;

use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::identity::InstanceId;
use ledgelead_router::rate_limit::{
    FailoverStatus, KnownLimits, LimitStatement, Limiter, LimiterFailover, LimiterRole, RateLimit,
    RateNotice, TokenStatus,
};
use std::net::SocketAddr;
use std::time::Duration;
use support::headers;

const INSTANCE: u64 = 17;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn node_address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn limit(millis_per_s: u32) -> RateLimit {
    RateLimit { millis_per_s }
}

/// Times at which tokens are granted to a request every 5 ms in this span.
fn granted(
    limiter: &mut Limiter,
    limit: RateLimit,
    role: LimiterRole,
    span: std::ops::Range<u64>,
) -> Vec<u64> {
    let request_times = span.step_by(5);
    let is_granted = |at: &u64| {
        let status = limiter.request_token(node_address(1), INSTANCE, limit, role, ms(*at));
        status == TokenStatus::Granted
    };
    request_times.filter(is_granted).collect()
}

/// The maximum number of these times within about 4 s.
fn max_in_a_window(times: &[u64]) -> usize {
    let in_window = |from: u64| {
        let window = from..from + 4_000;
        times.iter().filter(|at| window.contains(at)).count()
    };
    times.iter().map(|from| in_window(*from)).max().unwrap_or(0)
}

/// The rate limit in an answer of instance `a` with this status and these headers.
fn notice(status: u16, fields: &[(&str, &str)]) -> RateNotice {
    let mut response = Response::new(status, "");
    for (name, value) in fields {
        response.headers.push(name, *value);
    }
    RateNotice::of(&InstanceId::from("a"), &response, &headers())
}

fn with_limits(values: &[&str]) -> RateNotice {
    let fields: Vec<(&str, &str)> = values.iter().map(|value| ("rate-limit", *value)).collect();
    notice(200, &fields)
}

fn limited(millis_per_s: u32) -> RateNotice {
    RateNotice::Limited(RateLimit { millis_per_s })
}

#[gtest]
fn a_rate_limit_is_a_plain_decimal_number_and_the_lowest_one_counts() {
    expect_that!(with_limits(&["6.5"]), eq(limited(6_500)));
    expect_that!(with_limits(&["1.8"]), eq(limited(1_800)));
    expect_that!(with_limits(&[" 7 "]), eq(limited(7_000)));
    expect_that!(with_limits(&["0"]), eq(limited(0)));
    expect_that!(
        with_limits(&["99999999999999999999"]),
        eq(limited(u32::MAX))
    );
    expect_that!(with_limits(&["8", "2", "5"]), eq(limited(2_000)));
    expect_that!(with_limits(&["soon", "2"]), eq(limited(2_000)));
    expect_that!(with_limits(&["2", "soon"]), eq(limited(2_000)));
    for text in ["-1", "", "soon", "inf", "NaN", "1e3", "+3", "1,5", "1.2.3"] {
        expect_that!(with_limits(&[text]), eq(RateNotice::Unreadable), "{text}");
    }
}

#[gtest]
fn every_complete_answer_of_the_target_instance_counts() {
    for status in [200, 404, 429, 500, 503] {
        let limited_answer = notice(status, &[("rate-limit", "3")]);
        expect_that!(limited_answer, eq(limited(3_000)));
        expect_that!(notice(status, &[]), eq(RateNotice::Unlimited));
    }
    let other = [("rate-limit", "3"), ("instance", "b")];
    expect_that!(notice(200, &other), eq(RateNotice::NotStated));
    expect_that!(notice(421, &[]), eq(RateNotice::NotStated));
    expect_that!(
        notice(421, &[("rate-limit", "3")]),
        eq(RateNotice::NotStated)
    );
}

#[gtest]
fn a_limiter_grants_tokens_at_the_announced_rate() {
    let mut limiter = Limiter::default();
    granted(&mut limiter, limit(6_500), LimiterRole::Primary, 0..5_000);
    let steady = granted(
        &mut limiter,
        limit(6_500),
        LimiterRole::Primary,
        5_000..15_000,
    );
    expect_that!(steady.len(), all!(ge(64), le(66)));
}

#[gtest]
fn a_new_limiter_accounts_for_requests_sent_before_it() {
    let mut limiter = Limiter::default();
    let first = granted(&mut limiter, limit(6_500), LimiterRole::Primary, 0..4_000);
    expect_that!(first[0], all!(ge(2_000), le(2_300)));
}

#[gtest]
fn unused_tokens_allow_only_a_small_burst() {
    let mut limiter = Limiter::default();
    granted(&mut limiter, limit(6_000), LimiterRole::Primary, 0..5_000);
    let after_idle_time = granted(
        &mut limiter,
        limit(6_000),
        LimiterRole::Primary,
        60_000..60_005,
    );
    expect_that!(after_idle_time, len(eq(1)));
    let all = granted(
        &mut limiter,
        limit(6_000),
        LimiterRole::Primary,
        60_005..64_000,
    );
    expect_that!(all.len(), all!(ge(24), le(28)));
}

#[gtest]
fn two_limiters_that_cannot_reach_each_other_stay_within_the_allowed_burst() {
    for millis_per_s in [0, 200, 1_800, 6_500, 40_000] {
        let mut first = Limiter::default();
        let mut second = Limiter::default();
        let rate_limit = limit(millis_per_s);
        let mut times = granted(&mut first, rate_limit, LimiterRole::Primary, 0..30_000);
        // Unused for long, so that its burst falls into the same window.
        granted(&mut second, rate_limit, LimiterRole::Secondary, 0..10_000);
        times.extend(granted(
            &mut second,
            rate_limit,
            LimiterRole::Secondary,
            20_000..30_000,
        ));
        let allowed = (f64::from(millis_per_s) / 1_000.0 * 4.0).mul_add(1.5, 5.0);
        expect_that!(
            max_in_a_window(&times) as f64,
            le(allowed),
            "{millis_per_s}"
        );
    }
}

#[gtest]
fn an_instance_with_limit_zero_gets_occasional_requests() {
    // Only an answer can announce that the instance accepts requests again.
    let mut limiter = Limiter::default();
    let times = granted(&mut limiter, limit(0), LimiterRole::Primary, 0..30_000);
    expect_that!(times.len(), all!(ge(5), le(8)));
}

#[gtest]
fn refused_nodes_are_given_the_times_of_different_tokens() {
    let mut limiter = Limiter::default();
    granted(&mut limiter, limit(5_000), LimiterRole::Primary, 0..4_005);
    let mut wait_for_token = |number| {
        let role = LimiterRole::Primary;
        match limiter.request_token(
            node_address(number),
            INSTANCE,
            limit(5_000),
            role,
            ms(4_010),
        ) {
            TokenStatus::Refused(wait) => wait,
            status => panic!("{status:?}"),
        }
    };
    let first = wait_for_token(1);
    expect_that!(wait_for_token(2) - first, all!(ge(ms(199)), le(ms(201))));
    // Several requests of a node wait for the same token.
    expect_that!(wait_for_token(1), eq(first));
}

#[gtest]
fn the_later_statement_counts_in_any_order_of_arrival() {
    let mut limits = KnownLimits::default();
    let statement = |millis_per_s, at| LimitStatement {
        limit: Some(limit(millis_per_s)),
        at: ms(at),
    };
    limits.record_from_peer(INSTANCE, statement(2_000, 500));
    limits.record_from_peer(INSTANCE, statement(8_000, 400));
    expect_that!(limits.limit(INSTANCE), some(eq(limit(2_000))));
    limits.record_from_peer(INSTANCE, statement(8_000, 600));
    expect_that!(limits.limit(INSTANCE), some(eq(limit(8_000))));
    limits.record_from_response(INSTANCE, None, ms(700));
    limits.record_from_peer(INSTANCE, statement(8_000, 650));
    expect_that!(limits.limit(INSTANCE), none());
}

#[gtest]
fn a_limit_in_an_answer_is_reported_until_the_coordinator_knows_it() {
    let mut limits = KnownLimits::default();
    limits.record_from_response(INSTANCE, Some(limit(2_000)), ms(100));
    expect_that!(limits.unreported().count(), eq(1));
    limits.mark_reported(INSTANCE, Some(limit(9_000)));
    expect_that!(limits.unreported().count(), eq(1));
    limits.mark_reported(INSTANCE, Some(limit(2_000)));
    expect_that!(limits.unreported().count(), eq(0));
    limits.record_from_response(INSTANCE, None, ms(300));
    expect_that!(limits.unreported().count(), eq(1));
}

#[gtest]
fn limits_of_gone_instances_are_removed() {
    let mut limits = KnownLimits::default();
    limits.record_from_response(INSTANCE, Some(limit(2_000)), ms(100));
    limits.expire(|_| true, ms(100_000));
    expect_that!(limits.is_empty(), eq(false));
    limits.expire(|_| false, ms(100_000));
    expect_that!(limits.is_empty(), eq(true));
}

/// The status of the primary limiter after this span, in which tokens are requested from the
/// secondary one every 100 ms.
fn status_after_requests(
    failover: &mut LimiterFailover,
    span: std::ops::Range<u64>,
) -> FailoverStatus {
    let statuses = span
        .step_by(100)
        .map(|at| failover.record_fallback_request(node_address(1), ms(at)));
    statuses.last().expect("a request")
}

#[gtest]
fn the_secondary_limiter_replaces_a_permanently_lost_primary() {
    let mut failover = LimiterFailover::default();
    expect_that!(
        status_after_requests(&mut failover, 0..9_900).is_lost,
        eq(false)
    );
    expect_that!(
        status_after_requests(&mut failover, 9_900..10_200).is_lost,
        eq(true)
    );
    failover.record_message(node_address(1));
    expect_that!(
        status_after_requests(&mut failover, 10_200..19_000).is_lost,
        eq(false)
    );
}

#[gtest]
fn the_primary_limiter_is_not_lost_while_no_tokens_are_requested() {
    let mut failover = LimiterFailover::default();
    status_after_requests(&mut failover, 0..1_000);
    expect_that!(
        status_after_requests(&mut failover, 11_000..12_000).is_lost,
        eq(false)
    );
}

#[gtest]
fn the_primary_limiter_is_probed_every_second() {
    let mut failover = LimiterFailover::default();
    let request_times = (0..5_000).step_by(100);
    let probes = request_times.filter(|at| {
        failover
            .record_fallback_request(node_address(1), ms(*at))
            .is_probed
    });
    expect_that!(probes.count(), eq(5));
}
