//! Whether the store serves this node.

use crate::Timestamp;
use std::time::Duration;

/// Without an answer for this long the store counts as lost.
pub const LOST_AFTER: Duration = Duration::from_millis(1_500);

/// Time in which every node notices that the store serves again.
const RECOVERY: Duration = Duration::from_millis(3_500);

/// What calls have told of the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    last_success: Option<Timestamp>,
    failing_since: Option<Timestamp>,
    recovered_at: Option<Timestamp>,
    serving_since: Option<Timestamp>,
}

impl StoreHealth {
    /// A call that began at `started` was served.
    /// Returns whether the store had been lost.
    pub fn succeeded(&mut self, started: Timestamp) -> bool {
        let was_lost = self.has_failed() && self.is_lost(started);
        if self.has_failed() {
            self.recovered_at = Some(started);
        }
        if !self.serves() {
            self.serving_since = Some(started);
        }
        let newest = self
            .last_success
            .map_or(started, |earlier| earlier.max(started));
        self.last_success = Some(newest);
        self.failing_since = None;
        was_lost
    }

    /// A call that began at `started` failed, or was refused.
    pub fn failed(&mut self, started: Timestamp) {
        self.failing_since.get_or_insert(started);
    }

    /// A coordinator whom the store serves has relayed all changes until now: what
    /// this node's failed calls would have told, it knows. So the store is lost to
    /// it from now on at the earliest.
    pub fn followed_until(&mut self, now: Timestamp) {
        if let Some(since) = &mut self.failing_since {
            *since = now;
        }
    }

    /// Whether some call has ever been served.
    pub fn has_served(&self) -> bool {
        self.last_success.is_some()
    }

    /// Whether the last calls were served.
    pub fn serves(&self) -> bool {
        self.failing_since.is_none() && self.last_success.is_some()
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
    pub fn recovered_lately(&self, now: Timestamp) -> bool {
        self.recovered_at
            .is_some_and(|recovered| now.saturating_sub(recovered) < RECOVERY)
    }

    /// Whether calls have failed for longer than a moment.
    pub fn is_lost(&self, now: Timestamp) -> bool {
        match self.failing_since {
            Some(since) => now.saturating_sub(since) >= LOST_AFTER,
            None => self.last_success.is_none(),
        }
    }
}
