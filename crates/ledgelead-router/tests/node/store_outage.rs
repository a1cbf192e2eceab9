//! Calls of nodes to a store that refuses all of them.

use crate::fixture::{Fixture, KEYED, SERVICE, Store, configuration, instance};
use crate::fixture::{ms, node_address, node_record};
use googletest::prelude::*;
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::peers::{ChangeSpan, ChangedInstance, Heartbeat, InstanceEntry, PeerMessage};
use ledgelead_types::codec::{List, Text};

/// Number of calls of one of several nodes during six seconds without the store.
fn calls_during_an_outage(nodes: u8) -> usize {
    let mut fixture = Fixture::new(store(nodes));
    fixture.run_until(ms(900));
    fixture.store.refuses_calls = true;
    fixture.run_until(ms(1_300));
    let before = fixture.calls.len();
    fixture.run_until(ms(7_300));
    fixture.calls.len() - before
}

/// A store with this many nodes, one of which is named as coordinator.
fn store(nodes: u8) -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, KEYED));
    for number in 0..nodes {
        store.add_node(node_record(number));
    }
    store.put_ownership(OwnershipRecord {
        epoch: 4,
        coordinator: Some(node_record(1).identity),
        next_fence: 9,
        ..OwnershipRecord::default()
    });
    store
}

#[gtest]
fn calls_during_an_outage_grow_slower_than_the_fleet() {
    let few = calls_during_an_outage(6);
    let many = calls_during_an_outage(250);
    expect_that!(few, all!(ge(6), le(11)));
    expect_that!(many, all!(ge(3), le(6)));
}

fn heartbeat(fixture: &Fixture, instances: u64) -> PeerMessage {
    let record = fixture.store.revision_of(ObjectKind::Ownership, "record");
    PeerMessage::CoordinatorHeartbeat(Heartbeat {
        epoch: 4,
        sent_ms: u64::try_from(fixture.now.as_millis()).expect("a short test"),
        store_serves: true,
        record_revision: record.expect("a record"),
        configuration_version: 1,
        instances_revision: instances,
        nodes_revision: 0,
        age_ms: 200,
        instances_age_ms: 200,
        served_for_ms: 30_000,
        overloads: List(Vec::new()),
        evacuations: EvacuationsEntry::default(),
        evidence_checksum: 0,
    })
}

/// A node that the store refuses for six seconds while it serves the coordinator.
fn refused_node() -> Fixture {
    let mut fixture = Fixture::new(store(6));
    fixture.run_until(ms(900));
    fixture.store.refuses_calls = true;
    // At least one call has been refused.
    fixture.run_until(ms(1_500));
    expect_that!(fixture.node.status().store_failures, ge(1));
    fixture
}

#[gtest]
fn node_refused_by_the_store_follows_a_coordinator_that_is_served() {
    let mut fixture = refused_node();
    let known = fixture.store.revision;
    let before = fixture.calls.len();
    for round in 0..30 {
        let message = heartbeat(&fixture, known + u64::from(round >= 10));
        fixture.receive(node_address(1), &message);
        if round == 10 {
            fixture.receive(node_address(1), &new_instance(known));
        }
        fixture.run_until(fixture.now + ms(200));
    }
    // The changes relayed by the coordinator are applied, and the node rarely probes the
    // store.
    expect_that!(fixture.node.status().instances, eq(3));
    expect_that!(fixture.calls.len() - before, le(3));
    // Without the coordinator the node calls the store itself again.
    let before = fixture.calls.len();
    fixture.run_until(fixture.now + ms(4_000));
    expect_that!(fixture.calls.len() - before, ge(3));
}

#[gtest]
fn removals_after_following_a_coordinator_take_effect_immediately() {
    let mut fixture = refused_node();
    let known = fixture.store.revision;
    for _ in 0..30 {
        let message = heartbeat(&fixture, known);
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    // The coordinator is silent, the store serves again, and an instance has left.
    fixture.store.refuses_calls = false;
    let removed = (ObjectKind::Instances, "i-1".to_owned());
    fixture.store.objects.remove(&removed);
    fixture.store.revision += 1;
    fixture.store.has_lost_history = true;
    fixture.run_until(fixture.now + ms(2_000));
    let client = fixture.request(SERVICE, None);
    expect_that!(fixture.attempts, is_empty());
    fixture.run_until(fixture.now + ms(200));
    expect_that!(
        fixture.answers.iter().any(|(to, _)| *to == client),
        eq(true)
    );
}

fn new_instance(known: u64) -> PeerMessage {
    let record = instance(7, SERVICE);
    let entry = InstanceEntry {
        service: Text(record.service.to_string()),
        address: Text(record.address.to_string()),
        zone: Text(record.zone.to_string()),
        slots: record.slots,
        draining: false,
        warmup_left_ms: 0,
    };
    PeerMessage::InstancesChanged {
        span: ChangeSpan {
            base: known,
            revision: known + 1,
            part: 0,
            parts: 1,
        },
        unconfirmed_ms: 0,
        changes: List(vec![ChangedInstance {
            id: Text(record.id.to_string()),
            entry: Some(entry),
        }]),
    }
}

/// A heartbeat of the coordinator with a version that it doesn't announce in full.
fn heartbeat_of_version(fixture: &Fixture, store_serves: bool, configuration: u64) -> PeerMessage {
    match heartbeat(fixture, 0) {
        PeerMessage::CoordinatorHeartbeat(heartbeat) => {
            PeerMessage::CoordinatorHeartbeat(Heartbeat {
                store_serves,
                configuration_version: configuration,
                ..heartbeat
            })
        }
        other => other,
    }
}

#[gtest]
fn node_probes_immediately_when_the_store_serves_the_coordinator_again() {
    let mut fixture = refused_node();
    for _ in 0..15 {
        let message = heartbeat_of_version(&fixture, false, 1);
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    fixture.store.refuses_calls = false;
    let failures = fixture.node.status().store_failures;
    let before = fixture.calls.len();
    let message = heartbeat_of_version(&fixture, true, 1);
    fixture.receive(node_address(1), &message);
    fixture.run_until(fixture.now + ms(100));
    expect_that!(fixture.calls.len(), gt(before));
    expect_that!(fixture.node.status().store_failures, eq(failures));
}

#[gtest]
fn unannounced_version_is_read_soon_after_the_store_recovers() {
    let mut fixture = refused_node();
    // The store still refuses the node, while it serves the coordinator.
    for _ in 0..10 {
        let message = heartbeat_of_version(&fixture, true, 1);
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    fixture.store.put_configuration(configuration(9));
    for _ in 0..5 {
        let message = heartbeat_of_version(&fixture, true, 9);
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    expect_that!(fixture.node.status().configuration, some(eq(1)));
    fixture.store.refuses_calls = false;
    for _ in 0..9 {
        let message = heartbeat_of_version(&fixture, true, 9);
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    expect_that!(fixture.node.status().configuration, some(eq(9)));
}

/// Number of attempts for one request to the service without keys.
fn sent_for_service(fixture: &mut Fixture) -> usize {
    let before = fixture.attempts.len();
    fixture.request(SERVICE, None);
    fixture.attempts.len() - before
}

/// All entries of instances have expired, and the history of changes is lost.
fn remove_instance_entries(fixture: &mut Fixture) {
    let objects = &mut fixture.store.objects;
    objects.retain(|(kind, _), _| *kind != ObjectKind::Instances);
    fixture.store.revision += 2;
    fixture.store.has_lost_history = true;
}

#[gtest]
fn answer_to_a_watch_from_before_an_outage_proves_no_earlier_service() {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_node(node_record(0));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(3_000));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
    fixture.store.refuses_calls = true;
    fixture.run_until(ms(7_000));
    remove_instance_entries(&mut fixture);
    fixture.store.refuses_calls = false;
    // The first answer is to a watch from before the outage.
    fixture.answer_watch_with_changes(ObjectKind::Nodes);
    fixture.run_until(ms(7_100));
    expect_that!(sent_for_service(&mut fixture), eq(1));
    // Instances that have not written their entries again by then are gone.
    fixture.run_until(ms(9_500));
    expect_that!(sent_for_service(&mut fixture), eq(0));
}

#[gtest]
fn unconfirmed_removals_relayed_by_a_coordinator_take_effect_later() {
    let mut fixture = refused_node();
    let known = fixture.store.revision;
    fixture.receive(node_address(1), &heartbeat(&fixture, known));
    let removal = PeerMessage::InstancesChanged {
        span: ChangeSpan {
            base: known,
            revision: known + 1,
            part: 0,
            parts: 1,
        },
        unconfirmed_ms: 2_000,
        changes: List(vec![ChangedInstance {
            id: Text("i-1".to_owned()),
            entry: None,
        }]),
    };
    fixture.receive(node_address(1), &removal);
    expect_that!(sent_for_service(&mut fixture), eq(1));
    fixture.run_until(fixture.now + ms(2_100));
    expect_that!(sent_for_service(&mut fixture), eq(0));
}
