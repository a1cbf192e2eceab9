//! What this node has seen of each instance.

use crate::Timestamp;
use crate::failures::{FailureRules, Failures};
use crate::identity::InstanceId;
use crate::peers::SpeedSample;
use crate::rate_limit::KnownLimits;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new sample of the service time.
const SAMPLE_WEIGHT: f64 = 0.2;
/// What failures of an instance lead to at a node, which sends it a part of its requests.
const FAILURE_RULES: FailureRules = FailureRules {
    outcome_weight: 0.3,
    eject_after: 3,
    first_ejection: Duration::from_millis(700),
    longest_ejection: Duration::from_secs(5),
};
/// How long an instance's own figure of its load is used.
const LOAD_TTL: Duration = Duration::from_millis(400);
/// How long its own word of its slowness is used; that changes every 400 ms or so.
const SLOWNESS_TTL: Duration = Duration::from_millis(300);
/// How long a service time is used without a new sample; an instance that
/// was slow gets another chance then.
const SERVICE_TIME_TTL: Duration = Duration::from_secs(8);

/// What an instance reported of its load.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How long work takes there now, in percent of the usual time, if it says so.
    pub slowness: Option<u16>,
    /// When it was reported.
    pub at: Timestamp,
}

/// One instance as seen by this node.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// This node's open requests there.
    pub open: u32,
    service_time: Option<(Duration, Timestamp)>,
    failures: Failures,
    reported: Option<ReportedLoad>,
    /// What answers have shown of its speed since it was last announced to other nodes.
    unshared: SpeedSample,
    last_answer: Option<Timestamp>,
    /// Until when it wants no requests of this node.
    backoff_until: Timestamp,
}

impl Statistics {
    /// Some answer came from there.
    pub fn heard(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
    }

    /// When the last answer came from there.
    pub fn last_answer(&self) -> Option<Timestamp> {
        self.last_answer
    }

    /// An answer came after `latency`; `load_factor` is the number of requests
    /// for each slot, this one with them, as it was sent.
    pub fn answered(&mut self, latency: Duration, load_factor: f64, now: Timestamp) {
        self.failures.answered(&FAILURE_RULES, now);
        let slowness = self.reported.and_then(|load| load.slowness);
        let slowness = slowness.map_or(1.0, |percent| f64::from(percent.max(1)) / 100.0);
        let sample = latency.div_f64(load_factor.max(1.0) * slowness);
        self.unshared.answered += 1;
        self.unshared.busy += sample;
        let smoothed = match self.service_time {
            Some((earlier, _)) => {
                earlier.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
            }
            None => sample,
        };
        self.service_time = Some((smoothed, now));
    }

    /// An attempt failed there.
    pub fn failed(&mut self, now: Timestamp) {
        self.failures.failed(&FAILURE_RULES, now);
    }

    /// It turned a request away without running it.
    pub fn shed(&mut self, now: Timestamp) {
        self.failures.rejected(&FAILURE_RULES, now);
    }

    /// The share of lately sent requests that failed there, 0 to 1.
    pub fn failure_share(&self, now: Timestamp) -> f64 {
        self.failures.share(now)
    }

    /// The instance has reported its load.
    pub fn load_reported(&mut self, load: ReportedLoad) {
        self.unshared.slowness = load.slowness.or(self.unshared.slowness);
        self.reported = Some(load);
    }

    /// It wants no requests of this node for so long. What it has asked for before holds
    /// on, if that ends later.
    fn asked_for_backoff(&mut self, backoff: Duration, now: Timestamp) {
        self.backoff_until = self.backoff_until.max(now + backoff);
    }

    /// For how much longer it wants no requests of this node, if it does.
    fn backoff_left(&self, now: Timestamp) -> Option<Duration> {
        let left = self.backoff_until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// What answers have shown of its speed since the last call.
    pub fn take_unshared(&mut self) -> SpeedSample {
        std::mem::take(&mut self.unshared)
    }

    /// How long work takes there now, in percent of the usual time, by its own last
    /// word.
    pub fn slowness(&self, now: Timestamp) -> Option<u16> {
        self.reported
            .filter(|load| load.at + SLOWNESS_TTL > now)
            .and_then(|load| load.slowness)
    }

    /// Whether it is passed over for now.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.failures.is_ejected(now)
    }

    /// Until when it is passed over.
    pub fn ejected_until(&self) -> Timestamp {
        self.failures.ejected_until()
    }

    /// The smoothed time of work for one request.
    pub fn service_time(&self, now: Timestamp) -> Option<Duration> {
        self.service_time
            .filter(|(_, at)| *at + SERVICE_TIME_TTL > now)
            .map(|(time, _)| time)
    }

    /// Requests that run or wait there, by its own word, if that is recent.
    pub fn reported_open(&self, now: Timestamp) -> Option<u32> {
        self.reported
            .filter(|load| load.at + LOAD_TTL > now)
            .map(|load| load.running.saturating_add(load.waiting))
    }
}

/// All instances as seen by this node.
#[derive(Debug, Default)]
pub struct StatisticsTable {
    instances: HashMap<InstanceId, Statistics>,
    /// The latest end of a pause that some instance has asked for.
    last_backoff: Timestamp,
    /// Rate limits that instances name.
    pub limits: KnownLimits,
}

impl StatisticsTable {
    /// One instance, if this node has sent it anything.
    pub fn get(&self, id: &InstanceId) -> Option<&Statistics> {
        self.instances.get(id)
    }

    /// One instance.
    pub fn entry(&mut self, id: &InstanceId) -> &mut Statistics {
        self.instances.entry(id.clone()).or_default()
    }

    /// An instance wants no requests of this node for so long.
    pub fn asked_for_backoff(&mut self, id: &InstanceId, backoff: Duration, now: Timestamp) {
        self.entry(id).asked_for_backoff(backoff, now);
        self.last_backoff = self.last_backoff.max(now + backoff);
    }

    /// For how much longer an instance wants no requests of this node, if it does. Mostly
    /// none does, which takes no look at the instance: selections ask for each of hundreds.
    pub fn backoff_left(&self, id: &InstanceId, now: Timestamp) -> Option<Duration> {
        match self.last_backoff > now {
            true => self.get(id)?.backoff_left(now),
            false => None,
        }
    }

    /// For how much longer an instance takes no requests of this node: it wants none, or its
    /// limiter has no token.
    pub fn unavailable_for(&self, id: &InstanceId, now: Timestamp) -> Option<Duration> {
        let backoff = self.backoff_left(id, now);
        if self.limits.is_empty() {
            return backoff;
        }
        backoff.max(self.limits.token_wait(id.stable_hash(), now))
    }

    /// Forgets instances that are unknown to `known` and have nothing open.
    pub fn retain(&mut self, known: impl Fn(&InstanceId) -> bool) {
        self.instances
            .retain(|id, statistics| statistics.open > 0 || known(id));
    }

    /// All instances with open requests.
    pub fn busy(&self) -> impl Iterator<Item = (&InstanceId, u32)> {
        self.instances
            .iter()
            .filter(|(_, statistics)| statistics.open > 0)
            .map(|(id, statistics)| (id, statistics.open))
    }
}
