//! Instances as a node knows them: entries, lives, presence.

use crate::Timestamp;
use crate::events::Event;
use crate::identity::{InstanceId, ServiceName, ZoneName};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an instance is remembered after its entry is gone.
const REMEMBER_GONE: Duration = Duration::from_secs(30);

/// What an instance registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// This life of the instance.
    pub id: InstanceId,
    /// Its service.
    pub service: ServiceName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it stays slow after its start.
    pub warmup_left: Duration,
}

/// An entry of an instance, and how new it is.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What the instance registered.
    pub record: InstanceRecord,
    /// The store's revision by which it stood so, where that is known.
    pub revision: Option<u64>,
}

impl Entry {
    /// An entry that stood so by a revision of the store.
    pub fn at(revision: u64, record: InstanceRecord) -> Entry {
        Entry {
            record,
            revision: Some(revision),
        }
    }
}

impl From<InstanceRecord> for Entry {
    fn from(record: InstanceRecord) -> Entry {
        Entry {
            record,
            revision: None,
        }
    }
}

/// The life that has the entry of an instance, or had it last.
#[derive(Clone, Debug)]
pub(super) struct CurrentLife {
    pub(super) id: InstanceId,
    pub(super) revision: Option<u64>,
}

impl CurrentLife {
    /// Whether the entry of another life was written later. The store's revisions
    /// tell; the start of a life doesn't where they do, since a machine's clock may
    /// have been set back between two lives.
    pub(super) fn precedes(&self, id: &InstanceId, revision: Option<u64>) -> bool {
        match (self.revision, revision) {
            (Some(known), Some(other)) if known != other => known < other,
            _ => self.id.start_ms() < id.start_ms(),
        }
    }
}

/// Whether an instance may get work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It serves.
    Serving,
    /// It said that it is leaving.
    Draining {
        /// The earliest time at which it can have said so.
        since: Timestamp,
    },
    /// Its entry is gone.
    Gone {
        /// The earliest time at which it can have left.
        since: Timestamp,
    },
}

/// An instance as this node knows it.
#[derive(Clone, Debug)]
pub struct Instance {
    /// What it registered last.
    pub record: InstanceRecord,
    /// Whether it may get work.
    pub presence: Presence,
    /// Until when it is slow after its start.
    pub warm_at: Timestamp,
    /// Whether this life of it is proved to be over.
    pub ended: bool,
    /// Whether that rests on the entry of another life alone.
    pub(super) is_superseded: bool,
    /// Since when this node knows that its zone is evacuated.
    pub evacuated_since: Option<Timestamp>,
    /// When it is forgotten, once its entry is gone.
    pub(super) forget_at: Option<Timestamp>,
}

impl Instance {
    /// Whether it may get new work.
    pub fn serves(&self) -> bool {
        self.presence == Presence::Serving && !self.ended && self.evacuated_since.is_none()
    }

    /// Whether it is slow after its start, as far as it has said.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.warm_at > now
    }

    /// Whether its entry is gone.
    pub fn is_gone(&self) -> bool {
        matches!(self.presence, Presence::Gone { .. })
    }

    /// The earliest time at which it can have begun to leave.
    pub fn leaving_since(&self) -> Option<Timestamp> {
        match self.presence {
            Presence::Serving => None,
            Presence::Draining { since } | Presence::Gone { since } => Some(since),
        }
    }

    /// Its entry is gone. It has been leaving since it began to drain, or else since the view
    /// was current.
    pub(super) fn leave_from(&mut self, current_at: Timestamp, now: Timestamp) {
        let since = self.leaving_since().unwrap_or(current_at.min(now));
        self.leave(since, now);
    }

    /// Its entry is gone, and it has been leaving since `since` at the earliest.
    pub(super) fn leave(&mut self, since: Timestamp, now: Timestamp) {
        let instance = &self.record.id;
        Event::InstanceGone { instance }.emit();
        self.presence = Presence::Gone { since };
        self.forget_at = Some(now + REMEMBER_GONE);
    }
}
