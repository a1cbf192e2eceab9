//! An implementation of the retry limit that is independent of the router.

use ledgelead_router::Timestamp;
use std::time::Duration;

/// The window of the limit.
pub const WINDOW: Duration = Duration::from_secs(10);

/// What a service received, to be checked against the limit. Shares no code with the router.
#[derive(Default)]
pub struct Arrivals {
    /// Clients' requests, whether or not they arrived.
    pub requests: Vec<Timestamp>,
    /// Arrivals of requests after the first one, which are retries.
    pub retries: Vec<Timestamp>,
}

impl Arrivals {
    /// By how much the retries in the worst window exceed the limit; negative if none does.
    /// The requests counted are those in the window, in the one before, or in the one half a
    /// window before, whichever are most.
    pub fn excess(&mut self, ratio: f64, slack: f64) -> f64 {
        self.requests.sort();
        self.retries.sort();
        let count = |times: &[Timestamp], from: f64, to: f64| {
            let before = |limit: f64| times.partition_point(|at| at.as_secs_f64() < limit);
            before(to).saturating_sub(before(from)) as f64
        };
        let window = WINDOW.as_secs_f64();
        let mut worst = f64::NEG_INFINITY;
        for first in &self.retries {
            let from = first.as_secs_f64();
            let retries = count(&self.retries, from, from + window);
            let requests = [0.0, 0.5, 1.0]
                .map(|back| from - back * window)
                .map(|start| count(&self.requests, start, start + window));
            let most = requests.into_iter().fold(0.0, f64::max);
            worst = worst.max(retries - ratio * most - slack);
        }
        worst
    }
}
