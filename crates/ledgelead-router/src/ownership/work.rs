//! Estimates how many requests a second each owner can process, from the reports of all nodes.
//!
//! A single node sees few of an owner's answers, and does not see how many requests of other
//! nodes were queued before its own. Together, the nodes know how long the owner was busy: by
//! Little's law, the time that its requests spent there per second equals the average number
//! of requests in the owner.

use crate::Timestamp;
use crate::identity::InstanceId;
use std::collections::HashMap;
use std::time::Duration;

/// Interval between two decay steps.
pub const DECAY_INTERVAL: Duration = Duration::from_millis(200);
/// Factor by which a decay step scales a count; counts cover about two seconds.
const DECAY: f64 = 0.9;
/// The same for counts that cover about six seconds, so that machines with short slow phases
/// are rated by how frequent those phases are.
const LONG_WINDOW_DECAY: f64 = 0.97;
/// Minimum number of answers from which a capacity is estimated.
const MIN_ANSWERS: f64 = 4.0;
/// How long a capacity estimate is used without new answers. Then an owner that was slow is
/// tried again.
const CAPACITY_TTL: Duration = Duration::from_secs(8);

/// What an instance did for the requests of one node in some interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkSample {
    /// Number of answered requests.
    pub answered: u32,
    /// Total time that requests spent at the instance.
    pub busy: Duration,
}

impl WorkSample {
    /// Adds an attempt that has ended at the instance.
    pub fn add(&mut self, took: Duration, answered: bool) {
        self.answered += u32::from(answered);
        self.busy += took;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnerCounts {
    answered: f64,
    busy_seconds: f64,
    throughput: Option<Throughput>,
}

/// Throughput and concurrency of an owner.
#[derive(Clone, Copy, Debug)]
struct Throughput {
    /// Answered requests per second.
    rate: f64,
    /// Average number of requests at the owner.
    concurrency: f64,
    at: Timestamp,
}

/// Capacity estimates of all owners.
#[derive(Debug)]
pub struct CapacityEstimator {
    /// By the stable hash of the instance's id.
    owners: HashMap<u64, OwnerCounts>,
    /// Seconds that the counts cover.
    seconds: f64,
    /// Factor by which a decay step scales a count.
    decay_factor: f64,
    next_decay: Timestamp,
}

impl CapacityEstimator {
    /// No samples yet; counts cover two seconds.
    pub fn new(now: Timestamp) -> CapacityEstimator {
        CapacityEstimator::with_decay(DECAY, now)
    }

    /// No samples yet; counts cover six seconds.
    pub fn long_window(now: Timestamp) -> CapacityEstimator {
        CapacityEstimator::with_decay(LONG_WINDOW_DECAY, now)
    }

    fn with_decay(decay_factor: f64, now: Timestamp) -> CapacityEstimator {
        CapacityEstimator {
            owners: HashMap::new(),
            seconds: 0.0,
            decay_factor,
            next_decay: now + DECAY_INTERVAL,
        }
    }

    /// Adds a node's report about an owner.
    pub fn record(&mut self, instance: u64, work: WorkSample) {
        let counts = self.owners.entry(instance).or_default();
        counts.answered += f64::from(work.answered);
        counts.busy_seconds += work.busy.as_secs_f64();
    }

    /// Scales down older samples, and removes owners without recent ones.
    pub fn decay(&mut self, now: Timestamp) {
        while self.next_decay <= now {
            self.next_decay += DECAY_INTERVAL;
            self.seconds += DECAY_INTERVAL.as_secs_f64();
            for counts in self.owners.values_mut() {
                counts.update_throughput(self.seconds, now);
                counts.answered *= self.decay_factor;
                counts.busy_seconds *= self.decay_factor;
            }
            self.seconds *= self.decay_factor;
        }
        self.owners.retain(|_, counts| {
            let is_current = counts
                .throughput
                .is_some_and(|throughput| throughput.at + CAPACITY_TTL > now);
            is_current || counts.answered > 0.1
        });
    }

    /// Requests a second that an owner with `slots` slots can process. Without new samples the
    /// last estimate is returned for a while.
    pub fn capacity(&self, id: &InstanceId, slots: u32, now: Timestamp) -> Option<f64> {
        let throughput = self.owners.get(&id.stable_hash())?.throughput?;
        let slots = f64::from(slots.max(1));
        // With all slots in use, the rate of answers is the capacity.
        let capacity = throughput.rate * slots / throughput.concurrency.min(slots);
        (throughput.at + CAPACITY_TTL > now).then_some(capacity)
    }
}

impl OwnerCounts {
    fn update_throughput(&mut self, seconds: f64, at: Timestamp) {
        if self.answered >= MIN_ANSWERS && self.busy_seconds > 0.0 {
            self.throughput = Some(Throughput {
                rate: self.answered / seconds,
                concurrency: self.busy_seconds / seconds,
                at,
            });
        }
    }
}
