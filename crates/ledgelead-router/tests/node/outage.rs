//! What nodes ask of a store that refuses all calls.

use crate::fixture::{Fixture, KEYED, SERVICE, Store, configuration, instance};
use crate::fixture::{ms, node_address, node_record};
use googletest::prelude::*;
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::peers::{ChangeSpan, ChangedInstance, Heartbeat, InstanceEntry, PeerMessage};
use ledgelead_types::codec::{List, Text};

/// Calls of a node among others during six seconds without a store.
fn calls_in_an_outage(nodes: u8) -> usize {
    let mut fixture = Fixture::new(store(nodes));
    fixture.run_until(ms(900));
    fixture.store.refuses = true;
    fixture.run_until(ms(1_300));
    let before = fixture.calls.len();
    fixture.run_until(ms(7_300));
    fixture.calls.len() - before
}

/// A store with this many nodes, one of them named as coordinator.
fn store(nodes: u8) -> Store {
    let mut store = Store::default();
    store.configure(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, KEYED));
    for number in 0..nodes {
        store.add_node(node_record(number));
    }
    store.own(OwnershipRecord {
        epoch: 4,
        coordinator: Some(node_record(1).identity),
        next_fence: 9,
        ..OwnershipRecord::default()
    });
    store
}

#[gtest]
fn the_calls_of_an_outage_grow_slower_than_the_nodes() {
    let few = calls_in_an_outage(6);
    let many = calls_in_an_outage(250);
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

/// A node that the store refuses for six seconds, while it serves the
/// coordinator.
fn refused_node() -> Fixture {
    let mut fixture = Fixture::new(store(6));
    fixture.run_until(ms(900));
    fixture.store.refuses = true;
    // Some call has been refused.
    fixture.run_until(ms(1_500));
    expect_that!(fixture.node.status().store_failures, ge(1));
    fixture
}

#[gtest]
fn a_node_that_the_store_refuses_follows_a_coordinator_that_is_served() {
    let mut fixture = refused_node();
    let known = fixture.store.revision;
    let before = fixture.calls.len();
    for beat in 0..30 {
        let message = heartbeat(&fixture, known + u64::from(beat >= 10));
        fixture.receive(node_address(1), &message);
        if beat == 10 {
            fixture.receive(node_address(1), &new_instance(known));
        }
        fixture.run_until(fixture.now + ms(200));
    }
    // What the coordinator relays is in force, and the store is left alone but
    // for a rare probe.
    expect_that!(fixture.node.status().instances, eq(3));
    expect_that!(fixture.calls.len() - before, le(3));
    // Without the coordinator the node asks by itself again.
    let before = fixture.calls.len();
    fixture.run_until(fixture.now + ms(4_000));
    expect_that!(fixture.calls.len() - before, ge(3));
}

#[gtest]
fn entries_that_go_after_a_coordinator_was_followed_are_gone_at_once() {
    let mut fixture = refused_node();
    let known = fixture.store.revision;
    for _ in 0..30 {
        let message = heartbeat(&fixture, known);
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    // The coordinator is silent, the store serves again, and an instance has left.
    fixture.store.refuses = false;
    let gone = (ObjectKind::Instances, "i-1".to_owned());
    fixture.store.objects.remove(&gone);
    fixture.store.revision += 1;
    fixture.store.forgets = true;
    fixture.run_until(fixture.now + ms(2_000));
    let client = fixture.ask(SERVICE, None);
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

/// The coordinator's heartbeat with a version that it can't announce in full.
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
fn a_node_probes_at_once_when_the_store_serves_the_coordinator_again() {
    let mut fixture = refused_node();
    for _ in 0..15 {
        let message = heartbeat_of_version(&fixture, false, 1);
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    fixture.store.refuses = false;
    let failures = fixture.node.status().store_failures;
    let before = fixture.calls.len();
    let message = heartbeat_of_version(&fixture, true, 1);
    fixture.receive(node_address(1), &message);
    fixture.run_until(fixture.now + ms(100));
    expect_that!(fixture.calls.len(), gt(before));
    expect_that!(fixture.node.status().store_failures, eq(failures));
}

#[gtest]
fn a_version_that_is_not_announced_is_read_soon_after_the_store_serves_again() {
    let mut fixture = refused_node();
    // The node is refused still, while the coordinator is served.
    for _ in 0..10 {
        let message = heartbeat_of_version(&fixture, true, 1);
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    fixture.store.configure(configuration(9));
    for _ in 0..5 {
        let message = heartbeat_of_version(&fixture, true, 9);
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    expect_that!(fixture.node.status().configuration, some(eq(1)));
    fixture.store.refuses = false;
    for _ in 0..9 {
        let message = heartbeat_of_version(&fixture, true, 9);
        fixture.receive(node_address(1), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    expect_that!(fixture.node.status().configuration, some(eq(9)));
}

/// Requests that instances have received for the service without keys.
fn sent_for_service(fixture: &mut Fixture) -> usize {
    let before = fixture.attempts.len();
    fixture.ask(SERVICE, None);
    fixture.attempts.len() - before
}

/// All entries of instances have lapsed, and the changes are forgotten.
fn lapse(fixture: &mut Fixture) {
    let objects = &mut fixture.store.objects;
    objects.retain(|(kind, _), _| *kind != ObjectKind::Instances);
    fixture.store.revision += 2;
    fixture.store.forgets = true;
}

#[gtest]
fn a_watch_that_waits_through_an_outage_proves_no_service_before_its_answer() {
    let mut store = Store::default();
    store.configure(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_node(node_record(0));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(3_000));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
    fixture.store.refuses = true;
    fixture.run_until(ms(7_000));
    lapse(&mut fixture);
    fixture.store.refuses = false;
    // The first answer is that to a watch from before the outage.
    fixture.change_watched(ObjectKind::Nodes);
    fixture.run_until(ms(7_100));
    expect_that!(sent_for_service(&mut fixture), eq(1));
    // Whoever has not come back by then is gone.
    fixture.run_until(ms(9_500));
    expect_that!(sent_for_service(&mut fixture), eq(0));
}

#[gtest]
fn a_coordinator_in_doubt_says_so_to_those_that_it_relays_removals_to() {
    let mut fixture = refused_node();
    let known = fixture.store.revision;
    fixture.receive(node_address(1), &heartbeat(&fixture, known));
    let gone = PeerMessage::InstancesChanged {
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
    fixture.receive(node_address(1), &gone);
    expect_that!(sent_for_service(&mut fixture), eq(1));
    fixture.run_until(fixture.now + ms(2_100));
    expect_that!(sent_for_service(&mut fixture), eq(0));
}
