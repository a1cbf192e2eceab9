//! Applies the changes of one command, all or none.

use crate::check::check;
use crate::finding::{Field, Finding, Place, Problem};
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
        findings.push(finding(Place::Command, problem));
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
            let place = Place::Zone(zone.id);
            create(&mut configuration.zones, zone, place, |one, two| {
                one.id == two.id
            })
        }
        ConfigurationChange::RemoveZone(id) => remove_zone(configuration, id),
        ConfigurationChange::CreateService(service) => create_service(configuration, service),
        ConfigurationChange::AlterService(service) => alter_service(configuration, service),
        ConfigurationChange::RemoveService(id) => remove_service(configuration, id),
        ConfigurationChange::AddServer(server) => {
            let place = Place::Server(server.id);
            create(&mut configuration.servers, server, place, |one, two| {
                one.id == two.id
            })
        }
        ConfigurationChange::RemoveServer(id) => remove_server(configuration, id),
        ConfigurationChange::CreateTier(tier) => {
            let place = Place::Tier(tier.id);
            create(&mut configuration.tiers, tier, place, |one, two| {
                one.id == two.id
            })
        }
        ConfigurationChange::AlterTier(tier) => {
            let place = Place::Tier(tier.id);
            replace(&mut configuration.tiers, tier, place, |one, two| {
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
            remove(callers, Place::Caller(id), |caller| caller.id == id)
        }
        ConfigurationChange::PutOperator(operator) => {
            put(&mut configuration.operators, operator, |one, two| {
                one.name == two.name
            });
            Ok(())
        }
        ConfigurationChange::RemoveOperator(name) => {
            let operators = &mut configuration.operators;
            let place = Place::Operator(name.clone());
            remove(operators, place, |operator| operator.name == name)
        }
    }
}

fn finding(place: Place, problem: Problem) -> Finding {
    Finding { place, problem }
}

fn refuse(place: Place, problem: Problem) -> Applied {
    Err(vec![finding(place, problem)])
}

fn create<T>(list: &mut List<T>, item: T, place: Place, same: impl Fn(&T, &T) -> bool) -> Applied {
    if list.iter().any(|held| same(held, &item)) {
        return refuse(place, Problem::Exists);
    }
    list.push(item);
    Ok(())
}

fn replace<T>(list: &mut List<T>, item: T, place: Place, same: impl Fn(&T, &T) -> bool) -> Applied {
    match list.iter_mut().find(|held| same(held, &item)) {
        Some(held) => {
            *held = item;
            Ok(())
        }
        None => refuse(place, Problem::Missing),
    }
}

fn put<T>(list: &mut List<T>, item: T, same: impl Fn(&T, &T) -> bool) {
    match list.iter_mut().find(|held| same(held, &item)) {
        Some(held) => *held = item,
        None => list.push(item),
    }
}

fn remove<T>(list: &mut List<T>, place: Place, is_it: impl Fn(&T) -> bool) -> Applied {
    match list.iter().position(is_it) {
        Some(index) => {
            list.remove(index);
            Ok(())
        }
        None => refuse(place, Problem::Missing),
    }
}

fn remove_zone(configuration: &mut Configuration, id: ZoneId) -> Applied {
    let place = Place::Zone(id);
    if configuration.servers.iter().any(|server| server.zone == id) {
        return refuse(place, Problem::InUse);
    }
    remove(&mut configuration.zones, place, |zone| zone.id == id)
}

fn create_service(configuration: &mut Configuration, service: ServiceConfiguration) -> Applied {
    let place = Place::Service(service.id);
    if configuration.service(service.id).is_some() {
        return refuse(place, Problem::Exists);
    }
    if service.id <= configuration.highest_service {
        return refuse(place, Problem::IdentifierUsedBefore);
    }
    configuration.highest_service = service.id;
    configuration.services.push(service);
    Ok(())
}

fn alter_service(configuration: &mut Configuration, service: ServiceConfiguration) -> Applied {
    let place = Place::Service(service.id);
    let mut findings = Vec::new();
    if let Some(held) = configuration.service(service.id) {
        if held.partitioning != service.partitioning {
            let problem = Problem::Unchangeable(Field::Partitioning);
            findings.push(finding(place.clone(), problem));
        }
        if held.groups != service.groups {
            let problem = Problem::Unchangeable(Field::Groups);
            findings.push(finding(place.clone(), problem));
        }
    }
    if !findings.is_empty() {
        return Err(findings);
    }
    replace(&mut configuration.services, service, place, |one, two| {
        one.id == two.id
    })
}

fn remove_service(configuration: &mut Configuration, id: ServiceId) -> Applied {
    let place = Place::Service(id);
    if configuration
        .servers
        .iter()
        .any(|server| server.service == id)
    {
        return refuse(place, Problem::InUse);
    }
    remove(&mut configuration.services, place, |service| {
        service.id == id
    })
}

fn remove_server(configuration: &mut Configuration, id: ServerId) -> Applied {
    let servers = &mut configuration.servers;
    remove(servers, Place::Server(id), |server| server.id == id)
}

fn remove_tier(configuration: &mut Configuration, id: TierId) -> Applied {
    let place = Place::Tier(id);
    if configuration.callers.iter().any(|caller| caller.tier == id) {
        return refuse(place, Problem::InUse);
    }
    remove(&mut configuration.tiers, place, |tier| tier.id == id)
}
