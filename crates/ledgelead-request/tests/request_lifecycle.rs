//! Handling of single requests from arrival to outcome.

mod support;

use googletest::prelude::*;
use ledgelead_types::configuration::{CallerConfiguration, Partitioning};
use ledgelead_types::*;
use support::*;

fn keyed() -> WorldOptions {
    WorldOptions {
        partitioning: Partitioning::Hash,
        ..WorldOptions::default()
    }
}

#[gtest]
fn answers_requests_with_and_without_a_key() {
    for options in [WorldOptions::default(), keyed()] {
        let mut world = World::new(options);
        world.arrive(Time(1_000), 0, request(1));
        world.run(Time::ZERO + Span::from_seconds(1));
        expect_that!(world.response(0, 1).outcome, eq(Outcome::Answered));
        expect_that!(world.forwards.len(), eq(1));
    }
}

/// Complete trace of a request whose first connection is refused.
#[gtest]
fn a_request_with_a_retry() {
    let mut options = WorldOptions::default();
    options.faults.refuse_connection = 0.5;
    options.seed = 4;
    let mut world = World::new(options);
    world.trace = Some(Vec::new());
    world.arrive(Time(1_000), 0, request(1));
    world.run(Time::ZERO + Span::from_seconds(1));
    insta::assert_snapshot!(world.trace.unwrap_or_default().join("\n"));
}

#[gtest]
fn a_passed_deadline_reports_whether_the_request_may_have_run() {
    let mut world = World::new(WorldOptions::default());
    world.frozen = (0..3).map(ServerId).collect();
    let mut sent = request(1);
    sent.deadline = Some(Span::from_millis(300));
    world.arrive(Time(1_000), 0, sent);
    world.run(Time::ZERO + Span::from_seconds(3));
    let response = world.response(0, 1);
    let unknown = Outcome::Unknown(UnknownReason::DeadlinePassed);
    expect_that!(response.outcome, eq(unknown));
    expect_that!(response.at, eq(Time(301_000)));
}

/// All messages to dispatchers are lost: the request ends after the bounded hold time
/// instead of at its deadline, with a retry delay.
#[gtest]
fn an_unresponsive_dispatcher_ends_the_request_before_its_deadline() {
    for options in [WorldOptions::default(), keyed()] {
        let mut options = options;
        options.faults.lose_message = 1.0;
        let mut world = World::new(options);
        let mut long_deadline = request(1);
        long_deadline.deadline = Some(Span::from_seconds(60));
        world.arrive(Time(1_000), 0, long_deadline);
        world.run(Time::ZERO + Span::from_seconds(3));
        let response = world.response(0, 1);
        let no_server = Outcome::NotRun(NotRunReason::NoServer);
        expect_that!(response.outcome, eq(no_server));
        expect_that!(response.at, le(Time(1_000) + Span::from_millis(1_200)));
        expect_that!(response.retry_after, some(gt(Span::ZERO)));
    }
}

#[gtest]
fn unknown_callers_and_unknown_services_are_rejected() {
    let mut world = World::new(WorldOptions {
        tiers: load::three_tiers(),
        ..keyed()
    });
    world.arrive(Time(1_000), 0, request(1));
    let mut elsewhere = request(2);
    elsewhere.service = "elsewhere".into();
    world.arrive(Time(1_000), 0, elsewhere);
    let mut keyless = request(3);
    keyless.credential_sha256 = "gold".into();
    keyless.key = None;
    world.arrive(Time(1_000), 0, keyless);
    world.run(Time::ZERO + Span::from_seconds(1));
    let reasons = [1, 2, 3].map(|id| world.response(0, id).outcome);
    expect_that!(
        reasons,
        elements_are![
            eq(Outcome::NotRun(NotRunReason::Unauthorized)),
            eq(Outcome::NotRun(NotRunReason::UnknownService)),
            eq(Outcome::NotRun(NotRunReason::BadRequest)),
        ]
    );
}

/// One of three servers accepts requests but never answers.
#[gtest]
fn a_repeatable_request_is_hedged_after_most_latencies_have_passed() {
    let mut world = World::new(WorldOptions::default());
    for id in 0..600 {
        let mut repeatable = request(id);
        repeatable.repeatable = true;
        world.arrive(Time(id * 20_000), 0, repeatable);
    }
    world.run(Time::ZERO + Span::from_seconds(11));
    world.frozen = vec![ServerId(1)];
    world.run(Time::ZERO + Span::from_seconds(20));
    let slowest = (550..600)
        .filter(|&id| world.response(0, id).outcome == Outcome::Answered)
        .map(|id| world.response(0, id).at.since(Time(id * 20_000)))
        .max();
    let answered = (550..600).filter(|&id| world.response(0, id).outcome == Outcome::Answered);
    expect_that!(answered.count(), ge(40));
    expect_that!(slowest, some(lt(Span::from_millis(300))));
    let second_attempts = world
        .forwards
        .iter()
        .filter(|(_, forward)| forward.attempt.number > 1)
        .count();
    expect_that!(second_attempts, ge(5));
}

/// The routes report a lost server: its repeatable requests are retried elsewhere at once,
/// the others wait for their answers.
#[gtest]
fn requests_at_a_lost_server_are_retried_only_if_repeatable() {
    let mut world = World::new(WorldOptions::default());
    world.frozen = (0..3).map(ServerId).collect();
    for id in [1, 2] {
        let mut arrival = request(id);
        arrival.repeatable = id == 1;
        world.arrive(Time(1_000), 0, arrival);
    }
    world.run(Time(100_000));
    let lost: Vec<ServerId> = world
        .forwards
        .iter()
        .map(|(_, forward)| forward.server)
        .collect();
    world.frozen.clear();
    world.mark_servers_lost(&lost);
    world.run(Time::ZERO + Span::from_seconds(3));
    expect_that!(world.response(0, 1).outcome, eq(Outcome::Answered));
    expect_that!(world.response(0, 1).at, lt(Time(300_000)));
    let unknown = Outcome::Unknown(UnknownReason::DeadlinePassed);
    expect_that!(world.response(0, 2).outcome, eq(unknown));
    expect_that!(world.forwards.len(), eq(3));
}

#[gtest]
fn rate_and_concurrency_of_a_caller_are_limited() {
    let mut options = WorldOptions {
        tiers: load::three_tiers(),
        ..WorldOptions::default()
    };
    options.service_time = Span::from_millis(1);
    let limited = |limit: fn(&mut CallerConfiguration)| {
        let mut configuration = configuration(&options);
        for caller in &mut configuration.callers.0 {
            limit(caller);
        }
        configuration.version = ConfigurationVersion(2);
        let mut world = World::new(options.clone());
        world.configure(configuration);
        for id in 0..20 {
            let mut arrival = request(id);
            arrival.credential_sha256 = "gold".into();
            world.arrive(Time(1_000 + id), 0, arrival);
        }
        world.run(Time::ZERO + Span::from_seconds(3));
        (0..20)
            .filter(|&id| world.response(0, id).outcome == Outcome::Answered)
            .count()
    };
    expect_that!(limited(|_| {}), eq(20));
    expect_that!(limited(|caller| caller.max_requests_per_second = 7), eq(7));
    expect_that!(limited(|caller| caller.max_concurrent = 3), eq(3));
}
