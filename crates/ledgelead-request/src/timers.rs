//! Ordered timers, one due time per key.

use crate::NEVER;
use ledgelead_types::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Due times by key; each key has at most one. All operations are O(log n).
#[derive(Debug)]
pub(crate) struct Timers<K> {
    due_of: BTreeMap<K, Time>,
    order: BTreeSet<(Time, K)>,
}

impl<K: Ord + Copy> Timers<K> {
    pub(crate) fn new() -> Timers<K> {
        Timers {
            due_of: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Sets or replaces the due time of a key.
    pub(crate) fn set(&mut self, key: K, due: Time) {
        if let Some(before) = self.due_of.insert(key, due) {
            self.order.remove(&(before, key));
        }
        self.order.insert((due, key));
    }

    /// Removes the due time of a key.
    pub(crate) fn clear(&mut self, key: K) {
        if let Some(due) = self.due_of.remove(&key) {
            self.order.remove(&(due, key));
        }
    }

    /// Removes and returns the first key that is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<K> {
        let &(due, key) = self.order.first()?;
        if due > now {
            return None;
        }
        self.clear(key);
        Some(key)
    }

    /// The earliest due time.
    pub(crate) fn next(&self) -> Time {
        self.order.first().map_or(NEVER, |&(due, _)| due)
    }
}
