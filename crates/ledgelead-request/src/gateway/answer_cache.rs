//! Cache of answers for retries under the same idempotency key, kept by the gateway that
//! delivered the first answer. It holds attempt identifiers; the bodies are kept by the I/O
//! layer.

use super::Gateway;
use super::interface::GatewayOutput;
use super::request::ActiveRequest;
use ledgelead_types::request::AttemptId;
use ledgelead_types::{IdempotencyKey, Outcome, Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// How long an answer is cached, and how many are cached at once.
const CACHE_TTL: Span = Span::from_seconds(60);
const MAX_CACHED: usize = 4_096;

/// Cached answers, by key and by age.
#[derive(Debug, Default)]
pub(super) struct AnswerCache {
    by_key: BTreeMap<IdempotencyKey, AttemptId>,
    by_age: VecDeque<(Time, IdempotencyKey)>,
}

impl AnswerCache {
    /// The attempt whose answer is cached under a key.
    pub(super) fn get(&self, key: IdempotencyKey) -> Option<AttemptId> {
        self.by_key.get(&key).copied()
    }

    /// Adds an answer; returns whether it was added. The first answer of a key is never
    /// replaced.
    fn add(&mut self, now: Time, key: IdempotencyKey, attempt: AttemptId) -> bool {
        if self.by_key.contains_key(&key) {
            return false;
        }
        self.by_key.insert(key, attempt);
        self.by_age.push_back((now, key));
        true
    }

    /// Removes the oldest answer if it has expired or exceeds the maximum number.
    fn take_evictable(&mut self, now: Time) -> Option<AttemptId> {
        let &(cached_at, key) = self.by_age.front()?;
        let is_evictable = self.by_age.len() > MAX_CACHED || now >= cached_at + CACHE_TTL;
        if !is_evictable {
            return None;
        }
        self.by_age.pop_front();
        self.by_key.remove(&key)
    }
}

impl Gateway {
    /// Caches the answer of a request with an idempotency key when it is delivered.
    pub(super) fn cache_answer(
        &mut self,
        now: Time,
        request: &ActiveRequest,
        outcome: Outcome,
        attempt: Option<AttemptId>,
    ) {
        self.evict_answers(now);
        let (Some(record), Some(attempt)) = (request.idempotency_record, attempt) else {
            return;
        };
        let is_own = attempt.request == request.id;
        if outcome != Outcome::Answered || !is_own {
            return;
        }
        if self.answer_cache.add(now, record.key, attempt) {
            self.outputs.push(GatewayOutput::KeepAnswer(attempt));
        }
        self.evict_answers(now);
    }

    /// Drops answers that have expired or exceed the maximum number.
    pub(super) fn evict_answers(&mut self, now: Time) {
        while let Some(attempt) = self.answer_cache.take_evictable(now) {
            self.outputs.push(GatewayOutput::ForgetAnswer(attempt));
        }
    }
}
