//! Events that the state machines emit for logs and metrics. The node logs each as one JSON
//! line under its [`Event::name`].

use crate::PositionRange;
use crate::identity::*;
use crate::outcome::Outcome;
use crate::time::Span;
use crate::token::{Epoch, FencingToken, Term};

/// An event for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A replica became leader of its group.
    LeaderElected {
        /// The group.
        group: GroupId,
        /// Generation of the replica set.
        epoch: Epoch,
        /// Its term.
        term: Term,
    },
    /// A replica is no longer leader of its group.
    LeaderSteppedDown {
        /// The group.
        group: GroupId,
        /// Its term.
        term: Term,
    },
    /// A group was formed, or rebuilt after its quorum was lost.
    GroupFormed {
        /// The group.
        group: GroupId,
        /// New generation.
        epoch: Epoch,
    },
    /// A replica was added to or removed from a group.
    MembershipChanged {
        /// The group.
        group: GroupId,
        /// The new set of voters.
        members: Vec<Member>,
    },
    /// A slice has a new owner.
    OwnerChanged {
        /// The group.
        group: GroupId,
        /// Positions of the slice.
        range: PositionRange,
        /// The previous owner.
        from: Option<ServerId>,
        /// The new owner.
        to: Option<ServerId>,
        /// Token of the assignment.
        token: FencingToken,
        /// Whether the previous owner was lost, rather than replaced while live.
        after_loss: bool,
    },
    /// A slice whose owner was lost has an owner again.
    SliceRegained {
        /// The group.
        group: GroupId,
        /// Positions of the slice.
        range: PositionRange,
        /// Time since the leader first learned that the lost owner did not answer, or since
        /// this leader's election if that was later.
        unavailable: Span,
    },
    /// A server's lease expired without a renewal.
    LeaseLapsed {
        /// The group.
        group: GroupId,
        /// The server.
        server: ServerId,
    },
    /// A server's status changed.
    ServerStatusChanged {
        /// The server.
        server: ServerId,
        /// The new status.
        status: crate::routes::ServerStatus,
    },
    /// This node uses a newer configuration.
    ConfigurationApplied {
        /// Its version.
        version: ConfigurationVersion,
    },
    /// The object in the platform's store is not a valid configuration. The node keeps using
    /// the previous one.
    ConfigurationRefused {
        /// Version of the object.
        version: u64,
        /// Validation errors, each with its location.
        findings: Vec<String>,
    },
    /// The platform's store stopped or started answering.
    PlatformReachable {
        /// Whether it answers.
        reachable: bool,
    },
    /// A node joined, or was detected as lost.
    NodeStatusChanged {
        /// The node.
        node: NodeId,
        /// Whether it is live.
        live: bool,
    },
    /// A request ended.
    RequestFinished {
        /// The request.
        request: RequestId,
        /// The service, if known.
        service: Option<ServiceId>,
        /// Tier of its caller.
        tier: TierId,
        /// Its outcome.
        outcome: Outcome,
        /// Number of attempts at servers.
        attempts: u8,
        /// Time since its arrival.
        latency: Span,
    },
    /// A request is retried.
    RequestRetried {
        /// The request.
        request: RequestId,
        /// The attempt that ended.
        attempt: u8,
    },
}

impl Event {
    /// Stable name of the event in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Event::LeaderElected { .. } => "leader-elected",
            Event::LeaderSteppedDown { .. } => "leader-stepped-down",
            Event::GroupFormed { .. } => "group-formed",
            Event::MembershipChanged { .. } => "membership-changed",
            Event::OwnerChanged { .. } => "owner-changed",
            Event::SliceRegained { .. } => "slice-regained",
            Event::LeaseLapsed { .. } => "lease-lapsed",
            Event::ServerStatusChanged { .. } => "server-status-changed",
            Event::ConfigurationApplied { .. } => "configuration-applied",
            Event::ConfigurationRefused { .. } => "configuration-refused",
            Event::PlatformReachable { .. } => "platform-reachable",
            Event::NodeStatusChanged { .. } => "node-status-changed",
            Event::RequestFinished { .. } => "request-finished",
            Event::RequestRetried { .. } => "request-retried",
        }
    }
}
