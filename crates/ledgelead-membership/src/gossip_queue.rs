//! Changes that still have to be gossiped, and how often.

use ledgelead_types::NodeId;
use std::collections::BTreeMap;

/// Transmissions of a change in addition to one per doubling of the cluster size. A change
/// that every node transmits log2(n) + 2 times misses one of 500 nodes with a probability
/// below e^-11; message loss uses up some of that margin.
const SPARE_TRANSMISSIONS: u32 = 2;

/// Nodes with changed records, and the remaining transmissions of each.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    left: BTreeMap<NodeId, u32>,
}

impl GossipQueue {
    /// Adds a node whose record changed, in a cluster of `nodes` nodes.
    pub(crate) fn push(&mut self, node: NodeId, nodes: usize) {
        let doublings = usize::BITS - nodes.leading_zeros();
        self.left.insert(node, doublings + SPARE_TRANSMISSIONS);
    }

    /// Whether no change is left to transmit.
    pub(crate) fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    /// Stops the transmission of a node's record.
    pub(crate) fn remove(&mut self, node: NodeId) {
        self.left.remove(&node);
    }

    /// Nodes to transmit, the least transmitted first.
    pub(crate) fn order(&self) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self
            .left
            .iter()
            .map(|(node, left)| (*left, *node))
            .collect();
        nodes.sort_by(|one, other| other.0.cmp(&one.0).then(one.1.cmp(&other.1)));
        nodes.into_iter().map(|(_, node)| node).collect()
    }

    /// Counts a transmission of a node's record. Receiving the same record counts too,
    /// because then other nodes are spreading it.
    pub(crate) fn count(&mut self, node: NodeId) {
        if let Some(left) = self.left.get_mut(&node) {
            *left -= 1;
            if *left == 0 {
                self.left.remove(&node);
            }
        }
    }
}
