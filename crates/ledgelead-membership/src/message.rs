//! Messages of the membership protocol.

use ledgelead_types::{ConfigurationVersion, List, Member, NodeId, Text, ZoneId};
use nanoserde::{DeBin, SerBin};

/// Orders the records of a node. Only the node itself raises it: to refute a suspicion, to
/// leave, or to replace an earlier incarnation of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub struct StatusVersion(pub u32);

impl StatusVersion {
    /// Highest version accepted in records of other nodes. The node itself can always exceed
    /// it.
    pub const MAX_ACCEPTED: StatusVersion = StatusVersion(u32::MAX / 2);

    /// The next version.
    pub fn next(self) -> StatusVersion {
        StatusVersion(self.0.saturating_add(1))
    }
}

/// Status of a node. There is no "dead": each node that hears of a suspicion waits for the
/// refutation on its own clock and draws its own conclusion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum NodeStatus {
    /// Responds to pings.
    #[default]
    Alive,
    /// Did not respond to some node; dead unless it refutes this in time.
    Suspect,
    /// Announced that it stops.
    Left,
}

/// A record of a node, sent by itself or by another node.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct NodeRecord {
    /// The node and the incarnation of its process.
    pub member: Member,
    /// Orders records of the node.
    pub version: StatusVersion,
    /// Its status.
    pub status: NodeStatus,
    /// Its zone.
    pub zone: ZoneId,
    /// `IP:port` for messages between nodes.
    pub address: Text,
    /// Configuration in force there.
    pub configuration: ConfigurationVersion,
}

impl NodeRecord {
    /// Whether this record replaces `held`. At the same version and incarnation the status
    /// that is closer to dead wins, so that a suspicion spreads until it is refuted.
    pub fn supersedes(&self, held: &NodeRecord) -> bool {
        self.precedence() > held.precedence()
    }

    fn precedence(&self) -> (StatusVersion, ledgelead_types::Incarnation, NodeStatus) {
        (self.version, self.member.incarnation, self.status)
    }
}

/// The configuration in force on a node, as observed by the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ObservedVersion {
    /// The node.
    pub node: NodeId,
    /// Version in force there.
    pub version: ConfigurationVersion,
}

/// Gossip that is piggybacked on pings and acknowledgements.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct Gossip {
    /// Changed records of nodes, bounded in size.
    pub records: List<NodeRecord>,
    /// Hash over the nodes that are live for the sender, including itself.
    pub live_hash: u64,
    /// Configuration versions of a few nodes, in rotation.
    pub versions: List<ObservedVersion>,
}

/// A message of the membership protocol. `sender` is the sender's record of itself.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum MembershipMessage {
    /// Requests an [`MembershipMessage::Acknowledgement`].
    Ping {
        /// The sender.
        sender: NodeRecord,
        /// Repeated in the acknowledgement.
        nonce: u64,
        /// Piggybacked gossip.
        gossip: Gossip,
    },
    /// Acknowledges a ping.
    Acknowledgement {
        /// The sender.
        sender: NodeRecord,
        /// Nonce of the ping.
        nonce: u64,
        /// Piggybacked gossip.
        gossip: Gossip,
    },
    /// Asks the receiver to ping `target` on the sender's behalf.
    IndirectPing {
        /// The sender.
        sender: NodeRecord,
        /// The node to ping.
        target: NodeId,
        /// Repeated in the acknowledgement.
        nonce: u64,
    },
    /// Reports that the target of an indirect ping answered the sender.
    IndirectAcknowledgement {
        /// The sender.
        sender: NodeRecord,
        /// The target's record of itself.
        target: NodeRecord,
        /// Nonce of the indirect ping.
        nonce: u64,
    },
    /// Requests the whole state of the receiver.
    Join {
        /// The sender.
        sender: NodeRecord,
    },
    /// Answer to a join.
    State {
        /// The sender.
        sender: NodeRecord,
        /// Records of all nodes that are live for the sender, and of the requester.
        records: List<NodeRecord>,
    },
    /// A change of the sender that should not wait for a probe, such as leaving.
    Notice {
        /// The sender.
        sender: NodeRecord,
    },
}

impl MembershipMessage {
    /// The sender's record of itself.
    pub fn sender(&self) -> &NodeRecord {
        match self {
            MembershipMessage::Ping { sender, .. }
            | MembershipMessage::Acknowledgement { sender, .. }
            | MembershipMessage::IndirectPing { sender, .. }
            | MembershipMessage::IndirectAcknowledgement { sender, .. }
            | MembershipMessage::Join { sender }
            | MembershipMessage::State { sender, .. }
            | MembershipMessage::Notice { sender } => sender,
        }
    }
}
