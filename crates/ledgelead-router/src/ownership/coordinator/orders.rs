//! Orders to instances, and their ends.

use super::placement::eligible_instances;
use super::shard::RELEASE_RETRY;
use super::shard::{Shard, State};
use super::{Commands, Context, Coordinator, OutgoingOrder};
use crate::Timestamp;
use crate::dialect::{Order, OrderAnswer};
use crate::directory::Instance;
use crate::io::{ExchangeFailure, ExchangeId};
use crate::settings::{MAX_RENEWAL_INTERVAL, RENEWAL_INTERVAL};
use std::time::Duration;

/// Most orders that are out at once. A coordinator that takes over grants all ranges anew;
/// sent together, thousands of grants would wait for the processor beyond the time that one
/// has for its answer.
const MAX_ORDERS_OUT: usize = 256;
/// Pause between two reviews of all owners where nothing has changed: what depends on the
/// time alone, such as the end of a start-up, may be seen so late.
const OWNER_REVIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Renewals a second up to which each range is renewed at the shortest interval. Each is an
/// exchange with an instance, and a coordinator may have a part of a core.
const RENEWALS_PER_S: u32 = 1_000;

impl Coordinator {
    /// Releases what has to move, or waits out its lease.
    ///
    /// A release goes out only when no grant of this range is on its way, and
    /// after the owner has answered a grant of this epoch: otherwise a grant
    /// of this or of an earlier coordinator could take the keys once more.
    pub(super) fn release(&mut self, context: &mut Context<'_>, commands: &mut Commands) {
        for (place, shard) in self.shards.iter_mut().enumerate() {
            let State::Releasing {
                target,
                order,
                next_try,
            } = &mut shard.state
            else {
                continue;
            };
            if shard.lease.is_over(self.protections, context.now) {
                self.counters.lapses += 1;
                shard.state = State::Free {
                    target: target.take(),
                    handover: None,
                };
                continue;
            }
            let reachable = shard.lease.fenced && shard.lease.order.is_none();
            if order.is_some() || *next_try > context.now || !reachable {
                continue;
            }
            if !context.store_serves {
                // The next owner could not be written down.
                *next_try = context.now + RELEASE_RETRY;
                continue;
            }
            let Some(instance) = shard
                .owner
                .as_ref()
                .and_then(|id| context.directory.get_unless_superseded(id))
            else {
                *next_try = shard.lease.possible_until;
                continue;
            };
            let exchange = context.exchanges.next_id();
            *order = Some(exchange);
            self.orders_out.insert(exchange, place);
            // The token of the next owner, or a lower one: grants of this
            // range that are still on their way are refused from now on.
            let fence = self.next_fence;
            commands.orders.push(OutgoingOrder {
                exchange,
                instance: instance.record.id.clone(),
                address: instance.record.address,
                order: Order::Release {
                    range: shard.range,
                    fence,
                },
            });
        }
    }

    /// Grants and renews what is due, what has been due longest first. A range that is to be
    /// released is granted on only until its owner has answered this coordinator once.
    pub(super) fn grant(&mut self, context: &mut Context<'_>, commands: &mut Commands) {
        for place in self.due_grants(context.now) {
            let shard = &mut self.shards[place];
            let instance = shard
                .owner
                .as_ref()
                .and_then(|id| context.directory.get_unless_superseded(id));
            let Some(instance) = instance else {
                shard.lease.unanswered(false, context.now);
                continue;
            };
            let exchange = context.exchanges.next_id();
            shard.lease.granting(exchange);
            self.orders_out.insert(exchange, place);
            commands.orders.push(OutgoingOrder {
                exchange,
                instance: instance.record.id.clone(),
                address: instance.record.address,
                order: Order::Grant {
                    range: shard.range,
                    fence: shard.fence,
                    hold: crate::settings::HOLD,
                    handover: shard.lease.handover.clone(),
                },
            });
        }
    }

    /// Places of the ranges whose grants are due, as many as may be out.
    fn due_grants(&self, now: Timestamp) -> Vec<usize> {
        let is_due = |shard: &Shard| {
            let wanted = match &shard.state {
                _ if shard.lease.is_given_up() => false,
                State::Held => true,
                State::Releasing { order, .. } => order.is_none() && !shard.lease.fenced,
                State::Free { .. } | State::Assigning { .. } => false,
            };
            wanted && shard.lease.order.is_none() && shard.lease.next_grant <= now
        };
        let places = 0..self.shards.len();
        let mut due: Vec<usize> = places
            .filter(|place| is_due(&self.shards[*place]))
            .collect();
        let room = MAX_ORDERS_OUT.saturating_sub(self.orders_out.len());
        if due.len() > room {
            due.sort_by_key(|place| self.shards[*place].lease.next_grant);
            due.truncate(room);
        }
        due
    }

    /// Time between two grants of a range: longer where there are many.
    fn renewal_interval(&self) -> Duration {
        let ranges = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1).saturating_mul(ranges) / RENEWALS_PER_S;
        interval.clamp(RENEWAL_INTERVAL, MAX_RENEWAL_INTERVAL)
    }

    /// An order ended.
    pub fn order_ended(
        &mut self,
        exchange: ExchangeId,
        result: Result<OrderAnswer, ExchangeFailure>,
        now: Timestamp,
    ) {
        let interval = self.renewal_interval();
        let place = self.orders_out.remove(&exchange);
        let Some(shard) = place.and_then(|place| self.shards.get_mut(place)) else {
            return;
        };
        if shard.lease.order == Some(exchange) {
            shard.grant_ended(result, interval, now, &mut self.counters);
        } else {
            shard.release_ended(result, now, &mut self.counters);
        }
    }

    /// Keys of owners that leave, are gone, or fell silent have to move. All owners are looked
    /// at when something has changed in the directory, and now and then; with thousands of
    /// them that takes milliseconds.
    pub(super) fn replace_lost_owners(&mut self, context: &Context<'_>) {
        let changes = context.directory.changes();
        let is_due = self.next_owner_review <= context.now;
        let reviews_all = is_due || self.owners_reviewed != Some(changes);
        if reviews_all {
            self.owners_reviewed = Some(changes);
            self.next_owner_review = context.now + OWNER_REVIEW_INTERVAL;
        }
        for shard in &mut self.shards {
            let Some(owner) = &shard.owner else {
                continue;
            };
            if !reviews_all && !shard.lease.is_silent() {
                continue;
            }
            if let Some(later) = context.directory.later_incarnation(owner) {
                if shard.has_order_out() {
                    // To be looked at again as soon as that has ended.
                    self.owners_reviewed = None;
                }
                let later = later.serves().then(|| later.record.id.clone());
                shard.hand_to_later_incarnation(later, context.now);
                continue;
            }
            if context.directory.has_ended(owner) {
                shard.lease.possible_until = shard.lease.possible_until.min(context.now);
            }
            let leaving = match context.directory.get(owner) {
                Some(instance) => !instance.serves() || must_warm_up(context, instance),
                None => context.directory.is_absence_conclusive(context.now),
            };
            let over = shard.lease.is_over(self.protections, context.now);
            let lapsed = shard.lease.is_silent() && over;
            if lapsed {
                self.unreachable.note(owner, context.now);
            }
            if matches!(shard.state, State::Held) && (leaving || lapsed) {
                shard.state = State::Releasing {
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
    instance.is_cold(context.now)
        && is_bounded()
        && eligible_instances(context, service).any(is_warm)
}
