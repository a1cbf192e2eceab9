//! Bytes that a kernel holds while a cut lasts, and delivers by TCP's repetition.

use super::event::{Caller, Event};
use super::world::World;
use ledgelead_router::dialect::Order;
use ledgelead_router::identity::InstanceId;
use ledgelead_router::io::ExchangeId;
use ledgelead_runtime::transport;
use std::time::Duration;

/// When bytes without an acknowledgement are sent again, counted from the first time: each
/// pause is twice the one before.
const RETRANSMISSION_TIMES: [Duration; 6] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
    Duration::from_millis(3_000),
    Duration::from_millis(6_200),
    Duration::from_millis(12_600),
];

/// What nodes' connections are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transport {
    /// Whether bytes that a cut holds up are delivered after it.
    pub retransmits: bool,
    /// Whether an exchange that is broken off takes its bytes back.
    pub resets: bool,
    /// How long bytes are repeated.
    pub user_timeout: Option<Duration>,
}

impl Transport {
    /// Cuts lose what is written meanwhile.
    pub const LOSSY: Transport = Transport {
        retransmits: false,
        resets: true,
        user_timeout: None,
    };

    /// As the product's runtime sets its connections up.
    pub const RUNTIME: Transport = Transport {
        retransmits: true,
        resets: transport::RESETS_BROKEN_OFF,
        user_timeout: transport::USER_TIMEOUT,
    };
}

/// An order that a kernel holds.
#[derive(Clone, Debug)]
pub struct BlockedOrder {
    pub(super) caller: Caller,
    pub(super) exchange: ExchangeId,
    pub(super) instance: usize,
    pub(super) intended: InstanceId,
    pub(super) order: Order,
    /// When it was written.
    pub(super) sent: Duration,
}

impl World {
    /// The kernel sends an order again, and on until it arrives or is given up.
    pub(super) fn schedule_retransmission(&mut self, held: BlockedOrder) {
        let next = RETRANSMISSION_TIMES.iter().map(|after| held.sent + *after);
        if let Some(at) = next.into_iter().find(|at| *at > self.now) {
            self.schedule_at(at, Event::BlockedOrder(Box::new(held)));
        }
    }

    pub(super) fn retransmit_order(&mut self, held: BlockedOrder) {
        let transport = self.settings.transport;
        let (index, incarnation) = held.caller;
        let lives =
            self.nodes[index].incarnation == incarnation && self.nodes[index].node.is_some();
        let is_open = self.pending.contains_key(&(held.caller, held.exchange));
        // Only a process that lives can reset.
        let was_reset = transport.resets && lives && !is_open;
        let is_over = |limit: Duration| held.sent + limit <= self.now;
        if was_reset || transport.user_timeout.is_some_and(is_over) {
            return;
        }
        if !self
            .network
            .instance_connected(index, self.current_incarnation(held.instance))
        {
            self.schedule_retransmission(held);
            return;
        }
        let exchange = Some(held.exchange);
        let instance = self.current_incarnation(held.instance);
        self.order_arrives(
            (held.caller, held.sent),
            exchange,
            instance,
            &held.intended,
            held.order,
        );
    }
}
