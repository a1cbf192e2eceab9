//! Operators' operations: checked against the state and applied once.

use super::{AppliedOperation, Decision, GroupState, MAX_APPLIED_OPERATIONS, SlicePhase};
use crate::command::DrainCause;
use ledgelead_types::administration::{CommandRejection, CommandResult, GroupOperation};
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::*;

/// Why an operation was rejected.
type RejectionReason = String;

impl GroupState {
    /// Applies an operation, unless one was already applied under this identifier.
    pub(super) fn operate(
        &mut self,
        command_id: &Text,
        operation: GroupOperation,
        token: FencingToken,
        decisions: &mut Vec<Decision>,
    ) -> CommandResult {
        if let Some(earlier) = self.result_of(command_id) {
            return repeated(earlier.clone());
        }
        let result = match self.apply_operation(operation, token, decisions) {
            Ok(()) => CommandResult::Operated { repeated: false },
            Err(reason) => {
                CommandResult::Rejected(CommandRejection::Invalid(vec![Text(reason)].into()))
            }
        };
        self.record_result(command_id, &result);
        result
    }

    fn result_of(&self, command_id: &Text) -> Option<&CommandResult> {
        self.operations
            .iter()
            .find(|applied| applied.command_id == *command_id)
            .map(|applied| &applied.result)
    }

    fn record_result(&mut self, command_id: &Text, result: &CommandResult) {
        if self.operations.len() >= MAX_APPLIED_OPERATIONS {
            self.operations.remove(0);
        }
        self.operations.push(AppliedOperation {
            command_id: command_id.clone(),
            result: result.clone(),
        });
    }

    fn apply_operation(
        &mut self,
        operation: GroupOperation,
        token: FencingToken,
        decisions: &mut Vec<Decision>,
    ) -> Result<(), RejectionReason> {
        match operation {
            GroupOperation::Drain(server) => {
                self.check_not_retired(server)?;
                self.drain(server, DrainCause::Operator, decisions);
            }
            GroupOperation::Activate(server) => {
                self.check_not_retired(server)?;
                self.activate(server, decisions);
            }
            GroupOperation::Retire(server) => {
                self.check_known(server)?;
                self.drain(server, DrainCause::Retirement, decisions);
            }
            GroupOperation::MoveSlice { position, to } => {
                self.move_slice(position, to, token, decisions)?;
            }
            GroupOperation::SplitSlice { at } => self.split_at(at, token)?,
            GroupOperation::Isolate { range } => self.isolate(range, token)?,
        }
        Ok(())
    }

    fn check_known(&self, server: ServerId) -> Result<(), RejectionReason> {
        if self.servers.contains_key(&server) {
            Ok(())
        } else {
            Err(format!("{server} is not in this group"))
        }
    }

    fn check_not_retired(&self, server: ServerId) -> Result<(), RejectionReason> {
        self.check_known(server)?;
        if self.servers[&server].status == ServerStatus::Retired {
            return Err(format!("{server} is retired"));
        }
        Ok(())
    }

    fn move_slice(
        &mut self,
        position: Position,
        to: ServerId,
        token: FencingToken,
        decisions: &mut Vec<Decision>,
    ) -> Result<(), RejectionReason> {
        self.check_known(to)?;
        if !self.servers[&to].accepts() {
            return Err(format!("{to} takes no slices at present"));
        }
        let slice = self.slices.at(position);
        let slice = slice.ok_or("the position is in no slice of this group")?;
        let range = slice.range;
        match slice.phase {
            SlicePhase::Held { owner } if owner == to => {}
            SlicePhase::Held { owner } => self.release(range, owner, to, token),
            SlicePhase::Free => self.assign(range, to, token, false, decisions),
            SlicePhase::Releasing { .. } => return Err("the slice is being moved".to_owned()),
        }
        Ok(())
    }

    /// Splits a slice at `at`; not an error if a slice already starts there.
    pub(super) fn split_at(
        &mut self,
        at: Position,
        token: FencingToken,
    ) -> Result<(), RejectionReason> {
        let slice = self.slices.at(at);
        let slice = slice.ok_or("the position is in no slice of this group")?;
        let holder = slice.phase.holder();
        if matches!(slice.phase, SlicePhase::Releasing { .. }) {
            return Err("the slice is being moved".to_owned());
        }
        if self.slices.split(at) {
            self.mark_changed(holder, token);
        }
        Ok(())
    }

    fn isolate(
        &mut self,
        range: PositionRange,
        token: FencingToken,
    ) -> Result<(), RejectionReason> {
        if range.first > range.last {
            return Err("the range ends before it starts".to_owned());
        }
        self.split_at(range.first, token)?;
        match range.last.0.checked_add(1).map(Position) {
            Some(next) if self.slices.at(next).is_some() => self.split_at(next, token),
            _ => Ok(()),
        }
    }
}

fn repeated(result: CommandResult) -> CommandResult {
    match result {
        CommandResult::Operated { .. } => CommandResult::Operated { repeated: true },
        other => other,
    }
}
