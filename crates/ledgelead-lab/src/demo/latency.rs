//! Distribution of latencies.

use super::records::CallerRecord;
use hdrhistogram::Histogram;
use ledgelead_types::Span;

/// Significant decimal digits of recorded latencies.
const DIGITS: u8 = 3;

/// Longest latency that can be distinguished.
const LONGEST: Span = Span::from_seconds(120);

/// Latency distribution in microseconds.
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LONGEST.as_micros(), DIGITS)
            .expect("the bound and three digits are allowed");
        Latencies { histogram }
    }
}

impl Latencies {
    /// Latencies of the answered requests, counted from when they were due.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a CallerRecord>) -> Latencies {
        let mut latencies = Latencies::default();
        for record in records.into_iter().filter(|record| record.is_answered()) {
            latencies.record(record.finished.since(record.due));
        }
        latencies
    }

    /// Records a latency.
    pub fn record(&mut self, latency: Span) {
        self.histogram.saturating_record(latency.as_micros());
    }

    /// Adds another distribution.
    pub fn add(&mut self, other: &Latencies) {
        self.histogram
            .add(&other.histogram)
            .expect("distributions of one size add up");
    }

    /// Number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The quantile `share` (0 to 1) in milliseconds; 0 if nothing was recorded.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        Span::from_micros(self.histogram.value_at_quantile(share)).as_millis()
    }
}
