//! `query`, `command`, `status` and `watch`: thin clients of a node's
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
/// What `status` asks.
const STATUS: &str = "show configuration; show nodes; show groups; show servers";
/// Pause between two polls of `watch`, in seconds.
const DEFAULT_INTERVAL: u64 = 2;
/// Clears a terminal and goes to its first line.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// What an operator wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorAction {
    /// Ask once.
    Query,
    /// Give a command.
    Command,
    /// Ask for an overview.
    Status,
    /// Ask again and again.
    Watch,
}

/// An operator's command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorInvocation {
    /// What is wanted.
    pub action: OperatorAction,
    /// `IP:port` of the node's administration interface.
    pub address: String,
    /// Whether JSON is wanted.
    pub json: bool,
    /// The statement; `None` to read standard input, or for the overview.
    pub text: Option<String>,
    /// The command's identifier; drawn when `None`.
    pub id: Option<String>,
    /// The version that the command relies on.
    pub if_version: Option<u64>,
    /// Whether to wait until the change is in force everywhere.
    pub wait: bool,
    /// Seconds between two polls.
    pub interval: u64,
    /// Number of polls.
    pub count: Option<u64>,
}

/// Reads the flags; `None` when help is asked for.
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

/// Asks the node and prints what it answers.
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

/// The statement, from standard input when none is given.
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

/// Asks again and again. A look that fails is told, and the next may succeed;
/// a statement that is wrong or not allowed ends it.
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

/// A reader that closed the pipe wants no more; `watch` ends then.
fn print(output: &mut impl Write, text: &str) -> Result<(), OperatorError> {
    let written = output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush());
    written.map_err(|error| OperatorError::failed(format!("standard output: {error}")))
}
