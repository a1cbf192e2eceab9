//! The instances behind a queue: their free slots, speed and failures.

use super::queue::InstanceLoad;
use crate::Timestamp;
use crate::failures::{FailureRules, Failures};
use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new service time sample: eight samples account for two thirds of the mean.
const SAMPLE_WEIGHT: f64 = 0.125;
/// Service time assumed before there is a sample. It is low, so that requests to an unknown
/// instance are admitted: a refusal costs a caller more than a short wait.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Slots of a cold instance that are used. It is a few times slower and handles few requests
/// per second.
const COLD_SLOTS: usize = 1;
/// Change of the number of permits beyond an instance's slots per response: four responses
/// with idle slots send one more request ahead.
const EXTRA_PERMIT_STEP: f64 = 0.25;
/// Ejection rules for instances of a pool. A dispatcher sees all requests of its zone to an
/// instance, so that two failures in a row mean more than at a node that sends only a few.
const FAILURE_RULES: FailureRules = FailureRules {
    outcome_weight: 0.15,
    eject_after: 2,
    first_ejection: Duration::from_millis(500),
    longest_ejection: Duration::from_secs(4),
};
/// Failure share above which other instances are preferred: two failures in a row, or one in
/// four over a longer time.
const FAILING_SHARE: f64 = 0.25;

/// An instance according to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server {
    /// Stable hash of its id.
    pub id: u64,
    /// Requests that it processes concurrently.
    pub slots: usize,
    /// Whether it has just started.
    pub is_cold: bool,
    /// Service time of one request there, if known.
    pub service_time: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct ServerState {
    slots: usize,
    is_cold: bool,
    outstanding: usize,
    service_time: Option<Duration>,
    /// Permits beyond its slots.
    extra_permits: f64,
    failures: Failures,
    /// Until when it wants no requests from some node.
    backoff_until: Timestamp,
}

impl ServerState {
    fn usable_slots(&self) -> usize {
        match self.is_cold {
            true => self.slots.min(COLD_SLOTS),
            false => self.slots,
        }
    }

    fn load_with_one_more(&self) -> f64 {
        (self.outstanding + 1) as f64 / self.usable_slots().max(1) as f64
    }

    fn add_sample(&mut self, service_time: Duration) {
        let smoothed = match self.service_time {
            Some(earlier) => {
                earlier.mul_f64(1.0 - SAMPLE_WEIGHT) + service_time.mul_f64(SAMPLE_WEIGHT)
            }
            None => service_time,
        };
        self.service_time = Some(smoothed);
    }
}

/// Criteria for choosing between instances that can take a request.
#[derive(Clone, Copy, Debug)]
struct Rank {
    was_tried: bool,
    is_backed_off: bool,
    is_failing: bool,
    load: f64,
    service_time: Duration,
    id: u64,
}

impl Rank {
    fn order(&self, other: &Rank) -> Ordering {
        let by_trial = self.was_tried.cmp(&other.was_tried);
        let by_backoff = || self.is_backed_off.cmp(&other.is_backed_off);
        let by_failures = || self.is_failing.cmp(&other.is_failing);
        let by_load = || self.load.total_cmp(&other.load);
        let by_service_time = || self.service_time.cmp(&other.service_time);
        let by_id = || self.id.cmp(&other.id);
        by_trial
            .then_with(by_backoff)
            .then_with(by_failures)
            .then_with(by_load)
            .then_with(by_service_time)
            .then_with(by_id)
    }
}

/// All instances of a queue.
#[derive(Clone, Debug)]
pub(super) struct Servers {
    states: HashMap<u64, ServerState>,
    /// Minimum number of permits beyond the slots of each.
    min_extra_permits: f64,
    /// Whether failing instances are ejected in favor of others.
    ejects: bool,
}

impl Servers {
    /// The instances of an owner's queue: no other instance can serve its keys.
    pub(super) fn single_owner() -> Servers {
        Servers {
            states: HashMap::new(),
            min_extra_permits: 1.0,
            ejects: false,
        }
    }

    /// The instances of a pool, which are interchangeable.
    pub(super) fn pool() -> Servers {
        Servers {
            states: HashMap::new(),
            min_extra_permits: 0.0,
            ejects: true,
        }
    }

    /// Replaces the set of serving instances. One that is gone is dropped once its permits are
    /// returned.
    pub(super) fn replace(&mut self, servers: impl IntoIterator<Item = Server>) {
        for state in self.states.values_mut() {
            state.slots = 0;
        }
        for server in servers {
            let state = self.states.entry(server.id).or_default();
            state.slots = server.slots.max(1);
            state.is_cold = server.is_cold;
            state.service_time = state.service_time.or(server.service_time);
        }
        self.states
            .retain(|_, state| state.slots + state.outstanding > 0);
    }

    /// Total number of slots.
    pub(super) fn slots(&self) -> usize {
        self.states.values().map(ServerState::usable_slots).sum()
    }

    /// Expected service time of one request.
    pub(super) fn service_time(&self) -> Duration {
        let samples = self.states.values().filter_map(|state| state.service_time);
        let (sum, count) = samples.fold((Duration::ZERO, 0u32), |(sum, count), service_time| {
            (sum + service_time, count + 1)
        });
        match count {
            0 => UNKNOWN_SERVICE_TIME,
            count => sum / count,
        }
    }

    /// Selects an instance that can take one more request: the least loaded one, and the
    /// fastest among equally loaded ones. An instance that failed the request before is
    /// selected only if no other can take it, an ejected one only if most are ejected.
    pub(super) fn select(
        &self,
        tried: Option<u64>,
        needs_slot: bool,
        now: Timestamp,
    ) -> Option<u64> {
        let can_take = |state: &ServerState| {
            let slots = state.usable_slots();
            let extra_permits = match needs_slot {
                true => 0,
                false => state.extra_permits.max(self.min_extra_permits) as usize,
            };
            slots > 0 && state.outstanding < slots + extra_permits
        };
        let ejects = self.ejects && self.ejected(now) * 2 <= self.states.len();
        let candidates = self.states.iter().filter(|(_, state)| {
            let is_ejected = ejects && state.failures.is_ejected(now);
            can_take(state) && !is_ejected
        });
        let rank = |id: u64, state: &ServerState| Rank {
            was_tried: tried == Some(id),
            is_backed_off: state.backoff_until > now,
            is_failing: state.failures.share(now) > FAILING_SHARE,
            load: state.load_with_one_more(),
            service_time: state.service_time.unwrap_or(UNKNOWN_SERVICE_TIME),
            id,
        };
        let ranked = candidates.map(|(id, state)| rank(*id, state));
        let best = ranked.min_by(|left, right| left.order(right));
        best.map(|rank| rank.id)
    }

    fn ejected(&self, now: Timestamp) -> usize {
        let is_ejected = |state: &&ServerState| state.failures.is_ejected(now);
        self.states.values().filter(is_ejected).count()
    }

    /// Counts one more request at an instance. Returns its requests per slot.
    pub(super) fn reserve_slot(&mut self, server: u64) -> f64 {
        let state = self.states.entry(server).or_default();
        let load = state.load_with_one_more();
        state.outstanding += 1;
        load
    }

    pub(super) fn release_slot(&mut self, server: u64) {
        if let Some(state) = self.states.get_mut(&server) {
            state.outstanding = state.outstanding.saturating_sub(1);
        }
    }

    /// Records a response, and its service time if it is representative.
    pub(super) fn record_success(
        &mut self,
        server: u64,
        service_time: Option<Duration>,
        now: Timestamp,
    ) {
        if let Some(state) = self.states.get_mut(&server) {
            state.failures.record_success(&FAILURE_RULES, now);
            if let Some(service_time) = service_time {
                state.add_sample(service_time);
            }
        }
    }

    /// Records an instance's reported load; `is_wanted` if requests wait for the instance
    /// here. If its slots are idle meanwhile, requests spend time in transit, and more are
    /// sent ahead. If requests wait there, fewer are sent ahead, since their order can no
    /// longer be changed.
    pub(super) fn record_load(&mut self, server: u64, load: InstanceLoad, is_wanted: bool) {
        let least = self.min_extra_permits;
        let Some(state) = self.states.get_mut(&server) else {
            return;
        };
        let most = state.usable_slots() as f64;
        if load.waiting > 0 {
            state.extra_permits -= EXTRA_PERMIT_STEP * load.waiting as f64;
        } else if is_wanted && load.running < state.usable_slots() {
            state.extra_permits += EXTRA_PERMIT_STEP;
        }
        state.extra_permits = state.extra_permits.clamp(least, most.max(least));
    }

    /// Records that an instance wants no requests from some node until then. Other instances
    /// are preferred for all nodes; that node itself sends nothing there whatever it is
    /// granted.
    pub(super) fn record_backoff(&mut self, server: u64, until: Timestamp) {
        if let Some(state) = self.states.get_mut(&server) {
            state.backoff_until = state.backoff_until.max(until);
        }
    }

    /// Records that a request there was aborted, or its response was lost.
    pub(super) fn record_failure(&mut self, server: u64, now: Timestamp) {
        if let Some(state) = self.states.get_mut(&server) {
            state.failures.record_failure(&FAILURE_RULES, now);
        }
    }
}
