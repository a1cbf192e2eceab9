//! What nodes tell each other of instances that have said in answers that they leave.

use crate::fixture::{
    Fixture, KEYED, SERVICE, configuration, instance, ms, node_address, owned_store, success,
    vacant_store,
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

/// The instances that messages so far have named as leaving, by the hashes of their ids.
fn told(fixture: &Fixture) -> Vec<u64> {
    let messages = fixture.datagrams.iter().map(|(_, _, message)| message);
    let named = messages.filter_map(|message| match message {
        PeerMessage::LeavingInstances { instances } => {
            Some(instances.iter().map(|entry| entry.subject))
        }
        _ => None,
    });
    named.flatten().collect()
}

fn hash(number: u8) -> u64 {
    instance(number, SERVICE).id.stable_hash()
}

/// The instance of the next attempt answers this.
fn answer_next(fixture: &mut Fixture, response: Response) -> u8 {
    let sent = fixture.attempts.pop().expect("an attempt");
    fixture.answer(sent.exchange, response);
    (1..=4)
        .find(|number| instance(*number, SERVICE).address == sent.address)
        .expect("an instance of the store")
}

/// A node that follows no coordinator, though the record names node 1.
fn follower() -> Fixture {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(500));
    fixture.datagrams.clear();
    fixture
}

#[gtest]
fn the_coordinator_is_told_until_it_announces_it() {
    let mut fixture = follower();
    fixture.ask(SERVICE, None);
    let number = answer_next(&mut fixture, leaving(200));
    fixture.run_until(fixture.now + ms(250));
    expect_that!(told(&fixture), len(ge(1)));
    expect_that!(told(&fixture), each(eq(&hash(number))));
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
    expect_that!(told(&fixture), is_empty());
}

#[gtest]
fn a_node_that_is_told_sends_nothing_new() {
    let mut fixture = follower();
    let announced = PeerMessage::LeavingInstances {
        instances: List(vec![AgedEntry {
            subject: hash(1),
            age_ms: 100,
        }]),
    };
    fixture.receive(node_address(1), &announced);
    for _ in 0..10 {
        fixture.ask(SERVICE, None);
        expect_that!(answer_next(&mut fixture, success()), eq(2));
    }
}

#[gtest]
fn a_coordinator_moves_the_keys_of_an_owner_that_says_so_in_an_answer_alone() {
    let mut fixture = Fixture::coordinating(vacant_store());
    grant_all(&mut fixture);
    let leaver = fixture.owner_of(7).expect("an owner");
    fixture.ask(KEYED, Some(7));
    answer_next(&mut fixture, leaving(200));
    fixture.datagrams.clear();
    for _ in 0..20 {
        fixture.run_until(fixture.now + ms(50));
        grant_all(&mut fixture);
    }
    expect_that!(fixture.owner_of(7), some(not(eq(&leaver))));
    expect_that!(told(&fixture), contains(eq(&leaver.stable_hash())));
}

/// Orders that are out are carried out.
fn grant_all(fixture: &mut Fixture) {
    while let Some(sent) = fixture.attempts.pop() {
        fixture.answer(sent.exchange, Response::new(200, ""));
    }
}

#[gtest]
fn an_answer_to_an_order_counts() {
    let mut fixture = Fixture::coordinating(vacant_store());
    let order = fixture.attempts.pop().expect("a grant");
    let number = if order.address == instance(3, KEYED).address {
        3
    } else {
        4
    };
    fixture.answer(order.exchange, leaving(200));
    fixture.datagrams.clear();
    fixture.run_until(fixture.now + ms(250));
    expect_that!(told(&fixture), contains(eq(&hash(number))));
}

#[gtest]
fn failures_and_rejections_count_and_what_another_instance_says_does_not() {
    for (status, from, counts) in [
        (500, "i-3", true),
        (421, "i-3", true),
        (503, "i-3", true),
        (421, "i-9", false),
    ] {
        let mut fixture = follower();
        fixture.ask(KEYED, Some(7));
        let mut response = leaving(status);
        response.headers.push("instance", from);
        response.headers.push("not-executed", "1");
        answer_next(&mut fixture, response);
        fixture.run_until(fixture.now + ms(250));
        let expected = InstanceId::from("i-3").stable_hash();
        let is_told = told(&fixture).contains(&expected);
        expect_that!(is_told, eq(counts), "{status} from {from}");
    }
}

#[gtest]
fn callers_are_refused_at_once_while_nobody_can_own_the_keys_of_a_leaving_owner() {
    let mut fixture = follower();
    fixture.store.refuses = true;
    fixture.run_until(ms(4_000));
    fixture.attempts.clear();
    fixture.ask(KEYED, Some(7));
    answer_next(&mut fixture, leaving(200));
    fixture.run_until(fixture.now + ms(2_000));
    fixture.attempts.clear();
    fixture.answers.clear();
    fixture.ask(KEYED, Some(7));
    let (_, response) = fixture.answers.pop().expect("an answer at once");
    expect_that!(response.status, eq(503));
    expect_that!(response.body.as_slice(), eq(b"owner_left"));
}
