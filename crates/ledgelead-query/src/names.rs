//! Looks up entities of the configuration by name and names by identifier.

use crate::finding::{Finding, Findings};
use crate::located::Located;
use ledgelead_types::configuration::*;
use ledgelead_types::{GroupId, Position, PositionRange, ServerId, ServiceId, ZoneId};

/// The name of a service, or its identifier if the configuration does not have it.
pub(crate) fn service_name(configuration: &Configuration, id: ServiceId) -> String {
    let service = configuration.service(id);
    service.map_or_else(|| id.to_string(), |service| service.name.0.clone())
}

/// The name of a zone, or its identifier.
pub(crate) fn zone_name(configuration: &Configuration, id: ZoneId) -> String {
    let zone = configuration.zones.iter().find(|zone| zone.id == id);
    zone.map_or_else(|| id.to_string(), |zone| zone.name.0.clone())
}

/// The name of a server, or its identifier.
pub(crate) fn server_name(configuration: &Configuration, id: ServerId) -> String {
    let server = configuration.server(id);
    server.map_or_else(|| id.to_string(), |server| server.name.0.clone())
}

/// The display name of a group: service and part.
pub(crate) fn group_name(configuration: &Configuration, group: GroupId) -> String {
    let service = service_name(configuration, group.service);
    format!("{service}.{}", group.part)
}

/// The group that a server is assigned to.
pub(crate) fn group_of_server(
    configuration: &Configuration,
    server: &ServerConfiguration,
) -> GroupId {
    let parts = configuration
        .service(server.service)
        .map_or(1, |service| service.groups.max(1));
    GroupId {
        service: server.service,
        part: (server.id.0 % u32::from(parts)) as u16,
    }
}

/// The group whose part of a service's position space contains a position.
pub(crate) fn group_of_position(service: &ServiceConfiguration, position: Position) -> GroupId {
    let parts = service.groups.max(1);
    let part = (0..parts).find(|part| {
        let range = PositionRange::ALL.part(u64::from(*part), u64::from(parts));
        range.contains(position)
    });
    GroupId {
        service: service.id,
        part: part.unwrap_or_default(),
    }
}

/// A key's service, position and group.
pub(crate) struct LocatedKey<'a> {
    pub(crate) service: &'a ServiceConfiguration,
    pub(crate) position: Position,
    pub(crate) group: GroupId,
}

/// Finds the group of a key; reports errors.
pub(crate) fn locate_key<'a>(
    configuration: &'a Configuration,
    key: &crate::tree::KeyInService,
    findings: &mut Findings,
) -> Option<LocatedKey<'a>> {
    let service = find_service(configuration, &key.service, findings)?;
    if service.partitioning == Partitioning::None {
        let message = format!("{} is not divided by key", service.name);
        let help = "any of its servers takes any request";
        findings.add(Finding::new(key.service.range.clone(), message).with_help(help));
        return None;
    }
    let position = Position::of(key.key.value.as_bytes(), service.partitioning);
    Some(LocatedKey {
        service,
        position,
        group: group_of_position(service, position),
    })
}

/// Finds an entity by its name; reports an unknown name with the nearest known one.
pub(crate) fn find<'a, T>(
    items: &'a [T],
    name_of: impl Fn(&T) -> &str,
    what: &str,
    name: &Located<String>,
    findings: &mut Findings,
) -> Option<&'a T> {
    let found = items.iter().find(|item| name_of(item) == name.value);
    if found.is_none() {
        let valid = items.iter().map(&name_of);
        findings.add(Finding::unknown(
            name.range.clone(),
            what,
            &name.value,
            valid,
        ));
    }
    found
}

pub(crate) fn find_service<'a>(
    configuration: &'a Configuration,
    name: &Located<String>,
    findings: &mut Findings,
) -> Option<&'a ServiceConfiguration> {
    find(
        &configuration.services,
        |service| &service.name,
        "service",
        name,
        findings,
    )
}

pub(crate) fn find_server<'a>(
    configuration: &'a Configuration,
    name: &Located<String>,
    findings: &mut Findings,
) -> Option<&'a ServerConfiguration> {
    find(
        &configuration.servers,
        |server| &server.name,
        "server",
        name,
        findings,
    )
}

pub(crate) fn find_zone<'a>(
    configuration: &'a Configuration,
    name: &Located<String>,
    findings: &mut Findings,
) -> Option<&'a ZoneConfiguration> {
    find(
        &configuration.zones,
        |zone| &zone.name,
        "zone",
        name,
        findings,
    )
}

pub(crate) fn find_tier<'a>(
    configuration: &'a Configuration,
    name: &Located<String>,
    findings: &mut Findings,
) -> Option<&'a TierConfiguration> {
    find(
        &configuration.tiers,
        |tier| &tier.name,
        "tier",
        name,
        findings,
    )
}
