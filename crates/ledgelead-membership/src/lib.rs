//! Cluster membership and dissemination of versioned items.
//!
//! [`Membership`] determines which nodes are live (SWIM, Das et al. 2002); [`Dissemination`]
//! delivers the newest version of every item to every live node. Both are state machines
//! without I/O (`docs/design/membership.md`).

mod death_proofs;
mod dissemination;
mod gossip_queue;
mod members;
mod membership;
mod message;
mod probes;
mod settings;

pub use dissemination::{
    Dissemination, DisseminationInput, DisseminationMessage, DisseminationOutput,
    DisseminationSettings, Item, ItemDelta, ItemHeader, ItemKey, ItemVersion,
};
pub use membership::Membership;
pub use message::{
    Gossip, MembershipMessage, NodeRecord, NodeStatus, ObservedVersion, StatusVersion,
};
pub use settings::{MembershipInput, MembershipOutput, MembershipSettings, SeedAddress};
