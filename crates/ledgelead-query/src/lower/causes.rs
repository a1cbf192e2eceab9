//! Finds the part of the text that caused an error in the changed configuration.

use super::LocatedChange;
use crate::finding::Finding;
use ledgelead_configuration::{Field, Finding as ConfigurationFinding, Location, Problem};
use ledgelead_types::administration::ConfigurationChange;

/// The last change of the entity that the error is about; for errors about all tiers, the last
/// change of any tier.
pub(super) fn find_change<'a>(
    problem: &ConfigurationFinding,
    changes: &'a [LocatedChange],
) -> Option<&'a LocatedChange> {
    let is_about = |located: &&LocatedChange| match &problem.location {
        Location::Tiers => matches!(location_of(&located.change), Location::Tier(_)),
        location => location_of(&located.change) == *location,
    };
    changes.iter().rev().find(is_about)
}

/// Converts an error of the configuration. It is located at the value of the setting that
/// caused it, otherwise at the entity's name, otherwise at the start of the text.
pub(super) fn to_finding(
    problem: &ConfigurationFinding,
    located: Option<&LocatedChange>,
) -> Finding {
    let Some(located) = located else {
        return Finding::new(0..0, problem.to_string());
    };
    let setting = field_of(&problem.problem).and_then(|field| {
        let name = setting_name(field);
        located.settings.iter().find(|(setting, _)| setting == name)
    });
    match setting {
        Some((_, range)) => Finding::new(range.clone(), problem.problem.to_string()),
        None => {
            let kind = kind_name(&problem.location);
            let message = format!("{kind} {}", problem.problem);
            Finding::new(located.name.clone(), message)
        }
    }
}

fn location_of(change: &ConfigurationChange) -> Location {
    match change {
        ConfigurationChange::CreateZone(zone) => Location::Zone(zone.id),
        ConfigurationChange::RemoveZone(id) => Location::Zone(*id),
        ConfigurationChange::CreateService(service)
        | ConfigurationChange::AlterService(service) => Location::Service(service.id),
        ConfigurationChange::RemoveService(id) => Location::Service(*id),
        ConfigurationChange::AddServer(server) => Location::Server(server.id),
        ConfigurationChange::RemoveServer(id) => Location::Server(*id),
        ConfigurationChange::CreateTier(tier) | ConfigurationChange::AlterTier(tier) => {
            Location::Tier(tier.id)
        }
        ConfigurationChange::RemoveTier(id) => Location::Tier(*id),
        ConfigurationChange::PutCaller(caller) => Location::Caller(caller.id),
        ConfigurationChange::RemoveCaller(id) => Location::Caller(*id),
        ConfigurationChange::PutOperator(operator) => Location::Operator(operator.name.clone()),
        ConfigurationChange::RemoveOperator(name) => Location::Operator(name.clone()),
    }
}

fn kind_name(location: &Location) -> &'static str {
    match location {
        Location::Zone(_) => "zone:",
        Location::Service(_) => "service:",
        Location::Server(_) => "server:",
        Location::Tier(_) => "tier:",
        Location::Tiers => "tiers:",
        Location::Caller(_) => "caller:",
        Location::Operator(_) => "operator:",
        Location::Text { .. } | Location::Command => "command:",
    }
}

fn field_of(problem: &Problem) -> Option<Field> {
    match problem {
        Problem::Duplicate(field)
        | Problem::Immutable(field)
        | Problem::Unknown(field)
        | Problem::OutOfRange(field, _) => Some(*field),
        _ => None,
    }
}

/// Name of the setting that sets a field.
fn setting_name(field: Field) -> &'static str {
    match field {
        Field::TargetImbalance => "target_imbalance",
        Field::ChurnPrice => "churn_price",
        Field::MaxChurn => "max_churn_percent_per_minute",
        Field::MaxConnections => "connections",
        other => other.name(),
    }
}
