//! Answers on the connection of an order that do not belong to the order.
//!
//! Instances may send a second answer to an earlier request on a kept connection, in the place
//! of the answer to the next one. If a coordinator takes it for the answer to a release, it
//! grants the keys to their next owner while the last one still works on them.

use crate::fixture::{
    CALLER, Fixture, GRANT, KEYED, RELEASE, Sent, completed, configuration, instance, ms,
    owned_store, store_without_owners,
};
use googletest::prelude::*;
use ledgelead_http::{Request, Response};
use ledgelead_router::identity::InstanceId;
use ledgelead_router::io::{ClientId, ConnectionPool, ConnectionReuse, Input};

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
        let writes = fixture.writes();
        for sent in take_orders(&mut fixture, GRANT) {
            fixture.answer(sent.exchange, second_answer(status));
        }
        fixture.run_until(fixture.now + ms(300));
        expect_that!(fixture.owner_of(7), some(eq(&owner)), "{status}");
        // A refused grant is followed by a new token, in a new version of the record.
        expect_that!(fixture.writes(), eq(writes), "{status}");
        // An unanswered grant is repeated at once, an answered one after a second.
        expect_that!(
            take_orders(&mut fixture, GRANT),
            not(is_empty()),
            "{status}"
        );
    }
}

/// What an order may share its connection with.
fn sharing(sent: &Sent) -> (ConnectionPool, ConnectionReuse, bool) {
    let options = sent.options.as_ref().expect("options");
    let is_new = options.reuse_idle_below.is_zero();
    (options.pool, options.reuse, is_new)
}

#[gtest]
fn orders_use_connections_on_which_nothing_can_pass_for_their_answer() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    let first = take_orders(&mut fixture, GRANT);
    let expected = (ConnectionPool::Orders, ConnectionReuse::AfterSuccess, true);
    for sent in &first {
        expect_that!(sharing(sent), eq(expected));
    }
    for sent in first {
        fixture.answer(sent.exchange, completed(&sent));
    }
    fixture.run_until(fixture.now + ms(1_500));
    let expected = (ConnectionPool::Orders, ConnectionReuse::AfterSuccess, false);
    let renewals = take_orders(&mut fixture, GRANT);
    expect_that!(renewals, not(is_empty()));
    for sent in &renewals {
        expect_that!(sharing(sent), eq(expected));
    }
    let (_, _, release) = releasing();
    let expected = (ConnectionPool::Orders, ConnectionReuse::Never, false);
    expect_that!(sharing(&release), eq(expected));
}

#[gtest]
fn a_request_without_an_id_shares_no_connection() {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(500));
    fixture.attempts.clear();
    let mut request = Request::new("GET", format!("/{KEYED}/1"), Vec::new());
    request.headers.push("host", "h");
    request.headers.push("key", "7");
    let client = ClientId(1);
    fixture.step(Input::Request {
        client,
        source: CALLER,
        request,
    });
    let sent = fixture.attempts.pop().expect("an attempt");
    let expected = (ConnectionPool::Requests, ConnectionReuse::Never, true);
    expect_that!(sharing(&sent), eq(expected));
}

#[gtest]
fn retry_at_the_same_instance_uses_a_new_connection() {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(500));
    fixture.attempts.clear();
    fixture.request(KEYED, Some(7));
    let first = fixture.attempts.pop().expect("an attempt");
    expect_that!(sharing(&first).2, eq(false));
    let mut rejection = Response::new(421, "");
    rejection.headers.push("not-executed", "1");
    fixture.answer(first.exchange, rejection);
    fixture.run_until(fixture.now + ms(100));
    let retry = fixture.attempts.pop().expect("a retry");
    expect_that!(retry.address, eq(first.address));
    expect_that!(sharing(&retry).2, eq(true));
}
