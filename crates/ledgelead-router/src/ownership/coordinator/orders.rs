//! Orders to instances, and their ends.

use super::holding::RELEASE_RETRY;
use super::holding::State;
use super::placement::takers;
use super::{Commands, Context, Coordinator, OutgoingOrder};
use crate::Timestamp;
use crate::dialect::{Order, OrderAnswer};
use crate::directory::Instance;
use crate::io::{ExchangeFailure, ExchangeId};

impl Coordinator {
    /// Releases what has to move, or waits out its lease.
    ///
    /// A release goes out only when no grant of this range is on its way, and
    /// after the owner has answered a grant of this epoch: otherwise a grant
    /// of this or of an earlier coordinator could take the keys once more.
    pub(super) fn release(&mut self, context: &mut Context<'_>, commands: &mut Commands) {
        for holding in &mut self.holdings {
            let State::Releasing {
                target,
                order,
                next_try,
            } = &mut holding.state
            else {
                continue;
            };
            if holding.lease.is_over(self.protections, context.now) {
                self.counters.lapses += 1;
                holding.state = State::Free {
                    target: target.take(),
                    handover: None,
                };
                continue;
            }
            let reachable = holding.lease.fenced && holding.lease.order.is_none();
            if order.is_some() || *next_try > context.now || !reachable {
                continue;
            }
            if !context.store_serves {
                // The next owner could not be written down.
                *next_try = context.now + RELEASE_RETRY;
                continue;
            }
            let Some(instance) = holding
                .owner
                .as_ref()
                .and_then(|id| context.directory.addressee(id))
            else {
                *next_try = holding.lease.possible_until;
                continue;
            };
            let exchange = context.exchanges.next_id();
            *order = Some(exchange);
            // The token of the next owner, or a lower one: grants of this
            // range that are still on their way are refused from now on.
            let fence = self.next_fence;
            commands.orders.push(OutgoingOrder {
                exchange,
                instance: instance.record.id.clone(),
                address: instance.record.address,
                order: Order::Release {
                    range: holding.range,
                    fence,
                },
            });
        }
    }

    /// Grants and renews what is due. A range that is to be released is
    /// granted on only until its owner has answered this coordinator once.
    pub(super) fn grant(&mut self, context: &mut Context<'_>, commands: &mut Commands) {
        for holding in &mut self.holdings {
            let wanted = match &holding.state {
                _ if holding.lease.is_given_up() => false,
                State::Held => true,
                State::Releasing { order, .. } => order.is_none() && !holding.lease.fenced,
                State::Free { .. } | State::Writing { .. } => false,
            };
            let due = holding.lease.order.is_none() && holding.lease.next_grant <= context.now;
            if !wanted || !due {
                continue;
            }
            let instance = holding
                .owner
                .as_ref()
                .and_then(|id| context.directory.addressee(id));
            let Some(instance) = instance else {
                holding.lease.unanswered(false, context.now);
                continue;
            };
            let exchange = context.exchanges.next_id();
            holding.lease.granting(exchange);
            commands.orders.push(OutgoingOrder {
                exchange,
                instance: instance.record.id.clone(),
                address: instance.record.address,
                order: Order::Grant {
                    range: holding.range,
                    fence: holding.fence,
                    hold: crate::settings::HOLD,
                    handover: holding.lease.handover.clone(),
                },
            });
        }
    }

    /// An order ended.
    pub fn order_ended(
        &mut self,
        exchange: ExchangeId,
        result: Result<OrderAnswer, ExchangeFailure>,
        now: Timestamp,
    ) {
        let holding = self.holdings.iter_mut().find(|holding| {
            holding.lease.order == Some(exchange) || holding.release_order() == Some(exchange)
        });
        let Some(holding) = holding else {
            return;
        };
        if holding.lease.order == Some(exchange) {
            holding.grant_ended(result, now, &mut self.counters);
        } else {
            holding.release_ended(result, now, &mut self.counters);
        }
    }

    /// Keys of owners that leave, are gone, or fell silent have to move.
    pub(super) fn replace_lost_owners(&mut self, context: &Context<'_>) {
        for holding in &mut self.holdings {
            let Some(owner) = &holding.owner else {
                continue;
            };
            if let Some(later) = context.directory.later_life(owner) {
                let later = later.serves().then(|| later.record.id.clone());
                holding.pass_to_later_life(later, context.now);
                continue;
            }
            if context.directory.has_ended(owner) {
                holding.lease.possible_until = holding.lease.possible_until.min(context.now);
            }
            let leaving = match context.directory.get(owner) {
                Some(instance) => !instance.serves() || must_warm_up(context, instance),
                None => context.directory.is_settled(context.now),
            };
            let over = holding.lease.is_over(self.protections, context.now);
            let lapsed = holding.lease.is_silent() && over;
            if lapsed {
                self.unreachable.note(owner, context.now);
            }
            if matches!(holding.state, State::Held) && (leaving || lapsed) {
                holding.state = State::Releasing {
                    target: None,
                    order: None,
                    next_try: context.now,
                };
            }
        }
    }
}

/// Whether an owner has become cold again and can't bear the requests for its keys,
/// while others could.
fn must_warm_up(context: &Context<'_>, instance: &Instance) -> bool {
    let service = &instance.record.service;
    let is_bounded = || {
        let service = context.configuration.service(service);
        service.is_some_and(|service| service.cold_rate.is_some())
    };
    let is_warm = |other: &Instance| !other.is_cold(context.now);
    instance.is_cold(context.now) && is_bounded() && takers(context, service).any(is_warm)
}
