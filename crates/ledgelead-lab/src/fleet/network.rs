//! Network partitions.

use super::isolation::IsolationEffect;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One-way latency between any two machines.
pub const LATENCY: Duration = Duration::from_millis(1);

/// Active partitions.
#[derive(Debug, Default)]
pub struct Network {
    /// Nodes that cannot reach the store.
    pub cut_from_store: BTreeSet<usize>,
    /// Nodes whose calls the store refuses.
    pub refused_by_store: BTreeSet<usize>,
    /// Nodes that cannot reach other nodes.
    pub cut_from_nodes: BTreeSet<usize>,
    /// Pairs of node and instance that cannot reach each other.
    pub cut_from_instance: BTreeSet<(usize, usize)>,
    /// Nodes that are partitioned from all instances.
    pub isolated: BTreeMap<usize, IsolationEffect>,
    /// When open connections to the store last fell silent.
    pub silenced_at: Duration,
}

impl Network {
    /// Whether two nodes can reach each other.
    pub fn nodes_connected(&self, one: usize, other: usize) -> bool {
        !self.cut_from_nodes.contains(&one) && !self.cut_from_nodes.contains(&other)
    }

    /// Whether a node and an instance can reach each other on an established connection.
    pub fn instance_connected(&self, node: usize, instance: usize) -> bool {
        let effect = self.isolated.get(&node);
        let passes = effect.is_none_or(|effect| *effect == IsolationEffect::RefusesNew);
        passes && !self.cut_from_instance.contains(&(node, instance))
    }
}
