//! Objects of the store that can't be read: each is counted as often as it is met, and
//! logged once until it reads well again, since a watch may tell it many times a second.

use crate::dialect::ObjectKind;
use crate::events::Event;
use std::collections::{BTreeMap, BTreeSet};

/// Most objects that are remembered as logged; further ones are only counted.
const MAX_LOGGED: usize = 256;

/// What was met.
#[derive(Debug, Default)]
pub(super) struct UnreadableObjects {
    counts: BTreeMap<&'static str, u64>,
    /// By name, or by what is wrong with those that have none.
    logged: BTreeSet<(ObjectKind, String)>,
}

impl UnreadableObjects {
    /// An object can't be read. One without a name has an empty one.
    pub(super) fn record(&mut self, kind: ObjectKind, name: &str, finding: &str) {
        *self.counts.entry(kind.label()).or_default() += 1;
        let key = if name.is_empty() { finding } else { name };
        if self.logged.len() >= MAX_LOGGED || !self.logged.insert((kind, key.to_owned())) {
            return;
        }
        let object = if name.is_empty() { kind.label() } else { name };
        Event::ObjectUnreadable { object, finding }.emit();
    }

    /// An object reads well, or is gone.
    pub(super) fn clear(&mut self, kind: ObjectKind, name: &str) {
        if !self.logged.is_empty() {
            self.logged.remove(&(kind, name.to_owned()));
        }
    }

    /// How many were met, by kind.
    pub(super) fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }
}
