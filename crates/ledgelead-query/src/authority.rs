//! Permissions of operators, by role and team.

use crate::lower::Plan;
use ledgelead_types::ServiceId;
use ledgelead_types::administration::{ConfigurationChange, GroupOperation};
use ledgelead_types::configuration::*;
use std::fmt::{self, Display, Formatter};

/// Why an operator lacks a permission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Forbidden {
    /// The operator's role is too low.
    Role {
        /// The operator's role.
        has: OperatorRole,
        /// The lowest role that is permitted.
        needs: OperatorRole,
    },
    /// The target belongs to a service of another team.
    Team {
        /// The service.
        service: String,
    },
    /// The change affects all teams, and the operator is restricted to some.
    AllTeams,
}

impl Display for Forbidden {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        use crate::evaluate::settings::role_name;
        match self {
            Forbidden::Role { has, needs } => write!(
                formatter,
                "needs the role {}, has {}",
                role_name(*needs),
                role_name(*has)
            ),
            Forbidden::Team { service } => {
                write!(formatter, "service {service} is of another team")
            }
            Forbidden::AllTeams => formatter
                .write_str("concerns all teams; needs an operator who is not bound to some"),
        }
    }
}

/// Checks whether an operator may run queries, including `explain`.
///
/// # Errors
/// Currently never: the lowest role may read everything.
pub fn may_query(operator: &OperatorConfiguration) -> Result<(), Forbidden> {
    require_role(operator, OperatorRole::Read)
}

/// Checks whether an operator may run commands at all; [`may_command`] checks a specific plan.
///
/// # Errors
/// If the role permits queries only.
pub fn may_run_commands(operator: &OperatorConfiguration) -> Result<(), Forbidden> {
    require_role(operator, OperatorRole::Operate)
}

/// Checks whether an operator may execute a plan.
///
/// # Errors
/// If the role is too low, if the plan affects a service of another team, or if it affects all
/// teams and the operator is restricted to some.
pub fn may_command(
    operator: &OperatorConfiguration,
    plan: &Plan,
    configuration: &Configuration,
) -> Result<(), Forbidden> {
    match plan {
        Plan::Configure(changes) => {
            require_role(operator, OperatorRole::Administer)?;
            let services = Services::with(configuration, changes);
            for change in changes {
                may_change(operator, change, configuration, &services)?;
            }
        }
        Plan::Operate(operations) => {
            require_role(operator, OperatorRole::Operate)?;
            let services = Services::with(configuration, &[]);
            for planned in operations {
                let service = service_of_operation(configuration, planned.operation);
                let service = service.unwrap_or(planned.group.service);
                require_team(operator, service, &services)?;
            }
        }
    }
    Ok(())
}

/// Service of the operation's server, which takes precedence over the group's service.
fn service_of_operation(
    configuration: &Configuration,
    operation: GroupOperation,
) -> Option<ServiceId> {
    let server = match operation {
        GroupOperation::Drain(server)
        | GroupOperation::Activate(server)
        | GroupOperation::Retire(server)
        | GroupOperation::MoveSlice { to: server, .. } => server,
        GroupOperation::SplitSlice { .. } | GroupOperation::Isolate { .. } => return None,
    };
    configuration.server(server).map(|server| server.service)
}

fn require_role(operator: &OperatorConfiguration, needs: OperatorRole) -> Result<(), Forbidden> {
    let has = operator.role;
    if has < needs {
        return Err(Forbidden::Role { has, needs });
    }
    Ok(())
}

/// Services before and after a plan. A service that changes its team must belong to the
/// operator's teams both before and after.
struct Services<'a>(Vec<&'a ServiceConfiguration>);

impl<'a> Services<'a> {
    fn with(configuration: &'a Configuration, changes: &'a [ConfigurationChange]) -> Services<'a> {
        let changed = changes.iter().filter_map(|change| match change {
            ConfigurationChange::CreateService(service)
            | ConfigurationChange::AlterService(service) => Some(service),
            _ => None,
        });
        Services(configuration.services.iter().chain(changed).collect())
    }
}

fn require_team(
    operator: &OperatorConfiguration,
    id: ServiceId,
    services: &Services<'_>,
) -> Result<(), Forbidden> {
    if operator.teams.is_empty() {
        return Ok(());
    }
    let mut affected = services.0.iter().filter(|service| service.id == id);
    match affected.find(|service| !operator.teams.contains(&service.team)) {
        Some(service) => Err(Forbidden::Team {
            service: service.name.0.clone(),
        }),
        None => Ok(()),
    }
}

fn may_change(
    operator: &OperatorConfiguration,
    change: &ConfigurationChange,
    configuration: &Configuration,
    services: &Services<'_>,
) -> Result<(), Forbidden> {
    match change {
        ConfigurationChange::CreateService(service)
        | ConfigurationChange::AlterService(service) => {
            require_team(operator, service.id, services)
        }
        ConfigurationChange::RemoveService(id) => require_team(operator, *id, services),
        ConfigurationChange::AddServer(server) => require_team(operator, server.service, services),
        ConfigurationChange::RemoveServer(id) => match configuration.server(*id) {
            Some(server) => require_team(operator, server.service, services),
            None => Ok(()),
        },
        _ if operator.teams.is_empty() => Ok(()),
        _ => Err(Forbidden::AllTeams),
    }
}
