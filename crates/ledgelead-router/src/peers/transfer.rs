//! Whole lists of objects that one node sends another over a connection.
//!
//! Datagrams carry changes; what has no bound on its length comes this way.

use super::configuration::{ConfigurationChange, ConfigurationDelta, LimitsEntry};
use super::instance_table::InstanceTable;
use super::message::{ChangedAssignment, ChangedNode, PeerAddress, RelayedKind};
use ledgelead_types::codec::{List, Text};
use nanoserde::{DeBin, SerBin};

/// Asks another node for all objects of a kind.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct TransferRequest {
    /// The kind.
    pub kind: RelayedKind,
    /// The revision up to which the sender knows the objects; it wants later ones.
    pub known_revision: u64,
    /// The sender's zone.
    pub zone: Text,
    /// Where others can ask the sender, once it has the objects.
    pub address: PeerAddress,
    /// What the sender's link carries, in bytes a second.
    pub link_bytes_per_s: u64,
}

/// The answer to a request for objects.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum TransferAnswer {
    /// The objects.
    State(TransferredState),
    /// The receiver has none that are newer, or no room on its link.
    Redirect {
        /// Nodes that were sent the objects lately.
        nodes: List<PeerAddress>,
    },
}

/// All objects of a kind as a node knows them.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct TransferredState {
    /// The revision up to which they are known.
    pub revision: u64,
    /// How long ago the sender knew all that the store had acknowledged, in milliseconds;
    /// nothing if it can't tell.
    pub age_ms: Option<u32>,
    /// How much longer entries that are missing may come back, in milliseconds.
    pub unconfirmed_ms: u16,
    /// The objects.
    pub objects: TransferredObjects,
}

/// The objects of one kind.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum TransferredObjects {
    /// Instances.
    Instances(InstanceTable),
    /// Registrations of nodes.
    Nodes(List<ChangedNode>),
    /// The record of ownership.
    Ownership(RecordEntry),
    /// The configuration.
    Configuration(FullConfiguration),
}

/// The record of ownership.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct RecordEntry {
    /// Its epoch.
    pub epoch: u64,
    /// The coordinator and its life; none after it resigned.
    pub coordinator: Option<CoordinatorEntry>,
    /// How long earlier coordinators may go on to give orders, in milliseconds.
    pub earlier_authority_ms: u64,
    /// The era of the store in which it was written.
    pub era: u64,
    /// How long keys may be held by instances that no version of this era names, in
    /// milliseconds.
    pub unknown_holds_ms: u64,
    /// The next fencing token.
    pub next_fence: u64,
    /// All assignments.
    pub assignments: List<ChangedAssignment>,
}

/// Who coordinates.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct CoordinatorEntry {
    /// The node.
    pub node: Text,
    /// Its life.
    pub incarnation: u64,
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct FullConfiguration {
    /// Its limits.
    pub limits: LimitsEntry,
    /// Its routes and services.
    pub entries: List<ConfigurationChange>,
}

impl FullConfiguration {
    /// This configuration as what it changes of none.
    pub fn into_delta(self, version: u64) -> ConfigurationDelta {
        ConfigurationDelta {
            base: 0,
            version,
            limits: self.limits,
            changes: self.entries.0,
        }
    }
}
