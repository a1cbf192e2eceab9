//! Quotas of tenants: what a caller gets beyond one, and how nodes learn of the requests at
//! other nodes.
//!
//! Without them a node serves all requests of a tenant, whatever its quota.

use crate::fixture::{Fixture, SERVICE, configuration, ms, node_address, owned_store, success};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::configuration::Configuration;
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::io::ExchangeFailure;
use ledgelead_router::peers::{PeerMessage, QuotaCountsEntry, QuotaShareEntry};
use ledgelead_router::quota::Quota;
use ledgelead_router::tenants::{KeyDigest, Tenant};
use ledgelead_types::codec::List;
use std::sync::Arc;

/// The epoch of the coordinator in the record.
const EPOCH: u64 = 4;

fn tenant(quota: Option<Quota>) -> Tenant {
    Tenant {
        name: "a".to_owned(),
        keys: [KeyDigest::new(b"key-a")].into(),
        priority: None,
        quota,
    }
}

/// A configuration with one tenant.
fn limited(version: u64, rate: f64) -> Configuration {
    Configuration {
        tenants: vec![Arc::new(tenant(Quota::new(rate, rate)))],
        ..configuration(version)
    }
}

/// One of three nodes.
fn node_of_three(rate: f64) -> Fixture {
    let mut fixture = Fixture::new(owned_store(limited(1, rate)));
    fixture.run_until(ms(500));
    fixture.attempts.clear();
    fixture.answers.clear();
    fixture
}

/// The coordinator of three nodes.
fn coordinator(rate: f64) -> Fixture {
    let mut store = owned_store(limited(1, rate));
    store.clear_coordinator();
    Fixture::coordinating(store)
}

/// Sends a request of the tenant, and answers its attempt. Returns the response.
fn send(fixture: &mut Fixture) -> Response {
    fixture.answers.clear();
    fixture.attempts.clear();
    fixture.request_with(SERVICE, 0, &[("caller-key", "key-a")]);
    if let Some(sent) = fixture.attempts.pop() {
        fixture.answer(sent.exchange, success());
    }
    fixture.answers.pop().expect("an answer at once").1
}

/// Number of requests served of these many at once.
fn served_of(fixture: &mut Fixture, requests: usize) -> usize {
    let statuses = (0..requests).map(|_| send(fixture).status);
    statuses.filter(|status| *status == 200).count()
}

/// The shares announced last.
fn announced(fixture: &Fixture) -> Option<QuotaShareEntry> {
    let mut messages = fixture.datagrams.iter().rev();
    messages.find_map(|(_, _, message)| match message {
        PeerMessage::QuotaShares { shares, .. } => shares.first().copied(),
        _ => None,
    })
}

fn share(epoch: u64, current: u16) -> PeerMessage {
    let shares = List(vec![QuotaShareEntry {
        tenant: tenant(None).stable_hash(),
        current,
        steady: current,
    }]);
    PeerMessage::QuotaShares { epoch, shares }
}

/// A report of this many new requests, all of them admitted.
fn report(total: u32, recent: u32) -> PeerMessage {
    PeerMessage::QuotaReport {
        incarnation: 1,
        counts: List(vec![QuotaCountsEntry {
            tenant: tenant(None).stable_hash(),
            arrived: total,
            admitted: total,
            recent_arrived: recent,
            recent_admitted: recent,
        }]),
    }
}

#[gtest]
fn request_beyond_the_quota_is_refused_at_once_with_a_retry_time() {
    let mut fixture = node_of_three(10.0);
    // The burst and a margin.
    expect_that!(served_of(&mut fixture, 100), all!(ge(10), le(20)));
    let refused = send(&mut fixture);
    expect_that!(refused.status, eq(429));
    expect_that!(refused.body, eq(b"quota_exceeded"));
    let retry_after: Option<f64> = refused.headers.number("retry-after");
    expect_that!(retry_after, some(all!(gt(0.0), le(4.0))));
    expect_that!(fixture.attempts, is_empty());
    let refusals = &fixture.node.status().requests.refused;
    expect_that!(refusals.get("quota_exceeded").copied(), some(gt(80)));
    // Tokens are added at the rate.
    fixture.run_until(fixture.now + ms(1_000));
    expect_that!(served_of(&mut fixture, 100), all!(ge(9), le(11)));
}

#[gtest]
fn tenant_without_a_quota_is_not_limited() {
    let mut fixture = node_of_three(0.0);
    expect_that!(served_of(&mut fixture, 100), eq(100));
    fixture.run_until(fixture.now + ms(500));
    expect_that!(fixture.sent("quota_report"), eq(0));
}

#[gtest]
fn announced_share_applies() {
    let mut fixture = node_of_three(1_000.0);
    expect_that!(served_of(&mut fixture, 100), eq(100));
    fixture.receive(node_address(1), &share(EPOCH, u16::MAX / 4));
    expect_that!(served_of(&mut fixture, 100), all!(ge(24), le(26)));
    fixture.receive(node_address(1), &share(EPOCH, u16::MAX));
    expect_that!(served_of(&mut fixture, 100), eq(100));
}

#[gtest]
fn share_of_a_former_coordinator_is_ignored() {
    let mut fixture = node_of_three(1_000.0);
    send(&mut fixture);
    fixture.receive(node_address(1), &share(EPOCH - 1, 0));
    expect_that!(send(&mut fixture).status, eq(200));
}

#[gtest]
fn requests_are_reported_to_the_coordinator() {
    let mut fixture = node_of_three(10.0);
    served_of(&mut fixture, 100);
    fixture.run_until(fixture.now + ms(250));
    let report = fixture
        .datagrams
        .iter()
        .filter_map(|(_, to, message)| match message {
            PeerMessage::QuotaReport { counts, .. } => Some((*to, counts[0])),
            _ => None,
        })
        .next_back();
    let (to, counts) = report.expect("a report");
    expect_that!(to, eq(node_address(1)));
    expect_that!(counts.arrived, eq(100));
    expect_that!(counts.admitted, all!(ge(10), le(20)));
    fixture.datagrams.clear();
    fixture.run_until(fixture.now + ms(1_000));
    expect_that!(fixture.sent("quota_report"), eq(0));
}

#[gtest]
fn coordinator_announces_shares_of_a_tenant_beyond_its_quota() {
    let mut fixture = coordinator(100.0);
    send(&mut fixture);
    for number in 1..=10 {
        // 600 requests a second at two other nodes.
        fixture.receive(node_address(1), &report(number * 60, 60));
        fixture.receive(node_address(2), &report(number * 60, 60));
        fixture.run_until(fixture.now + ms(200));
    }
    let share = announced(&fixture).expect("an announcement");
    expect_that!(share.current, lt(u16::MAX / 4));
    // The coordinator applies it as well.
    expect_that!(served_of(&mut fixture, 100), le(25));
}

#[gtest]
fn coordinator_announces_nothing_below_the_quota() {
    let mut fixture = coordinator(100.0);
    for number in 1..=20 {
        fixture.receive(node_address(1), &report(number * 18, 18));
        fixture.run_until(fixture.now + ms(200));
    }
    expect_that!(fixture.sent("quota_shares"), eq(0));
}

#[gtest]
fn lowered_quota_applies_with_the_configuration() {
    let mut store = owned_store(limited(1, 1_000.0));
    store.clear_coordinator();
    let mut fixture = Fixture::coordinating(store);
    expect_that!(served_of(&mut fixture, 200), eq(200));
    fixture.store.put_configuration(limited(2, 10.0));
    fixture.answer_watch_with_changes(ObjectKind::Configuration);
    fixture.run_until(fixture.now + ms(1_000));
    expect_that!(served_of(&mut fixture, 100), le(30));
}

#[gtest]
fn retry_of_a_request_is_not_counted() {
    let mut fixture = node_of_three(1.0);
    fixture.request_with(SERVICE, 0, &[("caller-key", "key-a")]);
    let sent = fixture.attempts.pop().expect("an attempt");
    fixture.end(sent.exchange, Err(ExchangeFailure::Refused));
    fixture.run_until(fixture.now + ms(250));
    let arrived = fixture
        .datagrams
        .iter()
        .filter_map(|(_, _, message)| match message {
            PeerMessage::QuotaReport { counts, .. } => Some(counts[0].arrived),
            _ => None,
        });
    expect_that!(arrived.max(), some(eq(1)));
}
