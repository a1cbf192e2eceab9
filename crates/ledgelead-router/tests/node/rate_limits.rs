//! Rate limits that instances announce in responses, which apply to all nodes together.
//!
//! Without them, an owner of keys that allowed 1.7 requests per second continued to receive 7
//! to 10.

use crate::fixture::{
    Fixture, KEYED, SERVICE, Sent, Store, all_keys_of, completed, configuration, instance, ms,
    node_address, node_record, owned_store, store_without_owners, success,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::Timestamp;
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::peers::{PeerMessage, RateLimitEntry, TokenStatusEntry};
use ledgelead_types::codec::{List, Text};
use std::net::SocketAddr;

/// The path of orders.
const ORDER: &str = "order";
/// The window in which requests are counted.
const WINDOW_MS: u64 = 4_000;

/// The only node, with an owner of all keys and two instances without keys.
fn single_node() -> Fixture {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, SERVICE));
    store.add_instance(instance(3, KEYED));
    store.add_node(node_record(0));
    store.put_ownership(all_keys_of("i-3", 1));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(2_000));
    fixture
}

fn response_with_limit(limit: &str) -> Response {
    let mut response = success();
    response.headers.push("rate-limit", limit);
    response
}

/// Sends a request every 15 ms for this time, each answered after 5 ms. Returns the times and
/// instances of the attempts.
fn send_requests_for(
    fixture: &mut Fixture,
    (service, key): (&str, Option<u16>),
    duration_ms: u64,
    answer: impl Fn(SocketAddr) -> Response,
) -> Vec<(Timestamp, SocketAddr)> {
    let mut attempts = Vec::new();
    let end = fixture.now + ms(duration_ms);
    let mut next_watches = fixture.now;
    while fixture.now < end {
        answer_due_watches(fixture, &mut next_watches);
        fixture.request(service, key);
        fixture.run_until(fixture.now + ms(5));
        for sent in std::mem::take(&mut fixture.attempts) {
            if sent.target == ORDER {
                fixture.answer(sent.exchange, completed(&sent));
                continue;
            }
            attempts.push((sent.at, sent.address));
            fixture.answer(sent.exchange, answer(sent.address));
        }
        fixture.run_until(fixture.now + ms(10));
    }
    attempts
}

/// Answers waiting watches in time, as a store does that serves the node.
fn answer_due_watches(fixture: &mut Fixture, next: &mut Timestamp) {
    if *next <= fixture.now {
        *next = fixture.now + ms(5_000);
        fixture.answer_watches();
    }
}

/// Maximum number of requests in any window.
fn max_per_window(attempts: &[(Timestamp, SocketAddr)]) -> usize {
    let in_window = |from: Timestamp| {
        let until = from + ms(WINDOW_MS);
        let within = attempts.iter().filter(|(at, _)| (from..until).contains(at));
        within.count()
    };
    attempts
        .iter()
        .map(|(at, _)| in_window(*at))
        .max()
        .unwrap_or(0)
}

#[gtest]
fn owner_gets_no_more_requests_than_its_rate_limit() {
    let mut fixture = single_node();
    send_requests_for(&mut fixture, (KEYED, Some(7)), 500, |_| {
        response_with_limit("6.5")
    });
    let attempts = send_requests_for(&mut fixture, (KEYED, Some(7)), 12_000, |_| {
        response_with_limit("6.5")
    });
    expect_that!(max_per_window(&attempts), le(44));
}

/// Sends a request every 50 ms for this time.
fn send_slowly(fixture: &mut Fixture, duration_ms: u64, limit: Option<&str>) -> Vec<Timestamp> {
    let mut attempts = Vec::new();
    let end = fixture.now + ms(duration_ms);
    while fixture.now < end {
        let respond = |_| limit.map_or_else(success, response_with_limit);
        let times = send_requests_for(fixture, (KEYED, Some(7)), 15, respond);
        attempts.extend(times.into_iter().map(|(at, _)| at));
        fixture.run_until(fixture.now + ms(35));
    }
    attempts
}

#[gtest]
fn requests_before_a_limit_count_in_its_first_window() {
    let mut fixture = single_node();
    let mut attempts = send_slowly(&mut fixture, 5_000, None);
    let limited_since = fixture.now;
    attempts.extend(send_slowly(&mut fixture, 8_000, Some("6.5")));
    for end in (3_000..8_000)
        .step_by(50)
        .map(|after| limited_since + ms(after))
    {
        let window = end - ms(WINDOW_MS)..end;
        let arrived = attempts.iter().filter(|at| window.contains(at)).count();
        expect_that!(arrived, le(44));
    }
}

#[gtest]
fn caller_beyond_the_limit_is_refused_immediately_with_a_retry_time() {
    let mut fixture = single_node();
    send_requests_for(&mut fixture, (KEYED, Some(7)), 4_000, |_| {
        response_with_limit("1")
    });
    // From here the next token is a second away.
    while send_requests_for(&mut fixture, (KEYED, Some(7)), 15, |_| {
        response_with_limit("1")
    })
    .is_empty()
    {}
    fixture.answers.clear();
    let refused = fixture.request(KEYED, Some(7));
    let (client, response) = fixture.answers.pop().expect("an answer at once");
    expect_that!(client, eq(refused));
    expect_that!(response.status, eq(503));
    expect_that!(response.body, eq(b"rate_limited"));
    let retry_after: Option<f64> = response.headers.number("retry-after");
    // One token per second, extended at random by up to 0.7 of that.
    expect_that!(retry_after, some(all!(gt(0.0), le(1.8))));
    expect_that!(fixture.node.status().requests.retries, is_empty());
}

#[gtest]
fn requests_without_a_key_use_instances_without_a_limit() {
    let mut fixture = single_node();
    let limited = instance(1, SERVICE).address;
    let answer = |to: SocketAddr| match to == limited {
        true => response_with_limit("2"),
        false => success(),
    };
    send_requests_for(&mut fixture, (SERVICE, None), 500, answer);
    fixture.answers.clear();
    let attempts = send_requests_for(&mut fixture, (SERVICE, None), 8_000, answer);
    let to_limited: Vec<_> = attempts
        .iter()
        .filter(|(_, to)| *to == limited)
        .copied()
        .collect();
    expect_that!(max_per_window(&to_limited), le(17));
    let refused = fixture
        .answers
        .iter()
        .filter(|(_, response)| response.status != 200);
    expect_that!(refused.count(), eq(0));
}

#[gtest]
fn response_without_a_limit_ends_it() {
    let mut fixture = single_node();
    send_requests_for(&mut fixture, (KEYED, Some(7)), 5_000, |_| {
        response_with_limit("1")
    });
    let attempts = send_requests_for(&mut fixture, (KEYED, Some(7)), 5_000, |_| success());
    // One token per second until the first response without a limit.
    expect_that!(attempts.len(), ge(250));
}

#[gtest]
fn instance_can_end_a_limit_of_zero() {
    let mut fixture = single_node();
    let attempts = send_requests_for(&mut fixture, (KEYED, Some(7)), 20_000, |_| {
        response_with_limit("0")
    });
    expect_that!(max_per_window(&attempts[1..]), le(5));
    let attempts = send_requests_for(&mut fixture, (KEYED, Some(7)), 10_000, |_| success());
    expect_that!(attempts.len(), ge(250));
}

/// One of three nodes, which is not the only limiter.
fn node_of_three() -> Fixture {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(2_000));
    fixture
}

fn limit_of_the_owner(millis_per_s: u32) -> RateLimitEntry {
    RateLimitEntry {
        instance: instance(3, KEYED).id.stable_hash(),
        millis_per_s: Some(millis_per_s),
        age_ms: 0,
    }
}

#[gtest]
fn limit_announced_by_another_node_applies() {
    let mut fixture = node_of_three();
    let limits = List(vec![limit_of_the_owner(1_000)]);
    fixture.receive(node_address(1), &PeerMessage::RateLimits { limits });
    fixture.attempts.clear();
    let attempts = send_requests_for(&mut fixture, (KEYED, Some(7)), 1_000, |_| {
        response_with_limit("1")
    });
    expect_that!(attempts, is_empty());
}

#[gtest]
fn limit_in_a_response_is_reported_to_the_coordinator() {
    let mut fixture = node_of_three();
    fixture.request(KEYED, Some(7));
    let sent = fixture.attempts.pop().expect("an attempt");
    fixture.answer(sent.exchange, response_with_limit("3"));
    fixture.run_until(fixture.now + ms(500));
    expect_that!(fixture.sent("rate_limits"), ge(1));
}

#[gtest]
fn request_waits_for_a_limiter_but_not_for_a_silent_one() {
    let mut fixture = node_of_three();
    let limits = List(vec![limit_of_the_owner(50_000)]);
    fixture.receive(node_address(1), &PeerMessage::RateLimits { limits });
    fixture.attempts.clear();
    let requester = fixture.request(KEYED, Some(7));
    expect_that!(fixture.attempts, is_empty());
    fixture.run_until(fixture.now + ms(300));
    match fixture.sent("token_ask") {
        // The node is one of the two limiters itself.
        0..=2 => {}
        requests => expect_that!(requests, eq(4)),
    }
    let is_answered = fixture
        .answers
        .iter()
        .any(|(client, _)| *client == requester);
    expect_that!(is_answered, eq(true));
}

#[gtest]
fn granted_token_sends_the_request() {
    let mut fixture = node_of_three();
    let limits = List(vec![limit_of_the_owner(50_000)]);
    fixture.receive(node_address(1), &PeerMessage::RateLimits { limits });
    fixture.attempts.clear();
    fixture.request(KEYED, Some(7));
    let token_request = fixture
        .datagrams
        .iter()
        .rev()
        .find_map(|(_, to, message)| match message {
            PeerMessage::TokenRequest { number, limit, .. } => Some((*to, *number, limit.instance)),
            _ => None,
        });
    let Some((limiter, number, instance)) = token_request else {
        panic!("the node is its own limiter");
    };
    let decision = PeerMessage::TokenDecision {
        number,
        instance,
        status: TokenStatusEntry::Granted,
        wait_ms: 0,
    };
    fixture.receive(limiter, &decision);
    expect_that!(fixture.attempts, len(eq(1)));
}

/// Sends requests for ever new keys, one every 30 ms, each answered after 100 ms. Returns how
/// many were sent and how many were answered.
fn send_requests_for_all_keys(
    fixture: &mut Fixture,
    duration_ms: u64,
    answer: impl Fn(SocketAddr) -> Response,
) -> (usize, usize) {
    let mut key = 0u16;
    let mut requested = 0;
    let mut answered = 0;
    let mut in_progress = Vec::new();
    let end = fixture.now + ms(duration_ms);
    let mut next_watches = fixture.now;
    while fixture.now < end {
        answer_due_watches(fixture, &mut next_watches);
        key = key.wrapping_add(9_973);
        fixture.request(KEYED, Some(key));
        requested += 1;
        fixture.run_until(fixture.now + ms(30));
        in_progress.append(&mut fixture.attempts);
        let now = fixture.now;
        let is_done = |sent: &mut Sent| sent.target == ORDER || sent.at + ms(100) <= now;
        let done: Vec<Sent> = in_progress.extract_if(.., is_done).collect();
        for sent in done {
            let response = match sent.target == ORDER {
                true => completed(&sent),
                false => answer(sent.address),
            };
            answered += usize::from(sent.target != ORDER);
            fixture.answer(sent.exchange, response);
        }
    }
    (requested, answered)
}

#[gtest]
fn keys_of_a_rate_limited_owner_move_to_others() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    let limited = instance(3, KEYED).address;
    let answer = |to: SocketAddr| match to == limited {
        true => response_with_limit("2"),
        false => success(),
    };
    send_requests_for_all_keys(&mut fixture, 15_000, answer);
    // Each of both instances owned half of the keys; by now the other one owns nearly all.
    let (requested, answered) = send_requests_for_all_keys(&mut fixture, 5_000, answer);
    expect_that!(answered as f64 / requested as f64, ge(0.8));
}

/// Number of tokens that the node grants within 10 s to another one that asks for `instance`
/// every 100 ms, after 15 s of the same.
fn granted_tokens(fixture: &mut Fixture, instance: u64, primary_replies: bool) -> usize {
    for step in 0..250 {
        if step == 150 {
            fixture.datagrams.clear();
        }
        let token_request = PeerMessage::TokenRequest {
            number: step,
            zone: Text("a".to_owned()),
            limit: RateLimitEntry {
                instance,
                millis_per_s: Some(4_000),
                age_ms: 0,
            },
        };
        fixture.receive(node_address(2), &token_request);
        if primary_replies && step % 10 == 0 {
            let reply = PeerMessage::LimiterProbe { is_reply: true };
            fixture.receive(node_address(1), &reply);
        }
        fixture.run_until(fixture.now + ms(100));
    }
    let is_grant = |message: &PeerMessage| {
        let granted = TokenStatusEntry::Granted;
        matches!(message, PeerMessage::TokenDecision { status, .. } if *status == granted)
    };
    let sent = fixture.datagrams.iter();
    sent.filter(|(_, _, message)| is_grant(message)).count()
}

#[gtest]
fn secondary_limiter_grants_a_share_until_the_primary_is_lost() {
    // Finds an instance whose primary limiter is node 1, so that this node is the secondary one.
    let in_fleet_of_two = || {
        let mut store = owned_store(configuration(1));
        store.remove(ObjectKind::Nodes, "node-002");
        let mut fixture = Fixture::new(store);
        fixture.run_until(ms(2_000));
        fixture
    };
    let is_probed = |instance: &u64| {
        let mut fixture = in_fleet_of_two();
        granted_tokens(&mut fixture, *instance, true);
        fixture.sent("limiter_probe") > 0
    };
    let instance = (1..100).find(is_probed).expect("such an instance");
    let with_primary = granted_tokens(&mut in_fleet_of_two(), instance, true);
    expect_that!(with_primary, all!(ge(10), le(14)));
    let without_primary = granted_tokens(&mut in_fleet_of_two(), instance, false);
    expect_that!(without_primary, all!(ge(38), le(44)));
}

#[gtest]
fn coordinator_announces_more_limits_than_fit_in_one_message() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    let limit = |instance: u64| RateLimitEntry {
        instance,
        millis_per_s: Some(1_000),
        age_ms: 0,
    };
    for instance in [1..=60, 61..=120, 121..=150] {
        let limits = List(instance.map(limit).collect());
        fixture.receive(node_address(1), &PeerMessage::RateLimits { limits });
    }
    fixture.datagrams.clear();
    fixture.run_until(fixture.now + ms(250));
    let announced = fixture
        .datagrams
        .iter()
        .flat_map(|(_, _, message)| match message {
            PeerMessage::RateLimits { limits } => {
                limits.iter().map(|entry| entry.instance).collect()
            }
            _ => Vec::new(),
        });
    let announced: std::collections::BTreeSet<u64> = announced.collect();
    expect_that!(announced.len(), eq(150));
}
