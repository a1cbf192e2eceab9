//! Runs the complete request path over sockets of the loopback interface in one process:
//! platform, nodes, back ends and callers.
//!
//! The simulated platform and back ends are the pure state machines of [`crate::standin`]
//! behind HTTP servers.

pub mod answer;
pub mod bench;
pub mod caller;
pub mod checker;
pub mod clock;
pub mod configuration;
pub mod demonstration;
pub mod deployment;
mod http;
pub mod latency;
mod live;
pub mod load;
pub mod nodes;
pub mod options;
pub mod platform_endpoint;
pub mod process_usage;
pub mod records;
mod relay;
pub mod report;
pub mod server_endpoint;
mod server_request;
mod server_thread;
pub mod workload;

use demonstration::DemoError;
use options::Options;
use std::process::ExitCode;

/// Exit code for an invalid command line.
const USAGE_ERROR: u8 = 2;

/// Runs `demo` with its command line arguments. Fails if there is a violation or a request
/// without an outcome.
pub fn run_demo(parser: &mut lexopt::Parser) -> ExitCode {
    run(parser, demonstration::run, |report| report.is_sound())
}

/// Runs `bench` with its command line arguments.
pub fn run_bench(parser: &mut lexopt::Parser) -> ExitCode {
    run(parser, bench::run, |report| report.is_sound())
}

fn run<R: serde::Serialize + std::fmt::Display>(
    parser: &mut lexopt::Parser,
    command: impl FnOnce(&Options) -> Result<R, DemoError>,
    is_sound: impl FnOnce(&R) -> bool,
) -> ExitCode {
    let options = match options::parse(parser) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    let report = match command(&options) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    print(&report, &options);
    match is_sound(&report) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn print<R: serde::Serialize + std::fmt::Display>(report: &R, options: &Options) {
    if !options.json {
        println!("{report}");
        return;
    }
    match serde_json::to_string(report) {
        Ok(json) => println!("{json}"),
        Err(error) => eprintln!("the report can't be written: {error}"),
    }
}
