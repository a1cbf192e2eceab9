//! Instances that name a rate limit in their answers, which binds all nodes together.
//!
//! No node read it: an owner of keys that named 1.7 a second went on getting 7 to 10.

use crate::fixture::{Fixture, KEYED, Store, all_keys_of, configuration, instance, ms, success};
use crate::fixture::{SERVICE, node_record};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::Timestamp;
use std::net::SocketAddr;

/// The target of orders.
const ORDER: &str = "order";
/// The span in which requests are counted.
const WINDOW_MS: u64 = 4_000;

/// A node that is alone, an owner of all keys, and two instances without keys.
fn alone() -> Fixture {
    let mut store = Store::default();
    store.configure(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, SERVICE));
    store.add_instance(instance(3, KEYED));
    store.add_node(node_record(0));
    store.own(all_keys_of("i-3", 1));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(2_000));
    fixture
}

fn names(limit: &str) -> Response {
    let mut response = success();
    response.headers.push("rate-limit", limit);
    response
}

/// A request each 15 ms for so long, each answered after 5 ms. Returns when which instance
/// got one.
fn ask_for(
    fixture: &mut Fixture,
    (service, key): (&str, Option<u16>),
    lasts_ms: u64,
    answer: impl Fn(SocketAddr) -> Response,
) -> Vec<(Timestamp, SocketAddr)> {
    let mut reached = Vec::new();
    let end = fixture.now + ms(lasts_ms);
    while fixture.now < end {
        fixture.ask(service, key);
        fixture.run_until(fixture.now + ms(5));
        for sent in std::mem::take(&mut fixture.attempts) {
            if sent.target == ORDER {
                fixture.answer(sent.exchange, Response::new(200, ""));
                continue;
            }
            reached.push((sent.at, sent.address));
            fixture.answer(sent.exchange, answer(sent.address));
        }
        fixture.run_until(fixture.now + ms(10));
    }
    reached
}

/// Most requests in some window.
fn most_in_a_window(reached: &[(Timestamp, SocketAddr)]) -> usize {
    let in_window = |from: Timestamp| {
        let until = from + ms(WINDOW_MS);
        let within = reached.iter().filter(|(at, _)| (from..until).contains(at));
        within.count()
    };
    reached
        .iter()
        .map(|(at, _)| in_window(*at))
        .max()
        .unwrap_or(0)
}

#[gtest]
fn an_owner_gets_no_more_requests_than_the_rate_limit_that_it_names() {
    let mut fixture = alone();
    ask_for(&mut fixture, (KEYED, Some(7)), 500, |_| names("6.5"));
    let reached = ask_for(&mut fixture, (KEYED, Some(7)), 12_000, |_| names("6.5"));
    expect_that!(most_in_a_window(&reached), le(44));
}
