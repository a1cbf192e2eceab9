//! Lists that don't fit one page of the store come from other nodes.
//!
//! A fleet of 984 nodes and 9,998 instances started with a list of 50 pages for each node:
//! 3 GB over the store's link, whose connections then timed out for 20 s, also those of the
//! coordinator and of the instances. No key got an owner.

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

/// Instances, of which two fit a page.
const INSTANCES: std::ops::RangeInclusive<u8> = 1..=9;
/// Time in which a request has an answer, be it that there is nothing to send: less than
/// the time after which its sender asks another node.
const ANSWERED_WITHIN_MS: u64 = 1_000;
/// The node that coordinates.
const COORDINATOR: u8 = 1;
/// The node that passes its heartbeats on.
const RELAY: u8 = 2;

/// A store whose lists take several pages, and that names a coordinator.
fn paged_store() -> Store {
    let mut store = Store::default();
    store.configure(configuration(1));
    for number in INSTANCES {
        store.add_instance(instance(number, SERVICE));
    }
    for number in 0..4 {
        store.add_node(node_record(number));
    }
    store.own(OwnershipRecord {
        epoch: 5,
        coordinator: Some(node_record(COORDINATOR).identity),
        next_fence: 9,
        ..OwnershipRecord::default()
    });
    store.page = Some(2);
    store
}

/// A heartbeat of the coordinator, which knows all that is in the store.
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

/// The relay passes a heartbeat on.
fn hear_coordinator(fixture: &mut Fixture) {
    let message = heartbeat(fixture);
    let passed_on = PeerMessage::Forwarded {
        origin: PeerAddress::new(node_address(COORDINATOR)).expect("IPv4"),
        to_zone: false,
        message: Bytes(encode(&message).bytes.to_vec()),
    };
    fixture.receive(node_address(RELAY), &passed_on);
}

/// Passes heartbeats on for so long.
fn follow_for(fixture: &mut Fixture, lasts_ms: u64) {
    let end = fixture.now + ms(lasts_ms);
    while fixture.now < end {
        hear_coordinator(fixture);
        fixture.run_until(fixture.now + ms(100));
    }
}

/// Pages of instances that the store was asked for.
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

/// The requests for instances that went to other nodes and have no answer yet.
fn take_requests(fixture: &mut Fixture) -> Vec<Sent> {
    let sent = std::mem::take(&mut fixture.attempts);
    let asks_instances = |sent: &Sent| {
        let request = codec::decode::<TransferRequest>(&sent.body);
        sent.target == TRANSFER_PATH
            && request.is_ok_and(|request| request.kind == RelayedKind::Instances)
    };
    sent.into_iter().filter(asks_instances).collect()
}

/// What a coordinator of the same store answers to the node with this number in a zone.
fn asked_by(fixture: &mut Fixture, number: u8, zone: &str) -> TransferAnswer {
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
    store.vacate();
    Fixture::coordinating(store)
}

/// All instances, as a coordinator sends them.
fn all_instances() -> Response {
    let answer = asked_by(&mut coordinator(), 3, "a");
    Response::new(200, codec::encode(&answer))
}

fn elsewhere(nodes: &[SocketAddr]) -> Response {
    let nodes = nodes
        .iter()
        .filter_map(|node| PeerAddress::new(*node))
        .collect();
    Response::new(200, codec::encode(&TransferAnswer::Redirect { nodes }))
}

/// A node that has seen one page and hears a coordinator.
fn following() -> Fixture {
    let mut fixture = Fixture::new(paged_store());
    fixture.run_until(ms(50));
    follow_for(&mut fixture, 100);
    fixture
}

#[gtest]
fn a_starting_node_reads_one_page_and_asks_the_node_that_passes_heartbeats_on() {
    let mut fixture = following();
    expect_that!(pages(&fixture), eq(1));
    let requests = take_requests(&mut fixture);
    expect_that!(requests, len(eq(1)));
    expect_that!(requests[0].address, eq(node_address(RELAY)));
    expect_that!(fixture.node.is_ready(), eq(false));
    fixture.answer(requests[0].exchange, all_instances());
    expect_that!(fixture.node.is_ready(), eq(true));
    expect_that!(fixture.node.status().instances, eq(INSTANCES.count()));
    follow_for(&mut fixture, 2_000);
    expect_that!(pages(&fixture), eq(1));
}

#[gtest]
fn a_node_that_hears_a_coordinator_before_the_first_page_waits_for_no_other() {
    let mut fixture = Fixture::new(paged_store());
    fixture.store.is_slow = true;
    fixture.run_until(ms(20));
    // The configuration, with which the node follows; then the first page.
    fixture.deliver();
    hear_coordinator(&mut fixture);
    fixture.deliver();
    follow_for(&mut fixture, 200);
    expect_that!(pages(&fixture), eq(1));
    expect_that!(take_requests(&mut fixture), len(eq(1)));
}

#[gtest]
fn a_node_is_referred_to_those_that_have_the_list() {
    let mut fixture = following();
    let first = take_requests(&mut fixture).pop().expect("a request");
    fixture.answer(first.exchange, elsewhere(&[node_address(3)]));
    follow_for(&mut fixture, 100);
    let second = take_requests(&mut fixture).pop().expect("a request");
    expect_that!(second.address, eq(node_address(3)));
    fixture.end(second.exchange, Err(ExchangeFailure::Refused));
    follow_for(&mut fixture, 500);
    let third = take_requests(&mut fixture).pop().expect("a request");
    expect_that!(third.address, not(eq(node_address(3))));
}

#[gtest]
fn a_node_that_finds_no_source_reads_the_store() {
    let mut fixture = following();
    let end = fixture.now + ms(13_000);
    while fixture.now < end && !fixture.node.is_ready() {
        for request in take_requests(&mut fixture) {
            fixture.answer(request.exchange, elsewhere(&[]));
        }
        follow_for(&mut fixture, 100);
    }
    expect_that!(fixture.node.is_ready(), eq(true));
    expect_that!(pages(&fixture), ge(INSTANCES.count() / 2));
}

#[gtest]
fn a_node_that_hears_nobody_reads_the_store() {
    let mut fixture = Fixture::new(paged_store());
    fixture.run_until(ms(20_000));
    expect_that!(fixture.node.is_ready(), eq(true));
}

#[gtest]
fn another_zone_gets_a_list_once_and_passes_it_on() {
    let mut fixture = coordinator();
    let first = asked_by(&mut fixture, 10, "b");
    expect_that!(first, matches_pattern!(TransferAnswer::State(_)));
    let referred = TransferAnswer::Redirect {
        nodes: List(vec![PeerAddress::new(node_address(10)).expect("IPv4")]),
    };
    expect_that!(asked_by(&mut fixture, 11, "b"), eq(&referred));
    // Nodes of its own zone get it as long as there is room on the link.
    for number in 3..6 {
        let answer = asked_by(&mut fixture, number, "a");
        expect_that!(answer, matches_pattern!(TransferAnswer::State(_)));
    }
    // The first may be lost.
    fixture.run_until(fixture.now + ms(2_000));
    let later = asked_by(&mut fixture, 11, "b");
    expect_that!(later, matches_pattern!(TransferAnswer::State(_)));
}

/// Requests of a node with a link of so many bytes a second, sent without an answer yet.
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

/// Requests that were answered with the list, and those that were referred, by whom to.
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
fn what_the_link_bears_goes_to_the_widest_links_which_serve_the_others() {
    let mut settings = Fixture::settings();
    // Half of it carries nine entries of some 40 bytes in a quarter of a second.
    settings.link_bytes_per_s = 3_000;
    let mut store = paged_store();
    store.vacate();
    let mut fixture = Fixture::with_settings(store, settings);
    fixture.run_until(ms(3_000));
    for number in 10..40 {
        request(&mut fixture, number, 1_000);
    }
    let widest = [
        request(&mut fixture, 50, 20_000),
        request(&mut fixture, 51, 20_000),
    ];
    fixture.run_until(fixture.now + ms(500));
    let (sent, referred) = outcomes(&fixture);
    expect_that!(sent.len() + referred.len(), eq(32));
    expect_that!(sent.len(), le(8));
    expect_that!(sent[..2], eq(&widest));
    // Each of the wide links gets many times as many as a narrow one.
    let to = |number: u8| {
        let to_it = |node: &&SocketAddr| **node == node_address(number);
        referred.iter().filter(to_it).count()
    };
    expect_that!(to(50) + to(51), ge(referred.len() * 3 / 4));
}

#[gtest]
fn narrow_links_that_were_served_later_do_not_take_the_place_of_wide_ones() {
    let mut store = paged_store();
    store.vacate();
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
fn a_request_waits_for_the_list_and_is_forgotten_with_its_sender() {
    let mut fixture = Fixture::new(paged_store());
    fixture.run_until(ms(50));
    follow_for(&mut fixture, 100);
    let asks = request(&mut fixture, 3, 1_000);
    let leaves = request(&mut fixture, 2, 1_000);
    fixture.step(Input::ClientDisconnected { client: leaves });
    follow_for(&mut fixture, 200);
    expect_that!(fixture.answers, is_empty());
    let own = take_requests(&mut fixture).pop().expect("a request");
    fixture.answer(own.exchange, all_instances());
    follow_for(&mut fixture, 100);
    let (sent, _) = outcomes(&fixture);
    expect_that!(sent, elements_are![eq(&asks)]);
}

#[gtest]
fn a_table_of_instances_holds_what_they_registered() {
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
fn a_node_that_knows_nothing_newer_sends_nothing() {
    let mut fixture = Fixture::new(paged_store());
    fixture.run_until(ms(50));
    let answer = asked_by(&mut fixture, 3, "a");
    let nothing = TransferAnswer::Redirect {
        nodes: List(Vec::new()),
    };
    expect_that!(answer, eq(&nothing));
}
