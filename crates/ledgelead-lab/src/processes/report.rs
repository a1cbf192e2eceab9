//! The report of the callers' process.

use crate::demo::latency::Latencies;
use crate::demo::records::CallerRecord;
use crate::demo::report::Counts;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Outcomes of a load.
#[derive(Debug, Serialize)]
pub(super) struct LoadReport {
    requests: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    /// Answers that were incomplete or belonged to another request.
    mismatches: usize,
    latency_ms_p50: f64,
    latency_ms_p99: f64,
    reasons: BTreeMap<String, usize>,
}

impl LoadReport {
    /// Creates the report of `planned` requests.
    pub(super) fn of(planned: usize, records: &[CallerRecord]) -> LoadReport {
        let latencies = Latencies::of(records);
        let counts = Counts::of(records);
        LoadReport {
            requests: planned,
            answered: counts.answered,
            not_run: counts.not_run(),
            unknown: counts.unknown(),
            mismatches: records.iter().filter(|record| record.is_mismatch()).count(),
            latency_ms_p50: latencies.quantile_ms(0.5),
            latency_ms_p99: latencies.quantile_ms(0.99),
            reasons: reasons(&counts),
        }
    }

    /// Whether every request has an outcome and every answer belongs to its request.
    pub(super) fn is_sound(&self) -> bool {
        let ended = self.answered + self.not_run + self.unknown;
        self.answered > 0 && self.mismatches == 0 && ended == self.requests
    }
}

/// Reasons of all outcomes without an answer, by outcome.
fn reasons(counts: &Counts) -> BTreeMap<String, usize> {
    let not_run = counts.not_run_reasons.iter();
    let not_run = not_run.map(|(reason, count)| (format!("not-run: {reason}"), *count));
    let unknown = counts.unknown_reasons.iter();
    let unknown = unknown.map(|(reason, count)| (format!("unknown: {reason}"), *count));
    not_run.chain(unknown).collect()
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} requests: {} answered, {} not run, {} unknown, {} mismatched",
            self.requests, self.answered, self.not_run, self.unknown, self.mismatches
        )?;
        write!(
            formatter,
            "latency p50 {:.1} ms, p99 {:.1} ms",
            self.latency_ms_p50, self.latency_ms_p99
        )
    }
}
