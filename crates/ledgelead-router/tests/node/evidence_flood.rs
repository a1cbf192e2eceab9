//! Many instances end together, and each node reports the requests that it lost with them,
//! several times. Reviewing all evidence with each report took nine tenths of the processor
//! time of small machines: their requests were answered up to 1.5 s after the time-out.

use crate::fixture::{
    Fixture, SERVICE, Store, configuration, instance, ms, node_address, node_record,
};
use googletest::prelude::*;
use ledgelead_http::Request;
use ledgelead_router::Timestamp;
use ledgelead_router::peers::{PeerMessage, RequestEntry};
use ledgelead_router::quarantine::{CallerId, Entry, InstanceEnd};
use ledgelead_router::requests::RequestDigest;
use ledgelead_types::codec::List;
use std::net::{IpAddr, Ipv4Addr};

/// Lost requests in one report.
const REQUESTS_PER_REPORT: u64 = 10;
/// Reports of different requests.
const REPORTS: u64 = 40;
/// How often each is sent.
const COPIES: u64 = 4;
/// Instances that ended together.
const ENDED: u64 = 130;

/// A node's report of requests lost with instances that ended at this time.
fn report(number: u64, ended_at: Timestamp, now: Timestamp) -> PeerMessage {
    let requests = (0..REQUESTS_PER_REPORT).map(|position| {
        let path = format!("/{SERVICE}/{number}-{position}");
        let end = InstanceEnd {
            caller: CallerId::new(IpAddr::V4(Ipv4Addr::LOCALHOST)),
            instance: (number * REQUESTS_PER_REPORT + position) % ENDED,
            at: ended_at,
            settled: false,
        };
        let entry = Entry {
            path: path.clone(),
            ends: vec![end],
            ..Entry::default()
        };
        let digest = RequestDigest::new(&Request::new("GET", &path, Vec::new()));
        RequestEntry::new(&digest, &entry, now)
    });
    PeerMessage::Evidence {
        wants_reply: false,
        alive: List(Vec::new()),
        requests: List(requests.collect()),
    }
}

/// A node that has received reports 10 ms apart, in this order.
fn after_reports(numbers: impl Iterator<Item = u64>) -> Fixture {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    store.add_instance(instance(1, SERVICE));
    store.add_node(node_record(0));
    store.add_node(node_record(1));
    let mut fixture = Fixture::coordinating(store);
    let ended_at = fixture.now;
    for number in numbers {
        fixture.run_until(fixture.now + ms(10));
        let message = report(number, ended_at, fixture.now);
        fixture.receive(node_address(1), &message);
    }
    fixture.run_until(fixture.now + ms(1_000));
    fixture
}

#[gtest]
fn repeated_reports_of_lost_requests_cause_no_reviews() {
    let once = after_reports(0..3);
    let repeated = after_reports((0..3).cycle().take(60));
    let reviews = |fixture: &Fixture| fixture.node.status().evidence_reviews;
    expect_that!(reviews(&repeated), le(reviews(&once) + 2));
}

#[gtest]
fn hundreds_of_lost_requests_are_reviewed_a_few_times_a_second() {
    let reports = (0..REPORTS).cycle().take((REPORTS * COPIES) as usize);
    let fixture = after_reports(reports);
    expect_that!(fixture.node.status().suspected, eq(400));
    expect_that!(fixture.node.status().evidence_reviews, le(30));
}
