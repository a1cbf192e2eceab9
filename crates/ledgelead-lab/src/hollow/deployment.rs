//! Configuration of a hollow deployment.

use super::network::{ZONES, region_of};
use super::options::Options;
use crate::simulation::deployment::{node_address, node_id, service_id, zone_id};
use ledgelead_core::SeedNode;
use ledgelead_types::configuration::*;
use ledgelead_types::{
    CallerId, ConfigurationVersion, GroupId, List, ServerId, ServiceId, Text, TierId,
};

/// Maximum number of groups per service.
const GROUPS_PER_SERVICE: usize = 8;
/// Number of callers with a credential.
pub const CALLERS: u32 = 200;
/// Number of operators with a credential.
const OPERATORS: u32 = 20;
/// Requests that a server executes concurrently.
pub const SLOTS: u16 = 4;
/// Maximum number of connections to a server.
const CONNECTIONS: u16 = 130;
/// Weights of the tiers.
const TIER_WEIGHTS: [u32; 3] = [6, 3, 1];
/// Name of the operator that sends commands.
pub const OPERATOR: &str = "operator-1";

/// Size of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentShape {
    /// Number of services.
    pub services: usize,
    /// Groups per service.
    pub groups_per_service: usize,
    /// Servers over all services.
    pub servers: usize,
}

impl DeploymentShape {
    /// Derives the size from the options, with the number of groups rounded up to complete
    /// services.
    pub fn new(options: &Options) -> DeploymentShape {
        let services = options.groups.div_ceil(GROUPS_PER_SERVICE);
        DeploymentShape {
            services,
            groups_per_service: options.groups.div_ceil(services),
            servers: options.nodes * options.servers_per_node,
        }
    }

    /// Groups over all services.
    pub fn groups(&self) -> usize {
        self.services * self.groups_per_service
    }

    /// Service and zone of the server with an index. Servers are assigned to the groups of a
    /// service in rotation, and the servers of each group to the zones in rotation.
    pub fn location_of(&self, server: usize) -> ServerLocation {
        let round = server / self.groups();
        ServerLocation {
            service: service_id(server % self.groups() / self.groups_per_service),
            zone: round % ZONES,
        }
    }

    /// All groups.
    pub fn group_ids(&self) -> impl Iterator<Item = GroupId> {
        let parts = self.groups_per_service as u16;
        (0..self.services).flat_map(move |service| {
            (0..parts).map(move |part| GroupId {
                service: service_id(service),
                part,
            })
        })
    }
}

/// Service and zone of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLocation {
    /// Its service.
    pub service: ServiceId,
    /// Index of its zone.
    pub zone: usize,
}

/// Identifier of the server at an index.
pub fn server_id(index: usize) -> ServerId {
    ServerId(index as u32 + 1)
}

/// Seed nodes, one in each zone.
pub fn seeds(nodes: usize) -> Vec<SeedNode> {
    (0..nodes.min(ZONES))
        .map(|index| SeedNode {
            node: node_id(index),
            address: node_address(index),
        })
        .collect()
}

/// The initial configuration.
pub fn configuration(shape: &DeploymentShape) -> Configuration {
    Configuration {
        version: ConfigurationVersion(1),
        zones: (0..ZONES).map(zone).collect(),
        services: (0..shape.services)
            .map(|index| service(shape, index))
            .collect(),
        servers: (0..shape.servers)
            .map(|index| server(shape, index))
            .collect(),
        tiers: TIER_WEIGHTS.iter().enumerate().map(tier).collect(),
        callers: (1..=CALLERS).map(|number| caller(number, 0)).collect(),
        operators: (1..=OPERATORS).map(operator).collect(),
        applied_commands: List::default(),
        highest_service: ServiceId(shape.services as u32),
    }
}

fn zone(index: usize) -> ZoneConfiguration {
    ZoneConfiguration {
        id: zone_id(index),
        name: Text(format!("zone-{index}")),
        region: Text(format!("region-{}", region_of(index))),
    }
}

fn service(shape: &DeploymentShape, index: usize) -> ServiceConfiguration {
    ServiceConfiguration {
        id: service_id(index),
        name: Text(format!("service-{index}")),
        team: Text(format!("team-{index}")),
        partitioning: Partitioning::Hash,
        groups: shape.groups_per_service as u16,
        replicas: 3,
        slices_per_server: 8,
        balance: BalanceConfiguration::default(),
        default_deadline_ms: 2_000,
    }
}

fn server(shape: &DeploymentShape, index: usize) -> ServerConfiguration {
    let place = shape.location_of(index);
    ServerConfiguration {
        id: server_id(index),
        name: Text(format!("server-{index}")),
        service: place.service,
        zone: zone_id(place.zone),
        address: Text(format!("10.1.{}.{}:8080", index / 250, index % 250 + 1)),
        slots: SLOTS,
        max_connections: CONNECTIONS,
    }
}

fn tier((index, weight): (usize, &u32)) -> TierConfiguration {
    TierConfiguration {
        id: TierId(index as u8),
        name: Text(format!("tier-{index}")),
        weight: *weight,
        guaranteed_percent: 10,
    }
}

/// A caller with a rate limit.
pub fn caller(number: u32, max_requests_per_second: u32) -> CallerConfiguration {
    CallerConfiguration {
        id: CallerId(number),
        name: Text(format!("caller-{number}")),
        credential_sha256: Text(format!("{number:064x}")),
        tier: TierId((number as usize % TIER_WEIGHTS.len()) as u8),
        max_requests_per_second,
        max_concurrent: 0,
    }
}

fn operator(number: u32) -> OperatorConfiguration {
    OperatorConfiguration {
        name: Text(format!("operator-{number}")),
        credential_sha256: Text(format!("{:064x}", u64::MAX - u64::from(number))),
        role: OperatorRole::Administer,
        teams: List::default(),
    }
}
