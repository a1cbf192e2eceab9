//! `ledgelead-lab fleet`.

use super::crashing::CrashingRequest;
use super::faults::Schedule;
use super::report::FleetReport;
use super::store::PAGE_OBJECTS;
use super::transport::Transport;
use super::world::{FleetSettings, SHARDED_INSTANCES, TRAFFIC_FROM, World, violation_lines};
use ledgelead_router::protections::{Protection, Protections};
use ledgelead_runtime::clock::ProcessClock;
use lexopt::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::ops::RangeInclusive;
use std::process::ExitCode;
use std::time::Duration;

/// Nodes of a run, unless the command line says otherwise.
pub const NODES: usize = 6;
/// Most nodes of a run; each has an address of its own.
const MAX_NODES: usize = 250;
/// How long clients ask.
const TRAFFIC_DURATION: Duration = Duration::from_secs(40);
/// When the last fault may begin, counted from the first request.
const LAST_FAULT: Duration = Duration::from_secs(25);
/// Objects of a page where lists are to take several.
const SMALL_PAGE_OBJECTS: usize = 4;
/// Violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// A run with faults drawn from a seed.
pub fn drawn(seed: u64, protections: Protections) -> FleetSettings {
    drawn_for(seed, NODES, protections)
}

/// A run of this many nodes with faults drawn from a seed.
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
        crashing: Vec::new(),
        reports_start_times: false,
        reports_leaving_in_responses: false,
        datagram_loss: DATAGRAM_LOSSES[(seed % 3) as usize],
        protections,
    }
}

/// A run with drawn faults, and versions drawn among refusals by the store.
pub fn drawn_versions(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7e25);
    let versions =
        Schedule::draw_versions(&mut rng, nodes, TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    // Half of the runs have no other faults, so that nodes are in touch for longer.
    let schedule = match seed % 2 {
        0 => versions,
        _ => drawn.schedule.join(versions),
    };
    FleetSettings { schedule, ..drawn }
}

/// A run with drawn faults, and requests that crash instances.
pub fn drawn_crashing(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    let drawn = drawn_for(seed, nodes, protections);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xc4a5);
    let (from, to) = (TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT / 2);
    let crashing = CrashingRequest::draw(&mut rng, from, to);
    let crashes = Schedule::draw_crashes(&mut rng, TRAFFIC_FROM, TRAFFIC_FROM + LAST_FAULT);
    // Half of the runs have no other faults, so that nodes are in touch for longer.
    let schedule = match seed % 2 {
        0 => crashes,
        _ => drawn.schedule.join(crashes),
    };
    FleetSettings {
        schedule,
        crashing,
        ..drawn
    }
}

/// A run with cuts between nodes and instances that hold orders up, and drawn faults
/// besides in half of the runs.
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

/// A run with foreign entries in the store, and drawn faults besides in half of the runs.
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

/// A run with instances that start again under their ids, orders that are carried out
/// late, and other drawn faults, cuts, or requests that crash instances besides.
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
    // Faults of the other runs would hide when nodes learn of crashes.
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

/// A run with instances that say in their answers that they leave or want a pause; in half
/// of the runs with drawn faults besides, or with instances that start again under their ids.
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

/// A run with instances that name rate limits; in half of the runs with drawn faults besides,
/// or with instances that start again under their ids.
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

/// A run with a store that comes back from copies, and drawn faults besides in half of the
/// runs, or cuts.
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
        // Moves go on during a run, so that a copy knows other owners.
        hot_from: Some(from),
        ..drawn
    }
}

/// A run with suspended machines, and drawn faults besides in half of the runs.
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

/// A run whose lists of instances and nodes take several pages of the store, so that nodes
/// get them from each other.
pub fn drawn_paged(seed: u64, nodes: usize, protections: Protections) -> FleetSettings {
    FleetSettings {
        page_objects: SMALL_PAGE_OBJECTS,
        ..drawn_for(seed, nodes, protections)
    }
}

/// Share of the datagrams that are lost, by seed.
const DATAGRAM_LOSSES: [f64; 3] = [0.02, 0.1, 0.4];

/// Draws a run from a seed, for so many nodes.
pub type Draw = fn(u64, usize, Protections) -> FleetSettings;

/// Plays runs that are drawn from their seeds.
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

/// Plays the run of each seed and adds up what they show; with the first seed of each
/// violation.
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
/// When the command line is wrong.
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
            Long("crashing") => draw = drawn_crashing,
            Long("suspended") => draw = drawn_suspended,
            Long("cuts") => draw = drawn_cuts,
            Long("foreign") => draw = drawn_foreign,
            Long("restarts") => draw = drawn_restarts,
            Long("notices") => draw = drawn_notices,
            Long("eras") => draw = drawn_eras,
            Long("limits") => draw = drawn_limits,
            Long("paged") => draw = drawn_paged,
            other => return Err(other.unexpected()),
        }
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
        _ => Err(format!("--nodes: `{text}` is no number from 1 to {MAX_NODES}").into()),
    }
}

fn seed_range(text: &str) -> Result<RangeInclusive<u64>, lexopt::Error> {
    let wrong = || lexopt::Error::from(format!("`{text}` is no range of seeds like 1..200"));
    let (first, last) = text.split_once("..").ok_or_else(wrong)?;
    let first = first.parse().map_err(|_| wrong())?;
    let last = last.parse().map_err(|_| wrong())?;
    Ok(first..=last)
}

fn sabotage(name: &str) -> Result<Protections, lexopt::Error> {
    let found = Protection::SABOTAGES
        .iter()
        .find(|(known, _)| *known == name);
    match found {
        Some((_, protection)) => Ok(Protections::without(*protection)),
        None => {
            let names: Vec<&str> = Protection::SABOTAGES
                .iter()
                .map(|(known, _)| *known)
                .collect();
            Err(format!("no sabotage `{name}`; there are: {}", names.join(", ")).into())
        }
    }
}
