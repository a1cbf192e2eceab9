//! Requests that no instance has received completely.

use crate::fixture::{Fixture, KEYED, SERVICE, configuration, ms, owned_store};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::configuration::{Repeatability, Route};
use ledgelead_router::io::ExchangeFailure;
use std::sync::Arc;

/// A node with two instances of the service without keys and an owner of all keys. Requests
/// may run at most once.
fn node() -> Fixture {
    let mut configuration = configuration(1);
    for route in &mut configuration.routes {
        *route = Arc::new(Route {
            repeatability: Repeatability::Once,
            ..(**route).clone()
        });
    }
    let mut fixture = Fixture::new(owned_store(configuration));
    fixture.run_until(ms(900));
    fixture.attempts.clear();
    fixture
}

/// The same node, whose requests may be repeated.
fn idempotent_node() -> Fixture {
    let mut fixture = node();
    fixture.store.put_configuration(configuration(1));
    let mut fixture = Fixture::new(fixture.store);
    fixture.run_until(ms(900));
    fixture.attempts.clear();
    fixture
}

fn signed() -> Response {
    let mut response = Response::new(200, "");
    response.headers.push("signature", "s");
    response
}

fn end_last(fixture: &mut Fixture, failure: ExchangeFailure) {
    let exchange = fixture.attempts.last().expect("an attempt").exchange;
    fixture.end(exchange, Err(failure));
}

/// Status and reason of the only answer.
fn answer(fixture: &Fixture) -> (u16, String) {
    assert_eq!(fixture.answers.len(), 1);
    let (_, response) = &fixture.answers[0];
    let reason = String::from_utf8(response.body.clone()).expect("a reason");
    (response.status, reason)
}

/// An instance may begin a request before it has read all of it.
#[gtest]
fn incomplete_once_only_request_is_neither_repeated_nor_promised_not_to_have_run() {
    for (service, key) in [(SERVICE, None), (KEYED, Some(7))] {
        for (timed_out, expected) in [
            (false, (502, "answer_lost".to_owned())),
            (true, (504, "answer_late".to_owned())),
        ] {
            let mut fixture = node();
            fixture.upload(service, key, 60_000);
            end_last(&mut fixture, ExchangeFailure::Incomplete { timed_out });
            expect_that!(fixture.attempts.len(), eq(1));
            expect_that!(answer(&fixture), eq(&expected));
        }
    }
}

#[gtest]
fn incomplete_idempotent_request_is_sent_to_another_instance() {
    let mut fixture = idempotent_node();
    fixture.upload(SERVICE, None, 60_000);
    end_last(
        &mut fixture,
        ExchangeFailure::Incomplete { timed_out: false },
    );
    expect_that!(fixture.attempts.len(), eq(2));
    expect_that!(
        fixture.attempts[0].address,
        not(eq(fixture.attempts[1].address))
    );
    fixture.answer(fixture.attempts[1].exchange, signed());
    expect_that!(fixture.answers[0].1.status, eq(200));
}

/// Checks a request that is not sent within all of its time: its exchange ends with this
/// failure before the node itself answers at the end of the route's 2 s.
fn check_unsent_in_time(
    service: &str,
    key: Option<u16>,
    end: ExchangeFailure,
    expected: (u16, &str),
) {
    let mut fixture = node();
    fixture.upload(service, key, 60_000);
    let started = fixture.now;
    let exchange = fixture.attempts[0].exchange;
    let options = fixture.attempts[0].options.as_ref();
    let write_timeout = options.and_then(|options| options.write_timeout);
    let write_timeout = write_timeout.expect("a bound");
    expect_that!(write_timeout, all![ge(ms(1_950)), lt(ms(2_000))]);
    fixture.run_until(started + write_timeout);
    expect_that!(fixture.answers, is_empty());
    fixture.end(exchange, Err(end));
    // Orders of a coordinator are sent to instances as well.
    let path = format!("/{service}/1");
    let uploads = fixture.attempts.iter().filter(|sent| sent.target == path);
    expect_that!(uploads.count(), eq(1));
    let (status, reason) = expected;
    expect_that!(answer(&fixture), eq(&(status, reason.to_owned())));
}

#[gtest]
fn request_written_in_part_when_its_time_is_over_may_have_run() {
    let unsent = ExchangeFailure::Incomplete { timed_out: true };
    check_unsent_in_time(SERVICE, None, unsent, (504, "answer_late"));
    check_unsent_in_time(KEYED, Some(7), unsent, (504, "answer_late"));
}

#[gtest]
fn request_not_connected_in_time_is_refused_as_not_sent() {
    let unsent = ExchangeFailure::NotConnected;
    check_unsent_in_time(SERVICE, None, unsent, (503, "not_sent_in_time"));
    check_unsent_in_time(KEYED, Some(7), unsent, (503, "not_sent_in_time"));
}

/// The client waits only a few milliseconds. A new connection gets a part of them, so that
/// time is left for the refusal.
#[gtest]
fn request_with_little_time_may_use_half_of_it_for_sending() {
    let mut fixture = node();
    fixture.upload_within(SERVICE, None, 0, Some(ms(23)));
    let options = fixture.attempts[0].options.as_ref().expect("an exchange");
    // Of the 23 ms, 15 are reserved for the answer's way to the client.
    expect_that!(options.write_timeout, some(eq(ms(4))));
    expect_that!(options.connect_timeout, eq(ms(4)));
}

/// An earlier attempt may still have run the request.
#[gtest]
fn incomplete_attempt_does_not_hide_an_earlier_one_that_may_have_run() {
    let mut fixture = idempotent_node();
    fixture.upload(SERVICE, None, 60_000);
    end_last(&mut fixture, ExchangeFailure::Lost);
    expect_that!(fixture.attempts.len(), eq(2));
    end_last(
        &mut fixture,
        ExchangeFailure::Incomplete { timed_out: true },
    );
    expect_that!(answer(&fixture), eq(&(504, "answer_late".to_owned())));
}

/// Number of suspected requests after an upload has failed in this way and its instance then
/// refuses connections.
fn suspected_after(failure: ExchangeFailure) -> usize {
    let mut fixture = node();
    fixture.upload(SERVICE, None, 60_000);
    let ended = fixture.attempts[0].address;
    end_last(&mut fixture, failure);
    for _ in 0..20 {
        fixture.request(SERVICE, None);
        let sent = fixture.attempts.pop().expect("an attempt");
        if sent.address == ended {
            fixture.end(sent.exchange, Err(ExchangeFailure::Refused));
            return fixture.node.status().suspected;
        }
        fixture.answer(sent.exchange, signed());
    }
    panic!("the instance gets no more requests");
}

#[gtest]
fn instance_end_during_an_incomplete_request_is_no_evidence() {
    expect_that!(suspected_after(ExchangeFailure::Lost), eq(1));
    let incomplete = ExchangeFailure::Incomplete { timed_out: false };
    expect_that!(suspected_after(incomplete), eq(0));
}
