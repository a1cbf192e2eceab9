//! This node's share of the retry budget that all nodes draw on together.

use crate::Timestamp;
use crate::identity::ServiceName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The share of its own allowance that a node uses: what it sees and what the
/// service receives differ a little in time.
const SAFETY: f64 = 0.8;

/// What the budget of a deployment is.
#[derive(Clone, Copy, Debug)]
pub struct BudgetBounds {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries besides in each window, over all nodes.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Usage {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// Retries by service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    usage: BTreeMap<ServiceName, Usage>,
}

impl RetryBudget {
    /// Nothing used yet.
    pub fn new(bounds: BudgetBounds) -> RetryBudget {
        RetryBudget {
            bounds,
            usage: BTreeMap::new(),
        }
    }

    /// From now on the budget is this.
    pub fn set_bounds(&mut self, bounds: BudgetBounds) {
        self.bounds = bounds;
    }

    /// A client's request for the service came.
    pub fn requested(&mut self, service: &ServiceName, now: Timestamp) {
        let window = self.bounds.window;
        let usage = self.usage.entry(service.clone()).or_default();
        usage.requests.push_back(now);
        usage.forget(now, window);
    }

    /// Draws one retry, if the share of one among `nodes` nodes allows it.
    /// A node that knows no other nodes has no share of the slack.
    pub fn draw(&mut self, service: &ServiceName, nodes: usize, now: Timestamp) -> bool {
        let window = self.bounds.window;
        if let Some(usage) = self.usage.get_mut(service) {
            usage.forget(now, window);
        }
        if !self.may_draw(service, nodes) {
            return false;
        }
        let usage = self.usage.entry(service.clone()).or_default();
        usage.retries.push_back(now);
        true
    }

    /// A retry that was drawn has not reached an instance.
    pub fn give_back(&mut self, service: &ServiceName) {
        if let Some(usage) = self.usage.get_mut(service) {
            usage.retries.pop_back();
        }
    }

    /// Whether a retry could be drawn.
    pub fn may_draw(&self, service: &ServiceName, nodes: usize) -> bool {
        let (requests, retries) = self
            .usage
            .get(service)
            .map_or((0, 0), |usage| (usage.requests.len(), usage.retries.len()));
        let slack = match nodes {
            0 => 0.0,
            nodes => self.bounds.slack / nodes as f64,
        };
        let allowed = (self.bounds.ratio * requests as f64 + slack) * SAFETY;
        retries as f64 + 1.0 <= allowed
    }
}

impl Usage {
    fn forget(&mut self, now: Timestamp, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time + window <= now) {
                times.pop_front();
            }
        }
    }
}
