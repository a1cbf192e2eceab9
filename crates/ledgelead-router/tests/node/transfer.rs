//! Lists that exceed one page of the store are transferred between nodes.
//!
//! A fleet of 984 nodes and 9,998 instances started with a list of 50 pages for each node.
//! These 3 GB over the store's link made its connections time out for 20 s, including those of
//! the coordinator and of the instances, and no key got an owner.

use crate::fixture::{
    Fixture, SERVICE, Sent, Store, configuration, instance, ms, node_address, node_record,
};
use googletest::prelude::*;
use ledgelead_http::{Request, Response};
use ledgelead_router::dialect::{ObjectKind, StoreCall};
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::identity::ZoneName;
use ledgelead_router::io::{ClientId, ExchangeFailure, Input};
use ledgelead_router::node::TRANSFER_PATH;
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::peers::{
    Heartbeat, InstanceTable, PeerAddress, PeerMessage, RelayedKind, TransferAnswer,
    TransferRequest, encode,
};
use ledgelead_types::codec::{self, Bytes, List, Text};
use std::net::SocketAddr;

/// Numbers of the instances, of which two fit on a page.
const INSTANCES: std::ops::RangeInclusive<u8> = 1..=9;
/// Time in which each request is answered, even if there is nothing to send. It is less than
/// the time after which its sender asks another node.
const ANSWERED_WITHIN_MS: u64 = 1_000;
/// The coordinator.
const COORDINATOR: u8 = 1;
/// The node that relays the coordinator's heartbeats.
const RELAY: u8 = 2;

/// A store with a coordinator, whose lists take several pages.
fn paged_store() -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in INSTANCES {
        store.add_instance(instance(number, SERVICE));
    }
    for number in 0..4 {
        store.add_node(node_record(number));
    }
    store.put_ownership(OwnershipRecord {
        epoch: 5,
        coordinator: Some(node_record(COORDINATOR).identity),
        next_fence: 9,
        ..OwnershipRecord::default()
    });
    store.page = Some(2);
    store
}

/// A heartbeat of a coordinator that knows the complete state of the store.
fn heartbeat(fixture: &Fixture) -> PeerMessage {
    PeerMessage::CoordinatorHeartbeat(Heartbeat {
        epoch: 5,
        sent_ms: 1,
        store_serves: true,
        record_revision: fixture
            .store
            .revision_of(ObjectKind::Ownership, "record")
            .unwrap_or(0),
        configuration_version: 1,
        instances_revision: fixture.store.revision,
        nodes_revision: 0,
        age_ms: 0,
        instances_age_ms: 0,
        served_for_ms: 60_000,
        overloads: List(Vec::new()),
        evacuations: EvacuationsEntry {
            revision: 0,
            zones: List(Vec::new()),
        },
        evidence_checksum: 0,
    })
}

/// Receives a heartbeat through the relay.
fn relay_heartbeat(fixture: &mut Fixture) {
    let message = heartbeat(fixture);
    let forwarded = PeerMessage::Forwarded {
        origin: PeerAddress::new(node_address(COORDINATOR)).expect("IPv4"),
        to_zone: false,
        message: Bytes(encode(&message).bytes.to_vec()),
    };
    fixture.receive(node_address(RELAY), &forwarded);
}

/// Receives heartbeats through the relay for this time.
fn relay_heartbeats_for(fixture: &mut Fixture, duration_ms: u64) {
    let end = fixture.now + ms(duration_ms);
    while fixture.now < end {
        relay_heartbeat(fixture);
        fixture.run_until(fixture.now + ms(100));
    }
}

/// Number of pages of instances requested from the store.
fn pages(fixture: &Fixture) -> usize {
    let is_page = |call: &&StoreCall| {
        matches!(
            call,
            StoreCall::List {
                kind: ObjectKind::Instances,
                ..
            }
        )
    };
    fixture
        .calls
        .iter()
        .map(|(_, call)| call)
        .filter(is_page)
        .count()
}

/// The unanswered requests for instances to other nodes.
fn take_requests(fixture: &mut Fixture) -> Vec<Sent> {
    let sent = std::mem::take(&mut fixture.attempts);
    let asks_instances = |sent: &Sent| {
        let request = codec::decode::<TransferRequest>(&sent.body);
        sent.target == TRANSFER_PATH
            && request.is_ok_and(|request| request.kind == RelayedKind::Instances)
    };
    sent.into_iter().filter(asks_instances).collect()
}

/// The answer of a coordinator of the same store to the node with this number in a zone.
fn answer_to(fixture: &mut Fixture, number: u8, zone: &str) -> TransferAnswer {
    let request = TransferRequest {
        kind: RelayedKind::Instances,
        known_revision: 0,
        zone: Text(zone.to_owned()),
        address: PeerAddress::new(node_address(number)).expect("IPv4"),
        link_bytes_per_s: 2_500_000,
    };
    let client = ClientId(1 << 40);
    fixture.step(Input::PeerRequest {
        client,
        request: Request::new("POST", TRANSFER_PATH, codec::encode(&request)),
    });
    fixture.run_until(fixture.now + ms(ANSWERED_WITHIN_MS));
    let (_, response) = fixture.answers.pop().expect("an answer");
    codec::decode::<TransferAnswer>(&response.body).expect("it can be read")
}

fn coordinator() -> Fixture {
    let mut store = paged_store();
    store.clear_coordinator();
    Fixture::coordinating(store)
}

/// The response of a coordinator with all instances.
fn all_instances() -> Response {
    let answer = answer_to(&mut coordinator(), 3, "a");
    Response::new(200, codec::encode(&answer))
}

fn referral(nodes: &[SocketAddr]) -> Response {
    let nodes = nodes
        .iter()
        .filter_map(|node| PeerAddress::new(*node))
        .collect();
    Response::new(200, codec::encode(&TransferAnswer::Redirect { nodes }))
}

/// A node that has read one page and receives the heartbeats of a coordinator.
fn follower() -> Fixture {
    let mut fixture = Fixture::new(paged_store());
    fixture.run_until(ms(50));
    relay_heartbeats_for(&mut fixture, 100);
    fixture
}

#[gtest]
fn starting_node_reads_one_page_and_asks_the_relay_of_heartbeats() {
    let mut fixture = follower();
    expect_that!(pages(&fixture), eq(1));
    let requests = take_requests(&mut fixture);
    expect_that!(requests, len(eq(1)));
    expect_that!(requests[0].address, eq(node_address(RELAY)));
    expect_that!(fixture.node.is_ready(), eq(false));
    fixture.answer(requests[0].exchange, all_instances());
    expect_that!(fixture.node.is_ready(), eq(true));
    expect_that!(fixture.node.status().instances, eq(INSTANCES.count()));
    relay_heartbeats_for(&mut fixture, 2_000);
    expect_that!(pages(&fixture), eq(1));
}

#[gtest]
fn node_following_a_coordinator_before_its_first_page_reads_no_other() {
    let mut fixture = Fixture::new(paged_store());
    fixture.store.is_slow = true;
    fixture.run_until(ms(20));
    // Delivers the configuration, with which the node can follow, and then the first page.
    fixture.deliver_answers();
    relay_heartbeat(&mut fixture);
    fixture.deliver_answers();
    relay_heartbeats_for(&mut fixture, 200);
    expect_that!(pages(&fixture), eq(1));
    expect_that!(take_requests(&mut fixture), len(eq(1)));
}

#[gtest]
fn node_is_referred_to_sources_of_the_list() {
    let mut fixture = follower();
    let first = take_requests(&mut fixture).pop().expect("a request");
    fixture.answer(first.exchange, referral(&[node_address(3)]));
    relay_heartbeats_for(&mut fixture, 100);
    let second = take_requests(&mut fixture).pop().expect("a request");
    expect_that!(second.address, eq(node_address(3)));
    fixture.end(second.exchange, Err(ExchangeFailure::Refused));
    relay_heartbeats_for(&mut fixture, 500);
    let third = take_requests(&mut fixture).pop().expect("a request");
    expect_that!(third.address, not(eq(node_address(3))));
}

#[gtest]
fn node_without_a_source_reads_the_store() {
    let mut fixture = follower();
    let end = fixture.now + ms(13_000);
    while fixture.now < end && !fixture.node.is_ready() {
        for request in take_requests(&mut fixture) {
            fixture.answer(request.exchange, referral(&[]));
        }
        relay_heartbeats_for(&mut fixture, 100);
    }
    expect_that!(fixture.node.is_ready(), eq(true));
    expect_that!(pages(&fixture), ge(INSTANCES.count() / 2));
}

#[gtest]
fn node_without_a_coordinator_reads_the_store() {
    let mut fixture = Fixture::new(paged_store());
    fixture.run_until(ms(20_000));
    expect_that!(fixture.node.is_ready(), eq(true));
}

#[gtest]
fn another_zone_is_sent_a_list_once_and_then_referred() {
    let mut fixture = coordinator();
    let first = answer_to(&mut fixture, 10, "b");
    expect_that!(first, matches_pattern!(TransferAnswer::State(_)));
    let referred = TransferAnswer::Redirect {
        nodes: List(vec![PeerAddress::new(node_address(10)).expect("IPv4")]),
    };
    expect_that!(answer_to(&mut fixture, 11, "b"), eq(&referred));
    // Nodes of the same zone get the list as long as there is bandwidth.
    for number in 3..6 {
        let answer = answer_to(&mut fixture, number, "a");
        expect_that!(answer, matches_pattern!(TransferAnswer::State(_)));
    }
    // The first transfer may have been lost.
    fixture.run_until(fixture.now + ms(2_000));
    let later = answer_to(&mut fixture, 11, "b");
    expect_that!(later, matches_pattern!(TransferAnswer::State(_)));
}

/// Sends a request of a node with this bandwidth, without waiting for the answer.
fn request(fixture: &mut Fixture, number: u8, link_bytes_per_s: u64) -> ClientId {
    let request = TransferRequest {
        kind: RelayedKind::Instances,
        known_revision: 0,
        zone: Text("a".to_owned()),
        address: PeerAddress::new(node_address(number)).expect("IPv4"),
        link_bytes_per_s,
    };
    let client = ClientId((1 << 41) + u64::from(number));
    fixture.step(Input::PeerRequest {
        client,
        request: Request::new("POST", TRANSFER_PATH, codec::encode(&request)),
    });
    client
}

/// Clients whose requests were answered with the list, and the targets of the other requests'
/// referrals.
fn outcomes(fixture: &Fixture) -> (Vec<ClientId>, Vec<SocketAddr>) {
    let mut sent = Vec::new();
    let mut referred = Vec::new();
    for (client, response) in &fixture.answers {
        match codec::decode::<TransferAnswer>(&response.body).expect("it can be read") {
            TransferAnswer::State(_) => sent.push(*client),
            TransferAnswer::Redirect { nodes } => {
                referred.extend(nodes.iter().map(|node| node.socket()));
            }
        }
    }
    (sent, referred)
}

#[gtest]
fn fastest_links_are_served_first_and_get_the_referrals() {
    let mut settings = Fixture::settings();
    // Half of it carries nine entries of about 40 bytes in a quarter of a second.
    settings.link_bytes_per_s = 3_000;
    let mut store = paged_store();
    store.clear_coordinator();
    let mut fixture = Fixture::with_settings(store, settings);
    fixture.run_until(ms(3_000));
    for number in 10..40 {
        request(&mut fixture, number, 1_000);
    }
    let fastest = [
        request(&mut fixture, 50, 20_000),
        request(&mut fixture, 51, 20_000),
    ];
    fixture.run_until(fixture.now + ms(500));
    let (sent, referred) = outcomes(&fixture);
    expect_that!(sent.len() + referred.len(), eq(32));
    expect_that!(sent.len(), le(8));
    expect_that!(sent[..2], eq(&fastest));
    // Each fast link gets many times as many referrals as a slow one.
    let to = |number: u8| {
        let to_it = |node: &&SocketAddr| **node == node_address(number);
        referred.iter().filter(to_it).count()
    };
    expect_that!(to(50) + to(51), ge(referred.len() * 3 / 4));
}

#[gtest]
fn slow_links_served_later_do_not_displace_a_fast_one() {
    let mut store = paged_store();
    store.clear_coordinator();
    let mut settings = Fixture::settings();
    settings.link_bytes_per_s = 20_000;
    let mut fixture = Fixture::with_settings(store, settings);
    fixture.run_until(ms(3_000));
    request(&mut fixture, 200, 2_000_000);
    fixture.run_until(fixture.now + ms(200));
    for number in 10..60 {
        request(&mut fixture, number, 1_000);
        fixture.run_until(fixture.now + ms(200));
    }
    fixture.answers.clear();
    for number in 60..90 {
        request(&mut fixture, number, 1_000);
    }
    fixture.run_until(fixture.now + ms(400));
    let (_, referred) = outcomes(&fixture);
    expect_that!(referred, len(ge(10)));
    expect_that!(referred, each(eq(&node_address(200))));
}

#[gtest]
fn request_waits_for_the_list_and_is_dropped_on_disconnect() {
    let mut fixture = Fixture::new(paged_store());
    fixture.run_until(ms(50));
    relay_heartbeats_for(&mut fixture, 100);
    let waiting = request(&mut fixture, 3, 1_000);
    let disconnected = request(&mut fixture, 2, 1_000);
    fixture.step(Input::ClientDisconnected {
        client: disconnected,
    });
    relay_heartbeats_for(&mut fixture, 200);
    expect_that!(fixture.answers, is_empty());
    let own_request = take_requests(&mut fixture).pop().expect("a request");
    fixture.answer(own_request.exchange, all_instances());
    relay_heartbeats_for(&mut fixture, 100);
    let (sent, _) = outcomes(&fixture);
    expect_that!(sent, elements_are![eq(&waiting)]);
}

#[gtest]
fn instance_table_keeps_all_fields_of_the_records() {
    let mut records: Vec<InstanceRecord> =
        INSTANCES.map(|number| instance(number, SERVICE)).collect();
    records[1].address = "[2001:db8::7]:8000".parse().expect("an address");
    records[2].draining = true;
    records[3].warmup_left = ms(2_500);
    records[4].zone = ZoneName::from("b");
    let table = InstanceTable::new(records.iter());
    expect_that!(table.into_records(), eq(&records));
}

#[gtest]
fn node_without_newer_objects_sends_none() {
    let mut fixture = Fixture::new(paged_store());
    fixture.run_until(ms(50));
    let answer = answer_to(&mut fixture, 3, "a");
    let nothing = TransferAnswer::Redirect {
        nodes: List(Vec::new()),
    };
    expect_that!(answer, eq(&nothing));
}
