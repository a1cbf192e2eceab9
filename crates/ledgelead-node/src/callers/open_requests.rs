//! Requests accepted and not yet answered, with what belongs to them outside
//! the decisions: the caller's connection, the body, servers' answers.

use super::request_head::{CallerRequest, ParsedRequest};
use super::response_cache::ResponseCache;
use crate::servers::exchange::BufferedResponse;
use ledgelead_types::RequestId;
use ledgelead_types::request::{AttemptId, RequestArrival};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// All open requests of one node.
pub struct OpenRequests {
    requests: Mutex<HashMap<RequestId, OpenRequest>>,
    cached: Mutex<ResponseCache>,
    next: AtomicU64,
    max_open: usize,
    /// The first request after which every answer is the last on its
    /// connection; the highest number while that is not so.
    closing_from: AtomicU64,
}

/// One open request.
pub struct OpenRequest {
    /// The caller's connection.
    pub connection: tiny_http::Request,
    /// What a server gets.
    pub request: Arc<CallerRequest>,
    /// The caller's own identifier.
    pub caller_request_id: Option<String>,
    /// Whether its answer is the last on the connection.
    pub closes_connection: bool,
    /// Whole answers so far, by attempt.
    answers: Vec<AttemptResponse>,
}

struct AttemptResponse {
    attempt: AttemptId,
    answer: BufferedResponse,
}

/// The node holds as many requests as it may; the connection comes back.
pub struct TooManyRequests(pub tiny_http::Request);

impl OpenRequests {
    /// None yet; at max_open `max_open` at once.
    pub fn new(max_open: usize) -> OpenRequests {
        OpenRequests {
            requests: Mutex::default(),
            cached: Mutex::default(),
            next: AtomicU64::new(1),
            max_open,
            closing_from: AtomicU64::new(u64::MAX),
        }
    }

    /// Opens a request under a new identifier.
    pub fn open(
        &self,
        connection: tiny_http::Request,
        classified: ParsedRequest,
    ) -> Result<RequestArrival, Box<TooManyRequests>> {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        let open = OpenRequest {
            connection,
            request: Arc::new(classified.request),
            caller_request_id: classified.caller_request_id,
            answers: Vec::new(),
            closes_connection: false,
        };
        let mut requests = self.lock();
        if requests.len() >= self.max_open {
            return Err(Box::new(TooManyRequests(open.connection)));
        }
        requests.insert(id, open);
        Ok(RequestArrival {
            request: id,
            ..classified.arrival
        })
    }

    /// What a server gets of an open request.
    pub fn request(&self, id: RequestId) -> Option<Arc<CallerRequest>> {
        self.lock().get(&id).map(|open| open.request.clone())
    }

    /// Keeps a server's whole answer until the decisions say which one is
    /// passed on. Dropped when the request is no longer open.
    pub fn store_response(&self, attempt: AttemptId, answer: BufferedResponse) {
        if let Some(open) = self.lock().get_mut(&attempt.request) {
            open.answers.push(AttemptResponse { attempt, answer });
        }
    }

    /// Holds a copy of an open request's answer beyond the request's end.
    pub fn cache_response(&self, attempt: AttemptId) {
        let answer = self
            .lock()
            .get(&attempt.request)
            .and_then(|open| open.answer(attempt).cloned());
        if let Some(answer) = answer {
            self.lock_cache().insert(attempt, answer);
        }
    }

    /// Drops a copy held.
    pub fn evict_response(&self, attempt: AttemptId) {
        self.lock_cache().remove(attempt);
    }

    /// A copy held, if it still is.
    pub fn cached_response(&self, attempt: AttemptId) -> Option<BufferedResponse> {
        self.lock_cache().get(attempt)
    }

    fn lock_cache(&self) -> MutexGuard<'_, ResponseCache> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request out, to answer its caller.
    pub fn close(&self, id: RequestId) -> Option<OpenRequest> {
        let mut open = self.lock().remove(&id)?;
        open.closes_connection = self.is_closing();
        Some(open)
    }

    /// From now on each answer is the last on its connection, and says so.
    pub fn close_connections(&self) {
        let next = self.next.load(Ordering::Acquire);
        self.closing_from.fetch_min(next, Ordering::AcqRel);
    }

    /// Whether answers are the last on their connections.
    pub fn is_closing(&self) -> bool {
        self.closing_from.load(Ordering::Acquire) != u64::MAX
    }

    /// Open requests that came before [`OpenRequests::close_connections`].
    /// Later ones are refused as they come, so they don't count as unfinished.
    pub fn count_before_closing(&self) -> usize {
        let first = RequestId(self.closing_from.load(Ordering::Acquire));
        self.lock().keys().filter(|id| **id < first).count()
    }

    /// Open requests of one inner connection.
    pub fn on_connection(&self, address: SocketAddr) -> Vec<RequestId> {
        let mut requests: Vec<RequestId> = self
            .lock()
            .iter()
            .filter(|(_, open)| open.connection.remote_addr() == Some(&address))
            .map(|(id, _)| *id)
            .collect();
        requests.sort();
        requests
    }

    /// Number of open requests.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Whether as many are open as may be.
    pub fn is_full(&self) -> bool {
        self.count() >= self.max_open
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, OpenRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequest {
    /// The answer of one attempt.
    fn answer(&self, attempt: AttemptId) -> Option<&BufferedResponse> {
        let mut answers = self.answers.iter();
        let cached = answers.find(|cached| cached.attempt == attempt)?;
        Some(&cached.answer)
    }

    /// Gives it the answer of another request's attempt, to be passed on.
    pub fn add_response(&mut self, attempt: AttemptId, answer: BufferedResponse) {
        self.answers.push(AttemptResponse { attempt, answer });
    }

    /// Takes the answer of one attempt.
    pub fn take_response(&mut self, attempt: AttemptId) -> Option<BufferedResponse> {
        let index = self
            .answers
            .iter()
            .position(|cached| cached.attempt == attempt)?;
        Some(self.answers.swap_remove(index).answer)
    }
}
