//! The queues and what waits in them.

use super::PermitKey;
use super::fair_queue::{FairQueue, Ticket};
use super::server::Work;
use super::standing_queue::StandingQueue;
use crate::message::{Acquire, ServerSelector};
use ledgelead_types::{GroupId, ServerId, TierId, Time};
use std::collections::BTreeMap;

/// What a queue is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueKey {
    /// Keys that one server owns.
    Server(ServerId),
    /// Work that any server of the group here may take.
    Pool(GroupId),
}

impl QueueKey {
    /// The queue that a wish belongs to.
    pub(super) fn of(acquire: &Acquire) -> QueueKey {
        match acquire.selector {
            ServerSelector::Owner { server, .. } => QueueKey::Server(server),
            ServerSelector::Any { .. } => QueueKey::Pool(acquire.group),
        }
    }

    /// Kind of work in the queue.
    pub(super) fn work(self) -> Work {
        match self {
            QueueKey::Server(_) => Work::Keyed,
            QueueKey::Pool(_) => Work::Unkeyed,
        }
    }
}

/// A queue in fair order.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) fair: FairQueue<PermitKey>,
    /// Since when none of its servers may get work.
    pub(super) unusable_since: Option<Time>,
    /// Waits of each tier.
    pub(super) standing: BTreeMap<TierId, StandingQueue>,
    /// Recent wishes less grants, over their sum.
    pub(super) excess: f64,
}

impl Queue {
    pub(super) fn new() -> Queue {
        Queue {
            fair: FairQueue::new(),
            unusable_since: None,
            standing: BTreeMap::new(),
            excess: 0.0,
        }
    }
}

/// A wish that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) acquire: Acquire,
    pub(super) queue: QueueKey,
    pub(super) ticket: Ticket,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
}
