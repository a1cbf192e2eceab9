//! Events of the simulation.

use super::operators::CommandPurpose;
use crate::standin::execution::{AttemptKey, ServerAnswer, ServerRequest};
use crate::standin::platform::WatchId;
use ledgelead_core::{CallId, Input};
use ledgelead_types::administration::AdministrationCommand;
use ledgelead_types::platform::{PlatformCall, PlatformError, PlatformReply};
use ledgelead_types::request::AttemptId;
use ledgelead_types::server::{LeaseRenewal, LoadReport};
use ledgelead_types::{Incarnation, Outcome, ServerId};

/// An incarnation of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeRun {
    /// Index of the node.
    pub index: usize,
    /// Its incarnation. Events of earlier incarnations are dropped.
    pub incarnation: Incarnation,
}

/// An event.
#[derive(Debug)]
pub enum Event {
    /// A node's process starts.
    StartNode(usize),
    /// A paused node resumes.
    ResumeNode(usize),
    /// The time for a node's planned stop is over: it is killed if it has not finished.
    StopTimeout(NodeRun),
    /// An event reaches a node.
    ToNode(NodeRun, ToNode),
    /// A frozen server resumes.
    ResumeServer(usize),
    /// An event reaches a server.
    ToServer {
        /// Index of the server.
        index: usize,
        /// The incarnation of the server that the event is meant for; `None` for any.
        run: Option<u64>,
        /// The event.
        event: ToServer,
    },
    /// A leaving server checks whether it may stop.
    CheckLeaving(usize),
    /// A call reaches the platform.
    ToPlatform(NodeRun, CallId, PlatformCall),
    /// A watch times out.
    WatchTimeout(WatchId),
    /// The next open-loop request of a service is due.
    NextArrival(usize),
    /// A caller sends a request.
    SendRequest(u64),
    /// A caller receives the outcome of its request.
    NotifyCaller {
        /// Number in the request's body.
        body: u64,
        /// The outcome.
        outcome: Outcome,
        /// Number in the answer's body.
        answer: Option<u64>,
    },
    /// A caller gives up waiting.
    CallerTimeout(u64),
    /// An operator sends a command.
    SendCommand(Box<AdministrationCommand>, CommandPurpose),
    /// A fault of the schedule begins.
    FaultBegins(usize),
    /// A fault of the schedule ends.
    FaultEnds(usize),
    /// The next probe of a slice that lost its owner.
    Probe(usize),
    /// A service's hot keys change.
    MoveHotKeys(usize),
    /// Runs the periodic checks and measurements.
    EverySecond,
}

/// An event that reaches a node.
#[derive(Debug)]
pub enum ToNode {
    /// An input of the node's state machine.
    Input(Box<Input>),
    /// A caller's request.
    Request(u64),
    /// An attempt's connection was refused or timed out.
    AttemptNotSent(AttemptId),
    /// An attempt's connection broke.
    AttemptLost(AttemptId),
    /// A server answered an attempt.
    AttemptAnswered {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: ServerAnswer,
        /// Whether the answer was truncated in transit.
        cut: bool,
        /// Load reported with the answer.
        load: LoadReport,
    },
    /// An attempt's deadline has passed.
    AttemptTimeout(AttemptId),
    /// A server answered a renewal, or the renewal failed.
    Renewed(
        CallId,
        ServerId,
        Option<ledgelead_types::server::RenewalReply>,
    ),
    /// The platform answered a call.
    PlatformReplied(CallId, Result<PlatformReply, PlatformError>),
}

/// An event that reaches a server.
#[derive(Debug)]
pub enum ToServer {
    /// An attempt.
    Request {
        /// The request.
        request: ServerRequest,
        /// Whether a new connection was opened for it.
        fresh_connection: bool,
    },
    /// A cancellation.
    Cancel(AttemptKey),
    /// An execution is complete.
    Finish(AttemptKey),
    /// A renewal.
    Renewal(NodeRun, CallId, Box<LeaseRenewal>),
}
