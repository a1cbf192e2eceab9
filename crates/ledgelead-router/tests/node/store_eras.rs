//! A store that is restored from a backup: what it has acknowledged since is lost, its
//! revisions are assigned again, and its era increases.
//!
//! A coordinator that continued from a lost revision had each of its writes refused. A node
//! that started took the restored record for the latest one, and granted keys that other
//! instances held.

use crate::fixture::{
    Fixture, KEYED, all_keys_of, completed, configuration, ms, node_record, owned_store,
    store_without_owners,
};
use googletest::prelude::*;
use ledgelead_router::dialect::{ObjectContent, ObjectKind};
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::store::{era_of, first_in_era};

/// The path of orders.
const ORDER: &str = "order";
/// Authority of an unknown coordinator, the transit of its orders, and a hold.
const UNKNOWN_HOLDS_MS: u64 = 15_000;

/// Advances the time while the instances carry out orders and the store answers watches every
/// half second. Returns the number of orders.
fn run_with_orders(fixture: &mut Fixture, duration_ms: u64) -> usize {
    let mut orders = 0;
    for step in 1..=duration_ms / 10 {
        fixture.run_until(fixture.now + ms(10));
        if step % 50 == 0 {
            fixture.answer_watches();
        }
        for sent in std::mem::take(&mut fixture.attempts) {
            orders += usize::from(sent.target == ORDER);
            fixture.answer(sent.exchange, completed(&sent));
        }
    }
    orders
}

fn stored_record(fixture: &Fixture) -> OwnershipRecord {
    let name = (ObjectKind::Ownership, "record".to_owned());
    match &fixture.store.objects[&name].content {
        Ok(ObjectContent::Ownership(record)) => record.clone(),
        content => panic!("{content:?}"),
    }
}

#[gtest]
fn coordinator_rewrites_the_record_after_a_restore_and_continues() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    let copy = fixture.store.copy();
    run_with_orders(&mut fixture, 5_000);
    let before = stored_record(&fixture);
    expect_that!(before.assignments, not(is_empty()));
    fixture.store.restore(copy, 1);
    // The node's next own call reveals the restore within a second.
    let orders = run_with_orders(&mut fixture, 3_000);
    let after = stored_record(&fixture);
    let owners = |record: &OwnershipRecord| {
        let owners = record.assignments.iter();
        let owners = owners.map(|known| (known.first, known.last, known.owner.clone()));
        owners.collect::<Vec<_>>()
    };
    expect_that!(owners(&after), eq(&owners(&before)));
    expect_that!(after.era, eq(1));
    expect_that!(after.epoch, ge(first_in_era(1)));
    for assignment in &after.assignments {
        expect_that!(era_of(assignment.fence), eq(1));
    }
    expect_that!(orders, ge(2));
}

#[gtest]
fn record_missing_after_a_restore_is_created_again() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    run_with_orders(&mut fixture, 5_000);
    let before = stored_record(&fixture);
    let mut copy = store_without_owners();
    copy.remove(ObjectKind::Ownership, "record");
    fixture.store.restore(copy.copy(), 1);
    run_with_orders(&mut fixture, 3_000);
    let after = stored_record(&fixture);
    expect_that!(after.assignments.len(), eq(before.assignments.len()));
    expect_that!(after.era, eq(1));
}

#[gtest]
fn node_started_after_a_restore_grants_nothing_before_earlier_holds_have_ended() {
    let mut store = owned_store(configuration(1));
    store.put_ownership(all_keys_of("i-3", 0));
    store.era = Some("2".to_owned());
    let mut fixture = Fixture::new(store);
    let early = run_with_orders(&mut fixture, UNKNOWN_HOLDS_MS);
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
    expect_that!(early, eq(0));
    let later = run_with_orders(&mut fixture, 5_000);
    expect_that!(later, ge(1));
    for assignment in &stored_record(&fixture).assignments {
        expect_that!(era_of(assignment.fence), eq(2));
    }
}

#[gtest]
fn successor_in_the_same_era_also_waits_for_earlier_holds() {
    let mut store = owned_store(configuration(1));
    store.put_ownership(OwnershipRecord {
        era: 2,
        epoch: first_in_era(2),
        unknown_holds_ms: 10_000,
        ..all_keys_of("i-3", 0)
    });
    store.era = Some("2".to_owned());
    let mut fixture = Fixture::new(store);
    expect_that!(run_with_orders(&mut fixture, 9_000), eq(0));
    expect_that!(run_with_orders(&mut fixture, 5_000), ge(1));
}

#[gtest]
fn record_of_the_current_era_is_followed_without_a_wait() {
    let mut store = owned_store(configuration(1));
    store.put_ownership(OwnershipRecord {
        era: 2,
        epoch: first_in_era(2),
        ..all_keys_of("i-3", 0)
    });
    store.era = Some("2".to_owned());
    let mut fixture = Fixture::new(store);
    expect_that!(run_with_orders(&mut fixture, 4_000), ge(1));
}

#[gtest]
fn node_registers_again_in_a_new_era() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    let mut copy = store_without_owners();
    copy.remove(ObjectKind::Nodes, "node-000");
    fixture.store.restore(copy.copy(), 1);
    run_with_orders(&mut fixture, 3_000);
    let registered = fixture.store.revision_of(ObjectKind::Nodes, "node-000");
    expect_that!(registered, some(anything()));
}

#[gtest]
fn answer_with_an_invalid_or_earlier_era_is_ignored() {
    for (first, then) in [(None, "soon"), (Some("3"), "2"), (None, "99999999")] {
        let mut store = owned_store(configuration(1));
        store.add_node(node_record(0));
        store.era = first.map(str::to_owned);
        let mut fixture = Fixture::new(store);
        run_with_orders(&mut fixture, 4_000);
        fixture.store.put_configuration(configuration(2));
        fixture.store.era = Some(then.to_owned());
        run_with_orders(&mut fixture, 4_000);
        let version = fixture.node.configuration().map(|known| known.version);
        expect_that!(version, some(eq(1)), "{then}");
        fixture.store.era = Some("4".to_owned());
        run_with_orders(&mut fixture, 4_000);
        let version = fixture.node.configuration().map(|known| known.version);
        expect_that!(version, some(eq(2)), "{then}");
    }
}

#[gtest]
fn keys_are_routed_by_known_owners_after_a_restore() {
    let mut fixture = Fixture::coordinating(store_without_owners());
    let copy = fixture.store.copy();
    run_with_orders(&mut fixture, 5_000);
    fixture.store.restore(copy, 1);
    fixture.run_until(fixture.now + ms(50));
    fixture.attempts.clear();
    fixture.request(KEYED, Some(7));
    expect_that!(fixture.attempts, len(eq(1)));
}

#[gtest]
fn store_with_an_era_from_the_start_gets_no_additional_calls() {
    let calls = |era: Option<&str>| {
        let mut store = store_without_owners();
        store.era = era.map(str::to_owned);
        let mut fixture = Fixture::coordinating(store);
        run_with_orders(&mut fixture, 3_000);
        fixture.calls.len()
    };
    expect_that!(calls(Some("5")), le(calls(None)));
}
