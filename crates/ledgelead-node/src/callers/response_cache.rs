//! Copies of answers for repeats under the same idempotency key, bounded in
//! bytes. The decisions say which to hold and which to forget; the oldest go
//! first when they need too much space.

use crate::servers::exchange::WholeAnswer;
use ledgelead_types::request::AttemptId;
use std::collections::{HashMap, VecDeque};

/// Bytes of all copies, and of one.
const MOST_BYTES: usize = 32 << 20;
const MOST_BYTES_OF_ONE: usize = 1 << 20;

/// Answers held.
#[derive(Default)]
pub struct KeptAnswers {
    answers: HashMap<AttemptId, WholeAnswer>,
    by_age: VecDeque<AttemptId>,
    bytes: usize,
}

impl KeptAnswers {
    /// Holds an answer, unless it is too large.
    pub fn keep(&mut self, attempt: AttemptId, answer: WholeAnswer) {
        let size = size_of_answer(&answer);
        if size > MOST_BYTES_OF_ONE || self.answers.contains_key(&attempt) {
            return;
        }
        self.bytes += size;
        self.answers.insert(attempt, answer);
        self.by_age.push_back(attempt);
        while self.bytes > MOST_BYTES {
            let Some(oldest) = self.by_age.front().copied() else {
                return;
            };
            self.forget(oldest);
        }
    }

    /// Drops an answer.
    pub fn forget(&mut self, attempt: AttemptId) {
        if let Some(answer) = self.answers.remove(&attempt) {
            self.bytes -= size_of_answer(&answer);
        }
        while let Some(oldest) = self.by_age.front()
            && !self.answers.contains_key(oldest)
        {
            self.by_age.pop_front();
        }
    }

    /// A copy of an answer, if it is held.
    pub fn get(&self, attempt: AttemptId) -> Option<WholeAnswer> {
        self.answers.get(&attempt).cloned()
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn size_of_answer(answer: &WholeAnswer) -> usize {
    let headers = answer.headers.iter();
    let header_bytes: usize = headers.map(|line| line.name.len() + line.value.len()).sum();
    size_of::<WholeAnswer>() + header_bytes + answer.body.len()
}
