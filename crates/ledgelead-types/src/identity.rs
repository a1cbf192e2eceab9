//! Identifiers. All are small integers on the wire. The configuration maps them to names.
//!
//! The derive macros of `nanoserde` can't parse a type that comes from a macro parameter, so
//! the `identifier` macro implements the binary encoding itself.

use nanoserde::{DeBin, DeBinErr, SerBin};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident($inner:ty), $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl SerBin for $name {
            fn ser_bin(&self, output: &mut Vec<u8>) {
                self.0.ser_bin(output);
            }
        }

        impl DeBin for $name {
            fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
                <$inner>::de_bin(offset, bytes).map($name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

identifier!(
    /// A machine that runs a node. The number stays the same when the process restarts.
    NodeId(u32), "node-"
);
identifier!(
    /// One run of a node's process; a random number chosen at its start. A restarted process
    /// has lost its votes and must not vote under its old identity, so every vote is bound
    /// to an incarnation.
    Incarnation(u64), "run-"
);
identifier!(
    /// A zone: machines that share power and network.
    ZoneId(u16), "zone-"
);
identifier!(
    /// A service: a set of servers that are interchangeable or each own a part of the keys.
    ServiceId(u32), "service-"
);
identifier!(
    /// A back end instance.
    ServerId(u32), "server-"
);
identifier!(
    /// A priority tier that callers subscribe to. The order of the numbers has no meaning: the
    /// configuration defines the weight of each tier.
    TierId(u8), "tier-"
);
identifier!(
    /// A caller, identified by its credential.
    CallerId(u32), "caller-"
);
identifier!(
    /// A request, unique within one incarnation of the node that accepted it.
    RequestId(u64), "request-"
);
identifier!(
    /// A version of the configuration, assigned by the platform's store.
    ConfigurationVersion(u64), "v"
);
identifier!(
    /// Hash of a caller's idempotency key, its credential and its service.
    IdempotencyKey(u64), "once-"
);

/// One replica of a group: a node in one incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A replica set that decides the ownership of one part of a service's position space, and
/// manages the servers of this part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct GroupId {
    /// The service.
    pub service: ServiceId,
    /// The part of the service, from 0 to the service's number of groups.
    pub part: u16,
}

impl GroupId {
    /// Weight of a node for the choice of the group's replicas, by rendezvous hashing (Thaler
    /// and Ravishankar, 1998). Nodes with the lowest weights are preferred. Each group thus
    /// orders the nodes differently, and no node comes first for all groups.
    pub fn replica_weight(self, node: NodeId) -> u64 {
        let mut bytes = [0_u8; 10];
        bytes[..4].copy_from_slice(&self.service.0.to_le_bytes());
        bytes[4..6].copy_from_slice(&self.part.to_le_bytes());
        bytes[6..].copy_from_slice(&node.0.to_le_bytes());
        xxh3_64(&bytes)
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "group-{}.{}", self.service.0, self.part)
    }
}

impl fmt::Display for Member {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:x}", self.node, self.incarnation.0)
    }
}
