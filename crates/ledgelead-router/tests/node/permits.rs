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
    NodeRecord, PeerMessage, PermitAskEntry, PermitReturnReason, PermitVerdict, encode,
};
use ledgelead_types::codec::List;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const KEY: u16 = 700;

/// For each service a second route that is more urgent.
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
    store.configure(configuration);
    store.add_instance(instance(1, KEYED));
    store.add_instance(instance(2, SERVICE));
    for number in 0..nodes {
        store.add_node(node_record(number));
    }
    store.own(all_keys_of("i-1", 1));
    store
}

fn follow_digest(fixture: &mut Fixture) {
    let digest = PeerMessage::LoadDigest {
        zones: 1,
        rest_limit_ms: 0,
        entries: List(Vec::new()),
    };
    fixture.receive(node_address(1), &digest);
}

/// A node that hears digests, and two stronger ones that it asks for permits.
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
    follow_digest(&mut fixture);
    fixture.datagrams.clear();
    fixture
}

/// The last ask that was sent, and to whom.
fn last_ask(fixture: &Fixture) -> (SocketAddr, PermitAskEntry) {
    let asks = fixture.datagrams.iter().rev();
    let mut asks = asks.filter_map(|(_, to, message)| match message {
        PeerMessage::PermitAsk(ask) => Some((*to, *ask)),
        _ => None,
    });
    asks.next().expect("an ask")
}

fn decide(fixture: &mut Fixture, verdict: PermitVerdict, number: u8) {
    let (dispatcher, ask) = last_ask(fixture);
    let message = PeerMessage::PermitDecision {
        number: ask.number,
        queue: ask.queue,
        verdict,
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
fn a_request_is_sent_by_its_permit_which_comes_back_with_the_time_that_it_took() {
    let mut fixture = node(contended());
    fixture.ask(KEYED, Some(KEY));
    expect_that!(fixture.attempts, is_empty());
    decide(&mut fixture, PermitVerdict::Queued, 1);
    expect_that!(fixture.attempts, is_empty());
    fixture.now += ms(30);
    decide(&mut fixture, PermitVerdict::Granted, 1);
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
fn routes_that_do_not_compete_need_no_permit() {
    let mut fixture = node(configuration(1));
    fixture.ask(KEYED, Some(KEY));
    fixture.ask(SERVICE, None);
    expect_that!(fixture.attempts.len(), eq(2));
    expect_that!(fixture.sent("permit_ask"), eq(0));
}

#[gtest]
fn nodes_that_hear_no_digest_need_no_permit() {
    let mut fixture = node(contended());
    fixture.run_until(fixture.now + ms(800));
    fixture.ask(KEYED, Some(KEY));
    expect_that!(fixture.attempts.len(), eq(1));
}

#[gtest]
fn a_refused_caller_is_told_at_once_when_to_come_back() {
    let mut fixture = node(contended());
    let client = fixture.ask(KEYED, Some(KEY));
    decide(&mut fixture, PermitVerdict::Refused, 1);
    let response = answered(&fixture, client).expect("an answer");
    expect_that!(response.status, eq(503));
    let again = response.headers.text("retry-after").expect("a time");
    let again: f64 = again.parse().expect("a number");
    expect_that!(again, all!(ge(0.7), lt(1.2)));
    expect_that!(returns(&fixture), is_empty());
}

#[gtest]
fn a_silent_dispatcher_costs_half_of_the_target_at_most() {
    let mut fixture = node(contended());
    fixture.ask(KEYED, Some(KEY));
    let (first, ask) = last_ask(&fixture);
    // A lost datagram is repeated.
    fixture.run_until(fixture.now + ms(101));
    expect_that!(fixture.sent("permit_ask"), eq(2));
    expect_that!(last_ask(&fixture), eq((first, ask)));
    expect_that!(fixture.attempts, is_empty());
    fixture.run_until(fixture.now + ms(100));
    expect_that!(fixture.attempts.len(), eq(1));
    // For a second the other candidate is asked, and no request waits for the first.
    fixture.ask(KEYED, Some(KEY + 1));
    let (second, _) = last_ask(&fixture);
    expect_that!(second, not(eq(first)));
    fixture.run_until(fixture.now + ms(201));
    expect_that!(fixture.attempts.len(), eq(2));
    fixture.ask(KEYED, Some(KEY + 2));
    expect_that!(fixture.attempts.len(), eq(3));
}

#[gtest]
fn a_dispatcher_that_answers_others_is_not_lost() {
    let mut fixture = node(contended());
    fixture.ask(KEYED, Some(KEY));
    let (first, _) = last_ask(&fixture);
    fixture.run_until(fixture.now + ms(90));
    fixture.ask(KEYED, Some(KEY + 1));
    decide(&mut fixture, PermitVerdict::Queued, 1);
    fixture.run_until(fixture.now + ms(111));
    // The first went on without; the next one is asked for at the same dispatcher.
    expect_that!(fixture.attempts.len(), eq(1));
    fixture.ask(KEYED, Some(KEY + 2));
    let (same, _) = last_ask(&fixture);
    expect_that!(same, eq(first));
}

#[gtest]
fn a_dispatcher_that_is_lost_with_a_queue_holds_nobody_beyond_its_target() {
    let mut fixture = node(contended());
    let client = fixture.ask(KEYED, Some(KEY));
    decide(&mut fixture, PermitVerdict::Queued, 1);
    fixture.run_until(fixture.now + ms(399));
    expect_that!(fixture.attempts, is_empty());
    expect_that!(answered(&fixture, client), none());
    fixture.run_until(fixture.now + ms(2));
    expect_that!(fixture.attempts.len(), eq(1));
}

#[gtest]
fn requests_go_without_while_answers_are_slow() {
    let mut fixture = node(contended());
    for number in 0..8 {
        fixture.ask(KEYED, Some(KEY + number));
        fixture.now += ms(60);
        decide(&mut fixture, PermitVerdict::Granted, 1);
    }
    fixture.attempts.clear();
    let asked = fixture.sent("permit_ask");
    fixture.ask(KEYED, Some(KEY));
    expect_that!(fixture.attempts.len(), eq(1));
    expect_that!(fixture.sent("permit_ask"), eq(asked));
    // Now and then one finds out.
    for number in 0..12 {
        fixture.run_until(fixture.now + ms(201));
        follow_digest(&mut fixture);
        fixture.ask(KEYED, Some(KEY + number));
        decide(&mut fixture, PermitVerdict::Granted, 1);
    }
    expect_that!(fixture.sent("permit_ask"), gt(asked));
    fixture.attempts.clear();
    fixture.ask(KEYED, Some(KEY));
    expect_that!(fixture.attempts, is_empty());
}

#[gtest]
fn a_permit_that_comes_too_late_goes_back() {
    let mut fixture = node(contended());
    fixture.ask(KEYED, Some(KEY));
    let (dispatcher, ask) = last_ask(&fixture);
    fixture.run_until(fixture.now + ms(201));
    fixture.datagrams.clear();
    let message = PeerMessage::PermitDecision {
        number: ask.number,
        queue: ask.queue,
        verdict: PermitVerdict::Granted,
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
fn a_client_that_leaves_returns_its_permit() {
    let mut fixture = node(contended());
    let client = fixture.ask(KEYED, Some(KEY));
    decide(&mut fixture, PermitVerdict::Queued, 1);
    fixture.step(Input::ClientDisconnected { client });
    expect_that!(
        returns(&fixture),
        elements_are![eq(&PermitReturnReason::NoSample)]
    );
    let client = fixture.ask(KEYED, Some(KEY));
    decide(&mut fixture, PermitVerdict::Granted, 1);
    fixture.step(Input::ClientDisconnected { client });
    expect_that!(returns(&fixture)[1], eq(PermitReturnReason::NoSample));
}

#[gtest]
fn an_attempt_that_was_never_sent_frees_its_place_without_a_sample() {
    let mut fixture = node(contended());
    fixture.ask(KEYED, Some(KEY));
    decide(&mut fixture, PermitVerdict::Granted, 1);
    let exchange = fixture.attempts[0].exchange;
    fixture.end(exchange, Err(ExchangeFailure::NotConnected));
    expect_that!(
        returns(&fixture),
        elements_are![eq(&PermitReturnReason::NoSample)]
    );
}

#[gtest]
fn an_instance_that_fails_has_not_shown_how_fast_it_works() {
    let mut fixture = node(contended());
    fixture.ask(SERVICE, None);
    decide(&mut fixture, PermitVerdict::Granted, 2);
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
fn a_permit_of_a_pool_names_the_instance() {
    let mut fixture = node(contended());
    fixture.ask(SERVICE, None);
    let (_, ask) = last_ask(&fixture);
    expect_that!(ask.is_pool, eq(true));
    decide(&mut fixture, PermitVerdict::Granted, 2);
    expect_that!(fixture.attempts.len(), eq(1));
    expect_that!(
        fixture.attempts[0].address,
        eq(instance(2, SERVICE).address)
    );
}

#[gtest]
fn a_request_whose_instance_has_left_goes_on_without_a_permit() {
    let mut fixture = node(contended());
    fixture.ask(SERVICE, None);
    decide(&mut fixture, PermitVerdict::Granted, 7);
    expect_that!(fixture.attempts.len(), eq(1));
    expect_that!(
        returns(&fixture),
        elements_are![eq(&PermitReturnReason::NoSample)]
    );
    expect_that!(fixture.sent("permit_ask"), eq(1));
}

/// A node that is the only one, and so its own dispatcher.
fn dispatcher() -> Fixture {
    let mut fixture = Fixture::new(store(contended(), 1));
    fixture.run_until(ms(100));
    follow_digest(&mut fixture);
    fixture
}

#[gtest]
fn a_node_that_is_its_own_dispatcher_sends_no_datagrams() {
    let mut fixture = dispatcher();
    for _ in 0..4 {
        fixture.ask(SERVICE, None);
    }
    expect_that!(fixture.attempts.len(), eq(4));
    fixture.ask(SERVICE, None);
    expect_that!(fixture.attempts.len(), eq(4));
    expect_that!(fixture.node.status().dispatch_waiting, eq(1));
    let exchange = fixture.attempts[0].exchange;
    fixture.answer(exchange, success());
    expect_that!(fixture.attempts.len(), eq(5));
    expect_that!(fixture.sent("permit_ask"), eq(0));
}

fn ask_of(number: u64, urgency: u8) -> PeerMessage {
    PeerMessage::PermitAsk(PermitAskEntry {
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

fn verdicts(fixture: &Fixture) -> Vec<(u64, PermitVerdict)> {
    let messages = fixture.datagrams.iter();
    let decided = messages.filter_map(|(_, _, message)| match message {
        PeerMessage::PermitDecision {
            number, verdict, ..
        } => Some((*number, *verdict)),
        _ => None,
    });
    decided.collect()
}

#[gtest]
fn a_dispatcher_hands_permits_to_other_nodes_in_the_order_of_urgency() {
    let mut fixture = dispatcher();
    fixture.datagrams.clear();
    let asker = node_address(5);
    for number in 0..5 {
        fixture.receive(asker, &ask_of(number, 1));
    }
    fixture.receive(asker, &ask_of(5, 1));
    fixture.receive(asker, &ask_of(6, 0));
    let decided = verdicts(&fixture);
    expect_that!(decided[4], eq((4, PermitVerdict::Granted)));
    expect_that!(decided[5], eq((5, PermitVerdict::Queued)));
    expect_that!(decided[6], eq((6, PermitVerdict::Queued)));
    let message = PeerMessage::PermitReturn {
        number: 0,
        queue: instance(1, KEYED).id.stable_hash(),
        reason: PermitReturnReason::Answered,
        took_ms: 60,
        load: None,
    };
    fixture.receive(asker, &message);
    expect_that!(verdicts(&fixture)[7], eq((6, PermitVerdict::Granted)));
    // The other is told before it would be late.
    fixture.run_until(fixture.now + Duration::from_millis(400));
    expect_that!(verdicts(&fixture)[8].0, eq(5));
}

#[gtest]
fn a_dispatcher_that_stops_declines() {
    let mut fixture = dispatcher();
    fixture.step(Input::Stop);
    fixture.datagrams.clear();
    fixture.receive(node_address(5), &ask_of(1, 1));
    expect_that!(
        verdicts(&fixture),
        elements_are![eq(&(1, PermitVerdict::ShuttingDown))]
    );
}

#[gtest]
fn a_decision_after_the_grant_is_ignored() {
    let mut fixture = node(contended());
    // The owner is not there for the moment, so that the permit is kept.
    fixture.ask(KEYED, Some(KEY));
    decide(&mut fixture, PermitVerdict::Granted, 1);
    decide(&mut fixture, PermitVerdict::Refused, 1);
    decide(&mut fixture, PermitVerdict::Queued, 1);
    expect_that!(fixture.attempts.len(), eq(1));
    expect_that!(fixture.answers, is_empty());
}

#[gtest]
fn a_decision_of_a_node_that_was_not_asked_is_ignored() {
    let mut fixture = node(contended());
    fixture.ask(KEYED, Some(KEY));
    let (_, ask) = last_ask(&fixture);
    let message = PeerMessage::PermitDecision {
        number: ask.number,
        queue: ask.queue,
        verdict: PermitVerdict::Refused,
        server: 0,
        return_ms: 700,
    };
    fixture.receive(node_address(9), &message);
    expect_that!(fixture.answers, is_empty());
}

#[gtest]
fn an_owner_that_a_dispatcher_does_not_know_is_left_to_others() {
    let mut fixture = dispatcher();
    fixture.datagrams.clear();
    let PeerMessage::PermitAsk(ask) = ask_of(1, 1) else {
        return;
    };
    let message = PeerMessage::PermitAsk(PermitAskEntry { queue: 77, ..ask });
    fixture.receive(node_address(5), &message);
    expect_that!(
        verdicts(&fixture),
        elements_are![eq(&(1, PermitVerdict::UnknownQueue))]
    );
}

/// What `docs/design/dispatch.md` says of the messages' sizes.
#[gtest]
fn messages_of_permits_keep_their_sizes() {
    const HEADERS_OF_UDP_AND_IP: usize = 28;
    let size = |message: &PeerMessage| encode(message).bytes.len() + HEADERS_OF_UDP_AND_IP;
    let decision = PeerMessage::PermitDecision {
        number: 1,
        queue: 2,
        verdict: PermitVerdict::Granted,
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
    expect_that!(size(&ask_of(1, 1)), eq(77));
    expect_that!(size(&decision), eq(58));
    expect_that!(size(&returned), eq(53));
}
