//! Nodes that start without a coordinator while their list of nodes exceeds one page.
//!
//! Each of 50 strong nodes of a fleet read all pages of nodes for the first election, although
//! only one of them became the coordinator.

use crate::fixture::{
    Fixture, SERVICE, Store, configuration, instance, ms, node_address, node_record,
};
use googletest::prelude::*;
use ledgelead_router::dialect::{ObjectKind, StoreCall, WrittenContent};
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::identity::{NodeIdentity, NodeName};
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::peers::{Heartbeat, NodeRecord, PeerMessage};
use ledgelead_router::settings::NodeSettings;
use ledgelead_types::codec::List;
use std::time::Duration;

/// Numbers of the registered nodes, of which two fit on a page.
const NODES: std::ops::Range<u8> = 0..7;
/// Time without a heartbeat after which the first candidate may campaign.
const SILENCE_MS: u64 = 1_000;
/// Delay of each further candidate.
const RANK_MS: u64 = 120;
/// Time for the record check and all pages, which this store answers at once.
const READING_MS: u64 = 60;

/// A store that names a coordinator which no longer runs.
fn store() -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, SERVICE));
    for number in NODES {
        store.add_node(node_record(number));
    }
    store.put_ownership(record_of(NODES.end - 1));
    store.page = Some(2);
    store.answers_changes = true;
    store
}

fn record_of(coordinator: u8) -> OwnershipRecord {
    OwnershipRecord {
        epoch: 5,
        coordinator: Some(node_record(coordinator).identity),
        next_fence: 9,
        ..OwnershipRecord::default()
    }
}

/// The settings of a later incarnation of the node with this number.
fn settings(number: u8) -> NodeSettings {
    let record = node_record(number);
    NodeSettings {
        identity: NodeIdentity {
            incarnation: 2,
            ..record.identity
        },
        peer_address: record.address,
        ..Fixture::settings()
    }
}

fn starting_node(number: u8, store: Store) -> Fixture {
    Fixture::with_settings(store, settings(number))
}

/// Times at which pages of nodes were requested after the first one.
fn further_pages(fixture: &Fixture) -> Vec<Duration> {
    let is_further = |call: &StoreCall| {
        matches!(
            call,
            StoreCall::List {
                kind: ObjectKind::Nodes,
                after: Some(_),
                ..
            }
        )
    };
    let calls = fixture.calls.iter();
    let further = calls.filter(|(_, call)| is_further(call));
    further.map(|(at, _)| *at).collect()
}

/// Times at which the node tried to become the coordinator.
fn campaigns(fixture: &Fixture) -> Vec<Duration> {
    let is_takeover = |call: &StoreCall| {
        matches!(
            call,
            StoreCall::Create {
                content: WrittenContent::Ownership(_),
                ..
            } | StoreCall::Replace {
                content: WrittenContent::Ownership(_),
                ..
            }
        )
    };
    let calls = fixture.calls.iter();
    let takeovers = calls.filter(|(_, call)| is_takeover(call));
    takeovers.map(|(at, _)| *at).collect()
}

/// Times at which the node wrote its registration, and whether it created one.
fn registrations(fixture: &Fixture) -> Vec<(Duration, bool)> {
    let calls = fixture.calls.iter();
    let written = calls.filter_map(|(at, call)| match call {
        StoreCall::Create {
            content: WrittenContent::Node(_),
            ..
        } => Some((*at, true)),
        StoreCall::Replace {
            content: WrittenContent::Node(_),
            ..
        } => Some((*at, false)),
        _ => None,
    });
    written.collect()
}

fn receive_heartbeat(fixture: &mut Fixture, coordinator: u8) {
    let record = fixture
        .store
        .revision_of(ObjectKind::Ownership, "record")
        .unwrap_or(0);
    let heartbeat = PeerMessage::CoordinatorHeartbeat(Heartbeat {
        epoch: 5,
        sent_ms: 1,
        store_serves: true,
        record_revision: record,
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
    });
    fixture.receive(node_address(coordinator), &heartbeat);
}

#[gtest]
fn first_candidate_reads_all_nodes_and_is_elected_after_the_silence() {
    let mut fixture = starting_node(0, store());
    fixture.run_until(ms(SILENCE_MS - 100));
    expect_that!(further_pages(&fixture), is_empty());
    fixture.run_until(ms(SILENCE_MS + READING_MS));
    expect_that!(further_pages(&fixture), len(eq(3)));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
}

#[gtest]
fn next_candidate_succeeds_if_the_first_is_lost() {
    let mut fixture = starting_node(1, store());
    fixture.run_until(ms(SILENCE_MS + RANK_MS - 20));
    expect_that!(further_pages(&fixture), is_empty());
    fixture.run_until(ms(SILENCE_MS + RANK_MS + READING_MS));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
}

#[gtest]
fn candidate_waits_for_an_elected_node_from_which_it_is_partitioned() {
    let mut fixture = starting_node(1, store());
    fixture.run_until(ms(SILENCE_MS));
    // The first candidate is elected; its heartbeats don't arrive here.
    let elected = OwnershipRecord {
        epoch: 6,
        ..record_of(0)
    };
    fixture.store.put_ownership(elected);
    fixture.run_until(ms(SILENCE_MS + RANK_MS + SILENCE_MS - 100));
    expect_that!(further_pages(&fixture), is_empty());
    expect_that!(campaigns(&fixture), is_empty());
    // A coordinator whose heartbeats are missing is succeeded like any other.
    fixture.run_until(ms(SILENCE_MS
        + RANK_MS
        + SILENCE_MS
        + 2 * RANK_MS
        + READING_MS));
    expect_that!(further_pages(&fixture), len(eq(3)));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
}

#[gtest]
fn unanswered_check_of_the_record_delays_the_list_only_for_a_limited_time() {
    let mut fixture = starting_node(0, store());
    fixture.run_until(ms(SILENCE_MS - 100));
    fixture.store.is_slow = true;
    let end = ms(SILENCE_MS + 800);
    while fixture.now < end {
        fixture.run_until(fixture.now + ms(10));
        let is_check = |call: &StoreCall| {
            matches!(
                call,
                StoreCall::Watch {
                    kind: ObjectKind::Ownership,
                    ..
                }
            )
        };
        fixture.deliver_answers_except(is_check);
    }
    expect_that!(further_pages(&fixture), len(eq(3)));
    expect_that!(further_pages(&fixture)[0], ge(ms(SILENCE_MS + 600)));
}

#[gtest]
fn candidate_refused_by_the_store_continues_after_it_is_served_again() {
    let mut fixture = starting_node(0, store());
    fixture.run_until(ms(SILENCE_MS - 100));
    fixture.store.refuses_calls = true;
    fixture.run_until(ms(4_000));
    expect_that!(campaigns(&fixture), is_empty());
    fixture.store.refuses_calls = false;
    fixture.run_until(ms(8_000));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
}

/// Follows coordinator 6 for a while, and checks that the node requests the list of nodes from
/// it and reads no further page of the store.
fn expect_list_from_other_nodes(fixture: &mut Fixture) {
    while fixture.now < ms(3_000) {
        receive_heartbeat(fixture, 6);
        fixture.run_until(fixture.now + ms(100));
    }
    expect_that!(further_pages(fixture), is_empty());
    let requested = fixture.attempts.iter().map(|sent| sent.address);
    expect_that!(
        requested.collect::<Vec<_>>(),
        contains(eq(&node_address(6)))
    );
}

#[gtest]
fn node_that_follows_a_coordinator_reads_no_further_page() {
    let mut fixture = starting_node(1, store());
    fixture.run_until(ms(SILENCE_MS));
    expect_list_from_other_nodes(&mut fixture);
}

#[gtest]
fn node_of_a_starting_deployment_reads_no_further_page_once_it_follows_a_coordinator() {
    let mut store = store();
    store.remove(ObjectKind::Configuration, "main");
    let mut fixture = starting_node(1, store);
    fixture.run_until(ms(900));
    expect_list_from_other_nodes(&mut fixture);
}

#[gtest]
fn weak_node_leaves_the_election_to_strong_ones_beyond_the_first_page() {
    let mut store = store();
    for number in 3..7 {
        store.add_node(NodeRecord {
            millicores: 500,
            ..node_record(number)
        });
    }
    let mut fixture = starting_node(0, store);
    // By its first page this node is the first candidate.
    fixture.run_until(ms(SILENCE_MS + READING_MS));
    expect_that!(further_pages(&fixture), len(ge(1)));
    fixture.run_until(ms(SILENCE_MS + 4 * RANK_MS - 20));
    expect_that!(campaigns(&fixture), is_empty());
    // All strong ones are lost.
    fixture.run_until(ms(SILENCE_MS + 4 * RANK_MS + READING_MS));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
}

#[gtest]
fn candidate_without_a_known_place_waits_only_for_a_limited_time() {
    let mut store = store();
    for number in 0..30 {
        store.add_node(node_record(number));
    }
    store.page = Some(20);
    // The first 13 candidates share no delay; this one is on the second page.
    let mut fixture = starting_node(29, store);
    while fixture.now < ms(SILENCE_MS + 1_500 + 1_000 + READING_MS) {
        fixture.run_until(fixture.now + ms(20));
        fixture.answer_watches();
    }
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
}

#[gtest]
fn unregistered_node_registers_before_it_knows_all_nodes() {
    for (number, within_ms) in [(0, 20), (5, 420)] {
        let mut store = store();
        store.remove(
            ObjectKind::Nodes,
            node_record(number).identity.node.as_str(),
        );
        let mut fixture = starting_node(number, store);
        fixture.run_until(ms(within_ms));
        let written = registrations(&fixture);
        expect_that!(written, len(eq(1)));
        expect_that!(written[0].1, eq(true));
        expect_that!(further_pages(&fixture), is_empty());
    }
}

#[gtest]
fn registration_that_exists_is_replaced_only_after_it_was_read() {
    let mut store = store();
    store.add_node(NodeRecord {
        address: ([10, 0, 9, 9], 7_000).into(),
        ..node_record(6)
    });
    let known = store.revision_of(ObjectKind::Nodes, "node-006");
    // Not the coordinator of the record, whose later incarnation registers at once.
    store.put_ownership(record_of(5));
    let mut fixture = starting_node(6, store);
    // Silence, delay by rank, random pause and check of the record.
    fixture.run_until(ms(SILENCE_MS + 1_500 + 1_000 + READING_MS));
    let replaced: Vec<Option<u64>> = fixture
        .calls
        .iter()
        .filter_map(|(_, call)| match call {
            StoreCall::Replace {
                content: WrittenContent::Node(_),
                revision,
                ..
            } => Some(*revision),
            _ => None,
        })
        .collect();
    expect_that!(replaced, elements_are![eq(&known)]);
    let read = further_pages(&fixture);
    let (registered, _) = registrations(&fixture)[1];
    expect_that!(read, len(eq(3)));
    expect_that!(registered, ge(read[2]));
}

#[gtest]
fn later_incarnation_of_the_coordinator_reads_all_nodes_without_waiting_for_others() {
    let mut fixture = starting_node(6, store());
    // A share of 0.2 cores waits for 0.5 to 0.75 s.
    fixture.run_until(ms(800));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
}

/// A node of a large fleet.
fn fleet_record(number: usize, millicores: u32) -> NodeRecord {
    let address = ([10, 1, (number / 250) as u8, (number % 250) as u8], 7_000);
    NodeRecord {
        identity: NodeIdentity {
            node: NodeName::from(format!("node-{number:05}").as_str()),
            incarnation: 1,
        },
        address: address.into(),
        millicores,
        ..node_record(0)
    }
}

/// A store with these nodes, 200 on a page, and a coordinator that no longer runs.
fn fleet_store(records: &[NodeRecord], coordinator: usize) -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for record in records {
        store.add_node(record.clone());
    }
    store.put_ownership(OwnershipRecord {
        coordinator: Some(records[coordinator].identity.clone()),
        ..record_of(0)
    });
    store.page = Some(200);
    store.answers_changes = true;
    store
}

/// How many of the strongest nodes read further pages of nodes until a coordinator is elected
/// and has sent a heartbeat.
fn readers(records: &[NodeRecord], coordinator: usize) -> usize {
    /// From the first further page to the first heartbeat.
    const ELECTION: Duration = Duration::from_millis(150);
    let strongest = records.iter().map(|record| record.millicores).max();
    let mut store = fleet_store(records, coordinator);
    let (objects, revision) = (store.objects.clone(), store.revision);
    let mut began: Vec<Duration> = Vec::new();
    for (index, record) in records.iter().enumerate() {
        if Some(record.millicores) != strongest || index == coordinator {
            continue;
        }
        let settings = NodeSettings {
            identity: NodeIdentity {
                incarnation: 2,
                ..record.identity.clone()
            },
            peer_address: record.address,
            millicores: record.millicores,
            seed: index as u64 * 7_919,
            ..Fixture::settings()
        };
        let mut fixture = Fixture::with_settings(store, settings);
        while further_pages(&fixture).is_empty() {
            fixture.run_until(fixture.now + ms(10));
        }
        began.push(further_pages(&fixture)[0]);
        store = fixture.store;
        store.objects.clone_from(&objects);
        store.revision = revision;
    }
    let first = began.iter().min().copied().unwrap_or_default();
    began.iter().filter(|at| **at < first + ELECTION).count()
}

/// Nodes of which every `interval`th from `first_strong` on is strong.
fn fleet(nodes: usize, first_strong: usize, interval: usize) -> Vec<NodeRecord> {
    let is_strong =
        |number: usize| number >= first_strong && (number - first_strong).is_multiple_of(interval);
    let millicores = |number| if is_strong(number) { 500 } else { 100 };
    (0..nodes)
        .map(|number| fleet_record(number, millicores(number)))
        .collect()
}

#[gtest]
fn few_candidates_of_a_large_fleet_read_further_pages() {
    for nodes in [984, 1_968] {
        let strong = nodes / 20;
        // Strong nodes spread over all pages, on the first and on the last.
        expect_that!(readers(&fleet(nodes, 0, 20), 0), le(10), "spread, {nodes}");
        let on_first_page = fleet(nodes, 0, 1).into_iter().enumerate();
        let on_first_page: Vec<NodeRecord> = on_first_page
            .map(|(number, record)| NodeRecord {
                millicores: if number < strong { 500 } else { 100 },
                ..record
            })
            .collect();
        expect_that!(readers(&on_first_page, 0), le(10), "first, {nodes}");
        let on_last_page = fleet(nodes, nodes - strong, 1);
        expect_that!(readers(&on_last_page, nodes - 1), le(10), "last, {nodes}");
        // Nodes of equal strength, with the last coordinator on a middle page.
        expect_that!(
            readers(&fleet(nodes, 0, 1), nodes / 2),
            le(10),
            "equal, {nodes}"
        );
    }
}
