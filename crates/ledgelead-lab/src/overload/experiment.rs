//! Runs the deployment under each load and replays its arrivals in the models.

use super::Plan;
use super::models::{Job, Model, ServiceShape, answers};
use super::report::{Ended, OverloadReport, PERMITS, Row, Window};
use crate::scenario::{Scenario, ServiceSection};
use crate::simulation::deployment;
use crate::simulation::rng::milliseconds;
use crate::simulation::{TracedRequest, World};
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::protections::Protections;
use ledgelead_types::{Bytes, Outcome, Span, Time};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Time between the start of the load and the start of the measurement.
const LOAD_SETTLE_TIME: Span = Span::from_seconds(5);
/// The load and the measurement end this long before the run.
const LOAD_ENDS_BEFORE: Span = Span::from_seconds(5);

/// Results of a run with one load.
struct LoadResult {
    rows: Vec<Row>,
    violations: u64,
}

/// Runs the experiment.
pub fn measure(scenario: &Scenario, plan: &Plan) -> OverloadReport {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..plan.threads.min(plan.loads.len()) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(load) = plan.loads.get(index) else {
                        return;
                    };
                    let result = run_load(scenario, plan, *load);
                    let mut results = results
                        .lock()
                        .expect("no run panics while holding the lock");
                    results.insert(index, result);
                }
            });
        }
    });
    let results = results.into_inner().expect("every run has ended");
    let mut report = OverloadReport {
        scenario: scenario.run.name.clone(),
        seed: plan.seed,
        measured_seconds: window(&at_load(scenario, plan, 1.0)).length().as_seconds(),
        violations: results.values().map(|result| result.violations).sum(),
        rows: results
            .into_values()
            .flat_map(|result| result.rows)
            .collect(),
        targets: Vec::new(),
    };
    let order = |row: &Row| {
        scenario
            .services
            .iter()
            .position(|service| service.name == row.service)
    };
    report.rows.sort_by_key(order);
    report.evaluate_targets();
    report
}

/// The scenario without faults and under a constant load.
fn at_load(scenario: &Scenario, plan: &Plan, load: f64) -> Scenario {
    let mut scenario = scenario.clone();
    scenario.faults.clear();
    scenario.run.virtual_seconds = plan.seconds;
    scenario.run.diurnal_amplitude = 0.0;
    for service in &mut scenario.services {
        service.load.of_capacity = load;
    }
    scenario
}

fn window(scenario: &Scenario) -> Window {
    let warm = Time::ZERO + Span::from_seconds(scenario.run.warm_up_seconds);
    let end = Time::ZERO + Span::from_seconds(scenario.run.virtual_seconds);
    Window {
        from: warm + LOAD_SETTLE_TIME,
        until: end.before(LOAD_ENDS_BEFORE),
    }
}

fn run_load(scenario: &Scenario, plan: &Plan, load: f64) -> LoadResult {
    let scenario = at_load(scenario, plan, load);
    let mut world = World::new(
        &scenario,
        plan.seed,
        Protections::default(),
        AssignerChoice::Planner,
    );
    world.trace_requests();
    world.run();
    let requests = world.take_traced_requests();
    let (_, checker) = world.finish();
    let mut rows = Vec::new();
    for (index, service) in scenario.services.iter().enumerate() {
        let traced: Vec<&TracedRequest> = requests
            .iter()
            .filter(|request| request.service == index && used_a_server(request))
            .collect();
        let ended: Vec<Ended> = traced.iter().map(|request| ended(request)).collect();
        rows.push(row(&scenario, service, load, PERMITS, &ended));
        let first_sent = traced.into_iter().filter(|request| !request.is_retry);
        let jobs = jobs(&scenario, index, first_sent.collect());
        for model in models(service) {
            let ended = replay(&scenario, service, model, &jobs);
            rows.push(row(&scenario, service, load, model.name(), &ended));
        }
    }
    LoadResult {
        rows,
        violations: checker.violations.total(),
    }
}

fn row(
    scenario: &Scenario,
    service: &ServiceSection,
    load: f64,
    dispatch: &'static str,
    ended: &[Ended],
) -> Row {
    const MILLIS_PER_SECOND: f64 = 1_000.0;
    let slots = f64::from(service.instances) * f64::from(service.slots);
    let capacity = slots * MILLIS_PER_SECOND / service.service_ms;
    let tiers: Vec<String> = scenario
        .tiers
        .iter()
        .map(|tier| tier.name.clone())
        .collect();
    let label = (service.name.as_str(), load, dispatch);
    Row::count(label, ended, &tiers, window(scenario), capacity)
}

/// For keyed services, `RoundRobin` and `LeastInFlight` are the same because each key has one
/// owner.
fn models(service: &ServiceSection) -> Vec<Model> {
    if service.partitioning == Partitioning::None {
        vec![Model::RoundRobin, Model::LeastInFlight, Model::Ideal]
    } else {
        vec![Model::RoundRobin, Model::IdealByOwner, Model::Ideal]
    }
}

/// A retry that was never sent to a server was refused or answered from the first attempt, so
/// it used no server.
fn used_a_server(request: &TracedRequest) -> bool {
    !request.is_retry || request.server.is_some()
}

/// The completion of a request in the run.
fn ended(request: &TracedRequest) -> Ended {
    Ended {
        tier: usize::from(request.tier.0),
        sent: request.sent,
        ended: request.ended,
        outcome: request.outcome,
        is_retry: request.is_retry,
    }
}

/// The requests of the run in order of arrival. The owner of a key is the server to which its
/// requests were last sent in the run.
fn jobs(scenario: &Scenario, service: usize, mut traced: Vec<&TracedRequest>) -> Vec<Job> {
    traced.sort_by_key(|request| request.sent);
    let first = deployment::servers(scenario)
        .iter()
        .position(|plan| plan.service == service)
        .unwrap_or(0);
    let keyed = scenario.services[service].partitioning != Partitioning::None;
    let mut owners: BTreeMap<Bytes, usize> = BTreeMap::new();
    for request in traced.iter().rev() {
        if let (Some(key), Some(server)) = (&request.key, request.server) {
            owners.insert(key.clone(), server - first);
        }
    }
    let job = |request: &TracedRequest| {
        let server_index = request.server.map(|server| server - first);
        if let (Some(key), Some(server)) = (&request.key, server_index) {
            owners.insert(key.clone(), server);
        }
        let known = request
            .key
            .as_ref()
            .and_then(|key| owners.get(key).copied());
        Job {
            arrived: request.sent,
            tier: usize::from(request.tier.0),
            service_time: request.service_time,
            deadline: request.sent + request.deadline,
            gateway: request.gateway.unwrap_or(0),
            owner: keyed.then(|| known.unwrap_or(0)),
        }
    };
    traced.into_iter().map(job).collect()
}

fn replay(scenario: &Scenario, service: &ServiceSection, model: Model, jobs: &[Job]) -> Vec<Ended> {
    let shape = ServiceShape {
        servers: service.instances as usize,
        slots: usize::from(service.slots),
        gateways: scenario.zones.len() * scenario.nodes.per_zone as usize,
        tiers: scenario.tiers.len(),
        hop: mean_hop(scenario),
    };
    let ends = answers(model, jobs, shape);
    let ended = |(job, answer): (&Job, Option<Time>)| Ended {
        tier: job.tier,
        sent: job.arrived,
        ended: answer.unwrap_or(job.deadline),
        outcome: answer.map(|_| Outcome::Answered),
        is_retry: false,
    };
    jobs.iter().zip(ends).map(ended).collect()
}

/// Mean one-way time from a caller through a gateway to a server, averaged over the zones.
fn mean_hop(scenario: &Scenario) -> Span {
    let network = &scenario.network;
    let zones = scenario.zones.len() as f64;
    let to_server = (network.within_zone_ms + (zones - 1.0) * network.between_zones_ms) / zones;
    milliseconds(network.to_clients_ms + to_server + 2.0 * network.jitter_ms)
}
