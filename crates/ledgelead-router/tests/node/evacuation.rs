//! Zones that an operator evacuates and puts back into use.

use crate::fixture::{Fixture, KEYED, SERVICE, Store, completed, configuration, instance, ms};
use crate::fixture::{node_address, node_record};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::dialect::{ObjectContent, ObjectKind};
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::evacuation::{Evacuations, EvacuationsEntry};
use ledgelead_router::identity::{InstanceId, NodeIdentity, ServiceName, ZoneName};
use ledgelead_router::ownership::record::{Assignment, OwnershipRecord};
use ledgelead_router::peers::{Heartbeat, PeerMessage};
use ledgelead_types::codec::List;

/// Zone `a` has instances 1 (without keys) and 3 (owner of all keys), zone `b` has 2 and 4.
fn store(coordinator: Option<NodeIdentity>) -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 1..=4 {
        let zone = ["b", "a"][usize::from(number % 2)];
        let service = if number <= 2 { SERVICE } else { KEYED };
        store.add_instance(InstanceRecord {
            zone: ZoneName::from(zone),
            ..instance(number, service)
        });
    }
    store.add_node(node_record(0));
    store.add_node(node_record(1));
    store.put_ownership(OwnershipRecord {
        epoch: 4,
        coordinator,
        next_fence: 9,
        assignments: vec![Assignment {
            service: ServiceName::from(KEYED),
            first: 0,
            last: u16::MAX,
            owner: InstanceId::from("i-3"),
            fence: 3,
        }],
        ..OwnershipRecord::default()
    });
    store
}

/// A node that follows a coordinator.
fn follower() -> Fixture {
    let mut fixture = Fixture::new(store(Some(node_record(1).identity)));
    fixture.run_until(ms(500));
    announce(&mut fixture, 0, &[]);
    fixture
}

/// Receives a heartbeat of the coordinator with the zones evacuated at a revision.
fn announce(fixture: &mut Fixture, revision: u64, zones: &[&str]) {
    let record = fixture.store.revision_of(ObjectKind::Ownership, "record");
    let hash = |zone: &&str| ZoneName::from(*zone).stable_hash();
    let heartbeat = PeerMessage::CoordinatorHeartbeat(Heartbeat {
        epoch: 4,
        sent_ms: u64::try_from(fixture.now.as_millis()).expect("a short test"),
        store_serves: true,
        record_revision: record.expect("a record"),
        configuration_version: 1,
        instances_revision: fixture.store.revision,
        nodes_revision: fixture.store.revision,
        age_ms: 50,
        instances_age_ms: 50,
        served_for_ms: 30_000,
        overloads: List(Vec::new()),
        evacuations: EvacuationsEntry {
            revision,
            zones: List(zones.iter().map(hash).collect()),
        },
        evidence_checksum: 0,
    });
    fixture.receive(node_address(1), &heartbeat);
}

/// The instance that a request is sent to, if it is sent immediately.
fn instance_for(fixture: &mut Fixture, service: &str, key: Option<u16>) -> Option<u8> {
    fixture.attempts.clear();
    fixture.request(service, key);
    let sent = fixture.attempts.pop()?;
    let number = (1..=4).find(|number| instance(*number, service).address == sent.address);
    let mut response = Response::new(200, "");
    response.headers.push("signature", "s");
    fixture.answer(sent.exchange, response);
    number
}

#[gtest]
fn evacuated_zone_gets_no_requests_until_the_evacuation_ends() {
    let mut fixture = follower();
    expect_that!(instance_for(&mut fixture, SERVICE, None), some(eq(1)));
    announce(&mut fixture, 50, &["a"]);
    expect_that!(instance_for(&mut fixture, SERVICE, None), some(eq(2)));
    // An announcement of an older revision undoes nothing.
    announce(&mut fixture, 40, &[]);
    expect_that!(instance_for(&mut fixture, SERVICE, None), some(eq(2)));
    announce(&mut fixture, 60, &["a", "b"]);
    expect_that!(instance_for(&mut fixture, SERVICE, None), none());
    announce(&mut fixture, 70, &["b"]);
    fixture.run_until(fixture.now + ms(1_600));
    expect_that!(instance_for(&mut fixture, SERVICE, None), some(eq(1)));
}

#[gtest]
fn owner_in_an_evacuated_zone_serves_its_keys_only_while_they_move() {
    let mut fixture = follower();
    announce(&mut fixture, 50, &["a"]);
    expect_that!(instance_for(&mut fixture, KEYED, Some(7)), some(eq(3)));
    for _ in 0..13 {
        fixture.run_until(fixture.now + ms(200));
        announce(&mut fixture, 50, &["a"]);
    }
    expect_that!(instance_for(&mut fixture, KEYED, Some(7)), none());
}

#[gtest]
fn coordinator_moves_keys_out_of_an_evacuated_zone_and_not_back() {
    let mut fixture = Fixture::new(store(None));
    let complete_orders = |fixture: &mut Fixture, rounds: u32| {
        for _ in 0..rounds {
            for order in std::mem::take(&mut fixture.attempts) {
                fixture.answer(order.exchange, completed(&order));
            }
            fixture.run_until(fixture.now + ms(50));
        }
    };
    complete_orders(&mut fixture, 60);
    expect_that!(fixture.owner_of(7), some(eq(&InstanceId::from("i-3"))));
    let zone = ObjectContent::Evacuation(ZoneName::from("a"));
    fixture.store.put(ObjectKind::Evacuations, "a", zone);
    fixture.answer_watch_with_changes(ObjectKind::Evacuations);
    let announced = fixture
        .datagrams
        .iter()
        .rev()
        .find_map(|(_, _, message)| match message {
            PeerMessage::CoordinatorHeartbeat(heartbeat) => {
                Some(heartbeat.evacuations.zones.0.len())
            }
            _ => None,
        });
    expect_that!(announced, some(eq(1)));
    // The coordinator's first step releases the range, the next one writes its new owner.
    complete_orders(&mut fixture, 6);
    expect_that!(fixture.owner_of(7), some(eq(&InstanceId::from("i-4"))));
    complete_orders(&mut fixture, 40);
    expect_that!(fixture.owner_of(7), some(eq(&InstanceId::from("i-4"))));
}

#[gtest]
fn node_started_during_an_evacuation_reads_it() {
    let mut store = store(Some(node_record(1).identity));
    let zone = ObjectContent::Evacuation(ZoneName::from("a"));
    store.put(ObjectKind::Evacuations, "a", zone);
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(500));
    expect_that!(instance_for(&mut fixture, SERVICE, None), some(eq(2)));
}

#[gtest]
fn evacuations_never_revert_to_an_earlier_revision() {
    let zone = ZoneName::from("a");
    let mut evacuations = Evacuations::default();
    expect_that!(
        evacuations.apply_list(std::slice::from_ref(&zone), 8),
        eq(true)
    );
    expect_that!(evacuations.apply_list(&[], 7), eq(false));
    expect_that!(evacuations.zones().len(), eq(1));
    expect_that!(evacuations.apply_change(&zone, false, 9), eq(true));
    expect_that!(
        evacuations.apply_heartbeat(&EvacuationsEntry {
            revision: 8,
            zones: List(vec![1])
        }),
        eq(false)
    );
    expect_that!(evacuations.zones().len(), eq(0));
    expect_that!(evacuations.revision(), eq(9));
}
