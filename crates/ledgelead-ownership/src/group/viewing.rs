//! Accessors for a replica's status.

use super::GroupReplica;
use crate::state::GroupState;
use ledgelead_types::routes::GroupRoutes;
use ledgelead_types::server::LoadReport;
use ledgelead_types::*;

impl GroupReplica {
    /// The group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Generation of the replica set.
    pub fn epoch(&self) -> Epoch {
        self.state.epoch
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.replica.term()
    }

    /// Whether this replica is the leader.
    pub fn leads(&self) -> bool {
        self.leader.is_some()
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<Member> {
        self.replica.leader()
    }

    /// Members that vote.
    pub fn voters(&self) -> &[Member] {
        self.replica.voters()
    }

    /// The replicated state as applied on this replica.
    pub fn state(&self) -> &GroupState {
        &self.state
    }

    /// The routes that this replica published; `None` unless it is the leader.
    pub fn routes(&self) -> Option<&GroupRoutes> {
        self.routes.as_ref()
    }

    /// How long the platform's store has lacked a change; `None` unless this replica is the
    /// leader.
    pub fn snapshot_lag(&self, now: Time) -> Option<Span> {
        self.leads().then(|| self.snapshots.lag(now))
    }

    /// The busiest server's load divided by the mean; `None` unless this replica is the
    /// leader and has received loads.
    pub fn imbalance(&self) -> Option<f64> {
        self.leader.as_ref()?.imbalance(&self.state)
    }

    /// Requests per second of each slice, in order; empty unless this replica is the
    /// leader.
    pub fn slice_loads(&self) -> Vec<f64> {
        let leader = self.leader.as_ref();
        leader.map_or_else(Vec::new, |leader| leader.slice_loads(&self.state))
    }

    /// Load reported by a server that is assigned to this node.
    pub fn load_report(&self, server: ServerId) -> Option<LoadReport> {
        self.dispatcher.load(server)
    }
}
