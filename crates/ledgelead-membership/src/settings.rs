//! Settings, inputs and outputs of the membership.

use crate::message::MembershipMessage;
use ledgelead_types::event::Event;
use ledgelead_types::platform::MachineEntry;
use ledgelead_types::{ConfigurationVersion, Member, NodeId, Text, ZoneId};

/// A node from the settings that is contacted when this one starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedAddress {
    /// The node.
    pub node: NodeId,
    /// Its `IP:port` for messages between nodes.
    pub address: Text,
}

/// Initial settings of the membership.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This node and the incarnation of its process.
    pub identity: Member,
    /// Its zone.
    pub zone: ZoneId,
    /// `IP:port` under which other nodes reach this one.
    pub address: Text,
    /// Nodes to contact first.
    pub seeds: Vec<SeedAddress>,
    /// Seed of all random decisions.
    pub random_seed: u64,
}

/// An input to the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipInput {
    /// A message from another node.
    Message {
        /// The sender, authenticated by the transport.
        from: NodeId,
        /// The message.
        message: MembershipMessage,
    },
    /// The platform's list of machines, which may be out of date.
    MachineList(Vec<MachineEntry>),
    /// The configuration in force on this node.
    ConfigurationVersion(ConfigurationVersion),
    /// This node is about to stop; other nodes are notified.
    Leave,
}

/// An action that the caller of the membership has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipOutput {
    /// Send a message. The message may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: MembershipMessage,
    },
    /// The node is reached at this `IP:port` from now on. Precedes the first message to the
    /// node.
    Address {
        /// The node.
        node: NodeId,
        /// Its address.
        address: Text,
    },
    /// The live nodes, their incarnations or addresses, or the proofs about earlier
    /// incarnations changed.
    Changed,
    /// An event for the log and the metrics.
    Event(Event),
}
