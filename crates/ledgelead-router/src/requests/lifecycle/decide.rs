//! Send, wait or refuse: the next step of a request without an attempt.

use super::{RequestContext, Requests};
use crate::Timestamp;
use crate::identity::InstanceId;
use crate::io::ClientId;
use crate::mechanisms::Mechanism;
use crate::protections::Protection;
use crate::requests::answers::Refusal;
use crate::requests::cold_start::ColdGate;
use crate::requests::open_request::OpenRequest;
use crate::requests::permits::PermitNeed;
use crate::requests::selection::{Selected, SelectionContext};
use rand::RngExt;
use std::net::SocketAddr;

/// Share of the time to the target that queue and work may be expected to take, where
/// digests tell the load. Work spreads by half of its mean, machines are slow for
/// moments, and a digest is old: more is likely to be late.
const ADMITTED_SHARE: f64 = 0.6;
/// Share of the drain bound after which a leaving owner gets nothing more,
/// counted from the earliest time at which it can have begun to leave. The rest
/// is for datagrams and requests on their way.
const DRAIN_SHARE: f64 = 0.7;

/// Share of the bound of evacuations, counted from when this node knows of one, for
/// which owners of keys are still used there: their keys move within one or two
/// seconds. The rest is for the way of an evacuation to this node.
const EVACUATION_SHARE: f64 = 0.5;

/// Most attempts of a request, also at one owner.
const MAX_ATTEMPTS: usize = 4;

/// What is done next with a request.
pub(super) enum Step {
    Send(Selected, SocketAddr),
    Wait {
        again: Option<Timestamp>,
        reason: Refusal,
    },
    Refuse(Refusal),
    /// Ask the queue's dispatcher for a permit.
    AskPermit(PermitNeed),
    /// Wait until it has decided, or until this time.
    AwaitPermit(Timestamp),
    /// Ask a limiter of the instance for a token.
    AskToken(InstanceId),
    /// Wait until it has decided, or until this time.
    AwaitToken(Timestamp),
}

impl Requests {
    pub(super) fn next_step(&mut self, client: ClientId, context: &RequestContext<'_>) -> Step {
        let Some(open) = self.open.get(&client) else {
            return Step::Refuse(Refusal::NoInstance);
        };
        if open.exhausted || self.is_repeat_too_risky(open, context) {
            return Step::Refuse(open.failure());
        }
        if self.is_held_back(open, context) {
            return Step::Refuse(open.failure_or(Refusal::Quarantined));
        }
        if !open.tried.is_empty() {
            let exhausted = open.tried.len() >= open.route.max_attempts as usize;
            if exhausted && open.key.is_none() || open.tried.len() >= MAX_ATTEMPTS {
                return Step::Refuse(open.failure());
            }
        }
        // By a list from before an instance began to leave it would still get work.
        if let Some(until) = context.unconfirmed_until {
            return Step::Wait {
                again: Some(until),
                reason: Refusal::NotConfigured,
            };
        }
        if let Some(step) = Requests::awaited_token(open, context.now) {
            return step;
        }
        let Some(key) = open.key else {
            return self.next_step_any(client, context);
        };
        if self.exceeds_admitted(client, key, context) {
            return Step::Refuse(Refusal::KeyOverloaded);
        }
        match self.open.get(&client) {
            Some(open) => self.next_step_keyed(open, key, context),
            None => Step::Refuse(Refusal::NoInstance),
        }
    }

    /// Whether a request that has just come is among those for its key that its
    /// owner can't work on.
    fn exceeds_admitted(
        &mut self,
        client: ClientId,
        key: u16,
        context: &RequestContext<'_>,
    ) -> bool {
        if !self.mechanisms.has(Mechanism::OverloadedKeys) {
            return false;
        }
        let Some(open) = self.open.get_mut(&client) else {
            return false;
        };
        if std::mem::replace(&mut open.passed_admission, true) {
            return false;
        }
        let admitted = context.overloads.admitted(&open.service, key, context.now);
        admitted.is_some_and(|share| self.rng.random_range(0.0..1.0) >= share)
    }

    pub(super) fn next_step_keyed(
        &self,
        open: &OpenRequest,
        key: u16,
        context: &RequestContext<'_>,
    ) -> Step {
        let wait = |reason: Refusal| Step::Wait {
            again: None,
            reason,
        };
        // Nobody is worth waiting for while no other owner can be written down.
        let wait_for_owner = |reason: Refusal| match context.keys_can_move {
            true => wait(reason),
            false => Step::Refuse(open.failure_or(reason)),
        };
        let Some(assignment) = context.ownership.find(&open.service, key) else {
            return wait_for_owner(Refusal::NoOwner);
        };
        let Some(owner) = context.directory.get(&assignment.owner) else {
            return wait_for_owner(Refusal::OwnerLeft);
        };
        let bounded = self.protections.has(Protection::DrainBound);
        let must_leave = self.drain_bound.mul_f64(DRAIN_SHARE);
        if owner.ended {
            return wait_for_owner(Refusal::OwnerLeft);
        }
        if owner
            .leaving_since()
            .is_some_and(|since| since + must_leave <= context.now && bounded)
        {
            return wait_for_owner(Refusal::OwnerLeft);
        }
        let must_be_empty = self.evacuation_bound.mul_f64(EVACUATION_SHARE);
        if owner
            .evacuated_since
            .is_some_and(|since| since + must_be_empty <= context.now)
        {
            return wait_for_owner(Refusal::OwnerLeft);
        }
        // The owner said so with another request's rejection. It means all requests of this
        // node, and sent all the same each would be rejected, up to four times.
        let paused = self
            .statistics
            .unavailable_for(&assignment.owner, context.now);
        if let Some(left) = paused {
            return self.step_in_backoff(open, left, context);
        }
        if let Some(misdirection) = &open.misdirection {
            let same = misdirection.fence == assignment.fence;
            if same && misdirection.again.is_none_or(|again| again > context.now) {
                return Step::Wait {
                    again: misdirection.again,
                    reason: Refusal::KeyMoving,
                };
            }
        }
        let seen = self.statistics.get(&assignment.owner);
        let ejects = self.mechanisms.has(Mechanism::Ejection);
        if let Some(seen) = seen.filter(|seen| ejects && seen.is_ejected(context.now)) {
            return Step::Wait {
                again: Some(seen.ejected_until()),
                reason: Refusal::OwnerFails,
            };
        }
        let left = open.time_left(context.now);
        let selection = self.selection(context);
        if !selection.cold.admits(owner, context.now) {
            return wait(Refusal::OwnerCold);
        }
        let selected = selection.expect_owner(owner, left);
        if let Some(step) = self.permit_step(open, PermitNeed::of_owner(owner), context) {
            return step;
        }
        if open.has_permit(&owner.record.id) {
            return Step::Send(selected, owner.record.address);
        }
        self.send_or_wait(open, selected, owner.record.address, context)
    }

    /// What is done with a request that an instance is selected for: it joins the queue
    /// there only if it is likely to be answered in time, and else waits a little for
    /// a slot. Where a digest tells the load, others may have taken the slot, so that
    /// less is admitted, and a late request only takes a free slot.
    fn send_or_wait(
        &self,
        open: &OpenRequest,
        selected: Selected,
        address: SocketAddr,
        context: &RequestContext<'_>,
    ) -> Step {
        let refuses = self.mechanisms.has(Mechanism::EarlyRefusal);
        let follows_digest = context.shared.follows_digest(context.now);
        let time = match follows_digest {
            true => {
                let to_target = open.target().saturating_sub(context.now);
                to_target.mul_f64(ADMITTED_SHARE)
            }
            false => open.time_left(context.now),
        };
        if !refuses || selected.load_factor <= 1.0 || selected.expected <= time {
            return Step::Send(selected, address);
        }
        Step::Wait {
            again: None,
            reason: open.failure_or(Refusal::Overloaded),
        }
    }

    /// The best instance for a request without a key.
    pub(super) fn select_any(
        &mut self,
        client: ClientId,
        context: &RequestContext<'_>,
    ) -> Option<Selected> {
        let open = self.open.get(&client)?;
        let left = open.time_left(context.now);
        // A selection borrows all that this node knows, and draws random numbers.
        let mut rng = self.rng.clone();
        let selection = self.selection(context);
        let selected = selection.select(&open.service, &open.tried, left, &mut rng);
        self.rng = rng;
        selected
    }

    pub(super) fn next_step_any(&mut self, client: ClientId, context: &RequestContext<'_>) -> Step {
        let open = self.open.get(&client);
        if let Some(step) = open.and_then(|open| self.held_token_step(open, context)) {
            return step;
        }
        if let Some(step) = self.pool_step(client, context) {
            return step;
        }
        let selected = self.select_any(client, context);
        let Some(open) = self.open.get(&client) else {
            return Step::Refuse(Refusal::NoInstance);
        };
        let Some(selected) = selected else {
            if let Some(left) = self.backoff_of(&open.service, None, context) {
                return self.step_in_backoff(open, left, context);
            }
            return Step::Wait {
                again: None,
                reason: open.failure_or(Refusal::NoInstance),
            };
        };
        match context.directory.get(&selected.id) {
            Some(instance) => self.send_or_wait(open, selected, instance.record.address, context),
            None => Step::Refuse(Refusal::NoInstance),
        }
    }

    /// What selections of this moment rest on.
    pub(super) fn selection<'a>(&'a self, context: &'a RequestContext<'_>) -> SelectionContext<'a> {
        SelectionContext {
            now: context.now,
            directory: context.directory,
            statistics: &self.statistics,
            shared: context.shared,
            zone: &self.zone,
            zones: context.registry.zones(),
            cold: ColdGate {
                bound: self.cold_bound,
                configuration: context.configuration,
                registry: context.registry,
                node: context.node,
                sends: &self.cold_sends,
            },
            mechanisms: self.mechanisms,
        }
    }
}
