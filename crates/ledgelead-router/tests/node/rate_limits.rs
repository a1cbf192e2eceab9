//! Instances that name a rate limit in their answers, which binds all nodes together.
//!
//! No node read it: an owner of keys that named 1.7 a second went on getting 7 to 10.

use crate::fixture::{
    Fixture, KEYED, SERVICE, Sent, Store, all_keys_of, configuration, instance, ms, node_address,
    node_record, owned_store, success, vacant_store,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::Timestamp;
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::peers::{PeerMessage, RateLimitEntry, TokenVerdictEntry};
use ledgelead_types::codec::{List, Text};
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

/// A request each 50 ms for so long.
fn ask_slowly(fixture: &mut Fixture, lasts_ms: u64, limit: Option<&str>) -> Vec<Timestamp> {
    let mut reached = Vec::new();
    let end = fixture.now + ms(lasts_ms);
    while fixture.now < end {
        let named = |_| limit.map_or_else(success, names);
        let times = ask_for(fixture, (KEYED, Some(7)), 15, named);
        reached.extend(times.into_iter().map(|(at, _)| at));
        fixture.run_until(fixture.now + ms(35));
    }
    reached
}

#[gtest]
fn requests_from_before_a_limit_was_named_count_in_the_window_in_which_it_binds() {
    let mut fixture = alone();
    let mut reached = ask_slowly(&mut fixture, 5_000, None);
    let named_at = fixture.now;
    reached.extend(ask_slowly(&mut fixture, 8_000, Some("6.5")));
    for end in (3_000..8_000).step_by(50).map(|after| named_at + ms(after)) {
        let window = end - ms(WINDOW_MS)..end;
        let arrived = reached.iter().filter(|at| window.contains(at)).count();
        expect_that!(arrived, le(44));
    }
}

#[gtest]
fn a_caller_beyond_the_limit_is_told_at_once_when_there_is_room() {
    let mut fixture = alone();
    ask_for(&mut fixture, (KEYED, Some(7)), 4_000, |_| names("1"));
    // The next token is a second away from here.
    while ask_for(&mut fixture, (KEYED, Some(7)), 15, |_| names("1")).is_empty() {}
    fixture.answers.clear();
    let asked = fixture.ask(KEYED, Some(7));
    let (client, response) = fixture.answers.pop().expect("an answer at once");
    expect_that!(client, eq(asked));
    expect_that!(response.status, eq(503));
    expect_that!(response.body, eq(b"rate_limited"));
    let again: Option<f64> = response.headers.number("retry-after");
    // A token a second, spread by 0.7.
    expect_that!(again, some(all!(gt(0.0), le(1.8))));
    expect_that!(fixture.node.status().requests.retries, is_empty());
}

#[gtest]
fn requests_without_a_key_go_to_instances_that_name_no_limit() {
    let mut fixture = alone();
    let limited = instance(1, SERVICE).address;
    let answer = |to: SocketAddr| match to == limited {
        true => names("2"),
        false => success(),
    };
    ask_for(&mut fixture, (SERVICE, None), 500, answer);
    fixture.answers.clear();
    let reached = ask_for(&mut fixture, (SERVICE, None), 8_000, answer);
    let to_limited: Vec<_> = reached
        .iter()
        .filter(|(_, to)| *to == limited)
        .copied()
        .collect();
    expect_that!(most_in_a_window(&to_limited), le(17));
    let refused = fixture
        .answers
        .iter()
        .filter(|(_, response)| response.status != 200);
    expect_that!(refused.count(), eq(0));
}

#[gtest]
fn an_answer_that_names_no_limit_ends_it() {
    let mut fixture = alone();
    ask_for(&mut fixture, (KEYED, Some(7)), 5_000, |_| names("1"));
    let reached = ask_for(&mut fixture, (KEYED, Some(7)), 5_000, |_| success());
    // One token a second until the first answer without a limit.
    expect_that!(reached.len(), ge(250));
}

#[gtest]
fn an_instance_that_names_a_limit_of_zero_can_still_end_it() {
    let mut fixture = alone();
    let reached = ask_for(&mut fixture, (KEYED, Some(7)), 20_000, |_| names("0"));
    expect_that!(most_in_a_window(&reached[1..]), le(5));
    let reached = ask_for(&mut fixture, (KEYED, Some(7)), 10_000, |_| success());
    expect_that!(reached.len(), ge(250));
}

/// A node that has limiters besides itself, in a fleet of three.
fn among_others() -> Fixture {
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
fn a_limit_that_another_node_was_told_binds_as_well() {
    let mut fixture = among_others();
    let limits = List(vec![limit_of_the_owner(1_000)]);
    fixture.receive(node_address(1), &PeerMessage::RateLimits { limits });
    fixture.attempts.clear();
    let reached = ask_for(&mut fixture, (KEYED, Some(7)), 1_000, |_| names("1"));
    expect_that!(reached, is_empty());
}

#[gtest]
fn what_an_answer_says_of_a_limit_is_reported_to_the_coordinator() {
    let mut fixture = among_others();
    fixture.ask(KEYED, Some(7));
    let sent = fixture.attempts.pop().expect("an attempt");
    fixture.answer(sent.exchange, names("3"));
    fixture.run_until(fixture.now + ms(500));
    expect_that!(fixture.sent("rate_limits"), ge(1));
}

#[gtest]
fn a_request_waits_for_the_decision_of_a_limiter_and_for_no_silent_one() {
    let mut fixture = among_others();
    let limits = List(vec![limit_of_the_owner(50_000)]);
    fixture.receive(node_address(1), &PeerMessage::RateLimits { limits });
    fixture.attempts.clear();
    let asked = fixture.ask(KEYED, Some(7));
    expect_that!(fixture.attempts, is_empty());
    fixture.run_until(fixture.now + ms(300));
    match fixture.sent("token_ask") {
        // The node is one of both limiters itself.
        0..=2 => {}
        asks => expect_that!(asks, eq(4)),
    }
    let told = fixture.answers.iter().any(|(client, _)| *client == asked);
    expect_that!(told, eq(true));
}

#[gtest]
fn a_granted_token_sends_the_request() {
    let mut fixture = among_others();
    let limits = List(vec![limit_of_the_owner(50_000)]);
    fixture.receive(node_address(1), &PeerMessage::RateLimits { limits });
    fixture.attempts.clear();
    fixture.ask(KEYED, Some(7));
    let ask = fixture
        .datagrams
        .iter()
        .rev()
        .find_map(|(_, to, message)| match message {
            PeerMessage::TokenAsk { number, limit, .. } => Some((*to, *number, limit.instance)),
            _ => None,
        });
    let Some((limiter, number, instance)) = ask else {
        panic!("the node asks itself");
    };
    let decision = PeerMessage::TokenDecision {
        number,
        instance,
        verdict: TokenVerdictEntry::Granted,
        wait_ms: 0,
    };
    fixture.receive(limiter, &decision);
    expect_that!(fixture.attempts, len(eq(1)));
}

/// Requests for ever other keys, one each 30 ms, each answered after 100 ms. Returns how many
/// were sent and how many were answered.
fn ask_for_all_keys(
    fixture: &mut Fixture,
    lasts_ms: u64,
    answer: impl Fn(SocketAddr) -> Response,
) -> (usize, usize) {
    let mut key = 0u16;
    let mut asked = 0;
    let mut answered = 0;
    let mut at_work = Vec::new();
    let end = fixture.now + ms(lasts_ms);
    while fixture.now < end {
        key = key.wrapping_add(9_973);
        fixture.ask(KEYED, Some(key));
        asked += 1;
        fixture.run_until(fixture.now + ms(30));
        at_work.append(&mut fixture.attempts);
        let now = fixture.now;
        let is_done = |sent: &mut Sent| sent.target == ORDER || sent.at + ms(100) <= now;
        let done: Vec<Sent> = at_work.extract_if(.., is_done).collect();
        for sent in done {
            let response = match sent.target == ORDER {
                true => Response::new(200, ""),
                false => answer(sent.address),
            };
            answered += usize::from(sent.target != ORDER);
            fixture.answer(sent.exchange, response);
        }
    }
    (asked, answered)
}

#[gtest]
fn keys_of_an_owner_in_need_move_to_others() {
    let mut fixture = Fixture::coordinating(vacant_store());
    let limited = instance(3, KEYED).address;
    let answer = |to: SocketAddr| match to == limited {
        true => names("2"),
        false => success(),
    };
    ask_for_all_keys(&mut fixture, 15_000, answer);
    // Both owned half of the keys; by now the other one has nearly all.
    let (asked, answered) = ask_for_all_keys(&mut fixture, 5_000, answer);
    expect_that!(answered as f64 / asked as f64, ge(0.8));
}

/// Tokens that the node hands out in 10 s to another that asks for `instance` each 100 ms,
/// once it has been asked for 15 s.
fn handed_out(fixture: &mut Fixture, instance: u64, first_replies: bool) -> usize {
    for step in 0..250 {
        if step == 150 {
            fixture.datagrams.clear();
        }
        let ask = PeerMessage::TokenAsk {
            number: step,
            zone: Text("a".to_owned()),
            limit: RateLimitEntry {
                instance,
                millis_per_s: Some(4_000),
                age_ms: 0,
            },
        };
        fixture.receive(node_address(2), &ask);
        if first_replies && step % 10 == 0 {
            let reply = PeerMessage::LimiterProbe { is_reply: true };
            fixture.receive(node_address(1), &reply);
        }
        fixture.run_until(fixture.now + ms(100));
    }
    let is_grant = |message: &PeerMessage| {
        let granted = TokenVerdictEntry::Granted;
        matches!(message, PeerMessage::TokenDecision { verdict, .. } if *verdict == granted)
    };
    let sent = fixture.datagrams.iter();
    sent.filter(|(_, _, message)| is_grant(message)).count()
}

#[gtest]
fn the_second_limiter_hands_out_a_part_until_the_first_is_lost() {
    // An instance whose first limiter is node 1, so that this node is the second.
    let in_fleet_of_two = || {
        let mut store = owned_store(configuration(1));
        store.remove(ObjectKind::Nodes, "node-002");
        let mut fixture = Fixture::new(store);
        fixture.run_until(ms(2_000));
        fixture
    };
    let is_probed = |instance: &u64| {
        let mut fixture = in_fleet_of_two();
        handed_out(&mut fixture, *instance, true);
        fixture.sent("limiter_probe") > 0
    };
    let instance = (1..100).find(is_probed).expect("such an instance");
    let beside = handed_out(&mut in_fleet_of_two(), instance, true);
    expect_that!(beside, all!(ge(10), le(14)));
    let alone = handed_out(&mut in_fleet_of_two(), instance, false);
    expect_that!(alone, all!(ge(38), le(44)));
}

#[gtest]
fn a_coordinator_announces_more_limits_than_one_message_holds() {
    let mut fixture = Fixture::coordinating(vacant_store());
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
