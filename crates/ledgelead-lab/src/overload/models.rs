//! Models of other ways to divide the servers' slots among gateways, under
//! the arrivals and service times of a run.
//!
//! A model has stations with slots and a queue in front of them; a job reaches
//! its station one hop after its arrival, and its answer takes one hop back.

use ledgelead_types::{Span, Time};
use std::collections::{BTreeSet, VecDeque};

/// How a request finds its server, and in what order servers work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Model {
    /// Each gateway takes turns over the servers, which queue without tiers.
    /// A key's requests go to its owner.
    RoundRobin,
    /// Each gateway sends to the server with the fewest of its own requests,
    /// which queues without tiers. A key's requests go to its owner.
    LeastInFlight,
    /// One queue an owner with full knowledge, in strict order of tiers: the
    /// limit for a service that is divided by key as it is.
    IdealByOwner,
    /// One queue over all servers with full knowledge, in strict order of
    /// tiers: the limit.
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

    /// Whether it knows tiers, and what can't end in time.
    fn is_ideal(self) -> bool {
        matches!(self, Model::IdealByOwner | Model::Ideal)
    }
}

/// A request of the run.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// When its caller sent it.
    pub arrived: Time,
    /// Index of its tier; the first is the highest.
    pub tier: usize,
    /// Time that a server needs.
    pub service_time: Span,
    /// When its caller gives up.
    pub deadline: Time,
    /// Index of the gateway that accepted it.
    pub gateway: usize,
    /// Index of its key's owner among the servers of the service.
    pub owner: Option<usize>,
}

/// The service that a model serves.
#[derive(Clone, Copy, Debug)]
pub struct ServiceShape {
    /// Servers.
    pub servers: usize,
    /// Slots of each.
    pub slots: usize,
    /// Gateways.
    pub gateways: usize,
    /// Tiers.
    pub tiers: usize,
    /// From caller to server, one way, through a gateway.
    pub hop: Span,
}

#[derive(Clone, Debug)]
struct Station {
    slots: usize,
    busy: usize,
    queues: Vec<VecDeque<usize>>,
}

/// Arrivals at a station come before departures of the same moment.
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
    /// Requests of each gateway at each server.
    in_flight: Vec<Vec<usize>>,
    ends: Vec<Option<Time>>,
}

/// When each job's caller has its answer; `None` for one that is dropped or
/// answered after its deadline. `jobs` are in the order of their arrival.
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

    /// The server with the fewest of a gateway's requests; ties in turn.
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

    /// A server drops what is past its deadline; the ideal queue also what
    /// can't end before it.
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
