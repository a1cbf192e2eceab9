//! What an operator may do, by role and team.

use crate::lower::Plan;
use ledgelead_types::ServiceId;
use ledgelead_types::administration::{ConfigurationChange, GroupOperation};
use ledgelead_types::configuration::*;
use std::fmt::{self, Display, Formatter};

/// Why an operator may not do something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Forbidden {
    /// The operator's role is too low.
    Role {
        /// The operator's role.
        has: OperatorRole,
        /// The least role that may.
        needs: OperatorRole,
    },
    /// It concerns a service of another team.
    Team {
        /// The service.
        service: String,
    },
    /// It concerns all teams, and the operator is of some only.
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

/// Whether an operator may ask queries, `explain` included.
///
/// # Errors
/// Never at present: the lowest role may read all.
pub fn may_query(operator: &OperatorConfiguration) -> Result<(), Forbidden> {
    need_role(operator, OperatorRole::Read)
}

/// Whether an operator may give commands at all; whether a certain one, tells
/// [`may_command`].
///
/// # Errors
/// When the role allows queries only.
pub fn may_give_commands(operator: &OperatorConfiguration) -> Result<(), Forbidden> {
    need_role(operator, OperatorRole::Operate)
}

/// Whether an operator may have a plan carried out.
///
/// # Errors
/// Why not.
pub fn may_command(
    operator: &OperatorConfiguration,
    plan: &Plan,
    configuration: &Configuration,
) -> Result<(), Forbidden> {
    match plan {
        Plan::Configure(changes) => {
            need_role(operator, OperatorRole::Administer)?;
            let services = Services::with(configuration, changes);
            for change in changes {
                may_change(operator, change, configuration, &services)?;
            }
        }
        Plan::Operate(operations) => {
            need_role(operator, OperatorRole::Operate)?;
            let services = Services::with(configuration, &[]);
            for planned in operations {
                let service = served_by(configuration, planned.operation);
                let service = service.unwrap_or(planned.group.service);
                need_team(operator, service, &services)?;
            }
        }
    }
    Ok(())
}

/// The service of an operation's server, which decides over the group's.
fn served_by(configuration: &Configuration, operation: GroupOperation) -> Option<ServiceId> {
    let server = match operation {
        GroupOperation::Drain(server)
        | GroupOperation::Activate(server)
        | GroupOperation::Retire(server)
        | GroupOperation::MoveSlice { to: server, .. } => server,
        GroupOperation::SplitSlice { .. } | GroupOperation::Isolate { .. } => return None,
    };
    configuration.server(server).map(|server| server.service)
}

fn need_role(operator: &OperatorConfiguration, needs: OperatorRole) -> Result<(), Forbidden> {
    let has = operator.role;
    if has < needs {
        return Err(Forbidden::Role { has, needs });
    }
    Ok(())
}

/// Services before and after a plan; a service that changes its team counts
/// for both.
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

fn need_team(
    operator: &OperatorConfiguration,
    id: ServiceId,
    services: &Services<'_>,
) -> Result<(), Forbidden> {
    if operator.teams.is_empty() {
        return Ok(());
    }
    let mut concerned = services.0.iter().filter(|service| service.id == id);
    match concerned.find(|service| !operator.teams.contains(&service.team)) {
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
        | ConfigurationChange::AlterService(service) => need_team(operator, service.id, services),
        ConfigurationChange::RemoveService(id) => need_team(operator, *id, services),
        ConfigurationChange::AddServer(server) => need_team(operator, server.service, services),
        ConfigurationChange::RemoveServer(id) => match configuration.server(*id) {
            Some(server) => need_team(operator, server.service, services),
            None => Ok(()),
        },
        _ if operator.teams.is_empty() => Ok(()),
        _ => Err(Forbidden::AllTeams),
    }
}
