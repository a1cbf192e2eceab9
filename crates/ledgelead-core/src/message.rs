//! Messages between nodes.

use ledgelead_membership::{DisseminationMessage, MembershipMessage};
use ledgelead_ownership::GroupMessage;
use ledgelead_request::{DispatchReply, DispatchRequest};
use ledgelead_types::administration::{CommandResult, GroupOperation};
use ledgelead_types::view::LoadView;
use ledgelead_types::{GroupId, Incarnation, ServerId, Text};
use nanoserde::{DeBin, SerBin};

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum PeerMessage {
    /// Failure detection and node status updates.
    Membership(MembershipMessage),
    /// Updates of configuration, group records and routes.
    Dissemination(DisseminationMessage),
    /// From one replica of a group to another. It is bound to the incarnations of both
    /// processes: a message to an earlier incarnation must not be handled by a later one,
    /// which doesn't know the promises of the earlier one.
    Group {
        /// The group.
        group: GroupId,
        /// Incarnation of the sender.
        sender: Incarnation,
        /// Incarnation that the message is addressed to.
        receiver: Incarnation,
        /// The message.
        message: GroupMessage,
    },
    /// From a gateway to a dispatcher.
    DispatchRequest(DispatchRequest),
    /// From a dispatcher to a gateway.
    DispatchReply(DispatchReply),
    /// Failures of a server observed by a gateway, to the group's leader.
    ServerEvidence {
        /// The group.
        group: GroupId,
        /// The server.
        server: ServerId,
        /// Failures observed since the last message.
        failures: u32,
    },
    /// An operator's command for a group of which the sender has no replica.
    Operate {
        /// Identifies the answer at the sender.
        ticket: u64,
        /// The operator's command identifier.
        command: Text,
        /// The group.
        group: GroupId,
        /// The operation.
        operation: GroupOperation,
    },
    /// Requests the receiver's part of the view of the deployment.
    Inquire {
        /// Identifies the answer at the sender.
        inquiry: u64,
    },
    /// The sender's part of the view.
    Inquired {
        /// The inquiry of [`PeerMessage::Inquire`].
        inquiry: u64,
        /// Loads that only the sender knows.
        loads: LoadView,
    },
    /// The result of an operation.
    Operated {
        /// The ticket of [`PeerMessage::Operate`].
        ticket: u64,
        /// The result.
        result: CommandResult,
    },
}

/// Purpose of a message, used to measure the cost of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Failure detection among nodes.
    Membership,
    /// Dissemination of versioned items.
    Dissemination,
    /// Replication and reports within a group, except idempotency records.
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

    /// Stable name, as shown in metrics.
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

    /// Whether the kind counts as control traffic, as opposed to request traffic.
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
