//! Applies the changes of one command atomically.

use crate::check::check;
use crate::finding::{Field, Finding, Location, Problem};
use ledgelead_types::administration::ConfigurationChange;
use ledgelead_types::configuration::*;
use ledgelead_types::{ConfigurationVersion, List, ServerId, ServiceId, TierId, ZoneId};

/// Longest command identifier, in bytes.
const MAX_COMMAND_BYTES: usize = 128;

/// Returns the configuration with all changes applied, the next version and the command
/// recorded, or all errors in the changes.
///
/// Does not check whether a removed server is retired, since only its group knows its status.
pub fn apply_changes(
    configuration: &Configuration,
    changes: &[ConfigurationChange],
    command: &str,
) -> Result<Configuration, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut changed = configuration.clone();
    changed.highest_service = highest_service(configuration);
    if command.is_empty() || command.len() > MAX_COMMAND_BYTES {
        let problem = Problem::OutOfRange(Field::CommandIdentifier, "from 1 to 128 bytes");
        findings.push(finding(Location::Command, problem));
    }
    for change in changes {
        if let Err(found) = apply(&mut changed, change) {
            findings.extend(found);
        }
    }
    findings.extend(check(&changed));
    if !findings.is_empty() {
        return Err(findings);
    }
    record_command(&mut changed, command);
    Ok(changed)
}

/// Highest service identifier that is or was in use.
fn highest_service(configuration: &Configuration) -> ServiceId {
    let present = configuration.services.iter().map(|service| service.id);
    present.fold(configuration.highest_service, ServiceId::max)
}

fn record_command(configuration: &mut Configuration, command: &str) {
    configuration.version = ConfigurationVersion(configuration.version.0 + 1);
    configuration.applied_commands.push(AppliedCommand {
        id: command.into(),
        version: configuration.version,
    });
    let excess = configuration
        .applied_commands
        .len()
        .saturating_sub(MAX_APPLIED_COMMANDS);
    configuration.applied_commands.drain(..excess);
}

type Applied = Result<(), Vec<Finding>>;

fn apply(configuration: &mut Configuration, change: &ConfigurationChange) -> Applied {
    match change.clone() {
        ConfigurationChange::CreateZone(zone) => {
            let location = Location::Zone(zone.id);
            create(&mut configuration.zones, zone, location, |one, two| {
                one.id == two.id
            })
        }
        ConfigurationChange::RemoveZone(id) => remove_zone(configuration, id),
        ConfigurationChange::CreateService(service) => create_service(configuration, service),
        ConfigurationChange::AlterService(service) => alter_service(configuration, service),
        ConfigurationChange::RemoveService(id) => remove_service(configuration, id),
        ConfigurationChange::AddServer(server) => {
            let location = Location::Server(server.id);
            create(&mut configuration.servers, server, location, |one, two| {
                one.id == two.id
            })
        }
        ConfigurationChange::RemoveServer(id) => remove_server(configuration, id),
        ConfigurationChange::CreateTier(tier) => {
            let location = Location::Tier(tier.id);
            create(&mut configuration.tiers, tier, location, |one, two| {
                one.id == two.id
            })
        }
        ConfigurationChange::AlterTier(tier) => {
            let location = Location::Tier(tier.id);
            replace(&mut configuration.tiers, tier, location, |one, two| {
                one.id == two.id
            })
        }
        ConfigurationChange::RemoveTier(id) => remove_tier(configuration, id),
        ConfigurationChange::PutCaller(caller) => {
            put(&mut configuration.callers, caller, |one, two| {
                one.id == two.id
            });
            Ok(())
        }
        ConfigurationChange::RemoveCaller(id) => {
            let callers = &mut configuration.callers;
            remove(callers, Location::Caller(id), |caller| caller.id == id)
        }
        ConfigurationChange::PutOperator(operator) => {
            put(&mut configuration.operators, operator, |one, two| {
                one.name == two.name
            });
            Ok(())
        }
        ConfigurationChange::RemoveOperator(name) => {
            let operators = &mut configuration.operators;
            let location = Location::Operator(name.clone());
            remove(operators, location, |operator| operator.name == name)
        }
    }
}

fn finding(location: Location, problem: Problem) -> Finding {
    Finding { location, problem }
}

fn reject(location: Location, problem: Problem) -> Applied {
    Err(vec![finding(location, problem)])
}

fn create<T>(
    list: &mut List<T>,
    item: T,
    location: Location,
    same: impl Fn(&T, &T) -> bool,
) -> Applied {
    if list.iter().any(|existing| same(existing, &item)) {
        return reject(location, Problem::Exists);
    }
    list.push(item);
    Ok(())
}

fn replace<T>(
    list: &mut List<T>,
    item: T,
    location: Location,
    same: impl Fn(&T, &T) -> bool,
) -> Applied {
    match list.iter_mut().find(|existing| same(existing, &item)) {
        Some(existing) => {
            *existing = item;
            Ok(())
        }
        None => reject(location, Problem::Missing),
    }
}

fn put<T>(list: &mut List<T>, item: T, same: impl Fn(&T, &T) -> bool) {
    match list.iter_mut().find(|existing| same(existing, &item)) {
        Some(existing) => *existing = item,
        None => list.push(item),
    }
}

fn remove<T>(list: &mut List<T>, location: Location, matches: impl Fn(&T) -> bool) -> Applied {
    match list.iter().position(matches) {
        Some(index) => {
            list.remove(index);
            Ok(())
        }
        None => reject(location, Problem::Missing),
    }
}

fn remove_zone(configuration: &mut Configuration, id: ZoneId) -> Applied {
    let location = Location::Zone(id);
    if configuration.servers.iter().any(|server| server.zone == id) {
        return reject(location, Problem::InUse);
    }
    remove(&mut configuration.zones, location, |zone| zone.id == id)
}

fn create_service(configuration: &mut Configuration, service: ServiceConfiguration) -> Applied {
    let location = Location::Service(service.id);
    if configuration.service(service.id).is_some() {
        return reject(location, Problem::Exists);
    }
    if service.id <= configuration.highest_service {
        return reject(location, Problem::IdentifierUsedBefore);
    }
    configuration.highest_service = service.id;
    configuration.services.push(service);
    Ok(())
}

fn alter_service(configuration: &mut Configuration, service: ServiceConfiguration) -> Applied {
    let location = Location::Service(service.id);
    let mut findings = Vec::new();
    if let Some(existing) = configuration.service(service.id) {
        if existing.partitioning != service.partitioning {
            let problem = Problem::Immutable(Field::Partitioning);
            findings.push(finding(location.clone(), problem));
        }
        if existing.groups != service.groups {
            let problem = Problem::Immutable(Field::Groups);
            findings.push(finding(location.clone(), problem));
        }
    }
    if !findings.is_empty() {
        return Err(findings);
    }
    replace(
        &mut configuration.services,
        service,
        location,
        |one, two| one.id == two.id,
    )
}

fn remove_service(configuration: &mut Configuration, id: ServiceId) -> Applied {
    let location = Location::Service(id);
    if configuration
        .servers
        .iter()
        .any(|server| server.service == id)
    {
        return reject(location, Problem::InUse);
    }
    remove(&mut configuration.services, location, |service| {
        service.id == id
    })
}

fn remove_server(configuration: &mut Configuration, id: ServerId) -> Applied {
    let servers = &mut configuration.servers;
    remove(servers, Location::Server(id), |server| server.id == id)
}

fn remove_tier(configuration: &mut Configuration, id: TierId) -> Applied {
    let location = Location::Tier(id);
    if configuration.callers.iter().any(|caller| caller.tier == id) {
        return reject(location, Problem::InUse);
    }
    remove(&mut configuration.tiers, location, |tier| tier.id == id)
}
