//! The routes `POST /v1/query` and `POST /v1/command`.

use super::answers::{accepted, error, refused, tables};
use super::credentials::{Unauthorized, authenticate};
use super::{Context, MAX_CONCURRENT_STATEMENTS, Reply, VIEW_TIMEOUT};
use crate::handle::NodeHandle;
use crate::logging::{EVENT_TARGET, JsonFields};
use ledgelead_query::{CommandRequest, Deployment, NoAnswer, run_command, run_query};
use ledgelead_types::ConfigurationVersion;
use ledgelead_types::administration::{AdministrationCommand, CommandResult};
use ledgelead_types::configuration::OperatorConfiguration;
use ledgelead_types::view::NodeView;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::io::Read;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::Request;

/// Longest body, in bytes.
const MAX_BODY_BYTES: u64 = 256 * 1024;
/// How long the other nodes may take to return their parts of a view.
const INQUIRY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a command may take.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// How long one request may wait for newer configurations to take effect.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a waiting request checks which nodes have a configuration.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Body of `POST /v1/query`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct QueryBody {
    text: String,
}

/// Body of `POST /v1/command`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CommandBody {
    text: String,
    id: String,
    #[serde(default)]
    if_version: Option<u64>,
    #[serde(default)]
    wait: bool,
}

/// Runs a query.
pub(super) fn query(context: &Context, request: &mut Request) -> Reply {
    serve(context, request, |request, operator| {
        let as_text = wants_text(request);
        let body: QueryBody = read(request)?;
        let answer = run_query(
            &body.text,
            operator,
            &mut NodeDeployment::new(&context.node),
        );
        Ok(match answer {
            Ok(answer) => tables(&answer, as_text),
            Err(refusal) => refused(&refusal, &body.text),
        })
    })
}

/// Runs a command.
pub(super) fn command(context: &Context, request: &mut Request) -> Reply {
    serve(context, request, |request, operator| {
        let body: CommandBody = read(request)?;
        let command = CommandRequest {
            text: body.text,
            id: body.id,
            if_version: body.if_version.map(ConfigurationVersion),
            wait: body.wait,
        };
        let answer = run_command(&command, operator, &mut NodeDeployment::new(&context.node));
        let reply = match &answer {
            Ok(answer) => accepted(&command.id, answer),
            Err(refusal) => refused(refusal, &command.text),
        };
        log_command(operator, &command.id, reply.status);
        Ok(reply)
    })
}

/// Logs the operator, the command's identifier and the status. The command's text is
/// not logged, since it may contain data of a team.
fn log_command(operator: &OperatorConfiguration, id: &str, status: u16) {
    let fields = JsonFields::new()
        .text("event", "operator-command")
        .text("operator", &operator.name)
        .text("id", id)
        .number("status", u64::from(status));
    log::info!(target: EVENT_TARGET, "{fields}");
}

/// Limits the number of concurrent statements and authenticates the operator.
fn serve(
    context: &Context,
    request: &mut Request,
    carry_out: impl FnOnce(&mut Request, &OperatorConfiguration) -> Result<Reply, Reply>,
) -> Reply {
    let Some(_slot) = StatementSlot::acquire(&context.statements) else {
        return error(503, "busy", "too many statements at once; try again");
    };
    let view = match context.node.view(VIEW_TIMEOUT) {
        Ok(view) => view,
        Err(failure) => return error(503, "node-unavailable", &failure.to_string()),
    };
    let operator = match authenticate(context, request, &view.configuration) {
        Ok(operator) => operator,
        Err(denied) => return unauthorized(denied),
    };
    carry_out(request, &operator).unwrap_or_else(|refusal| refusal)
}

fn unauthorized(denied: Unauthorized) -> Reply {
    let fields = JsonFields::new()
        .text("event", "operator-unauthorized")
        .text("reason", denied.message());
    log::warn!(target: EVENT_TARGET, "{fields}");
    error(401, "unauthorized", denied.message())
}

fn wants_text(request: &Request) -> bool {
    request.headers().iter().any(|header| {
        header.field.equiv("Accept") && header.value.as_str().starts_with("text/plain")
    })
}

/// Parses a JSON body; the error is the reply to the operator.
fn read<T: DeserializeOwned>(request: &mut Request) -> Result<T, Reply> {
    let mut bytes = Vec::new();
    let mut body = request.as_reader().take(MAX_BODY_BYTES + 1);
    if let Err(failure) = body.read_to_end(&mut bytes) {
        return Err(error(400, "bad-request", &failure.to_string()));
    }
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err(error(413, "too-large", "the body is too large"));
    }
    serde_json::from_slice(&bytes).map_err(|failure| {
        let message = format!("the body is not the JSON expected: {failure}");
        error(400, "bad-request", &message)
    })
}

/// A slot for a running statement, released when dropped.
struct StatementSlot<'a>(&'a AtomicUsize);

impl<'a> StatementSlot<'a> {
    fn acquire(running: &'a AtomicUsize) -> Option<StatementSlot<'a>> {
        let slot = StatementSlot(running);
        // A slot above the limit is dropped here, which releases it again.
        (running.fetch_add(1, Ordering::AcqRel) < MAX_CONCURRENT_STATEMENTS).then_some(slot)
    }
}

impl Drop for StatementSlot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Access to the deployment through this node.
struct NodeDeployment<'a> {
    node: &'a NodeHandle,
    wait_until: Instant,
}

impl<'a> NodeDeployment<'a> {
    fn new(node: &'a NodeHandle) -> NodeDeployment<'a> {
        NodeDeployment {
            node,
            wait_until: Instant::now() + WAIT_TIMEOUT,
        }
    }
}

impl Deployment for NodeDeployment<'_> {
    fn view(&mut self) -> Result<NodeView, NoAnswer> {
        let view = self.node.view(VIEW_TIMEOUT);
        view.map_err(|failure| NoAnswer(failure.to_string()))
    }

    fn cluster_view(&mut self) -> Result<NodeView, NoAnswer> {
        let view = self.node.inquire(INQUIRY_TIMEOUT);
        view.map_err(|failure| NoAnswer(failure.to_string()))
    }

    fn command(&mut self, command: AdministrationCommand) -> Result<CommandResult, NoAnswer> {
        let result = self.node.command(command, COMMAND_TIMEOUT);
        result.map_err(|failure| NoAnswer(failure.to_string()))
    }

    fn pause(&mut self) -> bool {
        if Instant::now() >= self.wait_until {
            return false;
        }
        thread::sleep(WAIT_POLL_INTERVAL);
        true
    }
}
