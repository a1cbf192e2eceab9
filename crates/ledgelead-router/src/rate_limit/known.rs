//! The rate limits of instances that this node knows.

use super::notice::RateLimit;
use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// How long a withdrawn limit is remembered, so that older messages do not restore it.
const WITHDRAWN_TTL: Duration = Duration::from_secs(30);
/// How long the withdrawal of a limit is announced to other nodes.
const WITHDRAWAL_ANNOUNCED_FOR: Duration = Duration::from_secs(5);

/// An instance's announcement of a limit, or of its withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatement {
    /// The limit; none if the instance has withdrawn it.
    pub limit: Option<RateLimit>,
    /// When the instance announced this.
    pub at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    statement: LimitStatement,
    /// Until when there is no token for this node's requests.
    no_token_until: Timestamp,
    /// Whether this node has learned the statement from a response and not reported it to the
    /// coordinator yet.
    is_unreported: bool,
}

/// The limits of all instances, by the stable hashes of their ids.
#[derive(Clone, Debug, Default)]
pub struct KnownLimits {
    known: HashMap<u64, KnownLimit>,
}

impl KnownLimits {
    /// Records the limit in a response to this node. Returns whether it has changed.
    pub fn record_from_response(
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

    /// Records a limit that another node has sent; the later of two statements is kept.
    pub fn record_from_peer(&mut self, instance: u64, statement: LimitStatement) {
        let known = self.known.get(&instance);
        let is_older = known.is_some_and(|known| known.statement.at > statement.at);
        if !is_older {
            self.replace(instance, statement);
        }
    }

    /// Records that the coordinator knows this limit, so that it need not be reported unless it
    /// has changed since.
    pub fn mark_reported(&mut self, instance: u64, limit: Option<RateLimit>) {
        if let Some(known) = self.known.get_mut(&instance) {
            known.is_unreported &= known.statement.limit != limit;
        }
    }

    /// The last statement of an instance, if it has a limit or had one recently.
    pub fn statement(&self, instance: u64) -> Option<LimitStatement> {
        Some(self.known.get(&instance)?.statement)
    }

    /// The current limit of an instance.
    pub fn limit(&self, instance: u64) -> Option<RateLimit> {
        self.statement(instance)?.limit
    }

    /// Records that no token is available for this node for `wait`.
    pub fn mark_refused(&mut self, instance: u64, wait: Duration, now: Timestamp) {
        if let Some(known) = self.known.get_mut(&instance) {
            known.no_token_until = known.no_token_until.max(now + wait);
        }
    }

    /// Remaining time without a token for this node.
    pub fn token_wait(&self, instance: u64, now: Timestamp) -> Option<Duration> {
        let known = self.known.get(&instance)?;
        known.statement.limit?;
        let left = known.no_token_until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether no limit is known, which is the usual case.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Number of instances with a known statement.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Statements that the coordinator does not know yet.
    pub fn unreported(&self) -> impl Iterator<Item = (u64, LimitStatement)> {
        let unreported = self.known.iter().filter(|(_, known)| known.is_unreported);
        unreported.map(|(instance, known)| (*instance, known.statement))
    }

    /// Statements for all nodes: current limits, and recent withdrawals.
    pub fn to_announce(&self, now: Timestamp) -> impl Iterator<Item = (u64, LimitStatement)> {
        let counts = move |known: &KnownLimit| {
            known.statement.limit.is_some() || known.statement.at + WITHDRAWAL_ANNOUNCED_FOR > now
        };
        let current = self.known.iter().filter(move |(_, known)| counts(known));
        current.map(|(instance, known)| (*instance, known.statement))
    }

    /// Removes instances that do not exist any more, and limits that were withdrawn long ago.
    pub fn expire(&mut self, exists: impl Fn(u64) -> bool, now: Timestamp) {
        self.known.retain(|instance, known| {
            let is_withdrawn = known.statement.limit.is_none();
            exists(*instance) && !(is_withdrawn && known.statement.at + WITHDRAWN_TTL <= now)
        });
    }

    fn replace(&mut self, instance: u64, statement: LimitStatement) -> bool {
        let known = self.known.entry(instance).or_insert(KnownLimit {
            statement: LimitStatement {
                limit: None,
                at: statement.at,
            },
            no_token_until: Timestamp::ZERO,
            is_unreported: false,
        });
        let is_new = known.statement.limit != statement.limit;
        if is_new {
            // The wait was computed from the previous limit.
            known.no_token_until = Timestamp::ZERO;
        }
        known.statement = statement;
        is_new
    }
}
