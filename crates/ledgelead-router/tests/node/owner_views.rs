//! Keyed requests at nodes that may not know the newest owners, and acknowledgements of the
//! ownership record.
//!
//! An owner that executes a grant late, after its lease has expired, serves requests of nodes
//! that don't know its successor.

use crate::fixture::{
    Fixture, KEYED, SERVICE, all_keys_of, configuration, ms, node_address, owned_store, success,
};
use googletest::prelude::*;
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::peers::{Heartbeat, PeerMessage};
use ledgelead_types::codec::List;
use std::time::Duration;

const COORDINATOR: u8 = 1;
/// The epoch of the fixture's record.
const EPOCH: u64 = 4;
/// For so long, a node that hears nothing sends keyed requests.
const IN_USE: Duration = Duration::from_millis(14_300);
/// After that time, it sends none.
const OUTDATED: Duration = Duration::from_millis(14_500);

/// A node that has just heard the coordinator.
fn follower() -> Fixture {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(500));
    let revision = record_revision(&fixture);
    hear_coordinator(&mut fixture, revision);
    fixture
}

/// The same, which the store refuses from then on.
fn refused_follower() -> Fixture {
    let mut fixture = follower();
    fixture.store.refuses_calls = true;
    fixture
}

fn record_revision(fixture: &Fixture) -> u64 {
    let revision = fixture.store.revision_of(ObjectKind::Ownership, "record");
    revision.expect("a record")
}

fn hear_coordinator(fixture: &mut Fixture, record_revision: u64) {
    let heartbeat = PeerMessage::CoordinatorHeartbeat(Heartbeat {
        epoch: EPOCH,
        sent_ms: u64::try_from(fixture.now.as_millis()).expect("a short test"),
        store_serves: true,
        record_revision,
        configuration_version: 1,
        instances_revision: 0,
        nodes_revision: 0,
        age_ms: 0,
        instances_age_ms: 0,
        served_for_ms: 5_000,
        overloads: List(Vec::new()),
        evacuations: EvacuationsEntry::default(),
        evidence_checksum: 0,
    });
    fixture.receive(node_address(COORDINATOR), &heartbeat);
}

/// Whether a request is sent to an instance at once.
fn is_sent(fixture: &mut Fixture, service: &str, key: Option<u16>) -> bool {
    fixture.attempts.clear();
    fixture.request(service, key);
    let attempt = fixture.attempts.pop();
    if let Some(sent) = &attempt {
        fixture.answer(sent.exchange, success());
    }
    attempt.is_some()
}

#[gtest]
fn node_that_hears_nothing_sends_no_keyed_requests_to_owners_of_the_past() {
    let mut fixture = refused_follower();
    let heard = fixture.now;
    fixture.run_until(heard + IN_USE);
    expect_that!(is_sent(&mut fixture, KEYED, Some(7)), eq(true));
    fixture.run_until(heard + OUTDATED);
    expect_that!(is_sent(&mut fixture, KEYED, Some(7)), eq(false));
    expect_that!(is_sent(&mut fixture, SERVICE, None), eq(true));
    let revision = record_revision(&fixture);
    hear_coordinator(&mut fixture, revision);
    expect_that!(is_sent(&mut fixture, KEYED, Some(7)), eq(true));
}

#[gtest]
fn heartbeat_with_a_newer_record_confirms_no_owners() {
    let mut fixture = refused_follower();
    let heard = fixture.now;
    fixture.run_until(heard + ms(5_000));
    let newer = record_revision(&fixture) + 1;
    hear_coordinator(&mut fixture, newer);
    fixture.run_until(heard + OUTDATED);
    expect_that!(is_sent(&mut fixture, KEYED, Some(7)), eq(false));
}

/// The first list of a node that starts may be some seconds old.
#[gtest]
fn first_record_is_not_used_once_a_newer_one_is_announced() {
    let mut fixture = Fixture::new(owned_store(configuration(1)));
    fixture.run_until(ms(500));
    fixture.store.refuses_calls = true;
    let newer = record_revision(&fixture) + 1;
    hear_coordinator(&mut fixture, newer);
    expect_that!(is_sent(&mut fixture, KEYED, Some(7)), eq(false));
}

/// Asks a node for an acknowledgement; returns how many it has sent since.
fn acknowledgements(fixture: &mut Fixture, revision: u64) -> usize {
    fixture.datagrams.clear();
    let request = PeerMessage::OwnershipAckRequest { revision };
    fixture.receive(node_address(COORDINATOR), &request);
    fixture.sent("ownership_ack")
}

#[gtest]
fn node_acknowledges_a_record_that_it_knows() {
    let mut fixture = follower();
    let known = record_revision(&fixture);
    expect_that!(acknowledgements(&mut fixture, known), eq(1));
    expect_that!(acknowledgements(&mut fixture, known + 1), eq(0));
}

#[gtest]
fn node_with_a_request_at_a_former_owner_acknowledges_nothing_before_that_ends() {
    let mut fixture = follower();
    fixture.request(KEYED, Some(7));
    let sent = fixture.attempts.pop().expect("an attempt");
    fixture.store.put_ownership(all_keys_of("i-4", COORDINATOR));
    let known = record_revision(&fixture);
    hear_coordinator(&mut fixture, known);
    fixture.run_until(fixture.now + ms(400));
    expect_that!(acknowledgements(&mut fixture, known), eq(0));
    fixture.answer(sent.exchange, success());
    expect_that!(acknowledgements(&mut fixture, known), eq(1));
}
