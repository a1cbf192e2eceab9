//! Requests by way of peers: at a node whose links to instances have failed, and at the peer.
//!
//! Two nodes lost all instances for 12 s; each request found that out anew, at one instance after
//! the other (`never_sent` after 250 ms each), and no other node was asked.

use crate::fixture::{
    Fixture, KEYED, SERVICE, Sent, Store, configuration, instance, ms, node_address, node_record,
    owned_store, success,
};
use googletest::prelude::*;
use ledgelead_http::{Request, Response};
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::forwarding::FORWARD_PATH;
use ledgelead_router::io::{Action, ClientId, ExchangeFailure, Input};
use ledgelead_router::peers::{
    ForwardAnswer, ForwardDecline, ForwardFailure, ForwardPurpose, ForwardRequest, Heartbeat,
    PeerMessage,
};
use ledgelead_router::protections::{Protection, Protections};
use ledgelead_router::settings::NodeSettings;
use ledgelead_types::codec::{self, List};
use std::time::Duration;

/// Client id of the first request of a peer.
const PEER_CLIENT: u64 = 1 << 40;
const REQUEST: ForwardPurpose = ForwardPurpose::Request {
    idempotent: true,
    fresh_connection: false,
};

/// Four instances without keys, and three nodes.
fn store() -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 1..=4 {
        store.add_instance(instance(number, SERVICE));
    }
    for number in 0..3 {
        store.add_node(node_record(number));
    }
    store
}

fn is_forwarded(sent: &Sent) -> bool {
    sent.target == FORWARD_PATH
}

/// Ends all attempts and probes at instances as a node without links sees them.
fn cut_links(fixture: &mut Fixture) {
    loop {
        let direct = fixture.attempts.iter().position(|sent| !is_forwarded(sent));
        let sent = match direct {
            Some(position) => fixture.attempts.remove(position),
            None => match fixture.probes.pop() {
                Some(probe) => probe,
                None => return,
            },
        };
        fixture.end(sent.exchange, Err(ExchangeFailure::NotConnected));
    }
}

/// A client's request that was sent to a peer.
fn forwarded(fixture: &mut Fixture) -> Option<Sent> {
    let is_request = |sent: &Sent| {
        let forward = codec::decode::<ForwardRequest>(&sent.body);
        let of_client = |purpose| matches!(purpose, ForwardPurpose::Request { .. });
        is_forwarded(sent) && forward.is_ok_and(|forward| of_client(forward.purpose))
    };
    let position = fixture.attempts.iter().position(is_request)?;
    Some(fixture.attempts.remove(position))
}

fn answer_forward(fixture: &mut Fixture, sent: &Sent, answer: &ForwardAnswer) {
    let response = Response::new(200, codec::encode(answer));
    fixture.answer(sent.exchange, response);
}

fn last_status(fixture: &Fixture) -> u16 {
    let (_, answer) = fixture.answers.last().expect("an answer");
    answer.status
}

#[gtest]
fn request_goes_by_way_of_a_peer_after_a_connection_that_failed() {
    let mut fixture = Fixture::coordinating(store());
    fixture.request(SERVICE, None);
    cut_links(&mut fixture);
    let sent = forwarded(&mut fixture).expect("a peer is asked");
    expect_that!(sent.address, any!(eq(node_address(1)), eq(node_address(2))));
    answer_forward(&mut fixture, &sent, &ForwardAnswer::new(Ok(success())));
    let (_, answer) = fixture.answers.last().expect("an answer");
    expect_that!(answer.status, eq(200));
    expect_that!(answer.body.as_slice(), eq(b"done"));
    // The next one doesn't try the failed links first.
    fixture.request(SERVICE, None);
    expect_that!(fixture.attempts, len(eq(1)));
    expect_that!(forwarded(&mut fixture), some(anything()));
}

#[gtest]
fn request_that_no_peer_can_forward_is_rejected_at_once() {
    let mut fixture = Fixture::coordinating(store());
    fixture.request(SERVICE, None);
    cut_links(&mut fixture);
    while let Some(sent) = forwarded(&mut fixture) {
        let declined = ForwardAnswer::Declined(ForwardDecline::Isolated);
        answer_forward(&mut fixture, &sent, &declined);
        cut_links(&mut fixture);
    }
    expect_that!(last_status(&fixture), eq(503));
    let before = fixture.answers.len();
    fixture.request(SERVICE, None);
    expect_that!(fixture.answers.len(), eq(before + 1));
    let (_, answer) = fixture.answers.last().expect("an answer");
    expect_that!(answer.body.as_slice(), eq(b"unreachable"));
}

#[gtest]
fn request_that_a_peer_may_have_sent_on_is_not_reported_as_not_run() {
    let mut once = configuration(1);
    for route in &mut once.routes {
        let route = std::sync::Arc::make_mut(route);
        route.repeatability = ledgelead_router::configuration::Repeatability::Once;
    }
    let mut store = store();
    store.put_configuration(once);
    let mut fixture = Fixture::coordinating(store);
    fixture.request(SERVICE, None);
    cut_links(&mut fixture);
    let sent = forwarded(&mut fixture).expect("a peer is asked");
    fixture.end(sent.exchange, Err(ExchangeFailure::Lost));
    expect_that!(last_status(&fixture), eq(502));
    expect_that!(fixture.attempts, is_empty());
}

#[gtest]
fn node_returns_to_its_own_link_after_a_successful_probe() {
    let mut fixture = Fixture::coordinating(store());
    fixture.request(SERVICE, None);
    cut_links(&mut fixture);
    let sent = forwarded(&mut fixture).expect("a peer is asked");
    answer_forward(&mut fixture, &sent, &ForwardAnswer::new(Ok(success())));
    expect_that!(fixture.node.status().isolated, eq(true));
    let healed_at = fixture.now;
    while fixture.node.status().failing_links > 0 && fixture.now < healed_at + ms(2_500) {
        fixture.run_until(fixture.now + ms(50));
        while let Some(probe) = fixture.probes.pop() {
            fixture.end(probe.exchange, Ok(Response::new(200, "")));
        }
    }
    expect_that!(fixture.node.status().isolated, eq(false));
    expect_that!(fixture.node.status().failing_links, eq(0));
    fixture.request(SERVICE, None);
    expect_that!(forwarded(&mut fixture), none());
    expect_that!(fixture.attempts, len(eq(1)));
}

#[gtest]
fn single_instance_that_ends_does_not_isolate_the_node() {
    let mut fixture = Fixture::coordinating(store());
    for _ in 0..6 {
        fixture.request(SERVICE, None);
        while let Some(sent) = fixture.attempts.pop() {
            let ended = instance(1, SERVICE).address;
            let result = match sent.address == ended || is_forwarded(&sent) {
                true => Err(ExchangeFailure::Refused),
                false => Ok(success()),
            };
            fixture.end(sent.exchange, result);
        }
        fixture.run_until(fixture.now + ms(100));
    }
    expect_that!(fixture.node.status().isolated, eq(false));
    expect_that!(last_status(&fixture), eq(200));
}

/// A peer asks the node to forward. Returns its client id.
fn ask(fixture: &mut Fixture, instance: &str, purpose: ForwardPurpose) -> ClientId {
    let mut request = Request::new("GET", "/service/x?y=1", b"body".to_vec());
    request.headers.push("attempt", "7");
    let forward = ForwardRequest::new(instance, purpose, 500, request);
    let client = ClientId(PEER_CLIENT);
    fixture.step(Input::PeerRequest {
        client,
        request: Request::new("POST", FORWARD_PATH, codec::encode(&forward)),
    });
    client
}

fn forward_answer(fixture: &Fixture) -> Option<ForwardAnswer> {
    let (_, response) = fixture.answers.last()?;
    codec::decode(&response.body).ok()
}

#[gtest]
fn peer_makes_one_attempt_and_returns_its_result_unchanged() {
    let mut fixture = Fixture::coordinating(store());
    ask(&mut fixture, "i-1", REQUEST);
    let sent = fixture.attempts.pop().expect("an attempt");
    expect_that!(sent.address, eq(instance(1, SERVICE).address));
    expect_that!(sent.target, eq("/service/x?y=1"));
    expect_that!(sent.body.as_slice(), eq(b"body"));
    let mut busy = Response::new(503, "busy");
    busy.headers.push("attempt", "7");
    busy.headers.push("not-executed", "1");
    fixture.answer(sent.exchange, busy.clone());
    let expected = ForwardAnswer::new(Ok(busy));
    expect_that!(forward_answer(&fixture), some(eq(&expected)));
    expect_that!(fixture.attempts, is_empty());
}

#[gtest]
fn peer_without_a_link_declines_instead_of_forwarding_further() {
    let mut fixture = Fixture::coordinating(store());
    ask(&mut fixture, "i-1", REQUEST);
    let sent = fixture.attempts.pop().expect("an attempt");
    fixture.end(sent.exchange, Err(ExchangeFailure::NotConnected));
    let failed = ForwardAnswer::Failed(ForwardFailure::NotConnected);
    expect_that!(forward_answer(&fixture), some(eq(&failed)));
    for unreachable in ["i-1", "i-77"] {
        ask(&mut fixture, unreachable, REQUEST);
        let declined = ForwardAnswer::Declined(ForwardDecline::NoPath);
        expect_that!(forward_answer(&fixture), some(eq(&declined)));
    }
    expect_that!(fixture.attempts, is_empty());
}

/// The peer that asks may lack the departure, or its request may have been on its way for long.
#[gtest]
fn peer_forwards_no_request_to_an_instance_that_has_drained() {
    let mut fixture = Fixture::coordinating(store());
    ask(&mut fixture, "i-1", REQUEST);
    expect_that!(fixture.attempts.len(), eq(1));
    let mut leaving = instance(1, SERVICE);
    leaving.draining = true;
    fixture.store.add_instance(leaving);
    fixture.answer_watches();
    fixture.run_until(fixture.now + ms(1_500));
    ask(&mut fixture, "i-1", REQUEST);
    expect_that!(fixture.attempts.len(), eq(1));
    let declined = ForwardAnswer::Declined(ForwardDecline::NoPath);
    expect_that!(forward_answer(&fixture), some(eq(&declined)));
}

#[gtest]
fn attempt_ends_when_the_asking_node_disconnects() {
    let mut fixture = Fixture::coordinating(store());
    let client = ask(&mut fixture, "i-1", REQUEST);
    let sent = fixture.attempts.pop().expect("an attempt");
    let mut actions = Vec::new();
    let left = Input::ClientDisconnected { client };
    fixture.node.step(left, fixture.now, &mut actions);
    let is_cancelled = |action: &Action| matches!(action, Action::Cancel { exchange } if *exchange == sent.exchange);
    expect_that!(actions.iter().any(is_cancelled), eq(true));
}

const EPOCH: u64 = 5;

fn heartbeat(fixture: &Fixture, sent: Duration) -> PeerMessage {
    PeerMessage::CoordinatorHeartbeat(Heartbeat {
        epoch: EPOCH,
        sent_ms: u64::try_from(sent.as_millis()).expect("a short test"),
        store_serves: true,
        record_revision: fixture.store.revision,
        configuration_version: fixture.store.version(),
        instances_revision: 0,
        nodes_revision: 0,
        age_ms: 10,
        instances_age_ms: 10,
        served_for_ms: 5_000,
        overloads: List(Vec::new()),
        evacuations: EvacuationsEntry::default(),
        evidence_checksum: 0,
    })
}

/// Asks a node that hears the coordinator of `EPOCH` to forward a grant that was sent this long
/// ago, and returns whether it does.
fn forwards_order(epoch: u64, age: Duration, protections: Protections) -> bool {
    let settings = NodeSettings {
        protections,
        ..Fixture::settings()
    };
    let mut fixture = Fixture::with_settings(owned_store(configuration(1)), settings);
    fixture.run_until(ms(2_000));
    for _ in 0..4 {
        let sent = fixture.now;
        let message = heartbeat(&fixture, sent);
        fixture.run_until(fixture.now + ms(2));
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(198));
    }
    fixture.attempts.clear();
    let sent = fixture.now.saturating_sub(age);
    let order = ForwardPurpose::Order {
        epoch,
        sent_ms: u64::try_from(sent.as_millis()).expect("a short test"),
        is_release: false,
    };
    ask(&mut fixture, "i-3", order);
    fixture.attempts.len() == 1
}

/// An order held up at a suspended peer would reach its instance after the keys went to another.
#[gtest]
fn peer_forwards_only_recent_orders_of_the_newest_coordinator() {
    let safe = Protections::default();
    expect_that!(forwards_order(EPOCH, ms(20), safe), eq(true));
    expect_that!(forwards_order(EPOCH, ms(600), safe), eq(false));
    expect_that!(forwards_order(EPOCH - 1, ms(20), safe), eq(false));
    expect_that!(forwards_order(EPOCH + 1, ms(20), safe), eq(false));
    let sabotaged = Protections::without(Protection::RecentOrders);
    expect_that!(forwards_order(EPOCH, ms(600), sabotaged), eq(true));
}

#[gtest]
fn keyed_request_reaches_its_owner_by_way_of_a_peer() {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(2_000));
    fixture.request(KEYED, Some(7));
    cut_links(&mut fixture);
    let sent = forwarded(&mut fixture).expect("a peer is asked");
    let forward: ForwardRequest = codec::decode(&sent.body).expect("it can be read");
    expect_that!(forward.instance.0.as_str(), eq("i-3"));
    answer_forward(&mut fixture, &sent, &ForwardAnswer::new(Ok(success())));
    expect_that!(last_status(&fixture), eq(200));
}
