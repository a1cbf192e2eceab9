//! Copies of responses for retries under the same idempotency key, bounded in
//! bytes. The core decides which are cached and which are dropped; above the
//! bound the oldest are evicted first.

use crate::servers::exchange::BufferedResponse;
use ledgelead_types::request::AttemptId;
use std::collections::{HashMap, VecDeque};

/// Bytes of all copies, and of a single one.
const MAX_TOTAL_BYTES: usize = 32 << 20;
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The cached responses.
#[derive(Default)]
pub struct ResponseCache {
    responses: HashMap<AttemptId, BufferedResponse>,
    insertion_order: VecDeque<AttemptId>,
    bytes: usize,
}

impl ResponseCache {
    /// Caches a response, unless it is too large.
    pub fn insert(&mut self, attempt: AttemptId, response: BufferedResponse) {
        let size = response_size(&response);
        if size > MAX_RESPONSE_BYTES || self.responses.contains_key(&attempt) {
            return;
        }
        self.bytes += size;
        self.responses.insert(attempt, response);
        self.insertion_order.push_back(attempt);
        while self.bytes > MAX_TOTAL_BYTES {
            let Some(oldest) = self.insertion_order.front().copied() else {
                return;
            };
            self.remove(oldest);
        }
    }

    /// Drops a response.
    pub fn remove(&mut self, attempt: AttemptId) {
        if let Some(response) = self.responses.remove(&attempt) {
            self.bytes -= response_size(&response);
        }
        while let Some(oldest) = self.insertion_order.front()
            && !self.responses.contains_key(oldest)
        {
            self.insertion_order.pop_front();
        }
    }

    /// A copy of a response, if it is cached.
    pub fn get(&self, attempt: AttemptId) -> Option<BufferedResponse> {
        self.responses.get(&attempt).cloned()
    }

    /// Bytes of all cached responses.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn response_size(response: &BufferedResponse) -> usize {
    let headers = response.headers.iter();
    let header_bytes: usize = headers.map(|line| line.name.len() + line.value.len()).sum();
    size_of::<BufferedResponse>() + header_bytes + response.body.len()
}
