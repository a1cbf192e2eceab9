//! Distribution of configuration versions among nodes.

use crate::fixture::{Fixture, Store, configuration, instance, ms, node_address, node_record};
use crate::fixture::{KEYED, SERVICE};
use googletest::prelude::*;
use ledgelead_router::configuration::{Configuration, Route, RouteTarget, Service};
use ledgelead_router::dialect::{ObjectKind, StoreCall};
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::identity::ServiceName;
use ledgelead_router::io::ExchangeFailure;
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::peers::{
    ChangeSpan, ConfigurationDelta, Heartbeat, PeerMessage, RelayedKind, decode, encode,
};
use ledgelead_router::quota::Quota;
use ledgelead_router::tenants::{KeyDigest, Tenant};
use ledgelead_types::codec::List;
use proptest::prelude::*;
use std::sync::Arc;

const COORDINATOR: u8 = 1;

fn store() -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(5));
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, KEYED));
    for number in 0..4 {
        store.add_node(node_record(number));
    }
    store.put_ownership(OwnershipRecord {
        epoch: 4,
        coordinator: Some(node_record(COORDINATOR).identity),
        next_fence: 9,
        ..OwnershipRecord::default()
    });
    store
}

fn heartbeat(fixture: &Fixture, configuration: u64) -> PeerMessage {
    PeerMessage::CoordinatorHeartbeat(Heartbeat {
        epoch: 4,
        sent_ms: u64::try_from(fixture.now.as_millis()).expect("a short test"),
        store_serves: true,
        record_revision: fixture
            .store
            .revision_of(ObjectKind::Ownership, "record")
            .unwrap_or(0),
        configuration_version: configuration,
        instances_revision: 0,
        nodes_revision: 0,
        age_ms: 100,
        instances_age_ms: 100,
        served_for_ms: 5_000,
        overloads: List(Vec::new()),
        evacuations: EvacuationsEntry::default(),
        evidence_checksum: 0,
    })
}

/// A node that follows a coordinator.
fn follower() -> Fixture {
    let mut fixture = Fixture::new(store());
    fixture.run_until(ms(100));
    let message = heartbeat(&fixture, 5);
    fixture.receive(node_address(COORDINATOR), &message);
    fixture
}

fn messages(delta: ConfigurationDelta) -> Vec<PeerMessage> {
    let span = |part, parts| ChangeSpan {
        base: delta.base,
        revision: delta.version,
        part,
        parts,
    };
    let parts = u8::try_from(delta.changes.len().max(1)).expect("few changes");
    (0..parts)
        .map(|part| PeerMessage::ConfigurationChanged {
            span: span(part, parts),
            limits: delta.limits,
            changes: List(
                delta
                    .changes
                    .get(usize::from(part))
                    .into_iter()
                    .cloned()
                    .collect(),
            ),
        })
        .collect()
}

fn next_version(version: u64) -> Configuration {
    let mut next = configuration(version);
    let mut changed = Route::clone(&next.routes[0]);
    changed.timeout = ms(700);
    next.routes[0] = Arc::new(changed);
    next
}

fn lists_of_configuration(fixture: &Fixture) -> usize {
    let kind = ObjectKind::Configuration;
    let is_read = |call: &StoreCall| match call {
        StoreCall::List { kind: read, .. } | StoreCall::Watch { kind: read, .. } => *read == kind,
        _ => false,
    };
    let calls = fixture.calls.iter().filter(|(_, call)| is_read(call));
    calls.count()
}

#[gtest]
fn announced_version_is_activated_without_a_store_call() {
    let mut fixture = follower();
    let calls = fixture.calls.len();
    let delta = ConfigurationDelta::between(Some(&configuration(5)), &next_version(8));
    for message in messages(delta.expect("names are unique")) {
        fixture.receive(node_address(COORDINATOR), &message);
    }
    expect_that!(fixture.node.status().configuration, some(eq(8)));
    expect_that!(fixture.calls.len(), eq(calls));
}

#[gtest]
fn version_with_lost_announcement_is_requested_and_then_read() {
    let mut fixture = follower();
    fixture.store.put_configuration(next_version(8));
    let before = lists_of_configuration(&fixture);
    for round in 0..4 {
        let message = heartbeat(&fixture, 8);
        fixture.receive(node_address(COORDINATOR), &message);
        if round == 0 {
            let resync_requests = fixture.datagrams.iter().filter(|(_, to, message)| {
                let kind = RelayedKind::Configuration;
                *to == node_address(COORDINATOR)
                    && *message == PeerMessage::ResyncRequest { kind, since: 5 }
            });
            expect_that!(resync_requests.count(), eq(1));
            expect_that!(lists_of_configuration(&fixture), eq(before));
        }
        fixture.run_until(fixture.now + ms(200));
    }
    expect_that!(fixture.node.status().configuration, some(eq(8)));
    expect_that!(lists_of_configuration(&fixture), gt(before));
}

/// A follower that has learned of version 8, which the coordinator can't send in datagrams.
fn lacking_a_large_version(fixture: &mut Fixture) {
    // A call may follow on the last answer.
    fixture.run_until(fixture.now + ms(450));
    fixture.store.put_configuration(next_version(8));
    let message = heartbeat(fixture, 8);
    fixture.receive(node_address(COORDINATOR), &message);
    let kind = RelayedKind::Configuration;
    let unavailable = PeerMessage::ResyncUnavailable { kind, since: 5 };
    fixture.receive(node_address(COORDINATOR), &unavailable);
}

#[gtest]
fn version_too_large_for_datagrams_is_read_at_once() {
    let mut fixture = follower();
    lacking_a_large_version(&mut fixture);
    expect_that!(fixture.node.status().configuration, some(eq(8)));
}

#[gtest]
fn call_without_an_answer_on_a_kept_connection_is_repeated_at_once() {
    let mut fixture = follower();
    fixture.store.is_slow = true;
    lacking_a_large_version(&mut fixture);
    let before = lists_of_configuration(&fixture);
    fixture.fail_calls(ExchangeFailure::Unresponsive);
    expect_that!(lists_of_configuration(&fixture), eq(before + 1));
    expect_that!(fixture.node.status().store_failures, eq(0));
    fixture.deliver_answers();
    expect_that!(fixture.node.status().configuration, some(eq(8)));
}

#[gtest]
fn call_without_an_answer_on_a_new_connection_shows_that_the_store_fails() {
    let mut fixture = follower();
    fixture.store.is_slow = true;
    lacking_a_large_version(&mut fixture);
    fixture.fail_calls(ExchangeFailure::Unresponsive);
    fixture.fail_calls(ExchangeFailure::TimedOut);
    expect_that!(fixture.node.status().store_failures, eq(1));
    // The version stays missing, so it is read on although the store has failed a call.
    let before = lists_of_configuration(&fixture);
    fixture.run_until(fixture.now + ms(150));
    expect_that!(lists_of_configuration(&fixture), eq(before + 1));
}

#[gtest]
fn slow_list_is_not_restarted() {
    let mut fixture = follower();
    fixture.store.put_configuration(next_version(8));
    // The answer takes long to arrive, while heartbeats continue.
    fixture.store.is_slow = true;
    let before = lists_of_configuration(&fixture);
    for _ in 0..10 {
        let message = heartbeat(&fixture, 8);
        fixture.receive(node_address(COORDINATOR), &message);
        fixture.run_until(fixture.now + ms(200));
    }
    expect_that!(lists_of_configuration(&fixture), eq(before + 1));
    fixture.deliver_answers();
    expect_that!(fixture.node.status().configuration, some(eq(8)));
}

#[gtest]
fn change_to_another_version_is_not_applied() {
    let mut fixture = follower();
    let delta = ConfigurationDelta::between(Some(&configuration(7)), &next_version(8));
    for message in messages(delta.expect("names are unique")) {
        fixture.receive(node_address(COORDINATOR), &message);
    }
    expect_that!(fixture.node.status().configuration, some(eq(5)));
    expect_that!(fixture.sent("resync_request"), eq(1));
    // A full version depends on no earlier one, and an older version changes nothing.
    for (version, expected) in [(4, 5), (9, 9)] {
        let whole = ConfigurationDelta::between(None, &next_version(version));
        for message in messages(whole.expect("names are unique")) {
            fixture.receive(node_address(COORDINATOR), &message);
        }
        expect_that!(fixture.node.status().configuration, some(eq(expected)));
    }
}

fn coordinator() -> Fixture {
    let mut store = store();
    store.clear_coordinator();
    Fixture::coordinating(store)
}

#[gtest]
fn large_change_is_not_announced() {
    let mut fixture = coordinator();
    let mut large = next_version(8);
    let template = Route::clone(&large.routes[0]);
    let added_routes = (0..2_000).map(|number| {
        Arc::new(Route {
            name: format!("more-{number}"),
            prefix: format!("/more-{number}/"),
            ..template.clone()
        })
    });
    large.routes.extend(added_routes);
    fixture.store.put_configuration(large);
    fixture.answer_watch_with_changes(ObjectKind::Configuration);
    expect_that!(fixture.node.status().configuration, some(eq(8)));
    for since in [5, 0, 5] {
        let kind = RelayedKind::Configuration;
        fixture.receive(node_address(3), &PeerMessage::ResyncRequest { kind, since });
    }
    expect_that!(fixture.sent("configuration"), eq(0));
    expect_that!(fixture.sent("resync_unavailable"), eq(3));
    // The next version is a small change again.
    fixture.datagrams.clear();
    fixture.store.put_configuration(next_version(9));
    fixture.run_until(fixture.now + ms(200));
    fixture.answer_watch_with_changes(ObjectKind::Configuration);
    let kind = RelayedKind::Configuration;
    let since = 0;
    fixture.receive(node_address(3), &PeerMessage::ResyncRequest { kind, since });
    expect_that!(fixture.sent("configuration"), ge(1));
}

#[gtest]
fn late_read_answer_does_not_reset_the_age_of_the_view() {
    // A coordinator that was suspended for 1.2 s reads an answer that the store gave after 600
    // ms. Another version may have been acknowledged since, and other nodes rely on this age.
    let mut fixture = coordinator();
    fixture.answer_watch_with_changes(ObjectKind::Configuration);
    fixture.run_until(fixture.now + ms(1_200));
    fixture.answer_watch_with_changes(ObjectKind::Instances);
    fixture.answer_watch_with_changes(ObjectKind::Configuration);
    fixture.datagrams.clear();
    fixture.run_until(fixture.now + ms(250));
    let ages = fixture
        .datagrams
        .iter()
        .filter_map(|(_, _, message)| match message {
            PeerMessage::CoordinatorHeartbeat(heartbeat) => Some(heartbeat.age_ms),
            _ => None,
        });
    let ages: Vec<u16> = ages.collect();
    expect_that!(ages, not(is_empty()));
    expect_that!(ages, each(ge(&600)));
}

#[gtest]
fn coordinator_announces_versions_and_resends_them_on_request() {
    let mut fixture = coordinator();
    fixture.store.put_configuration(next_version(8));
    fixture.answer_watch_with_changes(ObjectKind::Configuration);
    expect_that!(fixture.node.status().configuration, some(eq(8)));
    expect_that!(fixture.sent("configuration"), eq(3));
    for since in [5, 0] {
        let kind = RelayedKind::Configuration;
        fixture.datagrams.clear();
        fixture.receive(node_address(3), &PeerMessage::ResyncRequest { kind, since });
        let bases: Vec<u64> = fixture
            .datagrams
            .iter()
            .filter_map(|(_, _, message)| match message {
                PeerMessage::ConfigurationChanged { span, .. } => Some(span.base),
                _ => None,
            })
            .collect();
        expect_that!(bases, elements_are![eq(&since)]);
    }
}

fn arbitrary_configuration(version: u64) -> impl Strategy<Value = Configuration> {
    let routes = proptest::collection::btree_map(0..8u8, (1..3u8, 1..4u64, any::<bool>()), 0..6);
    let services = proptest::collection::btree_map(0..5u8, (any::<bool>(), 1..3u32), 0..5);
    let keys = proptest::collection::btree_set(0..4u8, 0..3);
    let tenants =
        proptest::collection::btree_map(0..4u8, (keys, any::<Option<u32>>(), 0..3u8), 0..4);
    (routes, services, tenants, 1..3usize).prop_map(move |(routes, services, tenants, head)| {
        let mut drawn = configuration(version);
        let template = Route::clone(&drawn.routes[0]);
        drawn.limits.max_head_bytes = head * 1_000;
        drawn.routes = routes
            .into_iter()
            .map(|(name, (targets, timeout, repeats))| {
                let target = |target| RouteTarget {
                    service: ServiceName::from(format!("s{target}").as_str()),
                    weight: f64::from(target),
                };
                Arc::new(Route {
                    name: format!("r{name}"),
                    targets: (0..targets).map(target).collect(),
                    timeout: ms(timeout),
                    target_latency: std::time::Duration::from_micros(timeout * 333),
                    priority: u32::from(repeats),
                    allows_anonymous: repeats,
                    ..template.clone()
                })
            })
            .collect();
        drawn.tenants = tenants
            .into_iter()
            .map(|(name, (keys, priority, rate))| {
                Arc::new(Tenant {
                    name: format!("t{name}"),
                    keys: keys.into_iter().map(|key| KeyDigest::new(&[key])).collect(),
                    priority,
                    quota: Quota::new(f64::from(rate), 1.5),
                })
            })
            .collect();
        drawn.services = services
            .into_iter()
            .map(|(name, (sharded, max_connections))| Service {
                name: ServiceName::from(format!("s{name}").as_str()),
                sharded,
                max_connections,
                cold_rate: sharded.then(|| f64::from(max_connections) + 0.5),
            })
            .collect();
        drawn
    })
}

fn sorted(mut configuration: Configuration) -> Configuration {
    configuration
        .routes
        .sort_by(|left, right| left.name.cmp(&right.name));
    configuration
        .services
        .sort_by(|left, right| left.name.cmp(&right.name));
    configuration
        .tenants
        .sort_by(|left, right| left.name.cmp(&right.name));
    configuration
}

proptest! {
    #[test]
    fn delta_converts_one_version_to_another(
        earlier in arbitrary_configuration(3),
        next in arbitrary_configuration(8),
    ) {
        for base in [Some(&earlier), None] {
            let delta = ConfigurationDelta::between(base, &next).expect("names are unique");
            for message in messages(delta.clone()) {
                prop_assert_eq!(decode(&encode(&message).bytes).ok(), Some(message));
            }
            let applied = delta.apply_to(Some(&earlier)).expect("a delta of this version");
            prop_assert_eq!(sorted(applied), sorted(next.clone()));
        }
    }
}
