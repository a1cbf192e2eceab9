//! Retry and hedging budgets and observed latency of each service.

use crate::estimate::QuantileSpan;
use crate::token_bucket::ShareBudget;
use ledgelead_types::Span;

/// Retries per request: 15 percent, so that retries alone cannot turn a capacity shortage
/// into a collapse.
const RETRIES_PER_REQUEST: f64 = 0.15;
const RETRY_BURST: f64 = 20.0;

/// Hedges per request: 3 percent.
const HEDGES_PER_REQUEST: f64 = 0.03;
const HEDGE_BURST: f64 = 5.0;

/// Quantile of the observed latency after which a request is hedged, and the samples
/// required for the estimate.
const HEDGE_QUANTILE: f64 = 0.95;
const HEDGE_SAMPLES: u32 = 100;

/// Budgets and latency of one service.
pub(super) struct ServiceState {
    pub(super) retries: ShareBudget,
    pub(super) hedges: ShareBudget,
    latency: QuantileSpan,
}

impl Default for ServiceState {
    fn default() -> Self {
        ServiceState {
            retries: ShareBudget::new(RETRIES_PER_REQUEST, RETRY_BURST),
            hedges: ShareBudget::new(HEDGES_PER_REQUEST, HEDGE_BURST),
            latency: QuantileSpan::new(HEDGE_QUANTILE),
        }
    }
}

impl ServiceState {
    /// Counts an arrived request into the budgets.
    pub(super) fn count_arrival(&mut self) {
        self.retries.deposit();
        self.hedges.deposit();
    }

    /// Records the latency of an answered attempt.
    pub(super) fn record_latency(&mut self, latency: Span) {
        self.latency.add(latency);
    }

    /// How long an attempt runs before it is hedged; `None` without enough samples.
    pub(super) fn hedge_delay(&self) -> Option<Span> {
        self.latency.after(HEDGE_SAMPLES)
    }
}
