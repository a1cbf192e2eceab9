//! Runs one assigner in virtual time.

use crate::support::Cluster;
use crate::workload::Workload;
use ledgelead_balance::baseline::Assigner;
use ledgelead_balance::{HotPosition, ServerState};
use ledgelead_types::configuration::BalanceConfiguration;
use ledgelead_types::{ServerId, Span, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

const KEYS: usize = 20_000;
/// Seconds before the measurement starts.
const WARM_UP: u64 = 300;
/// Seconds between two changes among the hottest keys.
const HOT_KEY_INTERVAL: u64 = 10;
/// Seconds from one loss or planned stop of a server to the next.
const SERVER_CHANGE_INTERVAL: u64 = 1_200;
/// Seconds for which a leaving server is drained, and then stopped.
const DRAIN_SECONDS: u64 = 60;
const STOPPED_SECONDS: u64 = 240;
/// Seconds for which a restarted server is cold.
const COLD_SECONDS: u64 = 60;

/// Parameters of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub servers: u32,
    pub slots: f64,
    pub requests_per_second: f64,
    pub exponent: f64,
    /// Delay of reported loads, in seconds.
    pub lag: usize,
    pub slices_per_server: u64,
    pub seconds: u64,
    pub policy: BalanceConfiguration,
}

/// Sums over a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub seconds: f64,
    pub imbalance: f64,
    pub imbalance_over_floor: f64,
    pub churn_percent: f64,
    pub drain_percent: f64,
    pub moves: f64,
    pub slices: f64,
}

impl Totals {
    pub fn add(&mut self, other: &Totals) {
        self.seconds += other.seconds;
        self.imbalance += other.imbalance;
        self.imbalance_over_floor += other.imbalance_over_floor;
        self.churn_percent += other.churn_percent;
        self.drain_percent += other.drain_percent;
        self.moves += other.moves;
        self.slices += other.slices;
    }
}

/// Runs an assigner; the workload depends only on the seed.
pub fn run(deployment: &Deployment, assigner: &mut dyn Assigner, seed: u64) -> Totals {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut simulation = Simulation {
        deployment: *deployment,
        workload: Rc::new(Workload::new(KEYS, deployment.exponent, &mut random)),
        reported: VecDeque::new(),
        cluster: Cluster::new(
            deployment.servers,
            deployment.slots,
            u64::from(deployment.servers) * deployment.slices_per_server,
        ),
        noise: Pcg64Mcg::seed_from_u64(!seed),
        random,
        absent: BTreeMap::new(),
        measures: Totals::default(),
    };
    for second in 0..WARM_UP + deployment.seconds {
        simulation.step(second, assigner);
    }
    simulation.measures
}

struct Simulation {
    deployment: Deployment,
    workload: Rc<Workload>,
    /// The workload of the last seconds, latest first.
    reported: VecDeque<Rc<Workload>>,
    cluster: Cluster,
    random: Pcg64Mcg,
    noise: Pcg64Mcg,
    absent: BTreeMap<u64, ServerState>,
    measures: Totals,
}

impl Simulation {
    fn step(&mut self, second: u64, assigner: &mut dyn Assigner) {
        let now = Time::ZERO + Span::from_seconds(second);
        self.complete_moves(second >= WARM_UP);
        if second.is_multiple_of(HOT_KEY_INTERVAL) {
            Rc::make_mut(&mut self.workload).move_hot_key(&mut self.random);
        }
        self.reported.push_front(Rc::clone(&self.workload));
        self.reported.truncate(self.deployment.lag + 1);
        self.change_servers(second);
        if second >= WARM_UP {
            self.measure();
        }
        self.report_loads();
        let input = self.cluster.input(self.deployment.policy);
        let changes = assigner.plan(&input, now);
        if let Err(error) = self.cluster.apply(&changes) {
            panic!("{}: second {second}: {error}", self.deployment.name);
        }
        assert!(
            self.cluster.covers_space(),
            "second {second}: gap or overlap"
        );
    }

    fn complete_moves(&mut self, is_measured: bool) {
        for completed in self.cluster.complete_moves() {
            if !is_measured {
                continue;
            }
            let percent = 100.0 * completed.range.share();
            let mut servers = self.cluster.servers.iter();
            let is_drain = servers.any(|s| s.server == completed.from && !s.accepting);
            self.measures.churn_percent += percent;
            self.measures.moves += 1.0;
            if is_drain {
                self.measures.drain_percent += percent;
            }
        }
    }

    /// Alternately drains and stops a server, or loses one; each is restarted later.
    fn change_servers(&mut self, second: u64) {
        let phase = second % SERVER_CHANGE_INTERVAL;
        let turn = second / SERVER_CHANGE_INTERVAL;
        let server = ServerId((turn % u64::from(self.deployment.servers)) as u32);
        let is_planned = turn.is_multiple_of(2);
        if phase == WARM_UP && is_planned {
            self.change_server(server, |state| state.accepting = false);
        }
        if phase == WARM_UP + DRAIN_SECONDS {
            let state = self.cluster.servers.iter().find(|s| s.server == server);
            self.absent.extend(state.map(|s| (turn, s.clone())));
            self.cluster.remove_server(server);
        }
        if phase == WARM_UP + DRAIN_SECONDS + STOPPED_SECONDS
            && let Some(state) = self.absent.remove(&turn)
        {
            self.cluster.servers.push(ServerState {
                accepting: true,
                cold: true,
                ..state
            });
        }
        if phase == WARM_UP + DRAIN_SECONDS + STOPPED_SECONDS + COLD_SECONDS {
            self.change_server(server, |state| state.cold = false);
        }
    }

    fn change_server(&mut self, server: ServerId, change: impl Fn(&mut ServerState)) {
        let mut servers = self.cluster.servers.iter_mut();
        if let Some(state) = servers.find(|state| state.server == server) {
            change(state);
        }
    }

    /// Reports the counts of one second, Poisson distributed by normal approximation.
    fn report_loads(&mut self) {
        let rate = self.deployment.requests_per_second;
        let Some(workload) = self.reported.back() else {
            return;
        };
        for slice in self.cluster.slices.values_mut() {
            let expected = rate * workload.share(slice.range);
            slice.requests_per_second = counted(expected, &mut self.noise);
            slice.hottest = workload.hottest(slice.range).map(|hot| HotPosition {
                requests_per_second: rate * hot.requests_per_second,
                ..hot
            });
        }
    }

    fn measure(&mut self) {
        let mut loads: BTreeMap<ServerId, f64> = BTreeMap::new();
        for slice in self.cluster.slices.values() {
            if let Some(owner) = slice.owner {
                *loads.entry(owner).or_default() += self.workload.share(slice.range);
            }
        }
        let accepting = self.cluster.servers.iter().filter(|s| s.accepting);
        let utilizations: Vec<f64> = accepting
            .map(|s| loads.get(&s.server).copied().unwrap_or(0.0) / s.capacity)
            .collect();
        let mean = utilizations.iter().sum::<f64>() / utilizations.len() as f64;
        let busiest = utilizations.iter().copied().fold(0.0, f64::max);
        let floor = self.workload.hottest_share() / self.deployment.slots;
        self.measures.seconds += 1.0;
        self.measures.imbalance += busiest / mean;
        self.measures.imbalance_over_floor += busiest / mean.max(floor);
        self.measures.slices += self.cluster.slices.len() as f64;
    }
}

fn counted(expected: f64, random: &mut Pcg64Mcg) -> f64 {
    let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    (expected + normal * expected.sqrt()).max(0.0).round()
}
