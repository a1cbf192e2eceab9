//! How many requests a second each owner can work on, as all nodes together
//! have seen it.
//!
//! One node sees few of an owner's answers, and not how many requests of other
//! nodes stood in the queue before its own. Together, the nodes know how long
//! the owner was busy: by Little's law, the time that its requests spent there
//! in a second is how many were there on average.

use crate::Timestamp;
use crate::identity::InstanceId;
use std::collections::HashMap;
use std::time::Duration;

/// Time between two decays.
pub const DECAY_INTERVAL: Duration = Duration::from_millis(200);
/// What is left of a count after one decay; a count stands for two seconds.
const DECAY: f64 = 0.9;
/// The same for counts that stand for six seconds: machines that are slow for moments count
/// by how often they are.
const LONG_WINDOW_DECAY: f64 = 0.97;
/// Answers from which a capacity can be told.
const LEAST_ANSWERS: f64 = 4.0;
/// How long a capacity is believed without new answers; an owner that was slow
/// gets another chance then.
const BELIEVED_FOR: Duration = Duration::from_secs(8);

/// What an instance did for one node's requests in some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkSample {
    /// Requests that it answered.
    pub answered: u32,
    /// Time that requests spent there.
    pub busy: Duration,
}

impl WorkSample {
    /// An attempt ended there.
    pub fn note(&mut self, took: Duration, answered: bool) {
        self.answered += u32::from(answered);
        self.busy += took;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    answered: f64,
    busy_seconds: f64,
    pace: Option<Pace>,
}

/// What an owner did in a second.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Requests that it answered.
    rate: f64,
    /// Requests that were there on average.
    present: f64,
    at: Timestamp,
}

/// WorkSample of all owners.
#[derive(Debug)]
pub struct CapacityEstimator {
    /// By the stable hash of the instance's id.
    owners: HashMap<u64, Counted>,
    /// The seconds that the counts stand for.
    seconds: f64,
    /// What is left of a count after one decay.
    kept: f64,
    next_decay: Timestamp,
}

impl CapacityEstimator {
    /// Nothing seen yet; counts stand for two seconds.
    pub fn new(now: Timestamp) -> CapacityEstimator {
        CapacityEstimator::keeping(DECAY, now)
    }

    /// Nothing seen yet; counts stand for six seconds.
    pub fn long_window(now: Timestamp) -> CapacityEstimator {
        CapacityEstimator::keeping(LONG_WINDOW_DECAY, now)
    }

    fn keeping(kept: f64, now: Timestamp) -> CapacityEstimator {
        CapacityEstimator {
            owners: HashMap::new(),
            seconds: 0.0,
            kept,
            next_decay: now + DECAY_INTERVAL,
        }
    }

    /// A node tells what an owner did.
    pub fn record(&mut self, instance: u64, work: WorkSample) {
        let counted = self.owners.entry(instance).or_default();
        counted.answered += f64::from(work.answered);
        counted.busy_seconds += work.busy.as_secs_f64();
    }

    /// Lets older work count less. Owners that are long silent are forgotten.
    pub fn decay(&mut self, now: Timestamp) {
        while self.next_decay <= now {
            self.next_decay += DECAY_INTERVAL;
            self.seconds += DECAY_INTERVAL.as_secs_f64();
            for counted in self.owners.values_mut() {
                counted.note_pace(self.seconds, now);
                counted.answered *= self.kept;
                counted.busy_seconds *= self.kept;
            }
            self.seconds *= self.kept;
        }
        self.owners.retain(|_, counted| {
            let believed = counted
                .pace
                .is_some_and(|pace| pace.at + BELIEVED_FOR > now);
            believed || counted.answered > 0.1
        });
    }

    /// Requests a second that an owner with `slots` slots can work on; the last
    /// figure for a while if there is nothing new.
    pub fn capacity(&self, id: &InstanceId, slots: u32, now: Timestamp) -> Option<f64> {
        let pace = self.owners.get(&id.stable_hash())?.pace?;
        let slots = f64::from(slots.max(1));
        // With every slot taken, what it answers is all that it can.
        let capacity = pace.rate * slots / pace.present.min(slots);
        (pace.at + BELIEVED_FOR > now).then_some(capacity)
    }
}

impl Counted {
    fn note_pace(&mut self, seconds: f64, at: Timestamp) {
        if self.answered >= LEAST_ANSWERS && self.busy_seconds > 0.0 {
            self.pace = Some(Pace {
                rate: self.answered / seconds,
                present: self.busy_seconds / seconds,
                at,
            });
        }
    }
}
