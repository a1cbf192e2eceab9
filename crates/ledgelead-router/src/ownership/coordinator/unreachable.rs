//! Owners that stopped answering and get no keys for a while.

use crate::Timestamp;
use crate::identity::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an instance whose leases expired unanswered gets no keys, unless there is no
/// other: twice the time in which it is found unresponsive and its lease expires.
const UNREACHABLE_FOR: Duration = Duration::from_secs(10);

/// Owners whose leases expired without an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreachableOwners {
    until: BTreeMap<InstanceId, Timestamp>,
}

impl UnreachableOwners {
    /// A lease of this owner expired without an answer.
    pub(super) fn record(&mut self, owner: &InstanceId, now: Timestamp) {
        self.until.retain(|_, until| *until > now);
        self.until.insert(owner.clone(), now + UNREACHABLE_FOR);
    }

    /// Whether an instance should currently get no keys.
    pub(super) fn contains(&self, id: &InstanceId, now: Timestamp) -> bool {
        self.until.get(id).is_some_and(|until| *until > now)
    }
}
