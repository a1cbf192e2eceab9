//! Command line options of `stand-ins` and `load`.

use super::ProcessError;
use ledgelead_types::Span;
use lexopt::prelude::*;
use std::net::SocketAddr;

/// Default running time of the simulated services, in seconds.
const DEFAULT_STAND_IN_SECONDS: u64 = 600;
/// Default duration of the load, in seconds.
const DEFAULT_LOAD_SECONDS: u64 = 10;

/// Options of `stand-ins`.
#[derive(Clone, Copy, Debug)]
pub(super) struct StandInOptions {
    /// Maximum running time, so that the process is never left behind.
    pub(super) duration: Span,
}

/// Options of `load`.
#[derive(Clone, Debug)]
pub(super) struct LoadOptions {
    /// Addresses of the nodes for callers.
    pub(super) nodes: Vec<SocketAddr>,
    /// How long load is sent.
    pub(super) duration: Span,
    /// Whether to print a JSON object.
    pub(super) json: bool,
}

/// Parses the arguments of `stand-ins`.
pub(super) fn stand_ins(parser: &mut lexopt::Parser) -> Result<StandInOptions, ProcessError> {
    let mut seconds = DEFAULT_STAND_IN_SECONDS;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seconds") => seconds = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(StandInOptions {
        duration: Span::from_seconds(seconds),
    })
}

/// Parses the arguments of `load`.
pub(super) fn load(parser: &mut lexopt::Parser) -> Result<LoadOptions, ProcessError> {
    let mut options = LoadOptions {
        nodes: Vec::new(),
        duration: Span::from_seconds(DEFAULT_LOAD_SECONDS),
        json: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => options.json = true,
            Long("seconds") => options.duration = Span::from_seconds(parser.value()?.parse()?),
            Long("node") => options.nodes.push(parser.value()?.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if options.nodes.is_empty() {
        return Err(lexopt::Error::from("--node IP:PORT is missing").into());
    }
    Ok(options)
}
