//! Tracks whether the store serves this node.

use crate::Timestamp;
use std::time::Duration;

/// Time without an answer after which the store counts as unavailable.
pub const UNAVAILABLE_AFTER: Duration = Duration::from_millis(1_500);

/// Time without an answer or relayed change after which the store may have been unavailable,
/// although no call failed. Longer than a follower's view stays valid without a call of its
/// own (1.75 s); shorter than three heartbeats of an instance (2.6 s and more).
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time within which every node notices that the store serves again.
const RECOVERY_PERIOD: Duration = Duration::from_millis(3_500);

/// The state of the store, derived from the outcomes of calls.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Until when the store is known to have served, either by an answer to this node or by a
    /// coordinator that relayed its changes.
    served_until: Option<Timestamp>,
    has_served: bool,
    failing_since: Option<Timestamp>,
    recovered_at: Option<Timestamp>,
    serving_since: Option<Timestamp>,
}

impl StoreHealth {
    /// Records that the store answered a call at this time. The start of the call does not
    /// count, since a watch may have waited through a whole outage. Returns whether the store
    /// may have been unavailable before, in which case missing entries do not prove yet that
    /// they are gone.
    pub fn record_success(&mut self, at: Timestamp) -> bool {
        let was_unavailable = self.may_have_been_unavailable(at);
        if self.has_failed() {
            self.recovered_at = Some(at);
        }
        if !self.serves() || was_unavailable {
            self.serving_since = Some(at);
        }
        self.extend_served_until(at);
        self.has_served = true;
        self.failing_since = None;
        was_unavailable
    }

    fn may_have_been_unavailable(&self, at: Timestamp) -> bool {
        let Some(served) = self.served_until else {
            return false;
        };
        let limit = if self.has_failed() {
            UNAVAILABLE_AFTER
        } else {
            SILENCE_LIMIT
        };
        at.saturating_sub(served) >= limit
    }

    fn extend_served_until(&mut self, until: Timestamp) {
        self.served_until = self.served_until.max(Some(until));
    }

    /// Records that a call that began at `started` failed, or was refused.
    pub fn record_failure(&mut self, started: Timestamp) {
        self.failing_since.get_or_insert(started);
    }

    /// Records that a coordinator that the store serves has relayed all changes until now, so
    /// this node's failed calls would not have returned anything else. The store therefore
    /// counts as failing from now on at the earliest. Returns whether the store may have been
    /// unavailable since it was last known to serve.
    pub fn record_relay(&mut self, now: Timestamp) -> bool {
        let was_unavailable = self.may_have_been_unavailable(now);
        self.extend_served_until(now);
        if let Some(since) = &mut self.failing_since {
            *since = now;
        }
        was_unavailable
    }

    /// Whether any call has ever been served.
    pub fn has_served(&self) -> bool {
        self.has_served
    }

    /// Whether the most recent calls were served.
    pub fn serves(&self) -> bool {
        self.failing_since.is_none() && self.has_served
    }

    /// Since when all calls have been served; none if the last one was not.
    pub fn serving_since(&self) -> Option<Timestamp> {
        self.serving_since.filter(|_| self.serves())
    }

    /// Whether calls have failed since the last served one.
    pub fn has_failed(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Whether the store recovered so recently that other nodes may not have noticed yet.
    pub fn recovered_recently(&self, now: Timestamp) -> bool {
        self.recovered_at
            .is_some_and(|recovered| now.saturating_sub(recovered) < RECOVERY_PERIOD)
    }

    /// Whether calls have failed for at least `UNAVAILABLE_AFTER`.
    pub fn is_unavailable(&self, now: Timestamp) -> bool {
        match self.failing_since {
            Some(since) => now.saturating_sub(since) >= UNAVAILABLE_AFTER,
            None => !self.has_served,
        }
    }
}
