//! Transfers of complete lists of objects between two nodes over a connection.
//!
//! Datagrams carry changes; lists of unbounded length are transferred this way.

use super::configuration::{ConfigurationChange, ConfigurationDelta, LimitsEntry};
use super::instance_table::InstanceTable;
use super::message::{ChangedAssignment, ChangedNode, PeerAddress, RelayedKind};
use ledgelead_types::codec::{List, Text};
use nanoserde::{DeBin, SerBin};

/// Requests all objects of a kind from another node.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct TransferRequest {
    /// The kind.
    pub kind: RelayedKind,
    /// The revision up to which the sender knows the objects; it wants later ones.
    pub known_revision: u64,
    /// The sender's zone.
    pub zone: Text,
    /// Where other nodes can request the objects from the sender once it has them.
    pub address: PeerAddress,
    /// Bandwidth of the sender's link, in bytes a second.
    pub link_bytes_per_s: u64,
}

/// The answer to a request for objects.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum TransferAnswer {
    /// The objects.
    State(TransferredState),
    /// The receiver has no newer objects, or no free bandwidth.
    Redirect {
        /// Nodes that were recently sent the objects.
        nodes: List<PeerAddress>,
    },
}

/// All objects of a kind, as known to a node.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct TransferredState {
    /// The revision up to which the objects are known.
    pub revision: u64,
    /// How long ago the sender knew everything that the store had acknowledged, in
    /// milliseconds; none if it cannot tell.
    pub age_ms: Option<u32>,
    /// How much longer missing entries may reappear, in milliseconds.
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
    /// The ownership record.
    Ownership(RecordEntry),
    /// The configuration.
    Configuration(FullConfiguration),
}

/// The ownership record.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct RecordEntry {
    /// Its epoch.
    pub epoch: u64,
    /// The coordinator and its incarnation; none after it has resigned.
    pub coordinator: Option<CoordinatorEntry>,
    /// How long earlier coordinators may still send orders, in milliseconds.
    pub earlier_authority_ms: u64,
    /// The era of the store in which the record was written.
    pub era: u64,
    /// How long instances that no version of this era names may still hold keys, in
    /// milliseconds.
    pub unknown_holds_ms: u64,
    /// The next fencing token.
    pub next_fence: u64,
    /// All assignments.
    pub assignments: List<ChangedAssignment>,
}

/// The coordinator of the ownership record.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct CoordinatorEntry {
    /// The node.
    pub node: Text,
    /// Its incarnation.
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
    /// This configuration as the difference from an empty one.
    pub fn into_delta(self, version: u64) -> ConfigurationDelta {
        ConfigurationDelta {
            base: 0,
            version,
            limits: self.limits,
            changes: self.entries.0,
        }
    }
}
