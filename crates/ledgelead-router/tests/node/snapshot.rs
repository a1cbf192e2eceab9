//! A node that the store refuses gets changes no longer in any log as a snapshot from the
//! coordinator.

use crate::fixture::{
    Fixture, SERVICE, Store, configuration, instance, ms, node_address, node_record,
};
use googletest::prelude::*;
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::peers::{Heartbeat, PeerMessage, RelayedKind};
use ledgelead_types::codec::List;
use std::time::Duration;

/// How long a node asks without success before it gets a snapshot, plus one heartbeat and the
/// interval between requests.
const SNAPSHOT_WITHIN: Duration = Duration::from_millis(1_000);

fn store(instances: &[u8]) -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(5));
    for number in instances {
        store.add_instance(instance(*number, SERVICE));
    }
    for number in 0..4 {
        store.add_node(node_record(number));
    }
    store.clear_coordinator();
    store
}

/// Another node asks every 200 ms for changes no longer in the log.
fn request_changes_for(fixture: &mut Fixture, duration: Duration) {
    let end = fixture.now + duration;
    while fixture.now < end {
        let request = PeerMessage::ResyncRequest {
            kind: RelayedKind::Instances,
            since: 1,
        };
        fixture.receive(node_address(2), &request);
        fixture.run_until(fixture.now + ms(200));
    }
}

fn snapshots(fixture: &Fixture) -> Vec<PeerMessage> {
    let sent = fixture.datagrams.iter().map(|(_, _, message)| message);
    let is_snapshot = |message: &&PeerMessage| message.kind() == "instances_list";
    sent.filter(is_snapshot).cloned().collect()
}

#[gtest]
fn coordinator_sends_a_snapshot_to_a_node_that_asks_without_success() {
    let mut fixture = Fixture::coordinating(store(&[1, 2]));
    request_changes_for(&mut fixture, ms(400));
    expect_that!(
        snapshots(&fixture),
        is_empty(),
        "the store has not been asked"
    );
    request_changes_for(&mut fixture, SNAPSHOT_WITHIN - ms(400));
    expect_that!(snapshots(&fixture), len(eq(1)));
    request_changes_for(&mut fixture, ms(3_000));
    expect_that!(snapshots(&fixture), len(le(4)), "once a second at most");
}

/// The snapshot of a coordinator that knows only instance 2.
fn snapshot_with_second_instance() -> PeerMessage {
    let mut fixture = Fixture::coordinating(store(&[2]));
    request_changes_for(&mut fixture, SNAPSHOT_WITHIN);
    snapshots(&fixture).pop().expect("a snapshot")
}

#[gtest]
fn node_refused_by_the_store_drops_instances_missing_in_a_snapshot() {
    let mut store = store(&[1]);
    store.put_ownership(OwnershipRecord {
        epoch: 5,
        coordinator: Some(node_record(2).identity),
        next_fence: 9,
        ..OwnershipRecord::default()
    });
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(100));
    fixture.store.refuses_calls = true;
    let heartbeat = Heartbeat {
        epoch: 5,
        sent_ms: 100,
        store_serves: true,
        record_revision: 0,
        configuration_version: 5,
        instances_revision: 100,
        nodes_revision: 0,
        age_ms: 50,
        instances_age_ms: 50,
        served_for_ms: 5_000,
        overloads: List(Vec::new()),
        evacuations: EvacuationsEntry::default(),
        evidence_checksum: 0,
    };
    fixture.receive(
        node_address(2),
        &PeerMessage::CoordinatorHeartbeat(heartbeat),
    );
    fixture.request(SERVICE, None);
    let PeerMessage::InstancesListed {
        mut span,
        unconfirmed_ms,
        instances,
    } = snapshot_with_second_instance()
    else {
        panic!("a snapshot");
    };
    span.revision = 100;
    fixture.receive(
        node_address(2),
        &PeerMessage::InstancesListed {
            span,
            unconfirmed_ms,
            instances,
        },
    );
    fixture.request(SERVICE, None);
    let addresses = fixture.attempts.iter().map(|sent| sent.address);
    let addresses: Vec<_> = addresses.collect();
    let address_of = |number| instance(number, SERVICE).address;
    expect_that!(
        addresses,
        elements_are![eq(&address_of(1)), eq(&address_of(2))]
    );
    let known = fixture.node.status().announced_and_known["instances"];
    expect_that!(known, eq((100, 100)));
}
