//! Whether the store serves this node.

use crate::Timestamp;
use std::time::Duration;

/// Without an answer for this long the store counts as lost.
pub const UNAVAILABLE_AFTER: Duration = Duration::from_millis(1_500);

/// Time without any word of the store, although no call failed, after which it may
/// have been away: longer than a follower's view lasts (1.75 s) before it asks by
/// itself, shorter than three heartbeats of an instance (2.6 s and more).
const UNSEEN_AFTER: Duration = Duration::from_millis(2_000);

/// Time in which every node notices that the store serves again.
const RECOVERY: Duration = Duration::from_millis(3_500);

/// What calls have told of the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Until when the store is known to have served: by an answer to this node, or
    /// by a coordinator that relayed its changes.
    vouched_until: Option<Timestamp>,
    has_served: bool,
    failing_since: Option<Timestamp>,
    recovered_at: Option<Timestamp>,
    serving_since: Option<Timestamp>,
}

impl StoreHealth {
    /// The store answered a call at this time, whenever the call began: a watch may
    /// have waited through a whole outage. Returns whether the store may have been
    /// away before, so that entries that are missing prove nothing yet.
    pub fn succeeded(&mut self, at: Timestamp) -> bool {
        let was_away = self.may_have_been_away(at);
        if self.has_failed() {
            self.recovered_at = Some(at);
        }
        if !self.serves() || was_away {
            self.serving_since = Some(at);
        }
        self.vouch(at);
        self.has_served = true;
        self.failing_since = None;
        was_away
    }

    fn may_have_been_away(&self, at: Timestamp) -> bool {
        let Some(vouched) = self.vouched_until else {
            return false;
        };
        let limit = if self.has_failed() {
            UNAVAILABLE_AFTER
        } else {
            UNSEEN_AFTER
        };
        at.saturating_sub(vouched) >= limit
    }

    fn vouch(&mut self, until: Timestamp) {
        self.vouched_until = self.vouched_until.max(Some(until));
    }

    /// A call that began at `started` failed, or was refused.
    pub fn failed(&mut self, started: Timestamp) {
        self.failing_since.get_or_insert(started);
    }

    /// A coordinator whom the store serves has relayed all changes until now: what
    /// this node's failed calls would have told, it knows. So the store is lost to
    /// it from now on at the earliest. Returns whether the store may have been away
    /// between the last word of it and this one.
    pub fn relayed_until(&mut self, now: Timestamp) -> bool {
        let was_away = self.may_have_been_away(now);
        self.vouch(now);
        if let Some(since) = &mut self.failing_since {
            *since = now;
        }
        was_away
    }

    /// Whether some call has ever been served.
    pub fn has_served(&self) -> bool {
        self.has_served
    }

    /// Whether the last calls were served.
    pub fn serves(&self) -> bool {
        self.failing_since.is_none() && self.has_served
    }

    /// Since when every call has been served, if the last ones were.
    pub fn serving_since(&self) -> Option<Timestamp> {
        self.serving_since.filter(|_| self.serves())
    }

    /// Whether calls have failed since the last one that was served.
    pub fn has_failed(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Whether the store served again only lately, so that others may not have
    /// noticed yet.
    pub fn recovered_recently(&self, now: Timestamp) -> bool {
        self.recovered_at
            .is_some_and(|recovered| now.saturating_sub(recovered) < RECOVERY)
    }

    /// Whether calls have failed for longer than a moment.
    pub fn is_unavailable(&self, now: Timestamp) -> bool {
        match self.failing_since {
            Some(since) => now.saturating_sub(since) >= UNAVAILABLE_AFTER,
            None => !self.has_served,
        }
    }
}
