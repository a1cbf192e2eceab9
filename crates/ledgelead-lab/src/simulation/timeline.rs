//! Time series of a run, for plots.

use hdrhistogram::Histogram;
use ledgelead_types::{Span, TierId, Time};
use std::collections::BTreeMap;

/// Width of the intervals over which latency is aggregated.
pub const LATENCY_INTERVAL: Span = Span::from_seconds(5);

/// Time of the run in seconds, and the value at that time.
pub type Sample = (f64, f64);

/// Imbalance and churn of one service.
#[derive(Clone, Debug, Default)]
pub struct BalanceRecord {
    /// Imbalance over time.
    pub imbalance: Vec<Sample>,
    /// Accumulated percentage of the position space that changed owner while its owner was
    /// alive, over time.
    pub churn: Vec<Sample>,
    churned_before: f64,
    churned_share: f64,
    imbalance_sum: f64,
    imbalance_count: u64,
    seconds: u64,
}

impl BalanceRecord {
    /// Records the values of one second: the imbalance, if available, and the share of the
    /// position space churned since the start.
    pub fn observe(&mut self, now: Time, imbalance: Option<f64>, churned: f64, is_measured: bool) {
        let second = now.as_seconds();
        if !is_measured {
            self.churned_before = churned;
        }
        self.churned_share = churned - self.churned_before;
        self.churn.push((second, 100.0 * churned));
        if let Some(imbalance) = imbalance {
            self.imbalance.push((second, imbalance));
        }
        if is_measured {
            self.seconds += 1;
            self.imbalance_sum += imbalance.unwrap_or_default();
            self.imbalance_count += u64::from(imbalance.is_some());
        }
    }

    /// Adds another run. Its time series is used only if this record has none.
    pub fn merge(&mut self, other: &BalanceRecord) {
        if self.imbalance.is_empty() {
            self.imbalance = other.imbalance.clone();
            self.churn = other.churn.clone();
        }
        self.churned_share += other.churned_share;
        self.imbalance_sum += other.imbalance_sum;
        self.imbalance_count += other.imbalance_count;
        self.seconds += other.seconds;
    }

    /// Mean imbalance over time.
    pub fn mean_imbalance(&self) -> Option<f64> {
        let count = self.imbalance_count;
        (count > 0).then(|| self.imbalance_sum / count as f64)
    }

    /// Percent per hour of the position space that changed owner while its owner was alive.
    pub fn churn_percent_per_hour(&self) -> f64 {
        const PERCENT_TIMES_HOUR: f64 = 100.0 * 3_600.0;
        self.churned_share * PERCENT_TIMES_HOUR / self.seconds.max(1) as f64
    }
}

/// Latency and control bytes over time.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    latency: BTreeMap<(TierId, u64), Histogram<u64>>,
    /// Control bytes of all nodes by second.
    control_bytes: BTreeMap<u64, u64>,
}

impl Timeline {
    /// Records an answer that reached its caller.
    pub fn answered(&mut self, now: Time, tier: TierId, latency: Span) {
        let interval = now.0 / LATENCY_INTERVAL.0;
        let histogram = self
            .latency
            .entry((tier, interval))
            .or_insert_with(super::measurements::histogram);
        super::measurements::record(histogram, latency);
    }

    /// Records control bytes sent or received.
    pub fn control(&mut self, now: Time, bytes: u64) {
        let second = now.as_seconds() as u64;
        *self.control_bytes.entry(second).or_insert(0) += bytes;
    }

    /// Whether nothing was recorded.
    pub fn is_empty(&self) -> bool {
        self.latency.is_empty() && self.control_bytes.is_empty()
    }

    /// A quantile of a tier's latency over time, in milliseconds.
    pub fn latency(&self, tier: TierId, quantile: f64) -> Vec<Sample> {
        let all = self.latency.range((tier, 0)..=(tier, u64::MAX));
        all.map(|((_, interval), histogram)| {
            let middle = (*interval as f64 + 0.5) * LATENCY_INTERVAL.as_seconds();
            let micros = histogram.value_at_quantile(quantile) as f64;
            (middle, micros / 1_000.0)
        })
        .collect()
    }

    /// Control bytes per second over time, averaged over `nodes` nodes.
    pub fn control_bytes(&self, nodes: usize) -> Vec<Sample> {
        let nodes = nodes.max(1) as f64;
        let bytes = self.control_bytes.iter();
        bytes
            .map(|(second, bytes)| (*second as f64, *bytes as f64 / nodes))
            .collect()
    }
}
