//! Limits the share of the position space that changes owner.

use ledgelead_types::{Span, Time};
use std::collections::VecDeque;

const WINDOW: Span = Span::from_seconds(60);

/// Churn of the last minute.
#[derive(Clone, Debug, Default)]
pub struct ChurnBudget {
    spent: VecDeque<ChurnEntry>,
}

#[derive(Clone, Copy, Debug)]
struct ChurnEntry {
    at: Time,
    percent: f64,
}

impl ChurnBudget {
    /// Drops entries that are older than a minute.
    pub fn expire(&mut self, now: Time) {
        while let Some(oldest) = self.spent.front()
            && oldest.at + WINDOW <= now
        {
            self.spent.pop_front();
        }
    }

    /// Whether `percent` more keeps the churn of the last minute within `limit_percent`.
    pub fn allows(&self, percent: f64, limit_percent: f64) -> bool {
        let spent: f64 = self.spent.iter().map(|entry| entry.percent).sum();
        spent + percent <= limit_percent
    }

    /// Counts `percent` as moved now.
    pub fn spend(&mut self, percent: f64, now: Time) {
        self.spent.push_back(ChurnEntry { at: now, percent });
    }
}
