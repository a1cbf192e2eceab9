//! Sends a request as a caller and determines its outcome.

use super::answer;
use super::records::CallerOutcome;
use super::workload::PlannedRequest;
use ledgelead_types::Span;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::http::{Method, Request, Response};
use ureq::{Agent, Body, Error, Timeout};

/// Name of the keyed service.
pub const KEYED_SERVICE: &str = "vacantes";
/// Name of the unkeyed service.
pub const UNKEYED_SERVICE: &str = "postulaciones";

/// Header with the key.
const KEY_HEADER: &str = "Ledgelead-Key";
/// Header with the remaining time until the caller's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "Ledgelead-Deadline-Ms";
/// Header with the outcome of a request.
const OUTCOME_HEADER: &str = "Ledgelead-Outcome";
/// Header with the reason for an outcome.
const REASON_HEADER: &str = "Ledgelead-Reason";
/// Header that makes a request run at most once.
const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";
/// Deadline of every request.
const DEADLINE: Span = Span::from_millis(2_000);
/// How long a caller waits for a response from a node. It exceeds `DEADLINE`, so that the node
/// can still report an outcome after the deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Reason of a refusal after which a caller tries another node.
const STOPPING: &str = "stopping";
/// Reason if no node could be reached.
const NO_NODE: &str = "no-node-reachable";

/// Destination of requests.
#[derive(Clone, Debug)]
pub enum Targets {
    /// Nodes, in an order that differs between requests. Nodes that are stopping or can't be
    /// reached are skipped.
    Nodes(Vec<SocketAddr>),
    /// Back ends. Requests of the keyed service are distributed by a static partitioning of
    /// the positions, those of the other service in rotation.
    Servers {
        /// Back ends of the keyed service.
        keyed: Vec<SocketAddr>,
        /// Back ends of the unkeyed service.
        unkeyed: Vec<SocketAddr>,
    },
}

/// Maximum number of idle connections of a client to one node or back end.
const MAX_IDLE_PER_TARGET: usize = 128;
/// Size of each of a connection's two buffers; requests and answers are small.
const BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of idle connections of a client in total.
const MAX_IDLE: usize = 1_024;

/// A separate HTTP client per target. The library scans all idle connections of a client for
/// each request, so a single client for all targets would spend more time on that than on the
/// requests. Threads that share a client share its connections, so there are hardly more
/// connections than requests in flight.
#[derive(Clone, Debug)]
pub struct Client {
    agents: BTreeMap<SocketAddr, Agent>,
}

impl Client {
    /// Creates clients for these targets.
    pub fn new(targets: &Targets) -> Client {
        let addresses: Vec<SocketAddr> = match targets {
            Targets::Nodes(nodes) => nodes.clone(),
            Targets::Servers { keyed, unkeyed } => keyed.iter().chain(unkeyed).copied().collect(),
        };
        let agents = addresses
            .into_iter()
            .map(|address| (address, new_agent()))
            .collect();
        Client { agents }
    }

    fn agent(&self, address: SocketAddr) -> &Agent {
        &self.agents[&address]
    }
}

/// Creates an HTTP client for any target.
pub fn new_agent() -> Agent {
    Agent::config_builder()
        .max_idle_connections_per_host(MAX_IDLE_PER_TARGET)
        .max_idle_connections(MAX_IDLE)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .http_status_as_error(false)
        .max_redirects(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_recv_response(Some(RESPONSE_TIMEOUT))
        .timeout_recv_body(Some(RESPONSE_TIMEOUT))
        .build()
        .new_agent()
}

/// The outcome of a request, and the node that reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendResult {
    /// The node that was tried last; `None` for requests sent directly to back ends.
    pub node: Option<SocketAddr>,
    /// The outcome.
    pub outcome: CallerOutcome,
}

/// Sends a request to the targets and waits for its outcome.
pub fn send(
    client: &Client,
    targets: &Targets,
    credentials: &[String],
    request: &PlannedRequest,
) -> SendResult {
    let credential = &credentials[request.caller];
    match targets {
        Targets::Nodes(nodes) => send_to_nodes(client, nodes, credential, request),
        Targets::Servers { keyed, unkeyed } => {
            let address = direct_target(keyed, unkeyed, request);
            let url = format!("http://{address}/{}", request.request.0);
            let outcome = attempt(client.agent(address), url, credential, request).into_outcome();
            SendResult {
                node: None,
                outcome,
            }
        }
    }
}

/// Result of an attempt at one node.
enum Attempt {
    /// The final outcome.
    Ended(CallerOutcome),
    /// The request did not run, and another node may accept it.
    NotAccepted(String),
}

impl Attempt {
    fn into_outcome(self) -> CallerOutcome {
        match self {
            Attempt::Ended(outcome) => outcome,
            Attempt::NotAccepted(reason) => CallerOutcome::NotRun(reason),
        }
    }
}

fn send_to_nodes(
    client: &Client,
    nodes: &[SocketAddr],
    credential: &str,
    request: &PlannedRequest,
) -> SendResult {
    let mut sent = SendResult {
        node: None,
        outcome: CallerOutcome::NotRun(NO_NODE.to_owned()),
    };
    for turn in 0..nodes.len() {
        let node = nodes[(request.request.0 as usize + turn) % nodes.len()];
        let agent = client.agent(node);
        let attempt = attempt(agent, node_url(node, request), credential, request);
        let may_try_next = matches!(attempt, Attempt::NotAccepted(_));
        sent = SendResult {
            node: Some(node),
            outcome: attempt.into_outcome(),
        };
        if !may_try_next {
            break;
        }
    }
    sent
}

fn direct_target(
    keyed: &[SocketAddr],
    unkeyed: &[SocketAddr],
    request: &PlannedRequest,
) -> SocketAddr {
    match request.position() {
        Some(position) => {
            let index = (u128::from(position.0) * keyed.len() as u128) >> u64::BITS;
            keyed[index as usize]
        }
        None => unkeyed[request.request.0 as usize % unkeyed.len()],
    }
}

fn node_url(node: SocketAddr, request: &PlannedRequest) -> String {
    let service = match request.key {
        Some(_) => KEYED_SERVICE,
        None => UNKEYED_SERVICE,
    };
    format!("http://{node}/v1/{service}/{}", request.request.0)
}

fn attempt(agent: &Agent, url: String, credential: &str, request: &PlannedRequest) -> Attempt {
    let message = match compose(url, credential, request) {
        Ok(message) => message,
        Err(error) => return Attempt::Ended(CallerOutcome::NotRun(error.to_string())),
    };
    match agent.run(message) {
        Ok(response) => read_outcome(response, request),
        Err(error) if proves_not_sent(&error) => Attempt::NotAccepted(NO_NODE.to_owned()),
        Err(error) => Attempt::Ended(CallerOutcome::Unknown(error_name(&error))),
    }
}

fn compose(
    url: String,
    credential: &str,
    request: &PlannedRequest,
) -> Result<Request<Vec<u8>>, ureq::http::Error> {
    let method = match request.once_only {
        true => Method::POST,
        false => Method::GET,
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(url)
        .header("Authorization", format!("Bearer {credential}"))
        .header(DEADLINE_HEADER, (DEADLINE.as_millis() as u64).to_string());
    if let Some(key) = &request.key {
        builder = builder.header(KEY_HEADER, key);
    }
    if request.once_only {
        builder = builder.header(IDEMPOTENCY_HEADER, format!("once-{}", request.request.0));
    }
    builder.body(request.body.clone())
}

fn read_outcome(mut response: Response<Body>, request: &PlannedRequest) -> Attempt {
    let status = response.status();
    let outcome = header(&response, OUTCOME_HEADER);
    let reason = header(&response, REASON_HEADER).unwrap_or_default();
    let body = match response.body_mut().read_to_vec() {
        Ok(body) => body,
        Err(error) => return Attempt::Ended(CallerOutcome::Unknown(error_name(&error))),
    };
    match outcome.as_deref() {
        Some("not-run") if reason == STOPPING => Attempt::NotAccepted(reason),
        Some("not-run") => Attempt::Ended(CallerOutcome::NotRun(reason)),
        Some("unknown") => Attempt::Ended(CallerOutcome::Unknown(reason)),
        _ if status.is_success() => Attempt::Ended(CallerOutcome::Answered {
            server: answer::server_of(&body),
            matches: answer::matches(&body, request.request, &request.body),
        }),
        _ => Attempt::Ended(CallerOutcome::Unknown(format!(
            "status-{}",
            status.as_u16()
        ))),
    }
}

fn header(response: &Response<Body>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Whether the error proves that no part of the request was sent.
fn proves_not_sent(error: &Error) -> bool {
    match error {
        Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        Error::Timeout(Timeout::Connect) | Error::ConnectionFailed => true,
        _ => false,
    }
}

fn error_name(error: &Error) -> String {
    match error {
        Error::Timeout(_) => "caller-timeout".to_owned(),
        Error::Io(_) => "caller-connection-lost".to_owned(),
        other => other.to_string(),
    }
}
