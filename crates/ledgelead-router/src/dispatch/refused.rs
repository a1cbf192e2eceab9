//! Refused callers: when they may retry, and what their original target was.
//!
//! This handles callers that retry, some of them at once. A caller that returns before its
//! retry delay is over goes behind those that waited. Otherwise it would pay off to retry
//! continuously, and the others would be late. A caller whose original target has passed is
//! already late and goes behind those that can still meet theirs. All requests for a key reach
//! the same dispatcher as long as that one lives, so it recognizes a caller whichever node the
//! caller returns to.

use crate::Timestamp;
use std::collections::HashMap;

/// Maximum number of remembered callers, 40 bytes each. If more are refused at once, the
/// others count as new.
const MAX_CALLERS: usize = 4_096;

/// What is remembered of a refused caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedCaller {
    /// The earliest time at which its return doesn't count as early.
    pub not_before: Timestamp,
    /// The target of its first submission.
    pub target: Timestamp,
    /// When it has given up.
    pub until: Timestamp,
}

/// Refused callers by a hash that is the same for all submissions of a request.
#[derive(Clone, Debug, Default)]
pub struct RefusedCallers {
    callers: HashMap<u64, RefusedCaller>,
}

impl RefusedCallers {
    /// Records a refused caller.
    pub fn record(&mut self, caller: u64, refused: RefusedCaller) {
        if self.callers.len() < MAX_CALLERS {
            self.callers.insert(caller, refused);
        }
    }

    /// Returns and removes what is known of a returning caller. A refusal accounts for one
    /// later submission only: others with the same hash are different requests from the same
    /// address.
    pub fn take(&mut self, caller: u64, now: Timestamp) -> Option<RefusedCaller> {
        let known = self.callers.remove(&caller)?;
        (now < known.until).then_some(known)
    }

    /// Drops callers that have given up.
    pub fn expire(&mut self, now: Timestamp) {
        self.callers.retain(|_, refused| refused.until > now);
    }
}
