//! Nodes that start without a coordinator.
//!
//! A first list may be a few seconds old, and the first watch follows only 1.2 s later. After
//! the loss of all nodes at 28.070 s, an instance began to drain at 28.463 s and the nodes
//! started at 31.109 s. Their first lists were from before the drain, and there was no
//! coordinator to announce it. So three of them sent the instance requests at 31.142 s, 0.68 s
//! after its bound of 2 s.

use crate::fixture::{Fixture, SERVICE, Store, configuration, instance, ms, node_record, success};
use googletest::prelude::*;
use std::net::SocketAddr;

fn address(number: u8) -> SocketAddr {
    instance(number, SERVICE).address
}

/// Sends a request every 100 ms for this time, all of them served. Returns the instances that
/// received one.
fn send_requests_for(fixture: &mut Fixture, duration_ms: u64) -> Vec<SocketAddr> {
    let mut receivers = Vec::new();
    let end = fixture.now + ms(duration_ms);
    while fixture.now < end {
        fixture.request(SERVICE, None);
        fixture.run_until(fixture.now + ms(100));
        while let Some(sent) = fixture.attempts.pop() {
            receivers.push(sent.address);
            fixture.answer(sent.exchange, success());
        }
    }
    receivers
}

/// Instances 1 and 2, of which the first is draining, while stale lists don't show that yet.
fn lagging_store() -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, SERVICE));
    for number in 0..3 {
        store.add_node(node_record(number));
    }
    store.clear_coordinator();
    store.answers_changes = true;
    store.freeze_stale_lists();
    let mut leaving = instance(1, SERVICE);
    leaving.draining = true;
    store.add_instance(leaving);
    store
}

#[gtest]
fn starting_node_avoids_an_instance_that_drains_after_its_stale_list() {
    let mut fixture = Fixture::new(lagging_store());
    fixture.run_until(ms(100));
    expect_that!(fixture.node.is_ready(), eq(true));
    let receivers = send_requests_for(&mut fixture, 600);
    expect_that!(receivers, not(contains(eq(&address(1)))));
    expect_that!(receivers, len(ge(5)));
}
