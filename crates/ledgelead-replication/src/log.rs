//! The in-memory log: a snapshot and the entries after it.

use crate::membership::Membership;
use crate::message::{Entry, Payload};
use ledgelead_types::codec::encode;
use ledgelead_types::{Bytes, Revision, Term};
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// The state that the entries start from.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// Last position that the state includes.
    pub revision: Revision,
    /// Term of the entry there.
    pub term: Term,
    /// State of the caller's state machine.
    pub state: Vec<u8>,
}

/// Positions `snapshot.revision + 1 ..= last_revision` with their entries.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// Memberships by the position that set them, the snapshot's first. A membership takes
    /// effect when its entry is appended.
    memberships: Vec<(Revision, Membership)>,
    /// Digest of the state and members at position 0; `None` for a log that starts at a
    /// later position. Logs that start from different states never match.
    start_digest: Option<u64>,
}

impl Log {
    /// A log that starts from a snapshot.
    pub fn new(snapshot: Snapshot, membership: Membership) -> Log {
        let at_start = snapshot.revision == Revision(0);
        let start_digest = at_start.then(|| digest(&snapshot.state, &membership));
        let memberships = vec![(snapshot.revision, membership)];
        Log {
            snapshot,
            entries: VecDeque::new(),
            memberships,
            start_digest,
        }
    }

    /// Digest of the state and members at position 0; `None` if the log no longer starts
    /// there.
    pub fn start_digest(&self) -> Option<u64> {
        self.start_digest
    }

    /// The value that an append after `revision` carries to check that the logs agree
    /// there: the entry's term, or at position 0 the digest of the initial state.
    pub fn agreement_at(&self, revision: Revision) -> Option<Term> {
        if revision == Revision(0) {
            return self.start_digest.map(Term);
        }
        self.term_at(revision)
    }

    /// What the entries start from.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Members as of the snapshot.
    pub fn snapshot_membership(&self) -> &Membership {
        &self.memberships[0].1
    }

    /// The current membership.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Position that set the current membership.
    pub fn membership_revision(&self) -> Revision {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Number of entries kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Last position.
    pub fn last_revision(&self) -> Revision {
        Revision(self.snapshot.revision.0 + self.entries.len() as u64)
    }

    /// Term of the entry at the last position.
    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of the entry at a position; `None` outside of what is kept.
    pub fn term_at(&self, revision: Revision) -> Option<Term> {
        if revision == self.snapshot.revision {
            return Some(self.snapshot.term);
        }
        self.entry(revision).map(|entry| entry.term)
    }

    /// The entry at a position, if it is kept.
    pub fn entry(&self, revision: Revision) -> Option<&Entry> {
        let behind = revision.0.checked_sub(self.snapshot.revision.0)?;
        let index = usize::try_from(behind.checked_sub(1)?).ok()?;
        self.entries.get(index)
    }

    /// Whether any entry after `after`, up to `last`, is one whose commit the members must
    /// learn of without delay.
    pub fn has_non_lazy(&self, after: Revision, last: Revision) -> bool {
        let first = after.max(self.snapshot.revision).0 + 1;
        (first..=last.0).any(|position| {
            let entry = self.entry(Revision(position));
            entry.is_some_and(|entry| !entry.is_lazy())
        })
    }

    /// Whether a log with this end is at least as up to date as this one, so that it holds
    /// everything that this one may have committed.
    pub fn is_up_to_date(&self, last_term: Term, last_revision: Revision) -> bool {
        (last_term, last_revision) >= (self.last_term(), self.last_revision())
    }

    /// Appends one entry and returns its position.
    pub fn append(&mut self, entry: Entry) -> Revision {
        let revision = Revision(self.last_revision().0 + 1);
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((revision, membership.clone()));
        }
        self.entries.push_back(entry);
        revision
    }

    /// Drops every entry after `last`.
    pub fn truncate(&mut self, last: Revision) {
        let keep = last.0.saturating_sub(self.snapshot.revision.0) as usize;
        self.entries.truncate(keep);
        let first = self.snapshot.revision;
        self.memberships
            .retain(|(revision, _)| *revision <= last || *revision == first);
    }

    /// First position of the consecutive entries of one term that end at `revision`.
    pub fn first_of_term(&self, revision: Revision) -> Revision {
        let term = self.term_at(revision);
        let mut first = revision;
        while first > self.snapshot.revision
            && self.term_at(Revision(first.0 - 1)) == term
            && first.0 - 1 > self.snapshot.revision.0
        {
            first = Revision(first.0 - 1);
        }
        first
    }

    /// Replaces the entries up to `revision` with the state at that position.
    pub fn compact(&mut self, revision: Revision, state: Vec<u8>) {
        let Some(term) = self.term_at(revision) else {
            return;
        };
        let gone = (revision.0 - self.snapshot.revision.0) as usize;
        self.entries.drain(..gone);
        let current = self
            .memberships
            .iter()
            .rposition(|(set_at, _)| *set_at <= revision)
            .unwrap_or(0);
        self.memberships.drain(..current);
        self.start_digest = None;
        self.snapshot = Snapshot {
            revision,
            term,
            state,
        };
    }
}

fn digest(state: &[u8], membership: &Membership) -> u64 {
    let mut bytes = encode(membership);
    bytes.extend(encode(&Bytes(state.to_vec())));
    xxh3_64(&bytes)
}
