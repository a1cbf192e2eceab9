//! Guarantees of request handling with lost, delayed, duplicated and reordered messages and
//! answers. The same checks must fail when the matching protection is off.

mod support;

use googletest::prelude::*;
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::request::AttemptId;
use ledgelead_types::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use support::*;

const REQUESTS: u64 = 300;

/// Number of violations of each guarantee.
#[derive(Debug, Default, PartialEq)]
struct Violations {
    not_one_response: usize,
    wrong_answer: usize,
    ran_after_not_run: usize,
    ran_twice: usize,
    ran_twice_under_a_key: usize,
}

fn count_violations(world: &World) -> Violations {
    let mut violations = Violations::default();
    let mut executions_of_key: BTreeMap<String, usize> = BTreeMap::new();
    for (key, (_, arrival)) in &world.arrivals {
        let responses = world.responses.get(key).map_or(&[][..], Vec::as_slice);
        let executions = world.executions.get(key).map_or(0, Vec::len);
        if responses.len() != 1 {
            violations.not_one_response += 1;
        }
        for response in responses {
            let wrong = response
                .attempt
                .is_some_and(|attempt| !is_own_or_first(world, *key, attempt));
            violations.wrong_answer += usize::from(wrong);
            let not_run = matches!(response.outcome, Outcome::NotRun(_));
            violations.ran_after_not_run += usize::from(not_run && executions > 0);
        }
        let once_only = !arrival.repeatable || arrival.idempotency_key.is_some();
        violations.ran_twice += usize::from(once_only && executions > 1);
        if let Some(once) = &arrival.idempotency_key {
            *executions_of_key.entry(once.0.clone()).or_default() += executions;
        }
    }
    violations.ran_twice_under_a_key = executions_of_key
        .values()
        .filter(|&&executions| executions > 1)
        .count();
    violations
}

/// Whether an attempt belongs to the request itself, or to the request with the same
/// idempotency key that was answered first at the same gateway.
fn is_own_or_first(world: &World, key: (GatewayIndex, RequestId), attempt: AttemptId) -> bool {
    if attempt.request == key.1 {
        return true;
    }
    let first = (key.0, attempt.request);
    let (Some((_, arrival)), Some((_, earlier))) =
        (world.arrivals.get(&key), world.arrivals.get(&first))
    else {
        return false;
    };
    let same_key = arrival.idempotency_key.is_some()
        && arrival.idempotency_key == earlier.idempotency_key
        && arrival.key == earlier.key
        && arrival.credential_sha256 == earlier.credential_sha256;
    let response = world.responses.get(&first).and_then(|all| all.first());
    let passed_on = response.is_some_and(|response| {
        response.outcome == Outcome::Answered && response.attempt == Some(attempt)
    });
    same_key && passed_on
}

/// Three hundred requests of all kinds within three seconds. Some share an idempotency key,
/// and some callers disconnect.
fn run(options: WorldOptions) -> World {
    let mut world = World::new(options);
    for id in 0..REQUESTS {
        let at = Time(id * 10_000);
        let gateway = (id % 3) as GatewayIndex;
        let mut arrival = request(id);
        arrival.repeatable = id % 2 == 0;
        if id % 5 == 0 {
            arrival.idempotency_key = Some(format!("key-{}", id / 20).as_str().into());
            arrival.key = Some(Bytes(vec![(id / 20) as u8]));
        }
        arrival.deadline = Some(Span::from_millis(100 + (id % 7) * 150));
        world.arrive(at, gateway, arrival);
        if id % 17 == 0 {
            world.leave(at + Span::from_millis(id % 23), gateway, RequestId(id));
        }
    }
    for gateway in 0..3 {
        world.stop(Time::ZERO + Span::from_millis(2_950), gateway);
    }
    world.run(Time::ZERO + Span::from_seconds(12));
    world
}

fn faults() -> impl Strategy<Value = Faults> {
    let share = || prop_oneof![Just(0.0), 0.0..0.3_f64];
    (
        share(),
        share(),
        share(),
        share(),
        share(),
        share(),
        0..40_u64,
    )
        .prop_map(
            |(lose, double, lost, cut, doubled, refused, delay)| Faults {
                lose_message: lose,
                duplicate_message: double,
                lose_answer: lost,
                truncate_answer: cut,
                duplicate_answer: doubled,
                refuse_connection: refused,
                largest_delay: Span::from_millis(delay),
            },
        )
}

fn options(seed: u64, keyed: bool, faults: Faults) -> WorldOptions {
    WorldOptions {
        seed,
        faults,
        partitioning: if keyed {
            Partitioning::Hash
        } else {
            Partitioning::None
        },
        ..WorldOptions::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_guarantees_hold_under_faults(seed: u64, keyed: bool, faults in faults()) {
        let world = run(options(seed, keyed, faults));
        prop_assert_eq!(count_violations(&world), Violations::default());
        for (index, gateway) in world.gateways.iter().enumerate() {
            prop_assert_eq!(gateway.in_flight(), 0);
            prop_assert!(world.drained[index].is_some());
        }
    }

    #[test]
    fn permits_never_exceed_the_slots_plus_one(seed: u64, keyed: bool, delay in 0..20_u64) {
        let faults = Faults {
            largest_delay: Span::from_millis(delay),
            ..Faults::default()
        };
        let mut options = options(seed, keyed, faults);
        options.service_time = Span::from_millis(60);
        let slots = usize::from(options.slots);
        let world = run(options);
        prop_assert!(world.max_at_a_server <= slots + 1);
    }
}

fn violations_without(protection: Protection) -> Violations {
    let faults = Faults {
        lose_answer: 0.2,
        truncate_answer: 0.1,
        largest_delay: Span::from_millis(5),
        ..Faults::default()
    };
    let mut options = options(11, false, faults);
    options.protections = Protections::without(protection);
    count_violations(&run(options))
}

#[gtest]
fn the_checks_fail_with_a_protection_off() {
    let retried = violations_without(Protection::UnknownNotRetried);
    expect_that!(retried.ran_twice, gt(0));
    let mismatched = violations_without(Protection::AnswerMatch);
    expect_that!(mismatched.wrong_answer, gt(0));
    let inaccurate = violations_without(Protection::AccurateNotRun);
    expect_that!(inaccurate.ran_after_not_run, gt(0));
    let unrecorded = violations_without(Protection::IdempotencyRecord);
    expect_that!(unrecorded.ran_twice_under_a_key, gt(0));
}

#[gtest]
fn a_stop_waits_for_requests_in_flight_unless_the_protection_is_off() {
    let stopped_at = |protections| {
        let mut options = options(3, false, Faults::default());
        options.service_time = Span::from_millis(300);
        options.protections = protections;
        let mut world = World::new(options);
        world.arrive(Time::ZERO, 0, request(1));
        world.stop(Time(20_000), 0);
        world.arrive(Time(30_000), 0, request(2));
        world.run(Time::ZERO + Span::from_seconds(5));
        let stopping = Outcome::NotRun(NotRunReason::Stopping);
        expect_that!(world.response(0, 2).outcome, eq(stopping));
        (world.drained[0].unwrap(), world.response(0, 1).at)
    };
    let (drained, answered) = stopped_at(Protections::default());
    expect_that!(drained, ge(answered));
    let (drained, answered) = stopped_at(Protections::without(Protection::StopWaitsForInFlight));
    expect_that!(drained, lt(answered));
}

#[gtest]
fn a_retry_gets_the_first_answer_at_the_gateway_that_keeps_it() {
    let mut world = World::new(WorldOptions::default());
    for (id, at, gateway) in [(1, 0, 0), (2, 1_000, 0), (3, 1_000, 1), (4, 70_000, 0)] {
        let mut arrival = request(id);
        arrival.repeatable = false;
        arrival.idempotency_key = Some("order-7".into());
        arrival.key = Some(Bytes(vec![7]));
        world.arrive(Time::ZERO + Span::from_millis(at), gateway, arrival);
    }
    world.run(Time::ZERO + Span::from_seconds(75));
    let response_of = |gateway, id| {
        let response = world.responses[&(gateway, RequestId(id))][0];
        (
            response.outcome,
            response.attempt.map(|attempt| attempt.request),
        )
    };
    let not_held = Outcome::Unknown(UnknownReason::AnswerNotHeld);
    expect_that!(
        response_of(0, 1),
        eq((Outcome::Answered, Some(RequestId(1))))
    );
    expect_that!(
        response_of(0, 2),
        eq((Outcome::Answered, Some(RequestId(1))))
    );
    expect_that!(response_of(1, 3), eq((not_held, None)));
    expect_that!(response_of(0, 4), eq((not_held, None)), "no longer held");
    expect_that!(world.executions.len(), eq(1));
}
