//! Requests accepted and not yet answered, with what belongs to them outside
//! the decisions: the caller's connection, the body, servers' answers.

use super::request_head::{CallerRequest, Classified};
use super::response_cache::KeptAnswers;
use crate::servers::exchange::WholeAnswer;
use ledgelead_types::RequestId;
use ledgelead_types::request::{AttemptId, RequestArrival};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// All open requests of one node.
pub struct OpenRequests {
    requests: Mutex<HashMap<RequestId, OpenRequest>>,
    kept: Mutex<KeptAnswers>,
    next: AtomicU64,
    most: usize,
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
    pub echo: Option<String>,
    /// Whether its answer is the last on the connection.
    pub is_last: bool,
    /// Whole answers so far, by attempt.
    answers: Vec<KeptAnswer>,
}

struct KeptAnswer {
    attempt: AttemptId,
    answer: WholeAnswer,
}

/// The node holds as many requests as it may; the connection comes back.
pub struct TooMany(pub tiny_http::Request);

impl OpenRequests {
    /// None yet; at most `most` at once.
    pub fn new(most: usize) -> OpenRequests {
        OpenRequests {
            requests: Mutex::default(),
            kept: Mutex::default(),
            next: AtomicU64::new(1),
            most,
            closing_from: AtomicU64::new(u64::MAX),
        }
    }

    /// Opens a request under a new identifier.
    pub fn open(
        &self,
        connection: tiny_http::Request,
        classified: Classified,
    ) -> Result<RequestArrival, Box<TooMany>> {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        let open = OpenRequest {
            connection,
            request: Arc::new(classified.request),
            echo: classified.echo,
            answers: Vec::new(),
            is_last: false,
        };
        let mut requests = self.lock();
        if requests.len() >= self.most {
            return Err(Box::new(TooMany(open.connection)));
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
    pub fn keep_answer(&self, attempt: AttemptId, answer: WholeAnswer) {
        if let Some(open) = self.lock().get_mut(&attempt.request) {
            open.answers.push(KeptAnswer { attempt, answer });
        }
    }

    /// Holds a copy of an open request's answer beyond the request's end.
    pub fn hold_answer(&self, attempt: AttemptId) {
        let answer = self
            .lock()
            .get(&attempt.request)
            .and_then(|open| open.answer(attempt).cloned());
        if let Some(answer) = answer {
            self.lock_kept().keep(attempt, answer);
        }
    }

    /// Drops a copy held.
    pub fn forget_answer(&self, attempt: AttemptId) {
        self.lock_kept().forget(attempt);
    }

    /// A copy held, if it still is.
    pub fn held_answer(&self, attempt: AttemptId) -> Option<WholeAnswer> {
        self.lock_kept().get(attempt)
    }

    fn lock_kept(&self) -> MutexGuard<'_, KeptAnswers> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request out, to answer its caller.
    pub fn close(&self, id: RequestId) -> Option<OpenRequest> {
        let mut open = self.lock().remove(&id)?;
        open.is_last = self.is_closing();
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
    pub fn of_connection(&self, address: SocketAddr) -> Vec<RequestId> {
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
        self.count() >= self.most
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, OpenRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequest {
    /// The answer of one attempt.
    fn answer(&self, attempt: AttemptId) -> Option<&WholeAnswer> {
        let mut answers = self.answers.iter();
        let kept = answers.find(|kept| kept.attempt == attempt)?;
        Some(&kept.answer)
    }

    /// Gives it the answer of another request's attempt, to be passed on.
    pub fn give_answer(&mut self, attempt: AttemptId, answer: WholeAnswer) {
        self.answers.push(KeptAnswer { attempt, answer });
    }

    /// Takes the answer of one attempt.
    pub fn take_answer(&mut self, attempt: AttemptId) -> Option<WholeAnswer> {
        let index = self
            .answers
            .iter()
            .position(|kept| kept.attempt == attempt)?;
        Some(self.answers.swap_remove(index).answer)
    }
}
