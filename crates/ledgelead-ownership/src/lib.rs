//! Ownership of slices: a replica of one group on one node.
//!
//! [`GroupReplica`] combines the group's replicated log, the state built from it, the
//! leader's duties, and the dispatcher's sessions with its servers. It is a pure state
//! machine (`docs/design/ownership.md`, `docs/design/leases.md`).

pub mod command;
pub mod dispatcher;
mod group;
mod io;
mod leader;
pub mod message;
mod record_batch;
mod requests;
mod routes;
mod schedule;
pub mod session;
mod snapshots;
pub mod state;

pub use group::GroupReplica;
pub use io::{GroupInput, GroupOutput, GroupReplicaSettings};
pub use message::GroupMessage;
pub use snapshots::SnapshotWriter;
