//! Replies of the dispatcher to single inputs.

mod support;

use googletest::prelude::*;
use ledgelead_request::dispatcher::*;
use ledgelead_request::message::*;
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::dispatch::*;
use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::request::{AttemptId, OwnershipClaim};
use ledgelead_types::routes::*;
use ledgelead_types::server::LoadReport;
use ledgelead_types::*;
use std::sync::Arc;
use support::{GROUP, WorldOptions, dispatched, member, routes, token};

const GATEWAY: usize = 1;

fn options() -> WorldOptions {
    WorldOptions {
        partitioning: Partitioning::Hash,
        servers: 2,
        ..WorldOptions::default()
    }
}

fn dispatcher_with(protections: Protections, servers: Vec<DispatchedServer>) -> Dispatcher {
    let settings = DispatcherSettings {
        node: NodeId(100),
        random_seed: 1,
        protections,
    };
    let mut dispatcher = Dispatcher::new(settings, Time::ZERO);
    let routes = DispatcherInput::Routes(Arc::new(routes(&options(), 1)));
    dispatcher.step(Time::ZERO, routes);
    let group = GROUP;
    dispatcher.step(Time::ZERO, DispatcherInput::Servers { group, servers });
    for server in 0..2 {
        let input = DispatcherInput::ServerLoad {
            server: ServerId(server),
            load: LoadReport::default(),
        };
        dispatcher.step(Time::ZERO, input);
    }
    dispatcher
}

fn dispatcher() -> Dispatcher {
    dispatcher_with(Protections::default(), dispatched(&options()))
}

fn attempt(request: u64) -> AttemptId {
    AttemptId {
        request: RequestId(request),
        number: 1,
    }
}

/// A permit request for the first server, which owns position 0.
fn acquire(request: u64) -> Acquire {
    Acquire {
        gateway: member(GATEWAY).incarnation,
        attempt: attempt(request),
        group: GROUP,
        selector: ServerSelector::Owner {
            server: ServerId(0),
            claim: OwnershipClaim {
                position: Position(0),
                token: token(1),
            },
        },
        tier: TierId(1),
        caller: None,
        deadline: Span::from_seconds(10),
        idempotency_key: None,
        hedge: false,
    }
}

fn send(dispatcher: &mut Dispatcher, now: Time, message: DispatchRequest) {
    let from = member(GATEWAY).node;
    dispatcher.step(now, DispatcherInput::Message { from, message });
}

fn request_permit(dispatcher: &mut Dispatcher, now: Time, request: u64) {
    send(dispatcher, now, DispatchRequest::Acquire(acquire(request)));
}

fn release_permit(dispatcher: &mut Dispatcher, now: Time, request: u64, end: PermitEnd) {
    let release = Release {
        gateway: member(GATEWAY).incarnation,
        attempt: attempt(request),
        end,
        service_time: Span::from_millis(10),
    };
    send(dispatcher, now, DispatchRequest::Release(release));
}

fn replies(dispatcher: &mut Dispatcher) -> Vec<DispatchReply> {
    let reply = |output| match output {
        DispatcherOutput::Reply { message, .. } => Some(message),
        _ => None,
    };
    dispatcher
        .take_outputs()
        .into_iter()
        .filter_map(reply)
        .collect()
}

fn permitted(dispatcher: &mut Dispatcher) -> Vec<u64> {
    let permit = |reply| match reply {
        DispatchReply::Permit { attempt, .. } => Some(attempt.request.0),
        _ => None,
    };
    replies(dispatcher).into_iter().filter_map(permit).collect()
}

fn refusals(dispatcher: &mut Dispatcher) -> Vec<NotRunReason> {
    let refusal = |reply| match reply {
        DispatchReply::Refuse { reason, .. } => Some(reason),
        _ => None,
    };
    replies(dispatcher)
        .into_iter()
        .filter_map(refusal)
        .collect()
}

/// Advances the time and handles the timers that become due.
fn advance_to(dispatcher: &mut Dispatcher, until: Time) {
    while dispatcher.next_wakeup() <= until {
        let now = dispatcher.next_wakeup();
        dispatcher.tick(now);
    }
}

#[gtest]
fn grants_two_slots_and_one_more_then_queues() {
    let mut dispatcher = dispatcher();
    for request in 1..=5 {
        request_permit(&mut dispatcher, Time(10), request);
    }
    expect_that!(
        permitted(&mut dispatcher),
        elements_are![eq(&1), eq(&2), eq(&3)]
    );
    release_permit(&mut dispatcher, Time(20), 2, PermitEnd::Answered);
    release_permit(&mut dispatcher, Time(21), 2, PermitEnd::Answered);
    expect_that!(permitted(&mut dispatcher), elements_are![eq(&4)]);
}

#[gtest]
fn repeats_its_reply_to_a_resent_permit_request() {
    let mut dispatcher = dispatcher();
    request_permit(&mut dispatcher, Time(10), 1);
    let first = replies(&mut dispatcher);
    request_permit(&mut dispatcher, Time(20), 1);
    expect_that!(replies(&mut dispatcher), eq(&first));
    expect_that!(dispatcher.server_views(Time(20))[0].slots_in_use, eq(1));
}

#[gtest]
fn a_lost_release_occupies_a_slot_only_until_the_permit_is_checked() {
    let mut dispatcher = dispatcher();
    request_permit(&mut dispatcher, Time(10), 1);
    replies(&mut dispatcher);
    advance_to(&mut dispatcher, Time::ZERO + Span::from_millis(250));
    let check = DispatchReply::CheckPermit {
        gateway: member(GATEWAY).incarnation,
        attempt: attempt(1),
    };
    expect_that!(replies(&mut dispatcher), elements_are![eq(&check)]);
    release_permit(&mut dispatcher, Time(260_000), 1, PermitEnd::Unused);
    expect_that!(
        dispatcher.server_views(Time(260_000))[0].slots_in_use,
        eq(0)
    );
}

#[gtest]
fn an_unresponsive_or_lost_gateway_does_not_occupy_slots_forever() {
    let mut unresponsive = dispatcher();
    request_permit(&mut unresponsive, Time(10), 1);
    advance_to(&mut unresponsive, Time::ZERO + Span::from_seconds(3));
    expect_that!(unresponsive.server_views(Time(0))[0].slots_in_use, eq(0));

    let mut lost = dispatcher();
    for request in 1..=5 {
        request_permit(&mut lost, Time(10), request);
    }
    lost.step(Time(20), DispatcherInput::GatewayLost(member(GATEWAY).node));
    advance_to(&mut lost, Time::ZERO + Span::from_millis(100));
    expect_that!(lost.server_views(Time(0))[0].slots_in_use, eq(0));
    expect_that!(lost.server_views(Time(0))[0].queued, eq(0));
}

#[gtest]
fn without_a_lease_no_permit_is_granted_and_requests_are_refused_in_time() {
    let mut servers = dispatched(&options());
    servers[0].lease_until = Some(Time(5));
    let mut dispatcher = dispatcher_with(Protections::default(), servers);
    request_permit(&mut dispatcher, Time(10), 1);
    expect_that!(replies(&mut dispatcher), is_empty());
    advance_to(&mut dispatcher, Time::ZERO + Span::from_millis(1_200));
    expect_that!(
        refusals(&mut dispatcher),
        elements_are![eq(&NotRunReason::NoServer)]
    );
    request_permit(&mut dispatcher, Time::ZERO + Span::from_millis(1_300), 2);
    expect_that!(
        refusals(&mut dispatcher),
        elements_are![eq(&NotRunReason::NoServer)]
    );
}

#[gtest]
fn a_draining_server_gets_no_unkeyed_work_and_keyed_work_only_briefly() {
    let later = Time::ZERO + Span::from_seconds(2);
    let permits_at = |protections, at| {
        let mut servers = dispatched(&options());
        servers[0].status = ServerStatus::Draining;
        let mut dispatcher = dispatcher_with(protections, servers);
        request_permit(&mut dispatcher, at, 1);
        permitted(&mut dispatcher).len()
    };
    expect_that!(permits_at(Protections::default(), Time(10)), eq(1));
    expect_that!(permits_at(Protections::default(), later), eq(0));
    let off = Protections::without(Protection::DrainStopsWork);
    expect_that!(permits_at(off, later), eq(1));

    let mut servers = dispatched(&options());
    servers[0].status = ServerStatus::Draining;
    let mut dispatcher = dispatcher_with(Protections::default(), servers);
    for request in 1..=6 {
        let mut any = acquire(request);
        any.selector = ServerSelector::Any { avoid: None };
        send(&mut dispatcher, Time(10), DispatchRequest::Acquire(any));
    }
    expect_that!(permitted(&mut dispatcher).len(), eq(3));
}

#[gtest]
fn redirects_requests_that_wait_for_a_moved_slice() {
    let mut dispatcher = dispatcher();
    for request in 1..=4 {
        request_permit(&mut dispatcher, Time(10), request);
    }
    replies(&mut dispatcher);
    let mut moved = routes(&options(), 2);
    moved.slices[0].owner = Some(ServerId(1));
    moved.slices[0].token = token(2);
    dispatcher.step(Time(20), DispatcherInput::Routes(Arc::new(moved)));
    request_permit(&mut dispatcher, Time(30), 5);
    let gateway = member(GATEWAY).incarnation;
    let moved = |request| DispatchReply::Moved {
        gateway,
        attempt: attempt(request),
    };
    expect_that!(
        replies(&mut dispatcher),
        elements_are![eq(&moved(4)), eq(&moved(5))]
    );
}

#[gtest]
fn counts_permits_of_the_previous_dispatcher() {
    let mut dispatcher = dispatcher_with(Protections::default(), vec![]);
    let servers = dispatched(&options());
    let group = GROUP;
    dispatcher.step(Time(10), DispatcherInput::Servers { group, servers });
    let load = |executing| DispatcherInput::ServerLoad {
        server: ServerId(0),
        load: LoadReport {
            executing,
            ..LoadReport::default()
        },
    };
    dispatcher.step(Time(20), load(2));
    for request in 1..=4 {
        request_permit(&mut dispatcher, Time(30), request);
    }
    expect_that!(permitted(&mut dispatcher), elements_are![eq(&1)]);
    dispatcher.step(Time(40), load(1));
    expect_that!(permitted(&mut dispatcher), elements_are![eq(&2), eq(&3)]);
}

/// A renewed lease lets queued work continue. A change of a server that this node does not
/// dispatch is ignored.
#[gtest]
fn a_change_of_one_server_is_applied() {
    let mut servers = dispatched(&options());
    let renewed = servers[0];
    servers[0].lease_until = None;
    let mut dispatcher = dispatcher_with(Protections::default(), servers);
    request_permit(&mut dispatcher, Time(10), 1);
    expect_that!(permitted(&mut dispatcher), is_empty());
    dispatcher.step(Time(20), DispatcherInput::ServerChanged(renewed));
    expect_that!(permitted(&mut dispatcher), elements_are![eq(&1)]);
    let mut empty = dispatcher_with(Protections::default(), vec![]);
    empty.step(Time(20), DispatcherInput::ServerChanged(renewed));
    request_permit(&mut empty, Time(30), 1);
    expect_that!(permitted(&mut empty), is_empty());
}

#[gtest]
fn ejects_a_failing_server_but_never_more_than_a_third() {
    let options = WorldOptions {
        partitioning: Partitioning::None,
        servers: 3,
        ..WorldOptions::default()
    };
    let mut dispatcher = dispatcher_with(Protections::default(), dispatched(&options));
    let mut now = Time(10);
    let mut next = 0;
    let mut served_by = |dispatcher: &mut Dispatcher, fails: &dyn Fn(ServerId) -> bool| {
        next += 1;
        now = now + Span::from_millis(1);
        let mut any = acquire(next);
        any.selector = ServerSelector::Any { avoid: None };
        send(dispatcher, now, DispatchRequest::Acquire(any));
        let server = replies(dispatcher)
            .into_iter()
            .find_map(|reply| match reply {
                DispatchReply::Permit { server, .. } => Some(server),
                _ => None,
            });
        let server = server.expect("a permit");
        let end = if fails(server) {
            PermitEnd::ServerFailure
        } else {
            PermitEnd::Answered
        };
        release_permit(dispatcher, now, next, end);
        server
    };
    for _ in 0..60 {
        served_by(&mut dispatcher, &|server| server == ServerId(0));
    }
    for _ in 0..30 {
        let server = served_by(&mut dispatcher, &|_| true);
        expect_that!(server, not(eq(ServerId(0))));
    }
    let last: Vec<ServerId> = (0..10)
        .map(|_| served_by(&mut dispatcher, &|_| true))
        .collect();
    expect_that!(last, contains(eq(&ServerId(1))));
    expect_that!(last, contains(eq(&ServerId(2))));
}

#[gtest]
fn no_permit_for_an_idempotency_key_before_its_record_is_begun() {
    let mut dispatcher = dispatcher();
    let key = IdempotencyKey(9);
    let with_key = |request| {
        let mut acquire = acquire(request);
        acquire.idempotency_key = Some(key);
        DispatchRequest::Acquire(acquire)
    };
    let owner = |request| IdempotencyOwner {
        gateway: member(GATEWAY),
        request: RequestId(request),
    };
    let decide = |request, verdict| DispatcherInput::IdempotencyRecordDecided {
        owner: owner(request),
        key,
        verdict,
    };
    send(&mut dispatcher, Time(10), with_key(1));
    let begin = DispatcherOutput::BeginIdempotencyRecord {
        group: GROUP,
        owner: owner(1),
        key,
    };
    expect_that!(dispatcher.take_outputs(), elements_are![eq(&begin)]);
    dispatcher.step(Time(20), decide(1, IdempotencyVerdict::Fresh));
    expect_that!(permitted(&mut dispatcher), elements_are![eq(&1)]);

    dispatcher.step(Time(25), DispatcherInput::GatewayLost(member(GATEWAY).node));
    let ended = DispatcherOutput::EndIdempotencyRecord {
        group: GROUP,
        owner: owner(1),
        key,
        state: Some(IdempotencyState::Unknown),
    };
    expect_that!(dispatcher.take_outputs(), elements_are![eq(&ended)]);

    send(&mut dispatcher, Time(30), with_key(2));
    let begun = IdempotencyVerdict::Duplicate(IdempotencyState::Begun);
    dispatcher.step(Time(40), decide(2, begun));
    let duplicate = DispatchReply::Duplicate {
        gateway: member(GATEWAY).incarnation,
        attempt: attempt(2),
        state: IdempotencyState::Begun,
    };
    expect_that!(replies(&mut dispatcher), elements_are![eq(&duplicate)]);

    send(&mut dispatcher, Time(50), with_key(3));
    dispatcher.step(Time(60), decide(3, IdempotencyVerdict::Unavailable));
    expect_that!(
        refusals(&mut dispatcher),
        elements_are![eq(&NotRunReason::NoServer)]
    );
}

#[gtest]
fn reports_the_load_of_slices_and_their_hot_positions() {
    let mut dispatcher = dispatcher();
    let mut now = Time(0);
    for request in 0..2_000 {
        now = now + Span::from_millis(10);
        let mut acquire = acquire(request);
        let position = if request % 2 == 0 {
            42
        } else {
            request * 7_919
        };
        acquire.selector = ServerSelector::Owner {
            server: ServerId(0),
            claim: OwnershipClaim {
                position: Position(position),
                token: token(1),
            },
        };
        send(&mut dispatcher, now, DispatchRequest::Acquire(acquire));
        release_permit(&mut dispatcher, now, request, PermitEnd::Answered);
    }
    let loads = dispatcher.slice_loads(now);
    let slice = loads[0].slices[0];
    expect_that!(slice.requests_per_second, near(100.0, 5.0));
    let hottest = slice.hottest.expect("a hot position");
    expect_that!(hottest.position, eq(Position(42)));
    expect_that!(hottest.requests_per_second, near(43.0, 5.0));
}
