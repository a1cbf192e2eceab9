//! Results of runs.

use super::checker::Violation;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Durations for which keys had no owner.
#[derive(Clone, Debug, Default)]
pub struct Unserved(pub Vec<Duration>);

impl Unserved {
    /// The given quantile of the durations.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * share).ceil() as usize;
        sorted
            .get(index.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    }
}

/// Results of one or more runs.
#[derive(Clone, Debug, Default)]
pub struct FleetReport {
    /// Client requests.
    pub requests: u64,
    /// Requests answered by an instance.
    pub answered: u64,
    /// Requests refused without execution.
    pub refused: u64,
    /// Requests whose execution is uncertain.
    pub unknown: u64,
    /// Requests without a response because their node ended.
    pub unanswered: u64,
    /// Attempts of requests that crash instances.
    pub crashing_tries: u64,
    /// Instances crashed by such requests.
    pub ended_by_requests: u64,
    /// Attempts refused because the request is known to crash instances.
    pub held_back: u64,
    /// Requests that reached instances while a rate limit was in effect.
    pub arrived_under_limit: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Number of coordinator terms.
    pub epochs: u64,
    /// Times until lost keys had an owner again.
    pub unserved: Unserved,
    /// Violations found by the checker.
    pub violations: Vec<Violation>,
}

#[derive(Serialize)]
struct Figures<'a> {
    requests: u64,
    answered: u64,
    refused: u64,
    unknown: u64,
    unanswered: u64,
    crashing_tries: u64,
    ended_by_requests: u64,
    held_back: u64,
    store_calls: u64,
    losses: usize,
    unserved_ms_p50: u128,
    unserved_ms_p99: u128,
    unserved_ms_max: u128,
    violations: BTreeMap<&'a str, usize>,
}

impl FleetReport {
    /// Adds the results of another run.
    pub fn merge(&mut self, other: FleetReport) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.unanswered += other.unanswered;
        self.crashing_tries += other.crashing_tries;
        self.ended_by_requests += other.ended_by_requests;
        self.held_back += other.held_back;
        self.arrived_under_limit += other.arrived_under_limit;
        self.store_calls += other.store_calls;
        self.epochs += other.epochs;
        self.unserved.0.extend(other.unserved.0);
        self.violations.extend(other.violations);
    }

    /// Formats the report as a JSON object.
    pub fn json(&self) -> String {
        let mut violations = BTreeMap::new();
        for violation in &self.violations {
            *violations.entry(violation.kind.name()).or_default() += 1;
        }
        let figures = Figures {
            requests: self.requests,
            answered: self.answered,
            refused: self.refused,
            unknown: self.unknown,
            unanswered: self.unanswered,
            crashing_tries: self.crashing_tries,
            ended_by_requests: self.ended_by_requests,
            held_back: self.held_back,
            store_calls: self.store_calls,
            losses: self.unserved.0.len(),
            unserved_ms_p50: self.unserved.quantile(0.5).as_millis(),
            unserved_ms_p99: self.unserved.quantile(0.99).as_millis(),
            unserved_ms_max: self.unserved.quantile(1.0).as_millis(),
            violations,
        };
        serde_json::to_string(&figures).unwrap_or_default()
    }
}
