//! Instances that say of themselves, in their answers, that they leave or want a pause.
//!
//! A node knew who leaves from the store's entries alone. While the store was silent from
//! 4.9 s to 20.0 s, an owner of keys said from 7.5 s on in each answer that it leaves; of
//! two nodes that had passed such answers on, requests reached it 2.03 s and 2.37 s later.
//! No node logged `instance_drains` before 20.15 s, though all had the answers:
//!
//!     7.889  bench-hall-1 passes on an answer of i-b458cb5bf2 that says so
//!     9.923  a request from bench-hall-1 reaches i-b458cb5bf2, which runs it
//!
//! Nor did it know that a rejection may ask for a pause. Four owners of 14 answered 503
//! with `Retry-After: 3`; a node sent one of them up to 12 requests in that time, each
//! request up to four times:
//!
//!     6.9941 attempt_ended shed i-18fca4a701 sent_after_ms 0
//!     7.0553 attempt_ended shed i-18fca4a701 sent_after_ms 62

use crate::fixture::{Fixture, KEYED, SERVICE, configuration, instance, ms, owned_store, success};
use googletest::prelude::*;
use ledgelead_http::Response;
use std::net::SocketAddr;

/// Time in which a leaving instance may still get work of a node that knows of it.
const DRAIN_MS: u64 = 2_000;
/// The owner of all keys.
const OWNER: u8 = 3;
/// The target of orders.
const ORDER: &str = "order";

fn address(number: u8) -> SocketAddr {
    instance(number, SERVICE).address
}

fn leaving() -> Response {
    let mut response = success();
    response.headers.push("leaving", "1");
    response
}

/// A rejection that asks for a pause of so many seconds.
fn asks_for_pause(seconds: &str) -> Response {
    let mut response = Response::new(503, "");
    response.headers.push("not-executed", "1");
    response.headers.push("retry-after", seconds);
    response
}

/// The instances answer all that was sent. Returns who got requests; orders of a
/// coordinator are none.
fn answer_all(fixture: &mut Fixture, answer: impl Fn(SocketAddr) -> Response) -> Vec<SocketAddr> {
    let mut reached = Vec::new();
    while let Some(sent) = fixture.attempts.pop() {
        fixture.run_until(fixture.now + ms(1));
        if sent.target == ORDER {
            fixture.answer(sent.exchange, Response::new(200, ""));
            continue;
        }
        reached.push(sent.address);
        fixture.answer(sent.exchange, answer(sent.address));
    }
    reached
}

/// A request each 100 ms for so long. Returns which instances got one.
fn ask_for(
    fixture: &mut Fixture,
    (service, key): (&str, Option<u16>),
    lasts_ms: u64,
    answer: impl Fn(SocketAddr) -> Response,
) -> Vec<SocketAddr> {
    let mut reached = Vec::new();
    let end = fixture.now + ms(lasts_ms);
    while fixture.now < end {
        fixture.ask(service, key);
        reached.extend(answer_all(fixture, &answer));
        let pause_over = fixture.now + ms(100);
        while fixture.now < pause_over {
            fixture.run_until((fixture.now + ms(10)).min(pause_over));
            reached.extend(answer_all(fixture, &answer));
        }
    }
    reached
}

/// A node that knows an owner of all keys, and that has lost the store since.
fn without_store() -> Fixture {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(2_000));
    fixture.store.refuses = true;
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
fn an_owner_that_says_in_an_answer_that_it_leaves_gets_nothing_after_its_bound() {
    let mut fixture = without_store();
    fixture.ask(KEYED, Some(7));
    expect_that!(answer_all(&mut fixture, |_| leaving()), len(eq(1)));
    fixture.run_until(fixture.now + ms(DRAIN_MS));
    let reached = ask_for(&mut fixture, keyed(), 1_000, |_| success());
    expect_that!(reached, not(contains(eq(&address(OWNER)))));
}

#[gtest]
fn an_instance_that_says_in_an_answer_that_it_leaves_gets_nothing_new() {
    let mut fixture = without_store();
    let says_so = |to: SocketAddr| match to == address(1) {
        true => leaving(),
        false => success(),
    };
    ask_for(&mut fixture, unkeyed(), 1_000, says_so);
    fixture.run_until(fixture.now + ms(DRAIN_MS));
    let reached = ask_for(&mut fixture, unkeyed(), 1_000, says_so);
    expect_that!(reached, not(contains(eq(&address(1)))));
    expect_that!(reached, contains(eq(&address(2))));
}

#[gtest]
fn an_owner_that_asks_for_a_pause_gets_nothing_until_its_end() {
    let mut fixture = without_store();
    fixture.ask(KEYED, Some(7));
    let first = answer_all(&mut fixture, |_| asks_for_pause("3"));
    expect_that!(first, len(eq(1)));
    let reached = ask_for(&mut fixture, keyed(), 2_500, |_| asks_for_pause("3"));
    expect_that!(reached, is_empty());
    fixture.run_until(fixture.now + ms(500));
    let after = ask_for(&mut fixture, keyed(), 500, |_| success());
    expect_that!(after, len(ge(4)));
}

#[gtest]
fn who_can_be_served_by_an_owner_in_a_pause_alone_is_told_at_once_when_it_ends() {
    let mut fixture = without_store();
    fixture.ask(KEYED, Some(7));
    answer_all(&mut fixture, |_| asks_for_pause("3"));
    fixture.answers.clear();
    fixture.run_until(fixture.now + ms(1_000));
    let asked = fixture.ask(KEYED, Some(7));
    let (client, response) = fixture.answers.pop().expect("an answer at once");
    expect_that!(client, eq(asked));
    expect_that!(response.status, eq(503));
    let again: Option<f64> = response.headers.number("retry-after");
    // Two seconds are left, spread by 0.7.
    expect_that!(again, some(all!(ge(1.9), le(3.5))));
}

#[gtest]
fn instances_that_all_ask_for_a_pause_get_nothing_until_its_end() {
    let mut fixture = without_store();
    let pause = |_| asks_for_pause("2.5");
    let told = ask_for(&mut fixture, unkeyed(), 300, pause);
    expect_that!(told, len(eq(2)));
    let reached = ask_for(&mut fixture, unkeyed(), 1_500, pause);
    expect_that!(reached, is_empty());
}

#[gtest]
fn a_pause_holds_on_beside_a_shorter_one_that_is_asked_for_later() {
    let mut fixture = without_store();
    for _ in 0..2 {
        fixture.ask(KEYED, Some(7));
    }
    let sent: Vec<_> = std::mem::take(&mut fixture.attempts);
    let requests = sent.into_iter().filter(|sent| sent.target != ORDER);
    for (sent, seconds) in requests.zip(["3", "0.5"]) {
        fixture.answer(sent.exchange, asks_for_pause(seconds));
    }
    let reached = ask_for(&mut fixture, keyed(), 2_800, |_| success());
    expect_that!(reached, is_empty());
}

#[gtest]
fn a_pause_costs_no_repeat_and_is_no_failure() {
    let mut fixture = without_store();
    // Three failures in a row eject an instance, for longer than the pauses here.
    for _ in 0..4 {
        fixture.ask(KEYED, Some(7));
        expect_that!(
            answer_all(&mut fixture, |_| asks_for_pause("0.3")),
            len(eq(1))
        );
        fixture.run_until(fixture.now + ms(301));
    }
    expect_that!(fixture.node.status().requests.retries, is_empty());
    fixture.ask(KEYED, Some(7));
    expect_that!(answer_all(&mut fixture, |_| success()), len(eq(1)));
}

#[gtest]
fn a_request_that_comes_shortly_before_the_end_of_a_pause_waits_for_it() {
    let mut fixture = without_store();
    fixture.ask(KEYED, Some(7));
    answer_all(&mut fixture, |_| asks_for_pause("1"));
    fixture.answers.clear();
    // Within 0.22 of its target of 400 ms.
    fixture.run_until(fixture.now + ms(940));
    fixture.ask(KEYED, Some(7));
    expect_that!(fixture.answers, is_empty());
    fixture.run_until(fixture.now + ms(60));
    expect_that!(answer_all(&mut fixture, |_| success()), len(eq(1)));
}
