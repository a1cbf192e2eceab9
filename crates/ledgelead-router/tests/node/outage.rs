//! What nodes ask of a store that refuses all calls.

use crate::fixture::{Fixture, Store, configuration, instance, ms, node_record};
use crate::fixture::{KEYED, SERVICE};
use googletest::prelude::*;
use ledgelead_router::ownership::record::OwnershipRecord;

/// Calls of a node among others during six seconds without a store.
fn calls_in_an_outage(nodes: u8) -> usize {
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
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(900));
    fixture.store.refuses = true;
    fixture.run_until(ms(1_300));
    let before = fixture.calls.len();
    fixture.run_until(ms(7_300));
    fixture.calls.len() - before
}

#[gtest]
fn the_calls_of_an_outage_grow_slower_than_the_nodes() {
    let few = calls_in_an_outage(6);
    let many = calls_in_an_outage(250);
    expect_that!(few, all!(ge(6), le(11)));
    expect_that!(many, all!(ge(3), le(6)));
}
