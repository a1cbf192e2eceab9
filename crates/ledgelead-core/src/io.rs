//! The seam between decisions and input/output.

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

/// A node known from the settings, asked first when this one starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedNode {
    /// The node.
    pub node: NodeId,
    /// Its `IP:port` for messages between nodes.
    pub address: Text,
}

/// What a node knows before it has heard from anybody.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This machine.
    pub node: NodeId,
    /// This run, drawn at random by the process.
    pub incarnation: Incarnation,
    /// The machine's zone.
    pub zone: ZoneId,
    /// `IP:port` under which other nodes reach this one.
    pub address: Text,
    /// Nodes to ask first.
    pub seeds: Vec<SeedNode>,
    /// Seed of every random decision of this run.
    pub random_seed: u64,
    /// All on, except in a simulation that proves its checker.
    pub protections: Protections,
    /// The planner, except in an experiment that compares it with others.
    pub assigner: AssignerChoice,
}

/// Something that happened to the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A message of another node arrived.
    Peer {
        /// The sender, authenticated by the transport.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A server answered a renewal; `None` when the call failed or timed out.
    ServerReplied {
        /// The call.
        call: CallId,
        /// The server.
        server: ServerId,
        /// Its answer.
        reply: Option<RenewalReply>,
    },
    /// The platform answered.
    PlatformReplied {
        /// The call.
        call: CallId,
        /// Its answer.
        reply: Result<PlatformReply, PlatformError>,
    },
    /// A caller's request was read whole.
    RequestArrived(RequestArrival),
    /// An attempt at a server ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Evidence of how.
        result: AttemptResult,
        /// Load that the server's answer carried.
        load: Option<LoadReport>,
    },
    /// The caller closed its connection before it had its answer.
    CallerDisconnected(RequestId),
    /// An operator's command arrived at this node.
    Command {
        /// Names the command's end.
        ticket: TicketId,
        /// The command.
        command: AdministrationCommand,
    },
    /// An operator's query needs a view of the whole deployment, loads
    /// included.
    Inquire(TicketId),
    /// The process was asked to stop: accept nothing, finish what is in
    /// flight, hand roles over, then [`Output::Stopped`].
    Stop,
}

/// Something that the node wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to another node; it may be lost.
    SendPeer {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// From now on the node is reached at this `IP:port`.
    PeerAddress {
        /// The node.
        node: NodeId,
        /// Its address.
        address: Text,
    },
    /// Renew a server's lease.
    RenewLease {
        /// Names the answer.
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
        /// Names the answer.
        call: CallId,
        /// The call.
        request: PlatformCall,
    },
    /// Send a request to a server.
    Forward(Forward),
    /// Stop an attempt and ask the server to cancel it; its end is still
    /// reported.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The server.
        server: ServerId,
        /// Its `IP:port`.
        address: Text,
    },
    /// Hold a copy of an attempt's answer beyond the end of its request, for
    /// repeats under its idempotency key. It may be dropped for want of space.
    KeepAnswer(AttemptId),
    /// Drop a copy held.
    ForgetAnswer(AttemptId),
    /// Answer the caller. With [`Outcome::Answered`] the answer of `attempt`
    /// is passed on whole. An attempt of another request is one whose answer
    /// is held; when it was dropped the caller is told
    /// [`ledgelead_types::UnknownReason::AnswerNotHeld`].
    Respond {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        outcome: Outcome,
        /// The attempt whose answer is passed on.
        attempt: Option<AttemptId>,
        /// When the caller may try again, for a refusal.
        retry_after: Option<Span>,
    },
    /// A command ended.
    CommandFinished {
        /// The command.
        ticket: TicketId,
        /// How.
        result: CommandResult,
    },
    /// The view that an inquiry asked for.
    Inquired {
        /// The inquiry.
        ticket: TicketId,
        /// What this node knows and the others told it.
        view: Box<NodeView>,
    },
    /// Something worth a log line or a metric.
    Record(Event),
    /// The stop is complete; the process may exit.
    Stopped,
}

/// A point in time far beyond any run.
pub const NEVER: Time = Time(u64::MAX);
