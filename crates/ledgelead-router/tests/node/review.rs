//! Which attempts that take long are broken off for another.

use crate::fixture::{Fixture, KEYED, SERVICE, configuration, ms, owned_store};
use googletest::prelude::*;
use ledgelead_http::Response;

/// A node that knows two instances of the service without keys, and one owner of
/// all keys.
fn node() -> Fixture {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(900));
    fixture
}

/// Attempts for one request that takes long, while its instance answers another.
fn attempts_of_slow_request(service: &str, key: Option<u16>, load: &str) -> usize {
    let mut fixture = node();
    fixture.attempts.clear();
    fixture.ask(service, key);
    let slow = fixture.attempts[0].address;
    for _ in 0..55 {
        fixture.run_until(fixture.now + ms(20));
        fixture.ask(service, key);
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
fn work_of_the_owner_of_a_key_is_not_broken_off_for_the_same_owner() {
    expect_that!(attempts_of_slow_request(KEYED, Some(7), "1,0,4"), eq(1));
    // Where another instance can do it, a slow one is given up.
    expect_that!(attempts_of_slow_request(SERVICE, None, "1,0,4"), eq(2));
}

#[gtest]
fn work_is_not_broken_off_where_no_other_instance_has_a_free_slot() {
    expect_that!(attempts_of_slow_request(SERVICE, None, "4,2,4"), eq(1));
}
