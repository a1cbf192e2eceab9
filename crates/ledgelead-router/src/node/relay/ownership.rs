//! Announcement of the owners of keys.

use super::entries::changed_assignment;
use super::{RelayState, part_datagrams};
use crate::Timestamp;
use crate::events::Event;
use crate::identity::{InstanceId, NodeIdentity, ServiceName};
use crate::io::Action;
use crate::node::Node;
use crate::ownership::record::{Assignment, OwnershipRecord};
use crate::peers::{
    ChangeSpan, ChangedAssignment, Changes, Datagram, MAX_PARTS, PeerMessage, RelayedKind, encode,
};
use crate::store::era_of;
use ledgelead_types::codec::{List, Text};

/// Maximum number of assignments in one datagram.
const ASSIGNMENTS_PER_PART: usize = 20;
/// Maximum number of assignments in one list.
const MAX_ASSIGNMENTS: usize = ASSIGNMENTS_PER_PART * MAX_PARTS as usize;

/// The announcement of a node that has taken the coordinator role.
#[derive(Debug)]
pub(in crate::node) struct Takeover {
    /// Revision of the record before the takeover.
    pub(in crate::node) base: u64,
    /// Revision of the record after the takeover.
    pub(in crate::node) revision: u64,
    pub(in crate::node) coordinator: NodeIdentity,
    /// Fencing token of the first assignment after the takeover.
    pub(in crate::node) first_fence: u64,
    /// Digest of the record after the takeover.
    pub(in crate::node) digest: u64,
}

/// A takeover announced by this node.
#[derive(Debug)]
pub(super) struct AnnouncedTakeover {
    /// Revision of the record before the takeover.
    base: u64,
    /// Revision of the record after the takeover.
    revision: u64,
    datagram: Datagram,
}

impl RelayState {
    /// The datagrams that update a node from revision `since` of the record to the latest one.
    pub(super) fn ownership_datagrams(&self, since: u64) -> Option<Vec<Datagram>> {
        let later = |since| {
            let changes = self.ownership.since(since, MAX_ASSIGNMENTS);
            changes.map(|changes| datagrams(&changes))
        };
        match &self.takeover {
            Some(takeover) if takeover.base == since => {
                let mut all = vec![takeover.datagram.clone()];
                all.extend(later(takeover.revision).unwrap_or_default());
                Some(all)
            }
            _ => later(since),
        }
    }
}

impl Node {
    /// Announces the changes of a written record.
    pub(in crate::node) fn announce_ownership(
        &mut self,
        base: u64,
        changed: Vec<Assignment>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(revision) = self.ownership.revision() else {
            return;
        };
        let changes = Changes {
            base,
            revision,
            items: changed,
        };
        self.broadcast(&datagrams(&changes), now, out);
        self.messaging.relay.ownership.push(changes);
    }

    /// Applies new assignments announced by the coordinator.
    pub(in crate::node) fn ownership_announced(
        &mut self,
        span: ChangeSpan,
        changes: List<ChangedAssignment>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(list) = self.messaging.relay.ownership_parts.add(span, changes.0) else {
            return;
        };
        let (base, revision) = (list.base(), list.revision());
        let assignments: Option<Vec<Assignment>> = list
            .into_changes()
            .iter()
            .map(|change| self.known_assignment(change))
            .collect();
        let Some(assignments) = assignments else {
            return;
        };
        let known = self.ownership.revision().unwrap_or(0);
        if known < base {
            self.request_changes(RelayedKind::Ownership, now, out);
        }
        let follows = self.coordination.coordinator().is_none();
        let before = self.record_before_change();
        if follows && self.ownership.apply_changes(base, revision, assignments) {
            self.record_cold_keys(before, now);
            self.reconsider_waiting(now, out);
        }
    }

    pub(in crate::node) fn known_assignment(
        &self,
        change: &ChangedAssignment,
    ) -> Option<Assignment> {
        let service = self.service_by_hash(change.service)?;
        Some(Assignment {
            service: service.clone(),
            first: change.first,
            last: change.last,
            owner: InstanceId::parse(&change.owner.0),
            fence: change.fence,
        })
    }

    /// The service with this name hash, if its keys have owners.
    pub(in crate::node) fn service_by_hash(&self, hash: u64) -> Option<&ServiceName> {
        self.configuration
            .as_ref()?
            .sharded_services()
            .find(|service| service.stable_hash() == hash)
    }

    /// Announces that this node has taken the coordinator role.
    pub(in crate::node) fn announce_takeover(
        &mut self,
        base: u64,
        before: &OwnershipRecord,
        out: &mut Vec<Action>,
    ) {
        let Some(revision) = self.ownership.revision() else {
            return;
        };
        let took_over = encode(&PeerMessage::CoordinatorTookOver {
            base,
            revision,
            node: Text(self.settings.identity.node.to_string()),
            incarnation: self.settings.identity.incarnation,
            first_fence: before.next_fence,
            digest: self.ownership.record().digest(),
        });
        self.send_to_all(std::slice::from_ref(&took_over), out);
        self.messaging.relay.takeover = Some(AnnouncedTakeover {
            base,
            revision,
            datagram: took_over,
        });
    }

    /// Another node has taken the coordinator role. The new record is derived from the
    /// preceding one. If this node's record doesn't lead to the announced digest, the store is
    /// asked as soon as a heartbeat names the new revision.
    pub(in crate::node) fn takeover_announced(
        &mut self,
        takeover: Takeover,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.coordination.coordinator().is_some() {
            self.store.refresh_ownership(now, out);
            return;
        }
        let mut before = self.ownership.record().clone();
        before.next_fence = takeover.first_fence;
        let record = before.taken_over_by(
            &takeover.coordinator,
            era_of(takeover.revision),
            self.settings.protections,
        );
        let same_digest = record.digest() == takeover.digest;
        let known = self.ownership.revision().unwrap_or(0);
        if same_digest
            && self
                .ownership
                .supersede(takeover.base, takeover.revision, record)
        {
            let record = self.ownership.record();
            self.coordination.election.observe_record(record, now);
            self.reconsider_waiting(now, out);
        } else if known < takeover.revision {
            let base = takeover.base;
            let not_followed = Event::TakeOverNotFollowed {
                base,
                known,
                same_digest,
            };
            not_followed.emit();
        }
    }
}

/// The datagrams for changed assignments.
pub(super) fn datagrams(changes: &Changes<Assignment>) -> Vec<Datagram> {
    if changes.items.is_empty() {
        return Vec::new();
    }
    let changed: Vec<ChangedAssignment> = changes.items.iter().map(changed_assignment).collect();
    let message = |span, changes| PeerMessage::OwnershipChanged { span, changes };
    part_datagrams(
        changes.base,
        changes.revision,
        &changed,
        ASSIGNMENTS_PER_PART,
        message,
    )
}
