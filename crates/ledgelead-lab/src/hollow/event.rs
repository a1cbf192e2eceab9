//! Events of a hollow deployment.

use crate::simulation::event::NodeRun;
use crate::standin::platform::WatchId;
use ledgelead_core::CallId;
use ledgelead_types::platform::{PlatformCall, PlatformError, PlatformReply};
use ledgelead_types::request::AttemptId;
use ledgelead_types::server::{AttemptResult, LeaseRenewal, RenewalReply};
use ledgelead_types::{NodeId, ServerId};
use std::rc::Rc;

/// An event.
#[derive(Debug)]
pub enum Event {
    /// A node's process starts.
    StartNode(usize),
    /// The requested wakeup of a node is due.
    Wake(NodeRun),
    /// A frame reaches a node.
    Frame {
        /// The receiver.
        to: NodeRun,
        /// The sender.
        from: NodeId,
        /// The encoded message.
        payload: Rc<[u8]>,
    },
    /// A renewal reaches a server.
    Renewal {
        /// The sender.
        from: NodeRun,
        /// Identifies the reply.
        call: CallId,
        /// Index of the server.
        server: usize,
        /// The renewal.
        renewal: Box<LeaseRenewal>,
    },
    /// A node receives the result of a renewal.
    Renewed {
        /// The node.
        to: NodeRun,
        /// The call.
        call: CallId,
        /// The server.
        server: ServerId,
        /// The reply, if any.
        reply: Option<Box<RenewalReply>>,
    },
    /// A call reaches the platform.
    PlatformCall {
        /// The caller.
        from: NodeRun,
        /// Identifies the reply.
        call: CallId,
        /// The call.
        request: PlatformCall,
    },
    /// A node receives a reply of the platform.
    PlatformReply {
        /// The node.
        to: NodeRun,
        /// The call.
        call: CallId,
        /// The answer.
        reply: Result<PlatformReply, PlatformError>,
    },
    /// An attempt at a server ended.
    AttemptEnded {
        /// The node that sent it.
        to: NodeRun,
        /// The attempt.
        attempt: AttemptId,
        /// The result.
        result: AttemptResult,
    },
    /// A watch times out.
    WatchTimeout(WatchId),
    /// A virtual second has passed.
    EverySecond,
    /// A planned action of a phase is due.
    Planned(Planned),
}

/// An action of a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planned {
    /// A request arrives at a node.
    Request(usize),
    /// An operator changes a caller's limit.
    ChangeConfiguration,
    /// An operator moves a slice to another owner.
    MoveSlice,
    /// A node is stopped as planned and restarts later.
    RestartNode(usize),
    /// A node is killed and restarts later.
    KillNode(usize),
    /// All nodes and servers of a zone are killed.
    LoseZone(usize),
}
