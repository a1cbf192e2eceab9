//! Selects the few nodes that read the platform's objects, without communication.

use ledgelead_types::NodeId;
use ledgelead_types::dispatch::LiveNode;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// Number of zones with one reader each.
const READERS: usize = 3;
/// Number of readers if all nodes are in one zone.
const READERS_OF_ONE_ZONE: usize = 2;

/// Whether a node is a reader: the lowest-ranked node of each of up to three zones, ranked by
/// a hash of the node identifiers (rendezvous hashing, Thaler and Ravishankar, 1998). A zone
/// that fails or is partitioned from the platform loses only one reader. Nodes that see
/// different sets of live nodes may temporarily select more readers, which costs additional
/// reads and is otherwise harmless.
pub fn is_reader(node: NodeId, live: &[LiveNode]) -> bool {
    let mut ranked: Vec<&LiveNode> = live.iter().collect();
    ranked.sort_by_key(|node| rank(node.member.node));
    let mut zones = BTreeSet::new();
    let first_of_zones = ranked.iter().filter(|node| zones.insert(node.zone));
    let mut readers: Vec<NodeId> = first_of_zones
        .take(READERS)
        .map(|node| node.member.node)
        .collect();
    if readers.len() == 1 {
        let lowest = ranked.iter().take(READERS_OF_ONE_ZONE);
        readers = lowest.map(|node| node.member.node).collect();
    }
    readers.is_empty() || readers.contains(&node)
}

fn rank(node: NodeId) -> (u64, NodeId) {
    (xxh3_64(&node.0.to_le_bytes()), node)
}
