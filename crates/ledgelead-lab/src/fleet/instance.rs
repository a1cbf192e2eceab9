//! A simulated instance with execution slots, a queue, and keys held under fenced grants whose
//! duration counts from their arrival.

use ledgelead_router::dialect::KeyRange;
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::identity::InstanceId;
use ledgelead_router::io::ExchangeId;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Factor by which the clock of an instance may prolong a grant.
const CLOCK_FACTOR: f64 = 1.02;
/// Maximum number of queued requests.
const QUEUE_CAPACITY: usize = 8;
/// Number of keys.
pub(super) const KEY_COUNT: usize = 1 << 16;

/// A key range held under one grant.
#[derive(Clone, Debug)]
pub struct HeldRange {
    /// The keys.
    pub range: KeyRange,
    /// Since when the range has been held without interruption.
    pub since: Duration,
    /// When the grant expires.
    pub until: Duration,
    /// Whether the grant was carried out late.
    pub late: bool,
}

/// A request that an instance executes or queues.
#[derive(Clone, Debug)]
pub struct InstanceRequest {
    /// The node index and its incarnation.
    pub caller: (usize, u64),
    /// Its exchange.
    pub exchange: ExchangeId,
    /// Attempt number of the client request.
    pub attempt: u64,
    /// The key, if the service has keys.
    pub key: Option<u16>,
    /// How long the caller waits for the response.
    pub until: Duration,
    /// Index into the crashing requests, if this is one of them.
    pub crashes: Option<usize>,
    /// When the hold under which it started expires, unless that hold was granted late.
    pub held_until: Option<Duration>,
    /// How long its execution takes, if that differs from the instance's service time.
    pub work: Option<Duration>,
}

/// A simulated instance.
pub struct Instance {
    /// The record that it registers.
    pub record: InstanceRecord,
    /// Whether its service has keys.
    pub sharded: bool,
    /// Whether its process is running.
    pub alive: bool,
    /// Whether it sends no responses, regardless of whether the process is running.
    pub unresponsive: bool,
    /// Whether its heartbeats reach the store.
    pub heartbeats: bool,
    /// How long it takes to execute a request.
    pub service_time: Duration,
    /// Key ranges that it holds.
    pub held_ranges: Vec<HeldRange>,
    fences: Vec<u64>,
    /// Running requests with the times at which they finish.
    pub running: Vec<(InstanceRequest, Duration)>,
    /// Queued requests.
    pub queue: VecDeque<InstanceRequest>,
    /// When a request for each key was last started.
    pub last_started: HashMap<u16, Duration>,
}

/// Result of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The keys are held.
    Held,
    /// Rejected because a higher token has been seen.
    Fenced,
}

impl Instance {
    /// Creates a new incarnation of an instance.
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

    /// The unexpired range that holds a key, if any.
    pub fn held_range_of(&self, key: u16, now: Duration) -> Option<&HeldRange> {
        self.held_ranges
            .iter()
            .find(|hold| hold.range.contains(key) && hold.until > now)
    }

    /// Applies a grant.
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
        let until = now + hold.mul_f64(CLOCK_FACTOR);
        if !late {
            self.renew_running(range, until, now);
        }
        self.drop_held_ranges(range);
        self.held_ranges.push(HeldRange {
            range,
            since: continued.unwrap_or(now),
            until,
            late,
        });
        GrantOutcome::Held
    }

    /// Applies the renewal of unexpired holds to the requests that run under them.
    fn renew_running(&mut self, range: KeyRange, until: Duration, now: Duration) {
        for (request, _) in &mut self.running {
            let is_held = |key: u16| {
                let mut holds = self.held_ranges.iter();
                holds.any(|hold| hold.range.contains(key) && hold.until > now)
            };
            if request
                .key
                .is_some_and(|key| range.contains(key) && is_held(key))
            {
                request.held_until = Some(until);
            }
        }
    }

    /// A running request for one of the keys whose hold has not expired, even if the hold was
    /// released.
    pub fn unfinished_work(&self, range: KeyRange, now: Duration) -> Option<&InstanceRequest> {
        let requests = self.running.iter().map(|(request, _)| request);
        requests
            .filter(|request| request.key.is_some_and(|key| range.contains(key)))
            .find(|request| request.held_until.is_some_and(|until| until > now))
    }

    /// Stops accepting requests for a range of keys. Returns when the running ones finish. The
    /// platform does not specify that a release raises the highest token seen, so this one
    /// does not.
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

    /// Whether another request can start now.
    pub fn has_free_slot(&self) -> bool {
        self.running.len() < self.record.slots as usize
    }

    /// Whether another request can be queued.
    pub fn has_queue_space(&self) -> bool {
        self.queue.len() < QUEUE_CAPACITY
    }
}
