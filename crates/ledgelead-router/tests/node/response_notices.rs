//! Instances that announce in responses that they are leaving, or that they want a pause.
//!
//! If a node learns of leaving instances only from the store, an outage hides them: while the
//! store was silent from 4.9 s to 20.0 s, an owner of keys announced from 7.5 s on in each
//! response that it was leaving. Two nodes that had relayed such responses still sent it
//! requests 2.03 s and 2.37 s later, and none logged `instance_drains` before 20.15 s,
//! although all of them had received such responses.
//!
//! If a node ignores that a rejection may request a pause, it sends requests in vain: four of
//! 14 owners answered 503 with `Retry-After: 3`, and a node sent one of them up to 12 requests
//! within that time, and each request up to four times (the second time after 62 ms).

use crate::fixture::{
    Fixture, KEYED, SERVICE, completed, configuration, instance, ms, owned_store, success,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use std::net::SocketAddr;

/// Time in which a leaving instance may still receive requests from a node that knows of it.
const DRAIN_MS: u64 = 2_000;
/// The owner of all keys.
const OWNER: u8 = 3;
/// The path of orders.
const ORDER: &str = "order";

fn address(number: u8) -> SocketAddr {
    instance(number, SERVICE).address
}

fn leaving() -> Response {
    let mut response = success();
    response.headers.push("leaving", "1");
    response
}

/// A rejection that requests a pause of this many seconds.
fn pause_response(seconds: &str) -> Response {
    let mut response = Response::new(503, "");
    response.headers.push("not-executed", "1");
    response.headers.push("retry-after", seconds);
    response
}

/// Answers all attempts. Returns the instances that received requests, not counting orders of
/// a coordinator.
fn answer_all(fixture: &mut Fixture, answer: impl Fn(SocketAddr) -> Response) -> Vec<SocketAddr> {
    let mut receivers = Vec::new();
    while let Some(sent) = fixture.attempts.pop() {
        fixture.run_until(fixture.now + ms(1));
        if sent.target == ORDER {
            fixture.answer(sent.exchange, completed(&sent));
            continue;
        }
        receivers.push(sent.address);
        fixture.answer(sent.exchange, answer(sent.address));
    }
    receivers
}

/// Sends a request every 100 ms for this time. Returns the instances that received one.
fn send_requests_for(
    fixture: &mut Fixture,
    (service, key): (&str, Option<u16>),
    duration_ms: u64,
    answer: impl Fn(SocketAddr) -> Response,
) -> Vec<SocketAddr> {
    let mut receivers = Vec::new();
    let end = fixture.now + ms(duration_ms);
    while fixture.now < end {
        fixture.request(service, key);
        receivers.extend(answer_all(fixture, &answer));
        let next_request_at = fixture.now + ms(100);
        while fixture.now < next_request_at {
            fixture.run_until((fixture.now + ms(10)).min(next_request_at));
            receivers.extend(answer_all(fixture, &answer));
        }
    }
    receivers
}

/// A node that knows the owner of all keys, and has lost the store since.
fn without_store() -> Fixture {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(2_000));
    fixture.store.refuses_calls = true;
    fixture.run_until(ms(4_000));
    fixture
}

fn keyed() -> (&'static str, Option<u16>) {
    (KEYED, Some(7))
}

fn unkeyed() -> (&'static str, Option<u16>) {
    (SERVICE, None)
}

#[gtest]
fn owner_that_announces_leaving_gets_no_requests_after_the_drain_bound() {
    let mut fixture = without_store();
    fixture.request(KEYED, Some(7));
    expect_that!(answer_all(&mut fixture, |_| leaving()), len(eq(1)));
    fixture.run_until(fixture.now + ms(DRAIN_MS));
    let receivers = send_requests_for(&mut fixture, keyed(), 1_000, |_| success());
    expect_that!(receivers, not(contains(eq(&address(OWNER)))));
}

#[gtest]
fn instance_that_announces_leaving_gets_no_new_requests() {
    let mut fixture = without_store();
    let respond = |to: SocketAddr| match to == address(1) {
        true => leaving(),
        false => success(),
    };
    send_requests_for(&mut fixture, unkeyed(), 1_000, respond);
    fixture.run_until(fixture.now + ms(DRAIN_MS));
    let receivers = send_requests_for(&mut fixture, unkeyed(), 1_000, respond);
    expect_that!(receivers, not(contains(eq(&address(1)))));
    expect_that!(receivers, contains(eq(&address(2))));
}

#[gtest]
fn owner_gets_no_requests_during_a_requested_pause() {
    let mut fixture = without_store();
    fixture.request(KEYED, Some(7));
    let first = answer_all(&mut fixture, |_| pause_response("3"));
    expect_that!(first, len(eq(1)));
    let receivers = send_requests_for(&mut fixture, keyed(), 2_500, |_| pause_response("3"));
    expect_that!(receivers, is_empty());
    fixture.run_until(fixture.now + ms(500));
    let after = send_requests_for(&mut fixture, keyed(), 500, |_| success());
    expect_that!(after, len(ge(4)));
}

#[gtest]
fn caller_of_a_paused_owner_is_refused_immediately_with_the_remaining_time() {
    let mut fixture = without_store();
    fixture.request(KEYED, Some(7));
    answer_all(&mut fixture, |_| pause_response("3"));
    fixture.answers.clear();
    fixture.run_until(fixture.now + ms(1_000));
    let requester = fixture.request(KEYED, Some(7));
    let (client, response) = fixture.answers.pop().expect("an answer at once");
    expect_that!(client, eq(requester));
    expect_that!(response.status, eq(503));
    let retry_after: Option<f64> = response.headers.number("retry-after");
    // Two seconds remain, extended at random by up to 0.7 of that.
    expect_that!(retry_after, some(all!(ge(1.9), le(3.5))));
}

#[gtest]
fn instances_get_no_requests_while_all_are_paused() {
    let mut fixture = without_store();
    let pause = |_| pause_response("2.5");
    let paused = send_requests_for(&mut fixture, unkeyed(), 300, pause);
    expect_that!(paused, len(eq(2)));
    let receivers = send_requests_for(&mut fixture, unkeyed(), 1_500, pause);
    expect_that!(receivers, is_empty());
}

#[gtest]
fn later_shorter_pause_does_not_end_an_earlier_one() {
    let mut fixture = without_store();
    for _ in 0..2 {
        fixture.request(KEYED, Some(7));
    }
    let sent: Vec<_> = std::mem::take(&mut fixture.attempts);
    let requests = sent.into_iter().filter(|sent| sent.target != ORDER);
    for (sent, seconds) in requests.zip(["3", "0.5"]) {
        fixture.answer(sent.exchange, pause_response(seconds));
    }
    let receivers = send_requests_for(&mut fixture, keyed(), 2_800, |_| success());
    expect_that!(receivers, is_empty());
}

#[gtest]
fn pause_uses_no_retry_and_is_no_failure() {
    let mut fixture = without_store();
    // Three consecutive failures would eject an instance for longer than these pauses.
    for _ in 0..4 {
        fixture.request(KEYED, Some(7));
        expect_that!(
            answer_all(&mut fixture, |_| pause_response("0.3")),
            len(eq(1))
        );
        fixture.run_until(fixture.now + ms(301));
    }
    expect_that!(fixture.node.status().requests.retries, is_empty());
    fixture.request(KEYED, Some(7));
    expect_that!(answer_all(&mut fixture, |_| success()), len(eq(1)));
}

#[gtest]
fn request_shortly_before_the_end_of_a_pause_waits_for_it() {
    let mut fixture = without_store();
    fixture.request(KEYED, Some(7));
    answer_all(&mut fixture, |_| pause_response("1"));
    fixture.answers.clear();
    // The remaining 60 ms are within 0.22 of the target of 400 ms.
    fixture.run_until(fixture.now + ms(940));
    fixture.request(KEYED, Some(7));
    expect_that!(fixture.answers, is_empty());
    fixture.run_until(fixture.now + ms(60));
    expect_that!(answer_all(&mut fixture, |_| success()), len(eq(1)));
}
