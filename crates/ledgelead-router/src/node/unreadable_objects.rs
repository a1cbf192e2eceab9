//! Unreadable objects in the store. Every occurrence is counted, but each object is logged
//! only once until it is readable again, since a watch may report it many times a second.

use crate::dialect::ObjectKind;
use crate::events::Event;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of objects remembered as logged; further ones are only counted.
const MAX_LOGGED: usize = 256;

/// The occurrences so far.
#[derive(Debug, Default)]
pub(super) struct UnreadableObjects {
    counts: BTreeMap<&'static str, u64>,
    /// By name, or by the error of objects without a name.
    logged: BTreeSet<(ObjectKind, String)>,
}

impl UnreadableObjects {
    /// Records an unreadable object. The name is empty if the object has none.
    pub(super) fn record(&mut self, kind: ObjectKind, name: &str, finding: &str) {
        *self.counts.entry(kind.label()).or_default() += 1;
        let key = if name.is_empty() { finding } else { name };
        if self.logged.len() >= MAX_LOGGED || !self.logged.insert((kind, key.to_owned())) {
            return;
        }
        let object = if name.is_empty() { kind.label() } else { name };
        Event::ObjectUnreadable { object, finding }.emit();
    }

    /// Records that an object is readable again or was removed.
    pub(super) fn clear(&mut self, kind: ObjectKind, name: &str) {
        if !self.logged.is_empty() {
            self.logged.remove(&(kind, name.to_owned()));
        }
    }

    /// Number of occurrences by kind of object.
    pub(super) fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }
}
