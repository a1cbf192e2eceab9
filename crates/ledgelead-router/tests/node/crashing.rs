//! A request that ends each instance which begins to run it.
//!
//! Its callers send it again and again, each time as a new try. What a node had seen of a
//! try ended with the try, so the next one went to the next instance, and an idempotent
//! one without a key to two of them. Of one caller's tries, from the logs of two nodes:
//!
//!     12.7542 records-room-3 attempt_ended answer_lost i-aeb876abf9 key 38298 took_ms 114
//!     18.2682 bench-hall-2   attempt_ended answer_lost i-4d5bb0992e key 38298 took_ms 46
//!
//! and 1 ms after each of them the instance refused connections (`never_sent`, took_ms 1).

use crate::fixture::{Fixture, SERVICE, Store, configuration, instance, ms, node_record};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::io::ExchangeFailure;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Instances that may end before a request counts as one that crashes them.
const ENDS_ALLOWED: usize = 3;

fn store() -> Store {
    let mut store = Store::default();
    store.configure(configuration(1));
    for number in 1..=8 {
        store.add_instance(instance(number, SERVICE));
    }
    store.add_node(node_record(0));
    store.add_node(node_record(1));
    store
}

/// Each instance that gets a client's request ends, and refuses connections after that.
fn end_all_that_run(fixture: &mut Fixture, ended: &mut BTreeSet<SocketAddr>) {
    while let Some(sent) = fixture.attempts.pop() {
        fixture.run_until(fixture.now + ms(1));
        let failure = match ended.insert(sent.address) {
            true => ExchangeFailure::Lost,
            false => ExchangeFailure::Refused,
        };
        fixture.end(sent.exchange, Err(failure));
        end_probes(fixture, ended);
    }
}

/// Connections to instances that have ended are refused.
fn end_probes(fixture: &mut Fixture, ended: &BTreeSet<SocketAddr>) {
    for probe in std::mem::take(&mut fixture.probes) {
        let result = match ended.contains(&probe.address) {
            true => Err(ExchangeFailure::Refused),
            false => Ok(Response::new(200, "")),
        };
        fixture.end(probe.exchange, result);
    }
}

#[gtest]
fn a_request_under_which_three_instances_ended_is_sent_no_more() {
    let mut fixture = Fixture::coordinating(store());
    let mut ended = BTreeSet::new();
    for _ in 0..8 {
        fixture.ask(SERVICE, None);
        end_all_that_run(&mut fixture, &mut ended);
        fixture.run_until(fixture.now + ms(1_000));
    }
    expect_that!(ended.len(), eq(ENDS_ALLOWED));
    let (_, last) = fixture.answers.last().expect("an answer");
    expect_that!(last.status, eq(503));
    expect_that!(last.body.as_slice(), eq(b"quarantined"));
}

/// A coordinator that holds a request back.
fn quarantined() -> Fixture {
    let mut fixture = Fixture::coordinating(store());
    let mut ended = BTreeSet::new();
    for _ in 0..3 {
        fixture.ask(SERVICE, None);
        end_all_that_run(&mut fixture, &mut ended);
        fixture.run_until(fixture.now + ms(1_000));
    }
    fixture
}

#[gtest]
fn what_is_held_back_stays_so_over_the_loss_of_all_nodes() {
    let mut fixture = quarantined();
    let kept = std::mem::take(&mut fixture.store);
    let mut fixture = Fixture::coordinating(kept);
    fixture.run_until(fixture.now + ms(1_000));
    fixture.ask(SERVICE, None);
    expect_that!(fixture.attempts, is_empty());
    let (_, last) = fixture.answers.last().expect("an answer");
    expect_that!(last.body.as_slice(), eq(b"quarantined"));
}

#[gtest]
fn what_an_operator_removes_from_the_store_is_sent_again() {
    let mut fixture = quarantined();
    fixture.store.remove_all(ObjectKind::Quarantine);
    fixture.change_watched(ObjectKind::Quarantine);
    fixture.ask(SERVICE, None);
    expect_that!(fixture.attempts, len(eq(1)));
}

#[gtest]
fn what_a_copy_of_the_store_lacks_of_a_quarantine_is_kept_again() {
    let mut fixture = quarantined();
    let is_kept = |fixture: &Fixture| {
        let mut kinds = fixture.store.objects.keys().map(|(kind, _)| *kind);
        kinds.any(|kind| kind == ObjectKind::Quarantine)
    };
    fixture
        .store
        .objects
        .retain(|(kind, _), _| *kind != ObjectKind::Quarantine);
    fixture.store.era = Some("1".to_owned());
    for _ in 0..10 {
        fixture.answer_watches();
        fixture.run_until(fixture.now + ms(500));
    }
    expect_that!(is_kept(&fixture), eq(true));
    fixture.attempts.clear();
    fixture.ask(SERVICE, None);
    expect_that!(fixture.attempts, is_empty());
}

#[gtest]
fn a_lost_answer_of_an_instance_that_lives_accuses_nobody() {
    let mut fixture = Fixture::coordinating(store());
    for _ in 0..6 {
        fixture.ask(SERVICE, None);
        while let Some(sent) = fixture.attempts.pop() {
            fixture.end(sent.exchange, Err(ExchangeFailure::Lost));
            end_probes(&mut fixture, &BTreeSet::new());
        }
        fixture.run_until(fixture.now + ms(2_000));
    }
    let reasons = fixture.answers.iter().map(|(_, answer)| answer.status);
    expect_that!(reasons.collect::<Vec<_>>(), each(eq(&502)));
}

/// Two clients of one instance: the connection of the first is lost, which is refused after
/// that; the second is answered. Returns what is known of the end.
fn end_beside_an_answer(asked_after_the_end: bool) -> usize {
    let mut store = store();
    store
        .objects
        .retain(|(kind, name), _| *kind != ObjectKind::Instances || name.as_str() == "i-1");
    let mut fixture = Fixture::coordinating(store);
    let mut ended = BTreeSet::new();
    fixture.ask(SERVICE, None);
    let first = fixture.attempts.pop().expect("an attempt");
    if !asked_after_the_end {
        fixture.ask(SERVICE, None);
    }
    fixture.run_until(fixture.now + ms(20));
    ended.insert(first.address);
    fixture.end(first.exchange, Err(ExchangeFailure::Lost));
    end_probes(&mut fixture, &ended);
    fixture.run_until(fixture.now + ms(5));
    if asked_after_the_end {
        fixture.ask(SERVICE, None);
    }
    let second = fixture.attempts.pop().expect("another attempt");
    let mut busy = Response::new(503, "");
    busy.headers.push("not-executed", "1");
    fixture.answer(second.exchange, busy);
    fixture.node.status().ends_counted
}

#[gtest]
fn only_an_answer_to_what_was_asked_after_an_end_disproves_it() {
    expect_that!(end_beside_an_answer(false), eq(1));
    expect_that!(end_beside_an_answer(true), eq(0));
}
