//! This node's observations of each instance.

use crate::Timestamp;
use crate::failures::{FailureRules, Failures};
use crate::identity::InstanceId;
use crate::peers::SpeedSample;
use crate::rate_limit::KnownLimits;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new service time sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Ejection rules for an instance, at a node that sends it a part of its requests.
const FAILURE_RULES: FailureRules = FailureRules {
    outcome_weight: 0.3,
    eject_after: 3,
    first_ejection: Duration::from_millis(700),
    longest_ejection: Duration::from_secs(5),
};
/// How long an instance's reported load is used.
const LOAD_TTL: Duration = Duration::from_millis(400);
/// How long an instance's reported slowness is used; it changes about every 400 ms.
const SLOWNESS_TTL: Duration = Duration::from_millis(300);
/// How long a service time is used without a new sample. After that, an instance that was slow
/// gets another chance.
const SERVICE_TIME_TTL: Duration = Duration::from_secs(8);

/// The load that an instance reported.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Current service time in percent of the usual one, if reported.
    pub slowness: Option<u16>,
    /// When it was reported.
    pub at: Timestamp,
}

/// This node's observations of one instance.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// This node's open requests there.
    pub open: u32,
    service_time: Option<(Duration, Timestamp)>,
    failures: Failures,
    reported: Option<ReportedLoad>,
    /// Speed samples that have not been announced to other nodes yet.
    unannounced_speed: SpeedSample,
    last_answer: Option<Timestamp>,
    /// Until when the instance wants no requests from this node.
    backoff_until: Timestamp,
}

impl Statistics {
    /// Records any response of the instance.
    pub fn record_response(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
    }

    /// When the last response arrived.
    pub fn last_answer(&self) -> Option<Timestamp> {
        self.last_answer
    }

    /// Records a response that took `latency`; `load_factor` is the number of requests per
    /// slot when the request was sent, including it.
    pub fn record_success(&mut self, latency: Duration, load_factor: f64, now: Timestamp) {
        self.failures.record_success(&FAILURE_RULES, now);
        let slowness = self.reported.and_then(|load| load.slowness);
        let slowness = slowness.map_or(1.0, |percent| f64::from(percent.max(1)) / 100.0);
        let sample = latency.div_f64(load_factor.max(1.0) * slowness);
        self.unannounced_speed.answered += 1;
        self.unannounced_speed.busy += sample;
        let smoothed = match self.service_time {
            Some((earlier, _)) => {
                earlier.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
            }
            None => sample,
        };
        self.service_time = Some((smoothed, now));
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failures.record_failure(&FAILURE_RULES, now);
    }

    /// Records a request that the instance rejected without running it.
    pub fn record_rejection(&mut self, now: Timestamp) {
        self.failures.record_rejection(&FAILURE_RULES, now);
    }

    /// The share of recent requests that failed there, 0 to 1.
    pub fn failure_share(&self, now: Timestamp) -> f64 {
        self.failures.share(now)
    }

    /// Records the load that the instance reported.
    pub fn record_load(&mut self, load: ReportedLoad) {
        self.unannounced_speed.slowness = load.slowness.or(self.unannounced_speed.slowness);
        self.reported = Some(load);
    }

    /// Records that the instance requested a pause. An earlier pause stays in force if it ends
    /// later.
    fn record_backoff(&mut self, backoff: Duration, now: Timestamp) {
        self.backoff_until = self.backoff_until.max(now + backoff);
    }

    /// Time left in which the instance wants no requests from this node, if any.
    fn backoff_left(&self, now: Timestamp) -> Option<Duration> {
        let left = self.backoff_until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the speed samples since the last call.
    pub fn take_unannounced_speed(&mut self) -> SpeedSample {
        std::mem::take(&mut self.unannounced_speed)
    }

    /// Current service time in percent of the usual one, as last reported by the instance.
    pub fn slowness(&self, now: Timestamp) -> Option<u16> {
        self.reported
            .filter(|load| load.at + SLOWNESS_TTL > now)
            .and_then(|load| load.slowness)
    }

    /// Whether the instance is currently ejected.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.failures.is_ejected(now)
    }

    /// Until when the instance is ejected.
    pub fn ejected_until(&self) -> Timestamp {
        self.failures.ejected_until()
    }

    /// The smoothed service time.
    pub fn service_time(&self, now: Timestamp) -> Option<Duration> {
        self.service_time
            .filter(|(_, at)| *at + SERVICE_TIME_TTL > now)
            .map(|(time, _)| time)
    }

    /// Requests being processed or waiting there, if reported recently.
    pub fn reported_open(&self, now: Timestamp) -> Option<u32> {
        self.reported
            .filter(|load| load.at + LOAD_TTL > now)
            .map(|load| load.running.saturating_add(load.waiting))
    }
}

/// This node's observations of all instances.
#[derive(Debug, Default)]
pub struct StatisticsTable {
    instances: HashMap<InstanceId, Statistics>,
    /// The latest end of a pause that any instance requested.
    last_backoff: Timestamp,
    /// Rate limits announced by instances.
    pub limits: KnownLimits,
}

impl StatisticsTable {
    /// Observations of an instance, if this node has sent it anything.
    pub fn get(&self, id: &InstanceId) -> Option<&Statistics> {
        self.instances.get(id)
    }

    /// Observations of an instance, created if there are none.
    pub fn entry(&mut self, id: &InstanceId) -> &mut Statistics {
        self.instances.entry(id.clone()).or_default()
    }

    /// Records that an instance requested a pause from this node.
    pub fn record_backoff(&mut self, id: &InstanceId, backoff: Duration, now: Timestamp) {
        self.entry(id).record_backoff(backoff, now);
        self.last_backoff = self.last_backoff.max(now + backoff);
    }

    /// Time left in which an instance wants no requests from this node, if any. Usually no
    /// instance requests a pause, and then none is looked up: selections call this for hundreds
    /// of them.
    pub fn backoff_left(&self, id: &InstanceId, now: Timestamp) -> Option<Duration> {
        match self.last_backoff > now {
            true => self.get(id)?.backoff_left(now),
            false => None,
        }
    }

    /// Time left in which an instance accepts no requests from this node, because it requested
    /// a pause or its limiter has no token.
    pub fn unavailable_for(&self, id: &InstanceId, now: Timestamp) -> Option<Duration> {
        let backoff = self.backoff_left(id, now);
        if self.limits.is_empty() {
            return backoff;
        }
        backoff.max(self.limits.token_wait(id.stable_hash(), now))
    }

    /// Drops instances that are unknown to `known` and have no open requests.
    pub fn retain(&mut self, known: impl Fn(&InstanceId) -> bool) {
        self.instances
            .retain(|id, statistics| statistics.open > 0 || known(id));
    }

    /// All instances with open requests, and their number.
    pub fn busy(&self) -> impl Iterator<Item = (&InstanceId, u32)> {
        self.instances
            .iter()
            .filter(|(_, statistics)| statistics.open > 0)
            .map(|(id, statistics)| (id, statistics.open))
    }
}
