//! Measures how long slices have no owner after their owner was lost, for metrics.
//!
//! The time counts from when the leader learned that the owner was unresponsive, so it
//! includes the wait for the lease to end. A leader that was elected after the loss counts
//! from its own election, because it doesn't know when the loss occurred.

use crate::message::ServerReport;
use ledgelead_types::{PositionRange, ServerId, Span, Time};
use std::collections::BTreeMap;

/// Unresponsive servers and ownerless slices, as known to this leader.
#[derive(Debug)]
pub struct UnavailableSlices {
    since: Time,
    unresponsive_since: BTreeMap<ServerId, Time>,
    ownerless: BTreeMap<PositionRange, Time>,
}

impl UnavailableSlices {
    /// Starts tracking for a leader that was elected at `since`.
    pub fn new(since: Time) -> UnavailableSlices {
        UnavailableSlices {
            since,
            unresponsive_since: BTreeMap::new(),
            ownerless: BTreeMap::new(),
        }
    }

    /// Records a dispatcher's report on a server.
    pub fn record_report(&mut self, now: Time, report: &ServerReport) {
        if report.status.answering {
            self.unresponsive_since.remove(&report.server);
        } else {
            self.unresponsive_since.entry(report.server).or_insert(now);
        }
    }

    /// Records that a slice lost its owner.
    pub fn record_loss(&mut self, range: PositionRange, owner: ServerId) {
        // A server that responds again before it was marked as lost has restarted and lost
        // its slices. The leader learns of that restart only now, so the time then counts
        // from the election.
        let since = self
            .unresponsive_since
            .get(&owner)
            .copied()
            .unwrap_or(self.since);
        self.ownerless.insert(range, since);
    }

    /// Records that a slice has an owner. Returns how long it had none, if its owner was
    /// lost.
    pub fn record_regained(&mut self, now: Time, range: PositionRange) -> Option<Span> {
        let since = self.ownerless.remove(&range)?;
        Some(now.since(since))
    }
}
