//! A node's view of the deployment, for queries, status and metrics.

use crate::codec::List;
use crate::configuration::Configuration;
use crate::identity::*;
use crate::routes::GroupRoutes;
use crate::server::LoadReport;
use crate::time::Span;
use crate::token::{Epoch, Term};
use nanoserde::{DeBin, SerBin};

/// The state that a node reports to operators.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// The node that reports.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// The configuration that the node uses.
    pub configuration: Configuration,
    /// Whether the platform answered recently; `None` if this node does not read it.
    pub platform_reachable: Option<bool>,
    /// Nodes according to the membership protocol.
    pub nodes: Vec<NodeStatusView>,
    /// Groups with their routes.
    pub groups: Vec<GroupView>,
    /// Load of the servers that this node dispatches for, and the last reported load of the
    /// servers of other dispatchers.
    pub servers: Vec<ServerLoadView>,
    /// Requests accepted by this node that have not ended.
    pub requests_in_flight: u32,
    /// Nodes that were asked for their part of the view and did not answer in time. Their
    /// part is missing.
    pub silent_nodes: Vec<NodeId>,
}

/// State that only this node has: load of the groups that it leads and of the servers that it
/// dispatches for.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct LoadView {
    /// Groups that the node leads.
    pub groups: List<GroupLoadView>,
    /// Servers that the node dispatches for.
    pub servers: List<ServerLoadView>,
}

/// Load of a group as measured by its leader.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct GroupLoadView {
    /// The group.
    pub group: GroupId,
    /// Term of the leader.
    pub term: Term,
    /// Age of the snapshot in the platform's store.
    pub snapshot_lag: Option<Span>,
    /// Load of each slice in requests per second, in the order of the routes.
    pub slice_loads: List<f64>,
    /// Load of the busiest server divided by the mean load.
    pub imbalance: Option<f64>,
}

/// A node according to the membership protocol.
#[derive(Clone, Debug, Default)]
pub struct NodeStatusView {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneId,
    /// `IP:port` for messages between nodes.
    pub address: String,
    /// Whether it is considered live.
    pub live: bool,
    /// The configuration version that it uses, as last reported.
    pub configuration: ConfigurationVersion,
}

/// A group from the point of view of this node.
#[derive(Clone, Debug, Default)]
pub struct GroupView {
    /// Its latest routes.
    pub routes: GroupRoutes,
    /// Generation of its replica set.
    pub epoch: Epoch,
    /// Term, if this node is a replica.
    pub term: Option<Term>,
    /// Whether this node leads it.
    pub leads: bool,
    /// Age of the snapshot in the platform's store, if this node leads.
    pub snapshot_lag: Option<Span>,
    /// Load of each slice in requests per second, in the order of the slices in the routes, if
    /// this node leads or has received it.
    pub slice_loads: Vec<f64>,
    /// Load of the busiest server divided by the mean load, if this node leads.
    pub imbalance: Option<f64>,
}

/// A server's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct ServerLoadView {
    /// The server.
    pub server: ServerId,
    /// Requests per second, as measured by its dispatcher.
    pub requests_per_second: f64,
    /// Slots in use, as counted by its dispatcher.
    pub slots_in_use: u16,
    /// Requests queued for it at its dispatcher.
    pub queued: u32,
    /// The load that the server reports itself.
    pub report: LoadReport,
    /// Remaining time of its lease; `None` without a lease.
    pub lease_left: Option<Span>,
}
