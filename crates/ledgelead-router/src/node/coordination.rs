//! The coordinator role: campaigning for it, holding it and giving it up.

use super::Node;
use super::orders::OrderInFlight;
use super::store_answers::describe;
use super::store_calls::{OWNERSHIP_NAME, Purpose};
use crate::Timestamp;
use crate::dialect::{ObjectKind, StoreAnswer, StoreCall, WrittenContent};
use crate::events::Event;
use crate::identity::{InstanceId, NodeIdentity};
use crate::io::{Action, ExchangeFailure, ExchangeId};
use crate::ownership::coordinator::{Context, Coordinator, EarlierAuthority};
use crate::ownership::election::{Election, rank};
use crate::ownership::record::OwnershipRecord;
use crate::ownership::view::RecordVersion;
use crate::protections::{Protection, Protections};
use crate::settings::{COORDINATOR_AUTHORITY, longest_unknown_hold};
use crate::store::era_of;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum interval between two steps of the coordinator, and the interval while it has no
/// authority.
const WITHOUT_AUTHORITY_PAUSE: Duration = Duration::from_millis(250);
/// Minimum interval between two steps of the coordinator, each of which examines all ranges. A
/// step after each of hundreds of answers per second would take the whole CPU of a small
/// machine and delay its heartbeats.
const STEP_PAUSE: Duration = Duration::from_millis(10);
/// Delay before retrying a write that got no answer, under the same revision condition.
const WRITE_RETRY: Duration = Duration::from_millis(250);

/// The coordinator that a node is about to succeed.
#[derive(Clone, Debug)]
struct Predecessor {
    identity: NodeIdentity,
    /// The store revision of a record that names this coordinator. Its registration is older,
    /// since no node campaigns before its registration is acknowledged.
    named_at: u64,
}

/// State of the coordinator role at this node.
pub(super) struct Coordination {
    coordinator: Option<Coordinator>,
    /// Orders without an answer.
    pub(super) orders: HashMap<ExchangeId, OrderInFlight>,
    /// Start of the latest call in which the store confirmed that this node holds the role.
    confirmed: Option<Timestamp>,
    /// Whether the ownership record last received from the store is unreadable. It may name
    /// another coordinator, so that an answer without changes no longer confirms the role.
    record_unreadable: bool,
    /// Whether the ownership record was read or found to be absent.
    pub(super) record_listed: bool,
    pub(super) election: Election,
    /// The coordinator that this node last tried to succeed.
    predecessor: Option<Predecessor>,
    /// How long coordinators before the predecessor may continue to give orders.
    earlier_authority: Duration,
    taking_over: bool,
    write_in_flight: bool,
    next_write: Timestamp,
    /// When the coordinator next examines all of its ranges.
    next_step: Timestamp,
    /// When the coordinator last examined all of its ranges.
    last_step: Timestamp,
    resigning: bool,
    resignation_in_flight: bool,
    resignation_done: bool,
    /// The epoch in which this node held the role with authority when a store era ended.
    coordinated_in_former_era: Option<u64>,
    /// When this node learned of the current era.
    era_began: Timestamp,
    /// Epoch and final record revision of the previous era's coordinator, as reported by that
    /// coordinator after the era ended.
    final_version: Option<(u64, u64)>,
    protections: Protections,
}

impl Coordination {
    pub(super) fn new(election: Election, protections: Protections) -> Coordination {
        Coordination {
            coordinator: None,
            orders: HashMap::new(),
            confirmed: None,
            record_unreadable: false,
            record_listed: false,
            election,
            predecessor: None,
            earlier_authority: Duration::ZERO,
            taking_over: false,
            write_in_flight: false,
            next_write: Timestamp::ZERO,
            next_step: Timestamp::ZERO,
            last_step: Timestamp::ZERO,
            resigning: false,
            resignation_in_flight: false,
            resignation_done: false,
            coordinated_in_former_era: None,
            era_began: Timestamp::ZERO,
            final_version: None,
            protections,
        }
    }

    pub(super) fn coordinator(&self) -> Option<&Coordinator> {
        self.coordinator.as_ref()
    }

    pub(super) fn coordinator_mut(&mut self) -> Option<&mut Coordinator> {
        self.coordinator.as_mut()
    }

    /// The target instance of an order that is in flight.
    pub(super) fn order_target(&self, exchange: ExchangeId) -> Option<&InstanceId> {
        let sent = self.orders.get(&exchange)?;
        Some(&sent.instance)
    }

    /// When the store last confirmed that this node holds the role.
    pub(super) fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed
    }

    /// Whether this node may give orders now.
    pub(super) fn has_authority(&self, now: Timestamp) -> bool {
        let bounded = self.protections.has(Protection::BoundedAuthority);
        let confirmed = self
            .confirmed
            .is_some_and(|confirmed| now < confirmed + COORDINATOR_AUTHORITY || !bounded);
        confirmed && self.coordinator.is_some() && !self.resigning
    }

    /// The store was restored from a backup: confirmations of the role from the former era are
    /// void.
    pub(super) fn begin_era(&mut self, now: Timestamp) {
        let epoch = self.coordinator.as_ref().map(Coordinator::epoch);
        self.coordinated_in_former_era = epoch.filter(|_| self.has_authority(now));
        self.taking_over = false;
        self.era_began = now;
        self.final_version = None;
    }

    /// Records that a coordinator reported, at the time `at`, the revision of its latest
    /// record. After the end of an era it can't write a later one there, so this is its final
    /// version.
    pub(super) fn record_final_version(&mut self, epoch: u64, revision: u64, at: Timestamp) {
        if at >= self.era_began {
            self.final_version = Some((epoch, revision));
        }
    }

    /// Epoch and final record revision of the previous era's coordinator, as reported by it
    /// after the era ended.
    pub(super) fn final_version(&self) -> Option<(u64, u64)> {
        self.final_version
    }

    /// The epoch in which this node held the role when a store era ended.
    pub(super) fn coordinated_in_former_era(&self) -> Option<u64> {
        self.coordinated_in_former_era
    }

    /// Whether the record last received from the store is readable.
    pub(super) fn is_record_readable(&self) -> bool {
        !self.record_unreadable
    }

    /// Sets whether the record last received from the store is readable.
    pub(super) fn set_record_readable(&mut self, is_readable: bool) {
        self.record_unreadable = !is_readable;
    }

    /// Confirms the role as of `started`, when a call about the record began that the store has
    /// answered. Versions in the answer are applied afterwards, and end this node's role if
    /// another node holds it.
    pub(super) fn confirm_role_if_unchanged(&mut self, started: Timestamp) {
        if self.coordinator.is_some() && !self.record_unreadable {
            self.confirmed = self.confirmed.max(Some(started));
        }
    }

    /// Schedules a step because an input to the coordinator's decisions has changed.
    pub(super) fn schedule_step(&mut self) {
        self.next_step = self.next_step.min(self.last_step + STEP_PAUSE);
    }

    pub(super) fn begin_resigning(&mut self) {
        self.schedule_step();
        self.resigning = true;
        self.resignation_done = self.coordinator.is_none();
    }

    pub(super) fn finish_resigning(&mut self) {
        self.resignation_done = true;
    }

    /// Whether the resignation, if one was requested, is complete.
    pub(super) fn has_resigned(&self) -> bool {
        !self.resigning || self.resignation_done || self.coordinator.is_none()
    }
}

impl Node {
    pub(super) fn coordination_deadline(&self) -> Option<Timestamp> {
        if self.coordination.coordinator.is_some() {
            return Some(self.coordination.next_step);
        }
        let may_campaign = self.could_campaign() && self.store.is_registered();
        may_campaign.then(|| self.campaign_due())
    }

    /// When the coordinator must act next. Without authority it only waits for an answer of
    /// the store, which arrives as an input of its own.
    fn next_coordinator_step(&self, now: Timestamp) -> Timestamp {
        let idle = now + WITHOUT_AUTHORITY_PAUSE;
        let Some(coordinator) = self.coordination.coordinator() else {
            return idle;
        };
        if !self.coordination.has_authority(now) || self.configuration.is_none() {
            return idle;
        }
        let unwritten = coordinator.pending_write().is_some() && !self.coordination.write_in_flight;
        let write = unwritten.then_some(self.coordination.next_write);
        write
            .into_iter()
            .chain([coordinator.next_step()])
            .fold(idle, Timestamp::min)
    }

    /// Runs the coordinator's step, or campaigns for the role, if due.
    pub(super) fn coordinate(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.coordination.coordinator.is_some() {
            if self.coordination.next_step > now {
                return;
            }
            self.coordination.last_step = now;
            self.resign_if_requested(now, out);
            self.step_coordinator(now, out);
            self.retry_write(now, out);
            let next = self.next_coordinator_step(now);
            self.coordination.next_step = next.max(now + STEP_PAUSE);
        } else if self.could_campaign() && self.store.is_registered() && self.campaign_due() <= now
        {
            self.campaign(now, out);
        }
    }

    /// Whether this node could campaign once this incarnation of it is registered.
    pub(super) fn could_campaign(&self) -> bool {
        self.coordination.record_listed
            && self.coordination.coordinator.is_none()
            && self.store.has_listed(ObjectKind::Nodes)
            && !self.registry.is_empty()
            && self.store.health.serves()
            && !self.coordination.taking_over
            && !self.stopping
    }

    pub(super) fn campaign_due(&self) -> Timestamp {
        self.campaign_due_at(self.campaign_rank())
    }

    /// When this node should campaign if it has this rank.
    pub(super) fn campaign_due_at(&self, rank: usize) -> Timestamp {
        if self.resumes_own_role() {
            return self.coordination.election.due_after_own_restart();
        }
        let record = self.ownership.record();
        let served_since = self.store.health.serving_since().unwrap_or_default();
        self.coordination.election.due(record, rank, served_since)
    }

    /// Whether the last coordinator known was this node, which therefore waits for no other.
    pub(super) fn resumes_own_role(&self) -> bool {
        self.succeeds_own_incarnation() || self.continues_own_epoch()
    }

    /// How many nodes precede this one in the order of succession.
    pub(super) fn campaign_rank(&self) -> usize {
        let coordinator = self.ownership.record().coordinator.as_ref();
        rank(
            &self.settings.identity.node,
            coordinator,
            self.registry.iter(),
        )
    }

    fn campaign(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let revision = self.ownership.revision();
        let is_former = revision.is_some_and(|known| era_of(known) < self.store.era);
        if is_former || revision.is_some() && !self.ownership.is_confirmed() {
            // Known only from a datagram or from an earlier era, while a takeover must be
            // based on what the store itself has answered.
            self.coordination.election.await_confirmation(now);
            self.store.refresh_ownership(now, out);
            return;
        }
        let record = self.ownership.record();
        let named_at = self.ownership.revision().unwrap_or(0);
        let predecessor = |identity| Predecessor { identity, named_at };
        self.coordination.predecessor = record.coordinator.clone().map(predecessor);
        self.coordination.earlier_authority = record.earlier_authority();
        let mut next = record.taken_over_by(
            &self.settings.identity,
            self.store.era,
            self.settings.protections,
        );
        if !self.predecessor_has_ended() {
            next.set_earlier_authority(COORDINATOR_AUTHORITY);
        }
        if !self.has_complete_ownership() {
            next.set_unknown_holds(longest_unknown_hold());
        }
        let content = WrittenContent::Ownership(next.clone());
        let name = OWNERSHIP_NAME.to_owned();
        let call = match self.ownership.revision() {
            Some(revision) => StoreCall::Replace {
                name,
                revision: Some(revision),
                content,
            },
            None => StoreCall::Create { name, content },
        };
        Event::Campaigns { epoch: next.epoch }.emit();
        self.coordination.taking_over = true;
        self.coordination.election.record_attempt(now);
        self.start_call(Purpose::Takeover(next), call, now, out);
    }

    pub(super) fn takeover_answered(
        &mut self,
        record: OwnershipRecord,
        answer: Result<StoreAnswer, ExchangeFailure>,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        self.coordination.taking_over = false;
        match answer {
            Ok(StoreAnswer::Written(object)) => {
                let base = self.ownership.revision();
                let before = self.ownership.record().clone();
                let version = RecordVersion::confirmed(object.revision);
                self.ownership_changed(record, version, started, now, out);
                if self.coordinator().is_some() {
                    self.announce_takeover(base.unwrap_or(0), &before, out);
                    self.messaging.send_heartbeat_soon();
                }
            }
            _ => self.store.refresh_ownership(now, out),
        }
    }

    /// Whether this is the record version that this node, as coordinator, is currently
    /// writing.
    pub(super) fn is_pending_write(&self, record: &OwnershipRecord) -> bool {
        let coordinator = self.coordination.coordinator();
        coordinator.and_then(Coordinator::pending_write) == Some(record)
    }

    /// Assumes or gives up the coordinator role after a change of the record.
    pub(super) fn reconcile_role(
        &mut self,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let record = self.ownership.record().clone();
        self.coordination.election.observe_record(&record, now);
        let is_named = record.coordinator.as_ref() == Some(&self.settings.identity);
        // The answer may arrive after the heartbeat of a successor.
        if !is_named || record.epoch < self.newest_epoch() {
            self.step_down(record.epoch, now);
            return;
        }
        self.coordination.confirmed = self.coordination.confirmed.max(Some(started));
        let same_epoch = self
            .coordination
            .coordinator
            .as_ref()
            .is_some_and(|coordinator| coordinator.epoch() == record.epoch);
        if !same_epoch {
            self.assume_role(record, now, out);
            return;
        }
        if let Some(coordinator) = &mut self.coordination.coordinator
            && coordinator.pending_write() == Some(&record)
        {
            coordinator.record_written(now);
            self.step_coordinator(now, out);
        }
    }

    fn assume_role(&mut self, record: OwnershipRecord, now: Timestamp, out: &mut Vec<Action>) {
        let ended = self.predecessor_has_ended();
        let predecessor = if ended {
            now
        } else {
            now + COORDINATOR_AUTHORITY
        };
        let earlier = EarlierAuthority {
            predecessor,
            others: now + self.coordination.earlier_authority,
        };
        let coordinates = Event::Coordinates {
            epoch: record.epoch,
            predecessor_ended: ended,
        };
        coordinates.emit();
        self.owner_views.begin_role(now);
        self.coordination.orders.clear();
        self.coordination.write_in_flight = false;
        self.coordination.coordinated_in_former_era = None;
        let unknown_holds = record.unknown_holds();
        let coordinator = Coordinator::new(record, earlier, self.settings.protections, now);
        self.coordination.coordinator = Some(match unknown_holds.is_zero() {
            true => coordinator,
            false => coordinator.with_unknown_holds(now + unknown_holds),
        });
        self.store.set_coordinating(true, now);
        for kind in [ObjectKind::Configuration, ObjectKind::Instances] {
            // A watch started earlier may wait longer than the coordinator's view remains
            // valid.
            self.store.interrupt(kind, now, now, out);
        }
        self.store.set_following(false, now, out);
    }

    /// Gives up the role: another node or none is the coordinator in this epoch.
    pub(super) fn step_down(&mut self, epoch: u64, now: Timestamp) {
        if self.coordination.coordinator.take().is_none() {
            return;
        }
        Event::CoordinatesNoMore { epoch }.emit();
        self.coordination.orders.clear();
        self.coordination.confirmed = None;
        self.coordination.resignation_done = true;
        self.store.set_coordinating(false, now);
    }

    /// Whether the predecessor has resigned or has provably ended.
    fn predecessor_has_ended(&self) -> bool {
        let predecessor = self.coordination.predecessor.as_ref();
        predecessor.is_none_or(|earlier| self.incarnation_has_ended(earlier))
    }

    /// Whether this incarnation of a node has provably ended.
    fn incarnation_has_ended(&self, predecessor: &Predecessor) -> bool {
        let Predecessor { identity, named_at } = predecessor;
        let is_earlier_incarnation = identity.node == self.settings.identity.node
            && identity.incarnation != self.settings.identity.incarnation;
        // This incarnation's own role ended with the era in which it held the role.
        let is_own = *identity == self.settings.identity;
        is_own || is_earlier_incarnation || self.registry.has_ended(identity, *named_at)
    }

    fn step_coordinator(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if !self.coordination.has_authority(now) {
            return;
        }
        self.request_acknowledgements(now, out);
        let Some(configuration) = &self.configuration else {
            return;
        };
        let ended = self.predecessor_has_ended();
        let is_cut_off = self.is_cut_off(now);
        let known_to_all = self.ownership_known_to_all(now);
        let Some(coordinator) = &mut self.coordination.coordinator else {
            return;
        };
        if ended {
            coordinator.predecessor_ended(now);
        }
        let mut context = Context {
            now,
            directory: &self.directory,
            configuration,
            limits: self.requests.limits(),
            store_serves: self.store.health.serves(),
            is_cut_off,
            record_revision: self.ownership.revision().unwrap_or(0),
            known_to_all,
            mechanisms: self.settings.mechanisms,
            exchanges: &mut self.exchanges,
        };
        let commands = coordinator.step(&mut context);
        for order in commands.orders {
            self.send_order(order, now, out);
        }
        if commands.write.is_some() {
            self.write_record(now, out);
        }
    }

    /// Writes the record version that the coordinator has decided on. A write that has timed
    /// out may still arrive at the store, but it can't undo another: the condition on the
    /// revision lets only one of them succeed.
    fn write_record(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let pending = self
            .coordination
            .coordinator
            .as_ref()
            .and_then(Coordinator::pending_write);
        let Some(record) = pending.cloned() else {
            return;
        };
        self.coordination.write_in_flight = true;
        let call = StoreCall::Replace {
            name: OWNERSHIP_NAME.to_owned(),
            revision: self.ownership.revision(),
            content: WrittenContent::Ownership(record),
        };
        self.start_call(Purpose::Update, call, now, out);
    }

    fn retry_write(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let due = !self.coordination.write_in_flight && self.coordination.next_write <= now;
        if due && self.coordination.has_authority(now) {
            self.write_record(now, out);
        }
    }

    pub(super) fn update_answered(
        &mut self,
        call: StoreCall,
        answer: Result<StoreAnswer, ExchangeFailure>,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        self.coordination.write_in_flight = false;
        self.coordination.next_write = now + WRITE_RETRY;
        // The version that this call has written; the coordinator may have decided on a later
        // one meanwhile.
        let written = match call {
            StoreCall::Replace {
                content: WrittenContent::Ownership(record),
                ..
            } if self.coordination.coordinator.is_some() => Some(record),
            _ => None,
        };
        match (answer, written) {
            (Ok(StoreAnswer::Written(object)), Some(record)) => {
                self.store.defer_role_confirmation(now);
                let version = RecordVersion::confirmed(object.revision);
                self.ownership_changed(record, version, started, now, out);
            }
            (Ok(StoreAnswer::Conflict), _) => {
                let conflict = Event::RecordConflict {
                    revision: self.ownership.revision(),
                };
                conflict.emit();
                // Caused by another coordinator, or by an earlier write of this node whose
                // answer was lost: reading the record shows which.
                self.store.refresh_ownership(now, out);
            }
            (answer, Some(record)) => {
                let not_written = Event::RecordNotWritten {
                    ranges: record.assignments.len(),
                    cause: &describe(&answer),
                };
                not_written.emit();
            }
            (_, None) => {}
        }
        self.reconsider_waiting(now, out);
    }

    fn resign_if_requested(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let coordination = &mut self.coordination;
        let has_no_pending_write = coordination
            .coordinator
            .as_ref()
            .is_some_and(|coordinator| coordinator.pending_write().is_none());
        if !coordination.resigning || coordination.resignation_in_flight || !has_no_pending_write {
            return;
        }
        coordination.resignation_in_flight = true;
        let mut record = self.ownership.record().clone();
        record.coordinator = None;
        if let Some(coordinator) = &self.coordination.coordinator {
            record.set_earlier_authority(coordinator.earlier_authority(now));
        }
        let call = StoreCall::Replace {
            name: OWNERSHIP_NAME.to_owned(),
            revision: self.ownership.revision(),
            content: WrittenContent::Ownership(record),
        };
        self.start_call(Purpose::Resign, call, now, out);
    }
}
