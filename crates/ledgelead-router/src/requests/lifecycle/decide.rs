//! Chooses the next step of a request without an attempt in flight: send, wait or refuse.

use super::forwarding::MAX_UNSENT;
use super::{RequestContext, Requests};
use crate::Timestamp;
use crate::directory::Instance;
use crate::identity::InstanceId;
use crate::io::ClientId;
use crate::mechanisms::Mechanism;
use crate::protections::Protection;
use crate::reachability::Path;
use crate::requests::answers::Refusal;
use crate::requests::cold_start::ColdGate;
use crate::requests::open_request::OpenRequest;
use crate::requests::permits::PermitNeed;
use crate::requests::selection::{Selected, SelectionContext};
use rand::RngExt;
use std::net::SocketAddr;

/// Share of the time left until the target latency that queueing and service may be expected
/// to take when load is known from digests. Service times vary by half of their mean, machines
/// have slow moments, and a digest is out of date when it is used, so a higher share makes
/// more responses late.
const ADMITTED_SHARE: f64 = 0.6;
/// Share of the drain bound after which a leaving owner receives no more requests, counted
/// from the earliest time at which it can have begun to leave. The remainder covers datagrams
/// and requests in flight.
const DRAIN_SHARE: f64 = 0.7;

/// Share of the evacuation bound for which owners of keys in an evacuated zone are still used,
/// counted from when this node learns of the evacuation. Their keys move within one or two
/// seconds. The remainder covers the propagation of the evacuation to this node.
const EVACUATION_SHARE: f64 = 0.5;

/// Maximum number of attempts for a request, including those at the same owner.
const MAX_ATTEMPTS: usize = 4;

/// Next step of a request.
pub(super) enum Step {
    Send(Selected, SocketAddr),
    Wait {
        retry_at: Option<Timestamp>,
        reason: Refusal,
    },
    Refuse(Refusal),
    /// Request a permit from the queue's dispatcher.
    RequestPermit(PermitNeed),
    /// Wait for the dispatcher's decision until this time at the latest.
    AwaitPermit(Timestamp),
    /// Request a token from a limiter of the instance.
    RequestToken(InstanceId),
    /// Wait for the limiter's decision until this time at the latest.
    AwaitToken(Timestamp),
}

impl Requests {
    pub(super) fn next_step(&mut self, client: ClientId, context: &RequestContext<'_>) -> Step {
        let Some(open) = self.open.get(&client) else {
            return Step::Refuse(Refusal::NoInstance);
        };
        if open.exhausted || self.is_retry_too_risky(open, context) {
            return Step::Refuse(Refusal::Rejected);
        }
        if let Some(reason) = self.held_back(client, open, context) {
            return Step::Refuse(reason);
        }
        if open.unsent >= MAX_UNSENT {
            return Step::Refuse(Refusal::Unreachable);
        }
        if !open.tried.is_empty() {
            let exhausted = open.tried.len() >= open.route.max_attempts as usize;
            if exhausted && open.key.is_none() || open.tried.len() >= MAX_ATTEMPTS {
                return Step::Refuse(Refusal::Rejected);
            }
        }
        // The first list of instances may predate an instance's leaving, and a leaving
        // instance must not get new work.
        if let Some(until) = context.unconfirmed_until {
            return Step::Wait {
                retry_at: Some(until),
                reason: Refusal::NotConfigured,
            };
        }
        if let Some(step) = Requests::awaited_token(open, context.now) {
            return step;
        }
        let Some(key) = open.key else {
            return self.next_step_unkeyed(client, context);
        };
        if self.exceeds_admitted(client, key, context) {
            return Step::Refuse(Refusal::KeyOverloaded);
        }
        match self.open.get(&client) {
            Some(open) => self.next_step_keyed(open, key, context),
            None => Step::Refuse(Refusal::NoInstance),
        }
    }

    /// Whether a new request belongs to the part of its key's requests that exceeds the
    /// capacity of the key's owner.
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
        if std::mem::replace(&mut open.admission_checked, true) {
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
            retry_at: None,
            reason,
        };
        // Waiting for a new owner is useless while a change of ownership can't be stored.
        let wait_for_owner = |reason: Refusal| match context.keys_can_move {
            true => wait(reason),
            false => Step::Refuse(reason),
        };
        let Some(assignment) = context.ownership.find(&open.service, key) else {
            return wait_for_owner(Refusal::NoOwner);
        };
        if context.owners_outdated {
            return wait_for_owner(Refusal::OwnersOutdated);
        }
        let Some(owner) = context.directory.get(&assignment.owner) else {
            return wait_for_owner(Refusal::OwnerLeft);
        };
        if owner.ended || self.has_drained(owner, context.now) {
            return wait_for_owner(Refusal::OwnerLeft);
        }
        let evacuation_cutoff = self.evacuation_bound.mul_f64(EVACUATION_SHARE);
        if owner
            .evacuated_since
            .is_some_and(|since| since + evacuation_cutoff <= context.now)
        {
            return wait_for_owner(Refusal::OwnerLeft);
        }
        // The owner requested the pause when it rejected another request. The pause applies to
        // all requests of this node; sent anyway, each would be rejected up to four times.
        let paused = self
            .statistics
            .unavailable_for(&assignment.owner, context.now);
        if let Some(left) = paused {
            return self.step_in_backoff(open, left, context);
        }
        if context.reachability.path(&assignment.owner, context.now) == Path::Unreachable {
            return Step::Refuse(Refusal::Unreachable);
        }
        if let Some(misdirection) = &open.misdirection {
            let same = misdirection.fence == assignment.fence;
            if same
                && misdirection
                    .retry_at
                    .is_none_or(|retry_at| retry_at > context.now)
            {
                return Step::Wait {
                    retry_at: misdirection.retry_at,
                    reason: Refusal::KeyMoving,
                };
            }
        }
        let stats = self.statistics.get(&assignment.owner);
        let ejects = self.mechanisms.has(Mechanism::Ejection);
        if let Some(stats) = stats.filter(|stats| ejects && stats.is_ejected(context.now)) {
            return Step::Wait {
                retry_at: Some(stats.ejected_until()),
                reason: Refusal::OwnerFails,
            };
        }
        let left = open.time_left(context.now);
        let selection = self.selection(context);
        if !selection.cold.admits(owner, context.now) {
            return wait(Refusal::OwnerCold);
        }
        let selected = selection.estimate_owner(owner, left);
        if let Some(step) = self.permit_step(open, PermitNeed::of_owner(owner), context) {
            return step;
        }
        if open.has_permit(&owner.record.id) {
            return Step::Send(selected, owner.record.address);
        }
        self.send_or_wait(open, selected, owner.record.address, context)
    }

    /// Whether an instance has been leaving for so long that it gets no more requests.
    pub fn has_drained(&self, instance: &Instance, now: Timestamp) -> bool {
        let cutoff = self.drain_bound.mul_f64(DRAIN_SHARE);
        let since = instance.leaving_since();
        let is_bounded = self.protections.has(Protection::DrainBound);
        is_bounded && since.is_some_and(|since| since + cutoff <= now)
    }

    /// Sends a request to the selected instance if it is likely to be answered in time there,
    /// and otherwise waits a short time for a slot. When load is known from a digest, other
    /// nodes may have taken the slot since, so fewer requests are admitted, and a request past
    /// its target only takes a free slot.
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
            retry_at: None,
            reason: Refusal::Overloaded,
        }
    }

    /// Selects the best instance for a request without a key.
    pub(super) fn select_instance(
        &mut self,
        client: ClientId,
        context: &RequestContext<'_>,
    ) -> Option<Selected> {
        self.counters.selections += 1;
        let open = self.open.get(&client)?;
        let left = open.time_left(context.now);
        // The selection borrows `self` and draws random numbers, so it works on a copy of the
        // generator.
        let mut rng = self.rng.clone();
        let selection = self.selection(context);
        let selected = selection.select(&open.service, &open.tried, left, &mut rng);
        self.rng = rng;
        selected
    }

    pub(super) fn next_step_unkeyed(
        &mut self,
        client: ClientId,
        context: &RequestContext<'_>,
    ) -> Step {
        let open = self.open.get(&client);
        if let Some(step) = open.and_then(|open| self.held_token_step(open, context)) {
            return step;
        }
        if let Some(step) = self.pool_step(client, context) {
            return step;
        }
        let selected = self.select_instance(client, context);
        let Some(open) = self.open.get(&client) else {
            return Step::Refuse(Refusal::NoInstance);
        };
        let Some(selected) = selected else {
            if let Some(left) = self.backoff_of(&open.service, None, context) {
                return self.step_in_backoff(open, left, context);
            }
            if self.is_cut_off(client, context) {
                return Step::Refuse(Refusal::Unreachable);
            }
            return Step::Wait {
                retry_at: None,
                reason: Refusal::NoInstance,
            };
        };
        match context.directory.get(&selected.id) {
            Some(instance) => self.send_or_wait(open, selected, instance.record.address, context),
            None => Step::Refuse(Refusal::NoInstance),
        }
    }

    /// Inputs of a selection at this time.
    pub(super) fn selection<'a>(&'a self, context: &'a RequestContext<'_>) -> SelectionContext<'a> {
        SelectionContext {
            now: context.now,
            directory: context.directory,
            statistics: &self.statistics,
            shared: context.shared,
            reachability: context.reachability,
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
