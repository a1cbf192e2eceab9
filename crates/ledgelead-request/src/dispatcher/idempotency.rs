//! Records of idempotency keys: the group begins them before a permit is given and ends them
//! when the gateway reports the request's outcome.
//!
//! Invariant: a request with an idempotency key gets a permit only after a quorum of the
//! group has stored its record. Otherwise two requests with the same key could run when they
//! arrive through different nodes.

use super::DispatcherOutput;
use super::admission::NO_SERVER_RETRY_AFTER;
use super::{Dispatcher, PermitKey, TimerKey};
use crate::message::{Acquire, DispatchReply};
use ledgelead_types::dispatch::{IdempotencyOwner, IdempotencyState, IdempotencyVerdict};
use ledgelead_types::protections::Protection;
use ledgelead_types::{GroupId, IdempotencyKey, NodeId, NotRunReason, Span, Time};

/// Time between two attempts to begin a record, and the maximum number of attempts.
const BEGIN_INTERVAL: Span = Span::from_millis(100);
const MAX_BEGIN_SENDS: u8 = 10;

/// A permit request whose record the group has not begun yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRecord {
    key: PermitKey,
    acquire: Acquire,
    idempotency_key: IdempotencyKey,
    arrived: Time,
    awaits_record: u8,
}

impl Dispatcher {
    pub(super) fn begin_record(
        &mut self,
        now: Time,
        key: PermitKey,
        acquire: Acquire,
        idempotency_key: IdempotencyKey,
    ) {
        let owner = owner_of(key);
        let pending = PendingRecord {
            key,
            acquire,
            idempotency_key,
            arrived: now,
            awaits_record: 0,
        };
        self.pending_records.insert(owner, pending);
        self.resend_begin(now, owner);
    }

    /// Asks the group to begin the record, again if needed; refuses the permit request after
    /// too many unanswered attempts or past its deadline.
    pub(super) fn resend_begin(&mut self, now: Time, owner: IdempotencyOwner) {
        let Some(pending) = self.pending_records.get_mut(&owner) else {
            return;
        };
        let expired = now >= pending.arrived + pending.acquire.deadline;
        if expired || pending.awaits_record >= MAX_BEGIN_SENDS {
            let key = pending.key;
            self.pending_records.remove(&owner);
            self.refuse(key, NotRunReason::NoServer, NO_SERVER_RETRY_AFTER);
            return;
        }
        pending.awaits_record += 1;
        let (group, key) = (pending.acquire.group, pending.idempotency_key);
        self.outputs
            .push(DispatcherOutput::BeginIdempotencyRecord { group, owner, key });
        self.timers
            .set(TimerKey::Record(owner), now + BEGIN_INTERVAL);
    }

    /// Whether this permit request waits for its record.
    pub(super) fn awaits_record(&self, key: PermitKey) -> bool {
        self.pending_records
            .get(&owner_of(key))
            .is_some_and(|pending| pending.key == key)
    }

    /// Removes a permit request that waits for its record.
    pub(super) fn forget_pending_record(&mut self, key: PermitKey) {
        if self.awaits_record(key) {
            let owner = owner_of(key);
            self.pending_records.remove(&owner);
            self.timers.clear(TimerKey::Record(owner));
        }
    }

    /// Removes the permit requests of a lost node that wait for their records. The records
    /// may have been begun, so they are ended as unknown.
    pub(super) fn forget_pending_records_of(&mut self, node: NodeId) {
        let owners: Vec<IdempotencyOwner> = self
            .pending_records
            .keys()
            .copied()
            .filter(|owner| owner.gateway.node == node)
            .collect();
        for owner in owners {
            self.timers.clear(TimerKey::Record(owner));
            if let Some(pending) = self.pending_records.remove(&owner) {
                let record = (pending.acquire.group, pending.idempotency_key);
                self.end_as_unknown(pending.key, Some(record));
            }
        }
    }

    pub(super) fn record_decided(
        &mut self,
        now: Time,
        owner: IdempotencyOwner,
        idempotency_key: IdempotencyKey,
        verdict: IdempotencyVerdict,
    ) {
        let matches = self
            .pending_records
            .get(&owner)
            .is_some_and(|pending| pending.idempotency_key == idempotency_key);
        if !matches {
            return;
        }
        let Some(pending) = self.pending_records.remove(&owner) else {
            return;
        };
        self.timers.clear(TimerKey::Record(owner));
        match verdict {
            IdempotencyVerdict::Fresh => self.admit_recorded(now, &pending),
            IdempotencyVerdict::Duplicate(state) => self.reply_duplicate(pending.key, state),
            IdempotencyVerdict::Unavailable => {
                self.refuse(pending.key, NotRunReason::NoServer, NO_SERVER_RETRY_AFTER);
            }
        }
    }

    /// Admits a permit request whose record was begun, unless the server is no longer
    /// dispatched by this node.
    fn admit_recorded(&mut self, now: Time, pending: &PendingRecord) {
        if self.is_dispatched_here(&pending.acquire) {
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

    /// Handles the outcome reported by the gateway. Permit requests for the same request
    /// that are still pending are dropped.
    pub(super) fn end_record(
        &mut self,
        now: Time,
        owner: IdempotencyOwner,
        group: GroupId,
        key: IdempotencyKey,
        state: Option<IdempotencyState>,
    ) {
        if let Some(pending) = self.pending_records.remove(&owner) {
            self.timers.clear(TimerKey::Record(owner));
            self.withdraw(now, pending.key);
        }
        if self.protections.has(Protection::IdempotencyRecord) {
            self.output_end_record(owner, group, key, state);
        }
        self.reply(
            owner.gateway,
            DispatchReply::IdempotencyRecordEnded {
                gateway: owner.gateway.incarnation,
                request: owner.request,
            },
        );
    }

    pub(super) fn output_end_record(
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

/// The request that a permit or permit request belongs to.
pub(super) fn owner_of(key: PermitKey) -> IdempotencyOwner {
    IdempotencyOwner {
        gateway: key.gateway,
        request: key.attempt.request,
    }
}
