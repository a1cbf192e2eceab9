//! Inputs and outputs of the group manager.

use ledgelead_types::configuration::Configuration;
use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::event::Event;
use ledgelead_types::platform::{PlatformCall, PlatformError, PlatformReply};
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Epoch, GroupId, Member, NodeId, Revision};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Settings of a node's group manager.
#[derive(Clone, Copy, Debug)]
pub struct GroupManagerSettings {
    /// This node.
    pub node: NodeId,
    /// Seed of all random decisions.
    pub random_seed: u64,
}

/// Input of the group manager.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupManagerInput {
    /// The live nodes, including this one.
    LiveNodes(Vec<LiveNode>),
    /// The configuration in force on this node.
    Configuration(Arc<Configuration>),
    /// Voters of a group, received by dissemination.
    KnownMembers {
        /// The group.
        group: GroupId,
        /// Epoch of these voters.
        epoch: Epoch,
        /// The voters.
        members: Vec<Member>,
    },
    /// Members that are proven dead.
    ProvenDead(BTreeSet<Member>),
    /// The platform answered a call. Each call is answered exactly once.
    PlatformReplied {
        /// Identifier of the call.
        call: u64,
        /// Its answer.
        reply: Result<PlatformReply, PlatformError>,
    },
    /// The leader on this node has a snapshot to store.
    StoreSnapshot {
        /// The group's record with the snapshot and the current voters, on which a later
        /// rebuild of the group relies.
        record: GroupRecord,
        /// Log position that the snapshot includes.
        revision: Revision,
    },
}

/// Output of the group manager.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupManagerOutput {
    /// Call the platform.
    CallPlatform {
        /// Identifies the answer.
        call: u64,
        /// The call.
        request: PlatformCall,
    },
    /// The full record of a group with an epoch that was not published before; the group's
    /// voters start from its snapshot.
    Publish(GroupRecord),
    /// A snapshot was stored.
    SnapshotStored {
        /// The group.
        group: GroupId,
        /// Log position that the snapshot includes.
        revision: Revision,
    },
    /// The store has a higher epoch; the replica on this node is outdated.
    Superseded {
        /// The group.
        group: GroupId,
        /// The higher epoch.
        epoch: Epoch,
    },
    /// An event for the log or the metrics.
    Event(Event),
}
