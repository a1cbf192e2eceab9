//! Results of the overload experiment.

use ledgelead_types::{Outcome, Span, Time};
use serde::Serialize;

/// The completion of a request.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Index of its tier.
    pub tier: usize,
    /// When it was sent.
    pub sent: Time,
    /// When its caller received the outcome or gave up.
    pub ended: Time,
    /// The outcome; `None` if the caller received none.
    pub outcome: Option<Outcome>,
    /// Whether it retries another request with the same idempotency key. Retries count only as
    /// server load.
    pub is_retry: bool,
}

/// The measured part of a run.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Start.
    pub from: Time,
    /// End (exclusive).
    pub until: Time,
}

impl Window {
    fn contains(&self, at: Time) -> bool {
        self.from <= at && at < self.until
    }

    /// Its length.
    pub fn length(&self) -> Span {
        self.until.since(self.from)
    }
}

/// Latency of a tier's answered requests.
#[derive(Clone, Debug, Serialize)]
pub struct TierRow {
    /// Name of the tier.
    pub tier: String,
    /// Requests sent in the window.
    pub requests: usize,
    /// Of these, answered.
    pub answered: usize,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

/// Results of a service under one load with one dispatch method.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the service.
    pub service: String,
    /// Offered load, as a share of the capacity.
    pub load: f64,
    /// Dispatch method.
    pub dispatch: &'static str,
    /// Requests answered in the window divided by the number that the servers can execute.
    pub goodput: f64,
    /// Share of the requests sent in the window whose outcome was "not run".
    pub refused: f64,
    /// Share of the requests sent in the window with an unknown outcome.
    pub unknown: f64,
    /// Median over all tiers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile over all tiers, in milliseconds.
    pub p99_ms: f64,
    /// Results by tier, highest first.
    pub tiers: Vec<TierRow>,
}

/// A target and the measured value.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Description of the target.
    pub target: &'static str,
    /// Measured value.
    pub value: f64,
    /// Its bound.
    pub bound: f64,
    /// Whether the value meets the bound.
    pub met: bool,
}

/// All results.
#[derive(Clone, Debug, Serialize)]
pub struct OverloadReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Length of the measurement at each load, in virtual seconds.
    pub measured_seconds: f64,
    /// Number of violations over all loads.
    pub violations: u64,
    /// Results by service, load and dispatch.
    pub rows: Vec<Row>,
    /// Targets for which the required loads were run.
    pub targets: Vec<Target>,
}

/// Dispatch name of the real system.
pub const PERMITS: &str = "permits";

fn percentiles(spans: &mut [Span]) -> (f64, f64) {
    spans.sort_unstable();
    let at = |percent: usize| {
        let index = (spans.len() * percent / 100).min(spans.len().saturating_sub(1));
        spans.get(index).map_or(0.0, |span| span.as_millis())
    };
    (at(50), at(99))
}

impl Row {
    /// Summarizes the completed requests of a service. `capacity` is in requests per second.
    pub fn count(
        (service, load, dispatch): (&str, f64, &'static str),
        ended: &[Ended],
        tiers: &[String],
        window: Window,
        capacity: f64,
    ) -> Row {
        let is_answer = |end: &&Ended| end.outcome == Some(Outcome::Answered);
        let answered_in_window = ended
            .iter()
            .filter(is_answer)
            .filter(|end| window.contains(end.ended))
            .count();
        let sent: Vec<&Ended> = ended
            .iter()
            .filter(|end| window.contains(end.sent) && !end.is_retry)
            .collect();
        let share = |count: usize| count as f64 / sent.len().max(1) as f64;
        let refused = sent
            .iter()
            .filter(|end| matches!(end.outcome, Some(Outcome::NotRun(_))))
            .count();
        let answered = sent.iter().filter(|end| is_answer(end)).count();
        let latency = |end: &&Ended| end.ended.since(end.sent);
        let answers = sent.iter().copied().filter(is_answer);
        let mut all: Vec<Span> = answers.map(|end| latency(&end)).collect();
        let (p50_ms, p99_ms) = percentiles(&mut all);
        let tiers = tiers.iter().enumerate().map(|(index, name)| {
            let of_tier = sent.iter().copied().filter(|end| end.tier == index);
            let requests = of_tier.clone().count();
            let answers = of_tier.filter(is_answer);
            let mut spans: Vec<Span> = answers.map(|end| latency(&end)).collect();
            let (p50_ms, p99_ms) = percentiles(&mut spans);
            TierRow {
                tier: name.clone(),
                requests,
                answered: spans.len(),
                p50_ms,
                p99_ms,
            }
        });
        Row {
            service: service.to_owned(),
            load,
            dispatch,
            goodput: answered_in_window as f64 / (capacity * window.length().as_seconds()),
            refused: share(refused),
            unknown: share(sent.len() - answered - refused),
            p50_ms,
            p99_ms,
            tiers: tiers.collect(),
        }
    }
}

impl OverloadReport {
    /// Evaluates the targets for which the rows are available.
    pub fn evaluate_targets(&mut self) {
        let mut services: Vec<String> = self.rows.iter().map(|row| row.service.clone()).collect();
        services.dedup();
        for service in services {
            self.evaluate_service_targets(&service);
        }
    }

    fn row(&self, service: &str, load: f64, dispatch: &str) -> Option<&Row> {
        let is_wanted = |row: &&Row| {
            row.service == service && row.dispatch == dispatch && (row.load - load).abs() < 1e-9
        };
        self.rows.iter().find(is_wanted)
    }

    fn evaluate_service_targets(&mut self, service: &str) {
        const HIGH: f64 = 0.8;
        const TWICE: f64 = 2.0;
        let high = self.row(service, HIGH, PERMITS);
        let twice = self.row(service, TWICE, PERMITS);
        let mut evaluated = Vec::new();
        for (ideal, target) in [
            ("ideal", "p99 at 0.8 over the ideal queue's"),
            (
                "ideal-by-owner",
                "p99 at 0.8 over the ideal queues' by owner",
            ),
        ] {
            if let (Some(high), Some(ideal)) = (high, self.row(service, HIGH, ideal)) {
                evaluated.push((target, high.p99_ms / ideal.p99_ms, 1.3, false));
            }
        }
        if let Some(twice) = twice {
            evaluated.push(("goodput at 2", twice.goodput, 0.95, true));
        }
        if let (Some(high), Some(twice)) = (high, twice) {
            let ratio = twice.tiers[0].p99_ms / high.tiers[0].p99_ms;
            evaluated.push(("top tier's p99 at 2 over that at 0.8", ratio, 1.5, false));
        }
        let targets = evaluated
            .into_iter()
            .map(|(target, value, bound, least)| Target {
                service: service.to_owned(),
                target,
                value,
                bound,
                met: if least {
                    value >= bound
                } else {
                    value <= bound
                },
            });
        self.targets.extend(targets);
    }

    /// Prints the results as Markdown tables.
    pub fn print(&self) {
        println!(
            "| service | load | dispatch | goodput | refused | unknown | p50 ms | p99 ms | p99 ms by tier |"
        );
        println!("|---|---|---|---|---|---|---|---|---|");
        for row in &self.rows {
            let by_tier: Vec<String> = row
                .tiers
                .iter()
                .map(|tier| format!("{:.0}", tier.p99_ms))
                .collect();
            println!(
                "| {} | {} | {} | {:.3} | {:.3} | {:.4} | {:.0} | {:.0} | {} |",
                row.service,
                row.load,
                row.dispatch,
                row.goodput,
                row.refused,
                row.unknown,
                row.p50_ms,
                row.p99_ms,
                by_tier.join(", "),
            );
        }
        println!("\n| service | target | value | bound | met |");
        println!("|---|---|---|---|---|");
        for target in &self.targets {
            println!(
                "| {} | {} | {:.3} | {} | {} |",
                target.service,
                target.target,
                target.value,
                target.bound,
                if target.met { "yes" } else { "no" },
            );
        }
        println!("\nviolations: {}", self.violations);
    }
}
