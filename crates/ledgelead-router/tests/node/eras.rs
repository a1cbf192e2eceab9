//! A store that comes back from a copy: what it acknowledged since is gone, its revisions are
//! given out again, and its era rises.
//!
//! A coordinator went on by a revision that the store no longer had, and was refused each
//! write. A node that started took the copy for the newest record, and gave keys away that
//! other instances held.

use crate::fixture::{
    Fixture, KEYED, all_keys_of, configuration, ms, node_record, owned_store, vacant_store,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::dialect::{ObjectContent, ObjectKind};
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::store::{era_of, first_in_era};

/// The target of orders.
const ORDER: &str = "order";
/// Authority of an unknown coordinator, the way of its orders, and a hold.
const UNKNOWN_HOLDS_MS: u64 = 15_000;

/// Lets time pass while the instances carry out orders, and the store answers watches each
/// half second. Returns how many orders there were.
fn run_with_orders(fixture: &mut Fixture, lasts_ms: u64) -> usize {
    let mut orders = 0;
    for step in 1..=lasts_ms / 10 {
        fixture.run_until(fixture.now + ms(10));
        if step % 50 == 0 {
            fixture.answer_watches();
        }
        for sent in std::mem::take(&mut fixture.attempts) {
            orders += usize::from(sent.target == ORDER);
            fixture.answer(sent.exchange, Response::new(200, ""));
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
fn a_coordinator_writes_what_a_copy_lacks_again_and_goes_on() {
    let mut fixture = Fixture::coordinating(vacant_store());
    let copy = fixture.store.copy();
    run_with_orders(&mut fixture, 5_000);
    let before = stored_record(&fixture);
    expect_that!(before.assignments, not(is_empty()));
    fixture.store.restore(copy, 1);
    // The next call of its own shows the copy, within a second.
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
fn a_record_that_a_copy_lacks_altogether_is_made_again() {
    let mut fixture = Fixture::coordinating(vacant_store());
    run_with_orders(&mut fixture, 5_000);
    let before = stored_record(&fixture);
    let mut copy = vacant_store();
    copy.remove(ObjectKind::Ownership, "record");
    fixture.store.restore(copy.copy(), 1);
    run_with_orders(&mut fixture, 3_000);
    let after = stored_record(&fixture);
    expect_that!(after.assignments.len(), eq(before.assignments.len()));
    expect_that!(after.era, eq(1));
}

#[gtest]
fn a_node_that_starts_over_a_copy_grants_nothing_before_earlier_holds_have_ended() {
    let mut store = owned_store(configuration(1));
    store.own(all_keys_of("i-3", 0));
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
fn a_successor_in_the_same_era_waits_as_long() {
    let mut store = owned_store(configuration(1));
    store.own(OwnershipRecord {
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
fn a_record_of_the_present_era_is_followed_without_a_wait() {
    let mut store = owned_store(configuration(1));
    store.own(OwnershipRecord {
        era: 2,
        epoch: first_in_era(2),
        ..all_keys_of("i-3", 0)
    });
    store.era = Some("2".to_owned());
    let mut fixture = Fixture::new(store);
    expect_that!(run_with_orders(&mut fixture, 4_000), ge(1));
}

#[gtest]
fn a_node_registers_again_in_a_new_era() {
    let mut fixture = Fixture::coordinating(vacant_store());
    let mut copy = vacant_store();
    copy.remove(ObjectKind::Nodes, "node-000");
    fixture.store.restore(copy.copy(), 1);
    run_with_orders(&mut fixture, 3_000);
    let registered = fixture.store.revision_of(ObjectKind::Nodes, "node-000");
    expect_that!(registered, some(anything()));
}

#[gtest]
fn an_answer_whose_era_cannot_be_read_or_is_over_is_not_used() {
    for (first, then) in [(None, "soon"), (Some("3"), "2"), (None, "99999999")] {
        let mut store = owned_store(configuration(1));
        store.add_node(node_record(0));
        store.era = first.map(str::to_owned);
        let mut fixture = Fixture::new(store);
        run_with_orders(&mut fixture, 4_000);
        fixture.store.configure(configuration(2));
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
fn keys_are_routed_by_what_is_known_while_a_copy_holds_less() {
    let mut fixture = Fixture::coordinating(vacant_store());
    let copy = fixture.store.copy();
    run_with_orders(&mut fixture, 5_000);
    fixture.store.restore(copy, 1);
    fixture.run_until(fixture.now + ms(50));
    fixture.attempts.clear();
    fixture.ask(KEYED, Some(7));
    expect_that!(fixture.attempts, len(eq(1)));
}

#[gtest]
fn a_store_that_names_an_era_from_the_first_answer_is_asked_no_more_than_others() {
    let calls = |era: Option<&str>| {
        let mut store = vacant_store();
        store.era = era.map(str::to_owned);
        let mut fixture = Fixture::coordinating(store);
        run_with_orders(&mut fixture, 3_000);
        fixture.calls.len()
    };
    expect_that!(calls(Some("5")), le(calls(None)));
}
