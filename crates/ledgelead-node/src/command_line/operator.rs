//! The commands `query`, `command`, `status` and `watch`: thin clients of a node's
//! administration interface.

mod client;
mod error;
mod show;

use super::RunError;
use client::{Client, ResponseFormat};
pub use error::OperatorError;
use lexopt::prelude::*;
use std::io::{IsTerminal, Write};
use std::time::Duration;

/// Address of the administration interface when none is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:9080";
/// Environment variable that holds an operator's credential.
const CREDENTIAL_VARIABLE: &str = "LEDGELEAD_OPERATOR_TOKEN";
/// The statements that `status` runs.
const STATUS: &str = "show configuration; show nodes; show groups; show servers";
/// Pause between two queries of `watch`, in seconds.
const DEFAULT_INTERVAL: u64 = 2;
/// Escape sequence that clears the terminal and moves the cursor to the first line.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// The action of an operator's command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorAction {
    /// Run a query once.
    Query,
    /// Run a command.
    Command,
    /// Show an overview.
    Status,
    /// Repeat a query.
    Watch,
}

/// An operator's command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorInvocation {
    /// The action.
    pub action: OperatorAction,
    /// `IP:port` of the node's administration interface.
    pub address: String,
    /// Whether to print JSON.
    pub json: bool,
    /// The statement; `None` to read it from standard input, or for the overview.
    pub text: Option<String>,
    /// The command's identifier; random if `None`.
    pub id: Option<String>,
    /// The configuration's version that the command requires.
    pub if_version: Option<u64>,
    /// Whether to wait until the change is in force everywhere.
    pub wait: bool,
    /// Seconds between two queries.
    pub interval: u64,
    /// Number of queries; unlimited if `None`.
    pub count: Option<u64>,
}

/// Parses the flags; `None` if help is asked for.
pub(super) fn parse(
    mut parser: lexopt::Parser,
    action: OperatorAction,
) -> Result<Option<OperatorInvocation>, RunError> {
    let mut invocation = OperatorInvocation {
        action,
        address: DEFAULT_ADDRESS.to_owned(),
        json: false,
        text: None,
        id: None,
        if_version: None,
        wait: false,
        interval: DEFAULT_INTERVAL,
        count: None,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("address") => invocation.address = parser.value()?.string()?,
            Long("json") => invocation.json = true,
            Long("id") if action == OperatorAction::Command => {
                invocation.id = Some(parser.value()?.string()?)
            }
            Long("if-version") if action == OperatorAction::Command => {
                invocation.if_version = Some(parser.value()?.parse()?);
            }
            Long("wait") if action == OperatorAction::Command => invocation.wait = true,
            Long("interval") if action == OperatorAction::Watch => {
                invocation.interval = parser.value()?.parse()?
            }
            Long("count") if action == OperatorAction::Watch => {
                invocation.count = Some(parser.value()?.parse()?)
            }
            Value(value) if action != OperatorAction::Status && invocation.text.is_none() => {
                invocation.text = Some(value.string()?);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(invocation))
}

/// Sends the request to the node and prints the response.
pub(super) fn run(
    invocation: OperatorInvocation,
    output: &mut impl Write,
) -> Result<(), OperatorError> {
    let credential = std::env::var(CREDENTIAL_VARIABLE).ok();
    let client = Client::new(&invocation.address, credential);
    match invocation.action {
        OperatorAction::Query => {
            let text = statement(invocation.text)?;
            query(&client, &text, invocation.json, output)
        }
        OperatorAction::Status => query(&client, STATUS, invocation.json, output),
        OperatorAction::Watch => watch(&client, &invocation, output),
        OperatorAction::Command => command(&client, invocation, output),
    }
}

/// The statement, read from standard input if none is given.
fn statement(text: Option<String>) -> Result<String, OperatorError> {
    match text {
        Some(text) => Ok(text),
        None => std::io::read_to_string(std::io::stdin())
            .map_err(|error| OperatorError::failed(format!("standard input: {error}"))),
    }
}

fn query(
    client: &Client,
    text: &str,
    json: bool,
    output: &mut impl Write,
) -> Result<(), OperatorError> {
    let answer = client.query(text, response_format(json))?;
    print(output, &answer)
}

fn response_format(json: bool) -> ResponseFormat {
    if json {
        ResponseFormat::Json
    } else {
        ResponseFormat::Text
    }
}

/// Repeats a query. A transient failure is printed and the query repeated; an invalid
/// or forbidden statement ends the loop.
fn watch(
    client: &Client,
    invocation: &OperatorInvocation,
    output: &mut impl Write,
) -> Result<(), OperatorError> {
    let text = invocation.text.as_deref().unwrap_or(STATUS);
    let clears_screen = !invocation.json && std::io::stdout().is_terminal();
    let mut polls = 0;
    loop {
        let answer = client.query(text, response_format(invocation.json));
        polls += 1;
        let is_last = invocation.count.is_some_and(|count| polls >= count);
        if clears_screen {
            print(output, CLEAR_SCREEN)?;
        }
        match answer {
            Ok(answer) => print(output, &answer)?,
            Err(error) if is_last || !error.is_transient() => return Err(error),
            Err(error) => eprint!("{error}"),
        }
        if is_last {
            return Ok(());
        }
        std::thread::sleep(Duration::from_secs(invocation.interval));
    }
}

fn command(
    client: &Client,
    invocation: OperatorInvocation,
    output: &mut impl Write,
) -> Result<(), OperatorError> {
    let text = statement(invocation.text)?;
    let id = invocation
        .id
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let answer = client.command(&text, &id, invocation.if_version, invocation.wait)?;
    let shown = if invocation.json {
        answer.to_string() + "\n"
    } else {
        show::accepted(&answer)
    };
    print(output, &shown)?;
    match show::lagging(&answer) {
        Some(nodes) => Err(OperatorError::Lagging(nodes)),
        None => Ok(()),
    }
}

/// Writes and flushes `text`. The write fails once the reader has closed the pipe, which
/// ends `watch`.
fn print(output: &mut impl Write, text: &str) -> Result<(), OperatorError> {
    let written = output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush());
    written.map_err(|error| OperatorError::failed(format!("standard output: {error}")))
}
