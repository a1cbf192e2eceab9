//! Instances that reject requests: full ones, and others although they have free slots.

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
    store.configure(configuration(1));
    for number in 1..=instances {
        store.add_instance(instance(number, service));
    }
    store.add_node(node_record(0));
    store.add_node(node_record(1));
    store
}

/// A node that has lived for longer than the window of the retry budget.
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

/// Attempts of 60 requests, the rejected ones with them, by `rejects`.
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
        fixture.ask(SERVICE, None);
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
fn one_that_rejects_with_free_slots_is_avoided() {
    let mut fixture = node(4);
    let count = attempts_at(&mut fixture, 1, FREE, |to, _| to == address(1));
    expect_that!(count, le(8));
}

#[gtest]
fn none_is_avoided_where_all_reject() {
    let mut fixture = node(4);
    // The first instance has bad luck, and rejects more often than the others.
    let luckless = |to: SocketAddr, number: usize| match to == address(1) {
        true => !number.is_multiple_of(5),
        false => number % 5 < 2,
    };
    let count = attempts_at(&mut fixture, 1, FREE, luckless);
    expect_that!(count, ge(12));
}

#[gtest]
fn a_full_instance_gets_its_part_once_it_has_room() {
    let mut fixture = node(2);
    attempts_at(&mut fixture, 1, FULL, |to, _| to == address(1));
    fixture.run_until(fixture.now + ms(500));
    let count = attempts_at(&mut fixture, 1, FULL, |_, _| false);
    expect_that!(count, ge(20));
}

/// When the caller of a request that all reject is told to come back, after a third of the
/// requests was rejected by instances with this load.
fn pause_after_rejections(load: &str) -> f64 {
    let mut fixture = node(4);
    let every_third = |_: SocketAddr, number: usize| number.is_multiple_of(3);
    attempts_at(&mut fixture, 1, load, every_third);
    fixture.answers.clear();
    fixture.ask(SERVICE, None);
    while let Some(sent) = fixture.attempts.pop() {
        reject(&mut fixture, &sent, load);
    }
    let (_, response) = fixture.answers.pop().expect("an answer");
    expect_that!(response.status, eq(503));
    let pause = response.headers.text("retry-after");
    pause.and_then(|text| text.parse().ok()).expect("a time")
}

#[gtest]
fn callers_come_back_at_once_where_instances_have_room_and_later_where_they_are_full() {
    // The next try is as likely to be taken: 30 ms, spread by 0.7.
    expect_that!(pause_after_rejections(FREE), all!(ge(0.03), le(0.051)));
    expect_that!(pause_after_rejections(FULL), ge(0.15));
}

/// How many attempts the owner of a key gets within this time, if it rejects them.
fn owner_asked(load: &str, millis: u64) -> usize {
    let mut store = store(1, KEYED);
    store.own(all_keys_of("i-1", 1));
    let mut fixture = Fixture::new(store);
    // Others' requests pay for repeats.
    fixture.run_until(ms(2_000));
    for _ in 0..60 {
        fixture.ask(KEYED, Some(7));
        while let Some(sent) = fixture.attempts.pop() {
            serve(&mut fixture, &sent);
        }
    }
    fixture.ask(KEYED, Some(7));
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
fn an_owner_with_free_slots_is_asked_once_more_at_once() {
    expect_that!(owner_asked(FREE, 5), eq(2));
    expect_that!(owner_asked(FREE, 40), eq(2));
    expect_that!(owner_asked(FULL, 40), eq(1));
}
