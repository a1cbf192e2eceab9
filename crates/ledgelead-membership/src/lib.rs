//! Node membership and dissemination of versioned items.
//!
//! [`Membership`] tells which nodes are live (SWIM, Das et al. 2002);
//! [`Dissemination`] brings the newest version of every item to every live
//! node. Both are pure state machines (`docs/design/membership.md`).

mod dissemination;
mod members;
mod membership;
mod message;
mod gossip_queue;
mod probes;
mod death_proofs;
mod settings;

pub use dissemination::{
    Dissemination, DisseminationInput, DisseminationMessage, DisseminationOutput,
    DisseminationSettings, Item, ItemDelta, ItemHeader, ItemKey, ItemVersion,
};
pub use membership::Membership;
pub use message::{MembershipMessage, News, NodeRecord, NodeStatus, StatusVersion, VersionSight};
pub use settings::{MembershipInput, MembershipOutput, MembershipSettings, SeedAddress};
