//! Models of other methods to share the servers' slots among gateways, which replay the
//! arrivals and service times of a run.
//!
//! A model has stations with slots and a queue each. A job reaches its station one hop after
//! its arrival, and its answer takes another hop back.

use ledgelead_types::{Span, Time};
use std::collections::{BTreeSet, VecDeque};

/// Determines to which server a request goes, and in which order servers execute requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Model {
    /// Each gateway uses the servers in rotation; servers queue without tiers. Requests with a
    /// key go to the owner of the key.
    RoundRobin,
    /// Each gateway uses the server with the fewest of its own requests in flight; servers
    /// queue without tiers. Requests with a key go to the owner of the key.
    LeastInFlight,
    /// One queue per owner with complete knowledge and strict tier priority: the upper bound
    /// for a keyed service with the given owners.
    IdealByOwner,
    /// A single queue for all servers with complete knowledge and strict tier priority: the
    /// upper bound.
    Ideal,
}

impl Model {
    /// Stable name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Model::RoundRobin => "round-robin",
            Model::LeastInFlight => "least-in-flight",
            Model::IdealByOwner => "ideal-by-owner",
            Model::Ideal => "ideal",
        }
    }

    /// Whether the model distinguishes tiers and drops requests that can't finish in time.
    fn is_ideal(self) -> bool {
        matches!(self, Model::IdealByOwner | Model::Ideal)
    }
}

/// A request of the run to replay.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// When its caller sent it.
    pub arrived: Time,
    /// Index of its tier; the first is the highest.
    pub tier: usize,
    /// Execution time at a server.
    pub service_time: Span,
    /// When its caller gives up.
    pub deadline: Time,
    /// Index of the gateway that accepted it.
    pub gateway: usize,
    /// Index of its key's owner among the servers of the service.
    pub owner: Option<usize>,
}

/// Size of the simulated service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceShape {
    /// Number of servers.
    pub servers: usize,
    /// Slots per server.
    pub slots: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of tiers.
    pub tiers: usize,
    /// One-way time from caller to server through a gateway.
    pub hop: Span,
}

#[derive(Clone, Debug)]
struct Station {
    slots: usize,
    busy: usize,
    queues: Vec<VecDeque<usize>>,
}

/// Arrivals at a station are processed before departures at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrives,
    Departs,
}

struct Run<'a> {
    model: Model,
    jobs: &'a [Job],
    shape: ServiceShape,
    stations: Vec<Station>,
    steps: BTreeSet<(Time, Step, usize)>,
    station_of: Vec<usize>,
    rotation: Vec<usize>,
    /// Requests in flight, by gateway and server.
    in_flight: Vec<Vec<usize>>,
    ends: Vec<Option<Time>>,
}

/// Times at which the callers receive their answers; `None` for jobs that are dropped or
/// answered after their deadline. `jobs` must be in order of arrival.
pub fn answers(model: Model, jobs: &[Job], shape: ServiceShape) -> Vec<Option<Time>> {
    let mut run = Run::new(model, jobs, shape);
    for (job, planned) in jobs.iter().enumerate() {
        while run
            .steps
            .first()
            .is_some_and(|step| step.0 <= planned.arrived)
        {
            run.step();
        }
        run.send(job);
    }
    while !run.steps.is_empty() {
        run.step();
    }
    run.ends
}

impl<'a> Run<'a> {
    fn new(model: Model, jobs: &'a [Job], shape: ServiceShape) -> Run<'a> {
        let (count, slots) = match model {
            Model::Ideal => (1, shape.servers * shape.slots),
            _ => (shape.servers, shape.slots),
        };
        let queues = if model.is_ideal() { shape.tiers } else { 1 };
        let station = Station {
            slots,
            busy: 0,
            queues: vec![VecDeque::new(); queues],
        };
        Run {
            model,
            jobs,
            shape,
            stations: vec![station; count],
            steps: BTreeSet::new(),
            station_of: vec![0; jobs.len()],
            rotation: (0..shape.gateways).collect(),
            in_flight: vec![vec![0; shape.servers]; shape.gateways],
            ends: vec![None; jobs.len()],
        }
    }

    fn send(&mut self, job: usize) {
        let station = self.choose(job);
        self.station_of[job] = station;
        if !self.model.is_ideal() {
            self.in_flight[self.jobs[job].gateway][station] += 1;
        }
        let at = self.jobs[job].arrived + self.shape.hop;
        self.steps.insert((at, Step::Arrives, job));
    }

    fn choose(&mut self, job: usize) -> usize {
        let Job { gateway, owner, .. } = self.jobs[job];
        match (self.model, owner) {
            (Model::Ideal, _) => 0,
            (_, Some(owner)) => owner,
            (Model::LeastInFlight, None) => self.least_loaded_server(gateway),
            (_, None) => self.next_in_rotation(gateway),
        }
    }

    fn next_in_rotation(&mut self, gateway: usize) -> usize {
        self.rotation[gateway] = (self.rotation[gateway] + 1) % self.shape.servers;
        self.rotation[gateway]
    }

    /// The server with the fewest requests of a gateway; ties are broken in rotation.
    fn least_loaded_server(&mut self, gateway: usize) -> usize {
        let start = self.next_in_rotation(gateway);
        let counts = &self.in_flight[gateway];
        (0..self.shape.servers)
            .map(|offset| (start + offset) % self.shape.servers)
            .min_by_key(|server| counts[*server])
            .unwrap_or(start)
    }

    fn step(&mut self) {
        let Some((now, step, job)) = self.steps.pop_first() else {
            return;
        };
        let station = self.station_of[job];
        match step {
            Step::Arrives => {
                let tier = if self.model.is_ideal() {
                    self.jobs[job].tier
                } else {
                    0
                };
                self.stations[station].queues[tier].push_back(job);
            }
            Step::Departs => {
                self.stations[station].busy -= 1;
                self.leave(job);
            }
        }
        self.start_queued(now, station);
    }

    fn leave(&mut self, job: usize) {
        if !self.model.is_ideal() {
            self.in_flight[self.jobs[job].gateway][self.station_of[job]] -= 1;
        }
    }

    fn start_queued(&mut self, now: Time, station: usize) {
        while self.stations[station].busy < self.stations[station].slots {
            let queues = &mut self.stations[station].queues;
            let Some(job) = queues.iter_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            self.start(now, station, job);
        }
    }

    /// Servers drop requests whose deadline has passed; the ideal queues also those that can't
    /// finish in time.
    fn start(&mut self, now: Time, station: usize, job: usize) {
        let Job {
            service_time,
            deadline,
            ..
        } = self.jobs[job];
        let end = now + service_time;
        let answered_at = end + self.shape.hop;
        let latest = if self.model.is_ideal() {
            answered_at
        } else {
            now
        };
        if latest > deadline {
            self.leave(job);
            return;
        }
        self.stations[station].busy += 1;
        self.steps.insert((end, Step::Departs, job));
        self.ends[job] = (answered_at <= deadline).then_some(answered_at);
    }
}
