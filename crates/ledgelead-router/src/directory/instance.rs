//! Instances as known to a node: entries, incarnations and presence.

use crate::Timestamp;
use crate::events::Event;
use crate::identity::{InstanceId, ServiceName, ZoneName};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an instance is remembered after its entry is gone.
const GONE_TTL: Duration = Duration::from_secs(30);

/// The registration data of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// This incarnation of the instance.
    pub id: InstanceId,
    /// Its service.
    pub service: ServiceName,
    /// Its network address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests it processes concurrently.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warmup_left: Duration,
}

/// An instance's entry in the store, and its revision.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The registration data.
    pub record: InstanceRecord,
    /// The store revision at which the entry had this content, if known.
    pub revision: Option<u64>,
}

impl Entry {
    /// Creates an entry with the content it had at this store revision.
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

/// The incarnation that owns the entry of an instance, or owned it last.
#[derive(Clone, Debug)]
pub(super) struct CurrentIncarnation {
    pub(super) id: InstanceId,
    pub(super) revision: Option<u64>,
}

impl CurrentIncarnation {
    /// Whether the entry of another incarnation was written later. Store revisions decide if
    /// both are known. Start times only decide otherwise, since a machine's clock may have
    /// been set back between two incarnations.
    pub(super) fn precedes(&self, id: &InstanceId, revision: Option<u64>) -> bool {
        match (self.revision, revision) {
            (Some(known), Some(other)) if known != other => known < other,
            _ => self.id.start_ms() < id.start_ms(),
        }
    }
}

/// Whether an instance may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It serves requests.
    Serving,
    /// It announced that it is leaving.
    Draining {
        /// The earliest time at which it can have announced that.
        since: Timestamp,
    },
    /// Its entry is gone.
    Gone {
        /// The earliest time at which it can have left.
        since: Timestamp,
    },
}

/// An instance as known to this node.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its latest registration data.
    pub record: InstanceRecord,
    /// Whether it may get new requests.
    pub presence: Presence,
    /// Until when it is slow after its start.
    pub warm_at: Timestamp,
    /// Whether this incarnation is proved to have ended.
    pub ended: bool,
    /// Whether the only proof of that is the entry of another incarnation.
    pub(super) is_superseded: bool,
    /// The other instance that has registered at its address. Which of the two is running is
    /// not known, and the other one gets the new requests.
    pub(super) displaced_by: Option<InstanceId>,
    /// Since when this node knows that the instance's zone is evacuated.
    pub evacuated_since: Option<Timestamp>,
    /// When it is dropped, once its entry is gone.
    pub(super) forget_at: Option<Timestamp>,
}

impl Instance {
    /// Whether it may get new requests.
    pub fn serves(&self) -> bool {
        self.presence == Presence::Serving
            && !self.ended
            && self.displaced_by.is_none()
            && self.evacuated_since.is_none()
    }

    /// Whether it is still slow after its start, according to its registration.
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

    /// Records that its entry is gone. It has been leaving since it began to drain, or
    /// otherwise since the time up to which the view was complete.
    pub(super) fn mark_gone_as_of(&mut self, current_at: Timestamp, now: Timestamp) {
        let since = self.leaving_since().unwrap_or(current_at.min(now));
        self.mark_gone(since, now);
    }

    /// Records that its entry is gone, and that it has been leaving since `since` at the
    /// earliest.
    pub(super) fn mark_gone(&mut self, since: Timestamp, now: Timestamp) {
        let instance = &self.record.id;
        Event::InstanceGone { instance }.emit();
        self.presence = Presence::Gone { since };
        self.forget_at = Some(now + GONE_TTL);
    }
}
