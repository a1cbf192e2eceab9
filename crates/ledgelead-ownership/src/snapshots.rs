//! Decides when the leader writes the group's record to the platform's store. The writes
//! are asynchronous: the store lags behind the log.

use ledgelead_types::{Revision, Span, Time};

/// Minimum time between two snapshots.
const MIN_INTERVAL: Span = Span::from_seconds(1);
/// Minimum time between two snapshots when only idempotency records changed. There are many
/// of them, and each snapshot contains all.
const RECORDS_INTERVAL: Span = Span::from_seconds(10);
/// Average bytes per second that snapshots may take: the larger a snapshot is, the longer
/// the next one is delayed. Changes of the voters are exempt from the delay.
const BYTES_PER_SECOND: u64 = 1_500;
/// Maximum delay of the next snapshot, however large the last one was.
const MAX_INTERVAL: Span = Span::from_seconds(60);
/// A snapshot that was not confirmed as stored is sent again after this time.
const RETRY_INTERVAL: Span = Span::from_seconds(3);

/// Schedules the snapshots of one leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct SnapshotWriter {
    stored: Revision,
    sent: Option<(Revision, Time)>,
    /// Delay of the next snapshot because of the size of the last one.
    size_delay: Span,
    /// Whether the store lacks a change of the voters.
    members_dirty: bool,
    /// Since when the store lacks a change of ownership.
    ownership_dirty: Option<Time>,
    /// Since when the store lacks a change of records.
    records_dirty: Option<Time>,
}

impl SnapshotWriter {
    /// Records a change of ownership or servers.
    pub fn ownership_changed(&mut self, now: Time) {
        self.ownership_dirty.get_or_insert(now);
    }

    /// Records a change of the voters or of their leader. The list in the store is used to
    /// decide whether a quorum is lost.
    pub fn members_changed(&mut self, now: Time) {
        self.ownership_changed(now);
        self.members_dirty = true;
    }

    /// Records a change of idempotency records.
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

    /// Records that a snapshot of this size in bytes was sent.
    pub fn sent(&mut self, now: Time, revision: Revision, bytes: usize) {
        self.sent = Some((revision, now));
        let seconds = bytes as f64 / BYTES_PER_SECOND as f64;
        self.size_delay = Span::from_seconds(1).times(seconds).min(MAX_INTERVAL);
        self.members_dirty = false;
        self.ownership_dirty = None;
        self.records_dirty = None;
    }

    /// Records that a snapshot was stored.
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
