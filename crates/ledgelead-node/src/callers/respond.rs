//! Writes answers and refusals to callers.

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
/// Told to a caller when nothing better is known.
const DEFAULT_RETRY_AFTER: Span = Span::from_millis(1_000);

/// The end of a request, to be written to its caller.
pub struct CompletedRequest {
    /// The request.
    pub request: OpenRequest,
    /// What the caller is told.
    pub outcome: Outcome,
    /// The attempt whose answer is passed on.
    pub attempt: Option<AttemptId>,
    /// When the caller may try again.
    pub retry_after: Option<Span>,
}

/// Starts the threads that write to callers.
///
/// # Errors
/// When the system gives no more threads.
pub fn start(thread_name: &str, capacity: usize) -> std::io::Result<WorkPool<CompletedRequest>> {
    WorkPool::start(thread_name, THREADS, capacity, write_completed)
}

fn write_completed(mut ending: CompletedRequest) {
    let answer = ending
        .attempt
        .and_then(|attempt| ending.request.take_response(attempt));
    let caller_request_id = ending.request.caller_request_id.take();
    let connection = ending.request.connection;
    let last = ending.request.closes_connection;
    let response = match (ending.outcome, answer) {
        (Outcome::Answered, Some(answer)) => answered(answer, caller_request_id.as_deref()),
        // Without the answer itself, nobody can say more than this.
        (Outcome::Answered, None) => refusal(
            Outcome::Unknown(UnknownReason::BadAnswer),
            "",
            None,
            caller_request_id.as_deref(),
        ),
        (outcome, _) => refusal(
            outcome,
            "",
            ending.retry_after,
            caller_request_id.as_deref(),
        ),
    };
    write(connection, response, last);
}

/// Writes a response, which may be the last on its connection; a caller that
/// left is no fault of the node.
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
        log::debug!(target: "callers", "answer not written: {error}");
    }
}

/// Writes a response that tells the caller to open a new connection for its
/// next request. `tiny_http` lets nobody set that header.
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
    let behind_status = status_end.map_or(0, |end| end + 1);
    bytes.splice(behind_status..behind_status, CLOSE.iter().copied());
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
    // The answer to HEAD declares a length and has no body.
    let length = match declared {
        Some(declared) if answer.body.is_empty() => declared,
        _ => answer.body.len(),
    };
    build(answer.status, lines, answer.body, length, caller_request_id)
}

/// A response that says how a request ended without an answer.
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

/// HTTP status of an outcome without an answer.
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
    // The whole body is at hand, so its length is always declared.
    response.with_chunked_threshold(usize::MAX)
}
