//! Where in the text a problem of the changed configuration was caused.

use super::PlacedChange;
use crate::finding::Finding;
use ledgelead_configuration::{Field, Finding as Caused, Location, Problem};
use ledgelead_types::administration::ConfigurationChange;

/// The change that a problem is about: the last one of the same part, or of
/// the same kind.
pub(super) fn cause<'a>(problem: &Caused, changes: &'a [PlacedChange]) -> Option<&'a PlacedChange> {
    let is_about = |placed: &&PlacedChange| match &problem.location {
        Location::Tiers => matches!(location_of(&placed.change), Location::Tier(_)),
        location => location_of(&placed.change) == *location,
    };
    changes.iter().rev().find(is_about)
}

/// The finding for a problem: at the setting that caused it, else at the name
/// of what it is about, else at the start of the text.
pub(super) fn describe(problem: &Caused, placed: Option<&PlacedChange>) -> Finding {
    let Some(placed) = placed else {
        return Finding::new(0..0, problem.to_string());
    };
    let setting = field_of(&problem.problem).and_then(|field| {
        let name = setting_name(field);
        placed.settings.iter().find(|(setting, _)| setting == name)
    });
    match setting {
        Some((_, range)) => Finding::new(range.clone(), problem.problem.to_string()),
        None => {
            let kind = kind_name(&problem.location);
            let message = format!("{kind} {}", problem.problem);
            Finding::new(placed.name.clone(), message)
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

/// The setting that writes a field.
fn setting_name(field: Field) -> &'static str {
    match field {
        Field::TargetImbalance => "target_imbalance",
        Field::ChurnPrice => "churn_price",
        Field::MaxChurn => "max_churn_percent_per_minute",
        Field::MaxConnections => "connections",
        other => other.name(),
    }
}
