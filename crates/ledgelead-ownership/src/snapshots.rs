//! When the leader writes the group's record to the platform's store, behind
//! the log.

use ledgelead_types::{Revision, Span, Time};

/// Least time between two snapshots.
const MIN_INTERVAL: Span = Span::from_seconds(1);
/// Least time between two snapshots when only idempotency records changed;
/// they are many and each snapshot holds all of them.
const RECORDS_INTERVAL: Span = Span::from_seconds(10);
/// Bytes a second that snapshots take on average: the larger one is, the
/// longer the next one waits. Who may vote is written at once all the same.
const BYTES_PER_SECOND: u64 = 1_500;
/// The next one waits for no longer than this, however large one is.
const MAX_INTERVAL: Span = Span::from_seconds(60);
/// A snapshot that was not stored is sent again after this.
const RETRY_INTERVAL: Span = Span::from_seconds(3);

/// The write-behind of one leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct SnapshotWriter {
    stored: Revision,
    sent: Option<(Revision, Time)>,
    /// How long the next one waits for the size of the last one.
    size_delay: Span,
    /// Whether the store lacks a change of who votes.
    members_dirty: bool,
    /// Since when the store lacks a change of ownership.
    ownership_dirty: Option<Time>,
    /// Since when the store lacks a change of records.
    records_dirty: Option<Time>,
}

impl SnapshotWriter {
    /// Ownership or servers changed.
    pub fn ownership_changed(&mut self, now: Time) {
        self.ownership_dirty.get_or_insert(now);
    }

    /// The voters, or who leads them, changed. Whoever judges whether a quorum
    /// is lost relies on the store's list.
    pub fn members_changed(&mut self, now: Time) {
        self.ownership_changed(now);
        self.members_dirty = true;
    }

    /// Idempotency records changed.
    pub fn records_changed(&mut self, now: Time) {
        self.records_dirty.get_or_insert(now);
    }

    /// Whether to send a snapshot now.
    pub fn is_due(&self, now: Time) -> bool {
        self.due_at().is_some_and(|due| now >= due)
    }

    /// When a snapshot is due.
    pub fn due_at(&self) -> Option<Time> {
        let last = self.sent.map(|(_, at)| at);
        let after = |interval: Span| last.map_or(Time::ZERO, |last| last + interval);
        let size_delay = if self.members_dirty {
            MIN_INTERVAL
        } else {
            self.size_delay.max(MIN_INTERVAL)
        };
        let ownership = self.ownership_dirty.map(|_| after(size_delay));
        let records = self.records_dirty;
        let records = records.map(|_| after(size_delay.max(RECORDS_INTERVAL)));
        let unstored = self.sent.filter(|(sent, _)| *sent > self.stored);
        let retry = unstored.map(|(_, at)| at + RETRY_INTERVAL);
        [ownership, records, retry].into_iter().flatten().min()
    }

    /// A snapshot of so many bytes was sent.
    pub fn sent(&mut self, now: Time, revision: Revision, bytes: usize) {
        self.sent = Some((revision, now));
        let seconds = bytes as f64 / BYTES_PER_SECOND as f64;
        self.size_delay = Span::from_seconds(1).times(seconds).min(MAX_INTERVAL);
        self.members_dirty = false;
        self.ownership_dirty = None;
        self.records_dirty = None;
    }

    /// A snapshot reached the store.
    pub fn stored(&mut self, revision: Revision) {
        self.stored = self.stored.max(revision);
    }

    /// How long the store has lacked a change.
    pub fn lag(&self, now: Time) -> Span {
        let unstored = self.sent.filter(|(sent, _)| *sent > self.stored);
        let times = [
            self.ownership_dirty,
            self.records_dirty,
            unstored.map(|(_, at)| at),
        ];
        let oldest = times.into_iter().flatten().min();
        oldest.map_or(Span::ZERO, |since| now.since(since))
    }
}
