//! The most nodes that were registered within a time.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Counts by the time at which they were seen, the largest first.
#[derive(Clone, Debug, Default)]
pub struct NodeCount {
    seen: VecDeque<(Timestamp, usize)>,
}

impl NodeCount {
    /// So many nodes are registered now.
    pub fn saw(&mut self, nodes: usize, within: Duration, now: Timestamp) {
        while self.seen.back().is_some_and(|(_, fewer)| *fewer <= nodes) {
            self.seen.pop_back();
        }
        self.seen.push_back((now, nodes));
        while self.seen.len() > 1 && self.seen[1].0 + within <= now {
            self.seen.pop_front();
        }
    }

    /// The most within the time, `nodes` with them.
    pub fn most(&self, nodes: usize) -> usize {
        let most = self.seen.front().map_or(0, |(_, most)| *most);
        most.max(nodes)
    }
}
