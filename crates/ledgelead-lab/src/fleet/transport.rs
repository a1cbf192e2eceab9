//! TCP retransmission of bytes that a network partition blocks.

use super::event::{Caller, Event};
use super::world::World;
use ledgelead_router::dialect::Order;
use ledgelead_router::identity::InstanceId;
use ledgelead_router::io::ExchangeId;
use ledgelead_runtime::transport;
use std::time::Duration;

/// Times of TCP retransmissions after the first transmission; each interval is twice the
/// previous one.
const RETRANSMISSION_TIMES: [Duration; 6] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
    Duration::from_millis(3_000),
    Duration::from_millis(6_200),
    Duration::from_millis(12_600),
];

/// Behaviour of node connections during partitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transport {
    /// Whether bytes blocked by a partition are delivered after it.
    pub retransmits: bool,
    /// Whether aborting an exchange discards its undelivered bytes.
    pub resets: bool,
    /// How long bytes are retransmitted.
    pub user_timeout: Option<Duration>,
}

impl Transport {
    /// Partitions drop what is sent during them.
    pub const LOSSY: Transport = Transport {
        retransmits: false,
        resets: true,
        user_timeout: None,
    };

    /// The settings that the production runtime uses for its connections.
    pub const RUNTIME: Transport = Transport {
        retransmits: true,
        resets: transport::RESET_ABORTED_EXCHANGES,
        user_timeout: transport::TCP_USER_TIMEOUT,
    };
}

/// An order that waits for retransmission by the kernel.
#[derive(Clone, Debug)]
pub struct BlockedOrder {
    pub(super) caller: Caller,
    pub(super) exchange: ExchangeId,
    pub(super) instance: usize,
    pub(super) intended: InstanceId,
    pub(super) order: Order,
    /// When it was first sent.
    pub(super) sent: Duration,
}

impl World {
    /// Schedules the next retransmission, if any is left.
    pub(super) fn schedule_retransmission(&mut self, blocked: BlockedOrder) {
        let next = RETRANSMISSION_TIMES
            .iter()
            .map(|after| blocked.sent + *after);
        if let Some(at) = next.into_iter().find(|at| *at > self.now) {
            self.schedule_at(at, Event::BlockedOrder(Box::new(blocked)));
        }
    }

    pub(super) fn retransmit_order(&mut self, blocked: BlockedOrder) {
        let transport = self.settings.transport;
        let (index, incarnation) = blocked.caller;
        let is_running =
            self.nodes[index].incarnation == incarnation && self.nodes[index].node.is_some();
        let is_open = self
            .pending
            .contains_key(&(blocked.caller, blocked.exchange));
        // Only a running process can reset its connections.
        let was_reset = transport.resets && is_running && !is_open;
        let is_over = |limit: Duration| blocked.sent + limit <= self.now;
        if was_reset || transport.user_timeout.is_some_and(is_over) {
            return;
        }
        if !self
            .network
            .instance_connected(index, self.current_incarnation(blocked.instance))
        {
            self.schedule_retransmission(blocked);
            return;
        }
        let exchange = Some(blocked.exchange);
        let instance = self.current_incarnation(blocked.instance);
        self.order_arrives(
            (blocked.caller, blocked.sent),
            exchange,
            instance,
            &blocked.intended,
            blocked.order,
        );
    }
}
