//! Sharing of open request counts among the nodes of a zone.

use crate::fixture::{Fixture, SERVICE, Store, configuration, instance, ms, node_address};
use crate::fixture::{node_record, success};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::identity::{InstanceId, ZoneName};
use ledgelead_router::peers::{DigestEntry, NodeRecord, OpenRequests, PeerMessage};
use ledgelead_types::codec::List;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A node with this many peers in its zone that has received a request every 20 ms for five
/// seconds, each answered after 30 ms.
fn busy_node(peers: u8, load: Option<&str>) -> Fixture {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
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
        fixture.request(SERVICE, None);
        answer_due_attempts(&mut fixture, load);
    }
    fixture
}

fn answer_due_attempts(fixture: &mut Fixture, load: Option<&str>) {
    while let Some(oldest) = fixture.attempts.first() {
        if oldest.at + ms(30) > fixture.now {
            return;
        }
        let sent = fixture.attempts.remove(0);
        let mut response = success();
        if let Some(load) = load {
            response.headers.push("load", load);
        }
        fixture.answer(sent.exchange, response);
    }
}

#[gtest]
fn counts_are_shared_promptly_in_a_small_zone() {
    let fixture = busy_node(3, Some("1,0,4"));
    // 250 requests start and end; a batch every 30 ms contains the changes.
    expect_that!(fixture.sent("open_requests") / 3, all!(gt(100), lt(200)));
}

#[gtest]
fn count_datagrams_do_not_grow_with_the_zone() {
    let small = busy_node(8, None).sent("open_requests");
    let large = busy_node(100, None).sent("open_requests");
    // At most 100 per second, plus the refreshes every 700 ms.
    expect_that!(small, le(600));
    expect_that!(large, le(600 + 100 * 8));
}

/// A node with this many peers in its zone, after it has received requests for some seconds.
/// Node 1 has the largest CPU share and node 2 the next.
fn node_with_hub(peers: u8, seconds: u64, mut each: impl FnMut(&mut Fixture)) -> Fixture {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 0..6 {
        store.add_instance(instance(number, SERVICE));
    }
    for number in 0..=peers {
        store.add_node(NodeRecord {
            millicores: [200, 900, 800]
                .get(usize::from(number))
                .copied()
                .unwrap_or(100),
            ..node_record(number)
        });
    }
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(200));
    for _ in 0..seconds * 50 {
        fixture.run_until(fixture.now + ms(20));
        fixture.request(SERVICE, None);
        answer_due_attempts(&mut fixture, Some("1,0,4"));
        each(&mut fixture);
    }
    fixture
}

/// Receivers of counts, with the time of their last message.
fn receivers_of_counts(fixture: &Fixture) -> BTreeMap<SocketAddr, Duration> {
    let counts = fixture
        .datagrams
        .iter()
        .filter(|(_, _, message)| message.kind() == "open_requests");
    counts.map(|(at, to, _)| (*to, *at)).collect()
}

fn digest(instance: u64, open: u16) -> PeerMessage {
    let entry = DigestEntry {
        instance,
        open,
        service_ms: 30,
        slowness: 0,
    };
    PeerMessage::LoadDigest {
        zones: 3,
        idle_limit_ms: 0,
        entries: List(vec![entry]),
    }
}

#[gtest]
fn large_zone_sends_counts_only_to_its_hub() {
    let hub = node_address(1);
    let fixture = node_with_hub(100, 5, |fixture| {
        fixture.receive(hub, &digest(1, 0));
    });
    // Ten per second, plus the refreshes every 700 ms.
    expect_that!(fixture.sent("open_requests"), all!(gt(30), le(60)));
    let receivers = receivers_of_counts(&fixture);
    expect_that!(
        receivers.keys().copied().collect::<Vec<_>>(),
        eq(&vec![hub])
    );
}

#[gtest]
fn node_without_digests_switches_to_the_next_hub() {
    let fixture = node_with_hub(100, 3, |_| {});
    let receivers = receivers_of_counts(&fixture);
    expect_that!(receivers.contains_key(&node_address(1)), eq(true));
    expect_that!(receivers.contains_key(&node_address(2)), eq(true));
}

#[gtest]
fn node_that_receives_counts_sends_digests() {
    let reporters = [node_address(5), node_address(6)];
    let counted = InstanceId::from("i-1").stable_hash();
    let mut fixture = node_with_hub(40, 1, |_| {});
    let open = |count| PeerMessage::OpenRequestCounts {
        incarnation: 1,
        idle_limit_ms: 0,
        changes: List(vec![OpenRequests {
            instance: counted,
            count,
            answered: 2,
            busy_ms: 100,
            slowness: 300,
        }]),
    };
    fixture.receive(reporters[0], &open(3));
    fixture.receive(reporters[1], &open(4));
    let own_attempts = fixture
        .attempts
        .iter()
        .filter(|sent| sent.address == instance(1, SERVICE).address);
    let own = u16::try_from(own_attempts.count()).expect("few");
    fixture.datagrams.clear();
    fixture.run_until(fixture.now + ms(120));
    for reporter in reporters {
        let sums = fixture
            .datagrams
            .iter()
            .find_map(|(_, to, message)| match message {
                PeerMessage::LoadDigest { entries, .. } if *to == reporter => entries
                    .0
                    .iter()
                    .copied()
                    .find(|entry| entry.instance == counted),
                _ => None,
            });
        let sums = sums.expect("a digest with the instance");
        expect_that!(sums.open, eq(7 + own));
        expect_that!(sums.slowness, eq(300));
        expect_that!(sums.service_ms, all!(ge(29), le(51)));
    }
}

#[gtest]
fn digest_shows_open_requests_of_other_nodes() {
    let hub = node_address(1);
    let mut fixture = node_with_hub(100, 1, |fixture| {
        fixture.receive(hub, &digest(1, 0));
    });
    // Five of the six instances are full.
    for number in 0..5 {
        let id = instance(number, SERVICE).id;
        fixture.receive(hub, &digest(id.stable_hash(), 40));
    }
    for _ in 0..8 {
        fixture.attempts.clear();
        fixture.request(SERVICE, None);
        expect_that!(
            fixture.attempts[0].address,
            eq(instance(5, SERVICE).address)
        );
        fixture.end(fixture.attempts[0].exchange, Ok(Response::new(200, "")));
    }
}

/// Number of sums that a hub has sent to the other zone so far, and of the messages with them.
fn sums_sent(fixture: &Fixture) -> (usize, usize) {
    let sums = fixture
        .datagrams
        .iter()
        .filter_map(|(_, to, message)| match message {
            PeerMessage::ZoneSums { sums } if *to == node_address(200) => Some(sums.0.len()),
            _ => None,
        });
    sums.fold((0, 0), |(entries, messages), count| {
        (entries + count, messages + 1)
    })
}

#[gtest]
fn other_zones_are_sent_changed_sums() {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 0..6 {
        store.add_instance(instance(number, SERVICE));
    }
    for number in 0..20 {
        store.add_node(node_record(number));
    }
    store.add_node(NodeRecord {
        zone: ZoneName::from("b"),
        ..node_record(200)
    });
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(200));
    let open = |instance, count| PeerMessage::OpenRequestCounts {
        incarnation: 1,
        idle_limit_ms: 0,
        changes: List(vec![OpenRequests {
            instance,
            count,
            ..OpenRequests::default()
        }]),
    };
    // 300 instances are known, 2 of them are in use.
    for instance in 0..300 {
        fixture.receive(node_address(5), &open(instance, 0));
    }
    fixture.datagrams.clear();
    for _ in 0..20 {
        fixture.receive(node_address(5), &open(7, 3));
        fixture.receive(node_address(5), &open(8, 1));
        fixture.run_until(fixture.now + ms(200));
    }
    // Two entries at first, and two again every 1.2 s.
    let (entries, messages) = sums_sent(&fixture);
    expect_that!(entries, all!(ge(6), le(12)));
    expect_that!(messages, le(5));
}
