//! The rule on repeats, worked out apart from the product.

use ledgelead_router::Timestamp;
use std::time::Duration;

/// The window of the rule.
pub const WINDOW: Duration = Duration::from_secs(10);

/// What a service received, and what the rule says of it. Shares nothing with the
/// product.
#[derive(Default)]
pub struct Arrivals {
    /// Clients' requests, whether or not they arrived.
    pub requests: Vec<Timestamp>,
    /// Arrivals of each request after its first.
    pub repeats: Vec<Timestamp>,
}

impl Arrivals {
    /// By how much the repeats of the worst window exceed what is allowed; below zero
    /// if none does. Requests count in the window, in the one before, or in the one half
    /// a window before.
    pub fn excess(&mut self, ratio: f64, slack: f64) -> f64 {
        self.requests.sort();
        self.repeats.sort();
        let count = |times: &[Timestamp], from: f64, to: f64| {
            let before = |limit: f64| times.partition_point(|at| at.as_secs_f64() < limit);
            before(to).saturating_sub(before(from)) as f64
        };
        let window = WINDOW.as_secs_f64();
        let mut worst = f64::NEG_INFINITY;
        for first in &self.repeats {
            let from = first.as_secs_f64();
            let repeats = count(&self.repeats, from, from + window);
            let requests = [0.0, 0.5, 1.0]
                .map(|back| from - back * window)
                .map(|start| count(&self.requests, start, start + window));
            let most = requests.into_iter().fold(0.0, f64::max);
            worst = worst.max(repeats - ratio * most - slack);
        }
        worst
    }
}
