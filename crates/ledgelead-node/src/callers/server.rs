//! Reads callers' requests with `tiny_http` on a fixed number of threads.

use super::headers::HeaderLine;
use super::open_requests::OpenRequests;
use super::request_head::{BadRequest, ParsedRequest, parse_head};
use super::respond;
use crate::InputSink;
use crate::metrics::Metrics;
use crate::settings::Limits;
use ledgelead_core::Input;
use ledgelead_types::{NotRunReason, Outcome};
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use tiny_http::{Request, Server};

/// HTTP status for a body above the limit.
const PAYLOAD_TOO_LARGE: u16 = 413;

/// The threads that read requests.
pub struct CallerServer {
    shared: Arc<Shared>,
    threads: usize,
}

struct Shared {
    server: Server,
    closed: AtomicBool,
    failed: Arc<AtomicBool>,
    limits: Limits,
    open_requests: Arc<OpenRequests>,
    metrics: Metrics,
    inputs: InputSink,
}

impl CallerServer {
    /// Starts the threads on a listening server.
    ///
    /// # Errors
    /// When the system can't create more threads.
    pub fn start(
        thread_name: &str,
        server: Server,
        limits: Limits,
        open_requests: Arc<OpenRequests>,
        metrics: Metrics,
        inputs: InputSink,
    ) -> std::io::Result<CallerServer> {
        let threads = limits.reading_threads;
        let shared = Arc::new(Shared {
            server,
            closed: AtomicBool::new(false),
            failed: Arc::default(),
            limits,
            open_requests,
            metrics,
            inputs,
        });
        for _ in 0..threads {
            let shared = shared.clone();
            thread::Builder::new()
                .name(thread_name.to_owned())
                .spawn(move || shared.run_worker())?;
        }
        Ok(CallerServer { shared, threads })
    }

    /// Set when the HTTP server has failed permanently.
    pub fn failed(&self) -> Arc<AtomicBool> {
        self.shared.failed.clone()
    }

    /// Stops the threads. Requests already read are still answered.
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::Release);
        for _ in 0..self.threads {
            self.shared.server.unblock();
        }
    }
}

impl Drop for CallerServer {
    fn drop(&mut self) {
        self.close();
    }
}

impl Shared {
    fn run_worker(&self) {
        while !self.closed.load(Ordering::Acquire) {
            match self.server.recv() {
                Ok(request) => self.handle_request(request),
                Err(error) => self.handle_receive_error(&error),
            }
        }
    }

    /// Handles a receive without a request: the server was closed or has failed
    /// permanently.
    fn handle_receive_error(&self, error: &std::io::Error) {
        if self.closed.load(Ordering::Acquire) {
            return;
        }
        log::error!(target: "callers", "the HTTP server accepts no more requests: {error}");
        self.failed.store(true, Ordering::Release);
    }

    /// Reads one complete request and passes it to the core.
    fn handle_request(&self, mut connection: Request) {
        if self.open_requests.is_full() {
            self.refuse(
                connection,
                NotRunReason::Overloaded,
                "too many open requests",
            );
            return;
        }
        let parsed = match self.read(&mut connection) {
            Ok(parsed) => parsed,
            Err(bad) => {
                self.refuse_bad(connection, &bad);
                return;
            }
        };
        match self.open_requests.open(connection, parsed) {
            Ok(arrival) => (self.inputs)(Input::RequestArrived(arrival)),
            Err(too_many) => {
                self.refuse(
                    too_many.0,
                    NotRunReason::Overloaded,
                    "too many open requests",
                );
            }
        }
    }

    fn read(&self, connection: &mut Request) -> Result<ParsedRequest, BadRequest> {
        let lines = header_lines(connection);
        let method = connection.method().as_str().to_owned();
        let target = connection.url().to_owned();
        let mut parsed = parse_head(&method, &target, &lines, self.limits.max_deadline)?;
        parsed.request.body = read_body(connection, self.limits.max_body_bytes)?;
        Ok(parsed)
    }

    fn refuse(&self, connection: Request, reason: NotRunReason, explanation: &str) {
        self.metrics.count_refused_unread(reason);
        let response = respond::refusal(Outcome::NotRun(reason), explanation, None, None);
        respond::write(connection, response, self.open_requests.is_closing());
    }

    fn refuse_bad(&self, connection: Request, bad: &BadRequest) {
        let reason = match bad {
            BadRequest::NoService => NotRunReason::UnknownService,
            _ => NotRunReason::BadRequest,
        };
        self.metrics.count_refused_unread(reason);
        let outcome = Outcome::NotRun(reason);
        let mut response = respond::refusal(outcome, &bad.to_string(), None, None);
        if matches!(bad, BadRequest::BodyTooLong { .. }) {
            response = response.with_status_code(PAYLOAD_TOO_LARGE);
        }
        respond::write(connection, response, self.open_requests.is_closing());
    }
}

fn header_lines(connection: &Request) -> Vec<HeaderLine> {
    connection
        .headers()
        .iter()
        .map(|header| HeaderLine::new(header.field.as_str().as_str(), header.value.as_str()))
        .collect()
}

/// Reads the body, at most one byte more than the limit.
fn read_body(connection: &mut Request, limit: usize) -> Result<Vec<u8>, BadRequest> {
    let declared = connection.body_length();
    if declared.is_some_and(|length| length > limit) {
        return Err(BadRequest::BodyTooLong { limit });
    }
    let mut body = Vec::with_capacity(declared.unwrap_or(0));
    connection
        .as_reader()
        .take(limit as u64 + 1)
        .read_to_end(&mut body)
        .map_err(|_| BadRequest::BodyTruncated)?;
    if body.len() > limit {
        return Err(BadRequest::BodyTooLong { limit });
    }
    if declared.is_some_and(|length| length != body.len()) {
        return Err(BadRequest::BodyTruncated);
    }
    Ok(body)
}
