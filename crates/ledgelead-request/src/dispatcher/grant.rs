//! Grants free slots to the waiting permit requests in fair order.

use super::admission::{NO_SERVER_RETRY_AFTER, UNUSABLE_TIMEOUT};
use super::queue::{QueueKey, Waiting};
use super::release::Permit;
use super::server::ServerState;
use super::{Dispatcher, PermitKey, TimerKey};
use crate::message::ServerSelector;
use ledgelead_types::protections::Protection;
use ledgelead_types::{NotRunReason, ServerId, Span, Time};

/// How often a non-empty queue is checked again, because leases, drains, ejections and the
/// reduced limits after a takeover end by time alone.
const QUEUE_RECHECK: Span = Span::from_millis(100);

impl Dispatcher {
    /// Grants as many permits as possible.
    pub(super) fn grant_waiting(&mut self, now: Time, queue: QueueKey) {
        self.grant_all(now, queue);
        let waits = self
            .queues
            .get(&queue)
            .is_some_and(|queue| !queue.fair.is_empty());
        if !waits {
            self.timers.clear(TimerKey::Queue(queue));
            return;
        }
        let unusable_since = self.refresh_usability(now, queue);
        if unusable_since.is_some_and(|since| now >= since + UNUSABLE_TIMEOUT) {
            self.refuse_all(queue, NotRunReason::NoServer);
            return;
        }
        self.timers.set(TimerKey::Queue(queue), now + QUEUE_RECHECK);
    }

    fn grant_all(&mut self, now: Time, queue_key: QueueKey) {
        let slot_time = self.capacity(now, queue_key).slot_time();
        loop {
            let Some(server) = self.choose_server(now, queue_key, None) else {
                return;
            };
            let Some(queue) = self.queues.get_mut(&queue_key) else {
                return;
            };
            let Some(key) = queue.fair.pop(&self.shares) else {
                return;
            };
            self.timers.clear(TimerKey::Waiting(key));
            let Some(waiting) = self.waiting.remove(&key) else {
                continue;
            };
            if waiting.deadline <= now {
                queue.fair.refund(waiting.acquire.tier, &self.shares);
                self.refuse(key, NotRunReason::DeadlineTooClose, NO_SERVER_RETRY_AFTER);
                continue;
            }
            let waited = now.since(waiting.arrived);
            queue.record_wait(now, waiting.acquire.tier, waited, slot_time);
            let server = self.prefer_untried(now, &waiting, server);
            self.grant(now, key, &waiting, server);
        }
    }

    /// Prefers a server that the request has not tried yet.
    fn prefer_untried(&self, now: Time, waiting: &Waiting, chosen: ServerId) -> ServerId {
        match waiting.acquire.selector {
            ServerSelector::Any { avoid: Some(tried) } if tried == chosen => self
                .choose_server(now, waiting.queue, Some(tried))
                .unwrap_or(chosen),
            _ => chosen,
        }
    }

    /// The preferred server with a free permit, if any.
    fn choose_server(
        &self,
        now: Time,
        queue: QueueKey,
        avoid: Option<ServerId>,
    ) -> Option<ServerId> {
        self.servers_of(queue)
            .filter(|state| Some(state.settings.server) != avoid)
            .filter(|state| self.may_serve(state, now, queue))
            .filter(|state| state.has_room(now, queue.work()))
            .min_by_key(|state| state.preference(now))
            .map(|state| state.settings.server)
    }

    /// Whether a server may be given work of this queue.
    pub(super) fn may_serve(&self, state: &ServerState, now: Time, queue: QueueKey) -> bool {
        let ejected = match queue {
            QueueKey::Server(_) => false,
            QueueKey::Pool(_) => state.ejected_until(now).is_some(),
        };
        !ejected && state.is_usable(now, queue.work(), self.protections)
    }

    fn grant(&mut self, now: Time, key: PermitKey, waiting: &Waiting, server: ServerId) {
        let waited = now.since(waiting.arrived);
        if let Some(state) = self.servers.get_mut(&server) {
            state.count_grant(now);
        }
        let uses_records = self.protections.has(Protection::IdempotencyRecord);
        let idempotency_key = waiting.acquire.idempotency_key.filter(|_| uses_records);
        let permit = Permit {
            server,
            waited,
            deadline: waiting.deadline,
            idempotency_record: idempotency_key.map(|key| (waiting.acquire.group, key)),
            unanswered_checks: 0,
        };
        self.permits.insert(key, permit);
        self.schedule_check(now, key, server);
        self.reply_permit(key, server, waited);
    }

    /// Refuses all permit requests of a queue.
    pub(super) fn refuse_all(&mut self, queue: QueueKey, reason: NotRunReason) {
        for key in self.take_all(queue) {
            self.refuse(key, reason, NO_SERVER_RETRY_AFTER);
        }
    }

    /// Removes all permit requests of a queue.
    pub(super) fn take_all(&mut self, queue: QueueKey) -> Vec<PermitKey> {
        let keys: Vec<PermitKey> = self
            .queues
            .get(&queue)
            .map(|queue| queue.fair.entries().collect())
            .unwrap_or_default();
        for &key in &keys {
            self.take_waiting(key);
        }
        keys
    }
}
