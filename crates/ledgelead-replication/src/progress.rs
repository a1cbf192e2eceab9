//! What a leader knows of one member.

use ledgelead_types::{Revision, Span, Time};
use std::collections::VecDeque;

/// Appends with entries that may be unanswered at once.
pub(crate) const MAX_INFLIGHT_APPENDS: usize = 16;

/// How long a snapshot may be on its way, while later heartbeats are answered
/// without it, before it is sent again.
const SNAPSHOT_RETRY: Span = Span::from_millis(160);

/// How the leader feeds a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgressState {
    /// The point of agreement is sought; one append at a time.
    Probe {
        /// Whether the append was sent and is unanswered.
        waiting: bool,
    },
    /// Entries are sent without waiting for answers.
    Replicate,
    /// A snapshot is on its way.
    Snapshot {
        /// When it was sent.
        sent: Time,
        /// Last position that it includes.
        revision: Revision,
    },
}

/// What a leader knows of one member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last position known to agree.
    pub matched: Revision,
    /// Next position to send.
    pub next: Revision,
    /// How entries are sent.
    pub state: ProgressState,
    /// Last positions of unanswered appends with entries.
    pub inflight: VecDeque<Revision>,
    /// Commit position last sent.
    pub commit_sent: Revision,
    /// Whether a heartbeat is due.
    pub heartbeat_due: bool,
    /// When the member was last sent an append; each stands for a heartbeat.
    pub append_sent: Time,
    /// Send time of the latest message that the member has taken.
    pub acked_sent: Option<Time>,
    /// When the member last answered.
    pub last_contact: Option<Time>,
    /// The member's latest stamp, with the time of its receipt.
    pub stamp: Option<ReceivedStamp>,
}

/// A member's stamp.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedStamp {
    /// On the member's clock.
    pub stamp: Time,
    /// On the leader's clock.
    pub received: Time,
}

impl Progress {
    /// A member of which nothing is known but the leader's own log end.
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

    /// Notes an answer: the promise that it stands for and its stamp.
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

    /// The member agrees up to `revision`.
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

    /// The member lacks the entry at `previous` and may agree up to `hint`.
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

    /// Notes an append of `count` entries behind `previous`.
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

    /// The member has no state: it is sent a snapshot, again when the one
    /// before is overdue.
    pub fn require_snapshot(&mut self, now: Time) {
        match self.state {
            ProgressState::Snapshot { .. } => self.retry_snapshot(now),
            _ => self.restart_from_snapshot(),
        }
    }

    /// Sends the snapshot again when it is overdue.
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
