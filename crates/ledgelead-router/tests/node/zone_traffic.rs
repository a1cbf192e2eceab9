//! Counting of the traffic within a node's own zone and with other zones.

use crate::fixture::{
    Fixture, KEYED, SERVICE, Store, all_keys_of, configuration, instance, ms, node_address,
    node_record,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::events::Event;
use ledgelead_router::identity::ZoneName;
use ledgelead_router::io::ExchangeFailure;
use ledgelead_router::peers::{NodeRecord, PeerMessage, encode};
use ledgelead_router::zone_traffic::{ORDERS, REQUESTS, STORE, ZoneBytes, ZoneTraffic};

const UPLOAD_BYTES: usize = 60_000;
const ANSWER_BYTES: usize = 3_000;

/// A node in zone a with an instance there, an owner of keys in zone b, and another node in
/// each zone.
fn node() -> Fixture {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_instance(InstanceRecord {
        zone: ZoneName::from("b"),
        ..instance(2, KEYED)
    });
    store.add_node(node_record(0));
    store.add_node(node_record(1));
    store.add_node(NodeRecord {
        zone: ZoneName::from("b"),
        ..node_record(2)
    });
    store.put_ownership(all_keys_of("i-2", 1));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(900));
    fixture.attempts.clear();
    fixture
}

fn traffic(fixture: &Fixture) -> ZoneTraffic {
    fixture.node.status().zone_traffic
}

fn requests(fixture: &Fixture) -> (ZoneBytes, ZoneBytes) {
    let traffic = traffic(fixture);
    let or_default = |counts: Option<&ZoneBytes>| counts.copied().unwrap_or_default();
    let sent = or_default(traffic.sent.get(REQUESTS));
    (sent, or_default(traffic.received.get(REQUESTS)))
}

/// Sends an upload and answers it.
fn exchange(fixture: &mut Fixture, service: &str, key: Option<u16>) {
    fixture.upload(service, key, UPLOAD_BYTES);
    let sent = fixture.attempts.pop().expect("an attempt");
    let mut response = Response::new(200, vec![0; ANSWER_BYTES]);
    response.headers.push("signature", "s");
    fixture.answer(sent.exchange, response);
}

/// The size of a body and its head, which is short.
fn about(bytes: usize) -> impl Matcher<u64> {
    let bytes = bytes as u64;
    all![gt(bytes), lt(bytes + 300)]
}

#[gtest]
fn uploads_are_counted_by_the_zone_of_the_instance() {
    let mut fixture = node();
    exchange(&mut fixture, SERVICE, None);
    let (sent, received) = requests(&fixture);
    expect_that!(sent.own, about(UPLOAD_BYTES));
    expect_that!(received.own, about(ANSWER_BYTES));
    expect_that!((sent.other, received.other), eq((0, 0)));
    exchange(&mut fixture, KEYED, Some(7));
    let (sent, received) = requests(&fixture);
    expect_that!(sent.own, about(UPLOAD_BYTES));
    expect_that!(sent.other, about(UPLOAD_BYTES));
    expect_that!(received.other, about(ANSWER_BYTES));
    expect_that!((sent.unknown, received.unknown), eq((0, 0)));
}

#[gtest]
fn exchange_without_an_answer_counts_only_as_sent() {
    let mut fixture = node();
    fixture.upload(KEYED, Some(7), UPLOAD_BYTES);
    let sent = fixture.attempts.pop().expect("an attempt");
    fixture.end(sent.exchange, Err(ExchangeFailure::Lost));
    let (sent, received) = requests(&fixture);
    expect_that!(sent.other, ge(UPLOAD_BYTES as u64));
    expect_that!(received, eq(ZoneBytes::default()));
}

#[gtest]
fn datagrams_are_counted_by_the_zone_of_the_other_node() {
    let mut fixture = node();
    let message = PeerMessage::CoordinatorResigned { epoch: 1 };
    let bytes = encode(&message).bytes.len() as u64;
    for number in [1, 2, 9] {
        fixture.receive(node_address(number), &message);
    }
    let received = traffic(&fixture).received;
    let expected = ZoneBytes {
        own: bytes,
        other: bytes,
        unknown: bytes,
    };
    expect_that!(received.get("resignation"), some(eq(&expected)));
}

/// The sum of the counters by zone equals the counter of each kind for all zones.
#[gtest]
fn datagram_counts_by_zone_add_up_to_those_by_kind() {
    let mut fixture = node();
    fixture.run_until(ms(8_000));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
    let status = fixture.node.status();
    expect_that!(status.traffic.sent.len(), gt(0));
    for (kind, count) in &status.traffic.sent {
        let zones = status.zone_traffic.sent[kind];
        expect_that!(zones.own + zones.other + zones.unknown, eq(count.bytes));
    }
    let heartbeats = status.zone_traffic.sent["heartbeat"];
    expect_that!(heartbeats.own, eq(heartbeats.other));
}

#[gtest]
fn orders_are_counted_by_zone_and_store_calls_without_one() {
    let mut fixture = node();
    fixture.run_until(ms(8_000));
    let sent = traffic(&fixture).sent;
    expect_that!(sent[ORDERS].other, gt(0));
    expect_that!(sent[ORDERS].own, eq(0));
    expect_that!(sent[STORE].unknown, gt(0));
    expect_that!((sent[STORE].own, sent[STORE].other), eq((0, 0)));
    expect_that!(traffic(&fixture).received[STORE].unknown, gt(0));
}

#[gtest]
fn stop_event_contains_the_traffic_counters() {
    let mut fixture = node();
    exchange(&mut fixture, KEYED, Some(7));
    let zone_bytes = &traffic(&fixture);
    let stops = Event::Stops {
        open: 0,
        zone_bytes,
    };
    let line = serde_json::to_value(stops).expect("an object");
    let sent = &line["zone_bytes"]["sent"]["requests"]["other"];
    expect_that!(sent.as_u64(), some(gt(60_000)));
}
