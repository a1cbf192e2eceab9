//! What the former is given and what it wants done.

use ledgelead_types::configuration::Configuration;
use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::event::Event;
use ledgelead_types::platform::{PlatformCall, PlatformError, PlatformReply};
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Epoch, GroupId, Member, NodeId, Revision};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What the former of one node starts from.
#[derive(Clone, Copy, Debug)]
pub struct GroupManagerSettings {
    /// This node.
    pub node: NodeId,
    /// Seed of every random decision.
    pub random_seed: u64,
}

/// Something that the former hears of.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupManagerInput {
    /// The live nodes, this one among them.
    LiveNodes(Vec<LiveNode>),
    /// The configuration in force on this node.
    Configuration(Arc<Configuration>),
    /// Voters of a group, as disseminated.
    KnownMembers {
        /// The group.
        group: GroupId,
        /// Epoch in which they vote.
        epoch: Epoch,
        /// The voters.
        members: Vec<Member>,
    },
    /// Members that are dead for certain.
    ProvenDead(BTreeSet<Member>),
    /// The platform answered a call. Every call is answered once.
    PlatformReplied {
        /// The call.
        call: u64,
        /// Its answer.
        reply: Result<PlatformReply, PlatformError>,
    },
    /// The leader on this node has a snapshot to store.
    StoreSnapshot {
        /// The group's record with the snapshot and its present voters: whoever
        /// rebuilds the group later relies on them.
        record: GroupRecord,
        /// Log position that the snapshot contains.
        revision: Revision,
    },
}

/// Something that the former wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupManagerOutput {
    /// Call the platform.
    CallPlatform {
        /// Names the answer.
        call: u64,
        /// The call.
        request: PlatformCall,
    },
    /// A group's record with an epoch not published before, whole: its voters
    /// start from the snapshot in it.
    Publish(GroupRecord),
    /// A snapshot is in the store.
    SnapshotStored {
        /// The group.
        group: GroupId,
        /// Log position that it contains.
        revision: Revision,
    },
    /// The store has a higher epoch: the replica on this node is of the past.
    Superseded {
        /// The group.
        group: GroupId,
        /// The higher epoch.
        epoch: Epoch,
    },
    /// Something worth a log line or a metric.
    Event(Event),
}
