//! Keys whose owner got them without the state of the owner before.
//!
//! The load it answers: a zone is cut off at a peak, and its keys go to the owners that are
//! left. Requests for them take a few times the usual work until their state is loaded, so
//! that they would hold up all others of their new owners.

use super::record::{Assignment, OwnershipRecord};
use crate::Timestamp;
use crate::dialect::KeyRange;
use crate::directory::Directory;
use crate::identity::{InstanceId, ServiceName};
use std::time::Duration;

/// How long requests for such keys take longer: instances load the state of keys that are
/// asked for within some seconds.
const WARMUP: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct ColdRange {
    service: ServiceName,
    range: KeyRange,
    until: Timestamp,
}

/// All such keys, as far as this node knows.
#[derive(Clone, Debug, Default)]
pub struct ColdKeys {
    ranges: Vec<ColdRange>,
}

impl ColdKeys {
    /// The record has changed. An owner that serves or drains hands its keys over; one that
    /// is gone or unknown was lost with what it held.
    pub fn record_changed(
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

    /// Whether a request for a key takes longer now.
    pub fn contains(&self, service: &ServiceName, key: u16, now: Timestamp) -> bool {
        self.ranges
            .iter()
            .any(|cold| cold.range.contains(key) && cold.until > now && cold.service == *service)
    }

    /// Forgets keys that are warm by now.
    pub fn expire(&mut self, now: Timestamp) {
        self.ranges.retain(|cold| cold.until > now);
    }
}

/// The keys of an assignment, if another owner had some of them and was lost.
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
