//! Broadcasts by way of one node a zone.

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

/// The strongest node of the other zone.
const STRONGEST: u8 = 10;
/// Nodes of the other zone.
const OTHERS: std::ops::Range<u8> = 10..18;

fn record(number: u8, zone: &str) -> NodeRecord {
    NodeRecord {
        zone: ZoneName::from(zone),
        millicores: if number == STRONGEST { 500 } else { 200 },
        ..node_record(number)
    }
}

/// A coordinator, with peers in its own zone and in another.
fn coordinator() -> Fixture {
    let mut store = Store::default();
    store.configure(configuration(1));
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

/// Who got messages while 450 ms passed, those in the other zone alone.
fn receivers(fixture: &mut Fixture) -> BTreeSet<u8> {
    fixture.datagrams.clear();
    let end = fixture.now + ms(450);
    while fixture.now < end {
        fixture.run_until(fixture.now + ms(50));
    }
    let other = |number: &u8| {
        let address = node_address(*number);
        fixture.datagrams.iter().any(|(_, to, _)| *to == address)
    };
    OTHERS.filter(other).collect()
}

fn reporting_receivers(fixture: &mut Fixture, reporting: &[u8], nodes: u64) -> BTreeSet<u8> {
    fixture.datagrams.clear();
    for _ in 0..5 {
        for number in reporting {
            report(fixture, *number, nodes);
        }
        fixture.run_until(fixture.now + ms(100));
    }
    let got = |number: &u8| {
        let address = node_address(*number);
        fixture.datagrams.iter().any(|(_, to, _)| *to == address)
    };
    OTHERS.filter(got).collect()
}

#[gtest]
fn the_strongest_node_that_reports_gets_what_is_for_its_zone() {
    let mut fixture = coordinator();
    let all: BTreeSet<u8> = OTHERS.collect();
    expect_that!(receivers(&mut fixture), eq(&all));
    let one = reporting_receivers(&mut fixture, &[12, STRONGEST, 13], 1_000);
    expect_that!(one, eq(&BTreeSet::from([STRONGEST])));
    // It is silent: another takes its place, or each gets it by itself.
    fixture.run_until(fixture.now + ms(400));
    let one = reporting_receivers(&mut fixture, &[12, 13], 1_000);
    expect_that!(one, eq(&BTreeSet::from([12])));
    fixture.run_until(fixture.now + ms(400));
    expect_that!(receivers(&mut fixture), eq(&all));
}

/// Datagrams of a list of changes to each of many nodes that take a link of 200 Mbit/s for
/// longer than a heartbeat waits (0.2 s).
const TOO_MANY_DATAGRAMS: usize = 3_600;

#[gtest]
fn a_long_list_is_not_sent_to_each_of_many_nodes() {
    let mut store = Store::default();
    store.configure(configuration(1));
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
    fixture.change_watched(ObjectKind::Instances);
    fixture.run_until(fixture.now + ms(300));
    expect_that!(fixture.sent("instances"), lt(TOO_MANY_DATAGRAMS));
    // The others learn of the changes by heartbeats, and of short lists as before.
    expect_that!(fixture.sent("heartbeat"), ge(129));
    fixture.store.remove(ObjectKind::Instances, "i-7");
    fixture.change_watched(ObjectKind::Instances);
    expect_that!(fixture.sent("instances"), eq(129));
}

#[gtest]
fn a_node_that_does_not_know_its_zone_passes_nothing_on() {
    let mut fixture = coordinator();
    let all: BTreeSet<u8> = OTHERS.collect();
    let got = reporting_receivers(&mut fixture, &[STRONGEST], 0);
    expect_that!(got, eq(&all));
}

#[gtest]
fn a_message_is_passed_on_and_taken() {
    let mut store = Store::default();
    store.configure(configuration(1));
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
    let passed_on: BTreeSet<u8> = fixture
        .datagrams
        .iter()
        .filter(|(_, _, message)| *message == forwarded(false))
        .filter_map(|(_, to, _)| (1..=8).find(|number| node_address(*number) == *to))
        .collect();
    expect_that!(passed_on, eq(&(1..8).collect::<BTreeSet<u8>>()));
    // It takes the message as one of the coordinator, whom it now asks for the
    // version that it lacks.
    let wanted = fixture.datagrams.iter().filter(|(_, to, message)| {
        *to == node_address(STRONGEST) && message.kind() == "resync_request"
    });
    expect_that!(wanted.count(), eq(1));
    // A message that was passed on already goes no further.
    fixture.datagrams.clear();
    fixture.receive(node_address(1), &forwarded(false));
    expect_that!(fixture.sent("forwarded"), eq(0));
}

#[gtest]
fn a_heartbeat_that_waited_is_older_than_it_says() {
    let mut delay = DelayEstimate::default();
    // The clocks have different origins.
    expect_that!(delay.record_arrival(3, 900_000, ms(5_020)), eq(ms(0)));
    expect_that!(delay.record_arrival(3, 900_200, ms(5_203)), eq(ms(0)));
    expect_that!(delay.record_arrival(3, 900_400, ms(5_405)), eq(ms(2)));
    expect_that!(delay.record_arrival(3, 900_600, ms(9_603)), eq(ms(4_000)));
    expect_that!(delay.record_arrival(3, 904_600, ms(9_603)), eq(ms(0)));
    // Another coordinator has another clock.
    expect_that!(delay.record_arrival(4, 70, ms(9_700)), eq(ms(0)));
}
