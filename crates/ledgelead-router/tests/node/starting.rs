//! Nodes that start where nobody coordinates.
//!
//! All nodes were killed at 28.070 s, an instance began to drain at 28.463 s, and the nodes
//! started at 31.109 s. Their first lists, which may be some seconds old, were from before
//! the drain, and their first watches come 1.2 s later; there was no coordinator to tell
//! them. So three of them sent it work, 0.68 s after its bound of 2 s:
//!
//!     31.14195s no_new_work_after_leave: i-0 since 28.463s, from node 5

use crate::fixture::{Fixture, SERVICE, Store, configuration, instance, ms, node_record, success};
use googletest::prelude::*;
use std::net::SocketAddr;

fn address(number: u8) -> SocketAddr {
    instance(number, SERVICE).address
}

/// A request each 100 ms for so long, all of them served. Returns which instances got one.
fn ask_for(fixture: &mut Fixture, lasts_ms: u64) -> Vec<SocketAddr> {
    let mut reached = Vec::new();
    let end = fixture.now + ms(lasts_ms);
    while fixture.now < end {
        fixture.ask(SERVICE, None);
        fixture.run_until(fixture.now + ms(100));
        while let Some(sent) = fixture.attempts.pop() {
            reached.push(sent.address);
            fixture.answer(sent.exchange, success());
        }
    }
    reached
}

/// Instances 1 and 2, of which the first drains; lists that may be stale don't know that.
fn lagging_store() -> Store {
    let mut store = Store::default();
    store.configure(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, SERVICE));
    for number in 0..3 {
        store.add_node(node_record(number));
    }
    store.vacate();
    store.answers_changes = true;
    store.stale_lists_end_here();
    let mut drains = instance(1, SERVICE);
    drains.draining = true;
    store.add_instance(drains);
    store
}

#[gtest]
fn a_starting_node_sends_nothing_to_who_drains_by_the_store_though_its_list_is_older() {
    let mut fixture = Fixture::new(lagging_store());
    fixture.run_until(ms(100));
    expect_that!(fixture.node.is_ready(), eq(true));
    let reached = ask_for(&mut fixture, 600);
    expect_that!(reached, not(contains(eq(&address(1)))));
    expect_that!(reached, len(ge(5)));
}
