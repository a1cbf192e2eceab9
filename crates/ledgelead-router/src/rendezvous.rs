//! Rendezvous hashing: nodes agree on which of them serve something without a message, and a
//! node that comes or goes changes that for few things.

use crate::identity::NodeName;

/// The weight of a node for the thing with this hash; the heaviest nodes serve it.
pub(crate) fn weight(node: &NodeName, thing: u64) -> u64 {
    spread(node.stable_hash() ^ thing)
}

/// Spreads a hash over all bits (the finaliser of SplitMix64).
fn spread(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
