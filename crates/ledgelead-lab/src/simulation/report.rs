//! The report of one or more runs, which is printed as JSON.

use super::measurements::Measurements;
use crate::checker::{Violation, Violations};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use ledgelead_types::configuration::Partitioning;
use serde::Serialize;
use std::collections::BTreeMap;

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Results of one or more seeds. Field names are stable.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Range of seeds.
    pub seeds: String,
    /// Total virtual time, in seconds.
    pub virtual_seconds: u64,
    /// Requests that callers sent.
    pub requests: u64,
    /// Of these, answered.
    pub answered: u64,
    /// Of these, not run.
    pub not_run: u64,
    /// Of these, with an unknown outcome.
    pub unknown: u64,
    /// Violations by name.
    pub violations: BTreeMap<&'static str, u64>,
    /// Load of the busiest server divided by the mean.
    pub imbalance: Option<f64>,
    /// Balance of each keyed service.
    pub services: BTreeMap<String, ServiceBalance>,
    /// Share of the position space that changed owner while its owner was alive.
    pub churn_percent_per_hour: f64,
    /// Number of slice losses measured.
    pub unavailable_count: u64,
    /// Median unavailable time.
    pub unavailable_ms_p50: f64,
    /// 99th percentile of the unavailable time.
    pub unavailable_ms_p99: f64,
    /// Longest unavailable time.
    pub unavailable_ms_max: f64,
    /// Unavailable time by kind of loss, for losses without another loss in the 5 s before or
    /// until the slice was served again.
    pub unavailable_single_ms: BTreeMap<String, UnavailableTimes>,
    /// Latency of answered requests by tier.
    pub latency_ms: BTreeMap<String, Percentiles>,
    /// Highest control traffic of a node in bytes per second, sent and received.
    pub control_bytes_per_second_per_node_max: f64,
    /// Control traffic by purpose in bytes per second, over all nodes.
    pub control_bytes_per_second_by_kind: BTreeMap<&'static str, f64>,
    /// Longest time until a node applied a stored configuration.
    pub configuration_lag_ms_max: f64,
    /// Longest time until a node applied a stored configuration, counted from the end of the
    /// platform's last disturbance if that is later.
    pub configuration_undisturbed_lag_ms_max: f64,
    /// Faults that began, by kind.
    pub faults: BTreeMap<String, u64>,
    /// Commands by result.
    pub commands: BTreeMap<&'static str, u64>,
    /// Events that the nodes recorded, by name.
    pub events: BTreeMap<&'static str, u64>,
    /// Descriptions of the first violations, with their seeds.
    pub first_violations: Vec<String>,
}

fn milliseconds(micros: u64) -> f64 {
    const MICROS: f64 = 1_000.0;
    micros as f64 / MICROS
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    Percentiles {
        p50: milliseconds(histogram.value_at_quantile(0.50)),
        p99: milliseconds(histogram.value_at_quantile(0.99)),
    }
}

/// Balance of a keyed service.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ServiceBalance {
    /// Mean over time of the busiest server's expected load, by the popularity of its keys,
    /// divided by the mean, or by the load of the hottest key if that exceeds the mean.
    pub imbalance: Option<f64>,
    /// Percent per hour of the position space that changed owner while its owner was alive.
    pub churn_percent_per_hour: f64,
}

fn service_balances(
    scenario: &Scenario,
    measurements: &Measurements,
) -> BTreeMap<String, ServiceBalance> {
    let services = scenario.services.iter().zip(&measurements.balance);
    let keyed = services.filter(|(service, _)| service.partitioning != Partitioning::None);
    keyed
        .map(|(service, balance)| {
            let balance = ServiceBalance {
                imbalance: balance.mean_imbalance(),
                churn_percent_per_hour: balance.churn_percent_per_hour(),
            };
            (service.name.clone(), balance)
        })
        .collect()
}

/// Results of the same scenario and seeds with several assigners. Field names are stable.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// The planner's report.
    #[serde(flatten)]
    pub planner: Report,
    /// Reports of the baselines, by name.
    pub baselines: BTreeMap<&'static str, Report>,
}

/// Unavailable times, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct UnavailableTimes {
    /// Number of lost slices.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest.
    pub max: f64,
}

fn unavailable_times(histogram: &Histogram<u64>) -> UnavailableTimes {
    let Percentiles { p50, p99 } = percentiles(histogram);
    UnavailableTimes {
        count: histogram.len(),
        p50,
        p99,
        max: milliseconds(histogram.max()),
    }
}

impl Report {
    /// Creates the report from measurements over `runs` runs.
    pub fn new(
        scenario: &Scenario,
        seeds: &str,
        runs: u64,
        measurements: &Measurements,
        violations: BTreeMap<&'static str, u64>,
        first_violations: Vec<String>,
    ) -> Report {
        let rates = measurements.control_bytes_per_second();
        let unavailable = percentiles(&measurements.unavailable);
        Report {
            scenario: scenario.run.name.clone(),
            seeds: seeds.to_owned(),
            virtual_seconds: scenario.run.virtual_seconds * runs,
            requests: measurements.requests,
            answered: measurements.answered,
            not_run: measurements.not_run,
            unknown: measurements.unknown,
            violations,
            imbalance: measurements.imbalance(),
            services: service_balances(scenario, measurements),
            churn_percent_per_hour: measurements.churn_percent_per_hour(),
            unavailable_count: measurements.unavailable.len(),
            unavailable_ms_p50: unavailable.p50,
            unavailable_ms_p99: unavailable.p99,
            unavailable_ms_max: milliseconds(measurements.unavailable.max()),
            unavailable_single_ms: measurements
                .unavailable_single
                .iter()
                .map(|(kind, unavailable)| (format!("{kind:?}"), unavailable_times(unavailable)))
                .collect(),
            latency_ms: measurements
                .latency
                .iter()
                .map(|(tier, latency)| {
                    let name = scenario.tiers[usize::from(tier.0)].name.clone();
                    (name, percentiles(latency))
                })
                .collect(),
            control_bytes_per_second_per_node_max: rates.values().copied().fold(0.0, f64::max),
            control_bytes_per_second_by_kind: measurements
                .control_bytes_per_second_by_kind()
                .into_iter()
                .map(|(kind, rate)| (kind.name(), rate))
                .collect(),
            configuration_undisturbed_lag_ms_max: measurements
                .longest_undisturbed_configuration_lag
                .as_millis(),
            configuration_lag_ms_max: measurements.longest_configuration_lag.as_millis(),
            faults: measurements
                .faults
                .iter()
                .map(|(kind, count)| (format!("{kind:?}"), *count))
                .collect(),
            commands: measurements.commands.clone(),
            events: measurements.events.clone(),
            first_violations,
        }
    }

    /// Total number of violations.
    pub fn violations_total(&self) -> u64 {
        self.violations.values().sum()
    }
}

/// Number of violations by name.
pub fn violation_counts(violations: &Violations) -> BTreeMap<&'static str, u64> {
    Violation::ALL
        .into_iter()
        .map(|violation| (violation.name(), violations.count(violation)))
        .collect()
}
