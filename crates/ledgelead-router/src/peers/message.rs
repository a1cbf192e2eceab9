//! What nodes send each other.

use ledgelead_types::codec::{self, DecodeError, List, Text};
use nanoserde::{DeBin, SerBin};

/// Longest datagram that is read, in bytes.
const MAX_BYTES: usize = 1_400;

/// Requests for keys that a node has seen since its last report.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct KeyReport {
    /// Stable hash of the service's name.
    pub service: u64,
    /// One entry a request.
    pub keys: List<u16>,
}

/// Requests of one node that are open at one instance.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct OpenRequests {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// How many.
    pub count: u16,
}

/// A range of keys that has changed its owner.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ChangedAssignment {
    /// Stable hash of the service's name.
    pub service: u64,
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The owner.
    pub owner: Text,
    /// The fencing token.
    pub fence: u64,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum PeerMessage {
    /// The coordinator lives.
    Coordinating {
        /// Its epoch.
        epoch: u64,
        /// Whether the store serves it.
        store_serves: bool,
        /// The store's revision of the newest record.
        revision: u64,
        /// The version of the configuration that it has in force.
        configuration: u64,
        /// The store's revision by which it last read a change of who may get
        /// work.
        instances: u64,
        /// How long ago the store told it of instances, in milliseconds.
        instances_age_ms: u16,
    },
    /// The record has been written anew by the coordinator.
    OwnershipChanged {
        /// The revision before.
        base: u64,
        /// The revision now.
        revision: u64,
        /// Assignments that are new.
        changes: List<ChangedAssignment>,
    },
    /// The coordinator has left its place; the record says so as well.
    Resigned {
        /// Its epoch.
        epoch: u64,
    },
    /// Keys asked for; sent to the coordinator.
    KeysAsked {
        /// The version of the configuration that the sender has in force.
        configuration: u64,
        /// By service.
        reports: List<KeyReport>,
    },
    /// Open requests by instance; sent within a zone.
    Open {
        /// The sender's life; counts of an earlier one are void.
        incarnation: u64,
        /// Those that changed.
        changes: List<OpenRequests>,
    },
}

/// Encodes a message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    codec::encode(message)
}

/// Decodes a message.
///
/// # Errors
/// When the bytes are no message.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage, DecodeError> {
    if bytes.len() > MAX_BYTES {
        return Err(DecodeError::Malformed);
    }
    codec::decode(bytes)
}
