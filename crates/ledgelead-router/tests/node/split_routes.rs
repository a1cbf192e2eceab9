//! Which requests of a split route a node sends to the owners of keys.

use crate::fixture::{Fixture, KEYED, SERVICE, Store, configuration, instance, ms, node_record};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::configuration::{Route, RouteTarget};
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::mechanisms::{Mechanism, Mechanisms};
use ledgelead_router::ownership::record::{Assignment, OwnershipRecord};
use std::sync::Arc;

/// Number of uploads in a test.
const UPLOADS: u16 = 400;
const LARGE: usize = 60_000;
const SMALL: usize = 1_000;

fn owned(first: u16, last: u16, owner: &str, fence: u64) -> Assignment {
    Assignment {
        service: ServiceName::from(KEYED),
        first,
        last,
        owner: InstanceId::from(owner),
        fence,
    }
}

/// A node in zone a. An owner in that zone has a quarter of the keys, one in zone b the
/// others. A route is split between the keyed service and one without keys.
fn node(mechanisms: Mechanisms) -> Fixture {
    let mut store = Store::default();
    let mut split = configuration(1);
    let target = |service: &str| RouteTarget {
        service: ServiceName::from(service),
        weight: 50.0,
    };
    split.routes.push(Arc::new(Route {
        name: "uploads".to_owned(),
        prefix: "/uploads/".to_owned(),
        targets: vec![target(SERVICE), target(KEYED)],
        ..(*split.routes[0]).clone()
    }));
    store.put_configuration(split);
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, KEYED));
    store.add_instance(InstanceRecord {
        zone: ZoneName::from("b"),
        ..instance(3, KEYED)
    });
    for number in 0..3 {
        store.add_node(node_record(number));
    }
    store.put_ownership(OwnershipRecord {
        epoch: 4,
        coordinator: Some(node_record(1).identity),
        next_fence: 9,
        assignments: vec![
            owned(0, 16_383, "i-2", 3),
            owned(16_384, u16::MAX, "i-3", 4),
        ],
        ..OwnershipRecord::default()
    });
    let mut fixture = Fixture::with_mechanisms(store, mechanisms);
    fixture.run_until(ms(900));
    fixture
}

/// Number of uploads received by each instance: the one without keys, the local owner, and the
/// owner in the other zone.
fn uploads(mechanisms: Mechanisms, body_bytes: usize) -> [usize; 3] {
    let mut fixture = node(mechanisms);
    let mut counts = [0; 3];
    for number in 0..UPLOADS {
        fixture.attempts.clear();
        let key = number.wrapping_mul(40_503);
        fixture.upload("uploads", Some(key), body_bytes);
        let sent = fixture.attempts.pop().expect("an attempt");
        let at = [1, 2, 3].map(|number| instance(number, SERVICE).address);
        let position = at.iter().position(|address| *address == sent.address);
        counts[position.expect("a known instance")] += 1;
        let mut response = Response::new(200, "");
        response.headers.push("signature", "s");
        fixture.answer(sent.exchange, response);
    }
    counts
}

#[gtest]
fn large_uploads_prefer_owners_in_the_own_zone_and_keep_the_share() {
    let [unkeyed, _, remote] = uploads(Mechanisms::default(), LARGE);
    expect_that!(unkeyed, all![ge(190), le(210)]);
    // By weight alone, 150 uploads of the keyed half would go to the owner in the other zone.
    expect_that!(remote, lt(115));
}

#[gtest]
fn small_requests_are_distributed_as_without_the_mechanism() {
    let off = Mechanisms::without(Mechanism::SplitLocality);
    let counts = uploads(Mechanisms::default(), SMALL);
    expect_that!(counts, eq(uploads(off, SMALL)));
    expect_that!(counts, eq(uploads(off, LARGE)));
    expect_that!(counts[2], gt(125));
}
