//! An instance's stand-in: slots, a queue, and keys held under fenced grants
//! that run from their arrival.

use ledgelead_router::dialect::KeyRange;
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::identity::InstanceId;
use ledgelead_router::io::ExchangeId;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How much longer a hold may last by the instance's clock.
const CLOCK_FACTOR: f64 = 1.02;
/// Requests that may wait.
const QUEUE_CAPACITY: usize = 8;
/// Number of keys.
pub(super) const KEY_COUNT: usize = 1 << 16;

/// Keys held under one grant.
#[derive(Clone, Debug)]
pub struct HeldRange {
    /// The keys.
    pub range: KeyRange,
    /// Since when these keys are held without a gap.
    pub since: Duration,
    /// Until when.
    pub until: Duration,
    /// Whether the grant was carried out late.
    pub late: bool,
}

/// A request at an instance.
#[derive(Clone, Debug)]
pub struct InstanceRequest {
    /// The node and its life.
    pub caller: (usize, u64),
    /// Its exchange.
    pub exchange: ExchangeId,
    /// The client's request.
    pub attempt: u64,
    /// The key, if the service has keys.
    pub key: Option<u16>,
    /// Until when the caller waits.
    pub until: Duration,
    /// The number of the request among those that crash instances.
    pub crashes: Option<usize>,
}

/// An instance.
pub struct Instance {
    /// What it registers.
    pub record: InstanceRecord,
    /// Whether its service has keys.
    pub sharded: bool,
    /// Whether its process runs.
    pub alive: bool,
    /// Whether it answers nothing, alive or not.
    pub unresponsive: bool,
    /// Whether its heartbeats reach the store.
    pub heartbeats: bool,
    /// Time of work for one request.
    pub service_time: Duration,
    /// Keys held.
    pub held_ranges: Vec<HeldRange>,
    fences: Vec<u64>,
    /// Requests that run, with their ends.
    pub running: Vec<(InstanceRequest, Duration)>,
    /// Requests that wait.
    pub queue: VecDeque<InstanceRequest>,
    /// When a request on a key was begun last.
    pub last_started: HashMap<u16, Duration>,
}

/// What becomes of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The keys are held.
    Held,
    /// A higher token was seen.
    Fenced,
}

impl Instance {
    /// A new life of an instance.
    pub fn new(record: InstanceRecord, sharded: bool, service_time: Duration) -> Instance {
        Instance {
            record,
            sharded,
            alive: true,
            unresponsive: false,
            heartbeats: true,
            service_time,
            held_ranges: Vec::new(),
            fences: if sharded {
                vec![0; KEY_COUNT]
            } else {
                Vec::new()
            },
            running: Vec::new(),
            queue: VecDeque::new(),
            last_started: HashMap::new(),
        }
    }

    /// Its id.
    pub fn id(&self) -> &InstanceId {
        &self.record.id
    }

    /// The hold on a key at a time, if there is one.
    pub fn held_range_of(&self, key: u16, now: Duration) -> Option<&HeldRange> {
        self.held_ranges
            .iter()
            .find(|hold| hold.range.contains(key) && hold.until > now)
    }

    /// Takes a grant.
    pub fn grant(
        &mut self,
        range: KeyRange,
        fence: u64,
        hold: Duration,
        late: bool,
        now: Duration,
    ) -> GrantOutcome {
        let keys = usize::from(range.first)..=usize::from(range.last);
        if self.fences[keys.clone()].iter().any(|seen| *seen > fence) {
            return GrantOutcome::Fenced;
        }
        self.fences[keys].fill(fence);
        let continued = self
            .held_range_of(range.first, now)
            .filter(|held| held.range.contains(range.last))
            .map(|held| held.since);
        self.drop_held_ranges(range);
        self.held_ranges.push(HeldRange {
            range,
            since: continued.unwrap_or(now),
            until: now + hold.mul_f64(CLOCK_FACTOR),
            late,
        });
        GrantOutcome::Held
    }

    /// Stops new work on keys; returns when the work that runs has ended.
    /// Nothing is published of a release raising the highest token seen, so
    /// this one doesn't.
    pub fn release(&mut self, range: KeyRange, now: Duration) -> Duration {
        self.drop_held_ranges(range);
        self.running
            .iter()
            .filter(|(instance_request, _)| {
                instance_request.key.is_some_and(|key| range.contains(key))
            })
            .map(|(_, end)| *end)
            .fold(now, Duration::max)
    }

    fn drop_held_ranges(&mut self, range: KeyRange) {
        let mut kept = Vec::new();
        for hold in self.held_ranges.drain(..) {
            if hold.range.last < range.first || range.last < hold.range.first {
                kept.push(hold);
                continue;
            }
            if hold.range.first < range.first {
                let front = KeyRange {
                    first: hold.range.first,
                    last: range.first - 1,
                };
                kept.push(HeldRange {
                    range: front,
                    ..hold.clone()
                });
            }
            if range.last < hold.range.last {
                let back = KeyRange {
                    first: range.last + 1,
                    last: hold.range.last,
                };
                kept.push(HeldRange {
                    range: back,
                    ..hold
                });
            }
        }
        self.held_ranges = kept;
    }

    /// Whether one more request can run now.
    pub fn has_free_slot(&self) -> bool {
        self.running.len() < self.record.slots as usize
    }

    /// Whether one more request can wait.
    pub fn has_queue_space(&self) -> bool {
        self.queue.len() < QUEUE_CAPACITY
    }
}
