//! Command line options of `demo` and `bench`.

use ledgelead_types::Span;
use lexopt::prelude::*;

/// Minimum duration of a demonstration in seconds, which leaves time for its faults.
const MIN_SECONDS: u64 = 4;
/// Default duration, in seconds.
const DEFAULT_SECONDS: u64 = 10;

/// Options of both commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long load is sent.
    pub duration: Span,
    /// Whether to print a JSON object instead of a summary.
    pub json: bool,
}

/// Parses the command line arguments.
pub fn parse(parser: &mut lexopt::Parser) -> Result<Options, lexopt::Error> {
    let mut options = Options {
        duration: Span::from_seconds(DEFAULT_SECONDS),
        json: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => options.json = true,
            Long("seconds") => options.duration = Span::from_seconds(seconds(parser)?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn seconds(parser: &mut lexopt::Parser) -> Result<u64, lexopt::Error> {
    let seconds = parser.value()?.parse()?;
    if seconds < MIN_SECONDS {
        return Err(format!("--seconds must be at least {MIN_SECONDS}").into());
    }
    Ok(seconds)
}
