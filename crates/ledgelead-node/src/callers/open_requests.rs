//! Requests accepted and not yet answered, with the data that the core does not
//! hold: the caller's connection, the body, the servers' responses.

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
    cache: Mutex<ResponseCache>,
    next_id: AtomicU64,
    max_open: usize,
    /// The first identifier from which on each response closes its connection;
    /// `u64::MAX` while connections stay open.
    closing_from: AtomicU64,
}

/// One open request.
pub struct OpenRequest {
    /// The caller's connection.
    pub connection: tiny_http::Request,
    /// The request to forward to a server.
    pub request: Arc<CallerRequest>,
    /// The caller's own identifier.
    pub caller_request_id: Option<String>,
    /// Whether the response closes the connection.
    pub closes_connection: bool,
    /// Complete responses received so far, by attempt.
    responses: Vec<AttemptResponse>,
}

struct AttemptResponse {
    attempt: AttemptId,
    response: BufferedResponse,
}

/// The limit of open requests is reached; the connection is handed back.
pub struct TooManyRequests(pub tiny_http::Request);

impl OpenRequests {
    /// An empty set that holds at most `max_open` requests at once.
    pub fn new(max_open: usize) -> OpenRequests {
        OpenRequests {
            requests: Mutex::default(),
            cache: Mutex::default(),
            next_id: AtomicU64::new(1),
            max_open,
            closing_from: AtomicU64::new(u64::MAX),
        }
    }

    /// Adds a request under a new identifier.
    pub fn open(
        &self,
        connection: tiny_http::Request,
        parsed: ParsedRequest,
    ) -> Result<RequestArrival, Box<TooManyRequests>> {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let open = OpenRequest {
            connection,
            request: Arc::new(parsed.request),
            caller_request_id: parsed.caller_request_id,
            responses: Vec::new(),
            closes_connection: false,
        };
        let mut requests = self.lock();
        if requests.len() >= self.max_open {
            return Err(Box::new(TooManyRequests(open.connection)));
        }
        requests.insert(id, open);
        Ok(RequestArrival {
            request: id,
            ..parsed.arrival
        })
    }

    /// The part of an open request that is forwarded to a server.
    pub fn request(&self, id: RequestId) -> Option<Arc<CallerRequest>> {
        self.lock().get(&id).map(|open| open.request.clone())
    }

    /// Stores a server's complete response until the core decides which one is
    /// forwarded to the caller. Dropped if the request is no longer open.
    pub fn store_response(&self, attempt: AttemptId, response: BufferedResponse) {
        if let Some(open) = self.lock().get_mut(&attempt.request) {
            open.responses.push(AttemptResponse { attempt, response });
        }
    }

    /// Caches a copy of an open request's response past the end of the request.
    pub fn cache_response(&self, attempt: AttemptId) {
        let response = self
            .lock()
            .get(&attempt.request)
            .and_then(|open| open.response(attempt).cloned());
        if let Some(response) = response {
            self.lock_cache().insert(attempt, response);
        }
    }

    /// Drops a cached response.
    pub fn evict_response(&self, attempt: AttemptId) {
        self.lock_cache().remove(attempt);
    }

    /// A cached response, unless it was evicted.
    pub fn cached_response(&self, attempt: AttemptId) -> Option<BufferedResponse> {
        self.lock_cache().get(attempt)
    }

    fn lock_cache(&self) -> MutexGuard<'_, ResponseCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes a request, so that its caller can be answered.
    pub fn close(&self, id: RequestId) -> Option<OpenRequest> {
        let mut open = self.lock().remove(&id)?;
        open.closes_connection = self.is_closing();
        Some(open)
    }

    /// From now on each response closes its connection and announces it with
    /// `Connection: close`.
    pub fn close_connections(&self) {
        let next = self.next_id.load(Ordering::Acquire);
        self.closing_from.fetch_min(next, Ordering::AcqRel);
    }

    /// Whether responses close their connections.
    pub fn is_closing(&self) -> bool {
        self.closing_from.load(Ordering::Acquire) != u64::MAX
    }

    /// Open requests that arrived before [`OpenRequests::close_connections`].
    /// Later ones are refused on arrival, so they don't count as unfinished.
    pub fn count_before_closing(&self) -> usize {
        let first = RequestId(self.closing_from.load(Ordering::Acquire));
        self.lock().keys().filter(|id| **id < first).count()
    }

    /// Open requests of the proxy's connection with this address.
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

    /// Whether the limit of open requests is reached.
    pub fn is_full(&self) -> bool {
        self.count() >= self.max_open
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, OpenRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequest {
    /// The response of one attempt.
    fn response(&self, attempt: AttemptId) -> Option<&BufferedResponse> {
        let mut responses = self.responses.iter();
        let entry = responses.find(|entry| entry.attempt == attempt)?;
        Some(&entry.response)
    }

    /// Adds the response of another request's attempt, to be sent to the caller.
    pub fn add_response(&mut self, attempt: AttemptId, response: BufferedResponse) {
        self.responses.push(AttemptResponse { attempt, response });
    }

    /// Removes and returns the response of one attempt.
    pub fn take_response(&mut self, attempt: AttemptId) -> Option<BufferedResponse> {
        let index = self
            .responses
            .iter()
            .position(|entry| entry.attempt == attempt)?;
        Some(self.responses.swap_remove(index).response)
    }
}
