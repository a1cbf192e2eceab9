//! When a node takes the coordinator's place.
//!
//! Only a conditional write to the record makes a coordinator, so the rules
//! here decide how fast and how often that is tried, not who is safe.

use super::record::OwnershipRecord;
use crate::Timestamp;
use crate::identity::{NodeIdentity, NodeName};
use crate::peers::NodeRecord;
use std::cmp::Reverse;
use std::time::Duration;

/// Silence of the coordinator after which the first node tries to follow it.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How much longer each further node waits.
const RANK_DELAY: Duration = Duration::from_millis(120);
/// The most that a read of the record before a try is waited for.
const CONFIRM_PAUSE: Duration = Duration::from_millis(700);
/// The most that a node waits for those before it.
const MAX_RANK_DELAY: Duration = Duration::from_millis(1_500);

/// What a node has heard of the coordinator.
#[derive(Debug, Default)]
pub struct Election {
    last_heard: Timestamp,
    epoch: u64,
    next_try: Timestamp,
    confirming: bool,
}

impl Election {
    /// The coordinator of this epoch was heard, and the store serves it.
    pub fn heard(&mut self, epoch: u64, now: Timestamp) {
        if epoch >= self.epoch {
            self.epoch = epoch;
            self.last_heard = self.last_heard.max(now);
        }
    }

    /// The nodes were listed for the first time: from now on each knows its rank
    /// and leaves those before it their time.
    pub fn nodes_listed(&mut self, now: Timestamp) {
        self.last_heard = self.last_heard.max(now);
    }

    /// A version of the record with a new coordinator is known; it gets its
    /// time to be heard.
    pub fn observed(&mut self, record: &OwnershipRecord, now: Timestamp) {
        if record.epoch > self.epoch {
            self.epoch = record.epoch;
            self.last_heard = now;
        }
    }

    /// When this node should try, unless it hears from the coordinator before.
    /// `served_since` is when the store began to serve this node: after an outage
    /// in which the coordinator was lost, those that come first get their time
    /// too, else whichever node notices first would coordinate.
    pub fn due(&self, record: &OwnershipRecord, rank: usize, served_since: Timestamp) -> Timestamp {
        let delay = RANK_DELAY
            .saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
            .min(MAX_RANK_DELAY);
        let vacant = record.coordinator.is_none();
        let silence = if vacant {
            Duration::ZERO
        } else {
            ELECTION_TIMEOUT
        };
        let begin = served_since.max(self.last_heard + silence);
        (begin + delay).max(self.next_try)
    }

    /// The record has to be read before a try.
    pub fn tried_unconfirmed(&mut self, now: Timestamp) {
        self.confirming = true;
        self.next_try = now + CONFIRM_PAUSE;
    }

    /// The record has been read.
    pub fn confirmed(&mut self, now: Timestamp) {
        if self.confirming {
            self.confirming = false;
            self.next_try = now;
        }
    }

    /// When a node should try whose own earlier life is the coordinator that the
    /// record names: at once, since nobody else knows as early that it has ended.
    pub fn due_after_own_restart(&self) -> Timestamp {
        self.next_try
    }

    /// A try was made; the next one waits.
    pub fn tried(&mut self, now: Timestamp) {
        self.next_try = now + ELECTION_TIMEOUT;
    }
}

/// The place of a node among those that may follow. Those with the largest
/// share of a processor come first, since the coordinator's work grows with the
/// deployment; among equal ones, the nodes in their order, counted from behind
/// the coordinator, so that not the same node follows each time.
pub fn rank<'a>(
    this: &'a NodeName,
    coordinator: Option<&'a NodeIdentity>,
    nodes: impl Iterator<Item = &'a NodeRecord> + Clone,
) -> usize {
    let place = |record: &'a NodeRecord| {
        let node = &record.identity.node;
        let before = coordinator.is_some_and(|coordinator| *node <= coordinator.node);
        (Reverse(record.millicores), before, node)
    };
    let own = nodes.clone().find(|record| record.identity.node == *this);
    let Some(own) = own.map(place) else {
        return nodes.count();
    };
    nodes.filter(|record| place(record) < own).count()
}
