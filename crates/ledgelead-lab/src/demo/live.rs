//! Live summary of a running demonstration.

use super::deployment::Deployment;
use super::latency::Latencies;
use super::options::Options;
use super::records::CallerLog;
use super::report::Counts;

/// Prints a line, unless JSON output is requested.
pub fn print(options: &Options, line: impl FnOnce() -> String) {
    if !options.json {
        println!("{}", line());
    }
}

/// Summarizes the owners and the requests so far.
pub fn summary(deployment: &Deployment, log: &CallerLog) -> String {
    let records = log.snapshot();
    let counts = Counts::of(&records);
    let latencies = Latencies::of(&records);
    format!(
        "[{:6.1} s] {} requests: {} answered, {} not run, {} unknown; p50 {:.2} ms, p99 {:.2} ms; owned: {}",
        deployment.clock.now().as_seconds(),
        records.len(),
        counts.answered,
        counts.not_run(),
        counts.unknown(),
        latencies.quantile_ms(0.5),
        latencies.quantile_ms(0.99),
        owners(deployment)
    )
}

fn owners(deployment: &Deployment) -> String {
    let owner = |server: &super::server_endpoint::ServerEndpoint| {
        let slices = server.claimable();
        let share = slices
            .iter()
            .map(|slice| slice.range.share())
            .sum::<f64>()
            .abs();
        let id = server.settings().server.0;
        format!("{id}:{} ({:.0} %)", slices.len(), share * 100.0)
    };
    let keyed = |server: &&super::server_endpoint::ServerEndpoint| server.settings().keyed;
    let owners = deployment.servers.iter().filter(keyed).map(owner);
    owners.collect::<Vec<_>>().join(" ")
}
