//! The deployment of a scenario: its configuration, nodes and servers.

use crate::scenario::{Scenario, ServiceSection};
use ledgelead_types::configuration::*;
use ledgelead_types::{
    CallerId, ConfigurationVersion, List, NodeId, ServerId, ServiceId, Text, TierId, ZoneId,
};

/// Name of the operator whose commands the simulation sends.
pub const OPERATOR: &str = "operator";

/// Identifier of the service at an index.
pub fn service_id(index: usize) -> ServiceId {
    ServiceId(index as u32 + 1)
}

/// Identifier of the zone at an index.
pub fn zone_id(index: usize) -> ZoneId {
    ZoneId(index as u16 + 1)
}

/// Identifier of the node at an index.
pub fn node_id(index: usize) -> NodeId {
    NodeId(index as u32 + 1)
}

/// Address of the node at an index.
pub fn node_address(index: usize) -> Text {
    Text(format!("10.0.{}.{}:7000", index / 250, index % 250 + 1))
}

/// Hashed credential of a caller in a tier.
pub fn credential_of(tier: TierId) -> Text {
    Text(format!("{:064x}", u64::from(tier.0) + 1))
}

/// A server of the scenario.
#[derive(Clone, Copy, Debug)]
pub struct ServerPlan {
    /// Its identifier.
    pub server: ServerId,
    /// Index of its service.
    pub service: usize,
    /// Index of its zone.
    pub zone: usize,
}

/// The servers of a scenario. The instances of each service are distributed over the zones in
/// rotation. Identifiers start at 1.
pub fn servers(scenario: &Scenario) -> Vec<ServerPlan> {
    let mut plans = Vec::new();
    for (service, section) in scenario.services.iter().enumerate() {
        for instance in 0..section.instances as usize {
            plans.push(ServerPlan {
                server: ServerId(plans.len() as u32 + 1),
                service,
                zone: instance % scenario.zones.len(),
            });
        }
    }
    plans
}

/// The initial configuration.
pub fn configuration(scenario: &Scenario) -> Configuration {
    Configuration {
        version: ConfigurationVersion(1),
        zones: zones(scenario),
        services: services(scenario),
        highest_service: ServiceId(scenario.services.len() as u32),
        servers: server_configurations(scenario),
        tiers: tiers(scenario),
        callers: callers(scenario),
        operators: List(vec![OperatorConfiguration {
            name: OPERATOR.into(),
            credential_sha256: Text(format!("{:064x}", u64::MAX)),
            role: OperatorRole::Administer,
            teams: List::default(),
        }]),
        ..Configuration::default()
    }
}

fn zones(scenario: &Scenario) -> List<ZoneConfiguration> {
    let zones = scenario.zones.iter().enumerate();
    zones
        .map(|(index, zone)| ZoneConfiguration {
            id: zone_id(index),
            name: zone.name.as_str().into(),
            region: zone.region.as_str().into(),
        })
        .collect()
}

fn services(scenario: &Scenario) -> List<ServiceConfiguration> {
    let services = scenario.services.iter().enumerate();
    services
        .map(|(index, section)| service_configuration(index, section))
        .collect()
}

fn service_configuration(index: usize, section: &ServiceSection) -> ServiceConfiguration {
    ServiceConfiguration {
        id: service_id(index),
        name: section.name.as_str().into(),
        team: Text::default(),
        partitioning: section.partitioning,
        groups: section.groups,
        replicas: section.replicas,
        slices_per_server: section.slices_per_server,
        balance: section.balance,
        default_deadline_ms: section.load.deadline_ms as u32,
    }
}

fn server_configurations(scenario: &Scenario) -> List<ServerConfiguration> {
    let configuration = |plan: ServerPlan| {
        let section = &scenario.services[plan.service];
        ServerConfiguration {
            id: plan.server,
            name: Text(format!("{}-{}", section.name, plan.server.0)),
            service: service_id(plan.service),
            zone: zone_id(plan.zone),
            address: Text(format!(
                "10.1.{}.{}:8080",
                plan.server.0 / 250,
                plan.server.0 % 250
            )),
            slots: section.slots,
            max_connections: section.connections,
        }
    };
    servers(scenario).into_iter().map(configuration).collect()
}

fn tiers(scenario: &Scenario) -> List<TierConfiguration> {
    let tiers = scenario.tiers.iter().enumerate();
    tiers
        .map(|(index, tier)| TierConfiguration {
            id: TierId(index as u8),
            name: tier.name.as_str().into(),
            weight: tier.weight,
            guaranteed_percent: tier.guaranteed_percent,
        })
        .collect()
}

fn callers(scenario: &Scenario) -> List<CallerConfiguration> {
    let tiers = scenario.tiers.iter().enumerate();
    tiers
        .map(|(index, tier)| CallerConfiguration {
            id: CallerId(index as u32 + 1),
            name: tier.name.as_str().into(),
            credential_sha256: credential_of(TierId(index as u8)),
            tier: TierId(index as u8),
            max_requests_per_second: 0,
            max_concurrent: 0,
        })
        .collect()
}
