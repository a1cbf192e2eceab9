//! Broadcasts relayed by one node in each zone.

use crate::fixture::{
    Fixture, SERVICE, Store, configuration, instance, ms, node_address, node_record,
};
use googletest::prelude::*;
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::identity::ZoneName;
use ledgelead_router::peers::{
    DelayEstimate, Heartbeat, NodeRecord, PeerAddress, PeerMessage, encode,
};
use ledgelead_types::codec::{Bytes, List};
use std::collections::BTreeSet;

/// The node with the largest CPU share in the other zone.
const STRONGEST: u8 = 10;
/// The nodes of the other zone.
const OTHERS: std::ops::Range<u8> = 10..18;

fn record(number: u8, zone: &str) -> NodeRecord {
    NodeRecord {
        zone: ZoneName::from(zone),
        millicores: if number == STRONGEST { 500 } else { 200 },
        ..node_record(number)
    }
}

/// A coordinator with peers in its own zone and in another.
fn coordinator() -> Fixture {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 0..3 {
        store.add_node(record(number, "a"));
    }
    for number in OTHERS {
        store.add_node(record(number, "b"));
    }
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(5_000));
    assert!(fixture.node.coordinator().is_some());
    fixture
}

fn report(fixture: &mut Fixture, from: u8, nodes: u64) {
    let message = PeerMessage::LoadReport {
        configuration_version: 1,
        nodes_revision: nodes,
        reports: List(Vec::new()),
        work: List(Vec::new()),
    };
    fixture.receive(node_address(from), &message);
}

/// The nodes of the other zone that receive messages directly within 450 ms.
fn receivers(fixture: &mut Fixture) -> BTreeSet<u8> {
    fixture.datagrams.clear();
    let end = fixture.now + ms(450);
    while fixture.now < end {
        fixture.run_until(fixture.now + ms(50));
    }
    let is_receiver = |number: &u8| {
        let address = node_address(*number);
        fixture.datagrams.iter().any(|(_, to, _)| *to == address)
    };
    OTHERS.filter(is_receiver).collect()
}

fn reporting_receivers(fixture: &mut Fixture, reporting: &[u8], nodes: u64) -> BTreeSet<u8> {
    fixture.datagrams.clear();
    for _ in 0..5 {
        for number in reporting {
            report(fixture, *number, nodes);
        }
        fixture.run_until(fixture.now + ms(100));
    }
    let is_receiver = |number: &u8| {
        let address = node_address(*number);
        fixture.datagrams.iter().any(|(_, to, _)| *to == address)
    };
    OTHERS.filter(is_receiver).collect()
}

#[gtest]
fn strongest_reporting_node_relays_messages_to_its_zone() {
    let mut fixture = coordinator();
    let all: BTreeSet<u8> = OTHERS.collect();
    expect_that!(receivers(&mut fixture), eq(&all));
    let relays = reporting_receivers(&mut fixture, &[12, STRONGEST, 13], 1_000);
    expect_that!(relays, eq(&BTreeSet::from([STRONGEST])));
    // The relay is silent: another node replaces it, or each node gets the messages directly.
    fixture.run_until(fixture.now + ms(400));
    let relays = reporting_receivers(&mut fixture, &[12, 13], 1_000);
    expect_that!(relays, eq(&BTreeSet::from([12])));
    fixture.run_until(fixture.now + ms(400));
    expect_that!(receivers(&mut fixture), eq(&all));
}

/// Number of datagrams that occupy a link of 200 Mbit/s for longer than the heartbeat interval
/// (0.2 s), if a list of changes is sent to each of many nodes.
const TOO_MANY_DATAGRAMS: usize = 3_600;

#[gtest]
fn long_list_is_not_broadcast_to_many_nodes() {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, SERVICE));
    for number in 0..130 {
        store.add_node(record(number, "a"));
    }
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(5_000));
    assert!(fixture.node.coordinator().is_some());
    fixture.datagrams.clear();
    for number in 2..=250 {
        fixture.store.add_instance(instance(number, SERVICE));
    }
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    fixture.run_until(fixture.now + ms(300));
    expect_that!(fixture.sent("instances"), lt(TOO_MANY_DATAGRAMS));
    // The other nodes learn from heartbeats that there are changes; short lists are still
    // broadcast.
    expect_that!(fixture.sent("heartbeat"), ge(129));
    fixture.store.remove(ObjectKind::Instances, "i-7");
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    expect_that!(fixture.sent("instances"), eq(129));
}

#[gtest]
fn node_with_outdated_registrations_is_no_relay() {
    let mut fixture = coordinator();
    let all: BTreeSet<u8> = OTHERS.collect();
    let receivers_now = reporting_receivers(&mut fixture, &[STRONGEST], 0);
    expect_that!(receivers_now, eq(&all));
}

#[gtest]
fn relayed_message_is_forwarded_and_applied() {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 0..8 {
        store.add_node(record(number, "a"));
    }
    store.add_node(record(STRONGEST, "b"));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(100));
    let heartbeat = PeerMessage::CoordinatorHeartbeat(Heartbeat {
        epoch: 7,
        sent_ms: 50,
        store_serves: true,
        record_revision: 0,
        configuration_version: 9,
        instances_revision: 0,
        nodes_revision: 0,
        age_ms: 0,
        instances_age_ms: 0,
        served_for_ms: 100,
        overloads: List(Vec::new()),
        evacuations: EvacuationsEntry::default(),
        evidence_checksum: 0,
    });
    let origin = PeerAddress::new(node_address(STRONGEST)).expect("IPv4");
    let forwarded = |to_zone| PeerMessage::Forwarded {
        origin,
        to_zone,
        message: Bytes(encode(&heartbeat).bytes.to_vec()),
    };
    fixture.receive(node_address(STRONGEST), &forwarded(true));
    let relayed: BTreeSet<u8> = fixture
        .datagrams
        .iter()
        .filter(|(_, _, message)| *message == forwarded(false))
        .filter_map(|(_, to, _)| (1..=8).find(|number| node_address(*number) == *to))
        .collect();
    expect_that!(relayed, eq(&(1..8).collect::<BTreeSet<u8>>()));
    // The node applies the message as one of the coordinator, and asks it for the missing
    // version.
    let wanted = fixture.datagrams.iter().filter(|(_, to, message)| {
        *to == node_address(STRONGEST) && message.kind() == "resync_request"
    });
    expect_that!(wanted.count(), eq(1));
    // A relayed message is not forwarded again.
    fixture.datagrams.clear();
    fixture.receive(node_address(1), &forwarded(false));
    expect_that!(fixture.sent("forwarded"), eq(0));
}

#[gtest]
fn delay_of_a_late_heartbeat_is_estimated() {
    let mut delay = DelayEstimate::default();
    // The clocks of both nodes have different origins.
    expect_that!(delay.record_arrival(3, 900_000, ms(5_020)), eq(ms(0)));
    expect_that!(delay.record_arrival(3, 900_200, ms(5_203)), eq(ms(0)));
    expect_that!(delay.record_arrival(3, 900_400, ms(5_405)), eq(ms(2)));
    expect_that!(delay.record_arrival(3, 900_600, ms(9_603)), eq(ms(4_000)));
    expect_that!(delay.record_arrival(3, 904_600, ms(9_603)), eq(ms(0)));
    // Another coordinator has another clock.
    expect_that!(delay.record_arrival(4, 70, ms(9_700)), eq(ms(0)));
}
