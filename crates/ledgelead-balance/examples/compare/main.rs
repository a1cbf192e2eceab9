//! Compares the planner with the baselines on one workload: keys with Zipf popularity, of
//! which the hottest change within minutes, while servers are drained, lost and restarted.
//! Virtual time; one seed per run.
//!
//! `cargo run --release -p ledgelead-balance --example compare -- [--seeds A..B] [--exponent
//! X] [--minutes N] [--lag SECONDS] [--load FACTOR] [--slices-per-server N]`

#[path = "../../tests/support/mod.rs"]
mod support;

mod run;
mod workload;

use ledgelead_balance::PlannerMemory;
use ledgelead_balance::baseline::{Assigner, BoundedLoads, Greedy, StaticHash};
use ledgelead_types::configuration::BalanceConfiguration;
use lexopt::{Arg, Parser, ValueExt};
use run::{Deployment, Totals, run};

struct Options {
    first_seed: u64,
    end_seed: u64,
    exponent: f64,
    minutes: u64,
    lag: usize,
    load: f64,
    slices_per_server: u64,
}

type NewAssigner = fn() -> Box<dyn Assigner>;

const ASSIGNERS: [(&str, NewAssigner); 5] = [
    ("static hash", || Box::new(StaticHash)),
    ("bounded loads", || Box::new(BoundedLoads::default())),
    ("greedy", || Box::new(Greedy::default())),
    ("greedy>target", || Box::new(Greedy::above_target())),
    ("planner", || Box::new(PlannerMemory::default())),
];

fn main() -> Result<(), lexopt::Error> {
    let options = options()?;
    println!(
        "seeds {}..{}, {} minutes each, Zipf exponent {}, lag {} s, load x{}",
        options.first_seed,
        options.end_seed,
        options.minutes,
        options.exponent,
        options.lag,
        options.load
    );
    for deployment in deployments(&options) {
        compare(&deployment, &options);
    }
    Ok(())
}

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        first_seed: 1,
        end_seed: 6,
        exponent: 0.9,
        minutes: 60,
        lag: 0,
        load: 1.0,
        slices_per_server: 8,
    };
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("seeds") => {
                let value: String = parser.value()?.parse()?;
                let (first, end) = value.split_once("..").ok_or("seeds are A..B")?;
                options.first_seed = first.parse().map_err(|_| "A is not a number")?;
                options.end_seed = end.parse().map_err(|_| "B is not a number")?;
            }
            Arg::Long("exponent") => options.exponent = parser.value()?.parse()?,
            Arg::Long("minutes") => options.minutes = parser.value()?.parse()?,
            Arg::Long("lag") => options.lag = parser.value()?.parse()?,
            Arg::Long("load") => options.load = parser.value()?.parse()?,
            Arg::Long("slices-per-server") => {
                options.slices_per_server = parser.value()?.parse()?
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

/// One service tuned for low imbalance, and one tuned for low churn.
fn deployments(options: &Options) -> [Deployment; 2] {
    let imbalance_first = Deployment {
        name: "vacantes",
        servers: 14,
        slots: 2.0,
        requests_per_second: 1_400.0 * options.load,
        exponent: options.exponent,
        lag: options.lag,
        slices_per_server: options.slices_per_server,
        seconds: options.minutes * 60,
        policy: BalanceConfiguration {
            target_imbalance: 1.08,
            churn_price: 0.02,
            max_churn_percent_per_minute: 5.0,
        },
    };
    let churn_first = Deployment {
        name: "devrec",
        slots: 3.0,
        requests_per_second: 700.0 * options.load,
        policy: BalanceConfiguration {
            target_imbalance: 1.25,
            churn_price: 0.1,
            max_churn_percent_per_minute: 1.0,
        },
        ..imbalance_first
    };
    [imbalance_first, churn_first]
}

fn compare(deployment: &Deployment, options: &Options) {
    println!("\n{}: {:?}", deployment.name, deployment.policy);
    println!(
        "{:<14} {:>9} {:>10} {:>9} {:>11} {:>8} {:>7}",
        "assigner", "imbalance", "over floor", "churn %/h", "drain %/h", "moves/h", "slices"
    );
    for (name, assigner) in ASSIGNERS {
        let mut sum = Totals::default();
        for seed in options.first_seed..options.end_seed {
            sum.add(&run(deployment, assigner().as_mut(), seed));
        }
        print_row(name, &sum);
    }
}

fn print_row(name: &str, sum: &Totals) {
    let hours = sum.seconds / 3_600.0;
    println!(
        "{name:<14} {:>9.3} {:>10.3} {:>9.2} {:>11.2} {:>8.0} {:>7.0}",
        sum.imbalance / sum.seconds,
        sum.imbalance_over_floor / sum.seconds,
        sum.churn_percent / hours,
        sum.drain_percent / hours,
        sum.moves / hours,
        sum.slices / sum.seconds,
    );
}
