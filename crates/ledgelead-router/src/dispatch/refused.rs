//! Callers that were refused: when they may come back, and until when they are in time.
//!
//! The load it answers: callers that come back, some of them at once. Who comes back before
//! the time that it was told goes behind those that waited, else it pays to ask again and
//! again, and the others are late. Whose first try is past its target is late already and
//! goes behind those that can still be in time. All requests for a key reach the same
//! dispatcher while that lives, so that it recognises a caller whichever node it comes back
//! to.

use crate::Timestamp;
use std::collections::HashMap;

/// Most callers that are remembered, 40 bytes each. Where more are refused at once, the
/// others count as new.
const MAX_CALLERS: usize = 4_096;

/// What is remembered of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The earliest time at which it was told to come back.
    pub not_before: Timestamp,
    /// The end of its time, counted from its first try.
    pub target: Timestamp,
    /// When it has given up.
    pub until: Timestamp,
}

/// Callers by a hash of what makes their request the same.
#[derive(Clone, Debug, Default)]
pub struct RefusedCallers {
    callers: HashMap<u64, Refused>,
}

impl RefusedCallers {
    /// A caller was refused.
    pub fn note(&mut self, caller: u64, refused: Refused) {
        if self.callers.len() < MAX_CALLERS {
            self.callers.insert(caller, refused);
        }
    }

    /// What is known of a caller that comes back. A refusal explains one later try alone:
    /// others by the same hash are other requests of the same address.
    pub fn take(&mut self, caller: u64, now: Timestamp) -> Option<Refused> {
        let known = self.callers.remove(&caller)?;
        (now < known.until).then_some(known)
    }

    /// Forgets callers that have given up.
    pub fn expire(&mut self, now: Timestamp) {
        self.callers.retain(|_, refused| refused.until > now);
    }
}
