//! Requests that wait for permits, and a node as dispatcher.

use crate::fixture::{
    Fixture, KEYED, SERVICE, Store, all_keys_of, configuration, instance, ms, node_address,
    node_record, success,
};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::configuration::{Configuration, Route};
use ledgelead_router::identity::ServiceName;
use ledgelead_router::io::{ClientId, ExchangeFailure, Input};
use ledgelead_router::peers::{
    NodeRecord, PeerMessage, PermitRequestEntry, PermitReturnReason, PermitStatus, encode,
};
use ledgelead_types::codec::List;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const KEY: u16 = 700;

/// A configuration with a second, more urgent route for each service.
fn contended() -> Configuration {
    let mut configuration = configuration(1);
    let urgent = |route: &Arc<Route>| {
        Arc::new(Route {
            name: format!("{}-urgent", route.name),
            prefix: format!("{}urgent/", route.prefix),
            priority: 0,
            ..Route::clone(route)
        })
    };
    let urgent: Vec<Arc<Route>> = configuration.routes.iter().map(urgent).collect();
    configuration.routes.extend(urgent);
    configuration
}

fn store(configuration: Configuration, nodes: u8) -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration);
    store.add_instance(instance(1, KEYED));
    store.add_instance(instance(2, SERVICE));
    for number in 0..nodes {
        store.add_node(node_record(number));
    }
    store.put_ownership(all_keys_of("i-1", 1));
    store
}

fn receive_digest(fixture: &mut Fixture) {
    let digest = PeerMessage::LoadDigest {
        zones: 1,
        idle_limit_ms: 0,
        entries: List(Vec::new()),
    };
    fixture.receive(node_address(1), &digest);
}

/// A node that receives digests, and two nodes with larger CPU shares as its dispatchers.
fn node(configuration: Configuration) -> Fixture {
    let mut store = store(configuration, 0);
    for number in 1..3 {
        store.add_node(NodeRecord {
            millicores: 1_000,
            ..node_record(number)
        });
    }
    let mut fixture = Fixture::new(store);
    fixture.run_until(ms(100));
    receive_digest(&mut fixture);
    fixture.datagrams.clear();
    fixture
}

/// The last permit request sent, and its receiver.
fn last_permit_request(fixture: &Fixture) -> (SocketAddr, PermitRequestEntry) {
    let requests = fixture.datagrams.iter().rev();
    let mut requests = requests.filter_map(|(_, to, message)| match message {
        PeerMessage::PermitRequest(request) => Some((*to, *request)),
        _ => None,
    });
    requests.next().expect("a permit request")
}

fn decide(fixture: &mut Fixture, status: PermitStatus, number: u8) {
    let (dispatcher, request) = last_permit_request(fixture);
    let message = PeerMessage::PermitDecision {
        number: request.number,
        queue: request.queue,
        status,
        server: instance(number, KEYED).id.stable_hash(),
        return_ms: 700,
    };
    fixture.receive(dispatcher, &message);
}

fn returns(fixture: &Fixture) -> Vec<PermitReturnReason> {
    let messages = fixture.datagrams.iter();
    let ended = messages.filter_map(|(_, _, message)| match message {
        PeerMessage::PermitReturn { reason, .. } => Some(*reason),
        _ => None,
    });
    ended.collect()
}

fn answered(fixture: &Fixture, client: ClientId) -> Option<&Response> {
    let answers = fixture.answers.iter();
    let mut of_client = answers.filter(|(to, _)| *to == client);
    of_client.next().map(|(_, response)| response)
}

#[gtest]
fn granted_permit_sends_the_request_and_returns_with_its_duration() {
    let mut fixture = node(contended());
    fixture.request(KEYED, Some(KEY));
    expect_that!(fixture.attempts, is_empty());
    decide(&mut fixture, PermitStatus::Queued, 1);
    expect_that!(fixture.attempts, is_empty());
    fixture.now += ms(30);
    decide(&mut fixture, PermitStatus::Granted, 1);
    expect_that!(fixture.attempts.len(), eq(1));
    let exchange = fixture.attempts[0].exchange;
    fixture.now += ms(80);
    fixture.answer(exchange, success());
    expect_that!(
        returns(&fixture),
        elements_are![eq(&PermitReturnReason::Answered)]
    );
    let took = fixture
        .datagrams
        .iter()
        .find_map(|(_, _, message)| match message {
            PeerMessage::PermitReturn { took_ms, .. } => Some(*took_ms),
            _ => None,
        });
    expect_that!(took, some(eq(80)));
}

#[gtest]
fn routes_without_competition_need_no_permit() {
    let mut fixture = node(configuration(1));
    fixture.request(KEYED, Some(KEY));
    fixture.request(SERVICE, None);
    expect_that!(fixture.attempts.len(), eq(2));
    expect_that!(fixture.sent("permit_ask"), eq(0));
}

#[gtest]
fn node_without_digests_needs_no_permit() {
    let mut fixture = node(contended());
    fixture.run_until(fixture.now + ms(800));
    fixture.request(KEYED, Some(KEY));
    expect_that!(fixture.attempts.len(), eq(1));
}

#[gtest]
fn refused_caller_is_told_immediately_when_to_retry() {
    let mut fixture = node(contended());
    let client = fixture.request(KEYED, Some(KEY));
    decide(&mut fixture, PermitStatus::Refused, 1);
    let response = answered(&fixture, client).expect("an answer");
    expect_that!(response.status, eq(503));
    let retry_after = response.headers.text("retry-after").expect("a time");
    let retry_after: f64 = retry_after.parse().expect("a number");
    expect_that!(retry_after, all!(ge(0.7), lt(1.2)));
    expect_that!(returns(&fixture), is_empty());
}

#[gtest]
fn silent_dispatcher_delays_a_request_by_at_most_half_of_its_target() {
    let mut fixture = node(contended());
    fixture.request(KEYED, Some(KEY));
    let (first, request) = last_permit_request(&fixture);
    // A request whose datagram may be lost is repeated.
    fixture.run_until(fixture.now + ms(101));
    expect_that!(fixture.sent("permit_ask"), eq(2));
    expect_that!(last_permit_request(&fixture), eq((first, request)));
    expect_that!(fixture.attempts, is_empty());
    fixture.run_until(fixture.now + ms(100));
    expect_that!(fixture.attempts.len(), eq(1));
    // For a second the other candidate is asked, and no request waits for the first one.
    fixture.request(KEYED, Some(KEY + 1));
    let (second, _) = last_permit_request(&fixture);
    expect_that!(second, not(eq(first)));
    fixture.run_until(fixture.now + ms(201));
    expect_that!(fixture.attempts.len(), eq(2));
    fixture.request(KEYED, Some(KEY + 2));
    expect_that!(fixture.attempts.len(), eq(3));
}

#[gtest]
fn dispatcher_that_answers_other_requests_is_not_considered_lost() {
    let mut fixture = node(contended());
    fixture.request(KEYED, Some(KEY));
    let (first, _) = last_permit_request(&fixture);
    fixture.run_until(fixture.now + ms(90));
    fixture.request(KEYED, Some(KEY + 1));
    decide(&mut fixture, PermitStatus::Queued, 1);
    fixture.run_until(fixture.now + ms(111));
    // The first request continued without a permit; the next one asks the same dispatcher.
    expect_that!(fixture.attempts.len(), eq(1));
    fixture.request(KEYED, Some(KEY + 2));
    let (same, _) = last_permit_request(&fixture);
    expect_that!(same, eq(first));
}

#[gtest]
fn dispatcher_lost_with_its_queue_delays_no_request_beyond_its_target() {
    let mut fixture = node(contended());
    let client = fixture.request(KEYED, Some(KEY));
    decide(&mut fixture, PermitStatus::Queued, 1);
    fixture.run_until(fixture.now + ms(399));
    expect_that!(fixture.attempts, is_empty());
    expect_that!(answered(&fixture, client), none());
    fixture.run_until(fixture.now + ms(2));
    expect_that!(fixture.attempts.len(), eq(1));
}

#[gtest]
fn requests_need_no_permit_while_decisions_are_slow() {
    let mut fixture = node(contended());
    for number in 0..8 {
        fixture.request(KEYED, Some(KEY + number));
        fixture.now += ms(60);
        decide(&mut fixture, PermitStatus::Granted, 1);
    }
    fixture.attempts.clear();
    let requests_before = fixture.sent("permit_ask");
    fixture.request(KEYED, Some(KEY));
    expect_that!(fixture.attempts.len(), eq(1));
    expect_that!(fixture.sent("permit_ask"), eq(requests_before));
    // Occasional requests ask for a permit and find that decisions are fast again.
    for number in 0..12 {
        fixture.run_until(fixture.now + ms(201));
        receive_digest(&mut fixture);
        fixture.request(KEYED, Some(KEY + number));
        decide(&mut fixture, PermitStatus::Granted, 1);
    }
    expect_that!(fixture.sent("permit_ask"), gt(requests_before));
    fixture.attempts.clear();
    fixture.request(KEYED, Some(KEY));
    expect_that!(fixture.attempts, is_empty());
}

#[gtest]
fn late_permit_is_returned() {
    let mut fixture = node(contended());
    fixture.request(KEYED, Some(KEY));
    let (dispatcher, request) = last_permit_request(&fixture);
    fixture.run_until(fixture.now + ms(201));
    fixture.datagrams.clear();
    let message = PeerMessage::PermitDecision {
        number: request.number,
        queue: request.queue,
        status: PermitStatus::Granted,
        server: instance(1, KEYED).id.stable_hash(),
        return_ms: 0,
    };
    fixture.receive(dispatcher, &message);
    expect_that!(
        returns(&fixture),
        elements_are![eq(&PermitReturnReason::NoSample)]
    );
    expect_that!(fixture.attempts.len(), eq(1));
}

#[gtest]
fn disconnected_client_returns_its_permit() {
    let mut fixture = node(contended());
    let client = fixture.request(KEYED, Some(KEY));
    decide(&mut fixture, PermitStatus::Queued, 1);
    fixture.step(Input::ClientDisconnected { client });
    expect_that!(
        returns(&fixture),
        elements_are![eq(&PermitReturnReason::NoSample)]
    );
    let client = fixture.request(KEYED, Some(KEY));
    decide(&mut fixture, PermitStatus::Granted, 1);
    fixture.step(Input::ClientDisconnected { client });
    expect_that!(returns(&fixture)[1], eq(PermitReturnReason::NoSample));
}

#[gtest]
fn unsent_attempt_returns_its_permit_without_a_sample() {
    let mut fixture = node(contended());
    fixture.request(KEYED, Some(KEY));
    decide(&mut fixture, PermitStatus::Granted, 1);
    let exchange = fixture.attempts[0].exchange;
    fixture.end(exchange, Err(ExchangeFailure::NotConnected));
    expect_that!(
        returns(&fixture),
        elements_are![eq(&PermitReturnReason::NoSample)]
    );
}

#[gtest]
fn failed_attempt_returns_its_permit_as_failed() {
    let mut fixture = node(contended());
    fixture.request(SERVICE, None);
    decide(&mut fixture, PermitStatus::Granted, 2);
    let exchange = fixture.attempts[0].exchange;
    fixture.now += ms(3);
    let mut response = Response::new(500, "");
    response.headers.push("signature", "s");
    fixture.answer(exchange, response);
    expect_that!(
        returns(&fixture),
        elements_are![eq(&PermitReturnReason::Failed)]
    );
}

#[gtest]
fn pool_permit_names_the_instance() {
    let mut fixture = node(contended());
    fixture.request(SERVICE, None);
    let (_, request) = last_permit_request(&fixture);
    expect_that!(request.is_pool, eq(true));
    decide(&mut fixture, PermitStatus::Granted, 2);
    expect_that!(fixture.attempts.len(), eq(1));
    expect_that!(
        fixture.attempts[0].address,
        eq(instance(2, SERVICE).address)
    );
}

#[gtest]
fn request_with_a_permit_for_an_unknown_instance_continues_without_it() {
    let mut fixture = node(contended());
    fixture.request(SERVICE, None);
    decide(&mut fixture, PermitStatus::Granted, 7);
    expect_that!(fixture.attempts.len(), eq(1));
    expect_that!(
        returns(&fixture),
        elements_are![eq(&PermitReturnReason::NoSample)]
    );
    expect_that!(fixture.sent("permit_ask"), eq(1));
}

/// The only node, which is its own dispatcher.
fn dispatcher() -> Fixture {
    let mut fixture = Fixture::new(store(contended(), 1));
    fixture.run_until(ms(100));
    receive_digest(&mut fixture);
    fixture
}

#[gtest]
fn node_that_is_its_own_dispatcher_sends_no_datagrams() {
    let mut fixture = dispatcher();
    for _ in 0..4 {
        fixture.request(SERVICE, None);
    }
    expect_that!(fixture.attempts.len(), eq(4));
    fixture.request(SERVICE, None);
    expect_that!(fixture.attempts.len(), eq(4));
    expect_that!(fixture.node.status().dispatch_waiting, eq(1));
    let exchange = fixture.attempts[0].exchange;
    fixture.answer(exchange, success());
    expect_that!(fixture.attempts.len(), eq(5));
    expect_that!(fixture.sent("permit_ask"), eq(0));
}

fn permit_request(number: u64, urgency: u8) -> PeerMessage {
    PeerMessage::PermitRequest(PermitRequestEntry {
        number,
        queue: instance(1, KEYED).id.stable_hash(),
        is_pool: false,
        service: ServiceName::from(KEYED).stable_hash(),
        urgency,
        to_target_ms: 400,
        remaining_ms: 2_000,
        caller: number,
        is_cold: false,
        failed_instance: 0,
    })
}

fn statuses(fixture: &Fixture) -> Vec<(u64, PermitStatus)> {
    let messages = fixture.datagrams.iter();
    let decided = messages.filter_map(|(_, _, message)| match message {
        PeerMessage::PermitDecision { number, status, .. } => Some((*number, *status)),
        _ => None,
    });
    decided.collect()
}

#[gtest]
fn dispatcher_grants_permits_to_other_nodes_by_urgency() {
    let mut fixture = dispatcher();
    fixture.datagrams.clear();
    let requester = node_address(5);
    for number in 0..5 {
        fixture.receive(requester, &permit_request(number, 1));
    }
    fixture.receive(requester, &permit_request(5, 1));
    fixture.receive(requester, &permit_request(6, 0));
    let decided = statuses(&fixture);
    expect_that!(decided[4], eq((4, PermitStatus::Granted)));
    expect_that!(decided[5], eq((5, PermitStatus::Queued)));
    expect_that!(decided[6], eq((6, PermitStatus::Queued)));
    let message = PeerMessage::PermitReturn {
        number: 0,
        queue: instance(1, KEYED).id.stable_hash(),
        reason: PermitReturnReason::Answered,
        took_ms: 60,
        load: None,
    };
    fixture.receive(requester, &message);
    expect_that!(statuses(&fixture)[7], eq((6, PermitStatus::Granted)));
    // The other request is decided before it would be late.
    fixture.run_until(fixture.now + Duration::from_millis(400));
    expect_that!(statuses(&fixture)[8].0, eq(5));
}

#[gtest]
fn stopping_dispatcher_declines() {
    let mut fixture = dispatcher();
    fixture.step(Input::Stop);
    fixture.datagrams.clear();
    fixture.receive(node_address(5), &permit_request(1, 1));
    expect_that!(
        statuses(&fixture),
        elements_are![eq(&(1, PermitStatus::ShuttingDown))]
    );
}

#[gtest]
fn decision_after_the_grant_is_ignored() {
    let mut fixture = node(contended());
    // The owner is not available at the moment, so that the permit is held.
    fixture.request(KEYED, Some(KEY));
    decide(&mut fixture, PermitStatus::Granted, 1);
    decide(&mut fixture, PermitStatus::Refused, 1);
    decide(&mut fixture, PermitStatus::Queued, 1);
    expect_that!(fixture.attempts.len(), eq(1));
    expect_that!(fixture.answers, is_empty());
}

#[gtest]
fn decision_of_a_node_that_was_not_asked_is_ignored() {
    let mut fixture = node(contended());
    fixture.request(KEYED, Some(KEY));
    let (_, request) = last_permit_request(&fixture);
    let message = PeerMessage::PermitDecision {
        number: request.number,
        queue: request.queue,
        status: PermitStatus::Refused,
        server: 0,
        return_ms: 700,
    };
    fixture.receive(node_address(9), &message);
    expect_that!(fixture.answers, is_empty());
}

#[gtest]
fn dispatcher_declines_an_unknown_queue() {
    let mut fixture = dispatcher();
    fixture.datagrams.clear();
    let PeerMessage::PermitRequest(request) = permit_request(1, 1) else {
        return;
    };
    let message = PeerMessage::PermitRequest(PermitRequestEntry {
        queue: 77,
        ..request
    });
    fixture.receive(node_address(5), &message);
    expect_that!(
        statuses(&fixture),
        elements_are![eq(&(1, PermitStatus::UnknownQueue))]
    );
}

/// The sizes documented in `docs/design/dispatch.md`.
#[gtest]
fn permit_messages_have_their_documented_sizes() {
    const HEADERS_OF_UDP_AND_IP: usize = 28;
    let size = |message: &PeerMessage| encode(message).bytes.len() + HEADERS_OF_UDP_AND_IP;
    let decision = PeerMessage::PermitDecision {
        number: 1,
        queue: 2,
        status: PermitStatus::Granted,
        server: 3,
        return_ms: 0,
    };
    let returned = PeerMessage::PermitReturn {
        number: 1,
        queue: 2,
        reason: PermitReturnReason::Answered,
        took_ms: 70,
        load: Some((1, 0)),
    };
    expect_that!(size(&permit_request(1, 1)), eq(77));
    expect_that!(size(&decision), eq(58));
    expect_that!(size(&returned), eq(53));
}
