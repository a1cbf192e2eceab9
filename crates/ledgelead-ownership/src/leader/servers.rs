//! Registration, admission, loss, drain and retirement of servers.

use super::{Heard, Leader, Turn};
use crate::command::{DrainCause, GroupCommand, ServerDefinition};
use crate::state::Server;
use ledgelead_types::configuration::ServerConfiguration;
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::*;
use std::collections::BTreeSet;

impl Leader {
    /// Follows the configuration. It is compared again only when it or the
    /// group's servers and slices have changed.
    pub(super) fn register_servers(&mut self, turn: &Turn, commands: &mut Vec<GroupCommand>) {
        let Some(configuration) = turn.configuration else {
            return;
        };
        if turn.service().is_none() || self.registered == Some(configuration.version) {
            return;
        }
        let before = commands.len();
        for configured in configuration.servers_of(turn.group) {
            let definition = definition_of(configured);
            let known = turn.state.servers.get(&configured.id);
            if known.is_none_or(|server| server.definition != definition) {
                commands.push(GroupCommand::PutServer(definition));
            }
        }
        let configured: BTreeSet<ServerId> = configuration.servers.iter().map(|s| s.id).collect();
        for (id, server) in &turn.state.servers {
            if !configured.contains(id) {
                unregister(turn, *id, server, commands);
            }
        }
        // A proposal may be refused: what was found is looked for again.
        if commands.len() == before {
            self.registered = Some(configuration.version);
        }
    }

    /// Acts on what dispatchers report.
    pub(super) fn judge_servers(
        &mut self,
        turn: &Turn,
        delegated_authority_until: &dyn Fn(Member) -> Time,
        commands: &mut Vec<GroupCommand>,
    ) {
        let all_heard = std::mem::take(&mut self.heard);
        for (&id, heard) in &all_heard {
            let Some(server) = turn.state.servers.get(&id) else {
                continue;
            };
            let command = self.judge_contact(turn, delegated_authority_until, id, server, heard);
            commands.extend(command);
            note_released(turn, heard, commands);
            if heard.news.leaving && server.drain.is_none() {
                commands.push(GroupCommand::Drain {
                    server: id,
                    cause: DrainCause::Server,
                });
            }
        }
        self.heard = all_heard;
        for (id, server) in &turn.state.servers {
            let emptied = turn.state.slice_count(*id) == 0;
            let retiring = server.drain == Some(DrainCause::Retirement);
            if retiring && emptied && server.status != ServerStatus::Retired {
                commands.push(GroupCommand::Retire(*id));
            }
        }
    }

    /// Admits a server that answers, or takes a silent one as lost once its
    /// leases have ended.
    fn judge_contact(
        &mut self,
        turn: &Turn,
        delegated_authority_until: &dyn Fn(Member) -> Time,
        id: ServerId,
        server: &Server,
        heard: &Heard,
    ) -> Option<GroupCommand> {
        if server.status == ServerStatus::Retired {
            return None;
        }
        let news = &heard.news;
        let lapsed_at = news.lapsed_at.filter(|at| *at >= server.admitted);
        let restarted = server.run.is_some() && server.run != news.run;
        let lost = server.status == ServerStatus::Lost;
        if let Some(run) = news.run.filter(|_| news.answering) {
            let admissible = server.run.is_none() || lost || lapsed_at.is_some();
            if !admissible || (restarted && !self.leases_ended(turn, delegated_authority_until, id))
            {
                return None;
            }
            return Some(GroupCommand::Admit { server: id, run });
        }
        let lapsed_at = lapsed_at?;
        if lost || !self.leases_ended(turn, delegated_authority_until, id) {
            return None;
        }
        Some(GroupCommand::Lose {
            server: id,
            lapsed_at,
        })
    }

    fn leases_ended(
        &mut self,
        turn: &Turn,
        delegated_authority_until: &dyn Fn(Member) -> Time,
        id: ServerId,
    ) -> bool {
        let owns_nothing = turn.state.slice_count(id) == 0;
        if owns_nothing || !self.lease_wait {
            return true;
        }
        let ended = self.leases.ended(turn.now, id, delegated_authority_until);
        self.waiting |= !ended;
        ended
    }
}

/// A planned move goes on when its old owner has given the slice up.
fn note_released(turn: &Turn, heard: &Heard, commands: &mut Vec<GroupCommand>) {
    for claim in &heard.news.released {
        let slice = turn.state.slices.exact(claim.range);
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

/// A server that is no longer configured is drained, retired and forgotten.
fn unregister(turn: &Turn, id: ServerId, server: &Server, commands: &mut Vec<GroupCommand>) {
    let owns_nothing = turn.state.slice_count(id) == 0;
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
