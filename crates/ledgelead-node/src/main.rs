//! The `ledgelead` binary.

use ledgelead_node::command_line::{self, EXIT_OK, RunError};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    match run(arguments) {
        Ok(()) => ExitCode::from(EXIT_OK),
        Err(error) => {
            eprint!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(arguments: Vec<std::ffi::OsString>) -> Result<(), RunError> {
    let invocation = command_line::parse(arguments)?;
    command_line::run(invocation, &mut std::io::stdout())
}
