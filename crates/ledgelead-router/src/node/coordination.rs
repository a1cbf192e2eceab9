//! The coordinator's place: taking it, keeping it, leaving it.

use super::Node;
use super::store_answers::describe;
use super::store_calls::{OWNERSHIP_NAME, Purpose};
use crate::Timestamp;
use crate::dialect::{ObjectKind, Order, OrderAnswer, StoreAnswer, StoreCall, WrittenContent};
use crate::events::Event;
use crate::identity::{InstanceId, NodeIdentity};
use crate::io::{Action, ExchangeFailure, ExchangeId, ExchangeOptions};
use crate::ownership::coordinator::{Context, Coordinator, EarlierAuthority, OutgoingOrder};
use crate::ownership::election::{Election, rank};
use crate::ownership::record::OwnershipRecord;
use crate::ownership::view::RecordVersion;
use crate::protections::{Protection, Protections};
use crate::settings::{COORDINATOR_AUTHORITY, longest_unknown_hold};
use crate::store::era_of;
use ledgelead_http::Response;
use std::collections::HashMap;
use std::time::Duration;

/// Time for a connection to an instance to come up.
const ORDER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a grant; nothing is waited for at the instance.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for a release; it is answered once the work on the keys has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Kept connections for orders.
const ORDER_REUSE_IDLE: Duration = Duration::from_secs(7);
/// Longest pause between two looks at what a coordinator has to do.
const WITHOUT_AUTHORITY_PAUSE: Duration = Duration::from_millis(250);
/// Least pause between two looks of the coordinator at all of its ranges.
/// Hundreds of answers a second, each followed by such a look, would take the
/// whole processor of a small machine, and its heartbeats would come late.
const STEP_PAUSE: Duration = Duration::from_millis(10);
/// Pause before a write without an answer is made again, under the same
/// condition.
const WRITE_RETRY: Duration = Duration::from_millis(250);

/// The coordinator that a node wants to follow.
#[derive(Clone, Debug)]
struct Predecessor {
    identity: NodeIdentity,
    /// The store's revision of a record that names it. It was registered before
    /// that, since no node campaigns before its registration is acknowledged.
    named_at: u64,
}

/// State of the coordinator's place at this node.
pub(super) struct Coordination {
    coordinator: Option<Coordinator>,
    /// The instance of each order that is out.
    orders: HashMap<ExchangeId, (InstanceId, Order)>,
    /// Start of the newest call in which the store confirmed this place.
    confirmed: Option<Timestamp>,
    /// Whether the record that the store told last can't be read. It may name another
    /// coordinator, so that no later answer without a change confirms this place.
    record_unreadable: bool,
    /// Whether the record was read, or its absence seen.
    pub(super) listed: bool,
    pub(super) election: Election,
    /// The coordinator that this node last tried to follow.
    predecessor: Option<Predecessor>,
    /// How long those before it may go on to give orders.
    earlier_authority: Duration,
    taking_over: bool,
    write_out: bool,
    next_write: Timestamp,
    /// When the coordinator looks at all of its ranges next.
    next_step: Timestamp,
    /// When it did so last.
    stepped_at: Timestamp,
    resigning: bool,
    resign_out: bool,
    resign_done: bool,
    /// The epoch in which this node coordinated, with authority, as an era of the store ended.
    coordinated_until_era: Option<u64>,
    /// When this node learned of the era.
    era_began: Timestamp,
    /// The epoch of the coordinator of the era before, and the revision of its last version of
    /// the record, by what it has said since.
    vouched_record: Option<(u64, u64)>,
    protections: Protections,
}

impl Coordination {
    pub(super) fn new(election: Election, protections: Protections) -> Coordination {
        Coordination {
            coordinator: None,
            orders: HashMap::new(),
            confirmed: None,
            record_unreadable: false,
            listed: false,
            election,
            predecessor: None,
            earlier_authority: Duration::ZERO,
            taking_over: false,
            write_out: false,
            next_write: Timestamp::ZERO,
            next_step: Timestamp::ZERO,
            stepped_at: Timestamp::ZERO,
            resigning: false,
            resign_out: false,
            resign_done: false,
            coordinated_until_era: None,
            era_began: Timestamp::ZERO,
            vouched_record: None,
            protections,
        }
    }

    pub(super) fn coordinator(&self) -> Option<&Coordinator> {
        self.coordinator.as_ref()
    }

    pub(super) fn coordinator_mut(&mut self) -> Option<&mut Coordinator> {
        self.coordinator.as_mut()
    }

    /// The instance that an order was sent to, while it has no answer.
    pub(super) fn ordered(&self, exchange: ExchangeId) -> Option<&InstanceId> {
        let (instance, _) = self.orders.get(&exchange)?;
        Some(instance)
    }

    /// Whether orders may be given now.
    pub(super) fn has_authority(&self, now: Timestamp) -> bool {
        let bounded = self.protections.has(Protection::BoundedAuthority);
        let confirmed = self
            .confirmed
            .is_some_and(|confirmed| now < confirmed + COORDINATOR_AUTHORITY || !bounded);
        confirmed && self.coordinator.is_some() && !self.resigning
    }

    /// The store came back from a copy: what it has confirmed of this place counts no more.
    pub(super) fn begin_era(&mut self, now: Timestamp) {
        let epoch = self.coordinator.as_ref().map(Coordinator::epoch);
        self.coordinated_until_era = epoch.filter(|_| self.has_authority(now));
        self.taking_over = false;
        self.era_began = now;
        self.vouched_record = None;
    }

    /// A coordinator said at a time which version of the record is its last one. After the
    /// end of an era it can write no later one there.
    pub(super) fn record_vouched(&mut self, epoch: u64, revision: u64, at: Timestamp) {
        if at >= self.era_began {
            self.vouched_record = Some((epoch, revision));
        }
    }

    /// What the coordinator of the era before has said since of its last version.
    pub(super) fn vouched_record(&self) -> Option<(u64, u64)> {
        self.vouched_record
    }

    /// The epoch in which this node coordinated as an era of the store ended.
    pub(super) fn coordinated_until_era(&self) -> Option<u64> {
        self.coordinated_until_era
    }

    /// The store has told of the record whether it can be read.
    pub(super) fn record_told(&mut self, is_readable: bool) {
        self.record_unreadable = !is_readable;
    }

    /// The store answered a call about the record that began at `started`.
    /// Versions in the answer are applied afterwards, and end this node's
    /// place if another has it.
    pub(super) fn confirmed_if_unchanged(&mut self, started: Timestamp) {
        if self.coordinator.is_some() && !self.record_unreadable {
            self.confirmed = self.confirmed.max(Some(started));
        }
    }

    /// Something has changed that the coordinator decides by.
    pub(super) fn note_change(&mut self) {
        self.next_step = self.next_step.min(self.stepped_at + STEP_PAUSE);
    }

    pub(super) fn begin_resigning(&mut self) {
        self.note_change();
        self.resigning = true;
        self.resign_done = self.coordinator.is_none();
    }

    pub(super) fn resigned(&mut self) {
        self.resign_done = true;
    }

    /// Whether nothing is left to be done before this node can end.
    pub(super) fn has_resigned(&self) -> bool {
        !self.resigning || self.resign_done || self.coordinator.is_none()
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

    /// When the coordinator has something to do next. Without authority it
    /// only waits for the store's word, which is an input of its own.
    fn next_coordinator_step(&self, now: Timestamp) -> Timestamp {
        let idle = now + WITHOUT_AUTHORITY_PAUSE;
        let Some(coordinator) = self.coordination.coordinator() else {
            return idle;
        };
        if !self.coordination.has_authority(now) || self.configuration.is_none() {
            return idle;
        }
        let unwritten = coordinator.pending_write().is_some() && !self.coordination.write_out;
        let write = unwritten.then_some(self.coordination.next_write);
        write
            .into_iter()
            .chain([coordinator.next_step()])
            .fold(idle, Timestamp::min)
    }

    /// What is due for the coordinator, or for one that wants to be.
    pub(super) fn coordinate(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.coordination.coordinator.is_some() {
            if self.coordination.next_step > now {
                return;
            }
            self.coordination.stepped_at = now;
            self.resign_if_asked(now, out);
            self.step_coordinator(now, out);
            self.write_again(now, out);
            let next = self.next_coordinator_step(now);
            self.coordination.next_step = next.max(now + STEP_PAUSE);
        } else if self.could_campaign() && self.store.is_registered() && self.campaign_due() <= now
        {
            self.campaign(now, out);
        }
    }

    /// Whether this node could campaign, once this life of it is registered.
    pub(super) fn could_campaign(&self) -> bool {
        self.coordination.listed
            && self.coordination.coordinator.is_none()
            && self.store.has_listed(ObjectKind::Nodes)
            && !self.registry.is_empty()
            && self.store.health.serves()
            && !self.coordination.taking_over
            && !self.stopping
    }

    pub(super) fn campaign_due(&self) -> Timestamp {
        if self.succeeds_own_life() || self.continues_own_epoch() {
            return self.coordination.election.due_after_own_restart();
        }
        let record = self.ownership.record();
        let served_since = self.store.health.serving_since().unwrap_or_default();
        let rank = self.campaign_rank();
        self.coordination.election.due(record, rank, served_since)
    }

    /// How many nodes come before this one as successors of the coordinator.
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
            // Known by a datagram alone, or of an earlier era: a take-over rests on the store.
            self.coordination.election.tried_unconfirmed(now);
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
        if !self.knows_all_owners() {
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
        self.coordination.election.tried(now);
        self.start_call(Purpose::TakeOver(next), call, now, out);
    }

    pub(super) fn take_over_answered(
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
                    self.announce_take_over(base.unwrap_or(0), &before, out);
                    self.gossip.hasten_heartbeat();
                }
            }
            _ => self.store.refresh_ownership(now, out),
        }
    }

    /// Whether this is the version that this node as coordinator is writing.
    pub(super) fn writes(&self, record: &OwnershipRecord) -> bool {
        let coordinator = self.coordination.coordinator();
        coordinator.and_then(Coordinator::pending_write) == Some(record)
    }

    /// The record changed: takes up the coordinator's place, or leaves it.
    pub(super) fn reconcile_role(
        &mut self,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let record = self.ownership.record().clone();
        self.coordination.election.observed(&record, now);
        let is_named = record.coordinator.as_ref() == Some(&self.settings.identity);
        // An answer may arrive after the heartbeat of a successor.
        if !is_named || record.epoch < self.newest_epoch() {
            self.leave_place(record.epoch, now);
            return;
        }
        self.coordination.confirmed = self.coordination.confirmed.max(Some(started));
        let same_epoch = self
            .coordination
            .coordinator
            .as_ref()
            .is_some_and(|coordinator| coordinator.epoch() == record.epoch);
        if !same_epoch {
            self.take_place(record, now, out);
            return;
        }
        if let Some(coordinator) = &mut self.coordination.coordinator
            && coordinator.pending_write() == Some(&record)
        {
            coordinator.record_written(now);
            self.step_coordinator(now, out);
        }
    }

    fn take_place(&mut self, record: OwnershipRecord, now: Timestamp, out: &mut Vec<Action>) {
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
        self.coordination.orders.clear();
        self.coordination.write_out = false;
        self.coordination.coordinated_until_era = None;
        let unknown_holds = record.unknown_holds();
        let coordinator = Coordinator::new(record, earlier, self.settings.protections, now);
        self.coordination.coordinator = Some(match unknown_holds.is_zero() {
            true => coordinator,
            false => coordinator.with_unknown_holds(now + unknown_holds),
        });
        self.store.set_coordinating(true, now);
        for kind in [ObjectKind::Configuration, ObjectKind::Instances] {
            // A watch from before may wait longer than a coordinator's word
            // holds.
            self.store.interrupt(kind, now, now, out);
        }
        self.store.set_informed(false, now, out);
    }

    /// Another node coordinates in this epoch, or nobody.
    pub(super) fn leave_place(&mut self, epoch: u64, now: Timestamp) {
        if self.coordination.coordinator.take().is_none() {
            return;
        }
        Event::CoordinatesNoMore { epoch }.emit();
        self.coordination.orders.clear();
        self.coordination.confirmed = None;
        self.coordination.resign_done = true;
        self.store.set_coordinating(false, now);
    }

    /// Whether the coordinator that this node follows has resigned, or is over
    /// for certain.
    fn predecessor_has_ended(&self) -> bool {
        let predecessor = self.coordination.predecessor.as_ref();
        predecessor.is_none_or(|earlier| self.has_ended(earlier))
    }

    /// Whether this life of a node is over for certain.
    fn has_ended(&self, predecessor: &Predecessor) -> bool {
        let Predecessor { identity, named_at } = predecessor;
        let earlier_life_of_this = identity.node == self.settings.identity.node
            && identity.incarnation != self.settings.identity.incarnation;
        // Its place ended with the era in which it had it.
        let is_this = *identity == self.settings.identity;
        is_this || earlier_life_of_this || self.registry.has_ended(identity, *named_at)
    }

    fn step_coordinator(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if !self.coordination.has_authority(now) {
            return;
        }
        let Some(configuration) = &self.configuration else {
            return;
        };
        let ended = self.predecessor_has_ended();
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
            mechanisms: self.settings.mechanisms,
            exchanges: &mut self.exchanges,
        };
        let commands = coordinator.step(&mut context);
        for order in commands.orders {
            self.send_order(order, out);
        }
        if commands.write.is_some() {
            self.write_record(now, out);
        }
    }

    fn send_order(&mut self, outgoing: OutgoingOrder, out: &mut Vec<Action>) {
        let timeout = match &outgoing.order {
            Order::Grant { .. } => GRANT_TIMEOUT,
            Order::Release { .. } => RELEASE_TIMEOUT,
        };
        log::debug!(target: "ownership", "{}: {:?}", outgoing.instance, outgoing.order);
        let request = self
            .dialect
            .order_request(&outgoing.instance, &outgoing.order);
        self.coordination
            .orders
            .insert(outgoing.exchange, (outgoing.instance, outgoing.order));
        out.push(Action::Exchange {
            exchange: outgoing.exchange,
            address: outgoing.address,
            request,
            options: ExchangeOptions {
                match_header: None,
                reuse_idle_below: ORDER_REUSE_IDLE,
                connect_timeout: ORDER_CONNECT_TIMEOUT,
                write_timeout: None,
                observe_before_write: Duration::ZERO,
                timeout,
                timeout_restarts: false,
            },
        });
    }

    pub(super) fn order_answered(
        &mut self,
        exchange: ExchangeId,
        result: Result<Response, ExchangeFailure>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some((instance, order)) = self.coordination.orders.remove(&exchange) else {
            return;
        };
        self.coordination.note_change();
        if let Ok(response) = &result {
            self.note_order_notice(&instance, response, now, out);
        }
        let answer = result.map(|response| self.dialect.order_answer(&instance, &response));
        if !matches!(answer, Ok(OrderAnswer::Done { .. })) {
            let (kind, range, fence) = match &order {
                Order::Grant { range, fence, .. } => ("grant", range, fence),
                Order::Release { range, fence } => ("release", range, fence),
            };
            let failed = Event::OrderFailed {
                instance: &instance,
                order: kind,
                first: range.first,
                last: range.last,
                fence: *fence,
                answer: &format!("{answer:?}"),
            };
            failed.emit();
        }
        let Some(coordinator) = &mut self.coordination.coordinator else {
            return;
        };
        coordinator.order_ended(exchange, answer, now);
    }

    /// Writes the version that the coordinator has decided on. Only one such
    /// write is out at a time, so a late one can't undo another: the condition
    /// on the revision lets one of them through.
    fn write_record(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let pending = self
            .coordination
            .coordinator
            .as_ref()
            .and_then(Coordinator::pending_write);
        let Some(record) = pending.cloned() else {
            return;
        };
        self.coordination.write_out = true;
        let call = StoreCall::Replace {
            name: OWNERSHIP_NAME.to_owned(),
            revision: self.ownership.revision(),
            content: WrittenContent::Ownership(record),
        };
        self.start_call(Purpose::Update, call, now, out);
    }

    fn write_again(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let due = !self.coordination.write_out && self.coordination.next_write <= now;
        if due && self.coordination.has_authority(now) {
            self.write_record(now, out);
        }
    }

    pub(super) fn update_answered(
        &mut self,
        answer: Result<StoreAnswer, ExchangeFailure>,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        self.coordination.write_out = false;
        self.coordination.next_write = now + WRITE_RETRY;
        let pending = self
            .coordination
            .coordinator
            .as_ref()
            .and_then(Coordinator::pending_write)
            .cloned();
        match (answer, pending) {
            (Ok(StoreAnswer::Written(object)), Some(record)) => {
                self.store.place_confirmed(now);
                let version = RecordVersion::confirmed(object.revision);
                self.ownership_changed(record, version, started, now, out);
            }
            (Ok(StoreAnswer::Conflict), _) => {
                let conflict = Event::RecordConflict {
                    revision: self.ownership.revision(),
                };
                conflict.emit();
                // Another coordinator, or an earlier write of this one whose
                // answer was lost: the record tells.
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

    fn resign_if_asked(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let coordination = &mut self.coordination;
        let settled = coordination
            .coordinator
            .as_ref()
            .is_some_and(|coordinator| coordinator.pending_write().is_none());
        if !coordination.resigning || coordination.resign_out || !settled {
            return;
        }
        coordination.resign_out = true;
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
