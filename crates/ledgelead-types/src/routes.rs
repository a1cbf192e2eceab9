//! Routes: the owner of each slice of a group, and the node that dispatches for each server.
//! A group's leader publishes new routes with every change. They are disseminated to all
//! nodes, and a node refuses a version older than its own.

use crate::codec::{List, Text};
use crate::identity::*;
use crate::keyspace::{Position, PositionRange};
use crate::token::FencingToken;
use nanoserde::{DeBin, SerBin};

/// A group's replica set as recorded in the platform's store.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct GroupRecord {
    /// The group.
    pub group: GroupId,
    /// Generation of the replica set.
    pub epoch: crate::token::Epoch,
    /// Voters at the start of the epoch.
    pub members: List<Member>,
    /// Initial state of the group: an encoded snapshot of its state machine; empty for a new
    /// group.
    pub snapshot: crate::codec::Bytes,
}

/// The routes of one group.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct GroupRoutes {
    /// The group.
    pub group: GroupId,
    /// Orders the versions of a group's routes.
    pub version: FencingToken,
    /// The leader that published them.
    pub leader: Member,
    /// Voters of the group.
    pub members: List<Member>,
    /// Slices sorted by position, without gaps or overlaps; empty for a service that is not
    /// partitioned by key.
    pub slices: List<SliceRoute>,
    /// Servers of the group.
    pub servers: List<ServerRoute>,
}

/// Owner of one slice.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct SliceRoute {
    /// Positions of the slice.
    pub range: PositionRange,
    /// Owner; `None` while the slice has none.
    pub owner: Option<ServerId>,
    /// Token of the owner's assignment, which requests carry.
    pub token: FencingToken,
}

/// Whether a server accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum ServerStatus {
    /// Accepts new work.
    #[default]
    Active,
    /// Hands its slices over and accepts no new requests without a key.
    Draining,
    /// Permanently removed; runs no more requests.
    Retired,
    /// Has not answered for longer than its lease; owns no slices.
    Lost,
}

/// How to reach one server.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct ServerRoute {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// `IP:port`.
    pub address: Text,
    /// Whether it accepts new work.
    pub status: ServerStatus,
    /// Node that allocates its slots and renews its lease.
    pub dispatcher: NodeId,
    /// Requests that it executes concurrently.
    pub slots: u16,
    /// Connections that it accepts, shared by all nodes.
    pub max_connections: u16,
}

impl GroupRoutes {
    /// The slice that contains a position.
    pub fn slice_at(&self, position: Position) -> Option<&SliceRoute> {
        let index = self
            .slices
            .partition_point(|slice| slice.range.last < position);
        self.slices
            .get(index)
            .filter(|slice| slice.range.contains(position))
    }

    /// The route of a server.
    pub fn server(&self, id: ServerId) -> Option<&ServerRoute> {
        self.servers.iter().find(|route| route.server == id)
    }
}
