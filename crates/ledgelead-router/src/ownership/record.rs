//! The ownership record that is kept in the store.

use crate::dialect::KeyRange;
use crate::identity::{InstanceId, NodeIdentity, ServiceName};
use crate::protections::{Protection, Protections};
use crate::store::first_in_era;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Number of tokens that a coordinator may use between two versions: more than the orders that
/// it sends in that time.
pub(super) const RESERVED_TOKENS: u64 = 1_024;

/// A range of a service's keys and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The service.
    pub service: ServiceName,
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The owner.
    pub owner: InstanceId,
    /// The fencing token of the grant to the owner.
    pub fence: u64,
}

impl Assignment {
    /// The parts of this assignment that do not overlap `other`.
    fn without(self, other: &Assignment) -> Vec<Assignment> {
        if self.service != other.service {
            return vec![self];
        }
        let left = self.range().without(other.range()).into_iter();
        left.map(|range| Assignment {
            first: range.first,
            last: range.last,
            ..self.clone()
        })
        .collect()
    }

    /// The keys.
    pub fn range(&self) -> KeyRange {
        KeyRange {
            first: self.first,
            last: self.last,
        }
    }
}

/// A range whose owner gets its keys only once no node sends requests by former owners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeGracePeriod {
    /// The service.
    pub service: ServiceName,
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// For how long after this version was written, in milliseconds.
    pub left_ms: u64,
}

impl RangeGracePeriod {
    /// The grace_period of a range that ends after this time.
    pub fn new(service: &ServiceName, range: KeyRange, left: Duration) -> RangeGracePeriod {
        RangeGracePeriod {
            service: service.clone(),
            first: range.first,
            last: range.last,
            left_ms: rounded_up_millis(left),
        }
    }

    /// How long it lasts.
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms)
    }

    /// Whether it covers any key of a range.
    pub fn covers(&self, service: &ServiceName, range: KeyRange) -> bool {
        self.service == *service && self.first <= range.last && range.first <= self.last
    }
}

/// The coordinator and the owners of all keys.
///
/// Invariant: no coordinator before the one named here sends orders for longer than
/// `earlier_authority_ms` after this version was written. This bounds for a successor how long
/// grants of any earlier coordinator can remain in effect.
///
/// Invariant: the assignments of a service do not overlap, and `next_fence` is above every
/// fencing token that was ever granted. Both hold in every version of the record, so a
/// coordinator can continue from the record alone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipRecord {
    /// Increases with each change of the coordinator.
    pub epoch: u64,
    /// The coordinator; none after it has resigned.
    pub coordinator: Option<NodeIdentity>,
    /// How long earlier coordinators may still send orders, in milliseconds from the write of
    /// this version.
    #[serde(default)]
    pub earlier_authority_ms: u64,
    /// The era of the store in which this version was written. If the store is in a later era,
    /// this version comes from a restored backup: later versions, and the owners they named,
    /// may be lost.
    #[serde(default)]
    pub era: u64,
    /// How long instances that no version of this era names may still hold keys, in
    /// milliseconds from the write of this version.
    #[serde(default)]
    pub unknown_holds_ms: u64,
    /// The first fencing token that a successor may use. The coordinator named here may use
    /// all tokens below it without writing another version.
    pub next_fence: u64,
    /// Ranges whose owners don't get their keys yet. Complete only in a version that the store
    /// itself has returned.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grace_periods: Vec<RangeGracePeriod>,
    /// All assignments, by service and first key.
    pub assignments: Vec<Assignment>,
}

impl OwnershipRecord {
    /// The record under a new coordinator, in an era of the store. Every assignment gets a new
    /// fencing token, so that each instance that the new coordinator has reached rejects
    /// orders of the previous one. Epochs and tokens of an era are above all those of earlier
    /// eras, including ones that were lost.
    pub fn taken_over_by(
        &self,
        coordinator: &NodeIdentity,
        era: u64,
        protections: Protections,
    ) -> OwnershipRecord {
        let mut record = self.clone();
        record.epoch += 1;
        if protections.has(Protection::EraTokens) {
            record.epoch = record.epoch.max(first_in_era(era));
            record.next_fence = record.next_fence.max(first_in_era(era));
        }
        record.era = era;
        record.coordinator = Some(coordinator.clone());
        let raised = protections.has(Protection::TakeoverFence);
        for assignment in record.assignments.iter_mut().filter(|_| raised) {
            assignment.fence = record.next_fence;
            record.next_fence += 1;
        }
        record
    }

    /// How long instances that no version of this era names may still hold keys.
    pub fn unknown_holds(&self) -> Duration {
        Duration::from_millis(self.unknown_holds_ms)
    }

    /// Sets how long instances that no version of this era names may still hold keys.
    pub fn set_unknown_holds(&mut self, left: Duration) {
        self.unknown_holds_ms = rounded_up_millis(left);
    }

    /// Whether this version includes more changes of ownership than `other`.
    pub fn is_later_than(&self, other: &OwnershipRecord) -> bool {
        (self.epoch, self.next_fence) > (other.epoch, other.next_fence)
    }

    /// How long earlier coordinators may still send orders.
    pub fn earlier_authority(&self) -> Duration {
        Duration::from_millis(self.earlier_authority_ms)
    }

    /// Sets how long earlier coordinators may still send orders.
    pub fn set_earlier_authority(&mut self, left: Duration) {
        self.earlier_authority_ms = rounded_up_millis(left);
    }

    /// A hash of the epoch and the assignments; equal for records that agree on both.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.epoch.to_le_bytes());
        for assignment in &self.assignments {
            hasher.update(assignment.service.as_str().as_bytes());
            hasher.update(&assignment.first.to_le_bytes());
            hasher.update(&assignment.last.to_le_bytes());
            hasher.update(assignment.owner.as_str().as_bytes());
            hasher.update(&assignment.fence.to_le_bytes());
        }
        hasher.digest()
    }

    /// The assignments of this record that differ from those of `before`.
    pub fn changes_since(&self, before: &OwnershipRecord) -> Vec<Assignment> {
        self.assignments
            .iter()
            .filter(|assignment| before.find_first(assignment) != Some(assignment))
            .cloned()
            .collect()
    }

    /// The assignment of the same service that begins at the same key. Requires sorted
    /// assignments.
    fn find_first(&self, other: &Assignment) -> Option<&Assignment> {
        let position = self.assignments.binary_search_by(|assignment| {
            (&assignment.service, assignment.first).cmp(&(&other.service, other.first))
        });
        position.ok().map(|position| &self.assignments[position])
    }

    /// Applies assignments in order, each replacing what it overlaps. Requires sorted
    /// assignments.
    pub fn apply_changes(&mut self, changes: Vec<Assignment>) {
        for change in changes {
            let before =
                |old: &Assignment| (&old.service, old.last) < (&change.service, change.first);
            let up_to =
                |old: &Assignment| (&old.service, old.first) <= (&change.service, change.last);
            let begin = self.assignments.partition_point(before);
            let end = begin.max(self.assignments.partition_point(up_to));
            let overlapped = self.assignments[begin..end].iter().cloned();
            let mut pieces: Vec<Assignment> =
                overlapped.flat_map(|old| old.without(&change)).collect();
            let position = pieces.partition_point(|piece| piece.first < change.first);
            pieces.insert(position, change);
            self.assignments.splice(begin..end, pieces);
        }
    }

    /// Sorts the assignments by service and first key.
    pub fn sort(&mut self) {
        self.assignments
            .sort_by(|left, right| (&left.service, left.first).cmp(&(&right.service, right.first)));
    }

    /// The assignment that contains a key.
    pub fn find(&self, service: &ServiceName, key: u16) -> Option<&Assignment> {
        self.assignments
            .iter()
            .find(|assignment| assignment.service == *service && assignment.range().contains(key))
    }

    /// Whether no two assignments overlap and all tokens are below `next_fence`.
    pub fn is_consistent(&self) -> bool {
        // Sorted first: this check runs on each read, and records hold thousands of ranges.
        let mut sorted: Vec<&Assignment> = self.assignments.iter().collect();
        sorted
            .sort_by(|left, right| (&left.service, left.first).cmp(&(&right.service, right.first)));
        let overlaps = sorted
            .windows(2)
            .any(|pair| pair[0].service == pair[1].service && pair[1].first <= pair[0].last);
        let fences = self.assignments.iter().all(|assignment| {
            assignment.fence < self.next_fence && assignment.first <= assignment.last
        });
        !overlaps && fences
    }
}

/// Rounded up, so that no deadline ends too early.
fn rounded_up_millis(time: Duration) -> u64 {
    let whole = time.as_nanos().div_ceil(1_000_000);
    u64::try_from(whole).unwrap_or(u64::MAX)
}
