//! Keys whose owner received them without the state of the previous owner.
//!
//! When a zone is cut off at peak load, its keys move to the remaining owners. Until these
//! have loaded the state, requests for the keys take several times the usual work and would
//! delay all other requests of the new owners.

use super::record::{Assignment, OwnershipRecord};
use crate::Timestamp;
use crate::dialect::KeyRange;
use crate::directory::Directory;
use crate::identity::{InstanceId, ServiceName};
use std::time::Duration;

/// How long requests for keys without their state take longer: instances load the state of
/// requested keys within some seconds.
const WARMUP: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct ColdRange {
    service: ServiceName,
    range: KeyRange,
    until: Timestamp,
}

/// All cold keys that this node knows of.
#[derive(Clone, Debug, Default)]
pub struct ColdKeys {
    ranges: Vec<ColdRange>,
}

impl ColdKeys {
    /// Updates the cold keys after a change of the record. An owner that serves or drains
    /// hands its keys over; the state of one that is gone or unknown is lost.
    pub fn apply_record_change(
        &mut self,
        before: &OwnershipRecord,
        after: &OwnershipRecord,
        directory: &Directory,
        now: Timestamp,
    ) {
        let was_lost = |owner: &InstanceId| {
            let known = directory.get(owner);
            known.is_none_or(|known| known.ended || known.is_gone())
        };
        for change in after.changes_since(before) {
            let lost = lost_part(before, &change, was_lost);
            self.ranges.extend(lost.map(|range| ColdRange {
                service: change.service.clone(),
                range,
                until: now + WARMUP,
            }));
        }
    }

    /// Whether requests for a key currently take longer.
    pub fn contains(&self, service: &ServiceName, key: u16, now: Timestamp) -> bool {
        self.ranges
            .iter()
            .any(|cold| cold.range.contains(key) && cold.until > now && cold.service == *service)
    }

    /// Removes keys that are warm by now.
    pub fn expire(&mut self, now: Timestamp) {
        self.ranges.retain(|cold| cold.until > now);
    }
}

/// The keys of an assignment, if a lost owner had some of them before.
fn lost_part(
    before: &OwnershipRecord,
    change: &Assignment,
    was_lost: impl Fn(&InstanceId) -> bool,
) -> Option<KeyRange> {
    let overlaps = |old: &&Assignment| {
        old.service == change.service && old.first <= change.last && change.first <= old.last
    };
    let mut earlier = before.assignments.iter().filter(overlaps);
    let lost = |old: &Assignment| old.owner != change.owner && was_lost(&old.owner);
    earlier.any(lost).then(|| change.range())
}
