//! The report of a demonstration, as a JSON object or a table.

use super::checker::Violations;
use super::latency::Latencies;
use super::records::{CallerOutcome, CallerRecord};
use ledgelead_types::{Span, Time};
use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// Results of a demonstration; times are in milliseconds.
#[derive(Clone, Debug, serde::Serialize)]
pub struct DemoReport {
    /// Requests sent through the nodes.
    pub requests: usize,
    /// Requests that were answered.
    pub answered: usize,
    /// Requests whose callers know that they did not run.
    pub not_run: usize,
    /// Requests whose callers can't know whether they ran.
    pub unknown: usize,
    /// Total number of violations.
    pub violations: usize,
    /// Median latency of the answered requests over the whole run.
    pub latency_ms_p50: f64,
    /// 99th percentile of the latency over the whole run.
    pub latency_ms_p99: f64,
    /// Median latency of the same load sent directly to the back ends.
    pub direct_latency_ms_p50: f64,
    /// 99th percentile of the direct latency.
    pub direct_latency_ms_p99: f64,
    /// Answered requests of the direct load.
    pub direct_answered: usize,
    /// Median latency before the first fault.
    pub undisturbed_latency_ms_p50: f64,
    /// 99th percentile of the latency before the first fault.
    pub undisturbed_latency_ms_p99: f64,
    /// Median time until a request was answered again, over the slices of the killed server
    /// that received requests.
    pub unavailable_ms_p50: f64,
    /// Maximum of that time.
    pub unavailable_ms_max: f64,
    /// Slices of the killed server that received requests.
    pub slices_measured: usize,
    /// Of these, slices without any later answer.
    pub slices_not_recovered: usize,
    /// Time from a server's request to leave until it had handed everything over; `None` if it
    /// did not within the run.
    pub planned_stop_ms: Option<f64>,
    /// Time from the call to stop a node until its end.
    pub node_stop_ms: Option<f64>,
    /// Bytes per second for messages between nodes and lease renewals, sent and received, of
    /// the node with the highest traffic, while no requests go through the nodes.
    pub idle_control_bytes_per_second_per_node_max: f64,
    /// The same under load before the first fault, including the messages for each request.
    pub control_bytes_per_second_per_node_max: f64,
    /// Violations by name.
    pub violations_by_name: Violations,
    /// Requests that did not run, by reason.
    pub not_run_reasons: BTreeMap<String, usize>,
    /// Requests with an unknown outcome, by reason.
    pub unknown_reasons: BTreeMap<String, usize>,
    /// The parts of the run between faults.
    pub phases: Vec<PhaseReport>,
}

/// A part of the run. Requests are assigned to parts by when they were due.
#[derive(Clone, Debug, serde::Serialize)]
pub struct PhaseReport {
    /// The event at its start.
    pub name: String,
    /// Requests that were due in it.
    pub requests: usize,
    /// Of these, answered.
    pub answered: usize,
    /// Of these, not run.
    pub not_run: usize,
    /// Of these, unknown.
    pub unknown: usize,
    /// Median latency of the answered requests, in milliseconds.
    pub latency_ms_p50: f64,
    /// 99th percentile of their latency, in milliseconds.
    pub latency_ms_p99: f64,
    /// Maximum latency, in milliseconds.
    pub latency_ms_max: f64,
}

impl PhaseReport {
    /// Summarizes the requests that were due from `from` (inclusive) to `to` (exclusive).
    pub fn of(name: &str, records: &[CallerRecord], from: Time, to: Time) -> PhaseReport {
        let due = records
            .iter()
            .filter(|record| from <= record.due && record.due < to)
            .collect::<Vec<_>>();
        let counts = Counts::of(due.iter().copied());
        let latencies = Latencies::of(due.iter().copied());
        PhaseReport {
            name: name.to_owned(),
            requests: due.len(),
            answered: counts.answered,
            not_run: counts.not_run(),
            unknown: counts.unknown(),
            latency_ms_p50: latencies.quantile_ms(0.5),
            latency_ms_p99: latencies.quantile_ms(0.99),
            latency_ms_max: latencies.quantile_ms(1.0),
        }
    }
}

/// Number of requests by outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answered requests.
    pub answered: usize,
    /// Requests that did not run, by reason.
    pub not_run_reasons: BTreeMap<String, usize>,
    /// Requests with an unknown outcome, by reason.
    pub unknown_reasons: BTreeMap<String, usize>,
}

impl Counts {
    /// Counts the outcomes of these records.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a CallerRecord>) -> Counts {
        let mut counts = Counts::default();
        for record in records {
            counts.count(&record.outcome);
        }
        counts
    }

    fn count(&mut self, outcome: &CallerOutcome) {
        match outcome {
            CallerOutcome::Answered { .. } => self.answered += 1,
            CallerOutcome::NotRun(reason) => {
                *self.not_run_reasons.entry(reason.clone()).or_insert(0) += 1;
            }
            CallerOutcome::Unknown(reason) => {
                *self.unknown_reasons.entry(reason.clone()).or_insert(0) += 1;
            }
        }
    }

    /// Number of requests that did not run.
    pub fn not_run(&self) -> usize {
        self.not_run_reasons.values().sum()
    }

    /// Number of requests with an unknown outcome.
    pub fn unknown(&self) -> usize {
        self.unknown_reasons.values().sum()
    }
}

/// Unavailability of slices after the loss of their owner.
#[derive(Clone, Debug, Default)]
pub struct Unavailability {
    /// For each slice that received requests: time until one was answered, or until the end of
    /// the run.
    pub spans: Vec<Span>,
    /// Number of slices without any later answer.
    pub not_recovered: usize,
}

impl Unavailability {
    /// The quantile `share` (0 to 1) in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let mut latencies = Latencies::default();
        for span in &self.spans {
            latencies.record(*span);
        }
        latencies.quantile_ms(share)
    }
}

impl DemoReport {
    /// Whether every request has exactly one outcome and there is no violation.
    pub fn is_sound(&self) -> bool {
        let accounted = self.answered + self.not_run + self.unknown == self.requests;
        accounted && self.violations == 0
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:<28}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}",
            "phase", "requests", "answered", "not run", "unknown", "p50 ms", "p99 ms", "max ms"
        )?;
        for phase in &self.phases {
            write!(
                formatter,
                "\n{:<28}{:>9}{:>9}{:>9}{:>9}{:>9.2}{:>9.2}{:>9.2}",
                phase.name,
                phase.requests,
                phase.answered,
                phase.not_run,
                phase.unknown,
                phase.latency_ms_p50,
                phase.latency_ms_p99,
                phase.latency_ms_max
            )?;
        }
        formatter.write_char('\n')?;
        self.write_costs(formatter)
    }
}

impl DemoReport {
    fn write_costs(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "direct load on the back ends: {} answered, p50 {:.2} ms, p99 {:.2} ms",
            self.direct_answered, self.direct_latency_ms_p50, self.direct_latency_ms_p99
        )?;
        writeln!(
            formatter,
            "killed server: {} slices with requests, unavailable {:.0} ms (median), {:.0} ms (longest), {} not recovered",
            self.slices_measured,
            self.unavailable_ms_p50,
            self.unavailable_ms_max,
            self.slices_not_recovered
        )?;
        writeln!(
            formatter,
            "planned stop of a server: handed over in {}; of a node: {}",
            milliseconds(self.planned_stop_ms),
            milliseconds(self.node_stop_ms)
        )?;
        writeln!(
            formatter,
            "control bytes a second, of the node with the most: {:.0} idle, {:.0} under load",
            self.idle_control_bytes_per_second_per_node_max,
            self.control_bytes_per_second_per_node_max
        )?;
        writeln!(formatter, "not run: {:?}", self.not_run_reasons)?;
        writeln!(formatter, "unknown: {:?}", self.unknown_reasons)?;
        write!(
            formatter,
            "violations: {} ({:?})",
            self.violations, self.violations_by_name
        )
    }
}

fn milliseconds(value: Option<f64>) -> String {
    value.map_or_else(
        || "not within the run".to_owned(),
        |value| format!("{value:.0} ms"),
    )
}
