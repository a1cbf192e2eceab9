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
const REPETITIONS: [Duration; 6] = [
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
    pub holds_bytes: bool,
    /// Whether an exchange that is broken off takes its bytes back.
    pub resets: bool,
    /// How long bytes are repeated.
    pub user_timeout: Option<Duration>,
}

impl Transport {
    /// Cuts lose what is written meanwhile.
    pub const WITHOUT_MEMORY: Transport = Transport {
        holds_bytes: false,
        resets: true,
        user_timeout: None,
    };

    /// As the product's runtime sets its connections up.
    pub const OF_RUNTIME: Transport = Transport {
        holds_bytes: true,
        resets: transport::RESET_ABORTED_EXCHANGES,
        user_timeout: transport::TCP_USER_TIMEOUT,
    };
}

/// An order that a kernel holds.
#[derive(Clone, Debug)]
pub struct HeldOrder {
    pub(super) caller: Caller,
    pub(super) exchange: ExchangeId,
    pub(super) instance: usize,
    pub(super) meant: InstanceId,
    pub(super) order: Order,
    /// When it was written.
    pub(super) sent: Duration,
}

impl World {
    /// The kernel sends an order again, and on until it arrives or is given up.
    pub(super) fn repeat_later(&mut self, held: HeldOrder) {
        let next = REPETITIONS.iter().map(|after| held.sent + *after);
        if let Some(at) = next.into_iter().find(|at| *at > self.now) {
            self.schedule_at(at, Event::HeldOrder(Box::new(held)));
        }
    }

    pub(super) fn repeat_order(&mut self, held: HeldOrder) {
        let transport = self.settings.transport;
        let (index, life) = held.caller;
        let lives = self.nodes[index].life == life && self.nodes[index].node.is_some();
        let is_open = self.pending.contains_key(&(held.caller, held.exchange));
        // Only a process that lives can reset.
        let was_reset = transport.resets && lives && !is_open;
        let is_over = |limit: Duration| held.sent + limit <= self.now;
        if was_reset || transport.user_timeout.is_some_and(is_over) {
            return;
        }
        if !self
            .network
            .instance_connected(index, self.living(held.instance))
        {
            self.repeat_later(held);
            return;
        }
        let exchange = Some(held.exchange);
        let instance = self.living(held.instance);
        self.order_arrives(
            (held.caller, held.sent),
            exchange,
            instance,
            &held.meant,
            held.order,
        );
    }
}
