//! Keys with more requests than their owner can process.

use crate::fixture::{
    Fixture, KEYED, SERVICE, Store, all_keys_of, completed, configuration, instance, ms,
    node_address, node_record, success,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::identity::{InstanceId, ServiceName};
use ledgelead_router::peers::{DigestEntry, Heartbeat, KeyReport, PeerMessage, WorkReport};
use ledgelead_router::requests::OverloadedKey;
use ledgelead_types::codec::List;

const COORDINATOR: u8 = 1;
const HOT: u16 = 700;

/// A node whose coordinator announces that a tenth of the requests for one key can be
/// admitted.
fn node() -> Fixture {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, KEYED));
    for number in 0..3 {
        store.add_node(node_record(number));
    }
    store.put_ownership(all_keys_of("i-1", COORDINATOR));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(100));
    announce(&mut fixture, Some(100));
    fixture
}

fn announce(fixture: &mut Fixture, admitted_permille: Option<u16>) {
    let key = |admitted_permille| OverloadedKey {
        service: ServiceName::from(KEYED).stable_hash(),
        key: HOT,
        admitted_permille,
    };
    let record = fixture.store.revision_of(ObjectKind::Ownership, "record");
    let message = PeerMessage::CoordinatorHeartbeat(Heartbeat {
        epoch: 4,
        sent_ms: u64::try_from(fixture.now.as_millis()).expect("a short test"),
        store_serves: true,
        record_revision: record.expect("a record"),
        configuration_version: 1,
        instances_revision: 0,
        nodes_revision: 0,
        age_ms: 0,
        instances_age_ms: 0,
        served_for_ms: 100,
        overloads: List(admitted_permille.map(key).into_iter().collect()),
        evacuations: EvacuationsEntry::default(),
        evidence_checksum: 0,
    });
    fixture.receive(node_address(COORDINATOR), &message);
}

/// How many of 400 requests for a key reach its owner. The others are refused immediately as
/// not run.
fn count_admitted(fixture: &mut Fixture, key: u16) -> usize {
    fixture.attempts.clear();
    fixture.answers.clear();
    for _ in 0..400 {
        let client = fixture.request(KEYED, Some(key));
        if let Some(sent) = fixture.attempts.last() {
            // The owner answers before the next request arrives.
            let mut response = success();
            response.headers.push("load", "1,0,4");
            let exchange = sent.exchange;
            fixture.answer(exchange, response);
        }
        let answered = fixture.answers.iter().any(|(to, _)| *to == client);
        assert!(answered, "each is answered at once");
    }
    let refused = fixture
        .answers
        .iter()
        .filter(|(_, response)| response.status == 503);
    for (_, response) in refused.clone() {
        let pause: f64 = response
            .headers
            .text("retry-after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0);
        assert!(pause >= 0.6, "such a key stays overloaded for a while");
    }
    expect_that!(refused.count() + fixture.attempts.len(), eq(400));
    fixture.attempts.len()
}

#[gtest]
fn only_the_admitted_share_of_an_overloaded_key_reaches_its_owner() {
    let mut fixture = node();
    expect_that!(count_admitted(&mut fixture, HOT), all!(ge(20), le(70)));
    expect_that!(count_admitted(&mut fixture, HOT + 1), eq(400));
}

#[gtest]
fn all_requests_are_admitted_once_the_coordinator_says_so_or_is_silent() {
    let mut fixture = node();
    announce(&mut fixture, None);
    expect_that!(count_admitted(&mut fixture, HOT), eq(400));
    let mut fixture = node();
    fixture.run_until(fixture.now + ms(800));
    expect_that!(count_admitted(&mut fixture, HOT), eq(400));
}

/// Receives the report of a node with 300 requests per second for the hot key and a few for
/// others. The owner answers 40 per second with all slots in use.
fn report(fixture: &mut Fixture, owner: &InstanceId) {
    let mut keys = vec![HOT; 15];
    keys.push(HOT + 900);
    let message = PeerMessage::LoadReport {
        configuration_version: 1,
        nodes_revision: 0,
        reports: List(vec![KeyReport {
            service: ServiceName::from(KEYED).stable_hash(),
            keys: List(keys),
        }]),
        work: List(vec![WorkReport {
            instance: owner.stable_hash(),
            answered: 2,
            busy_ms: 200,
        }]),
    };
    fixture.receive(node_address(2), &message);
}

fn last_overloads(fixture: &Fixture) -> Vec<OverloadedKey> {
    let heartbeats = fixture.datagrams.iter().rev();
    let last = heartbeats
        .filter_map(|(_, _, message)| match message {
            PeerMessage::CoordinatorHeartbeat(heartbeat) => Some(heartbeat.overloads.0.clone()),
            _ => None,
        })
        .next();
    last.expect("a heartbeat")
}

/// Answers all outstanding orders, and advances the time.
fn complete_orders(fixture: &mut Fixture) {
    for order in std::mem::take(&mut fixture.attempts) {
        fixture.answer(order.exchange, completed(&order));
    }
    fixture.run_until(fixture.now + ms(50));
}

#[gtest]
fn coordinator_announces_an_overloaded_key() {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 1..5 {
        store.add_instance(instance(number, KEYED));
    }
    for number in 0..3 {
        store.add_node(node_record(number));
    }
    let mut fixture = Fixture::new(store);
    for _ in 0..200 {
        complete_orders(&mut fixture);
    }
    assert!(fixture.node.coordinator().is_some());
    expect_that!(last_overloads(&fixture), is_empty());
    for _ in 0..160 {
        let owner = fixture.owner_of(HOT).expect("an owner");
        report(&mut fixture, &owner);
        complete_orders(&mut fixture);
    }
    let announced = last_overloads(&fixture);
    expect_that!(announced.len(), eq(1));
    expect_that!(announced[0].key, eq(HOT));
    // 1.1 times 40 of 300 requests per second, less the share of other keys.
    expect_that!(announced[0].admitted_permille, all!(ge(50), le(180)));
    for _ in 0..60 {
        complete_orders(&mut fixture);
    }
    expect_that!(last_overloads(&fixture), is_empty());
}

/// Receives a digest about the only instance without keys, with its open requests and its
/// service time in milliseconds.
fn digest(fixture: &mut Fixture, open: u16, service_ms: u16) {
    let entry = DigestEntry {
        instance: instance(1, SERVICE).id.stable_hash(),
        open,
        service_ms,
        slowness: 100,
    };
    let message = PeerMessage::LoadDigest {
        zones: 1,
        idle_limit_ms: 0,
        entries: List(vec![entry]),
    };
    fixture.receive(node_address(1), &message);
}

/// A node whose only instance without keys has a service time of 330 ms and a queue.
fn node_with_full_instance() -> Fixture {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_node(node_record(0));
    store.add_node(node_record(1));
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(900));
    for _ in 0..4 {
        fixture.request(SERVICE, None);
    }
    fixture.run_until(fixture.now + ms(500));
    for sent in std::mem::take(&mut fixture.attempts) {
        let mut response = Response::new(200, "");
        response.headers.push("signature", "s");
        response.headers.push("load", "4,2,4");
        fixture.answer(sent.exchange, response);
    }
    fixture.answers.clear();
    fixture
}

/// Seconds after which a refused client may retry.
fn retry_after(fixture: &Fixture) -> f64 {
    let (_, response) = fixture.answers.last().expect("an answer");
    expect_that!(response.status, eq(503));
    let text = response.headers.text("retry-after").expect("a time");
    text.parse().expect("a number")
}

#[gtest]
fn request_that_cannot_be_answered_in_time_waits_briefly_and_is_refused() {
    let mut fixture = node_with_full_instance();
    digest(&mut fixture, 6, 330);
    fixture.request(SERVICE, None);
    expect_that!(fixture.attempts, is_empty());
    expect_that!(fixture.answers, is_empty());
    fixture.run_until(fixture.now + ms(100));
    let first = retry_after(&fixture);
    expect_that!(first, all!(ge(0.15), lt(1.0)));
    // If nearly all requests are refused, callers are told to retry later.
    digest(&mut fixture, 6, 330);
    for _ in 0..60 {
        fixture.request(SERVICE, None);
    }
    fixture.run_until(fixture.now + ms(100));
    expect_that!(fixture.attempts, is_empty());
    expect_that!(retry_after(&fixture), all!(ge(0.8), gt(first)));
    // Without digests, requests are sent to find out the state of the instance.
    fixture.run_until(fixture.now + ms(750));
    fixture.request(SERVICE, None);
    expect_that!(fixture.attempts.len(), eq(1));
}

#[gtest]
fn digest_admits_fewer_requests_than_exact_counts() {
    let mut fixture = node_with_full_instance();
    // 583 ms by the instance's own report, more than the target of 400 ms; a digest of the same
    // load gives the same estimate.
    fixture.request(SERVICE, None);
    expect_that!(fixture.attempts, is_empty());
    // 300 ms are within the target, but not within six tenths of it.
    digest(&mut fixture, 5, 200);
    fixture.request(SERVICE, None);
    expect_that!(fixture.attempts, is_empty());
}
