//! Tests of the parts of the simulation and of scenario files.

use googletest::prelude::*;
use ledgelead_lab::scenario::parse;
use ledgelead_lab::simulation::clock::{NodeClock, SkewedClock};
use ledgelead_lab::simulation::network::{Endpoint, Network};
use ledgelead_lab::simulation::queue::EventQueue;
use ledgelead_lab::simulation::rng::RandomStream;
use ledgelead_lab::standin::platform::{PlatformResponse, PlatformState};
use ledgelead_types::platform::*;
use ledgelead_types::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cell::Cell;
use std::rc::Rc;

const BOGOTA: &str = include_str!("../../../scenarios/bogota.toml");

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Waiting for the converted span never ends before the span has passed on the skewed
    /// clock.
    #[test]
    fn timers_of_skewed_clocks_never_fire_early(seed: u64, run in 0_u64..1 << 36, span in 0_u64..1 << 32) {
        let clock = SkewedClock::draw(&mut RandomStream::new(seed, 0), 5_000);
        let waited = Time(run) + clock.run_span(Span(span));
        let elapsed = clock.local(waited).since(clock.local(Time(run)));
        prop_assert!(elapsed.0 + 1 >= span);
    }

    /// Events are taken in the order of their times, and of insertion if the times are equal.
    #[test]
    fn events_come_in_order(times in proptest::collection::vec(0_u64..20, 0..50)) {
        let mut queue = EventQueue::default();
        for (number, time) in times.iter().enumerate() {
            queue.add(Time(*time), (*time, number));
        }
        let mut taken = Vec::new();
        while let Some(event) = queue.take_due(Time(20)) {
            taken.push(event);
        }
        prop_assert_eq!(taken.len(), times.len());
        prop_assert!(taken.is_sorted());
    }
}

#[gtest]
fn paused_process_sees_its_clock_jump_at_the_end_of_the_pause() {
    let run = Rc::new(Cell::new(Time(1_000)));
    let clock = NodeClock::new(
        run.clone(),
        SkewedClock::draw(&mut RandomStream::new(1, 1), 0),
    );
    let before = clock.now();
    clock.pause(Time(5_000));
    run.set(Time(4_000));
    expect_that!(clock.now(), eq(before));
    expect_that!(clock.timer_delay(Span(1)).as_micros(), eq(1_000));
    run.set(Time(5_000));
    clock.resume();
    expect_that!(clock.now().since(before), eq(Span(4_000)));
}

#[gtest]
fn partitioned_zone_is_isolated_from_others_but_connected_within() {
    let scenario = parse(BOGOTA).expect("the scenario is valid");
    let rng = RandomStream::new(1, 1);
    let mut network = Network::new(&scenario.network, &scenario.platform, &scenario.zones, rng);
    for (index, zone) in [0, 0, 1].into_iter().enumerate() {
        network.put(Endpoint::Node(index), zone);
    }
    network.cut_zone(0, true);
    network.cut_zone(0, true);
    network.cut_zone(0, false);
    expect_that!(
        network.connected(Endpoint::Node(0), Endpoint::Node(1)),
        eq(true)
    );
    expect_that!(
        network.connected(Endpoint::Node(0), Endpoint::Node(2)),
        eq(false)
    );
    expect_that!(
        network.connected(Endpoint::Node(0), Endpoint::Platform),
        eq(false)
    );
    expect_that!(
        network.connected(Endpoint::Node(0), Endpoint::Clients),
        eq(true)
    );
    network.cut_zone(0, false);
    expect_that!(
        network.segment(Endpoint::Node(0), Endpoint::Node(2)),
        some(anything())
    );
}

#[gtest]
fn compare_and_swap_with_a_lost_answer_takes_effect() {
    let mut platform = PlatformState::default();
    platform.condition.loses_answers = true;
    let name = Text::from("object");
    let create = PlatformCall::CompareAndSwap {
        name: name.clone(),
        expected: ObjectVersion(0),
        value: Bytes(vec![7]),
    };
    let lost = PlatformResponse::Ended(Err(PlatformError::AnswerLost));
    expect_that!(platform.call(Time(1), &create), eq(&lost));
    platform.condition.loses_answers = false;
    let conflict = PlatformReply::Conflict {
        version: ObjectVersion(1),
    };
    let ended = PlatformResponse::Ended(Ok(conflict));
    expect_that!(platform.call(Time(2), &create), eq(&ended));
}

#[gtest]
fn machine_is_listed_as_gone_with_delay_and_as_live_immediately() {
    let mut platform = PlatformState::new(Span(10));
    let entry = |state| MachineEntry {
        node: NodeId(1),
        zone: ZoneId(1),
        address: Text::default(),
        state,
    };
    let state_at = |platform: &mut PlatformState, now| match platform
        .call(Time(now), &PlatformCall::ListMachines)
    {
        PlatformResponse::Ended(Ok(PlatformReply::Machines(machines))) => machines[0].state,
        other => panic!("unexpected answer {other:?}"),
    };
    platform.set_machine(Time(0), entry(MachineState::Live));
    platform.set_machine(Time(1), entry(MachineState::Gone));
    expect_that!(state_at(&mut platform, 10), eq(MachineState::Live));
    expect_that!(state_at(&mut platform, 11), eq(MachineState::Gone));
    platform.set_machine(Time(12), entry(MachineState::Gone));
    platform.set_machine(Time(13), entry(MachineState::Live));
    expect_that!(state_at(&mut platform, 30), eq(MachineState::Live));
}

#[gtest]
fn all_scenario_errors_are_reported_with_their_location() {
    let invalid = BOGOTA
        .replace("quiet_seconds = 15", "quiet_seconds = 90")
        .replace("clock_drift_ppm = 5000", "clock_drift_ppm = 50000")
        .replacen("slots = 2", "slots = 0", 1)
        .replacen("weight = 6", "weight = 6\nwait = 7", 1)
        .replacen(
            "kind = \"kill-node\"",
            "kind = \"kill-node\"\nat_seconds = 1.0",
            1,
        );
    let findings = parse(&invalid).expect_err("the scenario has mistakes");
    let places = findings.iter().map(|finding| finding.place.as_str());
    expect_that!(
        places.collect::<Vec<_>>(),
        unordered_elements_are![
            eq(&"tiers[0]"),
            eq(&"tiers"),
            eq(&"run.virtual_seconds"),
            eq(&"nodes.clock_drift_ppm"),
            eq(&"services[0].slots"),
            eq(&"faults[0]"),
        ]
    );
}
