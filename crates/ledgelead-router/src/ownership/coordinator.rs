//! The coordinator of ownership: grants, renewals, moves and the record.

use super::lease::Lease;
use super::load::KeyLoad;
use super::planner::{self, Candidate};
use super::record::{Assignment, OwnershipRecord};
use crate::Timestamp;
use crate::configuration::Configuration;
use crate::dialect::{KeyRange, Order, OrderAnswer};
use crate::directory::{Directory, Instance};
use crate::identity::{InstanceId, ServiceName};
use crate::io::{ExchangeFailure, ExchangeId};
use crate::protections::Protections;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause before a release without an answer is repeated.
const RELEASE_RETRY: Duration = Duration::from_millis(300);
/// Pause between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a further instance after which a service's keys get their
/// first owners, so that not all keys go to the first that registers.
const FIRST_OWNERS_SETTLED: Duration = Duration::from_millis(1_500);
/// The most that first owners are waited for.
const FIRST_OWNERS_MAX_WAIT: Duration = Duration::from_secs(5);
/// The least that they are waited for once clients ask for keys.
const FIRST_OWNERS_MIN_WAIT: Duration = Duration::from_millis(500);
/// Service time assumed of an instance before one was seen.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Numbers exchanges.
#[derive(Debug, Default)]
pub struct ExchangeIds {
    last: u64,
}

impl ExchangeIds {
    /// The next number.
    pub fn next_id(&mut self) -> ExchangeId {
        self.last += 1;
        ExchangeId(self.last)
    }
}

/// An order to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingOrder {
    /// The exchange that carries it.
    pub exchange: ExchangeId,
    /// The receiver.
    pub instance: InstanceId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
}

/// What the coordinator wants done.
#[derive(Debug, Default)]
pub struct Commands {
    /// Orders to instances.
    pub orders: Vec<OutgoingOrder>,
    /// The next version of the record.
    pub write: Option<OwnershipRecord>,
}

/// What the coordinator decides with.
pub struct Context<'a> {
    /// The time.
    pub now: Timestamp,
    /// The instances.
    pub directory: &'a Directory,
    /// The configuration.
    pub configuration: &'a Configuration,
    /// Seconds of work for one request, by instance, where they are known.
    pub service_times: &'a dyn Fn(&InstanceId) -> Option<Duration>,
    /// Numbers exchanges.
    pub exchanges: &'a mut ExchangeIds,
}

#[derive(Clone, Debug)]
enum State {
    /// The owner holds the keys, or is being granted them.
    Held,
    /// The owner gives the keys back.
    Releasing {
        target: Option<InstanceId>,
        order: Option<ExchangeId>,
        next_try: Timestamp,
    },
    /// Nobody holds the keys.
    Free {
        target: Option<InstanceId>,
        handover: Option<String>,
    },
    /// The record is being written with the next owner.
    Writing {
        owner: InstanceId,
        fence: u64,
        handover: Option<String>,
    },
}

/// The first owners of a service's keys as they register.
#[derive(Clone, Copy, Debug)]
struct Gathering {
    began: Timestamp,
    count: usize,
    grew: Timestamp,
}

impl Gathering {
    fn is_over(&self, demand: bool, now: Timestamp) -> bool {
        let waited = now.saturating_sub(self.began);
        let settled = now >= self.grew + FIRST_OWNERS_SETTLED;
        let wanted = demand && waited >= FIRST_OWNERS_MIN_WAIT;
        self.count > 0 && (settled || wanted || waited >= FIRST_OWNERS_MAX_WAIT)
    }
}

/// A range of keys and where it stands.
#[derive(Clone, Debug)]
struct Holding {
    service: ServiceName,
    range: KeyRange,
    owner: Option<InstanceId>,
    fence: u64,
    lease: Lease,
    state: State,
}

/// The coordinator.
pub struct Coordinator {
    record: OwnershipRecord,
    next_fence: u64,
    holdings: Vec<Holding>,
    loads: BTreeMap<ServiceName, KeyLoad>,
    writing: Option<OwnershipRecord>,
    authority_end_of_predecessor: Timestamp,
    next_plan: Timestamp,
    gatherings: BTreeMap<ServiceName, Gathering>,
    refused: bool,
    protections: Protections,
    counters: OwnershipCounters,
}

/// What the coordinator has done, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnershipCounters {
    /// Grants answered.
    pub grants: u64,
    /// Grants without an answer.
    pub grants_unanswered: u64,
    /// Releases answered.
    pub releases: u64,
    /// Ranges whose lease was waited out.
    pub lapses: u64,
    /// Ranges that changed their owner.
    pub moves: u64,
}

impl Coordinator {
    /// A coordinator named by this version of the record.
    /// `predecessor_end` is when the one before can't give orders any more.
    pub fn new(
        record: OwnershipRecord,
        predecessor_end: Timestamp,
        protections: Protections,
        now: Timestamp,
    ) -> Coordinator {
        let holdings = record
            .assignments
            .iter()
            .map(|assignment| Holding {
                service: assignment.service.clone(),
                range: assignment.range(),
                owner: Some(assignment.owner.clone()),
                fence: assignment.fence,
                lease: Lease::inherited(now, predecessor_end.max(now)),
                state: State::Held,
            })
            .collect();
        Coordinator {
            next_fence: record.next_fence,
            record,
            holdings,
            loads: BTreeMap::new(),
            writing: None,
            authority_end_of_predecessor: predecessor_end,
            next_plan: now + PLAN_INTERVAL * 2,
            gatherings: BTreeMap::new(),
            refused: false,
            protections,
            counters: OwnershipCounters::default(),
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.record.epoch
    }

    /// What has been done.
    pub fn counters(&self) -> OwnershipCounters {
        self.counters
    }

    /// The version that is being written, if one is.
    pub fn pending_write(&self) -> Option<&OwnershipRecord> {
        self.writing.as_ref()
    }

    /// Whether an instance refused an order for a higher fencing token since
    /// this was asked last.
    pub fn take_refused(&mut self) -> bool {
        std::mem::take(&mut self.refused)
    }

    /// The predecessor has ended for certain.
    pub fn predecessor_ended(&mut self, now: Timestamp) {
        if self.authority_end_of_predecessor <= now {
            return;
        }
        self.authority_end_of_predecessor = now;
        let earliest = Lease::inherited(now, now).possible_until;
        for holding in &mut self.holdings {
            holding.lease.possible_until = holding.lease.possible_until.min(earliest);
        }
    }

    /// Requests were seen for these keys.
    pub fn record_load(&mut self, service: &ServiceName, keys: &[u16], now: Timestamp) {
        let load = self
            .loads
            .entry(service.clone())
            .or_insert_with(|| KeyLoad::new(now));
        for key in keys {
            load.record(*key);
        }
    }

    /// Decides what is due. Orders must be sent at once or not at all: the
    /// caller has checked the coordinator's authority for this very moment.
    pub fn step(&mut self, context: &mut Context<'_>) -> Commands {
        let mut commands = Commands::default();
        self.cover_services(context);
        self.replace_lost_owners(context);
        self.plan_moves(context);
        self.release(context, &mut commands);
        self.grant(context, &mut commands);
        commands.write = self.begin_write(context);
        commands
    }

    /// When `step` has something to do next.
    pub fn next_step(&self) -> Timestamp {
        let of_holding = |holding: &Holding| match &holding.state {
            State::Held if holding.lease.order.is_some() => None,
            State::Held => Some(holding.lease.next_grant),
            State::Releasing { order: None, .. } if holding.lease.order.is_some() => None,
            State::Releasing {
                order: None,
                next_try,
                ..
            } if holding.lease.fenced => Some(*next_try),
            State::Releasing { order: None, .. } => Some(holding.lease.next_grant),
            State::Releasing { .. } => Some(holding.lease.possible_until),
            State::Free { .. } | State::Writing { .. } => None,
        };
        self.holdings
            .iter()
            .filter_map(of_holding)
            .chain([self.next_plan])
            .min()
            .unwrap_or(self.next_plan)
    }

    /// Ranges without an owner for the services of the configuration.
    fn cover_services(&mut self, context: &Context<'_>) {
        for service in context.configuration.sharded_services() {
            let covered = self
                .holdings
                .iter()
                .any(|holding| holding.service == *service);
            if covered {
                continue;
            }
            let owners: Vec<InstanceId> = takers(context, service)
                .map(|instance| instance.record.id.clone())
                .collect();
            let gathering = self.gatherings.entry(service.clone()).or_insert(Gathering {
                began: context.now,
                count: 0,
                grew: context.now,
            });
            if owners.len() > gathering.count {
                gathering.count = owners.len();
                gathering.grew = context.now;
            }
            let demand = self.loads.contains_key(service);
            if !gathering.is_over(demand, context.now) {
                continue;
            }
            for (range, owner) in equal_ranges(owners.len()).into_iter().zip(owners) {
                self.holdings.push(Holding {
                    service: service.clone(),
                    range,
                    owner: None,
                    fence: 0,
                    lease: Lease::fresh(context.now, None),
                    state: State::Free {
                        target: Some(owner),
                        handover: None,
                    },
                });
            }
        }
    }

    /// Keys of owners that leave, are gone, or fell silent have to move.
    fn replace_lost_owners(&mut self, context: &Context<'_>) {
        for holding in &mut self.holdings {
            let Some(owner) = &holding.owner else {
                continue;
            };
            if context.directory.has_ended(owner) {
                holding.lease.possible_until = holding.lease.possible_until.min(context.now);
            }
            let leaving = context
                .directory
                .get(owner)
                .is_none_or(|instance| !instance.serves());
            let over = holding.lease.is_over(self.protections, context.now);
            let lapsed = holding.lease.is_silent() && over;
            if matches!(holding.state, State::Held) && (leaving || lapsed) {
                holding.state = State::Releasing {
                    target: None,
                    order: None,
                    next_try: context.now,
                };
            }
        }
    }

    fn plan_moves(&mut self, context: &Context<'_>) {
        if context.now < self.next_plan {
            return;
        }
        self.next_plan = context.now + PLAN_INTERVAL;
        let services: Vec<ServiceName> = self.loads.keys().cloned().collect();
        for service in services {
            let candidates = self.candidates(context, &service);
            let Some(load) = self.loads.get_mut(&service) else {
                continue;
            };
            load.decay(context.now);
            for planned in planner::plan(candidates, load) {
                self.begin_move(&service, &planned, context.now);
            }
        }
    }

    fn candidates(&self, context: &Context<'_>, service: &ServiceName) -> Vec<Candidate> {
        let instances: Vec<&Instance> = takers(context, service).collect();
        let known: Vec<Duration> = instances
            .iter()
            .filter_map(|instance| (context.service_times)(&instance.record.id))
            .collect();
        let typical = mean(&known).unwrap_or(DEFAULT_SERVICE_TIME);
        instances
            .into_iter()
            .map(|instance| self.candidate(context, service, instance, typical))
            .collect()
    }

    fn candidate(
        &self,
        context: &Context<'_>,
        service: &ServiceName,
        instance: &Instance,
        typical: Duration,
    ) -> Candidate {
        let id = &instance.record.id;
        let service_time = (context.service_times)(id).unwrap_or(typical);
        let owned =
            |holding: &&Holding| holding.service == *service && holding.owner.as_ref() == Some(id);
        let settled =
            |holding: &&Holding| matches!(holding.state, State::Held) && holding.lease.fenced;
        let silent = self
            .holdings
            .iter()
            .filter(owned)
            .any(|holding| holding.lease.is_silent());
        let load = self.loads.get(service);
        let incoming = self
            .holdings
            .iter()
            .filter(|holding| holding.service == *service && holding.next_owner() == Some(id))
            .map(|holding| load.map_or(0.0, |load| load.rate(holding.range)))
            .sum();
        Candidate {
            id: id.clone(),
            capacity: f64::from(instance.record.slots.max(1))
                / service_time.as_secs_f64().max(0.001),
            ranges: self
                .holdings
                .iter()
                .filter(owned)
                .filter(settled)
                .map(|holding| holding.range)
                .collect(),
            takes_keys: !silent && instance.warm_at <= context.now,
            incoming,
        }
    }

    /// Splits the range off its holding and begins to release it.
    fn begin_move(
        &mut self,
        service: &ServiceName,
        planned: &planner::PlannedMove,
        now: Timestamp,
    ) {
        let position = self.holdings.iter().position(|holding| {
            holding.service == *service
                && holding.owner.as_ref() == Some(&planned.from)
                && holding.range.contains(planned.range.first)
                && holding.range.contains(planned.range.last)
                && matches!(holding.state, State::Held)
                && holding.lease.order.is_none()
        });
        let Some(position) = position else {
            return;
        };
        log::info!(
            target: "ownership",
            "moves {}-{} of {service} from {} to {}",
            planned.range.first, planned.range.last, planned.from, planned.to
        );
        let whole = self.holdings.remove(position);
        for range in remainders(whole.range, planned.range) {
            self.holdings.push(Holding {
                range,
                ..whole.clone()
            });
        }
        self.holdings.push(Holding {
            range: planned.range,
            state: State::Releasing {
                target: Some(planned.to.clone()),
                order: None,
                next_try: now,
            },
            ..whole
        });
    }

    /// Releases what has to move, or waits out its lease.
    ///
    /// A release goes out only when no grant of this range is on its way, and
    /// after the owner has answered a grant of this epoch: otherwise a grant
    /// of this or of an earlier coordinator could take the keys once more.
    fn release(&mut self, context: &mut Context<'_>, commands: &mut Commands) {
        for holding in &mut self.holdings {
            let State::Releasing {
                target,
                order,
                next_try,
            } = &mut holding.state
            else {
                continue;
            };
            if holding.lease.is_over(self.protections, context.now) {
                self.counters.lapses += 1;
                holding.state = State::Free {
                    target: target.take(),
                    handover: None,
                };
                continue;
            }
            let reachable = holding.lease.fenced && holding.lease.order.is_none();
            if order.is_some() || *next_try > context.now || !reachable {
                continue;
            }
            let Some(instance) = holding
                .owner
                .as_ref()
                .and_then(|id| context.directory.get(id))
            else {
                *next_try = holding.lease.possible_until;
                continue;
            };
            let exchange = context.exchanges.next_id();
            *order = Some(exchange);
            // The token of the next owner, or a lower one: grants of this
            // range that are still on their way are refused from now on.
            let fence = self.next_fence;
            commands.orders.push(OutgoingOrder {
                exchange,
                instance: instance.record.id.clone(),
                address: instance.record.address,
                order: Order::Release {
                    range: holding.range,
                    fence,
                },
            });
        }
    }

    /// Grants and renews what is due. A range that is to be released is
    /// granted on only until its owner has answered this coordinator once.
    fn grant(&mut self, context: &mut Context<'_>, commands: &mut Commands) {
        for holding in &mut self.holdings {
            let wanted = match &holding.state {
                State::Held => true,
                State::Releasing { order, .. } => order.is_none() && !holding.lease.fenced,
                State::Free { .. } | State::Writing { .. } => false,
            };
            let due = holding.lease.order.is_none() && holding.lease.next_grant <= context.now;
            if !wanted || !due {
                continue;
            }
            let instance = holding
                .owner
                .as_ref()
                .and_then(|id| context.directory.get(id));
            let Some(instance) = instance else {
                holding.lease.unanswered(false, context.now);
                continue;
            };
            let exchange = context.exchanges.next_id();
            holding.lease.granting(exchange);
            commands.orders.push(OutgoingOrder {
                exchange,
                instance: instance.record.id.clone(),
                address: instance.record.address,
                order: Order::Grant {
                    range: holding.range,
                    fence: holding.fence,
                    hold: crate::settings::HOLD,
                    handover: holding.lease.handover.clone(),
                },
            });
        }
    }

    /// Puts all free ranges under their next owners, in one write.
    fn begin_write(&mut self, context: &Context<'_>) -> Option<OwnershipRecord> {
        if self.writing.is_some() {
            return None;
        }
        let mut changed = false;
        for index in 0..self.holdings.len() {
            let State::Free { target, handover } = &self.holdings[index].state else {
                continue;
            };
            let handover = handover.clone();
            let service = self.holdings[index].service.clone();
            let wished = target
                .clone()
                .filter(|id| takers(context, &service).any(|instance| instance.record.id == *id));
            let over = self.holdings[index]
                .lease
                .is_over(self.protections, context.now);
            if wished.is_none() && !over {
                // Refused by an owner that left since: it may hold the keys.
                self.holdings[index].state = State::Releasing {
                    target: None,
                    order: None,
                    next_try: context.now,
                };
                continue;
            }
            let Some(owner) = wished.or_else(|| self.least_loaded(context, &service)) else {
                continue;
            };
            self.holdings[index].state = State::Writing {
                owner,
                fence: self.next_fence,
                handover,
            };
            self.next_fence += 1;
            changed = true;
        }
        if !changed {
            return None;
        }
        self.writing = Some(self.projected_record());
        self.writing.clone()
    }

    fn least_loaded(&self, context: &Context<'_>, service: &ServiceName) -> Option<InstanceId> {
        let load = self.loads.get(service);
        let utilisation = |candidate: &Candidate| {
            let own: f64 = candidate
                .ranges
                .iter()
                .map(|range| load.map_or(0.0, |load| load.rate(*range)))
                .sum();
            let keys: u32 = candidate.ranges.iter().map(|range| range.len()).sum();
            let tie = f64::from(keys) * 1e-9;
            (own + candidate.incoming) / candidate.capacity + tie
        };
        let candidates = self.candidates(context, service);
        let pick = |usable: &dyn Fn(&&Candidate) -> bool| {
            candidates
                .iter()
                .filter(usable)
                .min_by(|left, right| utilisation(left).total_cmp(&utilisation(right)))
                .map(|candidate| candidate.id.clone())
        };
        pick(&|candidate| candidate.takes_keys).or_else(|| pick(&|_| true))
    }

    /// The record as it stands once all writes that are decided are done.
    fn projected_record(&self) -> OwnershipRecord {
        let mut assignments: Vec<Assignment> = self
            .holdings
            .iter()
            .filter_map(Holding::projected)
            .collect();
        assignments
            .sort_by(|left, right| (&left.service, left.first).cmp(&(&right.service, right.first)));
        let mut record = OwnershipRecord {
            epoch: self.record.epoch,
            coordinator: self.record.coordinator.clone(),
            next_fence: self.next_fence,
            assignments: Vec::with_capacity(assignments.len()),
        };
        for assignment in assignments {
            match record.assignments.last_mut() {
                Some(last) if continues(last, &assignment) => last.last = assignment.last,
                _ => record.assignments.push(assignment),
            }
        }
        record
    }

    /// The version that was being written is in the store.
    pub fn written(&mut self, now: Timestamp) {
        let Some(record) = self.writing.take() else {
            return;
        };
        self.record = record;
        for holding in &mut self.holdings {
            let State::Writing {
                owner,
                fence,
                handover,
            } = &holding.state
            else {
                continue;
            };
            self.counters.moves += 1;
            log::info!(
                target: "ownership",
                "{} owns {}-{} of {} under {fence}",
                owner, holding.range.first, holding.range.last, holding.service
            );
            holding.lease = Lease::fresh(now, handover.clone());
            holding.fence = *fence;
            holding.owner = Some(owner.clone());
            holding.state = State::Held;
        }
    }

    /// An order ended.
    pub fn order_ended(
        &mut self,
        exchange: ExchangeId,
        result: Result<OrderAnswer, ExchangeFailure>,
        now: Timestamp,
    ) {
        let holding = self.holdings.iter_mut().find(|holding| {
            holding.lease.order == Some(exchange) || holding.release_order() == Some(exchange)
        });
        let Some(holding) = holding else {
            return;
        };
        if holding.lease.order == Some(exchange) {
            let refused = holding.grant_ended(result, now, &mut self.counters);
            self.refused |= refused;
        } else {
            holding.release_ended(result, now, &mut self.counters);
        }
    }
}

impl Holding {
    fn release_order(&self) -> Option<ExchangeId> {
        match &self.state {
            State::Releasing { order, .. } => *order,
            _ => None,
        }
    }

    /// The owner that a move leads to, if that is decided.
    fn next_owner(&self) -> Option<&InstanceId> {
        match &self.state {
            State::Held => (!self.lease.fenced)
                .then_some(self.owner.as_ref())
                .flatten(),
            State::Releasing { target, .. } | State::Free { target, .. } => target.as_ref(),
            State::Writing { owner, .. } => Some(owner),
        }
    }

    fn projected(&self) -> Option<Assignment> {
        let (owner, fence) = match &self.state {
            State::Writing { owner, fence, .. } => (owner.clone(), *fence),
            _ => (self.owner.clone()?, self.fence),
        };
        Some(Assignment {
            service: self.service.clone(),
            first: self.range.first,
            last: self.range.last,
            owner,
            fence,
        })
    }

    /// Returns whether the instance has seen a higher fencing token.
    fn grant_ended(
        &mut self,
        result: Result<OrderAnswer, ExchangeFailure>,
        now: Timestamp,
        counters: &mut OwnershipCounters,
    ) -> bool {
        match result {
            Ok(OrderAnswer::Done { .. }) => {
                counters.grants += 1;
                self.lease.granted(now);
            }
            Ok(OrderAnswer::Fenced) => {
                // Never repeated under this token: the range gets a higher
                // one, if this node is still the coordinator.
                self.lease.unanswered(false, now);
                self.state = State::Free {
                    target: self.owner.clone(),
                    handover: None,
                };
                return true;
            }
            Ok(OrderAnswer::OtherInstance) => {
                self.lease.unanswered(false, now);
                self.lease.possible_until = now;
                self.lease.failures = u32::MAX / 2;
            }
            Ok(OrderAnswer::Refused) => {
                counters.grants_unanswered += 1;
                self.lease.unanswered(false, now);
            }
            Err(failure) => {
                counters.grants_unanswered += 1;
                self.lease.unanswered(!failure.proves_not_sent(), now);
            }
        }
        false
    }

    fn release_ended(
        &mut self,
        result: Result<OrderAnswer, ExchangeFailure>,
        now: Timestamp,
        counters: &mut OwnershipCounters,
    ) {
        let State::Releasing {
            target,
            order,
            next_try,
        } = &mut self.state
        else {
            return;
        };
        *order = None;
        let handover = match result {
            Ok(OrderAnswer::Done { handover }) => handover,
            Ok(OrderAnswer::OtherInstance) => None,
            Ok(OrderAnswer::Fenced | OrderAnswer::Refused) | Err(_) => {
                *next_try = now + RELEASE_RETRY;
                return;
            }
        };
        counters.releases += 1;
        self.lease.possible_until = now;
        self.state = State::Free {
            target: target.take(),
            handover,
        };
    }
}

/// Whether the second assignment only continues the first.
fn continues(first: &Assignment, second: &Assignment) -> bool {
    first.service == second.service
        && first.owner == second.owner
        && first.fence == second.fence
        && first.last.checked_add(1) == Some(second.first)
}

/// The instances of a service that keys can be given to.
fn takers<'a>(
    context: &'a Context<'_>,
    service: &'a ServiceName,
) -> impl Iterator<Item = &'a Instance> {
    context
        .directory
        .of_service(service)
        .filter(|instance| instance.serves())
}

/// All keys in ranges of about equal length.
fn equal_ranges(count: usize) -> Vec<KeyRange> {
    let all = KeyRange::ALL.len() as usize;
    (0..count)
        .filter_map(|index| {
            let first = u16::try_from(index * all / count).ok()?;
            let last = u16::try_from((index + 1) * all / count - 1).ok()?;
            Some(KeyRange { first, last })
        })
        .collect()
}

/// What is left of a range without a part of it.
fn remainders(whole: KeyRange, part: KeyRange) -> Vec<KeyRange> {
    let mut ranges = Vec::new();
    if whole.first < part.first {
        ranges.push(KeyRange {
            first: whole.first,
            last: part.first - 1,
        });
    }
    if part.last < whole.last {
        ranges.push(KeyRange {
            first: part.last + 1,
            last: whole.last,
        });
    }
    ranges
}

fn mean(values: &[Duration]) -> Option<Duration> {
    let count = u32::try_from(values.len())
        .ok()
        .filter(|count| *count > 0)?;
    Some(values.iter().sum::<Duration>() / count)
}
