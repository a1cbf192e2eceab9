//! Which changes still have to be passed on, and how often.

use ledgelead_types::NodeId;
use std::collections::BTreeMap;

/// Transmissions of a change besides one for every doubling of the cluster. A
/// change that every node passes on log2(n) + 2 times misses one of 500 nodes
/// with a chance below e^-11; losses take some of that margin.
const SPARE_TRANSMISSIONS: u32 = 2;

/// Nodes whose record changed, with the transmissions that are left.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    left: BTreeMap<NodeId, u32>,
}

impl GossipQueue {
    /// Adds a node whose record changed, in a cluster of `nodes`.
    pub(crate) fn push(&mut self, node: NodeId, nodes: usize) {
        let doublings = usize::BITS - nodes.leading_zeros();
        self.left.insert(node, doublings + SPARE_TRANSMISSIONS);
    }

    /// Whether there is nothing to pass on.
    pub(crate) fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    /// Passes a node's record on no more.
    pub(crate) fn remove(&mut self, node: NodeId) {
        self.left.remove(&node);
    }

    /// Nodes to pass on, those sent least often first.
    pub(crate) fn order(&self) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self
            .left
            .iter()
            .map(|(node, left)| (*left, *node))
            .collect();
        nodes.sort_by(|one, other| other.0.cmp(&one.0).then(one.1.cmp(&other.1)));
        nodes.into_iter().map(|(_, node)| node).collect()
    }

    /// Counts one transmission of a node's record, or one receipt of what is
    /// known: others spread it as well.
    pub(crate) fn count(&mut self, node: NodeId) {
        if let Some(left) = self.left.get_mut(&node) {
            *left -= 1;
            if *left == 0 {
                self.left.remove(&node);
            }
        }
    }
}
