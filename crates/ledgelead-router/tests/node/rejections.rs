//! Instances that reject requests because they are full, or although they have free slots.

use crate::fixture::{
    Fixture, KEYED, SERVICE, Sent, Store, all_keys_of, configuration, instance, ms, node_record,
    success,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use std::net::SocketAddr;

const FREE: &str = "1,0,4";
const FULL: &str = "4,0,4";

fn store(instances: u8, service: &str) -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 1..=instances {
        store.add_instance(instance(number, service));
    }
    store.add_node(node_record(0));
    store.add_node(node_record(1));
    store
}

/// A node that has run for longer than the window of the retry budget.
fn node(instances: u8) -> Fixture {
    let mut fixture = Fixture::new(store(instances, SERVICE));
    fixture.run_until(ms(11_000));
    fixture
}

fn reject(fixture: &mut Fixture, sent: &Sent, load: &str) {
    let mut response = Response::new(503, "");
    response.headers.push("not-executed", "1");
    response.headers.push("load", load);
    fixture.answer(sent.exchange, response);
}

fn serve(fixture: &mut Fixture, sent: &Sent) {
    let mut response = success();
    response.headers.push("load", FREE);
    fixture.answer(sent.exchange, response);
}

fn address(number: u8) -> SocketAddr {
    instance(number, SERVICE).address
}

/// Number of attempts at `instance` among those of 60 requests. Attempts chosen by `rejects`
/// are rejected with this load.
fn attempts_at(
    fixture: &mut Fixture,
    instance: u8,
    load: &str,
    rejects: impl Fn(SocketAddr, usize) -> bool,
) -> usize {
    let mut count = 0;
    let mut sent_so_far = 0;
    for _ in 0..60 {
        fixture.run_until(fixture.now + ms(30));
        fixture.request(SERVICE, None);
        while let Some(sent) = fixture.attempts.pop() {
            count += usize::from(sent.address == address(instance));
            sent_so_far += 1;
            fixture.run_until(fixture.now + ms(5));
            match rejects(sent.address, sent_so_far) {
                true => reject(fixture, &sent, load),
                false => serve(fixture, &sent),
            }
        }
    }
    count
}

#[gtest]
fn instance_that_rejects_with_free_slots_is_avoided() {
    let mut fixture = node(4);
    let count = attempts_at(&mut fixture, 1, FREE, |to, _| to == address(1));
    expect_that!(count, le(8));
}

#[gtest]
fn no_instance_is_avoided_if_all_reject() {
    let mut fixture = node(4);
    // The first instance rejects more often than the others.
    let rejects = |to: SocketAddr, number: usize| match to == address(1) {
        true => !number.is_multiple_of(5),
        false => number % 5 < 2,
    };
    let count = attempts_at(&mut fixture, 1, FREE, rejects);
    expect_that!(count, ge(12));
}

#[gtest]
fn full_instance_gets_its_share_once_it_has_free_slots() {
    let mut fixture = node(2);
    attempts_at(&mut fixture, 1, FULL, |to, _| to == address(1));
    fixture.run_until(fixture.now + ms(500));
    let count = attempts_at(&mut fixture, 1, FULL, |_, _| false);
    expect_that!(count, ge(20));
}

/// The `Retry-After` time of a request that all instances reject, after a third of the
/// previous requests was rejected with this load.
fn retry_after_rejections(load: &str) -> f64 {
    let mut fixture = node(4);
    let every_third = |_: SocketAddr, number: usize| number.is_multiple_of(3);
    attempts_at(&mut fixture, 1, load, every_third);
    fixture.answers.clear();
    fixture.request(SERVICE, None);
    while let Some(sent) = fixture.attempts.pop() {
        reject(&mut fixture, &sent, load);
    }
    let (_, response) = fixture.answers.pop().expect("an answer");
    expect_that!(response.status, eq(503));
    let pause = response.headers.text("retry-after");
    pause.and_then(|text| text.parse().ok()).expect("a time")
}

#[gtest]
fn callers_are_told_to_retry_soon_if_slots_are_free_and_later_if_not() {
    // The next attempt is as likely to be accepted: 30 ms, extended at random by up to 0.7 of
    // that.
    expect_that!(retry_after_rejections(FREE), all!(ge(0.03), le(0.051)));
    expect_that!(retry_after_rejections(FULL), ge(0.15));
}

/// Number of attempts at the owner of a key within this time if it rejects them all.
fn attempts_at_owner(load: &str, millis: u64) -> usize {
    let mut store = store(1, KEYED);
    store.put_ownership(all_keys_of("i-1", 1));
    let mut fixture = Fixture::new(store);
    // Other requests earn the budget for retries.
    fixture.run_until(ms(2_000));
    for _ in 0..60 {
        fixture.request(KEYED, Some(7));
        while let Some(sent) = fixture.attempts.pop() {
            serve(&mut fixture, &sent);
        }
    }
    fixture.request(KEYED, Some(7));
    let mut count = 0;
    let end = fixture.now + ms(millis);
    while fixture.now < end {
        while let Some(sent) = fixture.attempts.pop() {
            count += 1;
            reject(&mut fixture, &sent, load);
        }
        fixture.run_until(fixture.now + ms(1));
    }
    count
}

#[gtest]
fn owner_with_free_slots_is_retried_once_immediately() {
    expect_that!(attempts_at_owner(FREE, 5), eq(2));
    expect_that!(attempts_at_owner(FREE, 40), eq(2));
    expect_that!(attempts_at_owner(FULL, 40), eq(1));
}
