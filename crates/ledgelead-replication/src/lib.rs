//! Replication among the diskless replicas of one group.
//!
//! [`Replica`] is a pure state machine in the manner of raft-rs: the caller passes it
//! messages and the time, then takes a [`Ready`] and performs the actions in it. It
//! implements Raft (Ongaro and Ousterhout, 2014) with pre-vote, leader stickiness,
//! learners, single-server membership changes and snapshots, and adds the follower promises
//! and delegated authority that server leases depend on (`docs/design/replication.md`,
//! `docs/design/overview.md`).
//!
//! Nothing is kept on disk. A process loses its votes when it restarts, so each vote and
//! promise is bound to a [`ledgelead_types::Member`], which names one incarnation of a
//! node's process. A restarted process joins as a learner.

mod authority;
mod election;
mod following;
mod leader_state;
mod leading;
mod log;
mod membership;
mod membership_change;
mod message;
mod progress;
mod ready;
mod replica;
mod status;
mod varint;

pub use authority::Authority;
pub use leading::ProposeError;
pub use membership::{Membership, MembershipChange, MembershipError};
pub use membership_change::TransferError;
pub use message::*;
pub use ready::{CommittedEntry, CommittedPayload, InstalledState, Ready, Role};
pub use replica::{Replica, ReplicaSettings};
