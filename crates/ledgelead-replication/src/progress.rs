//! Replication progress of one member, as tracked by the leader.

use ledgelead_types::{Revision, Span, Time};
use std::collections::VecDeque;

/// Maximum number of unacknowledged appends with entries.
pub(crate) const MAX_INFLIGHT_APPENDS: usize = 16;

/// How long a snapshot may be in transit, while the member replies to later heartbeats
/// without it, before it is sent again.
const SNAPSHOT_RETRY: Span = Span::from_millis(160);

/// How the leader replicates to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgressState {
    /// Searching for the last matching position, with one append at a time.
    Probe {
        /// Whether the append was sent and not yet replied to.
        waiting: bool,
    },
    /// Sending entries without waiting for replies.
    Replicate,
    /// A snapshot is in transit.
    Snapshot {
        /// When it was sent.
        sent: Time,
        /// Last position that it includes.
        revision: Revision,
    },
}

/// Replication progress of one member, as tracked by the leader.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last position known to match the leader's log.
    pub matched: Revision,
    /// Next position to send.
    pub next: Revision,
    /// How entries are sent.
    pub state: ProgressState,
    /// Last positions of unacknowledged appends with entries.
    pub inflight: VecDeque<Revision>,
    /// Commit position last sent.
    pub commit_sent: Revision,
    /// Whether a heartbeat is due.
    pub heartbeat_due: bool,
    /// When the member was last sent an append; every append counts as a heartbeat.
    pub append_sent: Time,
    /// Send time of the latest message that the member has acknowledged.
    pub acked_sent: Option<Time>,
    /// When the member last replied.
    pub last_contact: Option<Time>,
    /// The member's latest timestamp, with the time of receipt.
    pub stamp: Option<ReceivedStamp>,
}

/// A timestamp of a member's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedStamp {
    /// On the member's clock.
    pub stamp: Time,
    /// On the leader's clock.
    pub received: Time,
}

impl Progress {
    /// The initial progress: nothing is known about the member, and probing starts at the
    /// end of the leader's log.
    pub fn new(last_revision: Revision) -> Progress {
        Progress {
            matched: Revision(0),
            next: Revision(last_revision.0 + 1),
            state: ProgressState::Probe { waiting: false },
            inflight: VecDeque::new(),
            commit_sent: Revision(0),
            heartbeat_due: true,
            append_sent: Time::ZERO,
            acked_sent: None,
            last_contact: None,
            stamp: None,
        }
    }

    /// Records a reply: the promise that it implies and its timestamp.
    pub fn record_reply(&mut self, now: Time, sent: Time, stamp: Time) {
        self.last_contact = Some(now);
        self.acked_sent = self.acked_sent.max(Some(sent));
        let newer = self.stamp.is_none_or(|known| known.stamp < stamp);
        if newer {
            self.stamp = Some(ReceivedStamp {
                stamp,
                received: now,
            });
        }
    }

    /// Records that the logs match up to `revision`.
    pub fn record_match(&mut self, revision: Revision) {
        self.matched = self.matched.max(revision);
        while self.inflight.front().is_some_and(|last| *last <= revision) {
            self.inflight.pop_front();
        }
        let found = match self.state {
            ProgressState::Probe { .. } => true,
            ProgressState::Snapshot { revision, .. } => self.matched >= revision,
            ProgressState::Replicate => false,
        };
        if found {
            self.state = ProgressState::Replicate;
            self.inflight.clear();
            self.next = Revision(self.matched.0 + 1);
        }
        self.next = self.next.max(Revision(self.matched.0 + 1));
    }

    /// Records that the logs differ at `previous` and may match up to `hint`.
    pub fn record_mismatch(&mut self, previous: Revision, hint: Revision) {
        let stale = match self.state {
            ProgressState::Probe { .. } => previous.0 + 1 != self.next.0,
            ProgressState::Replicate => previous <= self.matched,
            ProgressState::Snapshot { .. } => true,
        };
        if stale {
            return;
        }
        let agreed = previous.0.saturating_sub(1).min(hint.0);
        self.next = Revision(agreed.max(self.matched.0) + 1);
        self.state = ProgressState::Probe { waiting: false };
        self.inflight.clear();
    }

    /// Records that an append of `count` entries after `previous` was sent.
    pub fn sent_append(&mut self, now: Time, previous: Revision, count: usize, commit: Revision) {
        self.heartbeat_due = false;
        self.append_sent = now;
        self.commit_sent = commit;
        if self.state == ProgressState::Replicate && count > 0 {
            let last = Revision(previous.0 + count as u64);
            self.inflight.push_back(last);
            self.next = Revision(last.0 + 1);
        }
    }

    /// Schedules a snapshot for a member that has no state; repeats it if the previous one
    /// is overdue.
    pub fn require_snapshot(&mut self, now: Time) {
        match self.state {
            ProgressState::Snapshot { .. } => self.retry_snapshot(now),
            _ => self.restart_from_snapshot(),
        }
    }

    /// Schedules the snapshot again if it is overdue.
    pub fn retry_snapshot(&mut self, now: Time) {
        if let ProgressState::Snapshot { sent, .. } = self.state
            && now.since(sent) >= SNAPSHOT_RETRY
        {
            self.restart_from_snapshot();
        }
    }

    fn restart_from_snapshot(&mut self) {
        self.next = Revision(0);
        self.state = ProgressState::Probe { waiting: false };
        self.inflight.clear();
    }

    /// Whether another append with entries may be sent.
    pub fn has_room(&self) -> bool {
        self.inflight.len() < MAX_INFLIGHT_APPENDS
    }
}
