//! The `ledgelead-lab simulate` command.

use super::measurements::Measurements;
use super::page;
use super::report::{Comparison, Report, violation_counts};
use super::world::{World, run_seed};
use crate::checker::{Checker, Violation};
use crate::scenario::{Finding, Scenario, parse};
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::protections::{Protection, Protections};
use lexopt::prelude::*;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Why a simulation could not run.
#[derive(Debug)]
pub enum SimulateError {
    /// The command line is invalid.
    Arguments(lexopt::Error),
    /// The scenario file can't be read.
    File(PathBuf, std::io::Error),
    /// The scenario file has errors.
    Scenario(PathBuf, Vec<Finding>),
}

impl fmt::Display for SimulateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SimulateError::Arguments(error) => write!(formatter, "{error}"),
            SimulateError::File(path, error) => write!(formatter, "{}: {error}", path.display()),
            SimulateError::Scenario(path, findings) => {
                write!(formatter, "{} has errors:", path.display())?;
                for finding in findings {
                    write!(formatter, "\n  {finding}")?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SimulateError {}

impl From<lexopt::Error> for SimulateError {
    fn from(error: lexopt::Error) -> Self {
        SimulateError::Arguments(error)
    }
}

/// Arguments of `simulate`.
struct Arguments {
    scenario: PathBuf,
    seeds: RangeInclusive<u64>,
    sabotage: Option<Protection>,
    json: bool,
    /// Directory in which to write the HTML page with plots.
    report: Option<PathBuf>,
    /// Whether to run the baselines too.
    baselines: bool,
    session: bool,
    threads: usize,
}

/// Results of all seeds with one assigner.
pub struct AssignerRuns {
    /// The assigner.
    pub assigner: AssignerChoice,
    /// Merged measurements.
    pub measurements: Measurements,
    /// Report of the measurements.
    pub report: Report,
}

/// Default maximum number of threads.
const DEFAULT_THREADS: usize = 4;

/// Runs `simulate` with its command line arguments.
///
/// # Errors
/// Returns an error if the command line is invalid or the scenario can't be read.
pub fn simulate(parser: &mut lexopt::Parser) -> Result<ExitCode, SimulateError> {
    let arguments = read_arguments(parser)?;
    let scenario = read_scenario(&arguments.scenario)?;
    if arguments.session {
        print_session(&scenario, &arguments);
        return Ok(ExitCode::SUCCESS);
    }
    let runs: Vec<AssignerRuns> = assigners(&arguments)
        .iter()
        .map(|choice| run_seeds(&scenario, &arguments, *choice))
        .collect();
    for run in &runs {
        let name = run.assigner.name();
        for violation in &run.report.first_violations {
            eprintln!("{name}: {violation}");
        }
    }
    print_report(&runs, arguments.json);
    if let Some(directory) = &arguments.report {
        let file = page::write(directory, &scenario, &command_line(&arguments), &runs)
            .map_err(|error| SimulateError::File(directory.clone(), error))?;
        eprintln!("wrote {}", file.display());
    }
    let violations: u64 = runs.iter().map(|run| run.report.violations_total()).sum();
    let failed = arguments.sabotage.is_none() && violations > 0;
    Ok(if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

fn read_arguments(parser: &mut lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let mut scenario = None;
    let mut arguments = Arguments {
        scenario: PathBuf::new(),
        seeds: 1..=1,
        sabotage: None,
        json: false,
        report: None,
        baselines: false,
        session: false,
        threads: DEFAULT_THREADS,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Value(path) if scenario.is_none() => scenario = Some(PathBuf::from(path)),
            Long("seeds") => arguments.seeds = read_seeds(&parser.value()?.string()?)?,
            Long("sabotage") => {
                arguments.sabotage = Some(read_sabotage(&parser.value()?.string()?)?);
            }
            Long("threads") => arguments.threads = parser.value()?.parse::<usize>()?.max(1),
            Long("report") => arguments.report = Some(PathBuf::from(parser.value()?)),
            Long("baselines") => arguments.baselines = true,
            Long("session") => arguments.session = true,
            Long("json") => arguments.json = true,
            _ => return Err(argument.unexpected()),
        }
    }
    arguments.scenario = scenario.ok_or("the scenario file is missing")?;
    Ok(arguments)
}

/// Parses an inclusive range `A..B` or a single seed.
fn read_seeds(text: &str) -> Result<RangeInclusive<u64>, lexopt::Error> {
    let number = |part: &str| {
        part.parse::<u64>()
            .map_err(|_| format!("{text:?} is not of the form A..B"))
    };
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let seeds = number(first)?..=number(last)?;
    if seeds.is_empty() {
        return Err(format!("{text:?} contains no seeds").into());
    }
    Ok(seeds)
}

fn read_sabotage(name: &str) -> Result<Protection, lexopt::Error> {
    let known = Protection::SABOTAGES
        .into_iter()
        .find(|(known, _)| *known == name);
    match known {
        Some((_, protection)) => Ok(protection),
        None => {
            let names = Protection::SABOTAGES.map(|(known, _)| known).join(", ");
            Err(format!("unknown sabotage {name:?}; available: {names}").into())
        }
    }
}

/// Reads a scenario file.
///
/// # Errors
/// Returns an error if the file can't be read or has errors.
pub fn read_scenario(path: &PathBuf) -> Result<Scenario, SimulateError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| SimulateError::File(path.clone(), error))?;
    parse(&text).map_err(|findings| SimulateError::Scenario(path.clone(), findings))
}

/// Runs all seeds on several threads and merges the results in the order of the seeds.
fn run_seeds(scenario: &Scenario, arguments: &Arguments, assigner: AssignerChoice) -> AssignerRuns {
    let protections = protections(arguments);
    let next = AtomicU64::new(*arguments.seeds.start());
    let progress = Progress::new(&arguments.seeds, assigner);
    let results = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if !arguments.seeds.contains(&seed) {
                        return;
                    }
                    let result = run_seed(scenario, seed, protections, assigner);
                    let mut results = results
                        .lock()
                        .expect("no run panics while holding the lock");
                    results.insert(seed, result);
                    progress.show(results.len());
                }
            });
        }
    });
    let results = results.into_inner().expect("every run has ended");
    let (measurements, report) = merge(scenario, arguments, &results);
    AssignerRuns {
        assigner,
        measurements,
        report,
    }
}

/// The planner, and also the baselines if requested.
fn assigners(arguments: &Arguments) -> &'static [AssignerChoice] {
    if arguments.baselines || arguments.report.is_some() {
        &AssignerChoice::ALL
    } else {
        &[AssignerChoice::Planner]
    }
}

/// The command that reproduces the page.
fn command_line(arguments: &Arguments) -> String {
    let sabotage = arguments.sabotage.and_then(|protection| {
        let mut sabotages = Protection::SABOTAGES.into_iter();
        sabotages.find(|(_, known)| *known == protection)
    });
    let sabotage = sabotage.map_or_else(String::new, |(name, _)| format!(" --sabotage {name}"));
    format!(
        "cargo lab simulate {} --seeds {}..{}{sabotage} --report DIR",
        arguments.scenario.display(),
        arguments.seeds.start(),
        arguments.seeds.end()
    )
}

/// Runs the first seed and prints its session log.
fn print_session(scenario: &Scenario, arguments: &Arguments) {
    let protections = protections(arguments);
    let mut world = World::new(
        scenario,
        *arguments.seeds.start(),
        protections,
        AssignerChoice::Planner,
    );
    world.record_session();
    world.run();
    for line in world.session() {
        println!("{line}");
    }
}

fn protections(arguments: &Arguments) -> Protections {
    arguments
        .sabotage
        .map_or(Protections::default(), Protections::without)
}

fn merge(
    scenario: &Scenario,
    arguments: &Arguments,
    results: &BTreeMap<u64, (Measurements, Checker)>,
) -> (Measurements, Report) {
    const MAX_DESCRIPTIONS: usize = 20;
    let mut measurements = Measurements::new(scenario);
    let mut counts = Violation::ALL
        .into_iter()
        .map(|violation| (violation.name(), 0))
        .collect::<BTreeMap<_, _>>();
    let mut descriptions = Vec::new();
    for (seed, (run, checker)) in results {
        measurements.merge(run);
        for (name, count) in violation_counts(&checker.violations) {
            *counts.entry(name).or_insert(0) += count;
        }
        let run_descriptions = checker.violations.descriptions().iter();
        descriptions.extend(run_descriptions.map(|text| format!("seed {seed}: {text}")));
    }
    descriptions.truncate(MAX_DESCRIPTIONS);
    let seeds = format!("{}..{}", arguments.seeds.start(), arguments.seeds.end());
    let runs = results.len() as u64;
    let report = Report::new(scenario, &seeds, runs, &measurements, counts, descriptions);
    (measurements, report)
}

/// Reports the progress of long runs.
struct Progress {
    assigner: AssignerChoice,
    seeds: u64,
    started: Instant,
    shown: Mutex<Instant>,
}

impl Progress {
    const INTERVAL: Duration = Duration::from_secs(5);

    fn new(seeds: &RangeInclusive<u64>, assigner: AssignerChoice) -> Progress {
        Progress {
            assigner,
            seeds: seeds.end() - seeds.start() + 1,
            started: Instant::now(),
            shown: Mutex::new(Instant::now()),
        }
    }

    fn show(&self, done: usize) {
        let mut shown = self.shown.lock().expect("reporting progress never panics");
        if shown.elapsed() < Progress::INTERVAL {
            return;
        }
        *shown = Instant::now();
        let seconds = self.started.elapsed().as_secs();
        let assigner = self.assigner.name();
        eprintln!(
            "{assigner}: {done} of {} seeds after {seconds} s",
            self.seeds
        );
    }
}

fn print_report(runs: &[AssignerRuns], json: bool) {
    let Some((planner, baselines)) = runs.split_first() else {
        return;
    };
    let baselines = baselines.iter();
    let comparison = Comparison {
        planner: planner.report.clone(),
        baselines: baselines
            .map(|run| (run.assigner.name(), run.report.clone()))
            .collect(),
    };
    let text = if json {
        serde_json::to_string(&comparison)
    } else {
        serde_json::to_string_pretty(&comparison)
    };
    println!("{}", text.expect("a report is serializable"));
}
