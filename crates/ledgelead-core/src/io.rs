//! The interface between the core and input/output.

use crate::message::PeerMessage;
use ledgelead_types::administration::{AdministrationCommand, CommandResult};
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::event::Event;
use ledgelead_types::platform::{PlatformCall, PlatformError, PlatformReply};
use ledgelead_types::protections::Protections;
use ledgelead_types::request::{AttemptId, Forward, RequestArrival};
use ledgelead_types::server::{AttemptResult, LeaseRenewal, LoadReport, RenewalReply};
use ledgelead_types::view::NodeView;
use ledgelead_types::{
    Incarnation, NodeId, Outcome, RequestId, ServerId, Span, Text, Time, ZoneId,
};

/// Identifies a call to a server or to the platform until it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies an operator's command until it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// A node known from the settings, contacted first when this node starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedNode {
    /// The node.
    pub node: NodeId,
    /// Its `IP:port` for messages between nodes.
    pub address: Text,
}

/// Initial settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This machine.
    pub node: NodeId,
    /// The incarnation of this process, chosen at random.
    pub incarnation: Incarnation,
    /// The machine's zone.
    pub zone: ZoneId,
    /// `IP:port` under which other nodes reach this one.
    pub address: Text,
    /// Nodes to contact first.
    pub seeds: Vec<SeedNode>,
    /// Seed of all random decisions.
    pub random_seed: u64,
    /// Safety checks. All are on, except in simulations that verify that a checker detects
    /// a missing one.
    pub protections: Protections,
    /// The assigner: the planner, except in experiments that compare it with others.
    pub assigner: AssignerChoice,
}

/// An input event of the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A message from another node arrived.
    Peer {
        /// The sender, authenticated by the transport.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A call to renew a server's lease ended; the reply is `None` if it failed or timed
    /// out.
    ServerReplied {
        /// The call.
        call: CallId,
        /// The server.
        server: ServerId,
        /// Its reply.
        reply: Option<RenewalReply>,
    },
    /// The platform replied.
    PlatformReplied {
        /// The call.
        call: CallId,
        /// Its reply.
        reply: Result<PlatformReply, PlatformError>,
    },
    /// A caller's request was read completely.
    RequestArrived(RequestArrival),
    /// An attempt at a server ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
        /// Load that the server's response included.
        load: Option<LoadReport>,
    },
    /// The caller closed its connection before it received its response.
    CallerDisconnected(RequestId),
    /// An operator's command arrived at this node.
    Command {
        /// Identifies the command's result.
        ticket: TicketId,
        /// The command.
        command: AdministrationCommand,
    },
    /// An operator's query needs a view of the whole deployment, including loads.
    Inquire(TicketId),
    /// The process was asked to stop: the node refuses new requests, finishes those in
    /// flight and transfers its roles, and then sends [`Output::Stopped`].
    Stop,
}

/// An action to perform for the node.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to another node. The message may be lost.
    SendPeer {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// From now on another node is reached at this `IP:port`.
    PeerAddress {
        /// The node.
        node: NodeId,
        /// Its address.
        address: Text,
    },
    /// Renew a server's lease.
    RenewLease {
        /// Identifies the reply.
        call: CallId,
        /// The server.
        server: ServerId,
        /// Its `IP:port`.
        address: Text,
        /// The renewal.
        renewal: LeaseRenewal,
    },
    /// Call the platform.
    CallPlatform {
        /// Identifies the reply.
        call: CallId,
        /// The call.
        request: PlatformCall,
    },
    /// Send a request to a server.
    Forward(Forward),
    /// Stop an attempt and ask the server to cancel it. The end of the attempt must still
    /// be reported.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The server.
        server: ServerId,
        /// Its `IP:port`.
        address: Text,
    },
    /// Keep a copy of an attempt's response after the end of its request, for retries under
    /// its idempotency key. It may be dropped for lack of space.
    KeepAnswer(AttemptId),
    /// Drop a kept copy.
    ForgetAnswer(AttemptId),
    /// Respond to the caller. With [`Outcome::Answered`], the response of `attempt` is
    /// passed on unchanged. If the attempt belongs to another request, its kept response is
    /// used; if that was dropped, the caller is sent
    /// [`ledgelead_types::UnknownReason::AnswerNotHeld`].
    Respond {
        /// The request.
        request: RequestId,
        /// The outcome for the caller.
        outcome: Outcome,
        /// The attempt whose response is passed on.
        attempt: Option<AttemptId>,
        /// When the caller may retry, for a refusal.
        retry_after: Option<Span>,
    },
    /// A command ended.
    CommandFinished {
        /// The command.
        ticket: TicketId,
        /// The result.
        result: CommandResult,
    },
    /// The view for an inquiry.
    Inquired {
        /// The inquiry.
        ticket: TicketId,
        /// What this node knows, with the loads that the others reported.
        view: Box<NodeView>,
    },
    /// An event for logs and metrics.
    Record(Event),
    /// The stop is complete; the process may exit.
    Stopped,
}

/// Wakeup time when nothing is scheduled.
pub const NEVER: Time = Time(u64::MAX);
