//! Sends one request as a caller and tells its outcome.

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

/// Name of the service whose keys are owned.
pub const KEYED_SERVICE: &str = "vacantes";
/// Name of the service without keys.
pub const UNKEYED_SERVICE: &str = "postulaciones";

/// Header with the key.
const KEY_HEADER: &str = "Ledgelead-Key";
/// Header with the time left until the caller's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "Ledgelead-Deadline-Ms";
/// Header with the outcome of a request.
const OUTCOME_HEADER: &str = "Ledgelead-Outcome";
/// Header with the reason of an outcome.
const REASON_HEADER: &str = "Ledgelead-Reason";
/// Header of a request that must run at most once.
const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";
/// Deadline of every request.
const DEADLINE: Span = Span::from_millis(2_000);
/// How long a caller waits beyond the deadline for the node's word on it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Reason of a refusal that a caller answers by asking another node.
const STOPPING: &str = "stopping";
/// Reason when no node could be reached.
const NO_NODE: &str = "no-node-reachable";

/// Where requests go.
#[derive(Clone, Debug)]
pub enum Targets {
    /// To nodes, in an order that differs from request to request. A node
    /// that can't be reached or is stopping is passed over.
    Nodes(Vec<SocketAddr>),
    /// Straight to the back ends: by a static division of the positions for
    /// the keyed service, in turn for the other.
    Servers {
        /// Back ends of the keyed service.
        keyed: Vec<SocketAddr>,
        /// Back ends of the service without keys.
        unkeyed: Vec<SocketAddr>,
    },
}

/// Connections that a client keeps open to one node or back end beyond those
/// in use.
const MAX_IDLE_PER_TARGET: usize = 128;
/// Bytes of each of the two buffers of a connection; requests and answers are
/// small.
const BUFFER_BYTES: usize = 16 * 1024;
/// Connections that a client keeps open altogether beyond those in use.
const MAX_IDLE: usize = 1_024;

/// HTTP clients of its own for each target. The library looks through all idle
/// connections of a client at each request, so one client for all targets would
/// spend more time on that than on requests. Threads that share a client share
/// its connections, so there are hardly more of them than requests in flight.
#[derive(Clone, Debug)]
pub struct Client {
    agents: BTreeMap<SocketAddr, Agent>,
}

impl Client {
    /// A client for these targets.
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

/// An HTTP client for any target.
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

/// The outcome of a request, and who told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendResult {
    /// The node that was asked last; `None` for a request sent past the nodes.
    pub node: Option<SocketAddr>,
    /// The outcome.
    pub outcome: CallerOutcome,
}

/// Sends the request by a client for the targets and waits for its outcome.
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

/// How an attempt at one node ended.
enum Attempt {
    /// For good.
    Ended(CallerOutcome),
    /// Not run, and another node may take it.
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

/// Whether the error proves that no byte of the request was written.
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
