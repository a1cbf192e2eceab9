//! Runs a demonstration: the same load is sent directly to the back ends and through the
//! nodes. During the latter, a server is killed, a server leaves as planned and a node is
//! stopped.

use super::checker::{self, Departure, Evidence, NodeDeparture};
use super::configuration;
use super::deployment::{Deployment, DeploymentShape};
use super::latency::Latencies;
use super::live;
use super::load::{Load, LoadSettings};
use super::nodes::DemoNode;
use super::options::Options;
use super::records::{CallerRecord, RequestNumber};
use super::report::{Counts, DemoReport, PhaseReport, Unavailability};
use super::workload::LoadShape;
use ledgelead_types::platform::MachineState;
use ledgelead_types::server::GrantedSlice;
use ledgelead_types::{ServerId, Span, Time};
use std::io;
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

/// Size of the deployment.
pub const SHAPE: DeploymentShape = DeploymentShape {
    nodes: 3,
    keyed_servers: 6,
    unkeyed_servers: 3,
    slots: 2,
    service_time: Span::from_millis(4),
    killable: true,
};

/// Requests per second, about a third of the back ends' capacity.
const REQUESTS_PER_SECOND: f64 = 900.0;
/// Number of threads that send, which must be enough for the requests that wait while a slice
/// has no owner.
const SENDING_THREADS: usize = 256;
/// Number of keys.
const KEYS: usize = 5_000;
/// Seed of the load.
const SEED: u64 = 20_260;
/// Share of the duration in which the load goes directly to the back ends.
const DIRECT_SHARE: f64 = 0.2;
/// When a server is killed, as a share of the load through the nodes.
const KILL_AT: f64 = 0.33;
/// When a server asks to leave, as a share of the same load.
const LEAVE_AT: f64 = 0.55;
/// When a node is stopped, as a share of the same load.
const NODE_STOP_AT: f64 = 0.78;
/// Interval between checks for due actions.
const TICK: Duration = Duration::from_millis(5);
/// Maximum time to wait for the end of a node's stop after the load.
const NODE_STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of the live summary.
const LIVE_INTERVAL: Span = Span::from_seconds(1);

/// Why a demonstration failed.
#[derive(Debug)]
pub enum DemoError {
    /// A socket or thread could not be created.
    System(io::Error),
    /// The deployment was not ready in time; contains what was missing.
    NotReady(String),
    /// No suitable back end owns slices.
    NoOwner,
}

impl std::fmt::Display for DemoError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DemoError::System(error) => write!(formatter, "can't run: {error}"),
            DemoError::NotReady(missing) => write!(formatter, "not ready in time: {missing}"),
            DemoError::NoOwner => write!(formatter, "too few back ends own slices"),
        }
    }
}

impl std::error::Error for DemoError {}

impl From<io::Error> for DemoError {
    fn from(error: io::Error) -> Self {
        DemoError::System(error)
    }
}

/// Runs a demonstration and summarizes it.
pub fn run(options: &Options) -> Result<DemoReport, DemoError> {
    let deployment = Deployment::start(&SHAPE)?;
    let ready = deployment.wait_until_ready().map_err(DemoError::NotReady)?;
    live::print(options, || {
        format!("ready after {:.0} ms", ready.as_millis())
    });
    let direct_time = options.duration.times(DIRECT_SHARE);
    let direct = load(direct_time, 1, deployment.direct_targets());
    let idle_traffic = ControlTraffic::start(&deployment);
    let direct = Load::start(deployment.clock, direct)?.finish();
    let idle_bytes_per_second = idle_traffic.bytes_per_second(&deployment);
    live::print(options, || "direct load on the back ends: done".to_owned());

    let routed_time = options.duration.less(direct_time);
    let first_request = direct.len() as u64 + 1;
    let routed = load(routed_time, first_request, deployment.node_targets());
    let mut run = Run::start(deployment, routed_time, routed)?;
    run.drive(options)?;
    Ok(DemoReport {
        idle_control_bytes_per_second_per_node_max: idle_bytes_per_second,
        ..run.finish(&direct)
    })
}

fn load(duration: Span, first_request: u64, targets: super::caller::Targets) -> LoadSettings {
    let shape = LoadShape {
        requests_per_second: REQUESTS_PER_SECOND,
        duration,
        unkeyed_share: 0.25,
        once_only_share: 0.2,
        keys: KEYS,
        callers: configuration::credentials().len(),
        first_request: RequestNumber(first_request),
        seed: SEED,
    };
    LoadSettings::open_loop(&shape, targets, SENDING_THREADS)
}

/// The load through the nodes and the faults during it.
struct Run {
    deployment: Deployment,
    load: Load,
    started: Time,
    duration: Span,
    traffic: ControlTraffic,
    kill: Option<Kill>,
    leave: Option<Leave>,
    node_stop: Option<NodeStop>,
    undisturbed_control_bytes_per_second: f64,
}

/// A killed server and the slices that it owned.
struct Kill {
    departure: Departure,
    slices: Vec<GrantedSlice>,
}

/// A server that leaves as planned.
struct Leave {
    departure: Departure,
    handed_over: Option<Time>,
}

/// A node that is stopping.
struct NodeStop {
    departure: NodeDeparture,
    node: String,
    stopped: Receiver<Time>,
}

impl Run {
    fn start(deployment: Deployment, duration: Span, load: LoadSettings) -> io::Result<Run> {
        Ok(Run {
            traffic: ControlTraffic::start(&deployment),
            started: deployment.clock.now(),
            load: Load::start(deployment.clock, load)?,
            deployment,
            duration,
            kill: None,
            leave: None,
            node_stop: None,
            undisturbed_control_bytes_per_second: 0.0,
        })
    }

    /// Carries out due actions until every request has an outcome.
    fn drive(&mut self, options: &Options) -> Result<(), DemoError> {
        let mut next_live = self.started + LIVE_INTERVAL;
        while !self.load.is_finished() {
            let now = self.deployment.clock.now();
            self.inject_faults(now, options)?;
            if now >= next_live {
                next_live = next_live + LIVE_INTERVAL;
                live::print(options, || live::summary(&self.deployment, self.load.log()));
            }
            thread::sleep(TICK);
        }
        Ok(())
    }

    fn inject_faults(&mut self, now: Time, options: &Options) -> Result<(), DemoError> {
        let share = now.since(self.started).as_seconds() / self.duration.as_seconds();
        if self.kill.is_none() && share >= KILL_AT {
            self.undisturbed_control_bytes_per_second =
                self.traffic.bytes_per_second(&self.deployment);
            let kill = self.kill_server()?;
            live::print(options, || {
                format!(
                    "killed {} with {} slices",
                    kill.departure.server,
                    kill.slices.len()
                )
            });
            self.kill = Some(kill);
        }
        if self.leave.is_none() && share >= LEAVE_AT {
            let leave = self.ask_server_to_leave()?;
            live::print(options, || format!("{} is leaving", leave.departure.server));
            self.leave = Some(leave);
        }
        if self.node_stop.is_none() && share >= NODE_STOP_AT {
            self.node_stop = self.stop_node()?;
            live::print(options, || "stopping a node".to_owned());
        }
        self.stop_drained_server();
        Ok(())
    }

    /// A back end that owns slices and has not been killed.
    fn owner(&self) -> Result<ServerId, DemoError> {
        let killed = self.kill.as_ref().map(|kill| kill.departure.server);
        self.deployment
            .servers
            .iter()
            .filter(|server| !server.claimable().is_empty())
            .map(|server| server.settings().server)
            .find(|server| Some(*server) != killed)
            .ok_or(DemoError::NoOwner)
    }

    fn kill_server(&mut self) -> Result<Kill, DemoError> {
        let server_id = self.owner()?;
        let server = self
            .deployment
            .server_mut(server_id)
            .ok_or(DemoError::NoOwner)?;
        let slices = server.claimable();
        server.kill();
        let at = server.stopped_at().ok_or(DemoError::NoOwner)?;
        let departure = Departure {
            server: server_id,
            at,
            planned: false,
        };
        Ok(Kill { departure, slices })
    }

    fn ask_server_to_leave(&mut self) -> Result<Leave, DemoError> {
        let server_id = self.owner()?;
        let at = self.deployment.clock.now();
        let server = self
            .deployment
            .server_mut(server_id)
            .ok_or(DemoError::NoOwner)?;
        server.leave();
        let departure = Departure {
            server: server_id,
            at,
            planned: true,
        };
        Ok(Leave {
            departure,
            handed_over: None,
        })
    }

    /// Ends the process of the leaving server once it is drained.
    fn stop_drained_server(&mut self) {
        let Some(leave) = self
            .leave
            .as_mut()
            .filter(|leave| leave.handed_over.is_none())
        else {
            return;
        };
        let server = self.deployment.server_mut(leave.departure.server);
        let Some(server) = server.filter(|server| server.is_drained()) else {
            return;
        };
        server.kill();
        leave.handed_over = server.stopped_at();
    }

    /// Stops the last node in the background.
    fn stop_node(&mut self) -> Result<Option<NodeStop>, DemoError> {
        let clock = self.deployment.clock;
        let Some(node) = self.deployment.nodes.last_mut() else {
            return Ok(None);
        };
        let Some(running) = node.take() else {
            return Ok(None);
        };
        let name = node.node().to_string();
        let address = node.http_address();
        let leaving = node.machine(MachineState::Leaving);
        self.deployment.platform.set_machine(leaving);
        let (stop, stopped) = mpsc::channel();
        let at = clock.now();
        thread::Builder::new()
            .name("lab-stop-node".to_owned())
            .spawn(move || {
                running.stop();
                // The receiver may have given up waiting.
                let _ = stop.send(clock.now());
            })?;
        Ok(Some(NodeStop {
            departure: NodeDeparture { address, at },
            node: name,
            stopped,
        }))
    }

    fn finish(self, direct: &[CallerRecord]) -> DemoReport {
        let end = self.deployment.clock.now();
        let phases = self.phases(end);
        let node_stop_ms = self.node_stop.as_ref().and_then(NodeStop::duration_ms);
        let records = self.load.finish();
        let executions = self.deployment.executions();
        let kill = self.kill.as_ref().map(|kill| kill.departure);
        let leave = self.leave.as_ref().map(|leave| leave.departure);
        let departures = kill.into_iter().chain(leave).collect::<Vec<_>>();
        let node_departures = self.node_stop.iter().map(|stop| stop.departure);
        let node_departures = node_departures.collect::<Vec<_>>();
        let violations = checker::check(&Evidence {
            callers: &records,
            executions: &executions,
            departures: &departures,
            node_departures: &node_departures,
        });
        let counts = Counts::of(&records);
        let unavailability = self
            .kill
            .as_ref()
            .map(|kill| unavailability(kill, &records, end));
        let unavailability = unavailability.unwrap_or_default();
        let latencies = Latencies::of(&records);
        let direct_latencies = Latencies::of(direct);
        let phases = phases
            .iter()
            .map(|phase| PhaseReport::of(&phase.name, &records, phase.from, phase.to))
            .collect::<Vec<_>>();
        let planned_stop = self.leave.as_ref().and_then(Leave::duration);
        DemoReport {
            requests: records.len(),
            answered: counts.answered,
            not_run: counts.not_run(),
            unknown: counts.unknown(),
            violations: violations.total(),
            latency_ms_p50: latencies.quantile_ms(0.5),
            latency_ms_p99: latencies.quantile_ms(0.99),
            direct_latency_ms_p50: direct_latencies.quantile_ms(0.5),
            direct_latency_ms_p99: direct_latencies.quantile_ms(0.99),
            direct_answered: direct.iter().filter(|record| record.is_answered()).count(),
            undisturbed_latency_ms_p50: phases.first().map_or(0.0, |first| first.latency_ms_p50),
            undisturbed_latency_ms_p99: phases.first().map_or(0.0, |first| first.latency_ms_p99),
            unavailable_ms_p50: unavailability.quantile_ms(0.5),
            unavailable_ms_max: unavailability.quantile_ms(1.0),
            slices_measured: unavailability.spans.len(),
            slices_not_recovered: unavailability.not_recovered,
            planned_stop_ms: planned_stop.map(Span::as_millis),
            node_stop_ms,
            idle_control_bytes_per_second_per_node_max: 0.0,
            control_bytes_per_second_per_node_max: self.undisturbed_control_bytes_per_second,
            violations_by_name: violations,
            not_run_reasons: counts.not_run_reasons,
            unknown_reasons: counts.unknown_reasons,
            phases,
        }
    }

    /// The parts of the run between faults.
    fn phases(&self, end: Time) -> Vec<Phase> {
        let mut starts = vec![("undisturbed".to_owned(), self.started)];
        if let Some(kill) = &self.kill {
            let name = format!("{} killed", kill.departure.server);
            starts.push((name, kill.departure.at));
        }
        if let Some(leave) = &self.leave {
            let name = format!("{} leaves", leave.departure.server);
            starts.push((name, leave.departure.at));
        }
        if let Some(stop) = &self.node_stop {
            starts.push((format!("{} stops", stop.node), stop.departure.at));
        }
        let ends = starts.iter().skip(1).map(|(_, start)| *start);
        let ends = ends.chain([end]).collect::<Vec<_>>();
        let phase = |((name, from), to)| Phase { name, from, to };
        starts.into_iter().zip(ends).map(phase).collect()
    }
}

/// A part of the run.
struct Phase {
    name: String,
    from: Time,
    to: Time,
}

impl Leave {
    fn duration(&self) -> Option<Span> {
        let handed_over = self.handed_over?;
        Some(handed_over.since(self.departure.at))
    }
}

impl NodeStop {
    /// Duration of the stop; `None` if it has not ended in time.
    fn duration_ms(&self) -> Option<f64> {
        let stopped = self.stopped.recv_timeout(NODE_STOP_TIMEOUT).ok()?;
        Some(stopped.since(self.departure.at).as_millis())
    }
}

/// Control traffic of all nodes since a point in time.
struct ControlTraffic {
    started: Time,
    bytes: Vec<u64>,
}

impl ControlTraffic {
    fn start(deployment: &Deployment) -> ControlTraffic {
        ControlTraffic {
            started: deployment.clock.now(),
            bytes: control_bytes(deployment),
        }
    }

    /// Bytes per second of the node with the highest traffic.
    fn bytes_per_second(&self, deployment: &Deployment) -> f64 {
        let seconds = deployment.clock.now().since(self.started).as_seconds();
        let most = control_bytes(deployment)
            .iter()
            .zip(&self.bytes)
            .map(|(now, before)| now.saturating_sub(*before))
            .max();
        most.unwrap_or(0) as f64 / seconds
    }
}

fn control_bytes(deployment: &Deployment) -> Vec<u64> {
    let nodes = deployment.nodes.iter();
    nodes.map(DemoNode::control_bytes).collect()
}

fn unavailability(kill: &Kill, records: &[CallerRecord], end: Time) -> Unavailability {
    let mut result = Unavailability::default();
    for slice in &kill.slices {
        let since_kill = |record: &&CallerRecord| {
            let in_slice = record.position.is_some_and(|at| slice.range.contains(at));
            in_slice && record.due >= kill.departure.at
        };
        let requests = records.iter().filter(since_kill).collect::<Vec<_>>();
        if requests.is_empty() {
            continue;
        }
        let answered = requests.iter().filter(|record| record.is_answered());
        let first = answered.map(|record| record.finished).min();
        result.not_recovered += usize::from(first.is_none());
        let until = first.unwrap_or(end);
        result.spans.push(until.since(kill.departure.at));
    }
    result
}
