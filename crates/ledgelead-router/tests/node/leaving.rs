//! How nodes pass on that an instance has announced in a response that it is leaving.

use crate::fixture::{
    Fixture, KEYED, SERVICE, completed, configuration, instance, ms, node_address, owned_store,
    store_without_owners, success,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::identity::InstanceId;
use ledgelead_router::peers::{AgedEntry, PeerMessage};
use ledgelead_types::codec::List;

fn leaving(status: u16) -> Response {
    let mut response = success();
    response.status = status;
    response.headers.push("leaving", "1");
    response
}

/// Hashes of the ids of all instances reported as leaving in messages so far.
fn reported_as_leaving(fixture: &Fixture) -> Vec<u64> {
    let messages = fixture.datagrams.iter().map(|(_, _, message)| message);
    let reported = messages.filter_map(|message| match message {
        PeerMessage::LeavingInstances { instances } => {
            Some(instances.iter().map(|entry| entry.subject))
        }
        _ => None,
    });
    reported.flatten().collect()
}

fn hash(number: u8) -> u64 {
    instance(number, SERVICE).id.stable_hash()
}

/// Answers the next attempt, and returns the number of its instance.
fn answer_next(fixture: &mut Fixture, response: Response) -> u8 {
    let sent = fixture.attempts.pop().expect("an attempt");
    fixture.answer(sent.exchange, response);
    (1..=4)
        .find(|number| instance(*number, SERVICE).address == sent.address)
        .expect("an instance of the store")
}

/// A node that follows no coordinator, although the record names node 1.
fn follower() -> Fixture {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(500));
    fixture.datagrams.clear();
    fixture
}

#[gtest]
fn leaving_instance_is_reported_until_the_coordinator_announces_it() {
    let mut fixture = follower();
    fixture.request(SERVICE, None);
    let number = answer_next(&mut fixture, leaving(200));
    fixture.run_until(fixture.now + ms(250));
    expect_that!(reported_as_leaving(&fixture), len(ge(1)));
    expect_that!(reported_as_leaving(&fixture), each(eq(&hash(number))));
    let to: Vec<_> = fixture
        .datagrams
        .iter()
        .filter(|(_, _, message)| message.kind() == "leaving")
        .map(|(_, to, _)| *to)
        .collect();
    expect_that!(to, each(eq(&node_address(1))));
    let announced = PeerMessage::LeavingInstances {
        instances: List(vec![AgedEntry {
            subject: hash(number),
            age_ms: 250,
        }]),
    };
    fixture.receive(node_address(1), &announced);
    fixture.datagrams.clear();
    fixture.run_until(fixture.now + ms(250));
    expect_that!(reported_as_leaving(&fixture), is_empty());
}

#[gtest]
fn instance_announced_as_leaving_gets_no_new_requests() {
    let mut fixture = follower();
    let announced = PeerMessage::LeavingInstances {
        instances: List(vec![AgedEntry {
            subject: hash(1),
            age_ms: 100,
        }]),
    };
    fixture.receive(node_address(1), &announced);
    for _ in 0..10 {
        fixture.request(SERVICE, None);
        expect_that!(answer_next(&mut fixture, success()), eq(2));
    }
}

#[gtest]
fn coordinator_moves_keys_of_an_owner_that_announces_leaving_in_a_response() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    complete_orders(&mut fixture);
    let leaving_owner = fixture.owner_of(7).expect("an owner");
    fixture.request(KEYED, Some(7));
    answer_next(&mut fixture, leaving(200));
    fixture.datagrams.clear();
    for _ in 0..20 {
        fixture.run_until(fixture.now + ms(50));
        complete_orders(&mut fixture);
    }
    expect_that!(fixture.owner_of(7), some(not(eq(&leaving_owner))));
    expect_that!(
        reported_as_leaving(&fixture),
        contains(eq(&leaving_owner.stable_hash()))
    );
}

/// Answers all outstanding orders.
fn complete_orders(fixture: &mut Fixture) {
    while let Some(sent) = fixture.attempts.pop() {
        fixture.answer(sent.exchange, completed(&sent));
    }
}

#[gtest]
fn leaving_notice_in_the_response_to_an_order_counts() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    let order = fixture.attempts.pop().expect("a grant");
    let number = if order.address == instance(3, KEYED).address {
        3
    } else {
        4
    };
    fixture.answer(order.exchange, leaving(200));
    fixture.datagrams.clear();
    fixture.run_until(fixture.now + ms(250));
    expect_that!(reported_as_leaving(&fixture), contains(eq(&hash(number))));
}

#[gtest]
fn notices_in_failures_and_rejections_count_but_not_of_other_instances() {
    for (status, from, counts) in [
        (500, "i-3", true),
        (421, "i-3", true),
        (503, "i-3", true),
        (421, "i-9", false),
    ] {
        let mut fixture = follower();
        fixture.request(KEYED, Some(7));
        let mut response = leaving(status);
        response.headers.push("instance", from);
        response.headers.push("not-executed", "1");
        answer_next(&mut fixture, response);
        fixture.run_until(fixture.now + ms(250));
        let expected = InstanceId::from("i-3").stable_hash();
        let is_reported = reported_as_leaving(&fixture).contains(&expected);
        expect_that!(is_reported, eq(counts), "{status} from {from}");
    }
}

#[gtest]
fn callers_are_refused_immediately_while_keys_of_a_leaving_owner_cannot_move() {
    let mut fixture = follower();
    fixture.store.refuses_calls = true;
    fixture.run_until(ms(4_000));
    fixture.attempts.clear();
    fixture.request(KEYED, Some(7));
    answer_next(&mut fixture, leaving(200));
    fixture.run_until(fixture.now + ms(2_000));
    fixture.attempts.clear();
    fixture.answers.clear();
    fixture.request(KEYED, Some(7));
    let (_, response) = fixture.answers.pop().expect("an answer at once");
    expect_that!(response.status, eq(503));
    expect_that!(response.body.as_slice(), eq(b"owner_left"));
}
