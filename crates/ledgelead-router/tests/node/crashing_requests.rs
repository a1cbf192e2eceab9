//! A request that crashes each instance that starts to run it.
//!
//! Its callers send it repeatedly, each time as a new request. A node that forgets what it
//! learned of a request when the request ends sends the next one to another instance, and an
//! idempotent one without a key to two instances. Of one caller's requests, one attempt at one
//! node ended with `answer_lost` after 114 ms, another at a second node 5.5 s later after 46
//! ms, and 1 ms after each of them the instance refused connections (`never_sent` after 1 ms).

use crate::fixture::{
    Fixture, SERVICE, Store, configuration, instance, ms, node_address, node_record, success,
};
use googletest::prelude::*;
use ledgelead_http::{Request, Response};
use ledgelead_router::dialect::ObjectKind;
use ledgelead_router::io::ExchangeFailure;
use ledgelead_router::peers::{PeerMessage, RequestEntry};
use ledgelead_router::quarantine::{CallerId, Entry, InstanceEnd};
use ledgelead_router::requests::RequestDigest;
use ledgelead_types::codec::List;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Instances that may end before a request is quarantined.
const MAX_CRASHES: usize = 3;
/// The same for a request whose callers change their address at any time.
const MAX_CRASHES_OF_CHANGING_CALLERS: usize = 5;

fn store() -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 1..=8 {
        store.add_instance(instance(number, SERVICE));
    }
    store.add_node(node_record(0));
    store.add_node(node_record(1));
    store
}

/// Each instance that receives a client's request ends, and refuses connections from then on.
fn crash_instances_that_run_requests(fixture: &mut Fixture, ended: &mut BTreeSet<SocketAddr>) {
    while let Some(sent) = fixture.attempts.pop() {
        fixture.run_until(fixture.now + ms(1));
        let failure = match ended.insert(sent.address) {
            true => ExchangeFailure::Lost,
            false => ExchangeFailure::Refused,
        };
        fixture.end(sent.exchange, Err(failure));
        finish_probes(fixture, ended);
    }
}

/// Refuses the probes of instances that have ended, and accepts all others, also those that
/// follow on a refused one.
fn finish_probes(fixture: &mut Fixture, ended: &BTreeSet<SocketAddr>) {
    while let Some(probe) = fixture.probes.pop() {
        let result = match ended.contains(&probe.address) {
            true => Err(ExchangeFailure::Refused),
            false => Ok(Response::new(200, "")),
        };
        fixture.end(probe.exchange, result);
    }
}

#[gtest]
fn request_that_crashed_three_instances_is_quarantined() {
    let mut fixture = Fixture::coordinating(store());
    let mut ended = BTreeSet::new();
    for _ in 0..8 {
        fixture.request(SERVICE, None);
        crash_instances_that_run_requests(&mut fixture, &mut ended);
        fixture.run_until(fixture.now + ms(1_000));
    }
    expect_that!(ended.len(), eq(MAX_CRASHES));
    let (_, last) = fixture.answers.last().expect("an answer");
    expect_that!(last.status, eq(503));
    expect_that!(last.body.as_slice(), eq(b"quarantined"));
}

/// The address of a caller that has sent no request before.
fn new_caller(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 4, number))
}

/// Lets eight callers send the request, one a second, with up to `max_attempts` per try.
/// Returns the number of instances that ended.
fn crashed_by_changing_callers(max_attempts: u32) -> (Fixture, usize) {
    let mut store = store();
    let mut configuration = configuration(2);
    for route in &mut configuration.routes {
        Arc::make_mut(route).max_attempts = max_attempts;
    }
    store.put_configuration(configuration);
    let mut fixture = Fixture::coordinating(store);
    let mut ended = BTreeSet::new();
    for number in 0..8 {
        fixture.request_from(new_caller(number), SERVICE, None);
        crash_instances_that_run_requests(&mut fixture, &mut ended);
        fixture.run_until(fixture.now + ms(1_000));
    }
    (fixture, ended.len())
}

/// The request came from an address of its own each time, so that no caller's requests had
/// ended more than one instance: `attempt_ended` with `answer_lost` and one digest at six of
/// six ended instances, by ten nodes, and no `quarantined` at all. No instance ever answered
/// it.
#[gtest]
fn request_from_changing_addresses_is_quarantined_after_three_crashes() {
    let (fixture, ended) = crashed_by_changing_callers(1);
    expect_that!(ended, eq(MAX_CRASHES));
    let (_, last) = fixture.answers.last().expect("an answer");
    expect_that!(last.status, eq(503));
    expect_that!(last.body.as_slice(), eq(b"quarantined"));
}

/// The first caller's try may end two instances. Those that follow end one each, which may have
/// another cause at first.
#[gtest]
fn request_retried_once_from_changing_addresses_ends_at_most_five_instances() {
    let (fixture, ended) = crashed_by_changing_callers(2);
    expect_that!(ended, le(MAX_CRASHES_OF_CHANGING_CALLERS));
    let (_, last) = fixture.answers.last().expect("an answer");
    expect_that!(last.body.as_slice(), eq(b"quarantined"));
}

/// A node at which two instances have ended during a request, with their addresses.
fn suspecting() -> (Fixture, BTreeSet<SocketAddr>) {
    let mut fixture = Fixture::coordinating(store());
    let mut ended = BTreeSet::new();
    fixture.request_from(new_caller(0), SERVICE, None);
    crash_instances_that_run_requests(&mut fixture, &mut ended);
    expect_that!(ended, len(eq(2)));
    (fixture, ended)
}

/// Lets a new caller send the request, and returns how long it is to wait, if it is refused as
/// suspected.
fn refused_for(fixture: &mut Fixture, number: u8) -> Option<Duration> {
    let answered = fixture.answers.len();
    fixture.request_from(new_caller(number), SERVICE, None);
    let (_, answer) = fixture.answers.get(answered)?;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.body.as_slice(), eq(b"suspected"));
    let seconds = answer
        .headers
        .text("retry-after")?
        .parse()
        .expect("seconds");
    Duration::try_from_secs_f64(seconds).ok()
}

#[gtest]
fn suspected_request_is_tried_once_in_a_turn_of_the_node() {
    let (mut fixture, _) = suspecting();
    let wait = refused_for(&mut fixture, 1).expect("no turn right after an end");
    expect_that!(wait, gt(Duration::ZERO));
    fixture.run_until(fixture.now + wait);
    expect_that!(refused_for(&mut fixture, 2), none());
    expect_that!(fixture.attempts, len(eq(1)));
    // Others are refused as long as that try is in flight, in the next turn as well, and it is
    // not aborted for being slow.
    for _ in 0..3 {
        let wait = refused_for(&mut fixture, 3).expect("refused");
        fixture.run_until(fixture.now + wait);
    }
    expect_that!(refused_for(&mut fixture, 4), some(anything()));
    expect_that!(fixture.attempts, len(eq(1)));
    let attempt = fixture.attempts.pop().expect("a try");
    fixture.answer(attempt.exchange, success());
    let (_, answer) = fixture.answers.last().expect("an answer");
    expect_that!(answer.status, eq(200));
}

#[gtest]
fn suspected_request_is_sent_freely_after_a_try_is_answered() {
    let (mut fixture, _) = suspecting();
    let wait = refused_for(&mut fixture, 1).expect("no turn right after an end");
    fixture.run_until(fixture.now + wait);
    fixture.request_from(new_caller(2), SERVICE, None);
    let attempt = fixture.attempts.pop().expect("a try");
    fixture.answer(attempt.exchange, success());
    for number in 3..6 {
        expect_that!(refused_for(&mut fixture, number), none());
    }
}

/// Another node's evidence: two callers' requests were in flight at an instance that ended.
fn evidence_of_a_peer(fixture: &Fixture) -> PeerMessage {
    let mut request = Request::new("GET", format!("/{SERVICE}/1"), Vec::new());
    request.headers.push("host", "h");
    let end = |number| InstanceEnd {
        caller: CallerId::new(new_caller(number)),
        instance: 77,
        at: fixture.now,
        settled: true,
    };
    let entry = Entry {
        path: request.path().to_owned(),
        ends: vec![end(100), end(101)],
        ..Entry::default()
    };
    let digest = RequestDigest::new(&request);
    PeerMessage::Evidence {
        wants_reply: false,
        alive: List(Vec::new()),
        requests: List(vec![RequestEntry::new(&digest, &entry, fixture.now)]),
    }
}

/// A peer reports that an instance ended just now under a request.
fn report_end(fixture: &mut Fixture, path: &str, caller: u8, instance: u64) {
    let mut request = Request::new("GET", path, Vec::new());
    request.headers.push("host", "h");
    let end = InstanceEnd {
        caller: CallerId::new(new_caller(caller)),
        instance,
        at: fixture.now,
        settled: false,
    };
    let entry = Entry {
        path: path.to_owned(),
        ends: vec![end],
        ..Entry::default()
    };
    let digest = RequestDigest::new(&request);
    let message = PeerMessage::Evidence {
        wants_reply: false,
        alive: List(Vec::new()),
        requests: List(vec![RequestEntry::new(&digest, &entry, fixture.now)]),
    };
    fixture.receive(node_address(1), &message);
}

/// A node at which the fixture's request was lost with three instances, two of them in zones that
/// ended with instances at which only other requests were lost.
fn knowing_of_two_zones() -> Fixture {
    let path = format!("/{SERVICE}/1");
    let mut fixture = Fixture::coordinating(store());
    report_end(&mut fixture, &path, 100, 71);
    for (number, instance) in [(101, 72), (102, 74)] {
        fixture.run_until(fixture.now + ms(2_000));
        report_end(
            &mut fixture,
            &format!("/other/{instance}"),
            number,
            instance + 1,
        );
        fixture.run_until(fixture.now + ms(50));
        report_end(&mut fixture, &path, number, instance);
    }
    fixture.run_until(fixture.now + ms(1_000));
    fixture
}

/// Whether the fixture's request of a new caller is refused as quarantined.
fn is_quarantined(fixture: &mut Fixture) -> bool {
    let answered = fixture.answers.len();
    fixture.request_from(new_caller(1), SERVICE, None);
    let refusal = fixture.answers.get(answered);
    refusal.is_some_and(|(_, answer)| answer.body.as_slice() == b"quarantined")
}

/// The store holds neither times nor the losses of other requests.
#[gtest]
fn node_that_reads_of_losses_in_zones_in_the_store_does_not_quarantine_the_request() {
    let mut other = knowing_of_two_zones();
    expect_that!(is_quarantined(&mut other), eq(false));
    let mut kinds = other.store.objects.keys().map(|(kind, _)| *kind);
    expect_that!(kinds.any(|kind| kind == ObjectKind::Quarantine), eq(true));
    let mut fixture = Fixture::coordinating(std::mem::take(&mut other.store));
    fixture.run_until(fixture.now + ms(1_000));
    expect_that!(is_quarantined(&mut fixture), eq(false));
}

/// A node that was cut off gets all evidence at once, long after the zones ended.
#[gtest]
fn node_that_learns_late_of_losses_in_zones_does_not_quarantine_the_request() {
    let mut other = knowing_of_two_zones();
    expect_that!(is_quarantined(&mut other), eq(false));
    other.datagrams.clear();
    let request = PeerMessage::Evidence {
        wants_reply: true,
        alive: List(Vec::new()),
        requests: List(Vec::new()),
    };
    other.receive(node_address(1), &request);
    let mut fixture = Fixture::coordinating(store());
    fixture.run_until(other.now);
    let is_evidence = |message: &PeerMessage| matches!(message, PeerMessage::Evidence { .. });
    let replies = std::mem::take(&mut other.datagrams).into_iter();
    let replies = replies.filter(|(_, _, message)| is_evidence(message));
    let replies: Vec<PeerMessage> = replies.map(|(_, _, message)| message).collect();
    expect_that!(replies, not(is_empty()));
    for reply in &replies {
        fixture.receive(node_address(0), reply);
    }
    fixture.run_until(fixture.now + ms(1_000));
    expect_that!(is_quarantined(&mut fixture), eq(false));
}

/// A try was lost with its instance, and went to the key's owner again within its turn.
#[gtest]
fn lost_try_of_a_suspected_request_is_not_repeated() {
    let mut fixture = Fixture::coordinating(store());
    let message = evidence_of_a_peer(&fixture);
    fixture.receive(node_address(1), &message);
    let wait = refused_for(&mut fixture, 1).expect("no turn right after an end");
    fixture.run_until(fixture.now + wait);
    let mut ended = BTreeSet::new();
    fixture.request_from(new_caller(2), SERVICE, None);
    crash_instances_that_run_requests(&mut fixture, &mut ended);
    expect_that!(ended, len(eq(1)));
}

/// A failure that the router reports itself says nothing about the request.
#[gtest]
fn answers_of_the_router_do_not_clear_a_request() {
    let (mut fixture, _) = suspecting();
    for number in 1..6 {
        expect_that!(refused_for(&mut fixture, number), some(anything()));
    }
}

/// A request that waits at an instance is not known to run there, and an answer that it was not
/// executed clears nothing.
#[gtest]
fn rejection_does_not_clear_a_request() {
    let (mut fixture, ended) = suspecting();
    let wait = refused_for(&mut fixture, 1).expect("no turn right after an end");
    fixture.run_until(fixture.now + wait);
    fixture.request_from(new_caller(2), SERVICE, None);
    while let Some(attempt) = fixture.attempts.pop() {
        let mut busy = Response::new(503, "");
        busy.headers.push("not-executed", "1");
        let result = match ended.contains(&attempt.address) {
            true => Err(ExchangeFailure::Refused),
            false => Ok(busy),
        };
        fixture.end(attempt.exchange, result);
    }
    expect_that!(refused_for(&mut fixture, 3), some(anything()));
}

/// A coordinator that has quarantined a request.
fn quarantined() -> Fixture {
    let mut fixture = Fixture::coordinating(store());
    let mut ended = BTreeSet::new();
    for _ in 0..3 {
        fixture.request(SERVICE, None);
        crash_instances_that_run_requests(&mut fixture, &mut ended);
        fixture.run_until(fixture.now + ms(1_000));
    }
    fixture
}

#[gtest]
fn quarantine_survives_the_loss_of_all_nodes() {
    let mut fixture = quarantined();
    let stored = std::mem::take(&mut fixture.store);
    let mut fixture = Fixture::coordinating(stored);
    fixture.run_until(fixture.now + ms(1_000));
    fixture.request(SERVICE, None);
    expect_that!(fixture.attempts, is_empty());
    let (_, last) = fixture.answers.last().expect("an answer");
    expect_that!(last.body.as_slice(), eq(b"quarantined"));
}

#[gtest]
fn request_is_sent_again_after_an_operator_lifts_its_quarantine() {
    let mut fixture = quarantined();
    fixture.store.remove_all(ObjectKind::Quarantine);
    fixture.answer_watch_with_changes(ObjectKind::Quarantine);
    fixture.request(SERVICE, None);
    expect_that!(fixture.attempts, len(eq(1)));
}

#[gtest]
fn quarantine_missing_in_a_restored_store_is_stored_again() {
    let mut fixture = quarantined();
    let is_stored = |fixture: &Fixture| {
        let mut kinds = fixture.store.objects.keys().map(|(kind, _)| *kind);
        kinds.any(|kind| kind == ObjectKind::Quarantine)
    };
    fixture
        .store
        .objects
        .retain(|(kind, _), _| *kind != ObjectKind::Quarantine);
    fixture.store.era = Some("1".to_owned());
    for _ in 0..10 {
        fixture.answer_watches();
        fixture.run_until(fixture.now + ms(500));
    }
    expect_that!(is_stored(&fixture), eq(true));
    fixture.attempts.clear();
    fixture.request(SERVICE, None);
    expect_that!(fixture.attempts, is_empty());
}

#[gtest]
fn lost_answer_of_a_live_instance_is_no_evidence() {
    let mut fixture = Fixture::coordinating(store());
    for _ in 0..6 {
        fixture.request(SERVICE, None);
        while let Some(sent) = fixture.attempts.pop() {
            fixture.end(sent.exchange, Err(ExchangeFailure::Lost));
            finish_probes(&mut fixture, &BTreeSet::new());
        }
        fixture.run_until(fixture.now + ms(2_000));
    }
    let reasons = fixture.answers.iter().map(|(_, answer)| answer.status);
    expect_that!(reasons.collect::<Vec<_>>(), each(eq(&502)));
}

/// Three nodes took 0.8 to 0.94 s longer than three others to prove the same end: they had lost
/// a connection to the instance shortly before, whose probe was accepted, and the probe for the
/// loss that its end caused fell into the pause after that.
#[gtest]
fn instance_that_ends_right_after_an_accepted_probe_is_probed_again() {
    let mut fixture = Fixture::coordinating(store());
    fixture.request(SERVICE, None);
    let sent = fixture.attempts.pop().expect("an attempt");
    fixture.end(sent.exchange, Err(ExchangeFailure::Lost));
    let mut ended = BTreeSet::new();
    finish_probes(&mut fixture, &ended);
    // The retry, and any request after it, is lost at the same instance.
    fixture.attempts.clear();
    while fixture.attempts.last().map(|sent| sent.address) != Some(sent.address) {
        fixture.attempts.clear();
        fixture.upload(SERVICE, None, 1);
    }
    let second = fixture.attempts.pop().expect("an attempt");
    ended.insert(sent.address);
    fixture.end(second.exchange, Err(ExchangeFailure::Lost));
    fixture.attempts.clear();
    for _ in 0..4 {
        fixture.run_until(fixture.now + ms(100));
        finish_probes(&mut fixture, &ended);
    }
    expect_that!(fixture.node.status().ends_counted, eq(1));
}

/// Sends requests of two clients to one instance. The connection of the first request is lost,
/// and the instance then refuses connections; the second request is answered. Returns the
/// number of ends that still count.
fn counted_ends_with_concurrent_answer(sent_after_the_end: bool) -> usize {
    let mut store = store();
    store
        .objects
        .retain(|(kind, name), _| *kind != ObjectKind::Instances || name.as_str() == "i-1");
    let mut fixture = Fixture::coordinating(store);
    let mut ended = BTreeSet::new();
    fixture.request(SERVICE, None);
    let first = fixture.attempts.pop().expect("an attempt");
    if !sent_after_the_end {
        fixture.request(SERVICE, None);
    }
    fixture.run_until(fixture.now + ms(20));
    ended.insert(first.address);
    fixture.end(first.exchange, Err(ExchangeFailure::Lost));
    finish_probes(&mut fixture, &ended);
    fixture.run_until(fixture.now + ms(5));
    if sent_after_the_end {
        fixture.request(SERVICE, None);
    }
    let second = fixture.attempts.pop().expect("another attempt");
    let mut busy = Response::new(503, "");
    busy.headers.push("not-executed", "1");
    fixture.answer(second.exchange, busy);
    fixture.node.status().ends_counted
}

#[gtest]
fn only_an_answer_to_a_later_request_disproves_an_end() {
    expect_that!(counted_ends_with_concurrent_answer(false), eq(1));
    expect_that!(counted_ends_with_concurrent_answer(true), eq(0));
}
