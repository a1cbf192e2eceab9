//! A process whose callers send load to nodes in other processes.

use super::ProcessError;
use super::options::LoadOptions;
use super::report::LoadReport;
use crate::demo::caller::{Client, Targets};
use crate::demo::clock::WallClock;
use crate::demo::configuration;
use crate::demo::deployment::send_probe;
use crate::demo::load::{Load, LoadSettings};
use crate::demo::records::{CallerOutcome, RequestNumber};
use crate::demo::workload::LoadShape;
use ledgelead_types::Span;
use std::net::SocketAddr;
use std::time::Duration;

/// Requests per second, about a third of the back ends' capacity.
const REQUESTS_PER_SECOND: f64 = 900.0;
/// Seed of the load.
const SEED: u64 = 11;
/// Number of keys.
const KEYS: usize = 2_000;
/// Number of threads that send.
const THREADS: usize = 64;
/// Time limit until the nodes answer.
const READY_LIMIT: Span = Span::from_seconds(30);
/// Interval between probes.
const READY_PAUSE: Duration = Duration::from_millis(100);
/// First request number of probes, beyond all requests of the load.
const FIRST_PROBE: u64 = 1 << 41;

/// Sends the load and prints a report. Returns whether the results are sound.
pub(super) fn run(options: &LoadOptions) -> Result<bool, ProcessError> {
    let clock = WallClock::start();
    wait_until_ready(clock, &options.nodes)?;
    let settings = settings(options);
    let planned = settings.requests.len();
    let records = Load::start(clock, settings)?.finish();
    let report = LoadReport::of(planned, &records);
    if options.json {
        let line = serde_json::to_string(&report).map_err(std::io::Error::other)?;
        println!("{line}");
    } else {
        println!("{report}");
    }
    Ok(report.is_sound())
}

fn settings(options: &LoadOptions) -> LoadSettings {
    let shape = LoadShape {
        requests_per_second: REQUESTS_PER_SECOND,
        duration: options.duration,
        unkeyed_share: 0.25,
        once_only_share: 0.2,
        keys: KEYS,
        callers: configuration::credentials().len(),
        first_request: RequestNumber(1),
        seed: SEED,
    };
    LoadSettings::open_loop(&shape, Targets::Nodes(options.nodes.clone()), THREADS)
}

/// Waits until every node answers for both services.
fn wait_until_ready(clock: WallClock, nodes: &[SocketAddr]) -> Result<(), ProcessError> {
    let client = Client::new(&Targets::Nodes(nodes.to_vec()));
    let started = clock.now();
    let mut probes = FIRST_PROBE;
    for node in nodes {
        for key in [Some("probe"), None] {
            loop {
                probes += 1;
                let outcome = send_probe(&client, *node, key, probes);
                if matches!(outcome, CallerOutcome::Answered { matches: true, .. }) {
                    break;
                }
                if clock.now().since(started) > READY_LIMIT {
                    let missing = format!("{node} answered a probe with {outcome:?}");
                    return Err(ProcessError::NotReady(missing));
                }
                std::thread::sleep(READY_PAUSE);
            }
        }
    }
    Ok(())
}
