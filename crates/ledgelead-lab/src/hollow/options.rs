//! Command line of `hollow`.

use lexopt::prelude::*;

/// Default number of nodes.
const DEFAULT_NODES: usize = 50;
/// Nodes per group, if the number of groups is not given.
const NODES_PER_GROUP: usize = 3;
/// Default number of servers per node.
const DEFAULT_SERVERS_PER_NODE: usize = 4;
/// Default length of a phase, in virtual seconds.
const DEFAULT_SECONDS: u64 = 20;
/// Minimum length of a phase, in virtual seconds.
const MIN_SECONDS: u64 = 5;

/// Options of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of hollow nodes.
    pub nodes: usize,
    /// Minimum number of groups over all services.
    pub groups: usize,
    /// Servers per node.
    pub servers_per_node: usize,
    /// Length of a phase in virtual seconds.
    pub seconds: u64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Whether the configuration exists before the nodes start, instead of being stored once
    /// all nodes are live.
    pub configure_first: bool,
    /// Whether to print a JSON object.
    pub json: bool,
}

impl Options {
    /// Options for a number of nodes, with proportional numbers of groups and servers.
    pub fn for_nodes(nodes: usize) -> Options {
        Options {
            nodes,
            groups: (nodes / NODES_PER_GROUP).max(1),
            servers_per_node: DEFAULT_SERVERS_PER_NODE,
            seconds: DEFAULT_SECONDS,
            seed: 1,
            configure_first: false,
            json: false,
        }
    }
}

/// Parses the command line arguments.
pub fn parse(parser: &mut lexopt::Parser) -> Result<Options, lexopt::Error> {
    let mut options = Options::for_nodes(DEFAULT_NODES);
    let mut groups = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => options.json = true,
            Long("configure-first") => options.configure_first = true,
            Long("nodes") => options.nodes = at_least(parser, "--nodes", 3)?,
            Long("groups") => groups = Some(at_least(parser, "--groups", 1)?),
            Long("servers-per-node") => {
                options.servers_per_node = at_least(parser, "--servers-per-node", 1)?;
            }
            Long("seconds") => {
                options.seconds = at_least(parser, "--seconds", MIN_SECONDS)?;
            }
            Long("seed") => options.seed = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    options.groups = groups.unwrap_or(Options::for_nodes(options.nodes).groups);
    Ok(options)
}

fn at_least<T>(parser: &mut lexopt::Parser, name: &str, least: T) -> Result<T, lexopt::Error>
where
    T: std::str::FromStr + PartialOrd + std::fmt::Display,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    let value: T = parser.value()?.parse()?;
    if value < least {
        return Err(format!("{name} must be at least {least}").into());
    }
    Ok(value)
}
