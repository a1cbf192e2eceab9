//! A node that lacks processor time says so, since all that it does is late.

use crate::fixture::{Fixture, SERVICE, Store, configuration, instance, ms, node_record};
use googletest::prelude::*;
use ledgelead_router::io::Input;

#[gtest]
fn timer_of_a_request_that_is_handled_late_is_counted() {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_node(node_record(0));
    let mut fixture = Fixture::coordinating(store);
    fixture.request(SERVICE, None);
    fixture.run_until(fixture.now + ms(10));
    expect_that!(fixture.node.status().late_timers, eq(0));
    fixture.now += ms(10_000);
    fixture.step(Input::Deadline);
    expect_that!(fixture.node.status().late_timers, eq(1));
}
