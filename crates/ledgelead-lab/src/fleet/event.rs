//! Events of the simulation.

use super::faults::FaultKind;
use super::instance::InstanceRequest;
use super::second_answers::AnswerInFlight;
use super::transport::BlockedOrder;
use ledgelead_http::Request;
use ledgelead_router::dialect::{Order, StoreCall};
use ledgelead_router::identity::InstanceId;
use ledgelead_router::io::{ExchangeId, Input};
use std::cmp::Ordering;
use std::time::Duration;

/// A node index and the incarnation of the node.
pub type Caller = (usize, u64);

/// An event.
#[derive(Debug)]
pub enum Event {
    /// The next deadline of a node is due.
    Deadline(Caller),
    /// A node receives an input.
    Input(Caller, Input),
    /// An exchange ends, unless it has already ended.
    Exchanged(Caller, ExchangeId, Box<Input>),
    /// The answer of an instance arrives on a connection.
    Answer(Box<AnswerInFlight>),
    /// A call reaches the store.
    StoreCall(Caller, ExchangeId, Box<StoreCall>),
    /// The wait time of a watch is over.
    WatchTimeout(Caller, ExchangeId),
    /// The store carries out a write whose response was lost.
    LateWrite(Box<StoreCall>),
    /// A request reaches an instance.
    Request(Caller, ExchangeId, usize, Box<Request>, Duration),
    /// An order reaches an instance.
    Order {
        /// The sender.
        caller: Caller,
        /// Its exchange; `None` if the order is carried out late.
        exchange: Option<ExchangeId>,
        /// Index of the instance.
        instance: usize,
        /// The incarnation to which the order is addressed.
        intended: InstanceId,
        /// When it was sent.
        sent: Duration,
        /// The order.
        order: Order,
    },
    /// The kernel retransmits an order that a partition blocked.
    BlockedOrder(Box<BlockedOrder>),
    /// An instance finishes a request.
    RequestDone(usize, Box<InstanceRequest>),
    /// An instance writes its heartbeat to the store.
    Heartbeat(usize),
    /// An instance that left ends.
    InstanceEnds(usize),
    /// A crashed instance comes back or is replaced.
    InstanceReturns(usize),
    /// A crashed instance restarts under the same id.
    InstanceRestarts(usize),
    /// An instance crashes without being caused by a request.
    InstanceCrashes(usize),
    /// A client sends a request that crashes instances.
    CrashingClient(usize),
    /// A harmless caller sends a request.
    HarmlessClient,
    /// Harmless callers send many requests for a new path at once.
    HarmlessBurst,
    /// The store removes entries without recent heartbeats.
    ExpireEntries,
    /// A client sends a request.
    Client,
    /// Takes a snapshot of the store for a later restore.
    TakeSnapshot,
    /// The operator writes the newest configuration again.
    OperatorRewrites,
    /// Checks the configuration version of every node.
    CheckVersions,
    /// A fault of the given duration begins.
    Fault(FaultKind, Duration),
    /// A fault ends.
    FaultEnds(FaultKind),
    /// A node starts.
    Start(usize),
}

/// An event scheduled for a given time.
#[derive(Debug)]
pub struct Scheduled {
    /// The time.
    pub at: Duration,
    /// Keeps events with the same time in insertion order.
    pub sequence: u64,
    /// The event.
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
        // Reversed, because `BinaryHeap` pops the greatest element first.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
