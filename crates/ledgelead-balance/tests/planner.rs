//! Properties of the planner over whole runs.

mod support;

use googletest::prelude::*;
use ledgelead_balance::baseline::{Assigner, BoundedLoads, Greedy, StaticHash};
use ledgelead_balance::{
    HotPosition, PlanInput, PlannedChange, Planner, PlannerMemory, SliceState, UNKNOWN_LOAD, plan,
    plan_owners,
};
use ledgelead_types::configuration::BalanceConfiguration;
use ledgelead_types::{Position, PositionRange, ServerId, Span, Time};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;
use support::Cluster;

/// Rounds after which a constant load must be balanced.
const SETTLING_ROUNDS: u64 = 900;
/// Following rounds, in which no change may be planned.
const QUIET_ROUNDS: u64 = 300;
const MINUTE: u64 = 60;

#[derive(Clone, Debug)]
struct Key {
    position: Position,
    requests_per_second: f64,
}

#[derive(Clone, Debug)]
enum Event {
    Nothing,
    HotKey(usize, f64),
    Accepting(usize, bool),
    Lose(usize),
    LoseState,
}

#[derive(Clone, Debug)]
struct Scenario {
    servers: u32,
    slices: u64,
    keys: Vec<Key>,
    policy: BalanceConfiguration,
    events: Vec<Event>,
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let key = (any::<u64>(), 0.0..40.0_f64, 0..20_u8).prop_map(|(position, rate, hot)| Key {
        position: Position(position),
        requests_per_second: if hot == 0 { rate * 20.0 } else { rate },
    });
    let event =
        (0..14_u8, any::<usize>(), 0.0..800.0_f64).prop_map(|(kind, index, rate)| match kind {
            0..=1 => Event::HotKey(index, rate),
            2 => Event::Accepting(index, false),
            3 => Event::Accepting(index, true),
            4 => Event::Lose(index),
            5 => Event::LoseState,
            _ => Event::Nothing,
        });
    let policy = (1.02..1.5_f64, 0.0..0.2_f64, 0.0..10.0_f64).prop_map(|(target, price, cap)| {
        BalanceConfiguration {
            target_imbalance: target,
            churn_price: price,
            max_churn_percent_per_minute: cap,
        }
    });
    (
        2..12_u32,
        1..400_u64,
        proptest::collection::vec(key, 0..300),
        policy,
        proptest::collection::vec(event, 150),
    )
        .prop_map(|(servers, slices, keys, policy, events)| Scenario {
            servers,
            slices,
            keys,
            policy,
            events,
        })
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x1ed6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn at(round: u64) -> Time {
    Time::ZERO + Span::from_seconds(round)
}

fn report_loads(cluster: &mut Cluster, keys: &[Key]) {
    for slice in cluster.slices.values_mut() {
        let held = || keys.iter().filter(|key| slice.range.contains(key.position));
        slice.requests_per_second = held().map(|key| key.requests_per_second).sum();
        slice.hottest = held()
            .max_by(|a, b| a.requests_per_second.total_cmp(&b.requests_per_second))
            .map(|key| HotPosition {
                position: key.position,
                requests_per_second: key.requests_per_second,
            });
    }
}

/// Runs a scenario; returns the round and change that was invalid.
fn run_scenario(
    scenario: &Scenario,
    mut assign: impl FnMut(&PlanInput, Time, &Event) -> Vec<PlannedChange>,
) -> std::result::Result<Vec<Vec<PlannedChange>>, String> {
    let mut cluster = Cluster::new(scenario.servers, 2.0, scenario.slices);
    let mut keys = scenario.keys.clone();
    let mut rounds = Vec::new();
    for (round, event) in scenario.events.iter().enumerate() {
        for completed in cluster.complete_moves() {
            let owner = cluster.slices[&completed.range.first].owner;
            if owner == Some(completed.from) {
                return Err(format!("round {round}: {completed:?} changed no owner"));
            }
        }
        apply_event(&mut cluster, &mut keys, event);
        report_loads(&mut cluster, &keys);
        let input = cluster.input(scenario.policy);
        let changes = assign(&input, at(round as u64), event);
        cluster
            .apply(&changes)
            .map_err(|error| format!("round {round}: {error}"))?;
        if !cluster.covers_space() {
            return Err(format!("round {round}: gap or overlap"));
        }
        rounds.push(changes);
    }
    Ok(rounds)
}

fn apply_event(cluster: &mut Cluster, keys: &mut [Key], event: &Event) {
    let servers = cluster.servers.len();
    match *event {
        Event::HotKey(index, rate) if !keys.is_empty() => {
            let index = index % keys.len();
            keys[index].requests_per_second = rate;
        }
        Event::Accepting(index, accepting) => {
            cluster.servers[index % servers].accepting = accepting
        }
        Event::Lose(index) if servers > 1 => {
            let server = cluster.servers[index % servers].server;
            cluster.remove_server(server);
        }
        _ => {}
    }
}

proptest! {
    #![proptest_config(config(60))]

    /// Every change names existing slices without pending changes and accepting servers, and
    /// the slices always cover the whole space. This also holds when the planner's state is
    /// lost during the run.
    #[test]
    fn changes_are_valid(scenario in scenario()) {
        let mut memory = PlannerMemory::default();
        let result = run_scenario(&scenario, |input, now, event| {
            if matches!(event, Event::LoseState) {
                memory = PlannerMemory::default();
            }
            plan(input, &mut memory, now)
        });
        prop_assert!(result.is_ok(), "{:?}", result);
    }

    /// Within any minute, moves off remaining servers stay within the churn limit.
    #[test]
    fn churn_limit_is_kept(scenario in scenario()) {
        let mut memory = PlannerMemory::default();
        let mut spent: Vec<(u64, f64)> = Vec::new();
        let result = run_scenario(&scenario, |input, now, _| {
            let changes = plan(input, &mut memory, now);
            let second = now.as_seconds() as u64;
            let stays = |server: ServerId| {
                input.servers.iter().any(|state| state.server == server && state.accepting)
            };
            for change in &changes {
                if let PlannedChange::Move { range, from, .. } = change && stays(*from) {
                    spent.push((second, 100.0 * range.share()));
                }
            }
            changes
        });
        prop_assert!(result.is_ok(), "{:?}", result);
        for (start, _) in &spent {
            let minute = *start..start + MINUTE;
            let sum: f64 = spent.iter().filter(|(s, _)| minute.contains(s)).map(|(_, p)| p).sum();
            prop_assert!(sum <= scenario.policy.max_churn_percent_per_minute + 1e-9);
        }
    }

    /// The same scenario gives the same changes, and a planner that is only given the
    /// changed slices decides like one that is given all of them.
    #[test]
    fn incremental_equals_whole_view(scenario in scenario()) {
        let mut memory = PlannerMemory::default();
        let whole = run_scenario(&scenario, |input, now, _| plan(input, &mut memory, now));
        let mut planner = Planner::default();
        let mut known = Vec::new();
        let incremental = run_scenario(&scenario, |input, now, _| {
            planner.configure(input.policy);
            planner.set_servers(&input.servers, now);
            for slice in input.slices.iter().filter(|slice| !known.contains(*slice)) {
                planner.observe(slice, now);
            }
            known.clone_from(&input.slices);
            planner.plan(now)
        });
        prop_assert_eq!(whole, incremental);
    }

    /// The baselines plan only valid changes.
    #[test]
    fn baselines_are_valid(scenario in scenario()) {
        let assigners: [Box<dyn Assigner>; 4] = [
            Box::new(StaticHash),
            Box::new(BoundedLoads::default()),
            Box::new(Greedy::default()),
            Box::new(Greedy::above_target()),
        ];
        for mut assigner in assigners {
            let result = run_scenario(&scenario, |input, now, _| assigner.plan(input, now));
            prop_assert!(result.is_ok(), "{:?}", result);
        }
    }
}

proptest! {
    #![proptest_config(config(30))]

    /// With a constant load, no changes are planned after some time.
    #[test]
    fn constant_load_stops_causing_changes(scenario in scenario()) {
        let quiet = Scenario {
            events: vec![Event::Nothing; (SETTLING_ROUNDS + QUIET_ROUNDS) as usize],
            ..scenario
        };
        let mut memory = PlannerMemory::default();
        let rounds = run_scenario(&quiet, |input, now, _| plan(input, &mut memory, now)).unwrap();
        let late: Vec<&PlannedChange> =
            rounds[SETTLING_ROUNDS as usize..].iter().flatten().collect();
        prop_assert!(late.is_empty(), "{:?}", late);
    }
}

fn even_keys(count: u64, requests_per_second: f64) -> Vec<Key> {
    let key = |index| Key {
        position: PositionRange::ALL.part(index, count).first,
        requests_per_second,
    };
    (0..count).map(key).collect()
}

fn static_scenario(servers: u32, slices: u64, keys: Vec<Key>, rounds: usize) -> Scenario {
    Scenario {
        servers,
        slices,
        keys,
        policy: BalanceConfiguration::default(),
        events: vec![Event::Nothing; rounds],
    }
}

#[gtest]
fn slices_without_owner_are_all_assigned_at_once_and_evenly() {
    let mut memory = PlannerMemory::default();
    let input = Cluster::new(14, 2.0, 112).input(BalanceConfiguration::default());
    let changes = plan(&input, &mut memory, Time::ZERO);
    let mut counts = [0; 14];
    for change in &changes {
        if let PlannedChange::Assign { to, .. } = change {
            counts[to.0 as usize] += 1;
        }
    }
    expect_that!(counts, eq([8; 14]));
}

#[gtest]
fn leaving_server_is_emptied_within_seconds_regardless_of_the_churn_limit() {
    let mut scenario = static_scenario(4, 64, even_keys(640, 1.0), 30);
    scenario.policy.max_churn_percent_per_minute = 0.0;
    scenario.events[10] = Event::Accepting(1, false);
    let mut memory = PlannerMemory::default();
    let mut left = Vec::new();
    let result = run_scenario(&scenario, |input, now, _| {
        let owned = input
            .slices
            .iter()
            .filter(|slice| slice.owner == Some(ServerId(1)));
        left.push(owned.count());
        plan(input, &mut memory, now)
    });
    expect_that!(result, ok(anything()));
    expect_that!(left[10], eq(16));
    expect_that!(left[15], eq(0));
}

#[gtest]
fn single_key_far_above_the_mean_causes_no_moves_of_wide_slices() {
    let mut scenario = static_scenario(8, 64, even_keys(400, 1.0), 600);
    scenario.events[10] = Event::HotKey(100, 400.0);
    let mut memory = PlannerMemory::default();
    let rounds = run_scenario(&scenario, |input, now, _| plan(input, &mut memory, now)).unwrap();
    let moves = rounds.iter().flatten();
    let percent: f64 = moves
        .filter_map(|change| match change {
            PlannedChange::Move { range, .. } => Some(100.0 * range.share()),
            _ => None,
        })
        .sum();
    expect_that!(percent, le(1e-9));
    expect_that!(rounds[300..].iter().flatten().count(), eq(0));
}

#[gtest]
fn hot_position_is_isolated_and_moved_before_wide_slices() {
    let mut keys = even_keys(800, 1.0);
    keys[100].requests_per_second = 30.0;
    keys[101].requests_per_second = 30.0;
    let hot = [keys[100].position, keys[101].position];
    let scenario = static_scenario(8, 64, keys, 120);
    let mut memory = PlannerMemory::default();
    let rounds = run_scenario(&scenario, |input, now, _| {
        let mut input = input.clone();
        if now == Time::ZERO {
            let slices = input.slices.iter_mut();
            slices.for_each(|slice| slice.requests_per_second = 12.0);
        }
        plan(&input, &mut memory, now)
    })
    .unwrap();
    let first_move = rounds.iter().flatten().find_map(|change| match change {
        PlannedChange::Move { range, .. } => Some(*range),
        _ => None,
    });
    let isolated = hot.map(|hot| PositionRange {
        first: hot,
        last: hot,
    });
    expect_that!(first_move, some(any![eq(isolated[0]), eq(isolated[1])]));
}

#[gtest]
fn hot_positions_are_not_moved_without_allowed_churn() {
    let mut scenario = static_scenario(4, 32, even_keys(320, 1.0), 120);
    scenario.policy.max_churn_percent_per_minute = 0.0;
    scenario.events[10] = Event::HotKey(100, 17.0);
    scenario.events[11] = Event::HotKey(101, 17.0);
    let mut memory = PlannerMemory::default();
    let rounds = run_scenario(&scenario, |input, now, _| plan(input, &mut memory, now)).unwrap();
    expect_that!(rounds[1..].iter().flatten().count(), eq(0));
}

#[gtest]
fn slices_with_unknown_load_keep_their_estimate() {
    let mut scenario = static_scenario(4, 64, even_keys(640, 1.0), 120);
    scenario.events[0] = Event::HotKey(100, 30.0);
    let mut memory = PlannerMemory::default();
    let rounds = run_scenario(&scenario, |input, now, _| {
        let mut input = input.clone();
        let of_server = |server| move |slice: &&mut SliceState| owned_by(slice, server);
        if now > Time::ZERO {
            let unreported = input.slices.iter_mut().filter(of_server(1));
            unreported.for_each(|slice| slice.requests_per_second = UNKNOWN_LOAD);
        }
        plan(&input, &mut memory, now)
    })
    .unwrap();
    expect_that!(rounds[1..].iter().flatten().count(), eq(0));
}

fn owned_by(slice: &SliceState, server: u32) -> bool {
    slice.owner == Some(ServerId(server))
}

#[gtest]
fn planning_owners_only_leaves_other_changes_to_the_next_round() {
    let mut scenario = static_scenario(4, 32, even_keys(320, 1.0), 40);
    scenario.events[10] = Event::HotKey(100, 17.0);
    scenario.events[11] = Event::HotKey(101, 17.0);
    let mut memory = PlannerMemory::default();
    let mut with_owner_rounds = PlannerMemory::default();
    let expected = run_scenario(&scenario, |input, now, _| plan(input, &mut memory, now)).unwrap();
    let planned = run_scenario(&scenario, |input, now, _| {
        plan_owners(input, &mut with_owner_rounds, now);
        plan(input, &mut with_owner_rounds, now)
    });
    expect_that!(expected[1..].iter().flatten().count(), gt(0));
    expect_that!(planned, ok(eq(&expected)));
}

#[gtest]
fn cold_server_is_given_less_load_until_it_is_warm() {
    let mut cluster = Cluster::new(4, 2.0, 64);
    let mut memory = PlannerMemory::default();
    cluster.servers[0].cold = true;
    let keys = even_keys(640, 1.0);
    report_loads(&mut cluster, &keys);
    let input = cluster.input(BalanceConfiguration::default());
    let changes = plan(&input, &mut memory, Time::ZERO);
    let given = |server: u32| {
        let to_server = |change: &&PlannedChange| matches!(change, PlannedChange::Assign { to, .. } if to.0 == server);
        changes.iter().filter(to_server).count()
    };
    expect_that!(given(0), le(6));
    expect_that!(given(1), ge(18));
}
