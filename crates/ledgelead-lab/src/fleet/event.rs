//! What happens at a time.

use super::faults::FaultKind;
use super::instance::InstanceRequest;
use super::transport::BlockedOrder;
use ledgelead_http::Request;
use ledgelead_router::dialect::{Order, StoreCall};
use ledgelead_router::identity::InstanceId;
use ledgelead_router::io::{ExchangeId, Input};
use std::cmp::Ordering;
use std::time::Duration;

/// A node and its life.
pub type Caller = (usize, u64);

/// What happens.
#[derive(Debug)]
pub enum Event {
    /// A node's own deadline.
    Deadline(Caller),
    /// A node gets an input.
    Input(Caller, Input),
    /// An exchange ends, unless it has ended before.
    Exchanged(Caller, ExchangeId, Box<Input>),
    /// A call reaches the store.
    StoreCall(Caller, ExchangeId, Box<StoreCall>),
    /// A watch has waited long enough.
    WatchOver(Caller, ExchangeId),
    /// A write whose answer was lost is carried out.
    LateWrite(Box<StoreCall>),
    /// A request reaches an instance.
    Request(Caller, ExchangeId, usize, Box<Request>, Duration),
    /// An order reaches an instance.
    Order {
        /// The sender.
        caller: Caller,
        /// Its exchange; none if it was carried out late.
        exchange: Option<ExchangeId>,
        /// The instance.
        instance: usize,
        /// The life that is meant.
        intended: InstanceId,
        /// When it was sent.
        sent: Duration,
        /// The order.
        order: Order,
    },
    /// A kernel repeats an order that a cut has held up.
    BlockedOrder(Box<BlockedOrder>),
    /// A request has ended at an instance.
    RequestDone(usize, Box<InstanceRequest>),
    /// An instance writes to the store.
    Heartbeat(usize),
    /// An instance that left without a word ends.
    InstanceEnds(usize),
    /// Another life of an instance that has crashed begins.
    InstanceReturns(usize),
    /// An instance that has crashed starts again under its id.
    InstanceRestarts(usize),
    /// An instance crashes by itself.
    InstanceCrashes(usize),
    /// A request comes that crashes instances.
    CrashingClient(usize),
    /// Entries without heartbeats go.
    ExpireEntries,
    /// A client asks.
    Client,
    /// The store's state is kept, to come back to.
    TakeSnapshot,
    /// The operator writes again what it has written.
    OperatorRewrites,
    /// Every node's version of the configuration is looked at.
    CheckVersions,
    /// A fault begins, which lasts for so long.
    Fault(FaultKind, Duration),
    /// A fault ends.
    FaultEnds(FaultKind),
    /// A node starts.
    Start(usize),
}

/// An event with its time.
#[derive(Debug)]
pub struct Scheduled {
    /// The time.
    pub at: Duration,
    /// Keeps events of one time in their order.
    pub sequence: u64,
    /// What happens.
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        // The earliest first, in a heap that gives the greatest.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
