//! Answers on the connection of an order that do not belong to the order.
//!
//! Instances may send a second answer to an earlier request on a kept connection, in the place
//! of the answer to the next one. If a coordinator takes it for the answer to a release, it
//! grants the keys to their next owner while the last one still works on them: the release
//! arrived at 11.820 s, the next grant at 11.838 s, and the work ended at 11.917 s.

use crate::fixture::{
    Fixture, GRANT, KEYED, RELEASE, Sent, completed, instance, ms, store_without_owners,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::identity::InstanceId;

/// The path of orders.
const ORDER: &str = "order";

/// A second answer to a request of some client.
fn second_answer(status: u16) -> Response {
    let mut response = Response::new(status, "done");
    response.headers.push("signature", "s");
    response.headers.push("attempt", "request-0");
    response
}

fn take_orders(fixture: &mut Fixture, kind: &str) -> Vec<Sent> {
    let all = std::mem::take(&mut fixture.attempts);
    let is_wanted = |sent: &Sent| sent.target == ORDER && sent.body == kind.as_bytes();
    let (wanted, others) = all.into_iter().partition(is_wanted);
    fixture.attempts = others;
    wanted
}

fn answer_grants(fixture: &mut Fixture) {
    for sent in take_orders(fixture, GRANT) {
        fixture.answer(sent.exchange, completed(&sent));
    }
}

/// A coordinator whose keys all have owners, and the release of the keys of an owner that has
/// begun to drain.
fn releasing() -> (Fixture, InstanceId, Sent) {
    let mut fixture = Fixture::coordinating(store_without_owners());
    answer_grants(&mut fixture);
    let owner = fixture.owner_of(7).expect("an owner");
    let number = if owner == instance(3, KEYED).id { 3 } else { 4 };
    let mut draining = instance(number, KEYED);
    draining.draining = true;
    fixture.store.add_instance(draining);
    fixture.answer_watches();
    fixture.run_until(fixture.now + ms(50));
    let release = take_orders(&mut fixture, RELEASE).pop().expect("a release");
    (fixture, owner, release)
}

#[gtest]
fn answer_of_another_request_does_not_end_a_release() {
    let (mut fixture, owner, release) = releasing();
    fixture.answer(release.exchange, second_answer(200));
    fixture.run_until(fixture.now + ms(200));
    expect_that!(fixture.owner_of(7), some(eq(&owner)));
}

#[gtest]
fn answer_without_handover_does_not_end_a_release() {
    // The second answer to a grant.
    let (mut fixture, owner, release) = releasing();
    fixture.answer(release.exchange, Response::new(200, ""));
    fixture.run_until(fixture.now + ms(200));
    expect_that!(fixture.owner_of(7), some(eq(&owner)));
}

#[gtest]
fn release_is_repeated_until_its_own_answer_arrives() {
    let (mut fixture, owner, release) = releasing();
    fixture.answer(release.exchange, second_answer(200));
    fixture.run_until(fixture.now + ms(400));
    let repeated = take_orders(&mut fixture, RELEASE).pop().expect("a release");
    fixture.answer(repeated.exchange, completed(&repeated));
    fixture.run_until(fixture.now + ms(200));
    expect_that!(fixture.owner_of(7), some(not(eq(&owner))));
}

#[gtest]
fn answer_of_another_request_neither_confirms_nor_refuses_a_grant() {
    for status in [200, 409, 421] {
        let mut fixture = Fixture::coordinating(store_without_owners());
        let owner = fixture.owner_of(7).expect("an owner");
        for sent in take_orders(&mut fixture, GRANT) {
            fixture.answer(sent.exchange, second_answer(status));
        }
        fixture.run_until(fixture.now + ms(300));
        expect_that!(fixture.owner_of(7), some(eq(&owner)), "{status}");
        // An unanswered grant is repeated at once, an answered one after a second.
        expect_that!(
            take_orders(&mut fixture, GRANT),
            not(is_empty()),
            "{status}"
        );
    }
}
