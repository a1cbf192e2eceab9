//! Online estimators of durations and event rates.

use ledgelead_types::{Span, Time};

/// Weight of a new sample in a moving mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Relative step of the quantile estimate.
const QUANTILE_STEP: f64 = 0.05;

/// Exponentially weighted mean of durations.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanSpan {
    mean_micros: Option<f64>,
}

impl MeanSpan {
    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: Span) {
        let sample = sample.as_micros() as f64;
        self.mean_micros = Some(match self.mean_micros {
            None => sample,
            Some(mean) => mean + MEAN_WEIGHT * (sample - mean),
        });
    }

    /// The mean, or `default` when there are no samples.
    pub(crate) fn or(&self, default: Span) -> Span {
        self.mean_micros
            .map_or(default, |mean| Span::from_micros(mean as u64))
    }
}

/// Moving quantile estimate by stochastic approximation (Robbins and Monro, 1951): a sample
/// above the estimate raises it by a step times the quantile, a sample below lowers it by a
/// step times one minus the quantile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuantileSpan {
    quantile: f64,
    micros: f64,
    samples: u32,
}

impl QuantileSpan {
    /// An estimator of this quantile, given from 0 to 1.
    pub(crate) fn new(quantile: f64) -> QuantileSpan {
        QuantileSpan {
            quantile,
            micros: 0.0,
            samples: 0,
        }
    }

    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: Span) {
        let sample = sample.as_micros() as f64;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.micros = sample;
            return;
        }
        let step = QUANTILE_STEP * self.micros.max(1.0);
        if sample > self.micros {
            self.micros += step * self.quantile;
        } else {
            self.micros -= step * (1.0 - self.quantile);
        }
    }

    /// The estimate, or `None` while there are fewer than `least` samples.
    pub(crate) fn after(&self, least: u32) -> Option<Span> {
        (self.samples >= least).then(|| Span::from_micros(self.micros as u64))
    }
}

/// Events per second, with exponentially decaying weight of older events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRate<const SECONDS: u32 = 10> {
    per_second: f64,
    updated: Time,
}

impl<const SECONDS: u32> DecayingRate<SECONDS> {
    /// A rate that starts at a known value.
    pub(crate) fn starting_at(per_second: f64, now: Time) -> Self {
        DecayingRate {
            per_second,
            updated: now,
        }
    }

    /// Counts one event.
    pub(crate) fn count(&mut self, now: Time) {
        self.per_second = self.at(now) + 1.0 / f64::from(SECONDS);
        self.updated = now;
    }

    /// The rate at `now`.
    pub(crate) fn at(&self, now: Time) -> f64 {
        let age = now.since(self.updated).as_seconds();
        self.per_second * (-age / f64::from(SECONDS)).exp()
    }
}
