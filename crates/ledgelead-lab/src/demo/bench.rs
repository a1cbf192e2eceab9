//! Measures the overhead of the router: the same load is sent directly to the back ends and
//! through the nodes, in one run, with back ends whose service time is zero.

use super::caller::Targets;
use super::configuration;
use super::demonstration::DemoError;
use super::deployment::{Deployment, DeploymentShape};
use super::latency::Latencies;
use super::load::{Load, LoadSettings, Pacing};
use super::options::Options;
use super::process_usage;
use super::records::RequestNumber;
use super::report::Counts;
use super::workload::{self, LoadShape};
use ledgelead_types::Span;
use std::fmt;

/// Size of the deployment; the keyed service has the size of that in the Bogotá scenario.
const SHAPE: DeploymentShape = DeploymentShape {
    nodes: 3,
    keyed_servers: 14,
    unkeyed_servers: 3,
    slots: 2,
    service_time: Span::ZERO,
    killable: false,
};

/// Numbers of connections of the closed-loop measurements.
const CONNECTIONS: [usize; 3] = [1, 64, 512];
/// Rate of the open-loop measurement, which is the design load of one node.
const OPEN_LOOP_REQUESTS_PER_SECOND: f64 = 2_200.0;
/// Number of threads that send in the open-loop measurement.
const OPEN_LOOP_CONNECTIONS: usize = 64;
/// Number of threads that share an HTTP client.
const THREADS_PER_CLIENT: usize = 8;
/// Planned requests per second of a closed loop, which must exceed what it can send.
const PLANNED_REQUESTS_PER_SECOND: f64 = 40_000.0;
/// Number of keys.
const KEYS: usize = 5_000;
/// Seed of the load.
const SEED: u64 = 7;

/// Results of all measurements.
#[derive(Clone, Debug, serde::Serialize)]
pub struct BenchReport {
    /// Processor cores of the machine.
    pub cores: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// One row per measurement.
    pub rows: Vec<BenchRow>,
}

/// Result of a measurement; times are in milliseconds.
#[derive(Clone, Debug, serde::Serialize)]
pub struct BenchRow {
    /// `closed-loop` or `open-loop`.
    pub load: &'static str,
    /// Number of nodes to which callers send requests.
    pub nodes_asked: usize,
    /// Concurrent requests, which is about the number of connections from callers.
    pub connections: usize,
    /// Answered requests per second through the nodes.
    pub requests_per_second: f64,
    /// Answered requests per second directly at the back ends.
    pub direct_requests_per_second: f64,
    /// Answered requests per second of processor time of all node threads.
    pub requests_per_second_per_core: f64,
    /// Number of processor cores used by all node threads.
    pub node_cores: f64,
    /// Number of requests that were not answered.
    pub not_answered: usize,
    /// Number of answers that were truncated or belonged to another request.
    pub wrong_answers: usize,
    /// Median latency through the nodes.
    pub latency_ms_p50: f64,
    /// 99th percentile of the latency through the nodes.
    pub latency_ms_p99: f64,
    /// Median latency directly at the back ends.
    pub direct_latency_ms_p50: f64,
    /// 99th percentile of the latency directly at the back ends.
    pub direct_latency_ms_p99: f64,
    /// Difference of the medians.
    pub added_latency_ms_p50: f64,
    /// Difference of the 99th percentiles.
    pub added_latency_ms_p99: f64,
    /// 99th percentile through the nodes divided by the direct one.
    pub latency_ratio_p99: f64,
    /// Number of node threads at the end of the load.
    pub node_threads: usize,
    /// Number of all threads of the process, including simulated services and callers.
    pub threads: usize,
    /// Resident memory of the process in MiB, including simulated services and callers.
    pub resident_mib: f64,
}

/// Runs all measurements, each for the duration in the options.
pub fn run(options: &Options) -> Result<BenchReport, DemoError> {
    let deployment = Deployment::start(&SHAPE)?;
    deployment.wait_until_ready().map_err(DemoError::NotReady)?;
    let mut bench = Bench {
        deployment,
        duration: options.duration,
        next_request: 1,
    };
    let mut rows = Vec::new();
    for connections in CONNECTIONS {
        let pacing = Pacing::ClosedLoop(options.duration);
        let nodes = bench.deployment.node_targets();
        rows.push(bench.measure(connections, pacing, nodes)?);
    }
    let one_node = Targets::Nodes(vec![bench.deployment.nodes[0].http_address()]);
    rows.push(bench.measure(OPEN_LOOP_CONNECTIONS, Pacing::OpenLoop, one_node)?);
    Ok(BenchReport {
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        nodes: SHAPE.nodes,
        rows,
    })
}

impl BenchReport {
    /// Whether every answer was complete and belonged to its request.
    pub fn is_sound(&self) -> bool {
        self.rows.iter().all(|row| row.wrong_answers == 0)
    }
}

struct Bench {
    deployment: Deployment,
    duration: Span,
    next_request: u64,
}

/// Results of a single load.
struct Measured {
    answered: usize,
    not_answered: usize,
    wrong_answers: usize,
    seconds: f64,
    latencies: Latencies,
    node_cpu_seconds: f64,
    usage: process_usage::ProcessUsage,
}

impl Bench {
    fn measure(
        &mut self,
        connections: usize,
        pacing: Pacing,
        nodes: Targets,
    ) -> Result<BenchRow, DemoError> {
        let nodes_asked = match &nodes {
            Targets::Nodes(nodes) => nodes.len(),
            Targets::Servers { .. } => 0,
        };
        let direct_targets = self.deployment.direct_targets();
        let direct = self.send(connections, pacing, direct_targets)?;
        let routed = self.send(connections, pacing, nodes)?;
        let (p50, p99) = (
            routed.latencies.quantile_ms(0.5),
            routed.latencies.quantile_ms(0.99),
        );
        let (direct_p50, direct_p99) = (
            direct.latencies.quantile_ms(0.5),
            direct.latencies.quantile_ms(0.99),
        );
        Ok(BenchRow {
            load: match pacing {
                Pacing::OpenLoop => "open-loop",
                Pacing::ClosedLoop(_) => "closed-loop",
            },
            nodes_asked,
            connections,
            requests_per_second: routed.answered as f64 / routed.seconds,
            direct_requests_per_second: direct.answered as f64 / direct.seconds,
            requests_per_second_per_core: routed.answered as f64 / routed.node_cpu_seconds,
            node_cores: routed.node_cpu_seconds / routed.seconds,
            not_answered: routed.not_answered,
            wrong_answers: routed.wrong_answers,
            latency_ms_p50: p50,
            latency_ms_p99: p99,
            direct_latency_ms_p50: direct_p50,
            direct_latency_ms_p99: direct_p99,
            added_latency_ms_p50: p50 - direct_p50,
            added_latency_ms_p99: p99 - direct_p99,
            latency_ratio_p99: p99 / direct_p99,
            node_threads: routed.usage.node_threads,
            threads: routed.usage.threads,
            resident_mib: routed.usage.resident_bytes as f64 / (1024.0 * 1024.0),
        })
    }

    fn send(
        &mut self,
        connections: usize,
        pacing: Pacing,
        targets: Targets,
    ) -> Result<Measured, DemoError> {
        let settings = self.load(connections, pacing, targets);
        let clock = self.deployment.clock;
        let before = process_usage::read()?;
        let started = clock.now();
        let load = Load::start(clock, settings)?;
        clock.sleep_until(started + self.duration);
        let usage = process_usage::read()?;
        let records = load.finish();
        let after = process_usage::read()?;
        let seconds = clock.now().since(started).as_seconds();
        self.next_request += records.len() as u64;
        let counts = Counts::of(&records);
        Ok(Measured {
            answered: counts.answered,
            not_answered: counts.not_run() + counts.unknown(),
            wrong_answers: records.iter().filter(|record| record.is_mismatch()).count(),
            seconds,
            latencies: Latencies::of(&records),
            node_cpu_seconds: after.node_cpu_seconds - before.node_cpu_seconds,
            usage,
        })
    }

    fn load(&self, connections: usize, pacing: Pacing, targets: Targets) -> LoadSettings {
        let credentials = configuration::credentials();
        let requests_per_second = match pacing {
            Pacing::OpenLoop => OPEN_LOOP_REQUESTS_PER_SECOND,
            Pacing::ClosedLoop(_) => PLANNED_REQUESTS_PER_SECOND,
        };
        let shape = LoadShape {
            requests_per_second,
            duration: self.duration,
            unkeyed_share: 0.0,
            once_only_share: 0.0,
            keys: KEYS,
            callers: credentials.len(),
            first_request: RequestNumber(self.next_request),
            seed: SEED,
        };
        LoadSettings {
            requests: workload::plan(&shape),
            targets,
            credentials,
            threads: connections,
            threads_per_client: THREADS_PER_CLIENT,
            pacing,
        }
    }
}

impl fmt::Display for BenchReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} nodes, {} cores; times in ms, routed / direct",
            self.nodes, self.cores
        )?;
        writeln!(
            formatter,
            "{:<12}{:>6}{:>7}{:>18}{:>10}{:>7}{:>16}{:>16}{:>8}{:>9}{:>9}",
            "load",
            "nodes",
            "conns",
            "requests/s",
            "per core",
            "cores",
            "p50",
            "p99",
            "refused",
            "threads",
            "MiB"
        )?;
        for row in &self.rows {
            writeln!(formatter, "{row}")?;
        }
        Ok(())
    }
}

impl fmt::Display for BenchRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pair = |routed: f64, direct: f64| format!("{routed:.2} / {direct:.2}");
        let rates = format!(
            "{:.0} / {:.0}",
            self.requests_per_second, self.direct_requests_per_second
        );
        write!(
            formatter,
            "{:<12}{:>6}{:>7}{:>18}{:>10.0}{:>7.2}{:>16}{:>16}{:>8}{:>9}{:>9.1}",
            self.load,
            self.nodes_asked,
            self.connections,
            rates,
            self.requests_per_second_per_core,
            self.node_cores,
            pair(self.latency_ms_p50, self.direct_latency_ms_p50),
            pair(self.latency_ms_p99, self.direct_latency_ms_p99),
            self.not_answered,
            self.node_threads,
            self.resident_mib
        )
    }
}
