//! Lists of changes that arrive in several datagrams.
//!
//! A part is never applied by itself: between two parts of one list, newer changes may arrive
//! from elsewhere, and the second part would revert them.

use super::message::ChangeSpan;

/// Maximum number of parts of one list; longer lists are read from the store.
pub const MAX_PARTS: u8 = 48;

/// All changes of one kind between two revisions of the store. Only a complete
/// `ChangeListAssembler` creates one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeList<T> {
    base: u64,
    revision: u64,
    changes: Vec<T>,
}

impl<T> ChangeList<T> {
    /// The revision after which the changes begin.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the list connects to the `known` revision and contains later changes.
    pub fn follows(&self, known: u64) -> bool {
        self.base <= known && known < self.revision
    }

    /// The changes.
    pub fn into_changes(self) -> Vec<T> {
        self.changes
    }
}

/// Collects the parts of the newest list.
#[derive(Debug)]
pub struct ChangeListAssembler<T> {
    span: Option<ChangeSpan>,
    parts: Vec<Option<Vec<T>>>,
}

impl<T> Default for ChangeListAssembler<T> {
    fn default() -> ChangeListAssembler<T> {
        ChangeListAssembler {
            span: None,
            parts: Vec::new(),
        }
    }
}

impl<T> ChangeListAssembler<T> {
    /// Adds a part. Returns the list once all of its parts have arrived. Parts of an older
    /// list than the one being collected are dropped.
    pub fn add(&mut self, span: ChangeSpan, changes: Vec<T>) -> Option<ChangeList<T>> {
        if !is_valid(span) {
            return None;
        }
        let same = self.span.is_some_and(|known| known.is_same_list(span));
        if !same {
            if self
                .span
                .is_some_and(|known| known.revision > span.revision)
            {
                return None;
            }
            self.span = Some(span);
            self.parts = (0..span.parts).map(|_| None).collect();
        }
        self.parts[usize::from(span.part)] = Some(changes);
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        self.span = None;
        Some(ChangeList {
            base: span.base,
            revision: span.revision,
            changes: self.parts.drain(..).flatten().flatten().collect(),
        })
    }
}

fn is_valid(span: ChangeSpan) -> bool {
    span.part < span.parts && span.parts <= MAX_PARTS && span.base < span.revision
}
