//! Applying commands.

use super::{Decision, GroupState, Server, Slice, SlicePhase};
use crate::command::{DrainCause, GroupCommand, ServerDefinition};
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::*;

impl GroupState {
    /// Applies one entry of the log and returns its decisions. The result depends only on
    /// the state and the arguments.
    pub fn apply(
        &mut self,
        revision: Revision,
        term: Term,
        commands: &[GroupCommand],
    ) -> Vec<Decision> {
        self.applied = revision;
        let token = FencingToken {
            epoch: self.epoch,
            term,
            revision,
        };
        let mut decisions = Vec::new();
        for command in commands {
            self.apply_one(token, command, &mut decisions);
        }
        decisions
    }

    fn apply_one(
        &mut self,
        token: FencingToken,
        command: &GroupCommand,
        decisions: &mut Vec<Decision>,
    ) {
        match command {
            GroupCommand::StartLeadership(_) => self.term = token.term,
            GroupCommand::PutServer(definition) => self.put_server(definition),
            GroupCommand::RemoveServer(server) => self.remove_server(*server),
            GroupCommand::CreateSlices { space, count } => self.create_slices(*space, *count),
            GroupCommand::SetDispatcher { server, dispatcher } => {
                if let Some(server) = self.servers.get_mut(server) {
                    server.dispatcher = *dispatcher;
                }
            }
            GroupCommand::Admit { server, run } => self.admit(*server, *run, token, decisions),
            GroupCommand::Lose { server, lapsed_at } => {
                self.lose(*server, *lapsed_at, token, decisions);
            }
            GroupCommand::Drain { server, cause } => self.drain(*server, *cause, decisions),
            GroupCommand::Retire(server) => self.retire(*server, decisions),
            GroupCommand::Assign { range, to } => self.assign_free(*range, *to, token, decisions),
            GroupCommand::Release { range, from, to } => self.release(*range, *from, *to, token),
            GroupCommand::Released {
                range,
                token: held_under,
            } => self.released(*range, *held_under, token, decisions),
            GroupCommand::Split { at } => {
                // A split of a slice that is being moved has no effect.
                let _ = self.split_at(*at, token);
            }
            GroupCommand::Merge { first, second } => self.merge(*first, *second, token),
            GroupCommand::Recover { space, claims } => self.recover(*space, claims, token),
            GroupCommand::AssumeRecordsComplete => self.records_may_be_missing = false,
            GroupCommand::BeginIdempotencyRecord { owner, key } => {
                let verdict = self.begin_idempotency_record(*owner, *key, token.revision);
                decisions.push(Decision::Idempotency {
                    owner: *owner,
                    key: *key,
                    verdict,
                });
            }
            GroupCommand::EndIdempotencyRecord { owner, key, state } => {
                self.records.end(*owner, *key, *state);
            }
            GroupCommand::ExpireRecords { through } => self.records.expire(*through),
            GroupCommand::Operate {
                command_id,
                operation,
            } => {
                let result = self.operate(command_id, *operation, token, decisions);
                decisions.push(Decision::Operated(result));
            }
        }
    }

    fn put_server(&mut self, definition: &ServerDefinition) {
        if let Some(server) = self.servers.get_mut(&definition.server) {
            server.definition = definition.clone();
            return;
        }
        let server = Server {
            definition: definition.clone(),
            status: ServerStatus::Active,
            drain: None,
            dispatcher: None,
            run: None,
            admitted: Revision(0),
            set_changed: FencingToken::default(),
        };
        self.servers.insert(definition.server, server);
    }

    fn remove_server(&mut self, server: ServerId) {
        if self.slice_count(server) == 0 {
            self.servers.remove(&server);
        }
    }

    fn create_slices(&mut self, space: PositionRange, count: u32) {
        if !self.slices.is_empty() {
            return;
        }
        let count = u64::from(count.max(1));
        let parts = (0..count).map(|index| Slice {
            range: space.part(index, count),
            phase: SlicePhase::Free,
            token: FencingToken::default(),
        });
        self.slices = parts.collect();
    }

    fn admit(
        &mut self,
        id: ServerId,
        run: u64,
        token: FencingToken,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let restarted = server.run.is_some_and(|former| former != run);
        server.run = Some(run);
        server.admitted = token.revision;
        if server.status == ServerStatus::Lost {
            let draining = server
                .drain
                .is_some_and(|cause| cause != DrainCause::Server);
            let status = if draining {
                ServerStatus::Draining
            } else {
                ServerStatus::Active
            };
            self.set_status(id, status, decisions);
        }
        if restarted {
            self.end_drain_by_server(id, decisions);
            self.free_all(id, token, true, decisions);
        }
    }

    /// A restarted server no longer wants to leave.
    fn end_drain_by_server(&mut self, id: ServerId, decisions: &mut Vec<Decision>) {
        if self.servers[&id].drain == Some(DrainCause::Server) {
            self.activate(id, decisions);
        }
    }

    fn lose(
        &mut self,
        id: ServerId,
        lapsed_at: Revision,
        token: FencingToken,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(server) = self.servers.get(&id) else {
            return;
        };
        if server.admitted > lapsed_at || server.status == ServerStatus::Retired {
            return;
        }
        self.set_status(id, ServerStatus::Lost, decisions);
        self.free_all(id, token, true, decisions);
    }

    /// Starts a drain. A lost server is only marked: the drain takes effect when it is
    /// admitted again, unless the server itself had requested it.
    pub(super) fn drain(&mut self, id: ServerId, cause: DrainCause, decisions: &mut Vec<Decision>) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if server.status == ServerStatus::Retired {
            return;
        }
        server.drain = Some(cause);
        if server.status == ServerStatus::Active {
            self.set_status(id, ServerStatus::Draining, decisions);
        }
    }

    /// Cancels a drain; a lost server remains lost until it responds.
    pub(super) fn activate(&mut self, id: ServerId, decisions: &mut Vec<Decision>) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.drain = None;
        if server.status == ServerStatus::Draining {
            self.set_status(id, ServerStatus::Active, decisions);
        }
    }

    fn retire(&mut self, id: ServerId, decisions: &mut Vec<Decision>) {
        let known = self.servers.contains_key(&id);
        if known && self.slice_count(id) == 0 {
            self.set_status(id, ServerStatus::Retired, decisions);
        }
    }

    fn set_status(&mut self, id: ServerId, status: ServerStatus, decisions: &mut Vec<Decision>) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if server.status == status {
            return;
        }
        server.status = status;
        decisions.push(Decision::StatusChanged { server: id, status });
    }

    /// Takes all slices from a server that no longer holds a lease. A slice that it was
    /// releasing goes to its next owner, because the move was acknowledged.
    fn free_all(
        &mut self,
        id: ServerId,
        token: FencingToken,
        after_loss: bool,
        decisions: &mut Vec<Decision>,
    ) {
        let held = |slice: &&Slice| slice.phase.holder() == Some(id);
        let held: Vec<Slice> = self.slices.of_server(id).filter(held).cloned().collect();
        for slice in held {
            if let Some(next) = self.next_owner(&slice) {
                self.assign(slice.range, next, token, after_loss, decisions);
                continue;
            }
            self.slices.set_phase(slice.range, SlicePhase::Free);
            decisions.push(Decision::OwnerChanged {
                range: slice.range,
                from: Some(id),
                to: None,
                token: slice.token,
                after_loss,
            });
        }
        self.mark_changed(Some(id), token);
    }

    /// The next owner of a slice that is being moved, if it may get the slice now.
    fn next_owner(&self, slice: &Slice) -> Option<ServerId> {
        let accepts = |next: &ServerId| self.servers.get(next).is_some_and(Server::accepts);
        let next = slice.phase.next_owner().filter(accepts);
        next.filter(|_| !self.recovering)
    }

    fn assign_free(
        &mut self,
        range: PositionRange,
        to: ServerId,
        token: FencingToken,
        decisions: &mut Vec<Decision>,
    ) {
        let free = self
            .slices
            .exact(range)
            .is_some_and(|slice| slice.phase == SlicePhase::Free);
        let accepts = self.servers.get(&to).is_some_and(Server::accepts);
        if free && accepts && !self.recovering {
            self.assign(range, to, token, false, decisions);
        }
    }

    /// Assigns a slice to a server under a new token.
    pub(super) fn assign(
        &mut self,
        range: PositionRange,
        to: ServerId,
        token: FencingToken,
        after_loss: bool,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(slice) = self.slices.exact(range) else {
            return;
        };
        let from = slice.phase.holder();
        self.slices.assign(range, to, token);
        decisions.push(Decision::OwnerChanged {
            range,
            from,
            to: Some(to),
            token,
            after_loss,
        });
        self.mark_changed(Some(to), token);
    }

    /// Starts a planned move.
    pub(super) fn release(
        &mut self,
        range: PositionRange,
        from: ServerId,
        to: ServerId,
        token: FencingToken,
    ) {
        let accepts = self.servers.get(&to).is_some_and(Server::accepts);
        let Some(slice) = self.slices.exact(range) else {
            return;
        };
        let held = slice.phase == SlicePhase::Held { owner: from };
        if held && accepts && from != to {
            self.slices
                .set_phase(range, SlicePhase::Releasing { from, to });
            self.mark_changed(Some(from), token);
        }
    }

    /// Completes a planned move. If the next owner no longer accepts slices, the slice has
    /// no owner.
    fn released(
        &mut self,
        range: PositionRange,
        held_under: FencingToken,
        token: FencingToken,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(slice) = self.slices.exact(range) else {
            return;
        };
        let SlicePhase::Releasing { to, .. } = slice.phase else {
            return;
        };
        if slice.token != held_under {
            return;
        }
        if self.servers.get(&to).is_some_and(Server::accepts) {
            self.assign(range, to, token, false, decisions);
        } else {
            self.slices.set_phase(range, SlicePhase::Free);
        }
    }

    fn merge(&mut self, first: PositionRange, second: PositionRange, token: FencingToken) {
        let holder = self.slices.exact(first).map(|slice| slice.phase);
        let Some(SlicePhase::Held { owner }) = holder else {
            return;
        };
        if self.slices.merge(first, second) {
            self.mark_changed(Some(owner), token);
        }
    }

    /// Records that a server's slice set changed.
    pub(super) fn mark_changed(&mut self, server: Option<ServerId>, token: FencingToken) {
        let server = server.and_then(|id| self.servers.get_mut(&id));
        if let Some(server) = server {
            server.set_changed = token;
        }
    }
}
