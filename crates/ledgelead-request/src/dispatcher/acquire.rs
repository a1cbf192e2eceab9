//! Handles a gateway's permit request: resends, changed ownership, idempotency records, then
//! admission.

use super::queue::QueueKey;
use super::{Dispatcher, PermitKey};
use crate::message::{Acquire, DispatchReply, ServerSelector};
use ledgelead_types::protections::Protection;
use ledgelead_types::{NotRunReason, Span, Time};

impl Dispatcher {
    pub(super) fn acquire(&mut self, now: Time, key: PermitKey, acquire: Acquire) {
        if self.reply_again(key) {
            return;
        }
        if !self.is_dispatched_here(&acquire) {
            self.reply_moved(key);
            return;
        }
        if let ServerSelector::Owner { claim, .. } = acquire.selector {
            self.slice_loads.count(acquire.group, claim.position, now);
        }
        match acquire.idempotency_key {
            Some(idempotency_key) if self.protections.has(Protection::IdempotencyRecord) => {
                self.begin_record(now, key, acquire, idempotency_key);
            }
            _ => self.admit(now, key, acquire, now),
        }
    }

    /// Repeats the reply to a permit request that is already known; returns whether it was
    /// known.
    fn reply_again(&mut self, key: PermitKey) -> bool {
        if let Some(permit) = self.permits.get(&key) {
            let (server, waited) = (permit.server, permit.waited);
            self.reply_permit(key, server, waited);
            return true;
        }
        let waits = self.waiting.contains_key(&key) || self.awaits_record(key);
        if waits {
            self.reply(
                key.gateway,
                DispatchReply::Queued {
                    gateway: key.gateway.incarnation,
                    attempt: key.attempt,
                },
            );
        }
        waits
    }

    /// Whether this node dispatches the server and, as far as it knows, the server still
    /// owns the slice.
    pub(super) fn is_dispatched_here(&self, acquire: &Acquire) -> bool {
        match acquire.selector {
            ServerSelector::Any { .. } => self
                .pools
                .get(&acquire.group)
                .is_some_and(|servers| !servers.is_empty()),
            ServerSelector::Owner { server, claim } => {
                let here = self
                    .servers
                    .get(&server)
                    .is_some_and(|state| state.settings.group == acquire.group);
                let slice = self
                    .routes
                    .get(&acquire.group)
                    .and_then(|routes| routes.slice_at(claim.position));
                let superseded = slice.is_some_and(|slice| {
                    let newer = slice.token > claim.token;
                    let taken_away = slice.token == claim.token && slice.owner != Some(server);
                    newer || taken_away
                });
                here && !superseded
            }
        }
    }

    pub(super) fn reply_permit(
        &mut self,
        key: PermitKey,
        server: ledgelead_types::ServerId,
        waited: Span,
    ) {
        self.reply(
            key.gateway,
            DispatchReply::Permit {
                gateway: key.gateway.incarnation,
                attempt: key.attempt,
                server,
                waited,
            },
        );
    }

    pub(super) fn reply_moved(&mut self, key: PermitKey) {
        self.reply(
            key.gateway,
            DispatchReply::Moved {
                gateway: key.gateway.incarnation,
                attempt: key.attempt,
            },
        );
    }

    pub(super) fn refuse(&mut self, key: PermitKey, reason: NotRunReason, retry_after: Span) {
        let retry_after = self.jittered(retry_after);
        self.reply(
            key.gateway,
            DispatchReply::Refuse {
                gateway: key.gateway.incarnation,
                attempt: key.attempt,
                reason,
                retry_after,
            },
        );
    }

    /// Removes a waiting permit request from its queue, if it is waiting.
    pub(super) fn take_waiting(&mut self, key: PermitKey) -> Option<QueueKey> {
        let waiting = self.waiting.remove(&key)?;
        self.timers.clear(super::TimerKey::Waiting(key));
        if let Some(queue) = self.queues.get_mut(&waiting.queue) {
            queue.fair.remove(waiting.ticket);
        }
        Some(waiting.queue)
    }
}
