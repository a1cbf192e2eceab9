//! Entries of the store that another writer made.

use crate::fixture::{
    Fixture, KEYED, SERVICE, instance, ms, node_address, node_record, vacant_store,
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

/// Where requests go.
fn used(fixture: &mut Fixture, service: &str) -> BTreeSet<SocketAddr> {
    fixture.attempts.clear();
    for number in 0..12u16 {
        let key = (service == KEYED).then_some(number * 5_000);
        fixture.ask(service, key);
    }
    let sent = fixture
        .attempts
        .iter()
        .filter(|sent| sent.target != "order");
    let used: BTreeSet<SocketAddr> = sent.map(|sent| sent.address).collect();
    for sent in std::mem::take(&mut fixture.attempts) {
        let mut response = Response::new(200, "");
        response.headers.push("signature", "s");
        fixture.answer(sent.exchange, response);
    }
    used
}

fn address(number: u8) -> SocketAddr {
    instance(number, SERVICE).address
}

/// Answers orders for a while, so that keys get owners.
fn settle(fixture: &mut Fixture, time: u64) {
    let end = fixture.now + ms(time);
    while fixture.now < end {
        let next = fixture.now + ms(50);
        fixture.run_until(next);
        for sent in std::mem::take(&mut fixture.attempts) {
            fixture.answer(sent.exchange, Response::new(200, ""));
        }
    }
}

fn unreadable(status: &NodeStatus, kind: &str) -> u64 {
    status.unreadable.get(kind).copied().unwrap_or(0)
}

#[gtest]
fn an_entry_that_becomes_foreign_names_no_instance_and_comes_back() {
    let mut fixture = Fixture::coordinating(vacant_store());
    settle(&mut fixture, 3_000);
    expect_that!(used(&mut fixture, SERVICE).len(), eq(2));
    fixture.store.spoil(ObjectKind::Instances, "i-1");
    fixture.change_watched(ObjectKind::Instances);
    expect_that!(
        used(&mut fixture, SERVICE),
        eq(&BTreeSet::from([address(2)]))
    );
    settle(&mut fixture, 1_000);
    fixture.store.add_instance(instance(1, SERVICE));
    fixture.change_watched(ObjectKind::Instances);
    expect_that!(used(&mut fixture, SERVICE).len(), eq(2));
}

#[gtest]
fn keys_of_an_owner_whose_entry_becomes_foreign_move() {
    let mut fixture = Fixture::coordinating(vacant_store());
    settle(&mut fixture, 4_000);
    let owner = InstanceId::from("i-3");
    let owned = (0..=u16::MAX).find(|key| fixture.owner_of(*key).as_ref() == Some(&owner));
    let key = owned.expect("it owns keys");
    fixture.store.spoil(ObjectKind::Instances, "i-3");
    fixture.change_watched(ObjectKind::Instances);
    settle(&mut fixture, 8_000);
    expect_that!(fixture.owner_of(key), some(eq(&InstanceId::from("i-4"))));
}

#[gtest]
fn a_foreign_entry_ends_no_life_at_its_address_and_a_good_one_does() {
    let mut fixture = Fixture::coordinating(vacant_store());
    settle(&mut fixture, 3_000);
    fixture.store.spoil(ObjectKind::Instances, "i-9");
    fixture.change_watched(ObjectKind::Instances);
    expect_that!(used(&mut fixture, SERVICE).len(), eq(2));
    settle(&mut fixture, 1_000);
    fixture.store.add_instance(InstanceRecord {
        address: address(1),
        ..instance(9, KEYED)
    });
    fixture.change_watched(ObjectKind::Instances);
    expect_that!(
        used(&mut fixture, SERVICE),
        eq(&BTreeSet::from([address(2)]))
    );
}

#[gtest]
fn a_list_with_foreign_entries_leaves_the_others() {
    let mut store = vacant_store();
    store.spoil(ObjectKind::Instances, "i-1");
    store.spoil(ObjectKind::Instances, "");
    store.spoil(ObjectKind::Nodes, "i-2");
    store.spoil(ObjectKind::Quarantine, "i-2");
    store.spoil(ObjectKind::Ownership, "other");
    let mut fixture = Fixture::coordinating(store);
    settle(&mut fixture, 1_000);
    expect_that!(
        used(&mut fixture, SERVICE),
        eq(&BTreeSet::from([address(2)]))
    );
    let status = fixture.node.status();
    expect_that!(status.nodes, eq(2));
    expect_that!(unreadable(&status, "instances"), ge(2));
    expect_that!(unreadable(&status, "nodes"), ge(1));
}

#[gtest]
fn a_foreign_object_of_another_kind_that_goes_removes_no_instance() {
    let mut store = vacant_store();
    store.spoil(ObjectKind::Nodes, "i-2");
    let mut fixture = Fixture::coordinating(store);
    settle(&mut fixture, 3_000);
    fixture.store.remove(ObjectKind::Nodes, "i-2");
    fixture.change_watched(ObjectKind::Nodes);
    settle(&mut fixture, 3_000);
    expect_that!(used(&mut fixture, SERVICE).len(), eq(2));
}

#[gtest]
fn what_is_foreign_is_relayed_as_gone_whether_told_or_listed() {
    for lists in [false, true] {
        let mut fixture = Fixture::coordinating(vacant_store());
        settle(&mut fixture, 3_000);
        fixture.datagrams.clear();
        fixture.store.spoil(ObjectKind::Instances, "i-1");
        if lists {
            fixture.store.forgets = true;
            fixture.lose_history(ObjectKind::Instances);
        } else {
            fixture.change_watched(ObjectKind::Instances);
        }
        let told = fixture
            .datagrams
            .iter()
            .filter_map(|(_, _, message)| match message {
                PeerMessage::InstancesChanged { changes, .. } => Some(changes.0.clone()),
                _ => None,
            });
        let told: Vec<ChangedInstance> = told.flatten().collect();
        let gone = ChangedInstance {
            id: Text("i-1".to_owned()),
            entry: None,
        };
        expect_that!(told, eq(&[gone]), "lists: {lists}");
    }
}

#[gtest]
fn a_change_that_names_nothing_is_told_as_an_empty_list() {
    let mut fixture = Fixture::coordinating(vacant_store());
    settle(&mut fixture, 3_000);
    fixture.datagrams.clear();
    fixture.store.spoil(ObjectKind::Instances, "");
    fixture.change_watched(ObjectKind::Instances);
    let told = fixture
        .datagrams
        .iter()
        .find_map(|(_, _, message)| match message {
            PeerMessage::InstancesChanged { span, changes, .. } => Some((*span, changes.len())),
            _ => None,
        });
    let (span, changes) = told.expect("a list");
    expect_that!(span.revision, eq(fixture.store.revision));
    expect_that!(changes, eq(0));
}

#[gtest]
fn what_is_relayed_and_out_of_range_counts_as_gone() {
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
        let mut store = vacant_store();
        store.own(OwnershipRecord {
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
            used(&mut fixture, SERVICE),
            eq(&BTreeSet::from([address(2)]))
        );
    }
}

#[gtest]
fn a_long_entry_leaves_room_for_the_others_of_its_datagram() {
    let mut fixture = Fixture::coordinating(vacant_store());
    settle(&mut fixture, 3_000);
    fixture.datagrams.clear();
    for number in 10..18 {
        let id = format!("i-{number}-{}", "x".repeat(240));
        fixture.store.add_instance(InstanceRecord {
            id: InstanceId::from(id.as_str()),
            ..instance(number, SERVICE)
        });
    }
    // The fixture decodes each datagram as another node would.
    fixture.change_watched(ObjectKind::Instances);
    expect_that!(fixture.sent("instances"), ge(2));
}

#[gtest]
fn a_finding_is_counted_each_time() {
    let mut fixture = Fixture::coordinating(vacant_store());
    settle(&mut fixture, 3_000);
    for _ in 0..5 {
        fixture.store.spoil(ObjectKind::Instances, "i-1");
        fixture.change_watched(ObjectKind::Instances);
        settle(&mut fixture, 1_000);
    }
    expect_that!(unreadable(&fixture.node.status(), "instances"), eq(5));
}

/// Whether the node says in its last heartbeat that the store serves it as coordinator.
fn has_authority(fixture: &Fixture) -> bool {
    let heartbeats = fixture.datagrams.iter().rev();
    let mut heartbeats = heartbeats.filter_map(|(_, _, message)| match message {
        PeerMessage::CoordinatorHeartbeat(heartbeat) => Some(heartbeat.store_serves),
        _ => None,
    });
    heartbeats.next().expect("a heartbeat")
}

#[gtest]
fn a_record_that_cannot_be_read_confirms_no_coordinator() {
    let mut store = vacant_store();
    store.answers_changes = true;
    let mut fixture = Fixture::coordinating(store);
    settle(&mut fixture, 12_000);
    expect_that!(has_authority(&fixture), eq(true));
    fixture.store.spoil(ObjectKind::Ownership, "record");
    settle(&mut fixture, 16_000);
    expect_that!(has_authority(&fixture), eq(false));
}

#[gtest]
fn a_foreign_object_beside_the_record_leaves_the_coordinator_its_place() {
    let mut store = vacant_store();
    store.answers_changes = true;
    let mut fixture = Fixture::coordinating(store);
    fixture.store.spoil(ObjectKind::Ownership, "other");
    settle(&mut fixture, 16_000);
    expect_that!(has_authority(&fixture), eq(true));
}

thread_local! {
    /// Findings that this test's thread has logged.
    static FINDINGS: Cell<usize> = const { Cell::new(0) };
}

struct CountFindings;

impl log::Log for CountFindings {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() == log::Level::Error
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) && record.target() == "store" {
            FINDINGS.set(FINDINGS.get() + 1);
        }
    }

    fn flush(&self) {}
}

#[gtest]
fn a_finding_is_logged_once_until_its_object_reads_well_again() {
    log::set_logger(&CountFindings).expect("the only logger");
    log::set_max_level(log::LevelFilter::Error);
    let mut fixture = Fixture::coordinating(vacant_store());
    settle(&mut fixture, 3_000);
    FINDINGS.set(0);
    for round in 1..=3 {
        for _ in 0..4 {
            fixture.store.spoil(ObjectKind::Instances, "i-1");
            fixture.store.spoil(ObjectKind::Instances, "");
            fixture.change_watched(ObjectKind::Instances);
            settle(&mut fixture, 1_000);
        }
        // Once for the one without a name, in all.
        expect_that!(FINDINGS.get(), eq(round + 1));
        fixture.store.add_instance(instance(1, SERVICE));
        fixture.change_watched(ObjectKind::Instances);
        settle(&mut fixture, 1_000);
    }
    for number in 0..1_000 {
        let name = format!("x-{number}");
        fixture.store.spoil(ObjectKind::Instances, &name);
    }
    fixture.change_watched(ObjectKind::Instances);
    expect_that!(FINDINGS.get(), le(260));
    let counted = unreadable(&fixture.node.status(), "instances");
    expect_that!(counted, ge(1_000));
}

#[gtest]
fn a_load_of_any_size_is_taken_for_what_can_be() {
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
        let mut fixture = Fixture::new(vacant_store());
        fixture.run_until(ms(900));
        for _ in 0..6 {
            fixture.ask(SERVICE, None);
            let sent = fixture.attempts.pop().expect("an attempt");
            let mut response = Response::new(200, "");
            response.headers.push("signature", "s");
            response.headers.push("load", load.clone());
            fixture.answer(sent.exchange, response);
        }
        fixture.ask(SERVICE, None);
        let sent = fixture.attempts.pop().expect("an attempt");
        fixture.end(sent.exchange, Err(ExchangeFailure::NotConnected));
    }
}

#[gtest]
fn a_record_of_another_name_gives_nothing_away() {
    let mut store = vacant_store();
    store.put(
        ObjectKind::Evacuations,
        "",
        ObjectContent::Evacuation(ZoneName::from("")),
    );
    let mut fixture = Fixture::coordinating(store);
    settle(&mut fixture, 3_000);
    expect_that!(used(&mut fixture, SERVICE).len(), eq(2));
}
