//! Which instances name rate limits, as far as this node knows.

use super::notice::RateLimit;
use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// How long the end of a limit is remembered, so that older statements don't bring it back.
const ENDED_TTL: Duration = Duration::from_secs(30);
/// How long the end of a limit is announced to other nodes.
const ENDED_ANNOUNCED: Duration = Duration::from_secs(5);

/// What is known of one instance's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatement {
    /// The limit; none if the instance names none any more.
    pub limit: Option<RateLimit>,
    /// When the instance said so.
    pub at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    statement: LimitStatement,
    /// Until when there is no token for this node's requests.
    empty_until: Timestamp,
    /// Whether the coordinator lacks what an answer has told this node.
    is_unreported: bool,
}

/// The limits of all instances, by the stable hashes of their ids.
#[derive(Clone, Debug, Default)]
pub struct KnownLimits {
    known: HashMap<u64, KnownLimit>,
}

impl KnownLimits {
    /// An answer to this node says what holds. Returns whether that is new.
    pub fn record_from_answer(
        &mut self,
        instance: u64,
        limit: Option<RateLimit>,
        now: Timestamp,
    ) -> bool {
        if limit.is_none() && !self.known.contains_key(&instance) {
            return false;
        }
        let statement = LimitStatement { limit, at: now };
        let is_new = self.replace(instance, statement);
        if let Some(known) = self.known.get_mut(&instance).filter(|_| is_new) {
            known.is_unreported = true;
        }
        is_new
    }

    /// Another node says what holds; of two statements the later one counts.
    pub fn record_from_peer(&mut self, instance: u64, statement: LimitStatement) {
        let known = self.known.get(&instance);
        let is_older = known.is_some_and(|known| known.statement.at > statement.at);
        if !is_older {
            self.replace(instance, statement);
        }
    }

    /// The coordinator knows of a limit: it need not be reported, if it is the same.
    pub fn mark_reported(&mut self, instance: u64, limit: Option<RateLimit>) {
        if let Some(known) = self.known.get_mut(&instance) {
            known.is_unreported &= known.statement.limit != limit;
        }
    }

    /// What holds for an instance, if it names a limit or has lately ceased to.
    pub fn statement(&self, instance: u64) -> Option<LimitStatement> {
        Some(self.known.get(&instance)?.statement)
    }

    /// The limit that an instance names.
    pub fn limit(&self, instance: u64) -> Option<RateLimit> {
        self.statement(instance)?.limit
    }

    /// There is no token for this node for so long.
    pub fn mark_refused(&mut self, instance: u64, wait: Duration, now: Timestamp) {
        if let Some(known) = self.known.get_mut(&instance) {
            known.empty_until = known.empty_until.max(now + wait);
        }
    }

    /// For how much longer there is no token for this node.
    pub fn token_wait(&self, instance: u64, now: Timestamp) -> Option<Duration> {
        let known = self.known.get(&instance)?;
        known.statement.limit?;
        let left = known.empty_until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether nothing is known, as is usual.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// How many instances something is known of.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// What the coordinator lacks.
    pub fn unreported(&self) -> impl Iterator<Item = (u64, LimitStatement)> {
        let unreported = self.known.iter().filter(|(_, known)| known.is_unreported);
        unreported.map(|(instance, known)| (*instance, known.statement))
    }

    /// What all nodes are to know: limits that hold, and those that ended lately.
    pub fn to_announce(&self, now: Timestamp) -> impl Iterator<Item = (u64, LimitStatement)> {
        let counts = move |known: &KnownLimit| {
            known.statement.limit.is_some() || known.statement.at + ENDED_ANNOUNCED > now
        };
        let current = self.known.iter().filter(move |(_, known)| counts(known));
        current.map(|(instance, known)| (*instance, known.statement))
    }

    /// Forgets instances that `exists` doesn't know, and limits that ended long ago.
    pub fn expire(&mut self, exists: impl Fn(u64) -> bool, now: Timestamp) {
        self.known.retain(|instance, known| {
            let has_ended = known.statement.limit.is_none();
            exists(*instance) && !(has_ended && known.statement.at + ENDED_TTL <= now)
        });
    }

    fn replace(&mut self, instance: u64, statement: LimitStatement) -> bool {
        let known = self.known.entry(instance).or_insert(KnownLimit {
            statement: LimitStatement {
                limit: None,
                at: statement.at,
            },
            empty_until: Timestamp::ZERO,
            is_unreported: false,
        });
        let is_new = known.statement.limit != statement.limit;
        if is_new {
            // The wait was reckoned by the earlier limit.
            known.empty_until = Timestamp::ZERO;
        }
        known.statement = statement;
        is_new
    }
}
