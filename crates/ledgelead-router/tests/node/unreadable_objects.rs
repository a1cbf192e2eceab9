//! Entries of the store that another program has written in an unreadable form.

use crate::fixture::{
    Fixture, KEYED, SERVICE, completed, instance, ms, node_address, node_record,
    store_without_owners,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::dialect::{ObjectContent, ObjectKind};
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::identity::{InstanceId, ZoneName};
use ledgelead_router::io::ExchangeFailure;
use ledgelead_router::node::NodeStatus;
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::peers::{ChangeSpan, ChangedInstance, InstanceEntry, PeerMessage};
use ledgelead_types::codec::{List, Text};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The addresses to which requests are sent.
fn addresses_used(fixture: &mut Fixture, service: &str) -> BTreeSet<SocketAddr> {
    fixture.attempts.clear();
    for number in 0..12u16 {
        let key = (service == KEYED).then_some(number * 5_000);
        fixture.request(service, key);
    }
    let sent = fixture
        .attempts
        .iter()
        .filter(|sent| sent.target != "order");
    let addresses_used: BTreeSet<SocketAddr> = sent.map(|sent| sent.address).collect();
    for sent in std::mem::take(&mut fixture.attempts) {
        let mut response = Response::new(200, "");
        response.headers.push("signature", "s");
        fixture.answer(sent.exchange, response);
    }
    addresses_used
}

fn address(number: u8) -> SocketAddr {
    instance(number, SERVICE).address
}

/// Answers orders for this time in milliseconds, so that keys get owners.
fn answer_orders_for(fixture: &mut Fixture, time: u64) {
    let end = fixture.now + ms(time);
    while fixture.now < end {
        let next = fixture.now + ms(50);
        fixture.run_until(next);
        for sent in std::mem::take(&mut fixture.attempts) {
            fixture.answer(sent.exchange, completed(&sent));
        }
    }
}

fn unreadable(status: &NodeStatus, kind: &str) -> u64 {
    status.unreadable.get(kind).copied().unwrap_or(0)
}

#[gtest]
fn instance_with_unreadable_entry_is_unused_until_readable_again() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    answer_orders_for(&mut fixture, 3_000);
    expect_that!(addresses_used(&mut fixture, SERVICE).len(), eq(2));
    fixture.store.put_unreadable(ObjectKind::Instances, "i-1");
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    expect_that!(
        addresses_used(&mut fixture, SERVICE),
        eq(&BTreeSet::from([address(2)]))
    );
    answer_orders_for(&mut fixture, 1_000);
    fixture.store.add_instance(instance(1, SERVICE));
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    expect_that!(addresses_used(&mut fixture, SERVICE).len(), eq(2));
}

#[gtest]
fn keys_of_an_owner_with_unreadable_entry_move() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    answer_orders_for(&mut fixture, 4_000);
    let owner = InstanceId::from("i-3");
    let owned = (0..=u16::MAX).find(|key| fixture.owner_of(*key).as_ref() == Some(&owner));
    let key = owned.expect("it owns keys");
    fixture.store.put_unreadable(ObjectKind::Instances, "i-3");
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    answer_orders_for(&mut fixture, 8_000);
    expect_that!(fixture.owner_of(key), some(eq(&InstanceId::from("i-4"))));
}

#[gtest]
fn only_a_readable_entry_replaces_the_instance_at_its_address() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    answer_orders_for(&mut fixture, 3_000);
    fixture.store.put_unreadable(ObjectKind::Instances, "i-9");
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    expect_that!(addresses_used(&mut fixture, SERVICE).len(), eq(2));
    answer_orders_for(&mut fixture, 1_000);
    fixture.store.add_instance(InstanceRecord {
        address: address(1),
        ..instance(9, KEYED)
    });
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    expect_that!(
        addresses_used(&mut fixture, SERVICE),
        eq(&BTreeSet::from([address(2)]))
    );
}

#[gtest]
fn unreadable_entries_of_a_list_do_not_affect_the_others() {
    let mut store = store_without_owners();
    store.put_unreadable(ObjectKind::Instances, "i-1");
    store.put_unreadable(ObjectKind::Instances, "");
    store.put_unreadable(ObjectKind::Nodes, "i-2");
    store.put_unreadable(ObjectKind::Quarantine, "i-2");
    store.put_unreadable(ObjectKind::Ownership, "other");
    let mut fixture = Fixture::coordinating(store);
    answer_orders_for(&mut fixture, 1_000);
    expect_that!(
        addresses_used(&mut fixture, SERVICE),
        eq(&BTreeSet::from([address(2)]))
    );
    let status = fixture.node.status();
    expect_that!(status.nodes, eq(2));
    expect_that!(unreadable(&status, "instances"), ge(2));
    expect_that!(unreadable(&status, "nodes"), ge(1));
}

#[gtest]
fn removing_an_unreadable_object_of_another_kind_removes_no_instance() {
    let mut store = store_without_owners();
    store.put_unreadable(ObjectKind::Nodes, "i-2");
    let mut fixture = Fixture::coordinating(store);
    answer_orders_for(&mut fixture, 3_000);
    fixture.store.remove(ObjectKind::Nodes, "i-2");
    fixture.answer_watch_with_changes(ObjectKind::Nodes);
    answer_orders_for(&mut fixture, 3_000);
    expect_that!(addresses_used(&mut fixture, SERVICE).len(), eq(2));
}

#[gtest]
fn unreadable_entry_is_relayed_as_removed_from_watch_and_list() {
    for lists in [false, true] {
        let mut fixture = Fixture::coordinating(store_without_owners());
        answer_orders_for(&mut fixture, 3_000);
        fixture.datagrams.clear();
        fixture.store.put_unreadable(ObjectKind::Instances, "i-1");
        if lists {
            fixture.store.has_lost_history = true;
            fixture.lose_history(ObjectKind::Instances);
        } else {
            fixture.answer_watch_with_changes(ObjectKind::Instances);
        }
        let announced = fixture
            .datagrams
            .iter()
            .filter_map(|(_, _, message)| match message {
                PeerMessage::InstancesChanged { changes, .. } => Some(changes.0.clone()),
                _ => None,
            });
        let announced: Vec<ChangedInstance> = announced.flatten().collect();
        let removal = ChangedInstance {
            id: Text("i-1".to_owned()),
            entry: None,
        };
        expect_that!(announced, eq(&[removal]), "lists: {lists}");
    }
}

#[gtest]
fn change_without_a_name_is_relayed_as_an_empty_list() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    answer_orders_for(&mut fixture, 3_000);
    fixture.datagrams.clear();
    fixture.store.put_unreadable(ObjectKind::Instances, "");
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    let announced = fixture
        .datagrams
        .iter()
        .find_map(|(_, _, message)| match message {
            PeerMessage::InstancesChanged { span, changes, .. } => Some((*span, changes.len())),
            _ => None,
        });
    let (span, changes) = announced.expect("a list");
    expect_that!(span.revision, eq(fixture.store.revision));
    expect_that!(changes, eq(0));
}

#[gtest]
fn relayed_entry_out_of_bounds_counts_as_removed() {
    let entry = |slots, address: &str| InstanceEntry {
        service: Text(SERVICE.to_owned()),
        address: Text(address.to_owned()),
        zone: Text("a".to_owned()),
        slots,
        draining: false,
        warmup_left_ms: 0,
    };
    for entry in [
        entry(0, "10.0.1.1:8000"),
        entry(u32::MAX, "10.0.1.1:8000"),
        entry(2, "x"),
    ] {
        let mut store = store_without_owners();
        store.put_ownership(OwnershipRecord {
            epoch: 4,
            coordinator: Some(node_record(1).identity),
            next_fence: 9,
            ..OwnershipRecord::default()
        });
        let mut fixture = Fixture::new(store);
        fixture.run_until(ms(500));
        let revision = fixture.store.revision;
        let changed = ChangedInstance {
            id: Text("i-1".to_owned()),
            entry: Some(entry),
        };
        let message = PeerMessage::InstancesChanged {
            span: ChangeSpan {
                base: revision,
                revision: revision + 1,
                part: 0,
                parts: 1,
            },
            unconfirmed_ms: 0,
            changes: List(vec![changed]),
        };
        fixture.receive(node_address(1), &message);
        expect_that!(
            addresses_used(&mut fixture, SERVICE),
            eq(&BTreeSet::from([address(2)]))
        );
    }
}

#[gtest]
fn long_entries_are_split_into_several_datagrams() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    answer_orders_for(&mut fixture, 3_000);
    fixture.datagrams.clear();
    for number in 10..18 {
        let id = format!("i-{number}-{}", "x".repeat(240));
        fixture.store.add_instance(InstanceRecord {
            id: InstanceId::from(id.as_str()),
            ..instance(number, SERVICE)
        });
    }
    // The fixture decodes each datagram as another node would.
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    expect_that!(fixture.sent("instances"), ge(2));
}

#[gtest]
fn every_occurrence_of_an_unreadable_object_is_counted() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    answer_orders_for(&mut fixture, 3_000);
    for _ in 0..5 {
        fixture.store.put_unreadable(ObjectKind::Instances, "i-1");
        fixture.answer_watch_with_changes(ObjectKind::Instances);
        answer_orders_for(&mut fixture, 1_000);
    }
    expect_that!(unreadable(&fixture.node.status(), "instances"), eq(5));
}

/// Whether the last heartbeat says that the store serves the node as coordinator.
fn has_authority(fixture: &Fixture) -> bool {
    let heartbeats = fixture.datagrams.iter().rev();
    let mut heartbeats = heartbeats.filter_map(|(_, _, message)| match message {
        PeerMessage::CoordinatorHeartbeat(heartbeat) => Some(heartbeat.store_serves),
        _ => None,
    });
    heartbeats.next().expect("a heartbeat")
}

#[gtest]
fn unreadable_record_does_not_confirm_the_coordinator() {
    let mut store = store_without_owners();
    store.answers_changes = true;
    let mut fixture = Fixture::coordinating(store);
    answer_orders_for(&mut fixture, 12_000);
    expect_that!(has_authority(&fixture), eq(true));
    fixture
        .store
        .put_unreadable(ObjectKind::Ownership, "record");
    answer_orders_for(&mut fixture, 16_000);
    expect_that!(has_authority(&fixture), eq(false));
}

#[gtest]
fn unreadable_object_beside_the_record_does_not_end_the_role() {
    let mut store = store_without_owners();
    store.answers_changes = true;
    let mut fixture = Fixture::coordinating(store);
    fixture.store.put_unreadable(ObjectKind::Ownership, "other");
    answer_orders_for(&mut fixture, 16_000);
    expect_that!(has_authority(&fixture), eq(true));
}

thread_local! {
    /// Errors about the store logged by the thread of this test.
    static LOGGED_ERRORS: Cell<usize> = const { Cell::new(0) };
}

struct ErrorCounter;

impl log::Log for ErrorCounter {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() == log::Level::Error
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) && record.target() == "store" {
            LOGGED_ERRORS.set(LOGGED_ERRORS.get() + 1);
        }
    }

    fn flush(&self) {}
}

#[gtest]
fn unreadable_object_is_logged_once_until_it_is_readable_again() {
    log::set_logger(&ErrorCounter).expect("the only logger");
    log::set_max_level(log::LevelFilter::Error);
    let mut fixture = Fixture::coordinating(store_without_owners());
    answer_orders_for(&mut fixture, 3_000);
    LOGGED_ERRORS.set(0);
    for round in 1..=3 {
        for _ in 0..4 {
            fixture.store.put_unreadable(ObjectKind::Instances, "i-1");
            fixture.store.put_unreadable(ObjectKind::Instances, "");
            fixture.answer_watch_with_changes(ObjectKind::Instances);
            answer_orders_for(&mut fixture, 1_000);
        }
        // The object without a name is logged only once in total.
        expect_that!(LOGGED_ERRORS.get(), eq(round + 1));
        fixture.store.add_instance(instance(1, SERVICE));
        fixture.answer_watch_with_changes(ObjectKind::Instances);
        answer_orders_for(&mut fixture, 1_000);
    }
    for number in 0..1_000 {
        let name = format!("x-{number}");
        fixture.store.put_unreadable(ObjectKind::Instances, &name);
    }
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    expect_that!(LOGGED_ERRORS.get(), le(260));
    let counted = unreadable(&fixture.node.status(), "instances");
    expect_that!(counted, ge(1_000));
}

#[gtest]
fn load_headers_out_of_bounds_are_tolerated() {
    let max = u32::MAX;
    let loads = [
        format!("{max},{max},{max},{max}"),
        format!("{max},1,0,65535"),
        "0,0,0,0".to_owned(),
        "-1,2,3".to_owned(),
        "99999999999999999999,1,1".to_owned(),
        "NaN,inf,1e300".to_owned(),
    ];
    for load in loads {
        let mut fixture = Fixture::new(store_without_owners());
        fixture.run_until(ms(900));
        for _ in 0..6 {
            fixture.request(SERVICE, None);
            let sent = fixture.attempts.pop().expect("an attempt");
            let mut response = Response::new(200, "");
            response.headers.push("signature", "s");
            response.headers.push("load", load.clone());
            fixture.answer(sent.exchange, response);
        }
        fixture.request(SERVICE, None);
        let sent = fixture.attempts.pop().expect("an attempt");
        fixture.end(sent.exchange, Err(ExchangeFailure::NotConnected));
    }
}

#[gtest]
fn evacuation_without_a_zone_name_has_no_effect() {
    let mut store = store_without_owners();
    store.put(
        ObjectKind::Evacuations,
        "",
        ObjectContent::Evacuation(ZoneName::from("")),
    );
    let mut fixture = Fixture::coordinating(store);
    answer_orders_for(&mut fixture, 3_000);
    expect_that!(addresses_used(&mut fixture, SERVICE).len(), eq(2));
}
