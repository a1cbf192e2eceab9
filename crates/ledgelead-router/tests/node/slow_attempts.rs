//! Which slow attempts are replaced by another one.

use crate::fixture::{
    CALLER, Fixture, KEYED, SERVICE, configuration, ms, node_address, owned_store,
};
use googletest::prelude::*;
use ledgelead_http::{Request, Response};
use ledgelead_router::peers::{PeerMessage, RequestEntry};
use ledgelead_router::quarantine::{CallerId, Entry, InstanceEnd};
use ledgelead_router::requests::RequestDigest;
use ledgelead_types::codec::List;

/// A node that knows two instances of the service without keys, and one owner of all keys.
fn node() -> Fixture {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(900));
    fixture
}

/// Number of attempts for one slow request, while its instance answers others.
fn attempts_of_slow_request(service: &str, key: Option<u16>, load: &str) -> usize {
    let mut fixture = node();
    fixture.attempts.clear();
    fixture.request(service, key);
    let slow = fixture.attempts[0].address;
    for _ in 0..55 {
        fixture.run_until(fixture.now + ms(20));
        fixture.request(service, key);
        let other = fixture.attempts.pop().expect("an attempt");
        let mut response = Response::new(200, "");
        response.headers.push("signature", "s");
        response.headers.push("load", load);
        fixture.answer(other.exchange, response);
    }
    expect_that!(fixture.attempts[0].address, eq(slow));
    let path = format!("/{service}/1");
    let requests = fixture.attempts.iter().filter(|sent| sent.target == path);
    requests.count()
}

#[gtest]
fn slow_attempt_at_an_owner_is_not_replaced_by_one_at_the_same_owner() {
    expect_that!(attempts_of_slow_request(KEYED, Some(7), "1,0,4"), eq(1));
    // If another instance is available, the slow attempt is replaced.
    expect_that!(attempts_of_slow_request(SERVICE, None, "1,0,4"), eq(2));
}

#[gtest]
fn slow_attempt_is_not_replaced_without_a_free_slot_elsewhere() {
    expect_that!(attempts_of_slow_request(SERVICE, None, "4,2,4"), eq(1));
}

/// Sends a request that no instance answers, and returns the number of attempts until its
/// deadline.
fn attempts_without_answer(fixture: &mut Fixture) -> usize {
    fixture.attempts.clear();
    fixture.request(SERVICE, None);
    fixture.run_until(fixture.now + ms(2_100));
    let path = format!("/{SERVICE}/1");
    let requests = fixture.attempts.iter().filter(|sent| sent.target == path);
    requests.count()
}

#[gtest]
fn request_that_is_slow_everywhere_is_left_to_run() {
    let mut fixture = node();
    expect_that!(attempts_without_answer(&mut fixture), eq(2));
    // The first attempt was aborted, and the time that was left didn't suffice for the second.
    expect_that!(attempts_without_answer(&mut fixture), eq(1));
    fixture.run_until(fixture.now + ms(60_000));
    expect_that!(attempts_without_answer(&mut fixture), eq(2));
}

/// Nothing clears a request whose attempts are all aborted, though it didn't end the instance.
#[gtest]
fn request_that_was_lost_with_an_instance_is_left_to_run_at_all_nodes() {
    let mut request = Request::new("GET", format!("/{SERVICE}/1"), Vec::new());
    request.headers.push("host", "h");
    let mut fixture = node();
    let end = InstanceEnd {
        caller: CallerId::new(CALLER),
        instance: 77,
        at: fixture.now,
        settled: true,
    };
    let entry = Entry {
        path: request.path().to_owned(),
        ends: vec![end],
        ..Entry::default()
    };
    let entry = RequestEntry::new(&RequestDigest::new(&request), &entry, fixture.now);
    let message = PeerMessage::Evidence {
        wants_reply: false,
        alive: List(Vec::new()),
        requests: List(vec![entry]),
    };
    fixture.receive(node_address(1), &message);
    expect_that!(attempts_without_answer(&mut fixture), eq(1));
}
