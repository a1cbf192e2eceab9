//! Compares ways to divide server slots among gateways, with the same arrivals and service
//! times in virtual time: `cargo run --release --example dispatch_options -p
//! ledgelead-request`.
//!
//! The dispatcher with permits is this crate's code; the others are small models. What each
//! one knows is described at [`Choice`]. The service is not partitioned by key and has 14
//! servers with 2 slots each, 3 gateways, exponential service times with a mean of 20 ms,
//! hops of 1 ms, and a deadline of 2 s.

#[path = "../tests/support/mod.rs"]
mod support;

use ledgelead_types::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use support::load::*;
use support::*;

const SECONDS: u64 = 60;
const SERVERS: usize = 14;
const SLOTS: usize = 2;
const GATEWAYS: usize = 3;
const HOP: Span = Span::from_millis(1);
const SERVICE_TIME: Span = Span::from_millis(20);
const DEADLINE: Span = Span::from_seconds(2);
const MIX: [f64; 3] = [0.1, 0.3, 0.6];
const LOADS: [f64; 5] = [0.5, 0.8, 0.95, 2.0, 5.0];
/// Age of a probed queue length when it is used: the duration of the probe.
const PROBE_TIME: Span = Span::from_millis(6);

/// How a request is assigned to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    /// Each gateway assigns round-robin; servers queue.
    RoundRobin,
    /// Each gateway sends to the server with the fewest of its own requests.
    LeastInFlight,
    /// Two servers are probed for each request; the one with the shorter queue is chosen.
    TwoProbes,
    /// Each gateway exclusively uses every third server and queues for it by itself.
    LeasedSlots,
    /// One queue with full knowledge and no delay except one hop to the server and one back;
    /// strict priority of tiers. This is the upper bound.
    Ideal,
}

struct Job {
    arrived: Time,
    tier: usize,
    service: Span,
}

/// A queue with a number of slots.
#[derive(Default)]
struct Station {
    waiting: [VecDeque<usize>; 3],
    busy: usize,
}

impl Station {
    fn length(&self) -> usize {
        self.busy + self.waiting.iter().map(VecDeque::len).sum::<usize>()
    }
}

/// Model of one option: stations with queues that requests reach after one hop.
struct Model {
    choice: Choice,
    jobs: Vec<Job>,
    stations: Vec<Station>,
    slots: usize,
    /// Ordered by time and kind, with arrivals at stations before departures.
    events: BTreeSet<(Time, bool, usize, usize)>,
    in_flight: Vec<[usize; SERVERS]>,
    history: BTreeMap<usize, VecDeque<(Time, usize)>>,
    ends: Vec<Option<Time>>,
    random: Pcg64Mcg,
}

impl Model {
    fn new(choice: Choice, jobs: Vec<Job>) -> Model {
        let (stations, slots) = match choice {
            Choice::Ideal => (1, SERVERS * SLOTS),
            Choice::LeasedSlots => (GATEWAYS, SERVERS * SLOTS / GATEWAYS),
            _ => (SERVERS, SLOTS),
        };
        Model {
            choice,
            ends: vec![None; jobs.len()],
            jobs,
            stations: (0..stations).map(|_| Station::default()).collect(),
            slots,
            events: BTreeSet::new(),
            in_flight: vec![[0; SERVERS]; GATEWAYS],
            history: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(5),
        }
    }

    fn run(mut self) -> Model {
        let mut next = 0;
        loop {
            let event = self.events.first().copied();
            let arrival = self.jobs.get(next).map(|job| job.arrived);
            match (event, arrival) {
                (Some((at, ..)), Some(arrived)) if at <= arrived => self.handle_next_event(),
                (_, Some(_)) => {
                    self.send(next);
                    next += 1;
                }
                (Some(_), None) => self.handle_next_event(),
                (None, None) => return self,
            }
        }
    }

    fn send(&mut self, job: usize) {
        let gateway = job % GATEWAYS;
        let station = self.choose(job, gateway);
        let at = self.jobs[job].arrived + HOP;
        if self.stations.len() == SERVERS {
            self.in_flight[gateway][station] += 1;
        }
        self.events.insert((at, false, station, job));
    }

    fn choose(&mut self, job: usize, gateway: usize) -> usize {
        match self.choice {
            Choice::Ideal => 0,
            Choice::LeasedSlots => gateway,
            Choice::RoundRobin => (job / GATEWAYS + gateway * 5) % SERVERS,
            Choice::LeastInFlight => {
                let start = self.random.random_range(0..SERVERS);
                let counts = &self.in_flight[gateway];
                (0..SERVERS)
                    .map(|offset| (start + offset) % SERVERS)
                    .min_by_key(|&server| counts[server])
                    .unwrap_or(start)
            }
            Choice::TwoProbes => {
                let left = self.random.random_range(0..SERVERS);
                let right = (left + self.random.random_range(1..SERVERS)) % SERVERS;
                let seen_at = self.jobs[job].arrived - PROBE_TIME;
                if self.length_at(left, seen_at) <= self.length_at(right, seen_at) {
                    left
                } else {
                    right
                }
            }
        }
    }

    fn length_at(&self, station: usize, at: Time) -> usize {
        let history = self.history.get(&station);
        let seen = history.and_then(|lengths| lengths.iter().rev().find(|(when, _)| *when <= at));
        seen.map_or(0, |&(_, length)| length)
    }

    fn handle_next_event(&mut self) {
        let Some((now, departs, station, job)) = self.events.pop_first() else {
            return;
        };
        if departs {
            self.stations[station].busy -= 1;
            let gateway = job % GATEWAYS;
            if self.stations.len() == SERVERS {
                self.in_flight[gateway][station] -= 1;
            }
        } else {
            let tier = self.jobs[job].tier;
            let queue = if self.choice == Choice::Ideal {
                tier
            } else {
                0
            };
            self.stations[station].waiting[queue].push_back(job);
        }
        self.start(now, station);
        let length = self.stations[station].length();
        let history = self.history.entry(station).or_default();
        history.push_back((now, length));
        while history.len() > 2 && history[1].0 + PROBE_TIME + PROBE_TIME < now {
            history.pop_front();
        }
    }

    /// Starts as many jobs as there are free slots; jobs past their deadline are dropped at
    /// the server.
    fn start(&mut self, now: Time, station: usize) {
        while self.stations[station].busy < self.slots {
            let waiting = &mut self.stations[station].waiting;
            let Some(job) = waiting.iter_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            let arrived = self.jobs[job].arrived;
            if now.since(arrived) >= DEADLINE {
                let gateway = job % GATEWAYS;
                if self.stations.len() == SERVERS {
                    self.in_flight[gateway][station] -= 1;
                }
                continue;
            }
            let end = now + self.jobs[job].service;
            self.stations[station].busy += 1;
            self.events.insert((end, true, station, job));
            if end + HOP <= arrived + DEADLINE {
                self.ends[job] = Some(end + HOP);
            }
        }
    }
}

/// The arrivals of the world, with service times from the same distribution.
fn jobs(world: &World) -> Vec<Job> {
    let mut random = Pcg64Mcg::seed_from_u64(17);
    let mut jobs: Vec<Job> = world
        .arrivals
        .values()
        .map(|(arrived, arrival)| Job {
            arrived: *arrived,
            tier: ["gold", "silver", "bronze"]
                .iter()
                .position(|name| *name == &*arrival.credential_sha256)
                .unwrap_or(2),
            service: Span::ZERO,
        })
        .collect();
    jobs.sort_by_key(|job| job.arrived);
    for job in &mut jobs {
        let draw: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        job.service = SERVICE_TIME.times(-draw.ln());
    }
    jobs
}

fn print_row(load: f64, name: &str, goodput: f64, latencies: &mut [Vec<Span>; 3]) {
    let mut all: Vec<Span> = latencies.iter().flatten().copied().collect();
    all.sort_unstable();
    let at = |spans: &[Span], percent: usize| {
        let index = spans.len() * percent / 100;
        spans.get(index).map_or(0.0, |span| span.as_millis())
    };
    latencies[0].sort_unstable();
    println!(
        "| {load} | {name} | {goodput:.3} | {:.0} | {:.0} | {:.0} |",
        at(&all, 50),
        at(&all, 99),
        at(&latencies[0], 99),
    );
}

fn capacity() -> f64 {
    (SERVERS * SLOTS) as f64 * SECONDS as f64 / SERVICE_TIME.as_seconds()
}

fn main() {
    println!("| load | dispatch | goodput | p50 ms | p99 ms | top tier p99 ms |");
    println!("|---|---|---|---|---|---|");
    for load in LOADS {
        let mut world = World::new(WorldOptions {
            gateways: GATEWAYS,
            servers: SERVERS as u32,
            slots: SLOTS as u16,
            service_time: SERVICE_TIME,
            hop: HOP,
            tiers: three_tiers(),
            ..WorldOptions::default()
        });
        open_loop(&mut world, load, SECONDS, &MIX, DEADLINE);
        let end = Time::ZERO + WARM_UP + Span::from_seconds(SECONDS);
        world.run(end + Span::from_seconds(5));
        for choice in [
            Choice::RoundRobin,
            Choice::LeastInFlight,
            Choice::TwoProbes,
            Choice::LeasedSlots,
            Choice::Ideal,
        ] {
            let model = Model::new(choice, jobs(&world)).run();
            let mut latencies = [const { Vec::new() }; 3];
            for (job, ended) in model.jobs.iter().zip(&model.ends) {
                if let Some(ended) = ended
                    && job.arrived >= Time::ZERO + WARM_UP
                {
                    latencies[job.tier].push(ended.since(job.arrived));
                }
            }
            let answered: usize = latencies.iter().map(Vec::len).sum();
            let goodput = answered as f64 / capacity();
            print_row(load, &format!("{choice:?}"), goodput, &mut latencies);
        }
        print_world(load, &world);
    }
}

fn print_world(load: f64, world: &World) {
    let mut latencies = [const { Vec::new() }; 3];
    for (key, (arrived, arrival)) in &world.arrivals {
        let answer = world.responses.get(key).and_then(|all| all.first());
        let Some(answer) = answer.filter(|answer| answer.outcome == Outcome::Answered) else {
            continue;
        };
        if *arrived < Time::ZERO + WARM_UP {
            continue;
        }
        let tier = match &*arrival.credential_sha256 {
            "gold" => 0,
            "silver" => 1,
            _ => 2,
        };
        latencies[tier].push(answer.at.since(*arrived));
    }
    let answered: usize = latencies.iter().map(Vec::len).sum();
    let goodput = answered as f64 / capacity();
    print_row(load, "Dispatcher with permits", goodput, &mut latencies);
}
