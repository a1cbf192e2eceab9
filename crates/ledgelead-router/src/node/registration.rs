//! The node's own registration in the store.
//!
//! A node registers the address at which it is reached. A later incarnation at the same
//! address needs no registration of its own, which saves a call, unless it wants to coordinate
//! or its registration proves that an earlier incarnation has ended:
//!
//! **Invariant: a node campaigns only after this incarnation of it is registered, and each
//! registration replaces the one that the node has read.** So a registration of another
//! incarnation, at a later revision than a record that names this incarnation as coordinator,
//! proves that this incarnation has ended (`Registry::has_ended`). A write that the store
//! carries out late can't undo a later incarnation's registration, since its condition no
//! longer holds.

use super::Node;
use super::store_calls::Purpose;
use crate::Timestamp;
use crate::dialect::{ObjectKind, StoreAnswer, StoreCall, WrittenContent};
use crate::io::{Action, ExchangeFailure};
use crate::peers::{NodeRecord, Registration};
use std::time::Duration;

/// Delay before retrying a failed registration.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// State of the registration.
#[derive(Debug)]
pub(super) struct RegistrationState {
    is_done: bool,
    /// Whether the store holds a registration that this node has not read yet.
    needs_list: bool,
    next_try: Timestamp,
}

impl RegistrationState {
    pub(super) fn new(now: Timestamp) -> RegistrationState {
        RegistrationState {
            is_done: false,
            needs_list: false,
            next_try: now,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }

    /// The store was restored from a backup, which may hold another registration or none.
    pub(super) fn begin_era(&mut self) {
        self.is_done = false;
        self.needs_list = true;
    }

    /// Records that the nodes were listed.
    pub(super) fn record_nodes_listed(&mut self) {
        self.needs_list = false;
    }
}

impl Node {
    /// When the node must register, if at all.
    pub(super) fn registration_deadline(&self) -> Option<Timestamp> {
        let state = &self.store.registration;
        let is_suspended = state.is_done
            || state.needs_list
            || self.stopping
            || self.store.is_registering()
            || self.store.health.has_failed();
        if is_suspended {
            return None;
        }
        if let Some(informed_at) = self.informed_of_registration_at()
            && (!self.is_registered_as_reachable() || self.succeeds_own_incarnation())
        {
            return Some(state.next_try.max(informed_at));
        }
        let campaigns = self.could_campaign();
        campaigns.then(|| self.campaign_due().max(state.next_try))
    }

    /// From when on this node decides by what it has read whether it must register. A node that
    /// has read only a part of the nodes, without its own registration, tries to create one: a
    /// coordinator sends heartbeats only to registered nodes.
    fn informed_of_registration_at(&self) -> Option<Timestamp> {
        if self.store.has_listed(ObjectKind::Nodes) || self.store.is_cold_start() {
            return Some(Timestamp::ZERO);
        }
        let must_replace = self.succeeds_own_incarnation();
        let is_decided = !must_replace || self.read_registration().is_some();
        is_decided.then(|| self.informed_by_pages_at())?
    }

    /// This incarnation's registration, if the store has acknowledged it.
    pub(super) fn written_registration(&self) -> Option<Registration> {
        let known = self.registry.registration(&self.settings.identity.node)?;
        let is_own = known.record.identity == self.settings.identity;
        (self.store.is_registered() && is_own).then(|| known.clone())
    }

    /// Whether some incarnation of this node is registered with the same address, zone and CPU
    /// share.
    fn is_registered_as_reachable(&self) -> bool {
        let own = self.own_record();
        self.read_registration().is_some_and(|known| {
            NodeRecord {
                identity: own.identity.clone(),
                ..known.record
            } == own
        })
    }

    /// Whether the record names an earlier incarnation of this node as coordinator.
    pub(super) fn succeeds_own_incarnation(&self) -> bool {
        let own = &self.settings.identity;
        let coordinator = self.ownership.record().coordinator.as_ref();
        coordinator.is_some_and(|named| named.node == own.node && named != own)
    }

    /// Records whether another incarnation of this node is registered, which has used up part
    /// of the retry budget.
    pub(super) fn record_earlier_incarnation(&mut self) {
        let own = &self.settings.identity;
        let registered = self.registry.get(&own.node);
        if registered.is_some_and(|known| known.identity != *own) {
            self.requests.record_earlier_incarnation();
        }
    }

    pub(super) fn own_record(&self) -> NodeRecord {
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
        let revision = self.read_registration().map(|known| known.revision);
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
                // Caused by another incarnation, or by an earlier write of this one whose
                // answer was lost.
                self.store.registration.needs_list = true;
                // An unreadable object may persist, so that further attempts fail as well.
                self.store.registration.next_try = now + RETRY_PAUSE;
                if self.next_node_page_awaited_since().is_none() {
                    self.store.list_nodes(now);
                }
            }
            _ => self.store.registration.next_try = now + RETRY_PAUSE,
        }
    }
}
