//! The parts of a deployment as separate processes on the loopback interface: one with the
//! simulated platform and back ends, one with callers, and the node processes, which
//! `scripts/separate-processes` starts.

mod load;
mod options;
mod report;
mod stand_ins;

use std::fmt;
use std::io;
use std::process::ExitCode;

/// Exit code for an invalid command line.
const USAGE_ERROR: u8 = 2;

/// Why a command of this module failed.
#[derive(Debug)]
pub enum ProcessError {
    /// The command line is invalid.
    Usage(lexopt::Error),
    /// A socket or thread could not be created.
    System(io::Error),
    /// The nodes did not answer in time; contains what was missing.
    NotReady(String),
}

impl fmt::Display for ProcessError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProcessError::Usage(error) => write!(formatter, "{error}"),
            ProcessError::System(error) => write!(formatter, "can't run: {error}"),
            ProcessError::NotReady(missing) => write!(formatter, "not ready in time: {missing}"),
        }
    }
}

impl std::error::Error for ProcessError {}

impl From<lexopt::Error> for ProcessError {
    fn from(error: lexopt::Error) -> Self {
        ProcessError::Usage(error)
    }
}

impl From<io::Error> for ProcessError {
    fn from(error: io::Error) -> Self {
        ProcessError::System(error)
    }
}

/// Runs `stand-ins` with its command line arguments.
pub fn run_stand_ins(parser: &mut lexopt::Parser) -> ExitCode {
    let result = options::stand_ins(parser).and_then(|options| stand_ins::run(&options));
    exit_code(result.map(|()| true))
}

/// Runs `load` with its command line arguments. Fails if an answer did not belong to its
/// request or a request has no outcome.
pub fn run_load(parser: &mut lexopt::Parser) -> ExitCode {
    exit_code(options::load(parser).and_then(|options| load::run(&options)))
}

fn exit_code(result: Result<bool, ProcessError>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ledgelead-lab: {error}");
            match error {
                ProcessError::Usage(_) => ExitCode::from(USAGE_ERROR),
                ProcessError::System(_) | ProcessError::NotReady(_) => ExitCode::FAILURE,
            }
        }
    }
}
