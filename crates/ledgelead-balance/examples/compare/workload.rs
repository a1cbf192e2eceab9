//! A workload of keys with Zipf popularity, of which the hottest change within minutes.

use ledgelead_balance::HotPosition;
use ledgelead_types::{Position, PositionRange};
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Number of top ranks at which hot keys are swapped with cold ones.
const SWAPPED_RANKS: usize = 34;
/// Number of top ranks that are searched for the hottest key of a slice.
const SEARCHED_RANKS: usize = 400;

/// The current popularity of each key.
#[derive(Clone)]
pub struct Workload {
    positions: Vec<Position>,
    weights: Vec<f64>,
    cumulated: Vec<f64>,
    by_rank: Vec<usize>,
    listed: BTreeMap<Position, f64>,
}

impl Workload {
    /// `keys` keys at random positions; the popularity of the key with rank `r` is `r` to
    /// the power of `-exponent`.
    pub fn new(keys: usize, exponent: f64, random: &mut Pcg64Mcg) -> Workload {
        let mut positions: Vec<Position> = (0..keys).map(|_| Position(random.random())).collect();
        positions.sort();
        positions.dedup();
        let keys = positions.len();
        let mut by_rank: Vec<usize> = (0..keys).collect();
        by_rank.shuffle(random);
        let total: f64 = (1..=keys).map(|rank| (rank as f64).powf(-exponent)).sum();
        let mut weights = vec![0.0; keys];
        for (index, key) in by_rank.iter().enumerate() {
            weights[*key] = ((index + 1) as f64).powf(-exponent) / total;
        }
        let mut workload = Workload {
            positions,
            weights,
            cumulated: Vec::new(),
            by_rank,
            listed: BTreeMap::new(),
        };
        workload.index();
        workload
    }

    /// Replaces one of the hottest keys with another key.
    pub fn move_hot_key(&mut self, random: &mut Pcg64Mcg) {
        let hot = random.random_range(0..SWAPPED_RANKS);
        let cold = random.random_range(SWAPPED_RANKS..self.by_rank.len());
        self.weights.swap(self.by_rank[hot], self.by_rank[cold]);
        self.by_rank.swap(hot, cold);
        self.index();
    }

    /// Share of all requests that belong to a range.
    pub fn share(&self, range: PositionRange) -> f64 {
        let first = self.positions.partition_point(|key| *key < range.first);
        let end = self.positions.partition_point(|key| *key <= range.last);
        self.cumulated[end] - self.cumulated[first]
    }

    /// The hottest key of a range, with its rate as a share of all requests.
    pub fn hottest(&self, range: PositionRange) -> Option<HotPosition> {
        self.listed
            .range(range.first..=range.last)
            .max_by(|a, b| a.1.total_cmp(b.1))
            .map(|(position, share)| HotPosition {
                position: *position,
                requests_per_second: *share,
            })
    }

    /// Share of all requests that belong to the hottest key.
    pub fn hottest_share(&self) -> f64 {
        self.weights[self.by_rank[0]]
    }

    fn index(&mut self) {
        self.cumulated = vec![0.0];
        let mut sum = 0.0;
        for weight in &self.weights {
            sum += weight;
            self.cumulated.push(sum);
        }
        let listed = self.by_rank.iter().take(SEARCHED_RANKS);
        self.listed = listed
            .map(|key| (self.positions[*key], self.weights[*key]))
            .collect();
    }
}
