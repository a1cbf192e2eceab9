//! Who reaches whom.

use std::collections::BTreeSet;
use std::time::Duration;

/// One way between any two machines.
pub const LATENCY: Duration = Duration::from_millis(1);

/// Cuts between machines.
#[derive(Debug, Default)]
pub struct Network {
    /// Nodes that don't reach the store.
    pub cut_from_store: BTreeSet<usize>,
    /// Nodes whose calls the store refuses.
    pub refused_by_store: BTreeSet<usize>,
    /// Nodes that reach no other node.
    pub cut_from_nodes: BTreeSet<usize>,
    /// Pairs of node and instance that don't reach each other.
    pub cut_from_instance: BTreeSet<(usize, usize)>,
}

impl Network {
    /// Whether two nodes reach each other.
    pub fn nodes_connected(&self, one: usize, other: usize) -> bool {
        !self.cut_from_nodes.contains(&one) && !self.cut_from_nodes.contains(&other)
    }

    /// Whether a node and an instance reach each other.
    pub fn instance_connected(&self, node: usize, instance: usize) -> bool {
        !self.cut_from_instance.contains(&(node, instance))
    }
}
