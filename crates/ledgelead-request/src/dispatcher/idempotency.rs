//! Records of idempotency keys: begun by the group before a permit is given,
//! ended when the gateway says how the request ended.
//!
//! Invariant: a request under a key gets a permit only after the group's
//! quorum holds its record. Without it two requests under one key run when
//! they come through different nodes.

use super::DispatcherOutput;
use super::admission::NO_SERVER_RETRY;
use super::{Dispatcher, PermitKey, TimerKey};
use crate::message::{Acquire, DispatchReply};
use ledgelead_types::dispatch::{IdempotencyOwner, IdempotencyState, IdempotencyVerdict};
use ledgelead_types::protections::Protection;
use ledgelead_types::{GroupId, IdempotencyKey, NodeId, NotRunReason, Span, Time};

/// Time between two wishes to begin a record, and wishes at most.
const BEGIN_INTERVAL: Span = Span::from_millis(100);
const MOST_BEGINS: u8 = 10;

/// A wish whose record the group has not begun yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingOnce {
    key: PermitKey,
    acquire: Acquire,
    once: IdempotencyKey,
    arrived: Time,
    begins: u8,
}

impl Dispatcher {
    pub(super) fn begin_once(
        &mut self,
        now: Time,
        key: PermitKey,
        acquire: Acquire,
        once: IdempotencyKey,
    ) {
        let owner = owner_of(key);
        let pending = PendingOnce {
            key,
            acquire,
            once,
            arrived: now,
            begins: 0,
        };
        self.pending_once.insert(owner, pending);
        self.repeat_begin(now, owner);
    }

    /// Asks the group again; refuses when it has not answered for long.
    pub(super) fn repeat_begin(&mut self, now: Time, owner: IdempotencyOwner) {
        let Some(pending) = self.pending_once.get_mut(&owner) else {
            return;
        };
        let expired = now >= pending.arrived + pending.acquire.deadline;
        if expired || pending.begins >= MOST_BEGINS {
            let key = pending.key;
            self.pending_once.remove(&owner);
            self.refuse(key, NotRunReason::NoServer, NO_SERVER_RETRY);
            return;
        }
        pending.begins += 1;
        let (group, key) = (pending.acquire.group, pending.once);
        self.outputs
            .push(DispatcherOutput::BeginIdempotencyRecord { group, owner, key });
        self.timers.set(TimerKey::Once(owner), now + BEGIN_INTERVAL);
    }

    /// Whether this very wish waits for its record.
    pub(super) fn begins(&self, key: PermitKey) -> bool {
        self.pending_once
            .get(&owner_of(key))
            .is_some_and(|pending| pending.key == key)
    }

    /// Forgets a wish that waits for its record.
    pub(super) fn forget_begin(&mut self, key: PermitKey) {
        if self.begins(key) {
            let owner = owner_of(key);
            self.pending_once.remove(&owner);
            self.timers.clear(TimerKey::Once(owner));
        }
    }

    /// Forgets the wishes of a lost node that wait for their records, which
    /// may have been begun.
    pub(super) fn forget_begins_of(&mut self, node: NodeId) {
        let owners: Vec<IdempotencyOwner> = self
            .pending_once
            .keys()
            .copied()
            .filter(|owner| owner.gateway.node == node)
            .collect();
        for owner in owners {
            self.timers.clear(TimerKey::Once(owner));
            if let Some(pending) = self.pending_once.remove(&owner) {
                let record = (pending.acquire.group, pending.once);
                self.end_as_unknown(pending.key, Some(record));
            }
        }
    }

    pub(super) fn once_decided(
        &mut self,
        now: Time,
        owner: IdempotencyOwner,
        once: IdempotencyKey,
        verdict: IdempotencyVerdict,
    ) {
        let matches = self
            .pending_once
            .get(&owner)
            .is_some_and(|pending| pending.once == once);
        if !matches {
            return;
        }
        let Some(pending) = self.pending_once.remove(&owner) else {
            return;
        };
        self.timers.clear(TimerKey::Once(owner));
        match verdict {
            IdempotencyVerdict::Fresh => self.admit_begun(now, &pending),
            IdempotencyVerdict::Duplicate(state) => self.reply_duplicate(pending.key, state),
            IdempotencyVerdict::Unavailable => {
                self.refuse(pending.key, NotRunReason::NoServer, NO_SERVER_RETRY);
            }
        }
    }

    /// The server may have left this node's care meanwhile.
    fn admit_begun(&mut self, now: Time, pending: &PendingOnce) {
        if self.is_in_care(&pending.acquire) {
            self.admit(now, pending.key, pending.acquire, pending.arrived);
        } else {
            self.reply_moved(pending.key);
        }
    }

    fn reply_duplicate(&mut self, key: PermitKey, state: IdempotencyState) {
        self.reply(
            key.gateway,
            DispatchReply::Duplicate {
                gateway: key.gateway.incarnation,
                attempt: key.attempt,
                state,
            },
        );
    }

    /// The gateway says how the request ended. Wishes of it that came late
    /// are dropped with it.
    pub(super) fn end_once(
        &mut self,
        now: Time,
        owner: IdempotencyOwner,
        group: GroupId,
        key: IdempotencyKey,
        state: Option<IdempotencyState>,
    ) {
        if let Some(pending) = self.pending_once.remove(&owner) {
            self.timers.clear(TimerKey::Once(owner));
            self.withdraw(now, pending.key);
        }
        if self.protections.has(Protection::IdempotencyRecord) {
            self.output_end_once(owner, group, key, state);
        }
        self.reply(
            owner.gateway,
            DispatchReply::IdempotencyRecordEnded {
                gateway: owner.gateway.incarnation,
                request: owner.request,
            },
        );
    }

    pub(super) fn output_end_once(
        &mut self,
        owner: IdempotencyOwner,
        group: GroupId,
        key: IdempotencyKey,
        state: Option<IdempotencyState>,
    ) {
        self.outputs.push(DispatcherOutput::EndIdempotencyRecord {
            group,
            owner,
            key,
            state,
        });
    }
}

/// The request that a wish or permit belongs to.
pub(super) fn owner_of(key: PermitKey) -> IdempotencyOwner {
    IdempotencyOwner {
        gateway: key.gateway,
        request: key.attempt.request,
    }
}
