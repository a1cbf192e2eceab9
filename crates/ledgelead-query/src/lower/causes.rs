//! Where in the text a problem of the changed configuration was caused.

use super::PlacedChange;
use crate::finding::Finding;
use ledgelead_configuration::{Field, Finding as Caused, Place, Problem};
use ledgelead_types::administration::ConfigurationChange;

/// The change that a problem is about: the last one of the same part, or of
/// the same kind.
pub(super) fn cause<'a>(problem: &Caused, changes: &'a [PlacedChange]) -> Option<&'a PlacedChange> {
    let is_about = |placed: &&PlacedChange| match &problem.place {
        Place::Tiers => matches!(place_of(&placed.change), Place::Tier(_)),
        place => place_of(&placed.change) == *place,
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
            let kind = kind_name(&problem.place);
            let message = format!("{kind} {}", problem.problem);
            Finding::new(placed.name.clone(), message)
        }
    }
}

fn place_of(change: &ConfigurationChange) -> Place {
    match change {
        ConfigurationChange::CreateZone(zone) => Place::Zone(zone.id),
        ConfigurationChange::RemoveZone(id) => Place::Zone(*id),
        ConfigurationChange::CreateService(service)
        | ConfigurationChange::AlterService(service) => Place::Service(service.id),
        ConfigurationChange::RemoveService(id) => Place::Service(*id),
        ConfigurationChange::AddServer(server) => Place::Server(server.id),
        ConfigurationChange::RemoveServer(id) => Place::Server(*id),
        ConfigurationChange::CreateTier(tier) | ConfigurationChange::AlterTier(tier) => {
            Place::Tier(tier.id)
        }
        ConfigurationChange::RemoveTier(id) => Place::Tier(*id),
        ConfigurationChange::PutCaller(caller) => Place::Caller(caller.id),
        ConfigurationChange::RemoveCaller(id) => Place::Caller(*id),
        ConfigurationChange::PutOperator(operator) => Place::Operator(operator.name.clone()),
        ConfigurationChange::RemoveOperator(name) => Place::Operator(name.clone()),
    }
}

fn kind_name(place: &Place) -> &'static str {
    match place {
        Place::Zone(_) => "zone:",
        Place::Service(_) => "service:",
        Place::Server(_) => "server:",
        Place::Tier(_) => "tier:",
        Place::Tiers => "tiers:",
        Place::Caller(_) => "caller:",
        Place::Operator(_) => "operator:",
        Place::Text { .. } | Place::Command => "command:",
    }
}

fn field_of(problem: &Problem) -> Option<Field> {
    match problem {
        Problem::Duplicate(field)
        | Problem::Unchangeable(field)
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
