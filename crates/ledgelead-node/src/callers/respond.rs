//! Writes servers' responses and refusals to callers.

use super::headers::{self, HeaderLine, passed_to_caller};
use super::open_requests::OpenRequest;
use crate::servers::exchange::BufferedResponse;
use crate::work_pool::WorkPool;
use ledgelead_types::request::AttemptId;
use ledgelead_types::{NotRunReason, Outcome, Span, UnknownReason};
use std::io::{self, Cursor, Write};
use tiny_http::{Header, Method, Response, StatusCode};

/// Threads that write to callers.
const THREADS: usize = 16;
/// Retry delay in a refusal for which the core gives none.
const DEFAULT_RETRY_AFTER: Span = Span::from_millis(1_000);

/// A request that has ended; its outcome is to be written to the caller.
pub struct CompletedRequest {
    /// The request.
    pub request: OpenRequest,
    /// The outcome that the caller is told.
    pub outcome: Outcome,
    /// The attempt whose response is forwarded.
    pub attempt: Option<AttemptId>,
    /// Time after which the caller may retry.
    pub retry_after: Option<Span>,
}

/// Starts the threads that write to callers.
///
/// # Errors
/// When the system can't create more threads.
pub fn start(thread_name: &str, capacity: usize) -> std::io::Result<WorkPool<CompletedRequest>> {
    WorkPool::start(thread_name, THREADS, capacity, write_completed)
}

fn write_completed(mut completed: CompletedRequest) {
    let answer = completed
        .attempt
        .and_then(|attempt| completed.request.take_response(attempt));
    let caller_request_id = completed.request.caller_request_id.take();
    let connection = completed.request.connection;
    let closes_connection = completed.request.closes_connection;
    let response = match (completed.outcome, answer) {
        (Outcome::Answered, Some(answer)) => answered(answer, caller_request_id.as_deref()),
        // A server answered, but its response is not available here.
        (Outcome::Answered, None) => refusal(
            Outcome::Unknown(UnknownReason::BadAnswer),
            "",
            None,
            caller_request_id.as_deref(),
        ),
        (outcome, _) => refusal(
            outcome,
            "",
            completed.retry_after,
            caller_request_id.as_deref(),
        ),
    };
    write(connection, response, closes_connection);
}

/// Writes a response, with `Connection: close` if `closes_connection` is set. A failed
/// write is not a fault of the node, since the caller has disconnected, and is logged at
/// debug level only.
pub fn write(
    connection: tiny_http::Request,
    response: Response<Cursor<Vec<u8>>>,
    closes_connection: bool,
) {
    let written = if closes_connection {
        write_closing(connection, response)
    } else {
        connection.respond(response)
    };
    if let Err(error) = written {
        log::debug!(target: "callers", "writing a response failed: {error}");
    }
}

/// Writes a response with `Connection: close`, which makes the caller open a new
/// connection for its next request. `tiny_http` doesn't let applications set that
/// header, so it is inserted into the serialized response.
fn write_closing(
    connection: tiny_http::Request,
    response: Response<Cursor<Vec<u8>>>,
) -> io::Result<()> {
    const CLOSE: &[u8] = b"Connection: close\r\n";
    let head_only = *connection.method() == Method::Head;
    let version = connection.http_version().clone();
    let mut bytes = Vec::new();
    response.raw_print(&mut bytes, version, connection.headers(), head_only, None)?;
    let status_end = bytes.iter().position(|byte| *byte == b'\n');
    let after_status = status_end.map_or(0, |end| end + 1);
    bytes.splice(after_status..after_status, CLOSE.iter().copied());
    let mut writer = connection.into_writer();
    writer.write_all(&bytes)?;
    writer.flush()
}

fn answered(
    answer: BufferedResponse,
    caller_request_id: Option<&str>,
) -> Response<Cursor<Vec<u8>>> {
    let declared = answer
        .header("Content-Length")
        .and_then(|length| length.parse().ok());
    let mut lines = passed_to_caller(&answer.headers);
    lines.push(HeaderLine::new(headers::OUTCOME, "answered"));
    // The response to HEAD declares a length and has no body.
    let length = match declared {
        Some(declared) if answer.body.is_empty() => declared,
        _ => answer.body.len(),
    };
    build(answer.status, lines, answer.body, length, caller_request_id)
}

/// A response that reports how a request ended without a server's response.
pub fn refusal(
    outcome: Outcome,
    explanation: &str,
    retry_after: Option<Span>,
    caller_request_id: Option<&str>,
) -> Response<Cursor<Vec<u8>>> {
    let (name, reason) = match outcome {
        Outcome::Answered => ("answered", ""),
        Outcome::NotRun(reason) => ("not-run", reason.name()),
        Outcome::Unknown(reason) => ("unknown", reason.name()),
    };
    let status = status_of(outcome);
    let mut lines = vec![
        HeaderLine::new("Content-Type", "text/plain; charset=utf-8"),
        HeaderLine::new(headers::OUTCOME, name),
        HeaderLine::new(headers::REASON, reason),
    ];
    if matches!(status, 429 | 503) {
        let wait = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        let millis = wait.as_micros().div_ceil(1_000);
        let seconds = millis.div_ceil(1_000).max(1);
        lines.push(HeaderLine::new(headers::RETRY_AFTER, seconds.to_string()));
        lines.push(HeaderLine::new(headers::RETRY_AFTER_MS, millis.to_string()));
    }
    let separator = if explanation.is_empty() { "" } else { ": " };
    let body = format!("{outcome}{separator}{explanation}\n").into_bytes();
    let length = body.len();
    build(status, lines, body, length, caller_request_id)
}

/// HTTP status of an outcome without a server's response.
pub fn status_of(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::Answered => 200,
        Outcome::NotRun(reason) => match reason {
            NotRunReason::UnknownService => 404,
            NotRunReason::Unauthorized => 401,
            NotRunReason::BadRequest => 400,
            NotRunReason::LimitExceeded => 429,
            NotRunReason::DuplicateInProgress => 409,
            NotRunReason::Overloaded
            | NotRunReason::DeadlineTooClose
            | NotRunReason::NoServer
            | NotRunReason::CallerGone
            | NotRunReason::Stopping => 503,
        },
        Outcome::Unknown(reason) => match reason {
            UnknownReason::DeadlinePassed => 504,
            UnknownReason::ConnectionLost
            | UnknownReason::BadAnswer
            | UnknownReason::EarlierAttemptUnknown
            | UnknownReason::AnswerNotHeld
            | UnknownReason::CallerGone => 502,
        },
    }
}

fn build(
    status: u16,
    lines: Vec<HeaderLine>,
    body: Vec<u8>,
    length: usize,
    caller_request_id: Option<&str>,
) -> Response<Cursor<Vec<u8>>> {
    let caller_request_id = caller_request_id
        .map(|caller_request_id| HeaderLine::new(headers::REQUEST_ID, caller_request_id));
    let lines = lines
        .into_iter()
        .chain(caller_request_id)
        .filter_map(|line| Header::from_bytes(line.name.as_bytes(), line.value.as_bytes()).ok())
        .collect();
    let response = Response::new(
        StatusCode(status),
        lines,
        Cursor::new(body),
        Some(length),
        None,
    );
    // The body is complete, so its length is always declared.
    response.with_chunked_threshold(usize::MAX)
}
