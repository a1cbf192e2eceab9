//! The `ledgelead-lab overload` command. Runs a complete deployment without faults under
//! several loads and compares it with models of other dispatch methods that get the same
//! arrivals.

mod experiment;
pub mod models;
pub mod report;

pub use experiment::measure;

use crate::simulation::command::{SimulateError, read_scenario};
use lexopt::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;

/// Default loads of each service, as shares of its capacity.
const LOADS: [f64; 5] = [0.5, 0.8, 0.95, 2.0, 5.0];
/// Default length of each run, in virtual seconds.
const SECONDS: u64 = 60;
/// Default maximum number of threads.
const THREADS: usize = 4;

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Loads of each service as shares of its capacity.
    pub loads: Vec<f64>,
    /// Seed of every run.
    pub seed: u64,
    /// Virtual seconds of each run.
    pub seconds: u64,
    /// Number of runs at the same time.
    pub threads: usize,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            loads: LOADS.to_vec(),
            seed: 1,
            seconds: SECONDS,
            threads: THREADS,
        }
    }
}

/// Runs `overload` with its command line arguments.
///
/// # Errors
/// Returns an error if the command line is invalid or the scenario can't be read.
pub fn run(parser: &mut lexopt::Parser) -> Result<ExitCode, SimulateError> {
    let mut plan = Plan::default();
    let mut scenario = None;
    let mut json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Value(path) if scenario.is_none() => scenario = Some(PathBuf::from(path)),
            Long("loads") => plan.loads = read_loads(&parser.value()?.string()?)?,
            Long("seed") => plan.seed = parser.value()?.parse()?,
            Long("seconds") => plan.seconds = parser.value()?.parse()?,
            Long("threads") => plan.threads = parser.value()?.parse::<usize>()?.max(1),
            Long("json") => json = true,
            _ => return Err(argument.unexpected().into()),
        }
    }
    let path = scenario.ok_or(lexopt::Error::from("the scenario file is missing"))?;
    let report = measure(&read_scenario(&path)?, &plan);
    if json {
        let text = serde_json::to_string(&report);
        println!("{}", text.expect("a report is serializable"));
    } else {
        report.print();
    }
    Ok(if report.violations > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

fn read_loads(text: &str) -> Result<Vec<f64>, lexopt::Error> {
    let read = |part: &str| match part.parse::<f64>() {
        Ok(load) if load > 0.0 => Ok(load),
        _ => Err(format!("{part:?} is not a load above 0").into()),
    };
    text.split(',').map(read).collect()
}
