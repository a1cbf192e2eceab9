//! Decides who owns what: initial owners, moves, and next owners of free ranges.

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

/// Time without a new registration after which a service's keys get their initial owners, so
/// that they do not all go to the instance that registers first.
const REGISTRATION_SETTLED: Duration = Duration::from_millis(1_500);
/// Maximum wait for initial owners.
const REGISTRATION_MAX_WAIT: Duration = Duration::from_secs(5);
/// Additional wait per registered instance: the store accepts some thousands of registrations
/// a second, including those of other services.
const REGISTRATION_WAIT_PER_INSTANCE: Duration = Duration::from_millis(1);
/// Minimum wait for initial owners once clients send requests for keys.
const REGISTRATION_MIN_WAIT: Duration = Duration::from_millis(500);
/// Assumed service time of an instance without samples.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Minimum capacity, in requests a second, that is assumed for an instance that accepts none.
const MIN_CAPACITY: f64 = 0.25;

/// An instance's share of a service's keys.
#[derive(Clone, Debug, Default)]
struct InstanceShare {
    /// Ranges that it holds and that are not being moved.
    ranges: Vec<KeyRange>,
    /// Requests a second for ranges that are being moved to it.
    incoming: f64,
    /// Number of keys that it owns or that are being moved to it.
    keys: u32,
    /// Whether it has not answered recent grants for some range.
    is_unresponsive: bool,
}

/// Registrations of a service's instances before its keys have initial owners.
#[derive(Clone, Copy, Debug)]
pub(super) struct RegistrationWindow {
    opened_at: Timestamp,
    count: usize,
    grew_at: Timestamp,
}

impl RegistrationWindow {
    pub(super) fn is_closed(&self, demand: bool, now: Timestamp) -> bool {
        let waited = now.saturating_sub(self.opened_at);
        let settled = now >= self.grew_at + REGISTRATION_SETTLED;
        let wanted = demand && waited >= REGISTRATION_MIN_WAIT;
        let count = u32::try_from(self.count).unwrap_or(u32::MAX);
        let longest = REGISTRATION_MAX_WAIT + REGISTRATION_WAIT_PER_INSTANCE.saturating_mul(count);
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
        self.update_long_window_loads(context);
        self.overloads.clear();
        // A range that is released while the record cannot be written stays without an owner
        // until it can.
        let moves = context.mechanisms.has(Mechanism::KeyMoves);
        let may_move = moves && context.store_serves && !self.writes_slowly(context.now);
        let services: Vec<ServiceName> = self.loads.keys().cloned().collect();
        for service in services {
            if let Some(load) = self.loads.get_mut(&service) {
                load.decay(context.now);
            }
            let candidates = self.candidates(context, &service);
            let overloaded = self.overloaded_keys(&service, &candidates);
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

    /// Keeps counts over several seconds for contended services: their load comes so close to
    /// capacity that owners of unequal speed must be filled evenly.
    fn update_long_window_loads(&mut self, context: &Context<'_>) {
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

    /// The instances that can own keys of a service, by the given counts of work and load.
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
                let accepts_keys = !share.is_unresponsive && !is_unreachable;
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

    /// Each instance's share of a service's keys, in one pass over all shards.
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
                share.is_unresponsive |= shard.lease.is_unresponsive();
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
                next_attempt: now,
            },
            ..whole
        };
    }

    /// Adds shards without an owner for new services of the configuration.
    pub(super) fn add_shards_for_new_services(&mut self, context: &Context<'_>) {
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
                        opened_at: context.now,
                        count: 0,
                        grew_at: context.now,
                    });
            if owners.len() > window.count {
                window.count = owners.len();
                window.grew_at = context.now;
            }
            let demand = self.loads.contains_key(service);
            if !window.is_closed(demand, context.now) {
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

/// Caps the capacity of candidates at the rate limits that they have announced. Requests
/// refused because of a limit are no work for the instance, so other decisions ignore limits.
pub(super) fn capped_by_rate_limits(
    context: &Context<'_>,
    mut candidates: Vec<Candidate>,
) -> Vec<Candidate> {
    if context.limits.is_empty() {
        return candidates;
    }
    for candidate in &mut candidates {
        if let Some(limit) = context.limits.limit(candidate.id.stable_hash()) {
            let max_rate = limit.per_s().max(MIN_CAPACITY);
            candidate.capacity = candidate.capacity.min(max_rate);
        }
    }
    candidates
}

/// The instances of a service that can be given keys.
pub(super) fn eligible_instances<'a>(
    context: &'a Context<'_>,
    service: &'a ServiceName,
) -> impl Iterator<Item = &'a Instance> {
    context
        .directory
        .of_service(service)
        .filter(|instance| instance.serves())
}

/// Whether this instance can be given keys of a service.
pub(super) fn is_eligible(context: &Context<'_>, service: &ServiceName, id: &InstanceId) -> bool {
    let instance = context.directory.get(id);
    instance.is_some_and(|instance| instance.serves() && instance.record.service == *service)
}

/// Splits the key space into ranges of about equal length.
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

/// The assumed capacity of an instance without samples.
fn default_capacity(instance: &Instance) -> f64 {
    f64::from(instance.record.slots.max(1)) / DEFAULT_SERVICE_TIME.as_secs_f64()
}
