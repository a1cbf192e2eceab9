//! The most recent changes of one kind, kept by a coordinator for nodes that missed some.

use std::collections::VecDeque;

/// Changes between two revisions of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes<T> {
    /// The revision after which the changes begin.
    pub base: u64,
    /// The revision of the last change.
    pub revision: u64,
    /// The changes, in order.
    pub items: Vec<T>,
}

/// Lists of changes, oldest first; each one continues where the previous one ends.
#[derive(Debug)]
pub struct ChangeLog<T> {
    lists: VecDeque<Changes<T>>,
    capacity: usize,
}

impl<T: Clone> ChangeLog<T> {
    /// An empty log that keeps at most `capacity` lists.
    pub fn new(capacity: usize) -> ChangeLog<T> {
        ChangeLog {
            lists: VecDeque::new(),
            capacity,
        }
    }

    /// Adds a list. If it does not connect to the log, the log is cleared first.
    pub fn push(&mut self, changes: Changes<T>) {
        let continues = self
            .lists
            .back()
            .is_none_or(|last| last.revision == changes.base);
        if !continues {
            self.lists.clear();
        }
        self.lists.push_back(changes);
        if self.lists.len() > self.capacity {
            self.lists.pop_front();
        }
    }

    /// All changes after a revision. None if the log does not reach back that far, has no
    /// later changes, or has more than `max_items`: hundreds of nodes may request more changes
    /// than datagrams can carry.
    pub fn since(&self, revision: u64, max_items: usize) -> Option<Changes<T>> {
        let first = self.lists.front()?;
        let last = self.lists.back()?;
        if revision < first.base || last.revision <= revision {
            return None;
        }
        let later = self.lists.iter().filter(|list| list.revision > revision);
        let count: usize = later.clone().map(|list| list.items.len()).sum();
        if count > max_items {
            return None;
        }
        Some(Changes {
            base: revision,
            revision: last.revision,
            items: later.flat_map(|list| list.items.clone()).collect(),
        })
    }
}
