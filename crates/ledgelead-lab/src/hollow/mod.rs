//! Hollow nodes: the state machines of many nodes in one process, without sockets, in virtual
//! time on one simulated network. They show the cost of control traffic and decisions per node
//! at sizes that real processes can't reach on one machine.
//!
//! Every decision ([`ledgelead_core::NodeCore`]), every encoded and authenticated frame, and
//! every encoded renewal and platform object is real. Sockets, threads and HTTP are not: their
//! cost per call and frame is measured on the loopback interface in the same run
//! ([`calibration`]) and multiplied by the counts.

pub mod accounts;
pub mod calibration;
pub mod cpu;
pub mod deployment;
pub mod event;
pub mod fit;
pub mod lag;
pub mod network;
mod nodes;
pub mod options;
pub mod phases;
mod platform;
mod report;
pub mod requests;
pub mod roles;
mod servers;
pub mod world;

use options::Options;
use std::process::ExitCode;
use world::World;

/// Runs the `hollow` command.
pub fn run_hollow(parser: &mut lexopt::Parser) -> ExitCode {
    let options = match options::parse(parser) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("ledgelead-lab hollow: {error}");
            return ExitCode::from(2);
        }
    };
    match run(&options) {
        Ok(report) => {
            report.print(options.json);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("ledgelead-lab hollow: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> std::io::Result<report::Report> {
    let costs = calibration::measure()?;
    let resident_before = crate::demo::process_usage::read()?.resident_bytes;
    let mut world = World::new(options, costs);
    let phases = phases::run_all(&mut world)?;
    Ok(report::Report::new(
        options,
        costs,
        resident_before,
        &world,
        phases,
    ))
}
