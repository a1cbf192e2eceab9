//! Messages between nodes.

use ledgelead_membership::{DisseminationMessage, MembershipMessage};
use ledgelead_ownership::GroupMessage;
use ledgelead_request::{DispatchReply, DispatchRequest};
use ledgelead_types::administration::{CommandResult, GroupOperation};
use ledgelead_types::view::LoadView;
use ledgelead_types::{GroupId, Incarnation, ServerId, Text};
use nanoserde::{DeBin, SerBin};

/// One message from a node to another.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum PeerMessage {
    /// Failure detection and news of nodes.
    Membership(MembershipMessage),
    /// News of configuration, group records and routes.
    Dissemination(DisseminationMessage),
    /// From one replica of a group to another. Incarnations bind it to one
    /// run of each process: a message to an earlier run must not be taken by
    /// a later one, which has forgotten what the earlier promised.
    Group {
        /// The group.
        group: GroupId,
        /// Run of the sender.
        sender: Incarnation,
        /// Run that the message is for.
        receiver: Incarnation,
        /// The message.
        message: GroupMessage,
    },
    /// From a gateway to a dispatcher.
    DispatchRequest(DispatchRequest),
    /// From a dispatcher to a gateway.
    DispatchReply(DispatchReply),
    /// A gateway's own evidence that a server fails, to the group's leader.
    ServerEvidence {
        /// The group.
        group: GroupId,
        /// The server.
        server: ServerId,
        /// Failures seen since the last message.
        failures: u32,
    },
    /// An operator's command for a group of which the sender is no replica.
    Operate {
        /// Names the answer at the sender.
        ticket: u64,
        /// The operator's command identifier.
        command: Text,
        /// The group.
        group: GroupId,
        /// The operation.
        operation: GroupOperation,
    },
    /// Asks for the receiver's part of the view of the deployment.
    Inquire {
        /// Names the answer at the sender.
        inquiry: u64,
    },
    /// The sender's part of the view.
    Inquired {
        /// The inquiry of [`PeerMessage::Inquire`].
        inquiry: u64,
        /// What the sender alone knows.
        loads: LoadView,
    },
    /// How an operation ended.
    Operated {
        /// The ticket of [`PeerMessage::Operate`].
        ticket: u64,
        /// How.
        result: CommandResult,
    },
}

/// Purpose of a message, for accounts of what control costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Failure detection among nodes.
    Membership,
    /// Dissemination of versioned items.
    Dissemination,
    /// Replication and reports within a group, apart from records.
    Group,
    /// Permits for callers' requests; grows with the request rate.
    Dispatch,
    /// Idempotency records within a group; grows with the rate of requests
    /// under idempotency keys.
    Records,
    /// Operators' commands and servers' evidence.
    Administration,
}

impl MessageKind {
    /// Every kind.
    pub const ALL: [MessageKind; 6] = [
        MessageKind::Membership,
        MessageKind::Dissemination,
        MessageKind::Group,
        MessageKind::Dispatch,
        MessageKind::Records,
        MessageKind::Administration,
    ];

    /// Stable name, as metrics show it.
    pub fn name(self) -> &'static str {
        match self {
            MessageKind::Membership => "membership",
            MessageKind::Dissemination => "dissemination",
            MessageKind::Group => "group",
            MessageKind::Dispatch => "dispatch",
            MessageKind::Records => "records",
            MessageKind::Administration => "administration",
        }
    }

    /// Whether the kind counts as control, apart from request traffic.
    pub fn is_control(self) -> bool {
        !matches!(self, MessageKind::Dispatch | MessageKind::Records)
    }
}

impl PeerMessage {
    /// Purpose of the message.
    pub fn kind(&self) -> MessageKind {
        match self {
            PeerMessage::Membership(_) => MessageKind::Membership,
            PeerMessage::Dissemination(_) => MessageKind::Dissemination,
            PeerMessage::Group { message, .. } if message.is_idempotency_traffic() => {
                MessageKind::Records
            }
            PeerMessage::Group { .. } => MessageKind::Group,
            PeerMessage::DispatchRequest(_) | PeerMessage::DispatchReply(_) => {
                MessageKind::Dispatch
            }
            PeerMessage::ServerEvidence { .. }
            | PeerMessage::Inquire { .. }
            | PeerMessage::Inquired { .. }
            | PeerMessage::Operate { .. }
            | PeerMessage::Operated { .. } => MessageKind::Administration,
        }
    }
}
