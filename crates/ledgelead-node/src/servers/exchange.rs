//! One HTTP exchange with a server, by `ureq`, whose errors tell whether the server
//! can have received the request.

use super::resolver::AddressResolver;
use super::write_tracking::{ExchangeControl, WriteTrackingConnector, with_control};
use crate::callers::headers::HeaderLine;
use std::io::{ErrorKind, Read};
use std::sync::Arc;
use std::time::Duration;
use ureq::http::{Request, Response, header};
use ureq::{Agent, Body};

/// Longest header of a response, in bytes; each connection has an input buffer of
/// this size.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Bytes of a request written in one call; each connection has an output buffer of
/// this size.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// A server's complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers, as received.
    pub headers: Vec<HeaderLine>,
    /// Body, without transfer encoding.
    pub body: Vec<u8>,
}

impl BufferedResponse {
    /// The value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.is(name))
            .map(|header| header.value.as_str())
    }
}

/// How an exchange failed, and whether the server can have received the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// Nothing was written: the server has not received the request.
    NotSent,
    /// The connection failed or timed out after writing began.
    Lost,
    /// The response was truncated, malformed or too large.
    BadAnswer,
}

/// Connection limits of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentLimits {
    /// Largest number of idle keep-alive connections.
    pub idle_connections: usize,
    /// How long a connection may stay idle before it is closed.
    pub idle_time: Duration,
    /// How long a connection may take to be established.
    pub connect_time: Duration,
}

/// An agent that sends requests unchanged: no proxy, no redirects, no headers of its
/// own.
pub fn agent(limits: AgentLimits) -> Agent {
    let config = Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .max_idle_connections(limits.idle_connections)
        .max_idle_connections_per_host(limits.idle_connections)
        .max_idle_age(limits.idle_time)
        .timeout_connect(Some(limits.connect_time))
        .no_delay(true)
        .input_buffer_size(MAX_HEADER_BYTES)
        .max_response_header_size(MAX_HEADER_BYTES)
        .output_buffer_size(WRITE_BUFFER_BYTES)
        .build();
    Agent::with_parts(config, WriteTrackingConnector, AddressResolver)
}

/// Sends a request and reads the complete response.
///
/// # Errors
/// [`ExchangeError`], which tells whether the server can have received the request.
pub fn exchange(
    agent: &Agent,
    request: Request<Vec<u8>>,
    time: Duration,
    max_answer_bytes: usize,
    control: &Arc<ExchangeControl>,
) -> Result<BufferedResponse, ExchangeError> {
    if control.is_cancelled() || time.is_zero() {
        return Err(ExchangeError::NotSent);
    }
    with_control(control, || {
        let head_only = request.method() == ureq::http::Method::HEAD;
        let response = send(agent, request, time);
        let response = response.map_err(|error| classify_error(&error, control))?;
        read_response(response, head_only, max_answer_bytes)
    })
}

fn send(
    agent: &Agent,
    request: Request<Vec<u8>>,
    time: Duration,
) -> Result<Response<Body>, ureq::Error> {
    if request.body().is_empty() {
        let (parts, _) = request.into_parts();
        let needs_length = matches!(parts.method.as_str(), "POST" | "PUT" | "PATCH");
        if !needs_length {
            let request = Request::from_parts(parts, ());
            let request = agent.configure_request(request);
            let request = request.timeout_global(Some(time)).build();
            return agent.run(request);
        }
        let request = Request::from_parts(parts, Vec::new());
        let request = agent.configure_request(request);
        return agent.run(request.timeout_global(Some(time)).build());
    }
    let request = agent.configure_request(request);
    agent.run(request.timeout_global(Some(time)).build())
}

/// Classifies a failure before the response's body by whether writing began.
fn classify_error(error: &ureq::Error, control: &ExchangeControl) -> ExchangeError {
    if !control.writing_began() {
        return ExchangeError::NotSent;
    }
    match error {
        ureq::Error::Protocol(_) | ureq::Error::LargeResponseHeader(..) | ureq::Error::Http(_) => {
            ExchangeError::BadAnswer
        }
        _ => ExchangeError::Lost,
    }
}

fn read_response(
    response: Response<Body>,
    head_only: bool,
    max_answer_bytes: usize,
) -> Result<BufferedResponse, ExchangeError> {
    let (parts, body) = response.into_parts();
    let status = parts.status.as_u16();
    let bodiless = head_only || status == 204 || status == 304;
    let delimited = parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING);
    if !bodiless && !delimited {
        // Such a body ends with the connection, so a truncated body could not be
        // detected.
        return Err(ExchangeError::BadAnswer);
    }
    let mut headers = Vec::with_capacity(parts.headers.len());
    for (name, value) in &parts.headers {
        let value = value.to_str().map_err(|_| ExchangeError::BadAnswer)?;
        headers.push(HeaderLine::new(name.as_str(), value));
    }
    let body = read_body(body, max_answer_bytes)?;
    Ok(BufferedResponse {
        status,
        headers,
        body,
    })
}

fn read_body(body: Body, max_answer_bytes: usize) -> Result<Vec<u8>, ExchangeError> {
    let limit = max_answer_bytes as u64;
    if body.content_length().is_some_and(|length| length > limit) {
        return Err(ExchangeError::BadAnswer);
    }
    let mut content = Vec::new();
    let reader = body.into_reader();
    let read = reader.take(limit + 1).read_to_end(&mut content);
    match read {
        Ok(_) if content.len() as u64 > limit => Err(ExchangeError::BadAnswer),
        Ok(_) => Ok(content),
        Err(error) if is_timeout(&error) => Err(ExchangeError::Lost),
        Err(_) => Err(ExchangeError::BadAnswer),
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    let wrapped = error
        .get_ref()
        .and_then(|inner| inner.downcast_ref::<ureq::Error>());
    matches!(wrapped, Some(ureq::Error::Timeout(_))) || error.kind() == ErrorKind::TimedOut
}
