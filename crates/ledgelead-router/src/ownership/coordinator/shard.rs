//! A range of keys and the state of its ownership.

use super::OwnershipCounters;
use crate::Timestamp;
use crate::dialect::{KeyRange, OrderAnswer};
use crate::identity::{InstanceId, ServiceName};
use crate::io::{ExchangeFailure, ExchangeId};
use crate::ownership::lease::Lease;
use crate::ownership::record::Assignment;
use std::time::Duration;

/// Delay before an unanswered release is repeated.
pub(super) const RELEASE_RETRY: Duration = Duration::from_millis(300);

#[derive(Clone, Debug)]
pub(super) enum State {
    /// The owner holds the keys, or is being granted them.
    Held,
    /// The owner is asked to give the keys back.
    Releasing {
        target: Option<InstanceId>,
        order: Option<ExchangeId>,
        next_attempt: Timestamp,
    },
    /// No instance holds the keys.
    Free {
        target: Option<InstanceId>,
        handover: Option<String>,
    },
    /// The next owner is being written to the record.
    Assigning {
        owner: InstanceId,
        fence: u64,
        handover: Option<String>,
    },
}

/// A range of keys and the state of its ownership.
#[derive(Clone, Debug)]
pub(super) struct Shard {
    pub(super) service: ServiceName,
    pub(super) range: KeyRange,
    pub(super) owner: Option<InstanceId>,
    pub(super) fence: u64,
    pub(super) lease: Lease,
    pub(super) state: State,
}

impl Shard {
    pub(super) fn release_order(&self) -> Option<ExchangeId> {
        match &self.state {
            State::Releasing { order, .. } => *order,
            _ => None,
        }
    }

    /// The order is now sent in another exchange.
    pub(super) fn replace_order(&mut self, earlier: ExchangeId, again: ExchangeId) {
        if self.lease.order == Some(earlier) {
            self.lease.order = Some(again);
        }
        if let State::Releasing { order, .. } = &mut self.state
            && *order == Some(earlier)
        {
            *order = Some(again);
        }
    }

    /// The order was not sent; it is due again later.
    pub(super) fn postpone_order(&mut self, exchange: ExchangeId, now: Timestamp) {
        if self.lease.order == Some(exchange) {
            self.lease.postpone_grant(now);
        }
        if let State::Releasing {
            order,
            next_attempt,
            ..
        } = &mut self.state
            && *order == Some(exchange)
        {
            *order = None;
            *next_attempt = now + RELEASE_RETRY;
        }
    }

    /// Whether an order to the owner has no answer yet.
    pub(super) fn has_pending_order(&self) -> bool {
        self.lease.order.is_some() || self.release_order().is_some()
    }

    /// The owner after the current move, if decided.
    pub(super) fn next_owner(&self) -> Option<&InstanceId> {
        match &self.state {
            State::Held => (!self.lease.fenced)
                .then_some(self.owner.as_ref())
                .flatten(),
            State::Releasing { target, .. } | State::Free { target, .. } => target.as_ref(),
            State::Assigning { owner, .. } => Some(owner),
        }
    }

    pub(super) fn projected_assignment(&self) -> Option<Assignment> {
        let (owner, fence) = match &self.state {
            State::Assigning { owner, fence, .. } => (owner.clone(), *fence),
            _ => (self.owner.clone()?, self.fence),
        };
        Some(Assignment {
            service: self.service.clone(),
            first: self.range.first,
            last: self.range.last,
            owner,
            fence,
        })
    }

    /// The owner has restarted under its name. The later incarnation may have received any
    /// grant that was meant for the earlier one, including answered ones. So the lease stays
    /// in effect, except for the later incarnation itself: it can get the keys with a higher
    /// token at once, and then rejects the earlier grants.
    pub(super) fn hand_to_later_incarnation(&mut self, later: Option<InstanceId>, now: Timestamp) {
        if self.has_pending_order() {
            return;
        }
        match (&self.state, later) {
            (State::Held | State::Releasing { .. }, Some(later)) => {
                self.state = State::Free {
                    target: Some(later),
                    handover: None,
                };
            }
            (State::Held, None) => {
                self.state = State::Releasing {
                    target: None,
                    order: None,
                    next_attempt: now,
                };
            }
            _ => {}
        }
    }

    /// Takes the next token for this range.
    pub(super) fn raise_token(&mut self, next_fence: &mut u64, now: Timestamp) {
        self.fence = *next_fence;
        *next_fence += 1;
        self.lease.record_new_token(now);
    }

    /// Grants the keys to nobody before this time, whoever holds them.
    pub(super) fn block_until(&mut self, until: Timestamp) {
        self.lease = Lease::given_up(until);
        self.state = State::Releasing {
            target: self.owner.clone(),
            order: None,
            next_attempt: until,
        };
    }

    /// The lease of the next owner, once the record names it. Nodes may have confirmed the
    /// former one until `confirmed_until`; none if nobody waits for them.
    pub(super) fn next_lease(
        &self,
        next: &InstanceId,
        handover: Option<String>,
        confirmed_until: Option<Timestamp>,
        now: Timestamp,
    ) -> Lease {
        let mut fresh = Lease {
            grace_period: self.lease.grace_period,
            ..Lease::fresh(now, handover)
        };
        let shares_name = |owner: &InstanceId| owner.shares_name(next);
        if !self.owner.as_ref().is_some_and(shares_name) {
            if let Some(until) = confirmed_until.filter(|_| self.lease.may_hold_again()) {
                fresh.begin_grace_period(until);
            }
            return fresh;
        }
        // It may hold the keys by earlier orders, also by those to an earlier incarnation.
        Lease {
            possible_until: self.lease.possible_until.max(now),
            earlier_may_revive: self.lease.may_hold_again(),
            ..fresh
        }
    }

    /// Handles the outcome of a grant. An answered one is renewed after `renewed_after`.
    pub(super) fn grant_ended(
        &mut self,
        result: Result<OrderAnswer, ExchangeFailure>,
        renewed_after: Duration,
        now: Timestamp,
        counters: &mut OwnershipCounters,
    ) {
        match result {
            Ok(OrderAnswer::Done { .. }) => {
                counters.grants += 1;
                self.lease.record_grant_answered(renewed_after, now);
            }
            Ok(OrderAnswer::Fenced) => {
                // Never repeated with this token: the range gets a higher one, if this node is
                // still the coordinator.
                self.lease.record_grant_unanswered(false, now);
                self.state = State::Free {
                    target: self.owner.clone(),
                    handover: None,
                };
            }
            Ok(OrderAnswer::OtherInstance) => {
                self.lease.record_other_instance(now);
            }
            Ok(OrderAnswer::Refused) => {
                counters.grants_unanswered += 1;
                self.lease.record_grant_unanswered(false, now);
            }
            Err(failure) => {
                counters.grants_unanswered += 1;
                self.lease
                    .record_grant_unanswered(!failure.proves_not_sent(), now);
            }
        }
    }

    pub(super) fn release_ended(
        &mut self,
        result: Result<OrderAnswer, ExchangeFailure>,
        now: Timestamp,
        counters: &mut OwnershipCounters,
    ) {
        let State::Releasing {
            target,
            order,
            next_attempt,
        } = &mut self.state
        else {
            return;
        };
        *order = None;
        let handover = match result {
            Ok(OrderAnswer::Done { handover }) if self.lease.may_be_revived => {
                // The owner responds again, so it can get a higher token before the release
                // that is final.
                self.lease.record_response();
                self.lease.handover = handover;
                *next_attempt = now;
                return;
            }
            Ok(OrderAnswer::Done { handover }) => handover,
            Ok(OrderAnswer::OtherInstance) => {
                self.lease.record_owner_ended(now);
                None
            }
            Ok(OrderAnswer::Fenced | OrderAnswer::Refused) | Err(_) => {
                *next_attempt = now + RELEASE_RETRY;
                return;
            }
        };
        counters.releases += 1;
        self.lease.possible_until = now;
        self.state = State::Free {
            target: target.take(),
            handover,
        };
    }
}
