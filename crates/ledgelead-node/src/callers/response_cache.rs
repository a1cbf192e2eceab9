//! Copies of answers for repeats under the same idempotency key, bounded in
//! bytes. The decisions say which to hold and which to forget; the oldest go
//! first when they need too much space.

use crate::servers::exchange::BufferedResponse;
use ledgelead_types::request::AttemptId;
use std::collections::{HashMap, VecDeque};

/// Bytes of all copies, and of one.
const MAX_TOTAL_BYTES: usize = 32 << 20;
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Answers held.
#[derive(Default)]
pub struct ResponseCache {
    answers: HashMap<AttemptId, BufferedResponse>,
    insertion_order: VecDeque<AttemptId>,
    bytes: usize,
}

impl ResponseCache {
    /// Holds an answer, unless it is too large.
    pub fn insert(&mut self, attempt: AttemptId, answer: BufferedResponse) {
        let size = response_size(&answer);
        if size > MAX_RESPONSE_BYTES || self.answers.contains_key(&attempt) {
            return;
        }
        self.bytes += size;
        self.answers.insert(attempt, answer);
        self.insertion_order.push_back(attempt);
        while self.bytes > MAX_TOTAL_BYTES {
            let Some(oldest) = self.insertion_order.front().copied() else {
                return;
            };
            self.remove(oldest);
        }
    }

    /// Drops an answer.
    pub fn remove(&mut self, attempt: AttemptId) {
        if let Some(answer) = self.answers.remove(&attempt) {
            self.bytes -= response_size(&answer);
        }
        while let Some(oldest) = self.insertion_order.front()
            && !self.answers.contains_key(oldest)
        {
            self.insertion_order.pop_front();
        }
    }

    /// A copy of an answer, if it is held.
    pub fn get(&self, attempt: AttemptId) -> Option<BufferedResponse> {
        self.answers.get(&attempt).cloned()
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn response_size(answer: &BufferedResponse) -> usize {
    let headers = answer.headers.iter();
    let header_bytes: usize = headers.map(|line| line.name.len() + line.value.len()).sum();
    size_of::<BufferedResponse>() + header_bytes + answer.body.len()
}
