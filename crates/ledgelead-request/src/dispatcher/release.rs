//! Permits in use: release, checks and loss.
//!
//! A release is sent once and may be lost. The dispatcher therefore checks permits that are
//! in use for longer than usual, so that a lost release occupies a slot only for a short
//! time. If the gateway does not reply, the permit ends without it.

use super::idempotency::owner_of;
use super::queue::QueueKey;
use super::{Dispatcher, PermitKey, TimerKey};
use crate::message::{DispatchReply, PermitEnd, Release};
use ledgelead_types::dispatch::IdempotencyState;
use ledgelead_types::{GroupId, IdempotencyKey, NodeId, ServerId, Span, Time};

/// Minimum time before a permit is checked, and the time in mean service times.
const MIN_CHECK_INTERVAL: Span = Span::from_millis(200);
const CHECK_SERVICE_TIMES: f64 = 4.0;

/// Unanswered checks after which the gateway is considered gone.
const MAX_UNANSWERED_CHECKS: u8 = 5;

/// How long a permit remains valid after the request's deadline.
const PERMIT_MARGIN: Span = Span::from_millis(500);

/// Service time assumed before any was measured.
const ASSUMED_SERVICE_TIME: Span = Span::from_millis(20);

/// A permit in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Permit {
    pub(super) server: ServerId,
    pub(super) waited: Span,
    pub(super) deadline: Time,
    /// Group and key of the request's idempotency record.
    pub(super) idempotency_record: Option<(GroupId, IdempotencyKey)>,
    pub(super) unanswered_checks: u8,
}

impl Dispatcher {
    /// Handles a returned permit. The release of a permit request that is still waiting
    /// withdraws it.
    pub(super) fn release(&mut self, now: Time, key: PermitKey, release: Release) {
        let Some(permit) = self.permits.remove(&key) else {
            self.withdraw(now, key);
            return;
        };
        self.timers.clear(TimerKey::Permit(key));
        self.observe(now, permit.server, &release);
        if release.end == PermitEnd::Lost {
            self.linger(now, key, &permit);
        } else {
            self.free(now, permit.server);
        }
    }

    /// The gateway no longer needs a permit for the attempt.
    pub(super) fn withdraw(&mut self, now: Time, key: PermitKey) {
        self.take_waiting(key);
        self.forget_pending_record(key);
        if let Some(permit) = self.permits.remove(&key) {
            self.timers.clear(TimerKey::Permit(key));
            self.free(now, permit.server);
        }
    }

    fn free(&mut self, now: Time, server: ServerId) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        state.count_return();
        let group = state.settings.group;
        self.grant_waiting_of_server(now, server, group);
    }

    /// Grants permits from every queue that the server serves.
    pub(super) fn grant_waiting_of_server(&mut self, now: Time, server: ServerId, group: GroupId) {
        for queue in [QueueKey::Server(server), QueueKey::Pool(group)] {
            if self.queues.contains_key(&queue) {
                self.grant_waiting(now, queue);
            }
        }
    }

    fn observe(&mut self, now: Time, server: ServerId, release: &Release) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let should_eject = state.observe(release.end, release.service_time);
        let group = state.settings.group;
        if should_eject
            && self.may_eject_another(now, group)
            && let Some(state) = self.servers.get_mut(&server)
        {
            state.eject(now);
        }
    }

    /// At most a third of a group's servers here are ejected at the same time, so that a
    /// fault common to all of them does not take the whole service down.
    fn may_eject_another(&self, now: Time, group: GroupId) -> bool {
        let servers = self.pools.get(&group).map_or(0, Vec::len);
        let ejected = self
            .servers_of(QueueKey::Pool(group))
            .filter(|state| state.ejected_until(now).is_some())
            .count();
        (ejected + 1) * 3 <= servers
    }

    /// Keeps the slot of a lost attempt occupied for one service time, because the server
    /// may still be processing it.
    fn linger(&mut self, now: Time, key: PermitKey, permit: &Permit) {
        let service = self.service_time(permit.server);
        let until = (now + service).min(permit.deadline.max(now));
        self.lingering.insert(key, permit.server);
        self.timers.set(TimerKey::Linger(key), until);
    }

    pub(super) fn end_linger(&mut self, now: Time, key: PermitKey) {
        if let Some(server) = self.lingering.remove(&key) {
            self.free(now, server);
        }
    }

    fn service_time(&self, server: ServerId) -> Span {
        self.servers
            .get(&server)
            .map_or(ASSUMED_SERVICE_TIME, |state| {
                state.service_time.or(ASSUMED_SERVICE_TIME)
            })
    }

    pub(super) fn schedule_check(&mut self, now: Time, key: PermitKey, server: ServerId) {
        let interval = self
            .service_time(server)
            .times(CHECK_SERVICE_TIMES)
            .max(MIN_CHECK_INTERVAL);
        self.timers.set(TimerKey::Permit(key), now + interval);
    }

    /// Checks a permit that has been in use for long, or ends it.
    pub(super) fn check_permit(&mut self, now: Time, key: PermitKey) {
        let Some(permit) = self.permits.get_mut(&key) else {
            return;
        };
        let expired = now >= permit.deadline + PERMIT_MARGIN;
        if expired || permit.unanswered_checks >= MAX_UNANSWERED_CHECKS {
            let permit = *permit;
            self.permits.remove(&key);
            self.linger(now, key, &permit);
            return;
        }
        permit.unanswered_checks += 1;
        let server = permit.server;
        self.reply(
            key.gateway,
            DispatchReply::CheckPermit {
                gateway: key.gateway.incarnation,
                attempt: key.attempt,
            },
        );
        self.schedule_check(now, key, server);
    }

    /// The gateway confirms that the permit is in use.
    pub(super) fn confirm_permit(&mut self, key: PermitKey) {
        if let Some(permit) = self.permits.get_mut(&key) {
            permit.unanswered_checks = 0;
        }
    }

    /// Frees what a lost node's gateway holds. Its requests with idempotency keys end as
    /// unknown: the node may still be running behind a network partition and hold a permit
    /// of another dispatcher, so only the gateway itself can report "not run".
    pub(super) fn gateway_lost(&mut self, now: Time, node: NodeId) {
        let of_node = |key: &PermitKey| key.gateway.node == node;
        let waiting: Vec<PermitKey> = self.waiting.keys().copied().filter(of_node).collect();
        for key in waiting {
            let acquire = self.waiting.get(&key).map(|waiting| waiting.acquire);
            let idempotency_record =
                acquire.and_then(|acquire| Some((acquire.group, acquire.idempotency_key?)));
            self.take_waiting(key);
            self.end_as_unknown(key, idempotency_record);
        }
        let permits: Vec<PermitKey> = self.permits.keys().copied().filter(of_node).collect();
        for key in permits {
            if let Some(permit) = self.permits.remove(&key) {
                self.timers.clear(TimerKey::Permit(key));
                self.linger(now, key, &permit);
                self.end_as_unknown(key, permit.idempotency_record);
            }
        }
        self.forget_pending_records_of(node);
    }

    pub(super) fn end_as_unknown(
        &mut self,
        key: PermitKey,
        idempotency_record: Option<(GroupId, IdempotencyKey)>,
    ) {
        if let Some((group, idempotency_key)) = idempotency_record {
            let state = Some(IdempotencyState::Unknown);
            self.output_end_record(owner_of(key), group, idempotency_key, state);
        }
    }
}
