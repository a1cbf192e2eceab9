//! Commands on idempotency records that the leader gathers into one entry of
//! the log. An entry costs each replica two messages, however many commands
//! it holds.

use crate::command::GroupCommand;
use crate::requests::Origin;
use ledgelead_types::{Span, Time};

/// How long the first command waits for others.
const BATCH_DELAY: Span = Span::from_millis(2);
/// Most commands in one entry.
const MAXIMUM_COMMANDS: usize = 256;

/// Commands gathered, each with its origin.
#[derive(Default)]
pub struct RecordBatch {
    commands: Vec<GroupCommand>,
    origins: Vec<Origin>,
    due: Option<Time>,
}

impl RecordBatch {
    /// Adds a command behind those gathered before.
    pub fn add(&mut self, now: Time, origin: Origin, command: GroupCommand) {
        self.commands.push(command);
        self.origins.push(origin);
        let due = *self.due.get_or_insert(now + BATCH_DELAY);
        if self.commands.len() >= MAXIMUM_COMMANDS {
            self.due = Some(due.min(now));
        }
    }

    /// When the commands are to be proposed.
    pub fn due_at(&self) -> Option<Time> {
        self.due
    }

    /// Takes the commands and their origins out, in order, when they are due.
    pub fn take_due(&mut self, now: Time) -> Option<(Vec<GroupCommand>, Vec<Origin>)> {
        self.due.take_if(|due| *due <= now)?;
        let commands = std::mem::take(&mut self.commands);
        let origins = std::mem::take(&mut self.origins);
        Some((commands, origins))
    }
}
