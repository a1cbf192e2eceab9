//! How long slices whose owner was lost have no owner, for metrics.
//!
//! It is counted from the moment at which the leader heard that the owner was
//! silent, so the wait for its lease is part of it. A leader that was elected
//! after the loss counts from its own election: it can't know what came before.

use crate::message::ServerReport;
use ledgelead_types::{PositionRange, ServerId, Span, Time};
use std::collections::BTreeMap;

/// What this leader knows of silent servers and ownerless slices.
#[derive(Debug)]
pub struct UnavailableSlices {
    since: Time,
    unresponsive_since: BTreeMap<ServerId, Time>,
    ownerless: BTreeMap<PositionRange, Time>,
}

impl UnavailableSlices {
    /// Of a leader elected at `since`.
    pub fn new(since: Time) -> UnavailableSlices {
        UnavailableSlices {
            since,
            unresponsive_since: BTreeMap::new(),
            ownerless: BTreeMap::new(),
        }
    }

    /// A dispatcher tells of a server.
    pub fn record_report(&mut self, now: Time, report: &ServerReport) {
        if report.status.answering {
            self.unresponsive_since.remove(&report.server);
        } else {
            self.unresponsive_since.entry(report.server).or_insert(now);
        }
    }

    /// A slice lost its owner.
    pub fn record_loss(&mut self, range: PositionRange, owner: ServerId) {
        // A server that answers again before it is taken as lost forgot its
        // slices in a restart, which the leader hears of only then.
        let since = self
            .unresponsive_since
            .get(&owner)
            .copied()
            .unwrap_or(self.since);
        self.ownerless.insert(range, since);
    }

    /// A slice has an owner; how long it had none, if it was lost before.
    pub fn record_regained(&mut self, now: Time, range: PositionRange) -> Option<Span> {
        let since = self.ownerless.remove(&range)?;
        Some(now.since(since))
    }
}
