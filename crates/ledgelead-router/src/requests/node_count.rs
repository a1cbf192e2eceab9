//! The largest number of registered nodes within a time window.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Node counts and when they were recorded, the largest first.
#[derive(Clone, Debug, Default)]
pub struct NodeCount {
    seen: VecDeque<(Timestamp, usize)>,
}

impl NodeCount {
    /// Records that `nodes` nodes are registered now, and drops counts older than `within`.
    pub fn record(&mut self, nodes: usize, within: Duration, now: Timestamp) {
        while self.seen.back().is_some_and(|(_, fewer)| *fewer <= nodes) {
            self.seen.pop_back();
        }
        self.seen.push_back((now, nodes));
        while self.seen.len() > 1 && self.seen[1].0 + within <= now {
            self.seen.pop_front();
        }
    }

    /// The largest count within the window, including `nodes`.
    pub fn largest(&self, nodes: usize) -> usize {
        let most = self.seen.front().map_or(0, |(_, most)| *most);
        most.max(nodes)
    }
}
