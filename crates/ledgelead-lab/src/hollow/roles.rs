//! The roles of each node and the state that it holds.

use super::accounts::Traffic;
use super::world::World;
use ledgelead_types::NodeId;
use ledgelead_types::codec::encode;
use ledgelead_types::routes::ServerStatus;
use serde::Serialize;

/// Number of roles of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Roles {
    /// Number of groups of which it is a replica.
    pub replicas: usize,
    /// Number of groups that it leads.
    pub led: usize,
    /// Number of servers whose leases it renews.
    pub servers: usize,
    /// Whether it reads the configuration from the platform.
    pub reads_configuration: bool,
}

impl Roles {
    /// Whether it is only a gateway.
    pub fn is_gateway_only(&self) -> bool {
        *self == Roles::default()
    }

    /// Regressors of a fit over nodes: a constant and one per role. The followers of a group
    /// share its servers evenly, so the costs of following a group and of its servers can't be
    /// separated here.
    pub fn regressors(&self) -> Vec<f64> {
        vec![
            1.0,
            self.followed() as f64,
            self.led as f64,
            f64::from(u8::from(self.reads_configuration)),
        ]
    }

    /// Number of groups of which it is a replica but not the leader.
    pub fn followed(&self) -> usize {
        self.replicas - self.led
    }
}

/// Names of the regressors.
pub const REGRESSOR_NAMES: [&str; 4] = [
    "any-node",
    "each-followed-group-with-its-servers",
    "each-led-group",
    "configuration-reader",
];

/// State held by a node, with sizes in the encoded form.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct HeldState {
    /// Size of the configuration.
    pub configuration_bytes: usize,
    /// Size of the routes of all groups.
    pub routes_bytes: usize,
    /// Number of groups whose routes it holds.
    pub routes: usize,
    /// Number of slices over all groups.
    pub slices: usize,
    /// Slices without an owner or with an inactive one.
    pub unserved_slices: usize,
    /// Number of live nodes that it knows.
    pub live_nodes: usize,
}

impl World {
    /// Current roles of every node; `None` for nodes that are not running.
    pub fn roles(&self) -> Vec<Option<Roles>> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .map(|(index, node)| {
                let view = node.view(self.now)?;
                let platform = self.accounts[index].flow(Traffic::Platform);
                let replicas = view.groups.iter().filter(|group| group.term.is_some());
                let led = view.groups.iter().filter(|group| group.leads);
                Some(Roles {
                    replicas: replicas.count(),
                    led: led.count(),
                    servers: dispatched(&view.groups, view.node),
                    reads_configuration: platform.messages_out > 0,
                })
            })
            .collect()
    }

    /// State held by the first running node.
    pub fn held_state(&self) -> HeldState {
        let Some(view) = self.nodes.iter().find_map(|node| node.view(self.now)) else {
            return HeldState::default();
        };
        let routes = view.groups.iter().map(|group| &group.routes);
        let unserved = |routes: &ledgelead_types::routes::GroupRoutes| {
            let is_served = |owner| {
                routes
                    .server(owner)
                    .is_some_and(|server| server.status == ServerStatus::Active)
            };
            let slices = routes.slices.iter();
            slices
                .filter(|slice| !slice.owner.is_some_and(is_served))
                .count()
        };
        HeldState {
            configuration_bytes: encode(&view.configuration).len(),
            routes_bytes: routes.clone().map(|routes| encode(routes).len()).sum(),
            routes: routes
                .clone()
                .filter(|routes| !routes.servers.is_empty())
                .count(),
            slices: routes.clone().map(|routes| routes.slices.len()).sum(),
            unserved_slices: routes.map(unserved).sum(),
            live_nodes: view.nodes.iter().filter(|node| node.live).count(),
        }
    }
}

fn dispatched(groups: &[ledgelead_types::view::GroupView], node: NodeId) -> usize {
    groups
        .iter()
        .flat_map(|group| group.routes.servers.iter())
        .filter(|server| server.dispatcher == node)
        .count()
}
