//! Messages of the membership protocol.

use ledgelead_types::{ConfigurationVersion, List, Member, NodeId, Text, ZoneId};
use nanoserde::{DeBin, SerBin};

/// Orders what is said of one node. Only the node itself raises it: to refute
/// a suspicion, to leave, or to replace an earlier run of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub struct StatusVersion(pub u32);

impl StatusVersion {
    /// Highest version that is believed of others. The node itself can always
    /// go above it.
    pub const MAX_ACCEPTED: StatusVersion = StatusVersion(u32::MAX / 2);

    /// The next version.
    pub fn next(self) -> StatusVersion {
        StatusVersion(self.0.saturating_add(1))
    }
}

/// What is said of a node. There is no "dead": whoever hears a suspicion waits
/// for the refutation on its own clock and concludes for itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum NodeStatus {
    /// Answers.
    #[default]
    Alive,
    /// Did not answer somebody; dead unless refuted in time.
    Suspect,
    /// Said itself that it stops.
    Left,
}

/// What one node says of another, or of itself.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct NodeRecord {
    /// The node and the run of its process.
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
    /// Whether this record replaces `held`. At one version the record that
    /// claims less life wins, so that a suspicion spreads until it is refuted.
    pub fn supersedes(&self, held: &NodeRecord) -> bool {
        self.precedence() > held.precedence()
    }

    fn precedence(&self) -> (StatusVersion, ledgelead_types::Incarnation, NodeStatus) {
        (self.version, self.member.incarnation, self.status)
    }
}

/// The configuration in force on a node, as somebody heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ObservedVersion {
    /// The node.
    pub node: NodeId,
    /// Version in force there.
    pub version: ConfigurationVersion,
}

/// What travels along with probes.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct Gossip {
    /// Changes of nodes, bounded in bytes.
    pub records: List<NodeRecord>,
    /// Hash over the live nodes as the sender holds them, itself among them.
    pub live_hash: u64,
    /// Configuration versions of a few nodes in turn.
    pub versions: List<ObservedVersion>,
}

/// A message between the memberships of two nodes. `sender` is the sender's
/// record of itself.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum MembershipMessage {
    /// Asks for an [`MembershipMessage::Acknowledgement`].
    Ping {
        /// The sender.
        sender: NodeRecord,
        /// Repeated by the answer.
        nonce: u64,
        /// News.
        gossip: Gossip,
    },
    /// Answers a ping.
    Acknowledgement {
        /// The sender.
        sender: NodeRecord,
        /// Nonce of the ping.
        nonce: u64,
        /// News.
        gossip: Gossip,
    },
    /// Asks the receiver to ping `target` on the sender's behalf.
    IndirectPing {
        /// The sender.
        sender: NodeRecord,
        /// The node in question.
        target: NodeId,
        /// Repeated by the answer.
        nonce: u64,
    },
    /// Says that the target of an indirect ping answered the sender.
    IndirectAcknowledgement {
        /// The sender.
        sender: NodeRecord,
        /// What the target said of itself.
        target: NodeRecord,
        /// Nonce of the indirect ping.
        nonce: u64,
    },
    /// Asks for everything that the receiver knows.
    Join {
        /// The sender.
        sender: NodeRecord,
    },
    /// Answers a join.
    State {
        /// The sender.
        sender: NodeRecord,
        /// Every node that the sender holds live, and the asker as the sender
        /// holds it.
        records: List<NodeRecord>,
    },
    /// Carries news that should not wait for a probe; a node that leaves.
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
