//! Revisions of a store that can be restored from a backup.

use googletest::prelude::*;
use ledgelead_router::dialect::{Object, ObjectContent, ObjectKind, StoreAnswer, StoreCall};
use ledgelead_router::directory::{Directory, InstanceRecord, Presence};
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::protections::Protections;
use ledgelead_router::store::{MAX_ERA, era_of, first_in_era, with_era, with_store_revisions};
use std::net::SocketAddr;
use std::time::Duration;

fn events(revision: u64) -> StoreAnswer {
    StoreAnswer::Events {
        events: Vec::new(),
        revision,
    }
}

/// The revision of an answer in an era; none if it is out of bounds.
fn in_era(era: u64, revision: u64) -> Option<u64> {
    match with_era(era, events(revision)) {
        Ok(StoreAnswer::Events { revision, .. }) => Some(revision),
        _ => None,
    }
}

#[gtest]
fn revisions_of_an_era_are_above_those_of_earlier_eras() {
    let last = first_in_era(1) - 1;
    let first = in_era(1, 1).expect("a revision");
    expect_that!(first, gt(last));
    expect_that!(era_of(first), eq(1));
    expect_that!(in_era(2, 1), gt(in_era(1, last)));
    // Stores without an era keep their own revisions.
    expect_that!(in_era(0, 17), some(eq(17)));
}

#[gtest]
fn revisions_out_of_bounds_are_errors() {
    expect_that!(in_era(1, first_in_era(1)), none());
    expect_that!(in_era(MAX_ERA, 1), some(anything()));
    expect_that!(in_era(MAX_ERA + 1, 1), none());
    let object = Object {
        name: "a".to_owned(),
        revision: u64::MAX,
        content: Ok(ObjectContent::Evacuation(ZoneName::from("z"))),
    };
    let listed = StoreAnswer::Objects {
        objects: vec![object],
        more: false,
        revision: 3,
    };
    let Ok(StoreAnswer::Objects { objects, .. }) = with_era(1, listed) else {
        panic!("the list can be read");
    };
    expect_that!(objects[0].content.is_err(), eq(true));
}

#[gtest]
fn calls_carry_the_stores_own_revisions() {
    let watch = StoreCall::Watch {
        kind: ObjectKind::Instances,
        revision: first_in_era(3) | 41,
        wait: Duration::ZERO,
    };
    match with_store_revisions(&watch) {
        StoreCall::Watch { revision, .. } => expect_that!(revision, eq(41)),
        call => panic!("{call:?}"),
    }
}

#[gtest]
fn an_entry_from_a_backup_does_not_make_a_leaving_instance_serve_again() {
    let ready = InstanceRecord {
        id: InstanceId::from("a"),
        service: ServiceName::from("s"),
        address: SocketAddr::from(([10, 0, 1, 1], 8_000)),
        zone: ZoneName::from("z"),
        slots: 2,
        draining: false,
        warmup_left: Duration::ZERO,
    };
    let draining = InstanceRecord {
        draining: true,
        ..ready.clone()
    };
    let at = Duration::from_secs;
    let mut directory = Directory::new(Protections::default());
    directory.replace_all(vec![draining], at(1));
    directory.begin_era(at(2));
    directory.replace_all(vec![ready], at(3));
    let known = directory.get(&InstanceId::from("a")).expect("it is known");
    expect_that!(
        matches!(known.presence, Presence::Draining { .. }),
        eq(true)
    );
}
