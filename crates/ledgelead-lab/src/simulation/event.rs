//! Everything that can happen in the simulated world.

use super::operators::CommandPurpose;
use crate::standin::execution::{AttemptKey, ServerAnswer, ServerRequest};
use crate::standin::platform::WatchId;
use ledgelead_core::{CallId, Input};
use ledgelead_types::administration::AdministrationCommand;
use ledgelead_types::platform::{PlatformCall, PlatformError, PlatformReply};
use ledgelead_types::request::AttemptId;
use ledgelead_types::server::{LeaseRenewal, LoadReport};
use ledgelead_types::{Incarnation, Outcome, ServerId};

/// One run of a node's process, by the node's index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeRun {
    /// Index of the node.
    pub index: usize,
    /// Its run. Events of an earlier run are dropped.
    pub incarnation: Incarnation,
}

/// An event.
#[derive(Debug)]
pub enum Event {
    /// A node's process starts.
    StartNode(usize),
    /// A paused node goes on.
    ResumeNode(usize),
    /// A node is given up that did not finish its planned stop.
    StopTimeout(NodeRun),
    /// Something reaches a node.
    ToNode(NodeRun, ToNode),
    /// A frozen server goes on.
    ResumeServer(usize),
    /// Something reaches a server; `run` is set for events of one run.
    ToServer {
        /// Index of the server.
        index: usize,
        /// Run of the server that it is for; `None` for any.
        run: Option<u64>,
        /// What.
        event: ToServer,
    },
    /// A leaving server looks whether it may stop.
    CheckLeaving(usize),
    /// A call reaches the platform.
    ToPlatform(NodeRun, CallId, PlatformCall),
    /// A watch has waited long enough.
    WatchTimeout(WatchId),
    /// The next request of a service's open loop.
    NextArrival(usize),
    /// A caller sends a request.
    SendRequest(u64),
    /// A caller hears how its request ended.
    NotifyCaller {
        /// Number in the request's body.
        body: u64,
        /// How.
        outcome: Outcome,
        /// Number in the answer's body.
        answer: Option<u64>,
    },
    /// A caller gives up.
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
    /// The checks and measurements of each second.
    EverySecond,
}

/// What can reach a node.
#[derive(Debug)]
pub enum ToNode {
    /// An input of the decisions.
    Input(Box<Input>),
    /// A caller's request.
    Request(u64),
    /// An attempt's connection was refused or timed out.
    AttemptNotSent(AttemptId),
    /// An attempt's connection broke.
    AttemptLost(AttemptId),
    /// A server's answer to an attempt.
    AttemptAnswered {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: ServerAnswer,
        /// Whether the answer was cut on its way.
        cut: bool,
        /// Load that came along.
        load: LoadReport,
    },
    /// An attempt's deadline has passed.
    AttemptTimeout(AttemptId),
    /// A server's answer to a renewal, or its end without one.
    Renewed(
        CallId,
        ServerId,
        Option<ledgelead_types::server::RenewalReply>,
    ),
    /// The platform's answer.
    PlatformReplied(CallId, Result<PlatformReply, PlatformError>),
}

/// What can reach a server.
#[derive(Debug)]
pub enum ToServer {
    /// An attempt.
    Request {
        /// The request.
        request: ServerRequest,
        /// Whether its connection was opened for it.
        fresh_connection: bool,
    },
    /// A cancellation.
    Cancel(AttemptKey),
    /// An execution's time has passed.
    Finish(AttemptKey),
    /// A renewal.
    Renewal(NodeRun, CallId, Box<LeaseRenewal>),
}
