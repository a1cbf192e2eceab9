//! Command line interface of the lab.

use ledgelead_lab::simulation::command::{SimulateError, simulate};
use ledgelead_lab::{demo, fleet, hollow, overload, processes};
use lexopt::prelude::*;
use std::process::ExitCode;

const USAGE: &str = "\
Usage:
  ledgelead-lab demo [--seconds N] [--json]
  ledgelead-lab bench [--seconds N] [--json]
  ledgelead-lab stand-ins [--seconds N]
  ledgelead-lab load --node IP:PORT... [--seconds N] [--json]
  ledgelead-lab hollow [--nodes N] [--groups N] [--servers-per-node N] [--seconds N] [--seed N] [--json]
  ledgelead-lab simulate SCENARIO.toml [--seeds A..B] [--sabotage NAME] [--threads N]
           [--baselines] [--report DIR] [--json | --session]
  ledgelead-lab fleet [--seeds A..B] [--nodes N] [--versions|--crashing|--suspended|--cuts|--foreign|--restarts|--notices|--limits|--eras|--second-answers|--paged] [--sabotage NAME] [--trace] [--json]
  ledgelead-lab overload SCENARIO.toml [--loads 0.5,0.8,..] [--seed N] [--seconds N] [--threads N] [--json]";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("ledgelead-lab: {error}\n{USAGE}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<ExitCode, SimulateError> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(Value(name)) if name == "demo" => Ok(demo::run_demo(&mut parser)),
        Some(Value(name)) if name == "bench" => Ok(demo::run_bench(&mut parser)),
        Some(Value(name)) if name == "stand-ins" => Ok(processes::run_stand_ins(&mut parser)),
        Some(Value(name)) if name == "load" => Ok(processes::run_load(&mut parser)),
        Some(Value(name)) if name == "hollow" => Ok(hollow::run_hollow(&mut parser)),
        Some(Value(name)) if name == "simulate" => simulate(&mut parser),
        Some(Value(name)) if name == "fleet" => Ok(fleet::command::run(&mut parser)?),
        Some(Value(name)) if name == "overload" => overload::run(&mut parser),
        Some(argument) => Err(argument.unexpected().into()),
        None => Err(lexopt::Error::from("a subcommand is missing").into()),
    }
}
