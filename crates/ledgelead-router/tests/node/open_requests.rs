//! In-flight counts among the nodes of a zone.

use crate::fixture::{Fixture, SERVICE, Store, configuration, instance, ms, node_record};
use googletest::prelude::*;
use ledgelead_http::Response;

/// A node with this many peers in its zone that has taken one request each
/// 20 ms for five seconds, each answered after 30 ms.
fn busy_node(peers: u8, load: Option<&str>) -> Fixture {
    let mut store = Store::default();
    store.configure(configuration(1));
    for number in 0..6 {
        store.add_instance(instance(number, SERVICE));
    }
    for number in 0..=peers {
        store.add_node(node_record(number));
    }
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(200));
    for _ in 0..250 {
        fixture.run_until(fixture.now + ms(20));
        fixture.ask(SERVICE, None);
        answer_old(&mut fixture, load);
    }
    fixture
}

fn answer_old(fixture: &mut Fixture, load: Option<&str>) {
    while let Some(oldest) = fixture.attempts.first() {
        if oldest.at + ms(30) > fixture.now {
            return;
        }
        let sent = fixture.attempts.remove(0);
        let mut response = Response::new(200, "done");
        response.headers.push("signature", "s");
        if let Some(load) = load {
            response.headers.push("load", load);
        }
        fixture.answer(sent.exchange, response);
    }
}

#[gtest]
fn counts_are_shared_at_once_in_a_small_zone() {
    let fixture = busy_node(3, Some("1,0,4"));
    // 250 requests begin and end; a batch each 30 ms holds what changed.
    expect_that!(fixture.sent("open_requests") / 3, all!(gt(100), lt(200)));
}

#[gtest]
fn datagrams_with_counts_do_not_grow_with_the_zone() {
    let small = busy_node(8, None).sent("open_requests");
    let large = busy_node(100, None).sent("open_requests");
    // At most 100 a second, and what is announced again each 700 ms.
    expect_that!(small, le(600));
    expect_that!(large, le(600 + 100 * 8));
}

#[gtest]
fn a_large_zone_goes_by_what_instances_report() {
    let fixture = busy_node(100, Some("1,0,4"));
    // Only before the first answer is it unknown that instances report.
    expect_that!(fixture.sent("open_requests"), le(100));
    expect_that!(busy_node(100, None).sent("open_requests"), gt(200));
}
