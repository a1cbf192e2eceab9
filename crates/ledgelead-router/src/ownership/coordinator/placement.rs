//! Who should own what: first owners, moves, the next owner of free keys.

use super::PLAN_INTERVAL;
use super::shard::{Shard, State};
use super::{Context, Coordinator};
use crate::Timestamp;
use crate::dialect::KeyRange;
use crate::directory::{Instance, InstanceRecord};
use crate::events::Event;
use crate::identity::{InstanceId, ServiceName};
use crate::mechanisms::Mechanism;
use crate::ownership::lease::Lease;
use crate::ownership::load::KeyLoad;
use crate::ownership::planner;
use crate::ownership::planner::{Candidate, PlanSettings};
use crate::ownership::work::CapacityEstimator;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Time without a further instance after which a service's keys get their
/// first owners, so that not all keys go to the first that registers.
const FIRST_OWNERS_SETTLED: Duration = Duration::from_millis(1_500);
/// The most that first owners are waited for.
const FIRST_OWNERS_MAX_WAIT: Duration = Duration::from_secs(5);
/// How much longer they are waited for with each that has registered: the store takes some
/// thousands of registrations a second, those of other services among them.
const WAIT_A_FIRST_OWNER: Duration = Duration::from_millis(1);
/// The least that they are waited for once clients ask for keys.
const FIRST_OWNERS_MIN_WAIT: Duration = Duration::from_millis(500);
/// Service time assumed of an instance before one was seen.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Requests a second that are reckoned with at least, where an instance takes none.
const LEAST_CAPACITY: f64 = 0.25;

/// What an instance has of a service's keys.
#[derive(Clone, Debug, Default)]
struct InstanceShare {
    /// Ranges that it holds and that are not on the move.
    ranges: Vec<KeyRange>,
    /// Requests a second for ranges that are on their way to it.
    incoming: f64,
    /// Keys that it owns or that are on their way to it.
    keys: u32,
    /// Whether it has not answered some grant lately.
    is_silent: bool,
}

/// The first owners of a service's keys as they register.
#[derive(Clone, Copy, Debug)]
pub(super) struct RegistrationWindow {
    began: Timestamp,
    count: usize,
    grew: Timestamp,
}

impl RegistrationWindow {
    pub(super) fn is_over(&self, demand: bool, now: Timestamp) -> bool {
        let waited = now.saturating_sub(self.began);
        let settled = now >= self.grew + FIRST_OWNERS_SETTLED;
        let wanted = demand && waited >= FIRST_OWNERS_MIN_WAIT;
        let count = u32::try_from(self.count).unwrap_or(u32::MAX);
        let longest = FIRST_OWNERS_MAX_WAIT + WAIT_A_FIRST_OWNER.saturating_mul(count);
        self.count > 0 && (settled || wanted || waited >= longest)
    }
}

impl Coordinator {
    pub(super) fn plan_moves(&mut self, context: &Context<'_>) {
        if context.now < self.next_plan {
            return;
        }
        self.next_plan = context.now + PLAN_INTERVAL;
        self.work.decay(context.now);
        self.long_window_work.decay(context.now);
        self.follow_contended(context);
        self.overloads.clear();
        // A range that is released while the record can't be written is
        // served by nobody until it can.
        let moves = context.mechanisms.has(Mechanism::KeyMoves);
        let may_move = moves && context.store_serves && !self.writes_slowly(context.now);
        let services: Vec<ServiceName> = self.loads.keys().cloned().collect();
        for service in services {
            if let Some(load) = self.loads.get_mut(&service) {
                load.decay(context.now);
            }
            let candidates = self.candidates(context, &service);
            let overloaded = self.overloaded(&service, &candidates);
            self.overloads.extend(overloaded);
            if may_move {
                self.plan_moves_of(
                    context,
                    &service,
                    capped_by_rate_limits(context, candidates),
                );
                self.plan_long_window_moves(context, &service);
            }
        }
    }

    /// Keeps long_window counts for contended services: there the load comes so near to the
    /// capacity that owners of unequal speed have to be filled evenly.
    fn follow_contended(&mut self, context: &Context<'_>) {
        let contended = match context.mechanisms.has(Mechanism::LongWindowBalance) {
            true => {
                let mut contended = context.configuration.contended_services();
                contended.retain(|service| self.loads.contains_key(service));
                contended
            }
            false => BTreeSet::new(),
        };
        self.long_window_loads
            .retain(|service, _| contended.contains(service));
        for service in contended {
            let load = self.long_window_loads.entry(service);
            load.or_insert_with(|| KeyLoad::long_window(context.now))
                .decay(context.now);
        }
    }

    fn plan_long_window_moves(&mut self, context: &Context<'_>, service: &ServiceName) {
        let Some(load) = self.long_window_loads.get(service) else {
            return;
        };
        let candidates = self.candidates_by(context, service, &self.long_window_work, Some(load));
        let settings = PlanSettings::long_window();
        let candidates = capped_by_rate_limits(context, candidates);
        for planned in planner::plan(candidates, load, settings) {
            self.begin_move(service, &planned, context.now);
        }
    }

    fn plan_moves_of(
        &mut self,
        context: &Context<'_>,
        service: &ServiceName,
        candidates: Vec<Candidate>,
    ) {
        let Some(load) = self.loads.get(service) else {
            return;
        };
        let settings = PlanSettings {
            noise_margin: context.mechanisms.has(Mechanism::NoiseMargin),
            ..PlanSettings::default()
        };
        for planned in planner::plan(candidates, load, settings) {
            self.begin_move(service, &planned, context.now);
        }
    }

    pub(super) fn candidates(
        &self,
        context: &Context<'_>,
        service: &ServiceName,
    ) -> Vec<Candidate> {
        self.candidates_by(context, service, &self.work, self.loads.get(service))
    }

    /// The instances that can own keys of a service, by these counts of work and load.
    fn candidates_by(
        &self,
        context: &Context<'_>,
        service: &ServiceName,
        work: &CapacityEstimator,
        load: Option<&KeyLoad>,
    ) -> Vec<Candidate> {
        let instances: Vec<&Instance> = eligible_instances(context, service).collect();
        let capacities: Vec<Option<f64>> = instances
            .iter()
            .map(|instance| {
                let InstanceRecord { id, slots, .. } = &instance.record;
                let shared = context.mechanisms.has(Mechanism::SharedCapacity);
                let capacity = work.capacity(id, *slots, context.now);
                capacity.filter(|_| shared)
            })
            .collect();
        let known: Vec<f64> = capacities.iter().copied().flatten().collect();
        let typical = mean(&known);
        let mut shares = self.shares(service, load);
        instances
            .into_iter()
            .zip(capacities)
            .map(|(instance, capacity)| {
                let assumed = || typical.unwrap_or_else(|| default_capacity(instance));
                let share = shares.remove(&instance.record.id).unwrap_or_default();
                let is_unreachable = self.unreachable.contains(&instance.record.id, context.now);
                let accepts_keys = !share.is_silent && !is_unreachable;
                Candidate {
                    id: instance.record.id.clone(),
                    capacity: capacity.unwrap_or_else(assumed),
                    ranges: share.ranges,
                    accepts_keys: accepts_keys && !instance.is_cold(context.now),
                    incoming: share.incoming,
                    keys: share.keys,
                }
            })
            .collect()
    }

    /// What each instance has of a service's keys, in one pass over all ranges.
    fn shares(
        &self,
        service: &ServiceName,
        load: Option<&KeyLoad>,
    ) -> HashMap<InstanceId, InstanceShare> {
        let mut shares: HashMap<InstanceId, InstanceShare> = HashMap::new();
        let of_service = |shard: &&Shard| shard.service == *service;
        for shard in self.shards.iter().filter(of_service) {
            if let Some(owner) = &shard.owner {
                let share = shares.entry(owner.clone()).or_default();
                share.is_silent |= shard.lease.is_silent();
                if matches!(shard.state, State::Held) && shard.lease.fenced {
                    share.ranges.push(shard.range);
                    share.keys += shard.range.len();
                }
            }
            if let Some(next) = shard.next_owner() {
                let share = shares.entry(next.clone()).or_default();
                share.incoming += load.map_or(0.0, |load| load.rate(shard.range));
                share.keys += shard.range.len();
            }
        }
        shares
    }

    /// Splits the range off its shard and begins to release it.
    pub(super) fn begin_move(
        &mut self,
        service: &ServiceName,
        planned: &planner::PlannedMove,
        now: Timestamp,
    ) {
        let position = self.shards.iter().position(|shard| {
            shard.service == *service
                && shard.owner.as_ref() == Some(&planned.from)
                && shard.range.contains(planned.range.first)
                && shard.range.contains(planned.range.last)
                && matches!(shard.state, State::Held)
                && shard.lease.order.is_none()
        });
        let Some(position) = position else {
            return;
        };
        let begins = Event::MoveBegins {
            service,
            first: planned.range.first,
            last: planned.range.last,
            from: &planned.from,
            to: &planned.to,
        };
        begins.emit();
        let whole = self.shards[position].clone();
        let rest = whole.range.without(planned.range).into_iter();
        self.shards.extend(rest.map(|range| Shard {
            range,
            ..whole.clone()
        }));
        self.shards[position] = Shard {
            range: planned.range,
            state: State::Releasing {
                target: Some(planned.to.clone()),
                order: None,
                next_try: now,
            },
            ..whole
        };
    }

    /// Ranges without an owner for the services of the configuration.
    pub(super) fn cover_services(&mut self, context: &Context<'_>) {
        for service in context.configuration.sharded_services() {
            let covered = self.shards.iter().any(|shard| shard.service == *service);
            if covered {
                continue;
            }
            let owners: Vec<InstanceId> = eligible_instances(context, service)
                .map(|instance| instance.record.id.clone())
                .collect();
            let window =
                self.registration_windows
                    .entry(service.clone())
                    .or_insert(RegistrationWindow {
                        began: context.now,
                        count: 0,
                        grew: context.now,
                    });
            if owners.len() > window.count {
                window.count = owners.len();
                window.grew = context.now;
            }
            let demand = self.loads.contains_key(service);
            if !window.is_over(demand, context.now) {
                continue;
            }
            for (range, owner) in equal_ranges(owners.len()).into_iter().zip(owners) {
                self.shards.push(Shard {
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
}

/// The same with no more capacity than the rate limits that they name. What is refused for
/// one is none of the work that they can do, so other decisions go without.
pub(super) fn capped_by_rate_limits(
    context: &Context<'_>,
    mut candidates: Vec<Candidate>,
) -> Vec<Candidate> {
    if context.limits.is_empty() {
        return candidates;
    }
    for candidate in &mut candidates {
        if let Some(limit) = context.limits.limit(candidate.id.stable_hash()) {
            let most = limit.per_s().max(LEAST_CAPACITY);
            candidate.capacity = candidate.capacity.min(most);
        }
    }
    candidates
}

/// The instances of a service that keys can be given to.
pub(super) fn eligible_instances<'a>(
    context: &'a Context<'_>,
    service: &'a ServiceName,
) -> impl Iterator<Item = &'a Instance> {
    context
        .directory
        .of_service(service)
        .filter(|instance| instance.serves())
}

/// Whether keys of a service can be given to this instance.
pub(super) fn is_eligible(context: &Context<'_>, service: &ServiceName, id: &InstanceId) -> bool {
    let instance = context.directory.get(id);
    instance.is_some_and(|instance| instance.serves() && instance.record.service == *service)
}

/// All keys in ranges of about equal length.
pub(super) fn equal_ranges(count: usize) -> Vec<KeyRange> {
    let all = KeyRange::ALL.len() as usize;
    (0..count)
        .filter_map(|index| {
            let first = u16::try_from(index * all / count).ok()?;
            let last = u16::try_from((index + 1) * all / count - 1).ok()?;
            Some(KeyRange { first, last })
        })
        .collect()
}

fn mean(values: &[f64]) -> Option<f64> {
    let sum: f64 = values.iter().sum();
    (!values.is_empty()).then(|| sum / values.len() as f64)
}

/// The capacity of an instance before any was seen.
fn default_capacity(instance: &Instance) -> f64 {
    f64::from(instance.record.slots.max(1)) / DEFAULT_SERVICE_TIME.as_secs_f64()
}
