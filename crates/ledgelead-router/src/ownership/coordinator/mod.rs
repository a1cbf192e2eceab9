//! The coordinator of ownership: grants, renewals, moves and the record.

mod orders;
mod overload;
mod placement;
mod shard;
mod unreachable;
mod writes;

use self::placement::RegistrationWindow;
use self::shard::{Shard, State};
use self::unreachable::UnreachableOwners;
use super::lease::{GracePeriod, Lease};
use super::load::KeyLoad;
use super::record::{Assignment, OwnershipRecord, RangeGracePeriod};
use super::work::{CapacityEstimator, WorkSample};
use crate::Timestamp;
use crate::configuration::Configuration;
use crate::dialect::Order;
use crate::directory::Directory;
use crate::identity::{InstanceId, ServiceName};
use crate::io::ExchangeId;
use crate::mechanisms::Mechanisms;
use crate::protections::Protections;
use crate::rate_limit::KnownLimits;
use crate::requests::OverloadedKey;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Allocates exchange ids.
#[derive(Debug, Default)]
pub struct ExchangeIds {
    last: u64,
}

impl ExchangeIds {
    /// The next exchange id.
    pub fn next_id(&mut self) -> ExchangeId {
        self.last += 1;
        ExchangeId(self.last)
    }
}

/// An order to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingOrder {
    /// The exchange that sends it.
    pub exchange: ExchangeId,
    /// The receiver.
    pub instance: InstanceId,
    /// The receiver's address.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// Whether it is a grant under a token for which the receiver has answered no grant yet.
    pub is_first_grant: bool,
}

/// The result of a step of the coordinator.
#[derive(Debug, Default)]
pub struct Commands {
    /// Orders to instances.
    pub orders: Vec<OutgoingOrder>,
    /// The next version of the record.
    pub write: Option<OwnershipRecord>,
}

/// The inputs of a decision.
pub struct Context<'a> {
    /// The time.
    pub now: Timestamp,
    /// The instances.
    pub directory: &'a Directory,
    /// The configuration.
    pub configuration: &'a Configuration,
    /// Rate limits that instances have announced.
    pub limits: &'a KnownLimits,
    /// Whether the store serves this node, so that a next owner can be recorded soon.
    pub store_serves: bool,
    /// Whether no instance can be reached, neither by this node nor by way of a peer.
    pub is_cut_off: bool,
    /// The store's revision of the record.
    pub record_revision: u64,
    /// The revision of the record that all nodes are known to have, if any.
    pub known_to_all: Option<u64>,
    /// Which mechanisms are enabled.
    pub mechanisms: Mechanisms,
    /// Allocates exchange ids.
    pub exchanges: &'a mut ExchangeIds,
}

/// Assigns keys to instances, and grants, renews and releases them.
pub struct Coordinator {
    record: OwnershipRecord,
    /// The next unused fencing token. It may be granted once `record.next_fence` is above it.
    next_fence: u64,
    /// A shard keeps its index; shards that are split off are appended.
    shards: Vec<Shard>,
    /// Shards with an unanswered order, by exchange.
    pending_orders: HashMap<ExchangeId, usize>,
    /// Change counter of the directory at the last review of all owners, and when the next
    /// review is due without a change.
    owners_reviewed: Option<u64>,
    next_owner_review: Timestamp,
    loads: BTreeMap<ServiceName, KeyLoad>,
    work: CapacityEstimator,
    /// The same over several seconds, for services with contended instances.
    long_window_loads: BTreeMap<ServiceName, KeyLoad>,
    long_window_work: CapacityEstimator,
    writing: Option<OwnershipRecord>,
    writing_since: Option<Timestamp>,
    /// Earliest time of the next write of the record.
    next_write: Timestamp,
    earlier: EarlierAuthority,
    /// Until when instances that the record does not name may hold keys.
    unknown_holds_until: Timestamp,
    next_plan: Timestamp,
    /// When ranges for which no instance had spare capacity are tried again.
    next_placement: Timestamp,
    unreachable: UnreachableOwners,
    /// Keys with more requests than their owners can process.
    overloads: Vec<OverloadedKey>,
    registration_windows: BTreeMap<ServiceName, RegistrationWindow>,
    protections: Protections,
    counters: OwnershipCounters,
}

/// Until when earlier coordinators may send orders.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAuthority {
    /// The direct predecessor. Ends early if the predecessor is proved to have ended.
    pub predecessor: Timestamp,
    /// Coordinators before the predecessor, as recorded by the predecessor.
    pub others: Timestamp,
}

impl EarlierAuthority {
    /// When the last of them ends.
    pub fn end(&self) -> Timestamp {
        self.predecessor.max(self.others)
    }
}

/// Counters for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnershipCounters {
    /// Answered grants.
    pub grants: u64,
    /// Unanswered grants.
    pub grants_unanswered: u64,
    /// Answered releases.
    pub releases: u64,
    /// Ranges whose lease expired.
    pub lapses: u64,
    /// Ranges that changed their owner.
    pub moves: u64,
}

impl Coordinator {
    /// A coordinator that this version of the record names.
    pub fn new(
        record: OwnershipRecord,
        earlier: EarlierAuthority,
        protections: Protections,
        now: Timestamp,
    ) -> Coordinator {
        let shards = record
            .assignments
            .iter()
            .map(|assignment| Shard {
                service: assignment.service.clone(),
                range: assignment.range(),
                owner: Some(assignment.owner.clone()),
                fence: assignment.fence,
                lease: Lease {
                    grace_period: inherited_grace_period(&record, assignment, now),
                    ..Lease::inherited(now, earlier.end().max(now))
                },
                state: State::Held,
            })
            .collect();
        Coordinator {
            next_fence: record.next_fence,
            record,
            shards,
            pending_orders: HashMap::new(),
            owners_reviewed: None,
            next_owner_review: now,
            loads: BTreeMap::new(),
            work: CapacityEstimator::new(now),
            long_window_loads: BTreeMap::new(),
            long_window_work: CapacityEstimator::long_window(now),
            writing: None,
            writing_since: None,
            next_write: now,
            earlier,
            unknown_holds_until: now,
            next_plan: now + PLAN_INTERVAL * 2,
            next_placement: now,
            unreachable: UnreachableOwners::default(),
            overloads: Vec::new(),
            registration_windows: BTreeMap::new(),
            protections,
            counters: OwnershipCounters::default(),
        }
    }

    /// Grants no keys before this time, since versions of the record were lost and any key may
    /// be held by an instance that the record does not name. After that, keys go to the
    /// recorded owners, or to others if those are gone.
    pub fn with_unknown_holds(mut self, until: Timestamp) -> Coordinator {
        self.unknown_holds_until = until;
        for shard in &mut self.shards {
            shard.block_until(until);
        }
        self
    }

    /// Whether instances that the record does not name may hold keys.
    fn has_unknown_holds(&self, now: Timestamp) -> bool {
        now < self.unknown_holds_until
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.record.epoch
    }

    /// Counters for metrics.
    pub fn counters(&self) -> OwnershipCounters {
        self.counters
    }

    /// Keys with more requests than their owners can process, by the last plan.
    pub fn overloads(&self) -> &[OverloadedKey] {
        &self.overloads
    }

    /// The version that is being written, if any.
    pub fn pending_write(&self) -> Option<&OwnershipRecord> {
        self.writing.as_ref()
    }

    /// The predecessor is proved to have ended.
    pub fn predecessor_ended(&mut self, now: Timestamp) {
        if self.earlier.predecessor <= now || self.has_unknown_holds(now) {
            return;
        }
        self.earlier.predecessor = now;
        let earliest = Lease::inherited(now, self.earlier.end()).possible_until;
        for shard in &mut self.shards {
            shard.lease.possible_until = shard.lease.possible_until.min(earliest);
        }
    }

    /// How long earlier coordinators may still send orders.
    pub fn earlier_authority(&self, now: Timestamp) -> Duration {
        self.earlier.end().saturating_sub(now)
    }

    /// Counts requests for these keys.
    pub fn record_load(&mut self, service: &ServiceName, keys: &[u16], now: Timestamp) {
        let load = self
            .loads
            .entry(service.clone())
            .or_insert_with(|| KeyLoad::new(now));
        for key in keys {
            load.record(*key);
        }
        if let Some(long_window) = self.long_window_loads.get_mut(service) {
            for key in keys {
                long_window.record(*key);
            }
        }
    }

    /// Adds the work that an owner did for one node's requests.
    pub fn record_work(&mut self, instance: u64, work: WorkSample) {
        self.work.record(instance, work);
        self.long_window_work.record(instance, work);
    }

    /// Whether new owners wait for their keys until all nodes know of them.
    pub fn has_grace_periods(&self) -> bool {
        let has_grace_period = |shard: &Shard| shard.lease.grace_period.is_some();
        self.shards.iter().any(has_grace_period)
    }

    fn review_grace_periods(&mut self, context: &Context<'_>) {
        // While a version is being written, the known one may not name the new owners yet.
        if self.writing.is_some() {
            return;
        }
        for shard in &mut self.shards {
            shard.lease.review_grace_period(
                context.record_revision,
                context.known_to_all,
                context.now,
            );
        }
    }

    /// Decides what is due. Orders must be sent at once or not at all: the caller has checked
    /// that the coordinator may send orders at this moment.
    pub fn step(&mut self, context: &mut Context<'_>) -> Commands {
        let mut commands = Commands::default();
        self.review_grace_periods(context);
        if !self.has_unknown_holds(context.now) {
            self.add_shards_for_new_services(context);
            self.replace_lost_owners(context);
            self.plan_moves(context);
        }
        self.send_releases(context, &mut commands);
        self.send_grants(context, &mut commands);
        commands.write = self.begin_write(context);
        commands
    }

    /// When `step` has to be called next.
    pub fn next_step(&self) -> Timestamp {
        let of_shard = |shard: &Shard| match &shard.state {
            State::Held if shard.lease.order.is_some() => None,
            State::Held if !self.is_token_recorded(shard) => None,
            State::Held => Some(shard.lease.next_step()),
            State::Releasing { order: None, .. } if shard.lease.order.is_some() => None,
            State::Releasing { order: None, .. } if !self.is_token_recorded(shard) => None,
            State::Releasing {
                order: None,
                next_attempt,
                ..
            } if shard.lease.fenced => Some(*next_attempt),
            State::Releasing { order: None, .. } => Some(shard.lease.next_step()),
            State::Releasing { .. } => Some(shard.lease.possible_until),
            State::Free { .. } | State::Assigning { .. } => None,
        };
        self.shards
            .iter()
            .filter_map(of_shard)
            .chain([self.next_plan])
            .chain(self.next_possible_write())
            .min()
            .unwrap_or(self.next_plan)
    }
}

/// The grace_period that an earlier coordinator has imposed on an assignment.
fn inherited_grace_period(
    record: &OwnershipRecord,
    assignment: &Assignment,
    now: Timestamp,
) -> Option<GracePeriod> {
    let grace_periods = record.grace_periods.iter();
    let left = grace_periods
        .filter(|grace_period| grace_period.covers(&assignment.service, assignment.range()))
        .map(RangeGracePeriod::left)
        .max()?;
    Some(GracePeriod {
        until: now + left,
        revision: None,
    })
}
