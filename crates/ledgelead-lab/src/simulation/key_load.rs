//! Expected load of each server: the true popularity of the keys, known only to the
//! simulation, over the slices that the server claims. Unlike counted requests it has no
//! sampling noise.

use super::callers::ServiceLoad;
use super::deployment;
use super::requests::LOAD_ENDS_BEFORE;
use super::world::World;
use ledgelead_types::{Position, PositionRange, Span, Time};

/// Popularity of a service's keys by position.
#[derive(Clone, Debug, Default)]
pub struct Popularity {
    positions: Vec<Position>,
    /// Cumulative share of the load on the positions before each index, and on all.
    sums: Vec<f64>,
    hottest: f64,
}

impl Popularity {
    /// Creates it from the share of each position, in the order of positions.
    pub fn new(shares: impl IntoIterator<Item = (Position, f64)>) -> Popularity {
        let mut popularity = Popularity {
            sums: vec![0.0],
            ..Popularity::default()
        };
        let mut sum = 0.0;
        for (position, share) in shares {
            sum += share;
            popularity.positions.push(position);
            popularity.sums.push(sum);
            popularity.hottest = popularity.hottest.max(share);
        }
        popularity
    }

    /// Share of the load on a range.
    pub fn of(&self, range: PositionRange) -> f64 {
        let before = |position| self.positions.partition_point(|known| *known < position);
        let through = |position| self.positions.partition_point(|known| *known <= position);
        self.sums[through(range.last)] - self.sums[before(range.first)]
    }

    /// Share of the load on the most popular position.
    pub fn hottest(&self) -> f64 {
        self.hottest
    }
}

/// Highest share divided by the mean, or by the share of the most popular position if that is
/// higher, since a single position can't be divided.
pub fn imbalance_over_floor(shares: &[f64], hottest: f64) -> Option<f64> {
    let busiest = shares.iter().copied().fold(0.0, f64::max);
    let mean = 1.0 / shares.len() as f64;
    (!shares.is_empty()).then(|| busiest / mean.max(hottest))
}

impl World<'_> {
    /// Records the imbalance and churn of every keyed service.
    pub(super) fn measure_balance(&mut self) {
        let now = self.now();
        let run = &self.scenario.run;
        let settled = Span::from_seconds(run.warm_up_seconds + run.settle_seconds);
        let load_ends = self.end().before(LOAD_ENDS_BEFORE);
        let is_measured = now >= Time::ZERO + settled && now < load_ends;
        for service in 0..self.scenario.services.len() {
            if !self.callers.services[service].is_keyed() {
                continue;
            }
            let churned = self
                .checker
                .ownership
                .churned_share(deployment::service_id(service));
            let starts = Time::ZERO + Span::from_seconds(run.warm_up_seconds);
            let has_load = now >= starts && now < load_ends;
            let imbalance = self.expected_imbalance(service).filter(|_| has_load);
            let balance = &mut self.measurements.balance[service];
            balance.observe(now, imbalance, churned, is_measured);
        }
    }

    fn expected_imbalance(&self, service: usize) -> Option<f64> {
        let now = self.now();
        let popularity = self.callers.services[service].popularity();
        let healthy = self.healthy_servers(service, now);
        let share = |index: &usize| -> f64 {
            let server = self.servers[*index].plan.server;
            let claimed = self.checker.ownership.claimed(now, server);
            claimed.iter().map(|slice| popularity.of(slice.range)).sum()
        };
        let shares: Vec<f64> = healthy.iter().map(share).collect();
        imbalance_over_floor(&shares, popularity.hottest())
    }
}

impl ServiceLoad {
    /// Whether the service is keyed.
    pub fn is_keyed(&self) -> bool {
        self.keyed
    }

    /// Current popularity of the keys.
    pub fn popularity(&self) -> &Popularity {
        &self.popularity
    }

    /// Recomputes the popularity after the hot keys have changed.
    pub(super) fn update_popularity(&mut self) {
        let mut by_key = vec![0.0; self.order.len()];
        let hot_share = if self.hot.is_empty() {
            0.0
        } else {
            self.section.load.hot_percent / 100.0
        };
        let mut before = 0.0;
        for (rank, through) in self.cumulative.iter().enumerate() {
            by_key[self.order[rank] as usize] += (1.0 - hot_share) * (through - before);
            before = *through;
        }
        for hot in &self.hot {
            by_key[*hot as usize] += hot_share / self.hot.len() as f64;
        }
        let by_position = self.by_position.iter();
        self.popularity =
            Popularity::new(by_position.map(|(position, key)| (*position, by_key[*key as usize])));
    }
}
