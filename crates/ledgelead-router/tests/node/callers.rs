//! Which requests are served where callers need keys, and what instances learn of the caller.
//!
//! A node that ignores tenants passes on keys, forwards whatever tenant a caller claims to be,
//! and serves requests with keys that are unknown or revoked.

use crate::fixture::{Fixture, SERVICE, configuration, ms, owned_store, success};
use googletest::prelude::*;
use ledgelead_http::Headers;
use ledgelead_router::configuration::{Configuration, Route};
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::settings::NodeSettings;
use ledgelead_router::tenants::{KeyDigest, Tenant};
use std::sync::Arc;

fn tenant(name: &str, keys: &[&str], priority: Option<u32>) -> Arc<Tenant> {
    Arc::new(Tenant {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::new(key.as_bytes()))
            .collect(),
        priority,
        quota: None,
    })
}

/// Tenant `a` with two keys, and tenant `b`.
fn with_tenants(version: u64) -> Configuration {
    Configuration {
        tenants: vec![
            tenant("a", &["key-a", "key-a2"], None),
            tenant("b", &["key-b"], Some(0)),
        ],
        ..configuration(version)
    }
}

fn node(configuration: Configuration) -> Fixture {
    let mut fixture = Fixture::new(owned_store(configuration));
    fixture.run_until(ms(500));
    fixture.attempts.clear();
    fixture
}

/// Sends a request with these headers. Returns the headers that reach an instance, or the
/// status of the refusal.
fn send(fixture: &mut Fixture, headers: &[(&str, &str)]) -> std::result::Result<Headers, u16> {
    fixture.answers.clear();
    fixture.attempts.clear();
    fixture.request_with(SERVICE, 0, headers);
    match fixture.attempts.pop() {
        Some(sent) => {
            fixture.answer(sent.exchange, success());
            Ok(sent.headers)
        }
        None => Err(fixture.answers.pop().expect("a refusal").1.status),
    }
}

#[gtest]
fn request_with_an_unknown_or_missing_key_is_refused_at_once() {
    let mut fixture = node(with_tenants(1));
    expect_that!(send(&mut fixture, &[]), err(eq(&401)));
    expect_that!(send(&mut fixture, &[("caller-key", "")]), err(eq(&401)));
    expect_that!(
        send(&mut fixture, &[("caller-key", "key-c")]),
        err(eq(&401))
    );
    expect_that!(
        send(&mut fixture, &[("caller-key", "key-a ")]),
        err(eq(&401))
    );
    // A tenant's name is no key.
    expect_that!(send(&mut fixture, &[("tenant", "a")]), err(eq(&401)));
    expect_that!(send(&mut fixture, &[("caller-key", "a")]), err(eq(&401)));
}

#[gtest]
fn instances_learn_the_tenant_and_never_the_key() {
    let mut fixture = node(with_tenants(1));
    for (key, name) in [("key-a", "a"), ("key-a2", "a"), ("key-b", "b")] {
        let headers = [("caller-key", key), ("tenant", "b"), ("tenant", "c")];
        let sent = send(&mut fixture, &headers).expect("an attempt");
        expect_that!(sent.get("caller-key"), none());
        let names: Vec<&[u8]> = sent.all("tenant").collect();
        expect_that!(names, eq(&vec![name.as_bytes()]));
    }
}

/// A header that `Connection` names is not forwarded, but the tenant is none of the client's.
#[gtest]
fn client_cannot_remove_its_tenant_by_a_connection_header() {
    let mut fixture = node(with_tenants(1));
    let headers = [
        ("caller-key", "key-a"),
        ("tenant", "b"),
        ("connection", "keep-alive, Tenant, x-own"),
        ("x-own", "1"),
    ];
    let sent = send(&mut fixture, &headers).expect("an attempt");
    let names: Vec<&[u8]> = sent.all("tenant").collect();
    expect_that!(names, eq(&vec![b"a".as_slice()]));
    expect_that!(sent.get("x-own"), none());
    expect_that!(sent.get("caller-key"), none());
}

#[gtest]
fn anonymous_route_needs_no_key_but_accepts_no_unknown_one() {
    let mut open = with_tenants(1);
    for route in &mut open.routes {
        *route = Arc::new(Route {
            allows_anonymous: true,
            ..Route::clone(route)
        });
    }
    let mut fixture = node(open);
    let sent = send(&mut fixture, &[("tenant", "a")]).expect("an attempt");
    expect_that!(sent.get("tenant"), none());
    let sent = send(&mut fixture, &[("caller-key", "key-a")]).expect("an attempt");
    expect_that!(sent.text("tenant"), some(eq("a")));
    expect_that!(
        send(&mut fixture, &[("caller-key", "key-c")]),
        err(eq(&401))
    );
}

#[gtest]
fn keys_follow_the_configuration_in_force() {
    let mut store = owned_store(with_tenants(1));
    store.clear_coordinator();
    let mut fixture = Fixture::coordinating(store);
    let mut changed = with_tenants(2);
    changed.tenants[0] = tenant("a", &["key-a2"], None);
    changed.tenants[1] = tenant("b", &["key-b", "key-b2"], Some(0));
    fixture.store.put_configuration(changed);
    fixture.answer_watch_with_changes(ObjectKind::Configuration);
    expect_that!(fixture.node.status().configuration, some(eq(2)));
    expect_that!(
        send(&mut fixture, &[("caller-key", "key-a")]),
        err(eq(&401))
    );
    expect_that!(
        send(&mut fixture, &[("caller-key", "key-b2")]),
        ok(anything())
    );
    expect_that!(
        send(&mut fixture, &[("caller-key", "key-b")]),
        ok(anything())
    );
}

#[gtest]
fn keys_are_refused_once_they_cannot_be_confirmed_if_operators_choose_so() {
    for (ttl, status) in [(None, None), (Some(ms(5_000)), Some(503))] {
        let settings = NodeSettings {
            caller_key_ttl: ttl,
            ..Fixture::settings()
        };
        let mut fixture = Fixture::with_settings(owned_store(with_tenants(1)), settings);
        fixture.run_until(ms(500));
        fixture.store.refuses_calls = true;
        fixture.answer_watches();
        fixture.run_until(ms(4_000));
        expect_that!(
            send(&mut fixture, &[("caller-key", "key-a")]),
            ok(anything())
        );
        fixture.run_until(ms(7_000));
        expect_that!(
            send(&mut fixture, &[("caller-key", "key-a")]).err(),
            eq(status)
        );
        // Keys that were confirmed again are accepted again.
        fixture.store.refuses_calls = false;
        for _ in 0..10 {
            fixture.run_until(fixture.now + ms(1_000));
            fixture.answer_watches();
        }
        expect_that!(
            send(&mut fixture, &[("caller-key", "key-a")]),
            ok(anything())
        );
    }
}

#[gtest]
fn without_tenants_all_headers_are_forwarded() {
    let mut fixture = node(configuration(1));
    let headers = [("caller-key", "any"), ("tenant", "any")];
    let sent = send(&mut fixture, &headers).expect("an attempt");
    expect_that!(sent.text("caller-key"), some(eq("any")));
    expect_that!(sent.text("tenant"), some(eq("any")));
}

#[gtest]
fn priority_of_a_tenant_replaces_that_of_the_route() {
    // A service whose callers have several priorities counts as contended.
    let contended = with_tenants(1).contended_services();
    expect_that!(contended.len(), eq(2));
    let mut equal = with_tenants(1);
    equal.tenants[1] = tenant("b", &["key-b"], Some(equal.routes[0].priority));
    expect_that!(equal.contended_services(), is_empty());
}

#[gtest]
fn digest_of_a_key_is_not_written_to_logs() {
    let text = format!("{:?}", with_tenants(1));
    expect_that!(text, not(contains_substring("key-a")));
    expect_that!(text, contains_substring("KeyDigest(..)"));
}
