//! The instances behind a queue: their free slots, speed and failures.

use super::queue::InstanceLoad;
use crate::Timestamp;
use crate::failures::{FailureRules, Failures};
use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new sample of an instance's work: eight samples make two thirds of it.
const SAMPLE_WEIGHT: f64 = 0.125;
/// The work that is expected before there is a sample. Low, so that requests to an instance
/// that is not known are admitted: a refusal costs a caller more than a short wait.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Requests that a cold instance works on at once: it takes a few times as long, and bears
/// few requests a second.
const COLD_SLOTS: usize = 1;
/// By how much the permits beyond an instance's slots change with an answer: four answers
/// with idle slots send one request more ahead.
const AHEAD_STEP: f64 = 0.25;
/// What failures of an instance of a pool lead to. A dispatcher sees all requests of its zone
/// there, so that two failures in a row tell more than at a node that sends a few.
const FAILURE_RULES: FailureRules = FailureRules {
    outcome_weight: 0.15,
    eject_after: 2,
    first_ejection: Duration::from_millis(500),
    longest_ejection: Duration::from_secs(4),
};
/// Share of failures from which others are preferred: two failures in a row, or one in four
/// for long.
const FAILING_SHARE: f64 = 0.25;

/// An instance as the directory knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server {
    /// Stable hash of its id.
    pub id: u64,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Whether it has just started.
    pub is_cold: bool,
    /// Time of work for one request there, as far as it is known.
    pub service_time: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct Known {
    slots: usize,
    is_cold: bool,
    out: usize,
    service_time: Option<Duration>,
    /// Permits beyond its slots.
    ahead: f64,
    failures: Failures,
    /// Until when it wants no requests of some node.
    backoff_until: Timestamp,
}

impl Known {
    fn usable_slots(&self) -> usize {
        match self.is_cold {
            true => self.slots.min(COLD_SLOTS),
            false => self.slots,
        }
    }

    fn load_with_one_more(&self) -> f64 {
        (self.out + 1) as f64 / self.usable_slots().max(1) as f64
    }

    fn sample(&mut self, service_time: Duration) {
        let smoothed = match self.service_time {
            Some(earlier) => {
                earlier.mul_f64(1.0 - SAMPLE_WEIGHT) + service_time.mul_f64(SAMPLE_WEIGHT)
            }
            None => service_time,
        };
        self.service_time = Some(smoothed);
    }
}

/// What decides between two instances that can both take a request.
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
    known: HashMap<u64, Known>,
    /// Least permits beyond the slots of each.
    least_ahead: f64,
    /// Whether instances that fail are passed over for others.
    ejects: bool,
}

impl Servers {
    /// An owner of keys: nobody else can serve them.
    pub(super) fn one() -> Servers {
        Servers {
            known: HashMap::new(),
            least_ahead: 1.0,
            ejects: false,
        }
    }

    /// Instances that serve the same.
    pub(super) fn pool() -> Servers {
        Servers {
            known: HashMap::new(),
            least_ahead: 0.0,
            ejects: true,
        }
    }

    /// These serve now. One that has gone is forgotten once its permits are back.
    pub(super) fn replace(&mut self, servers: impl IntoIterator<Item = Server>) {
        for known in self.known.values_mut() {
            known.slots = 0;
        }
        for server in servers {
            let known = self.known.entry(server.id).or_default();
            known.slots = server.slots.max(1);
            known.is_cold = server.is_cold;
            known.service_time = known.service_time.or(server.service_time);
        }
        self.known.retain(|_, known| known.slots + known.out > 0);
    }

    /// The slots of all.
    pub(super) fn slots(&self) -> usize {
        self.known.values().map(Known::usable_slots).sum()
    }

    /// Time of work that is expected for one request.
    pub(super) fn service_time(&self) -> Duration {
        let samples = self.known.values().filter_map(|known| known.service_time);
        let (sum, count) = samples.fold((Duration::ZERO, 0u32), |(sum, count), service_time| {
            (sum + service_time, count + 1)
        });
        match count {
            0 => UNKNOWN_SERVICE_TIME,
            count => sum / count,
        }
    }

    /// An instance that can take one more request: the least loaded, of equal ones the
    /// fastest. One that has failed the request before only if no other can; ejected ones
    /// only where most are.
    pub(super) fn pick(&self, tried: Option<u64>, needs_slot: bool, now: Timestamp) -> Option<u64> {
        let can_take = |known: &Known| {
            let slots = known.usable_slots();
            let ahead = match needs_slot {
                true => 0,
                false => known.ahead.max(self.least_ahead) as usize,
            };
            slots > 0 && known.out < slots + ahead
        };
        let ejects = self.ejects && self.ejected(now) * 2 <= self.known.len();
        let candidates = self.known.iter().filter(|(_, known)| {
            let is_ejected = ejects && known.failures.is_ejected(now);
            can_take(known) && !is_ejected
        });
        let rank = |id: u64, known: &Known| Rank {
            was_tried: tried == Some(id),
            is_backed_off: known.backoff_until > now,
            is_failing: known.failures.share(now) > FAILING_SHARE,
            load: known.load_with_one_more(),
            service_time: known.service_time.unwrap_or(UNKNOWN_SERVICE_TIME),
            id,
        };
        let ranked = candidates.map(|(id, known)| rank(*id, known));
        let best = ranked.min_by(|left, right| left.order(right));
        best.map(|rank| rank.id)
    }

    fn ejected(&self, now: Timestamp) -> usize {
        let is_ejected = |known: &&Known| known.failures.is_ejected(now);
        self.known.values().filter(is_ejected).count()
    }

    /// One more request goes to an instance. Returns its requests for each slot.
    pub(super) fn take_place(&mut self, server: u64) -> f64 {
        let known = self.known.entry(server).or_default();
        let load = known.load_with_one_more();
        known.out += 1;
        load
    }

    pub(super) fn give_back_place(&mut self, server: u64) {
        if let Some(known) = self.known.get_mut(&server) {
            known.out = known.out.saturating_sub(1);
        }
    }

    /// An instance has answered, after so much work if that says something of others.
    pub(super) fn answered(&mut self, server: u64, service_time: Option<Duration>, now: Timestamp) {
        if let Some(known) = self.known.get_mut(&server) {
            known.failures.answered(&FAILURE_RULES, now);
            if let Some(service_time) = service_time {
                known.sample(service_time);
            }
        }
    }

    /// An instance has told its load; `is_wanted` if requests wait for it here. Where its
    /// slots are idle meanwhile, requests take their time on the way, and more are sent
    /// ahead; where requests wait there, fewer, since their order can't be changed any more.
    pub(super) fn load_reported(&mut self, server: u64, load: InstanceLoad, is_wanted: bool) {
        let least = self.least_ahead;
        let Some(known) = self.known.get_mut(&server) else {
            return;
        };
        let most = known.usable_slots() as f64;
        if load.waiting > 0 {
            known.ahead -= AHEAD_STEP * load.waiting as f64;
        } else if is_wanted && load.running < known.usable_slots() {
            known.ahead += AHEAD_STEP;
        }
        known.ahead = known.ahead.clamp(least, most.max(least));
    }

    /// An instance wants no requests of some node until then. Others are preferred for all
    /// nodes; the one that was told sends nothing there whatever is handed out.
    pub(super) fn backed_off(&mut self, server: u64, until: Timestamp) {
        if let Some(known) = self.known.get_mut(&server) {
            known.backoff_until = known.backoff_until.max(until);
        }
    }

    /// A request there was broken off, or its answer was lost.
    pub(super) fn failed(&mut self, server: u64, now: Timestamp) {
        if let Some(known) = self.known.get_mut(&server) {
            known.failures.failed(&FAILURE_RULES, now);
        }
    }
}
