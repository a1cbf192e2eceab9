//! The `ledgelead-lab fleet` command.

use super::crashing::CrashingRequest;
use super::crashing_callers::AddressChange;
use super::faults::{FaultKind, Schedule};
use super::report::FleetReport;
use super::store::PAGE_OBJECTS;
use super::trace_log;
use super::transport::Transport;
use super::world::{FleetSettings, SHARDED_INSTANCES, TRAFFIC_FROM, World, violation_lines};
use ledgelead_router::protections::{Protection, Protections};
use ledgelead_runtime::clock::ProcessClock;
use lexopt::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::ops::{Range, RangeInclusive};
use std::process::ExitCode;
use std::time::Duration;

/// Default number of nodes in a run.
pub const NODES: usize = 6;
/// Maximum number of nodes in a run; each needs its own address.
const MAX_NODES: usize = 250;
/// How long clients send requests.
const TRAFFIC_DURATION: Duration = Duration::from_secs(40);
/// Latest start of a fault, relative to the first client request.
const LAST_FAULT: Duration = Duration::from_secs(25);
/// Page size that makes lists span several pages.
const SMALL_PAGE_OBJECTS: usize = 4;
/// Service times of instances, in milliseconds.
const SERVICE_MS: Range<u64> = 15..45;
/// Service times of slow instances, in milliseconds.
const SLOW_SERVICE_MS: Range<u64> = 70..180;
/// Maximum number of violations printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Settings of a run with random faults derived from the seed.
pub fn drawn(seed: u64, protections: Protections) -> FleetSettings {
    drawn_for(seed, NODES, protections)
}

/// Settings of a run with the given number of nodes and random faults derived from the seed.
pub fn drawn_for(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let schedule = Schedule::draw(
        &mut rng,
        nodes,
        SHARDED_INSTANCES,
        TRAFFIC_FROM,
        TRAFFIC_FROM + LAST_FAULT,
    );
    FleetSettings {
        seed,
        nodes,
        traffic: TRAFFIC_DURATION,
        schedule,
        transport: Transport::LOSSY,
        clock: ProcessClock::SOURCE,
        page_objects: PAGE_OBJECTS,
        trace: false,
        hot_from: None,
        service_ms: SERVICE_MS,
        crashing: Vec::new(),
        bystanders: false,
        reports_start_times: false,
        reports_leaving_in_responses: false,
        datagram_loss: DATAGRAM_LOSSES[(seed % 3) as usize],
        protections,
    }
}

/// Settings of a run with random faults and with configuration changes while the store refuses
/// some nodes.
pub fn drawn_versions(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7e25);
    let versions =
        Schedule::draw_versions(&mut rng, nodes, TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    // Half of the runs have no other faults, so that nodes stay connected to the store for
    // longer.
    let schedule = match seed % 2 {
        0 => versions,
        _ => drawn.schedule.join(versions),
    };
    FleetSettings { schedule, ..drawn }
}

/// Settings of a run in which connections to the store fall silent around large versions and
/// departures. Half of the runs also have random faults.
pub fn drawn_silent_connections(
    seed: u64,
    nodes: usize,
    protections: Protections,
) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x51c0);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let silent = Schedule::draw_silent_connections(&mut rng, from, to);
    let schedule = match seed % 2 {
        0 => silent,
        _ => drawn.schedule.join(silent),
    };
    FleetSettings { schedule, ..drawn }
}

/// Settings of a run with random faults, with requests that crash instances, and with callers
/// of harmless requests.
pub fn drawn_crashing(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xc4a5);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT / 2);
    let crashing = CrashingRequest::draw(&mut rng, from, to);
    let crashes = Schedule::draw_crashes(&mut rng, TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xadd7);
    let addresses = AddressChange::of_seed(seed);
    let crashing = CrashingRequest::with_drawn_clients(crashing, addresses, &mut rng);
    let crashes = crashes
        .join(Schedule::draw_zone_crashes(
            &mut rng,
            TRAFFIC_FROM,
            TRAFFIC_FROM + LAST_FAULT,
        ))
        .join(Schedule::draw_restart_before(&mut rng, &crashing));
    // Half of the runs have no other faults, so that nodes stay connected to the store for
    // longer.
    let schedule = match seed % 2 {
        0 => crashes,
        _ => drawn.schedule.join(crashes),
    };
    FleetSettings {
        schedule,
        crashing,
        bystanders: true,
        ..drawn
    }
}

/// Settings of a run with network partitions between nodes and instances that delay orders.
/// Half of the runs also have random faults.
pub fn drawn_cuts(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xc075);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let cuts = Schedule::draw_cuts(&mut rng, nodes, from, to);
    let schedule = match seed % 2 {
        0 => cuts,
        _ => drawn.schedule.join(cuts),
    };
    FleetSettings {
        schedule,
        transport: Transport::RUNTIME,
        ..drawn
    }
}

/// Settings of a run with nodes that are partitioned from all instances. Half of the runs also
/// have random faults.
pub fn drawn_isolated(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x150a);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let isolations = Schedule::draw_isolations(&mut rng, nodes, from, to);
    let schedule = match seed % 2 {
        0 => isolations,
        _ => drawn.schedule.join(isolations),
    };
    FleetSettings {
        schedule,
        transport: Transport::RUNTIME,
        ..drawn
    }
}

/// Settings of a run with store entries written by a foreign writer. Half of the runs also
/// have random faults.
pub fn drawn_foreign(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xf0e1);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let foreign = Schedule::draw_foreign(&mut rng, from, to);
    let schedule = match seed % 2 {
        0 => foreign,
        _ => drawn.schedule.join(foreign),
    };
    FleetSettings { schedule, ..drawn }
}

/// Settings of a run with instances that restart under the same id and with delayed orders,
/// optionally combined with random faults, partitions, or requests that crash instances.
pub fn drawn_restarts(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x1155);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let restarts = Schedule::draw_restarts(&mut rng, SHARDED_INSTANCES, from, to);
    let schedule = match seed % 4 {
        0 | 2 => restarts,
        1 => drawn.schedule.join(restarts),
        _ => Schedule::draw_cuts(&mut rng, nodes, from, to).join(restarts),
    };
    // The faults of the other runs would obscure when nodes learn of crashes.
    let crashing = match seed % 4 {
        2 => CrashingRequest::draw(&mut rng, from, from + LAST_FAULT / 2),
        _ => Vec::new(),
    };
    FleetSettings {
        schedule,
        crashing,
        transport: Transport::RUNTIME,
        reports_start_times: true,
        ..drawn
    }
}

/// Settings of a run with instances that announce in their responses that they are leaving or
/// want a pause. Half of the runs also have random faults or instances that restart under the
/// same id.
pub fn drawn_notices(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5a1d);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let notices = Schedule::draw_notices(&mut rng, nodes, from, to);
    let schedule = match seed % 4 {
        0 | 2 => notices,
        1 => drawn.schedule.join(notices),
        _ => Schedule::draw_restarts(&mut rng, SHARDED_INSTANCES, from, to).join(notices),
    };
    FleetSettings {
        schedule,
        reports_start_times: true,
        reports_leaving_in_responses: true,
        ..drawn
    }
}

/// Settings of a run with instances that announce rate limits. Half of the runs also have
/// random faults or instances that restart under the same id.
pub fn drawn_limits(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x71a7);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let limits = Schedule::draw_limits(&mut rng, from, to);
    let schedule = match seed % 4 {
        0 | 2 => limits,
        1 => drawn.schedule.join(limits),
        _ => Schedule::draw_restarts(&mut rng, SHARDED_INSTANCES, from, to).join(limits),
    };
    FleetSettings {
        schedule,
        reports_start_times: true,
        ..drawn
    }
}

/// Settings of a run with a store that is restored from snapshots. Half of the runs also have
/// random faults or network partitions.
pub fn drawn_eras(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xe4a5);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let eras = Schedule::draw_eras(&mut rng, nodes, from, to);
    let schedule = match seed % 4 {
        0 | 2 => eras,
        1 => drawn.schedule.join(eras),
        _ => Schedule::draw_cuts(&mut rng, nodes, from, to).join(eras),
    };
    FleetSettings {
        schedule,
        // Hot keys keep ownership changing during the run, so that a restored snapshot holds
        // outdated owners.
        hot_from: Some(from),
        ..drawn
    }
}

/// Settings of a run with suspended machines. Half of the runs also have random faults.
pub fn drawn_suspended(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5199);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let suspensions = Schedule::draw_suspensions(&mut rng, nodes, from, to);
    let schedule = match seed % 2 {
        0 => suspensions,
        _ => drawn.schedule.join(suspensions),
    };
    FleetSettings { schedule, ..drawn }
}

/// Settings of a run with slow instances and hot keys, so that keys often change owners during
/// work, and with random faults.
pub fn drawn_moves(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    FleetSettings {
        hot_from: Some(TRAFFIC_FROM),
        service_ms: SLOW_SERVICE_MS,
        ..drawn_for(seed, nodes, protections)
    }
}

/// The same with slow instances that send second answers. Half of the runs also have random
/// faults.
pub fn drawn_second_answers(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_moves(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x2a5e);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let second = Schedule::draw_second_answers(&mut rng, from, to);
    let schedule = match seed % 2 {
        0 => second,
        _ => drawn.schedule.join(second),
    };
    FleetSettings { schedule, ..drawn }
}

/// Settings of a run with instances whose successors start at their addresses while instances
/// send second answers and nodes restart. Half of the runs also have random faults.
pub fn drawn_successors(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x50cc);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let successors = Schedule::draw_successors(&mut rng, nodes, from, to);
    let successors = successors.and(from, LAST_FAULT, FaultKind::SecondAnswers);
    let schedule = match seed % 2 {
        0 => successors,
        _ => drawn.schedule.join(successors),
    };
    FleetSettings {
        schedule,
        service_ms: SLOW_SERVICE_MS,
        ..drawn
    }
}

/// Settings of a run with slow instances, hot keys and long periods in which orders are carried
/// out late. Half of the runs also have random faults.
pub fn drawn_late_orders(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_moves(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x1a7e);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    let late = Schedule::draw_late_orders(&mut rng, nodes, SHARDED_INSTANCES, from, to);
    let schedule = match seed % 2 {
        0 => late,
        _ => drawn.schedule.join(late),
    };
    FleetSettings { schedule, ..drawn }
}

/// Settings of a run whose lists of instances and nodes span several store pages, so that
/// nodes fetch them from each other.
pub fn drawn_paged(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    FleetSettings {
        page_objects: SMALL_PAGE_OBJECTS,
        ..drawn_for(seed, nodes, protections)
    }
}

/// Share of datagrams that are lost, selected by the seed.
const DATAGRAM_LOSSES: [f64; 3] = [0.02, 0.1, 0.4];

/// Derives the settings of a run from a seed, a node count and the enabled protections.
pub type Draw = fn(u64, usize, Protections) -> FleetSettings;

/// Runs the simulation for each seed, with settings derived by `draw`.
pub fn run_seeds(
    draw: Draw,
    seeds: RangeInclusive<u64>,
    nodes: usize,
    protections: Protections,
    trace: bool,
) -> (FleetReport, Vec<String>) {
    run_each_seed(seeds, |seed| FleetSettings {
        trace,
        ..draw(seed, nodes, protections)
    })
}

/// Runs the simulation for each seed. Returns the combined report and one line per violation,
/// prefixed with its seed.
fn run_each_seed(
    seeds: RangeInclusive<u64>,
    settings: impl Fn(u64) -> FleetSettings,
) -> (FleetReport, Vec<String>) {
    let mut total = FleetReport::default();
    let mut lines = Vec::new();
    for seed in seeds {
        let report = World::new(settings(seed)).run();
        for line in violation_lines(&report.violations) {
            lines.push(format!("seed {seed}: {line}"));
        }
        total.merge(report);
    }
    (total, lines)
}

/// Runs the command.
///
/// # Errors
/// Returns an error if the command line is invalid.
pub fn run(parser: &mut lexopt::Parser) -> Result<ExitCode, lexopt::Error> {
    let mut seeds = 1..=20;
    let mut nodes = NODES;
    let mut protections = Protections::default();
    let mut json = false;
    let mut trace = false;
    let mut draw: Draw = drawn_for;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seeds") => seeds = seed_range(&parser.value()?.string()?)?,
            Long("nodes") => nodes = node_count(&parser.value()?.string()?)?,
            Long("sabotage") => protections = sabotage(&parser.value()?.string()?)?,
            Long("json") => json = true,
            Long("trace") => trace = true,
            Long("versions") => draw = drawn_versions,
            Long("silent-connections") => draw = drawn_silent_connections,
            Long("crashing") => draw = drawn_crashing,
            Long("suspended") => draw = drawn_suspended,
            Long("cuts") => draw = drawn_cuts,
            Long("isolated") => draw = drawn_isolated,
            Long("foreign") => draw = drawn_foreign,
            Long("restarts") => draw = drawn_restarts,
            Long("notices") => draw = drawn_notices,
            Long("eras") => draw = drawn_eras,
            Long("limits") => draw = drawn_limits,
            Long("moves") => draw = drawn_moves,
            Long("second-answers") => draw = drawn_second_answers,
            Long("successors") => draw = drawn_successors,
            Long("late-orders") => draw = drawn_late_orders,
            Long("paged") => draw = drawn_paged,
            other => return Err(other.unexpected()),
        }
    }
    if trace {
        trace_log::start();
    }
    let (report, lines) = run_seeds(draw, seeds, nodes, protections, trace);
    if !json {
        for line in lines.iter().take(MAX_PRINTED_VIOLATIONS) {
            println!("{line}");
        }
    }
    println!("{}", report.json());
    Ok(if report.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn node_count(text: &str) -> Result<usize, lexopt::Error> {
    match text.parse() {
        Ok(count) if (1..=MAX_NODES).contains(&count) => Ok(count),
        _ => Err(format!("--nodes: `{text}` is not a number from 1 to {MAX_NODES}").into()),
    }
}

fn seed_range(text: &str) -> Result<RangeInclusive<u64>, lexopt::Error> {
    let invalid = || lexopt::Error::from(format!("`{text}` is not a seed range such as 1..200"));
    let (first, last) = text.split_once("..").ok_or_else(invalid)?;
    let first = first.parse().map_err(|_| invalid())?;
    let last = last.parse().map_err(|_| invalid())?;
    Ok(first..=last)
}

fn sabotage(name: &str) -> Result<Protections, lexopt::Error> {
    let found = Protection::SABOTAGES
        .iter()
        .find(|(sabotage, _)| *sabotage == name);
    match found {
        Some((_, protection)) => Ok(Protections::without(*protection)),
        None => {
            let names: Vec<&str> = Protection::SABOTAGES
                .iter()
                .map(|(sabotage, _)| *sabotage)
                .collect();
            Err(format!("unknown sabotage `{name}`; available: {}", names.join(", ")).into())
        }
    }
}
