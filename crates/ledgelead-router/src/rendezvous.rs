//! Rendezvous hashing: nodes agree without messages on which of them are responsible for an
//! item. When a node joins or leaves, responsibility changes for few items only.

use crate::identity::NodeName;

/// The weight of a node for the item with this hash. The nodes with the highest weights are
/// responsible for the item.
pub(crate) fn weight(node: &NodeName, item: u64) -> u64 {
    mix_bits(node.stable_hash() ^ item)
}

/// Mixes all bits of a hash (the finalizer of SplitMix64).
fn mix_bits(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
