//! Queues of waiting permit requests.

use super::PermitKey;
use super::fair_queue::{FairQueue, Ticket};
use super::server::Work;
use super::standing_queue::StandingQueue;
use crate::message::{Acquire, ServerSelector};
use ledgelead_types::{GroupId, ServerId, TierId, Time};
use std::collections::BTreeMap;

/// Identifies a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueKey {
    /// Work for keys owned by one server.
    Server(ServerId),
    /// Work for any server of the group dispatched here.
    Pool(GroupId),
}

impl QueueKey {
    /// The queue that a permit request belongs to.
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

/// A fair queue with its overload state.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) fair: FairQueue<PermitKey>,
    /// Since when none of its servers is usable.
    pub(super) unusable_since: Option<Time>,
    /// Waiting times of each tier.
    pub(super) standing: BTreeMap<TierId, StandingQueue>,
    /// Recent permit requests minus grants, divided by their sum.
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

/// A waiting permit request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) acquire: Acquire,
    pub(super) queue: QueueKey,
    pub(super) ticket: Ticket,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
}
