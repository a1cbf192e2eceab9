//! When nodes register, and what a registration proves.

use crate::fixture::{Fixture, KEYED, SERVICE, Store, configuration, instance, ms, node_record};
use googletest::prelude::*;
use ledgelead_router::dialect::{ObjectKind, StoreCall, WrittenContent};
use ledgelead_router::identity::NodeIdentity;
use ledgelead_router::io::ExchangeFailure;
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::peers::NodeRecord;

/// A store with a configuration, an instance and some nodes, among them an earlier incarnation
/// of the fixture's node.
fn store_with_earlier_incarnation() -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, KEYED));
    for number in 1..5 {
        store.add_node(node_record(number));
    }
    store.add_node(earlier_incarnation());
    store
}

fn earlier_incarnation() -> NodeRecord {
    let record = node_record(0);
    NodeRecord {
        identity: NodeIdentity {
            incarnation: 99,
            ..record.identity.clone()
        },
        ..record
    }
}

fn record_of(coordinator: Option<NodeIdentity>) -> OwnershipRecord {
    OwnershipRecord {
        epoch: 4,
        coordinator,
        next_fence: 9,
        ..OwnershipRecord::default()
    }
}

/// Positions of the writes of a kind of object among all calls.
fn writes(fixture: &Fixture, kind: ObjectKind) -> Vec<usize> {
    let is_write = |call: &StoreCall| match call {
        StoreCall::Create { content, .. } | StoreCall::Replace { content, .. } => {
            matches!(
                (kind, content),
                (ObjectKind::Nodes, WrittenContent::Node(_))
                    | (ObjectKind::Ownership, WrittenContent::Ownership(_))
            )
        }
        _ => false,
    };
    let calls = fixture.calls.iter().enumerate();
    let writes = calls.filter(|(_, (_, call))| is_write(call));
    writes.map(|(index, _)| index).collect()
}

#[gtest]
fn node_with_unchanged_address_registers_only_to_campaign() {
    let mut store = store_with_earlier_incarnation();
    store.put_ownership(record_of(Some(node_record(1).identity)));
    let mut fixture = Fixture::new(store);
    // The coordinator has time to send a heartbeat.
    fixture.run_until(ms(900));
    expect_that!(writes(&fixture, ObjectKind::Nodes), is_empty());
    fixture.run_until(ms(4_000));
    let registered = writes(&fixture, ObjectKind::Nodes);
    let campaigned = writes(&fixture, ObjectKind::Ownership);
    expect_that!(registered.len(), eq(1));
    expect_that!(campaigned.len(), ge(1));
    expect_that!(registered[0], lt(campaigned[0]));
}

#[gtest]
fn node_with_changed_address_registers_immediately() {
    let mut store = store_with_earlier_incarnation();
    store.add_node(NodeRecord {
        address: ([10, 0, 9, 9], 7_000).into(),
        ..earlier_incarnation()
    });
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(50));
    expect_that!(writes(&fixture, ObjectKind::Nodes).len(), eq(1));
}

#[gtest]
fn node_whose_earlier_incarnation_is_coordinator_registers_immediately() {
    let mut store = store_with_earlier_incarnation();
    store.put_ownership(record_of(Some(earlier_incarnation().identity)));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(50));
    expect_that!(writes(&fixture, ObjectKind::Nodes).len(), eq(1));
}

#[gtest]
fn registration_replaces_only_the_revision_that_was_read() {
    let mut store = store_with_earlier_incarnation();
    store.put_ownership(record_of(Some(earlier_incarnation().identity)));
    let known = store.revision_of(ObjectKind::Nodes, "node-000");
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(50));
    let conditions: Vec<Option<u64>> = fixture
        .calls
        .iter()
        .filter_map(|(_, call)| match call {
            StoreCall::Replace { name, revision, .. } if name == "node-000" => Some(*revision),
            _ => None,
        })
        .collect();
    expect_that!(conditions, elements_are![eq(&known)]);
}

#[gtest]
fn campaign_follows_an_exact_read_of_the_record() {
    let mut store = store_with_earlier_incarnation();
    store.put_ownership(record_of(Some(node_record(1).identity)));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(4_000));
    let campaigned = writes(&fixture, ObjectKind::Ownership);
    expect_that!(campaigned, not(is_empty()));
    let exact = fixture.calls.iter().position(|(_, call)| {
        let kind = ObjectKind::Ownership;
        matches!(call, StoreCall::List { kind: listed, stale: false, .. } if *listed == kind)
    });
    expect_that!(exact, some(lt(campaigned[0])));
}

#[gtest]
fn nodes_of_a_new_deployment_register_before_any_configuration() {
    let mut fixture = Fixture::new(Store::default());
    fixture.run_until(ms(50));
    expect_that!(writes(&fixture, ObjectKind::Nodes).len(), eq(1));
    // The only node becomes coordinator, so that it can relay the configuration as soon as
    // there is one.
    fixture.run_until(ms(3_000));
    expect_that!(writes(&fixture, ObjectKind::Ownership).len(), ge(1));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
}

#[gtest]
fn restarted_coordinator_succeeds_itself_immediately() {
    let mut store = store_with_earlier_incarnation();
    store.put_ownership(record_of(Some(earlier_incarnation().identity)));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(100));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
    // Not if the record names another node.
    let mut store = store_with_earlier_incarnation();
    store.put_ownership(record_of(Some(node_record(2).identity)));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(900));
    expect_that!(fixture.node.coordinator().is_some(), eq(false));
}

/// Number of attempts for a request whose first answer is lost, at a node in its first retry
/// window.
fn sent_in_the_first_window(earlier_incarnation: bool) -> usize {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 1..=4 {
        store.add_instance(instance(number, SERVICE));
    }
    let mut own = node_record(0);
    own.identity.incarnation -= u64::from(earlier_incarnation);
    store.add_node(own);
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(1_000));
    fixture.request(SERVICE, None);
    let first = fixture.attempts.pop().expect("an attempt");
    fixture.end(first.exchange, Err(ExchangeFailure::Lost));
    fixture.run_until(fixture.now + ms(10));
    1 + fixture.attempts.len()
}

#[gtest]
fn restarted_node_has_no_initial_retry_slack() {
    expect_that!(sent_in_the_first_window(false), eq(2));
    expect_that!(sent_in_the_first_window(true), eq(1));
}
