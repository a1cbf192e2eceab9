//! The node's own registration in the store.
//!
//! A node registers where it is reached. A later life of it at the same address
//! needs no registration of its own, and saves the call, unless it wants to
//! coordinate or its registration proves that an earlier life has ended:
//!
//! **Invariant: a node campaigns only after this life of it is registered, and
//! each registration replaces the one that the node has read.** So a
//! registration of another life, of a later revision than a record that names
//! this life as coordinator, proves that this life has ended
//! (`Registry::has_ended`). A write that the store carries out late can't undo a
//! later life's registration, since its condition no longer holds.

use super::Node;
use super::store_calls::Purpose;
use crate::Timestamp;
use crate::dialect::{ObjectKind, StoreAnswer, StoreCall, WrittenContent};
use crate::io::{Action, ExchangeFailure};
use crate::peers::{NodeRecord, Registration};
use std::time::Duration;

/// Pause before a failed registration is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// State of the registration.
#[derive(Debug)]
pub(super) struct RegistrationState {
    is_done: bool,
    /// Whether the store holds another registration than the one that is known.
    awaits_list: bool,
    next_try: Timestamp,
}

impl RegistrationState {
    pub(super) fn new(now: Timestamp) -> RegistrationState {
        RegistrationState {
            is_done: false,
            awaits_list: false,
            next_try: now,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }

    /// The store came back from a copy, which may hold another registration, or none.
    pub(super) fn begin_era(&mut self) {
        self.is_done = false;
        self.awaits_list = true;
    }

    /// The nodes were listed.
    pub(super) fn listed(&mut self) {
        self.awaits_list = false;
    }
}

impl Node {
    /// When the node registers, if it has to.
    pub(super) fn registration_deadline(&self) -> Option<Timestamp> {
        let state = &self.store.registration;
        let is_held_back = state.is_done
            || state.awaits_list
            || self.stopping
            || self.store.is_registering()
            || self.store.health.has_failed();
        if is_held_back {
            return None;
        }
        let knows = self.store.has_listed(ObjectKind::Nodes) || self.store.starts_cold();
        let wanted_now = knows && (!self.is_reached_as_registered() || self.succeeds_own_life());
        if wanted_now {
            return Some(state.next_try);
        }
        let campaigns = self.could_campaign();
        campaigns.then(|| self.campaign_due().max(state.next_try))
    }

    /// Whether some life of this node is registered with what others need to
    /// know of it.
    fn is_reached_as_registered(&self) -> bool {
        let own = self.own_record();
        let known = self.registry.get(&own.identity.node);
        known.is_some_and(|known| {
            NodeRecord {
                identity: own.identity.clone(),
                ..known.clone()
            } == own
        })
    }

    /// Whether an earlier life of this node is named as coordinator.
    pub(super) fn succeeds_own_life(&self) -> bool {
        let own = &self.settings.identity;
        let coordinator = self.ownership.record().coordinator.as_ref();
        coordinator.is_some_and(|named| named.node == own.node && named != own)
    }

    /// Notes whether another life of this node is registered, which has drawn on the
    /// retry budget.
    pub(super) fn note_earlier_incarnation(&mut self) {
        let own = &self.settings.identity;
        let registered = self.registry.get(&own.node);
        if registered.is_some_and(|known| known.identity != *own) {
            self.requests.note_earlier_incarnation();
        }
    }

    fn own_record(&self) -> NodeRecord {
        NodeRecord {
            identity: self.settings.identity.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.peer_address,
            millicores: self.settings.millicores,
        }
    }

    pub(super) fn register_if_due(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.registration_deadline().is_none_or(|due| due > now) {
            return;
        }
        let record = self.own_record();
        let known = self.registry.registration(&record.identity.node);
        let revision = known.map(|known| known.revision);
        let name = record.identity.node.to_string();
        let content = WrittenContent::Node(record);
        let call = match revision {
            None => StoreCall::Create { name, content },
            Some(_) => StoreCall::Replace {
                name,
                revision,
                content,
            },
        };
        self.start_call(Purpose::Register, call, now, out);
    }

    pub(super) fn registration_answered(
        &mut self,
        answer: Result<StoreAnswer, ExchangeFailure>,
        now: Timestamp,
    ) {
        match answer {
            Ok(StoreAnswer::Written(object)) => {
                self.store.registration.is_done = true;
                self.registry.upsert(Registration {
                    record: self.own_record(),
                    revision: object.revision,
                });
            }
            Ok(StoreAnswer::Conflict | StoreAnswer::Missing) => {
                // Another life, or an earlier write of this one whose answer was
                // lost.
                self.store.registration.awaits_list = true;
                // An object that can't be read may go on standing in the way.
                self.store.registration.next_try = now + RETRY_PAUSE;
                self.store.list_nodes(now);
            }
            _ => self.store.registration.next_try = now + RETRY_PAUSE,
        }
    }
}
