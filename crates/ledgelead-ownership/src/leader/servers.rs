//! Registration, admission, loss, drain and retirement of servers.

use super::{LatestReport, Leader, LeaderContext};
use crate::command::{DrainCause, GroupCommand, ServerDefinition};
use crate::state::Server;
use ledgelead_types::configuration::ServerConfiguration;
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::*;
use std::collections::BTreeSet;

impl Leader {
    /// Registers and removes servers to match the configuration. They are compared again
    /// only when the configuration or the group's servers and slices have changed.
    pub(super) fn register_servers(
        &mut self,
        context: &LeaderContext,
        commands: &mut Vec<GroupCommand>,
    ) {
        let Some(configuration) = context.configuration else {
            return;
        };
        if context.service().is_none() || self.registered == Some(configuration.version) {
            return;
        }
        let before = commands.len();
        for configured in configuration.servers_of(context.group) {
            let definition = definition_of(configured);
            let known = context.state.servers.get(&configured.id);
            if known.is_none_or(|server| server.definition != definition) {
                commands.push(GroupCommand::PutServer(definition));
            }
        }
        let configured: BTreeSet<ServerId> = configuration.servers.iter().map(|s| s.id).collect();
        for (id, server) in &context.state.servers {
            if !configured.contains(id) {
                unregister(context, *id, server, commands);
            }
        }
        // A proposal may be rejected, so differences are checked again in the next pass.
        if commands.len() == before {
            self.registered = Some(configuration.version);
        }
    }

    /// Acts on the dispatchers' reports.
    pub(super) fn check_servers(
        &mut self,
        context: &LeaderContext,
        delegated_authority_until: &dyn Fn(Member) -> Time,
        commands: &mut Vec<GroupCommand>,
    ) {
        let all_reports = std::mem::take(&mut self.latest_reports);
        for (&id, latest) in &all_reports {
            let Some(server) = context.state.servers.get(&id) else {
                continue;
            };
            let command =
                self.admission_or_loss(context, delegated_authority_until, id, server, latest);
            commands.extend(command);
            complete_releases(context, latest, commands);
            if latest.status.leaving && server.drain.is_none() {
                commands.push(GroupCommand::Drain {
                    server: id,
                    cause: DrainCause::Server,
                });
            }
        }
        self.latest_reports = all_reports;
        for (id, server) in &context.state.servers {
            let emptied = context.state.slice_count(*id) == 0;
            let retiring = server.drain == Some(DrainCause::Retirement);
            if retiring && emptied && server.status != ServerStatus::Retired {
                commands.push(GroupCommand::Retire(*id));
            }
        }
    }

    /// Admits a responsive server, or marks an unresponsive one as lost once its leases
    /// have ended.
    fn admission_or_loss(
        &mut self,
        context: &LeaderContext,
        delegated_authority_until: &dyn Fn(Member) -> Time,
        id: ServerId,
        server: &Server,
        latest: &LatestReport,
    ) -> Option<GroupCommand> {
        if server.status == ServerStatus::Retired {
            return None;
        }
        let status = &latest.status;
        let lapsed_at = status.lapsed_at.filter(|at| *at >= server.admitted);
        let restarted = server.run.is_some() && server.run != status.run;
        let lost = server.status == ServerStatus::Lost;
        if let Some(run) = status.run.filter(|_| status.answering) {
            let admissible = server.run.is_none() || lost || lapsed_at.is_some();
            if !admissible
                || (restarted && !self.leases_ended(context, delegated_authority_until, id))
            {
                return None;
            }
            return Some(GroupCommand::Admit { server: id, run });
        }
        let lapsed_at = lapsed_at?;
        if lost || !self.leases_ended(context, delegated_authority_until, id) {
            return None;
        }
        Some(GroupCommand::Lose {
            server: id,
            lapsed_at,
        })
    }

    fn leases_ended(
        &mut self,
        context: &LeaderContext,
        delegated_authority_until: &dyn Fn(Member) -> Time,
        id: ServerId,
    ) -> bool {
        let owns_nothing = context.state.slice_count(id) == 0;
        if owns_nothing || !self.lease_wait {
            return true;
        }
        let ended = self
            .leases
            .all_ended(context.now, id, delegated_authority_until);
        self.awaits_deadline |= !ended;
        ended
    }
}

/// Completes planned moves whose old owner has released the slice.
fn complete_releases(
    context: &LeaderContext,
    latest: &LatestReport,
    commands: &mut Vec<GroupCommand>,
) {
    for claim in &latest.status.released {
        let slice = context.state.slices.exact(claim.range);
        let pending = slice.is_some_and(|slice| {
            let releasing = matches!(slice.phase, crate::state::SlicePhase::Releasing { .. });
            releasing && slice.token == claim.token
        });
        if pending {
            commands.push(GroupCommand::Released {
                range: claim.range,
                token: claim.token,
            });
        }
    }
}

/// A server that is no longer configured is drained, retired and removed.
fn unregister(
    context: &LeaderContext,
    id: ServerId,
    server: &Server,
    commands: &mut Vec<GroupCommand>,
) {
    let owns_nothing = context.state.slice_count(id) == 0;
    let gone = matches!(server.status, ServerStatus::Retired | ServerStatus::Lost);
    if owns_nothing && (gone || server.run.is_none()) {
        commands.push(GroupCommand::RemoveServer(id));
    } else if server.drain != Some(DrainCause::Retirement) {
        commands.push(GroupCommand::Drain {
            server: id,
            cause: DrainCause::Retirement,
        });
    }
}

fn definition_of(configured: &ServerConfiguration) -> ServerDefinition {
    ServerDefinition {
        server: configured.id,
        zone: configured.zone,
        address: configured.address.clone(),
        slots: configured.slots,
        max_connections: configured.max_connections,
    }
}
