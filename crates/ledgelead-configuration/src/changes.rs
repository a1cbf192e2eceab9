//! Applies the changes of one command, all or none.

use crate::check::check;
use crate::finding::{Field, Finding, Location, Problem};
use ledgelead_types::administration::ConfigurationChange;
use ledgelead_types::configuration::*;
use ledgelead_types::{ConfigurationVersion, List, ServerId, ServiceId, TierId, ZoneId};

/// Longest command identifier, in bytes.
const MAX_COMMAND_BYTES: usize = 128;

/// The configuration with all changes applied, the next version and the
/// command remembered; or everything that is wrong with them.
///
/// Whether a server that is removed is retired is known to its group, not
/// here.
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
    remember(&mut changed, command);
    Ok(changed)
}

/// Highest service identifier in use or given out before.
fn highest_service(configuration: &Configuration) -> ServiceId {
    let present = configuration.services.iter().map(|service| service.id);
    present.fold(configuration.highest_service, ServiceId::max)
}

fn remember(configuration: &mut Configuration, command: &str) {
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

fn refuse(location: Location, problem: Problem) -> Applied {
    Err(vec![finding(location, problem)])
}

fn create<T>(
    list: &mut List<T>,
    item: T,
    location: Location,
    same: impl Fn(&T, &T) -> bool,
) -> Applied {
    if list.iter().any(|held| same(held, &item)) {
        return refuse(location, Problem::Exists);
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
    match list.iter_mut().find(|held| same(held, &item)) {
        Some(held) => {
            *held = item;
            Ok(())
        }
        None => refuse(location, Problem::Missing),
    }
}

fn put<T>(list: &mut List<T>, item: T, same: impl Fn(&T, &T) -> bool) {
    match list.iter_mut().find(|held| same(held, &item)) {
        Some(held) => *held = item,
        None => list.push(item),
    }
}

fn remove<T>(list: &mut List<T>, location: Location, is_it: impl Fn(&T) -> bool) -> Applied {
    match list.iter().position(is_it) {
        Some(index) => {
            list.remove(index);
            Ok(())
        }
        None => refuse(location, Problem::Missing),
    }
}

fn remove_zone(configuration: &mut Configuration, id: ZoneId) -> Applied {
    let location = Location::Zone(id);
    if configuration.servers.iter().any(|server| server.zone == id) {
        return refuse(location, Problem::InUse);
    }
    remove(&mut configuration.zones, location, |zone| zone.id == id)
}

fn create_service(configuration: &mut Configuration, service: ServiceConfiguration) -> Applied {
    let location = Location::Service(service.id);
    if configuration.service(service.id).is_some() {
        return refuse(location, Problem::Exists);
    }
    if service.id <= configuration.highest_service {
        return refuse(location, Problem::IdentifierUsedBefore);
    }
    configuration.highest_service = service.id;
    configuration.services.push(service);
    Ok(())
}

fn alter_service(configuration: &mut Configuration, service: ServiceConfiguration) -> Applied {
    let location = Location::Service(service.id);
    let mut findings = Vec::new();
    if let Some(held) = configuration.service(service.id) {
        if held.partitioning != service.partitioning {
            let problem = Problem::Immutable(Field::Partitioning);
            findings.push(finding(location.clone(), problem));
        }
        if held.groups != service.groups {
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
        return refuse(location, Problem::InUse);
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
        return refuse(location, Problem::InUse);
    }
    remove(&mut configuration.tiers, location, |tier| tier.id == id)
}
