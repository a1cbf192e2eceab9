//! The command line.

mod completion;
mod operator;

pub use completion::Shell;
pub use operator::{OperatorAction, OperatorError, OperatorInvocation};

use crate::settings::finding::Findings;
use crate::settings::{Overrides, Settings};
use crate::{Node, logging};
use lexopt::prelude::*;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::ffi::OsString;
use std::fmt;
use std::io::Write;

/// Exit code of a successful run.
pub const EXIT_OK: u8 = 0;
/// Exit code of a run that failed after it started.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for invalid settings, an invalid command line or an invalid statement;
/// nothing was started or changed.
pub const EXIT_USAGE: u8 = 2;

/// Text of `--help`.
pub const HELP: &str = "\
ledgelead: a router for servers that own their keys

Usage:
  ledgelead node --config FILE [FLAGS]   run a node
  ledgelead check FILE                   report all errors in a settings file
  ledgelead query [FLAGS] [TEXT]         run a query, from TEXT or standard input
  ledgelead command [FLAGS] [TEXT]       run a command, from TEXT or standard input
  ledgelead status [FLAGS]               show configuration, nodes, groups and servers
  ledgelead watch [FLAGS] [TEXT]         repeat a query; without TEXT, show the status
  ledgelead completion bash|zsh          print a completion script
  ledgelead --help | --version

Flags of node override the file:
  --node NUMBER            number of this node
  --zone NUMBER            zone of this node
  --callers IP:PORT        address for callers' requests
  --administration IP:PORT address of the administration interface
  --peers IP:PORT          address for connections of other nodes
  --platform IP:PORT       address of the platform's object API
  --log-level LEVEL        off, error, warn, info, debug or trace

Flags of query, command, status and watch:
  --address IP:PORT        the node's administration address (127.0.0.1:9080)
  --json                   print JSON instead of tables
Flags of command:
  --id ID                  the command's identifier; use the same for a retry
  --if-version NUMBER      apply only if the configuration has this version
  --wait                   wait until the change is in force at every live node
Flags of watch:
  --interval SECONDS       pause between two queries (2)
  --count NUMBER           number of queries (unlimited)

The operator's credential is read from the variable LEDGELEAD_OPERATOR_TOKEN.
Example: ledgelead query 'show servers where load > 0.8 order by load desc'

Exit codes:
  0  success
  1  failed: the node can't be reached, or returned an unexpected response
  2  invalid settings, command line or statement; nothing was changed
  3  no credential, or not allowed; nothing was changed
  4  refused: the version differs, or the command can't be applied at present
  5  unavailable at present; nothing was changed; a retry may succeed
  6  may or may not have taken effect; a retry with the same --id tells
  7  in force, but not yet at every live node
";

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Invocation {
    /// Run a node.
    Node {
        /// Path of the settings file.
        file: String,
        /// Flags that override the file.
        overrides: Overrides,
    },
    /// Check a settings file.
    Check {
        /// Its path.
        file: String,
    },
    /// Send a query or a command to a running node.
    Operator(OperatorInvocation),
    /// Print a completion script.
    Completion(Shell),
    /// Show the help.
    Help,
    /// Show the version.
    Version,
}

/// Why a run failed.
#[derive(Debug)]
pub enum RunError {
    /// The command line is invalid.
    Usage(String),
    /// The settings are invalid.
    Settings(Findings),
    /// A file can't be read.
    File {
        /// Its path.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The node failed to start.
    Start(crate::StartError),
    /// The stop did not finish in time.
    StopTimedOut,
    /// The node did not answer the operator's request, or refused it.
    Operator(OperatorError),
}

impl RunError {
    /// The exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            RunError::Usage(_) | RunError::Settings(_) | RunError::File { .. } => EXIT_USAGE,
            RunError::Start(_) | RunError::StopTimedOut => EXIT_FAILED,
            RunError::Operator(error) => error.exit_code(),
        }
    }
}

impl fmt::Display for RunError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Usage(message) => writeln!(formatter, "{message}; see ledgelead --help"),
            RunError::Settings(findings) => write!(formatter, "{findings}"),
            RunError::File { file, source } => writeln!(formatter, "{file}: {source}"),
            RunError::Start(error) => writeln!(formatter, "{error}"),
            RunError::StopTimedOut => writeln!(
                formatter,
                "the node stopped before everything in flight was finished"
            ),
            RunError::Operator(error) => write!(formatter, "{error}"),
        }
    }
}

impl std::error::Error for RunError {}

impl From<lexopt::Error> for RunError {
    fn from(error: lexopt::Error) -> Self {
        RunError::Usage(error.to_string())
    }
}

/// Parses the command line.
///
/// # Errors
/// [`RunError::Usage`].
pub fn parse(arguments: Vec<OsString>) -> Result<Invocation, RunError> {
    let mut parser = lexopt::Parser::from_args(arguments);
    match parser.next()? {
        None | Some(Long("help") | Short('h')) => Ok(Invocation::Help),
        Some(Long("version") | Short('V')) => Ok(Invocation::Version),
        Some(Value(command)) => match command.string()?.as_str() {
            "node" => parse_node(parser),
            "check" => parse_check(parser),
            "query" => operator_invocation(parser, OperatorAction::Query),
            "command" => operator_invocation(parser, OperatorAction::Command),
            "status" => operator_invocation(parser, OperatorAction::Status),
            "watch" => operator_invocation(parser, OperatorAction::Watch),
            "completion" => parse_completion(parser),
            "help" => Ok(Invocation::Help),
            other => Err(RunError::Usage(format!("unknown command {other:?}"))),
        },
        Some(other) => Err(other.unexpected().into()),
    }
}

fn parse_node(mut parser: lexopt::Parser) -> Result<Invocation, RunError> {
    let mut file = None;
    let mut overrides = Overrides::default();
    while let Some(argument) = parser.next()? {
        let slot = match argument {
            Long("help") | Short('h') => return Ok(Invocation::Help),
            Long("config") => &mut file,
            Long("node") => &mut overrides.node,
            Long("zone") => &mut overrides.zone,
            Long("callers") => &mut overrides.callers_address,
            Long("administration") => &mut overrides.administration_address,
            Long("peers") => &mut overrides.peer_address,
            Long("platform") => &mut overrides.platform_address,
            Long("log-level") => &mut overrides.log_level,
            other => return Err(other.unexpected().into()),
        };
        *slot = Some(parser.value()?.string()?);
    }
    let file = file.ok_or_else(|| RunError::Usage("node requires --config FILE".to_owned()))?;
    Ok(Invocation::Node { file, overrides })
}

fn parse_check(mut parser: lexopt::Parser) -> Result<Invocation, RunError> {
    let mut file = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(Invocation::Help),
            Value(value) if file.is_none() => file = Some(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let file = file.ok_or_else(|| RunError::Usage("check requires FILE".to_owned()))?;
    Ok(Invocation::Check { file })
}

fn operator_invocation(
    parser: lexopt::Parser,
    action: OperatorAction,
) -> Result<Invocation, RunError> {
    Ok(match operator::parse(parser, action)? {
        Some(invocation) => Invocation::Operator(invocation),
        None => Invocation::Help,
    })
}

fn parse_completion(mut parser: lexopt::Parser) -> Result<Invocation, RunError> {
    let usage = || RunError::Usage("completion requires bash or zsh".to_owned());
    let Some(Value(shell)) = parser.next()? else {
        return Err(usage());
    };
    let shell = Shell::named(&shell.string()?).ok_or_else(usage)?;
    Ok(Invocation::Completion(shell))
}

/// Runs what the command line asks for.
///
/// # Errors
/// The cause of the failure, which has an exit code.
pub fn run(invocation: Invocation, output: &mut impl Write) -> Result<(), RunError> {
    match invocation {
        Invocation::Help => print(output, HELP),
        Invocation::Version => print(
            output,
            &format!("ledgelead {}\n", env!("CARGO_PKG_VERSION")),
        ),
        Invocation::Check { file } => {
            read_settings(&file, &Overrides::default())?;
            print(output, &format!("{file}: no errors\n"))
        }
        Invocation::Node { file, overrides } => run_node(read_settings(&file, &overrides)?),
        Invocation::Operator(invocation) => {
            operator::run(invocation, output).map_err(RunError::Operator)
        }
        Invocation::Completion(shell) => print(output, shell.script()),
    }
}

fn print(output: &mut impl Write, text: &str) -> Result<(), RunError> {
    // A failed write is ignored: the reader has closed the pipe.
    let _ = output.write_all(text.as_bytes());
    Ok(())
}

fn read_settings(file: &str, overrides: &Overrides) -> Result<Settings, RunError> {
    let text = std::fs::read_to_string(file).map_err(|source| RunError::File {
        file: file.to_owned(),
        source,
    })?;
    Settings::parse(file, &text, overrides).map_err(RunError::Settings)
}

fn run_node(settings: Settings) -> Result<(), RunError> {
    let level = settings.log_level;
    logging::start(level, settings.node).map_err(|error| RunError::Usage(error.to_string()))?;
    let system = |source| RunError::Start(crate::StartError::System(source));
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(system)?;
    let node = Node::start(settings).map_err(RunError::Start)?;
    log::info!(
        target: "node",
        "listening on {} for callers, {} for administration, {} for peers",
        node.http_address,
        node.administration_address,
        node.peer_address
    );
    let signal = signals.forever().next();
    log::info!(target: "node", "stopping after signal {signal:?}");
    if node.stop() {
        return Ok(());
    }
    Err(RunError::StopTimedOut)
}
