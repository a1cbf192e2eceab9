//! When a node tries to become the coordinator.
//!
//! Only a conditional write to the record makes a node the coordinator. The rules here only
//! affect how soon and how often that is attempted, not safety.

use super::record::OwnershipRecord;
use crate::Timestamp;
use crate::identity::{NodeIdentity, NodeName};
use crate::peers::NodeRecord;
use std::cmp::Reverse;
use std::time::Duration;

/// Time without a heartbeat after which the node with rank 0 tries to take over.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Additional delay per rank.
const RANK_DELAY: Duration = Duration::from_millis(120);
/// Longest wait for a read of the record before an attempt.
const CONFIRM_PAUSE: Duration = Duration::from_millis(700);
/// Upper bound for the delay by rank.
const MAX_RANK_DELAY: Duration = Duration::from_millis(1_500);

/// When the coordinator was last heard, and when to try next.
#[derive(Debug, Default)]
pub struct Election {
    last_heard: Timestamp,
    epoch: u64,
    next_attempt: Timestamp,
    confirming: bool,
}

impl Election {
    /// Records a heartbeat of the coordinator of this epoch, which the store serves.
    pub fn record_heartbeat(&mut self, epoch: u64, now: Timestamp) {
        if epoch >= self.epoch {
            self.epoch = epoch;
            self.last_heard = self.last_heard.max(now);
        }
    }

    /// The nodes were listed for the first time: from now on each node knows its rank and
    /// gives lower ranks time to act first.
    pub fn nodes_listed(&mut self, now: Timestamp) {
        self.last_heard = self.last_heard.max(now);
    }

    /// Records the coordinator that a version of the record names. A new one gets time for its
    /// first heartbeat.
    pub fn observe_record(&mut self, record: &OwnershipRecord, now: Timestamp) {
        if record.epoch > self.epoch {
            self.epoch = record.epoch;
            self.last_heard = now;
        }
    }

    /// When this node should try, unless it hears from the coordinator before. `served_since`
    /// is when the store began to serve this node: after an outage in which the coordinator
    /// was lost, the delay by rank counts from there. Otherwise any node that notices the
    /// recovery first would become the coordinator.
    pub fn due(&self, record: &OwnershipRecord, rank: usize, served_since: Timestamp) -> Timestamp {
        let delay = delay_of(rank);
        let vacant = record.coordinator.is_none();
        let silence = if vacant {
            Duration::ZERO
        } else {
            ELECTION_TIMEOUT
        };
        let begin = served_since.max(self.last_heard + silence);
        (begin + delay).max(self.next_attempt)
    }

    /// Gives a coordinator that is still heard time to continue in a new era of the store. It
    /// alone knows all owners; any other node has to wait for holds that it doesn't know.
    pub fn defer_to_former_coordinator(&mut self, now: Timestamp) {
        self.next_attempt = self.next_attempt.max(now + ELECTION_TIMEOUT);
    }

    /// Delays the next attempt until the record has been read.
    pub fn await_confirmation(&mut self, now: Timestamp) {
        self.confirming = true;
        self.next_attempt = now + CONFIRM_PAUSE;
    }

    /// Records that the record has been read.
    pub fn record_confirmation(&mut self, now: Timestamp) {
        if self.confirming {
            self.confirming = false;
            self.next_attempt = now;
        }
    }

    /// When to try if the record names an earlier incarnation of this node as coordinator: at
    /// once, since no other node knows as early that it has ended.
    pub fn due_after_own_restart(&self) -> Timestamp {
        self.next_attempt
    }

    /// Records an attempt; the next one has to wait.
    pub fn record_attempt(&mut self, now: Timestamp) {
        self.next_attempt = now + ELECTION_TIMEOUT;
    }
}

/// Whether the delay by rank differs from that of the next rank.
pub fn has_own_delay(rank: usize) -> bool {
    delay_of(rank) < MAX_RANK_DELAY
}

fn delay_of(rank: usize) -> Duration {
    RANK_DELAY
        .saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
        .min(MAX_RANK_DELAY)
}

/// The rank of a node among the candidates. Nodes with the largest share of a processor come
/// first, since the coordinator's work grows with the deployment. Nodes with equal shares are
/// ordered by name, starting after the current coordinator, so that the role does not always
/// go to the same node.
pub fn rank<'a>(
    this: &'a NodeName,
    coordinator: Option<&'a NodeIdentity>,
    nodes: impl Iterator<Item = &'a NodeRecord> + Clone,
) -> usize {
    let rank_key = |record: &'a NodeRecord| {
        let node = &record.identity.node;
        let before = coordinator.is_some_and(|coordinator| *node <= coordinator.node);
        (Reverse(record.millicores), before, node)
    };
    let own = nodes.clone().find(|record| record.identity.node == *this);
    let Some(own) = own.map(rank_key) else {
        return nodes.count();
    };
    nodes.filter(|record| rank_key(record) < own).count()
}
