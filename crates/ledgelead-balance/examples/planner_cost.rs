//! Prints the duration of a planning round by number of slices.
//!
//! `cargo run --release -p ledgelead-balance --example planner_cost`

use ledgelead_balance::{PlanInput, Planner, PlannerMemory, ServerState, SliceState, plan};
use ledgelead_types::configuration::BalanceConfiguration;
use ledgelead_types::{PositionRange, ServerId, Span, Time, ZoneId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Instant;

const SERVERS: u32 = 50;
const SLOTS: f64 = 2.0;
const ROUNDS: u64 = 101;
const SIZES: [u64; 4] = [100, 1_000, 10_000, 100_000];
/// Number of slices changed per round in the column with a constant number of changes.
const CONSTANT_CHANGES: usize = 10;

fn main() {
    println!("{SERVERS} servers, median of {ROUNDS} rounds, microseconds");
    println!(
        "{:>8} {:>12} {:>12} {:>16}",
        "slices", "1% changed", "10 changed", "whole view, 1%"
    );
    for size in SIZES {
        let one_percent = (size / 100) as usize;
        println!(
            "{:>8} {:>12.0} {:>12.0} {:>16.0}",
            size,
            median(incremental(size, one_percent)),
            median(incremental(size, CONSTANT_CHANGES)),
            median(whole_view(size, one_percent)),
        );
    }
}

fn incremental(size: u64, changed: usize) -> Vec<f64> {
    let mut random = Pcg64Mcg::seed_from_u64(size);
    let mut input = input(size, &mut random);
    let mut planner = Planner::default();
    planner.configure(input.policy);
    planner.set_servers(&input.servers, Time::ZERO);
    for slice in &input.slices {
        planner.observe(slice, Time::ZERO);
    }
    let rounds = (1..=ROUNDS).map(|round| {
        let now = Time::ZERO + Span::from_seconds(round);
        let touched = change(&mut input, changed, &mut random);
        let start = Instant::now();
        for index in touched {
            planner.observe(&input.slices[index], now);
        }
        std::hint::black_box(planner.plan(now));
        micros(start)
    });
    rounds.collect()
}

fn whole_view(size: u64, changed: usize) -> Vec<f64> {
    let mut random = Pcg64Mcg::seed_from_u64(size);
    let mut input = input(size, &mut random);
    let mut memory = PlannerMemory::default();
    plan(&input, &mut memory, Time::ZERO);
    let rounds = (1..=ROUNDS).map(|round| {
        let now = Time::ZERO + Span::from_seconds(round);
        change(&mut input, changed, &mut random);
        let start = Instant::now();
        std::hint::black_box(plan(&input, &mut memory, now));
        micros(start)
    });
    rounds.collect()
}

fn input(size: u64, random: &mut Pcg64Mcg) -> PlanInput {
    let slices = (0..size).map(|index| SliceState {
        range: PositionRange::ALL.part(index, size),
        owner: Some(ServerId((index % u64::from(SERVERS)) as u32)),
        requests_per_second: random.random_range(0.0..10.0),
        hottest: None,
        moving: false,
    });
    let slices = slices.collect();
    let servers = (0..SERVERS).map(|number| ServerState {
        server: ServerId(number),
        zone: ZoneId((number % 3) as u16),
        capacity: SLOTS,
        accepting: true,
        cold: false,
    });
    PlanInput {
        slices,
        servers: servers.collect(),
        policy: BalanceConfiguration::default(),
    }
}

fn change(input: &mut PlanInput, count: usize, random: &mut Pcg64Mcg) -> Vec<usize> {
    let touched: Vec<usize> = (0..count)
        .map(|_| random.random_range(0..input.slices.len()))
        .collect();
    for index in &touched {
        input.slices[*index].requests_per_second = random.random_range(0.0..10.0);
    }
    touched
}

fn micros(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}
