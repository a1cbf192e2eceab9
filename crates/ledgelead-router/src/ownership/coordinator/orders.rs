//! Orders to instances, and their outcomes.

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

/// Maximum number of unanswered orders. After a takeover the coordinator grants all ranges
/// again; thousands of grants sent at once would wait for the processor beyond the timeout of
/// a single grant.
const MAX_PENDING_ORDERS: usize = 256;
/// Interval between two reviews of all owners without a change of the directory. Conditions
/// that depend on time alone, such as the end of a warm-up, are noticed with this delay.
const OWNER_REVIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Renewals per second up to which every range is renewed at the shortest interval. Each
/// renewal is an exchange with an instance, and the coordinator may have only a part of a
/// core.
const RENEWALS_PER_S: u32 = 1_000;

impl Coordinator {
    /// Releases shards that have to move, or waits until their lease expires.
    ///
    /// A release is sent only when no grant of this range is in transit, and after the owner
    /// has answered a grant of this epoch. Otherwise a grant of this or of an earlier
    /// coordinator could arrive after the release and take the keys again. The same holds for
    /// unanswered grants, so after one the owner first gets a higher token.
    pub(super) fn send_releases(&mut self, context: &mut Context<'_>, commands: &mut Commands) {
        for (index, shard) in self.shards.iter_mut().enumerate() {
            let State::Releasing {
                target,
                order,
                next_attempt,
            } = &mut shard.state
            else {
                continue;
            };
            if shard.lease.has_expired(self.protections, context.now) {
                self.counters.lapses += 1;
                shard.state = State::Free {
                    target: target.take(),
                    handover: None,
                };
                continue;
            }
            let reachable = shard.lease.fenced && shard.lease.order.is_none();
            if order.is_some() || *next_attempt > context.now || !reachable {
                continue;
            }
            if !context.store_serves {
                // The next owner could not be recorded.
                *next_attempt = context.now + RELEASE_RETRY;
                continue;
            }
            let Some(instance) = shard
                .owner
                .as_ref()
                .and_then(|id| context.directory.get_unless_superseded(id))
            else {
                *next_attempt = shard.lease.possible_until;
                continue;
            };
            if shard.lease.needs_new_token() {
                shard.raise_token(&mut self.next_fence, context.now);
                continue;
            }
            let exchange = context.exchanges.next_id();
            *order = Some(exchange);
            self.pending_orders.insert(exchange, index);
            // The token of the next owner, or a lower one. An instance may reject earlier
            // grants of this range from then on, but need not.
            let fence = self.next_fence;
            commands.orders.push(OutgoingOrder {
                exchange,
                instance: instance.record.id.clone(),
                address: instance.record.address,
                order: Order::Release {
                    range: shard.range,
                    fence,
                },
                is_first_grant: false,
            });
        }
    }

    /// Sends due grants and renewals, longest overdue first. A range that is to be released is
    /// granted only until its owner has answered this coordinator once.
    pub(super) fn send_grants(&mut self, context: &mut Context<'_>, commands: &mut Commands) {
        for index in self.due_grants(context.now) {
            if self.shards[index].lease.needs_token_to_expire() {
                self.shards[index].raise_token(&mut self.next_fence, context.now);
            }
            if !self.is_token_recorded(&self.shards[index]) {
                continue;
            }
            let shard = &mut self.shards[index];
            let Some(hold) = shard.lease.next_hold(context.now) else {
                continue;
            };
            let instance = shard
                .owner
                .as_ref()
                .and_then(|id| context.directory.get_unless_superseded(id));
            let Some(instance) = instance else {
                shard.lease.record_grant_unanswered(false, context.now);
                continue;
            };
            let exchange = context.exchanges.next_id();
            shard.lease.record_grant_sent(exchange);
            self.pending_orders.insert(exchange, index);
            commands.orders.push(OutgoingOrder {
                exchange,
                instance: instance.record.id.clone(),
                address: instance.record.address,
                order: Order::Grant {
                    range: shard.range,
                    fence: shard.fence,
                    hold,
                    handover: shard.lease.handover.clone(),
                },
                is_first_grant: !shard.lease.fenced,
            });
        }
    }

    /// Indices of shards whose grants are due, limited to `MAX_PENDING_ORDERS` unanswered
    /// orders.
    fn due_grants(&self, now: Timestamp) -> Vec<usize> {
        let is_due = |shard: &Shard| {
            let wanted = match &shard.state {
                _ if shard.lease.grace_period.is_some() => false,
                _ if shard.lease.next_hold(now).is_none() => false,
                State::Held => true,
                State::Releasing { order, .. } => order.is_none() && !shard.lease.fenced,
                State::Free { .. } | State::Assigning { .. } => false,
            };
            let is_allowed = shard.lease.order.is_none() && self.is_token_recorded(shard);
            wanted && is_allowed && shard.lease.next_grant <= now
        };
        let indices = 0..self.shards.len();
        let mut due: Vec<usize> = indices
            .filter(|index| is_due(&self.shards[*index]))
            .collect();
        let room = MAX_PENDING_ORDERS.saturating_sub(self.pending_orders.len());
        if due.len() > room {
            due.sort_by_key(|index| self.shards[*index].lease.next_grant);
            due.truncate(room);
        }
        due
    }

    /// Interval between two grants of a range; longer if there are many ranges.
    fn renewal_interval(&self) -> Duration {
        let ranges = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1).saturating_mul(ranges) / RENEWALS_PER_S;
        interval.clamp(RENEWAL_INTERVAL, MAX_RENEWAL_INTERVAL)
    }

    /// Handles the outcome of an order.
    pub fn order_ended(
        &mut self,
        exchange: ExchangeId,
        result: Result<OrderAnswer, ExchangeFailure>,
        now: Timestamp,
    ) {
        self.order_ended_in_transit(exchange, result, Duration::ZERO, now);
    }

    /// The order was sent by way of several peers in turn, the next one in another exchange.
    pub fn order_resent(&mut self, earlier: ExchangeId, again: ExchangeId) {
        let Some(index) = self.pending_orders.remove(&earlier) else {
            return;
        };
        self.pending_orders.insert(again, index);
        if let Some(shard) = self.shards.get_mut(index) {
            shard.replace_order(earlier, again);
        }
    }

    /// An order was not sent, for a reason that has nothing to do with its instance.
    pub fn order_postponed(&mut self, exchange: ExchangeId, now: Timestamp) {
        let index = self.pending_orders.remove(&exchange);
        if let Some(shard) = index.and_then(|index| self.shards.get_mut(index)) {
            shard.postpone_order(exchange, now);
        }
    }

    /// Handles the outcome of an order that, without an answer, may still arrive within
    /// `transit`.
    pub fn order_ended_in_transit(
        &mut self,
        exchange: ExchangeId,
        result: Result<OrderAnswer, ExchangeFailure>,
        transit: Duration,
        now: Timestamp,
    ) {
        let interval = self.renewal_interval();
        let index = self.pending_orders.remove(&exchange);
        let Some(shard) = index.and_then(|index| self.shards.get_mut(index)) else {
            return;
        };
        if shard.lease.order == Some(exchange) {
            let may_arrive = result
                .as_ref()
                .is_err_and(|failure| !failure.proves_not_sent());
            shard.grant_ended(result, interval, now, &mut self.counters);
            if may_arrive {
                shard.lease.extend_for_transit(transit, now);
            }
        } else if shard.release_order() == Some(exchange) {
            shard.release_ended(result, now, &mut self.counters);
        }
        // Otherwise the lease of the order's receiver has expired meanwhile: the range may be
        // another owner's by now.
    }

    /// Releases the keys of owners that leave, are gone or have become unresponsive. All
    /// owners are reviewed after a change of the directory and at intervals; with thousands of
    /// owners a review takes milliseconds.
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
            if !reviews_all && !shard.lease.is_unresponsive() {
                continue;
            }
            if let Some(later) = context.directory.later_incarnation(owner) {
                if shard.has_pending_order() {
                    // Review again as soon as that order has ended.
                    self.owners_reviewed = None;
                }
                let later = later.serves().then(|| later.record.id.clone());
                shard.hand_to_later_incarnation(later, context.now);
                continue;
            }
            if context.directory.has_ended(owner) {
                shard.lease.record_owner_ended(context.now);
            }
            let leaving = match context.directory.get(owner) {
                Some(instance) => !instance.serves() || must_warm_up(context, instance),
                None => context.directory.is_absence_conclusive(context.now),
            };
            let is_expired = shard.lease.has_expired(self.protections, context.now);
            // A coordinator without a path to any instance can't tell who is gone, and could
            // grant the keys to nobody else.
            let lapsed = shard.lease.is_unresponsive() && is_expired && !context.is_cut_off;
            if lapsed {
                self.unreachable.record(owner, context.now);
            }
            if matches!(shard.state, State::Held) && (leaving || lapsed) {
                shard.state = State::Releasing {
                    target: None,
                    order: None,
                    next_attempt: context.now,
                };
            }
        }
    }
}

/// Whether an owner is cold again and cannot process the requests for its keys, while there
/// are warm instances.
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
