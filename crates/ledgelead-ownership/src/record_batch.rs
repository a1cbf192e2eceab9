//! Batching of commands on idempotency records into one log entry by the leader. An entry
//! costs two messages for each replica, however many commands it contains.

use crate::command::GroupCommand;
use crate::requests::Origin;
use ledgelead_types::{Span, Time};

/// How long the first command of a batch waits for others.
const BATCH_DELAY: Span = Span::from_millis(2);
/// Maximum number of commands in one entry.
const MAXIMUM_COMMANDS: usize = 256;

/// The batched commands, each with its origin.
#[derive(Default)]
pub struct RecordBatch {
    commands: Vec<GroupCommand>,
    origins: Vec<Origin>,
    due: Option<Time>,
}

impl RecordBatch {
    /// Appends a command to the batch.
    pub fn add(&mut self, now: Time, origin: Origin, command: GroupCommand) {
        self.commands.push(command);
        self.origins.push(origin);
        let due = *self.due.get_or_insert(now + BATCH_DELAY);
        if self.commands.len() >= MAXIMUM_COMMANDS {
            self.due = Some(due.min(now));
        }
    }

    /// When the batch is to be proposed.
    pub fn due_at(&self) -> Option<Time> {
        self.due
    }

    /// Takes the commands and their origins, in order, if the batch is due.
    pub fn take_due(&mut self, now: Time) -> Option<(Vec<GroupCommand>, Vec<Origin>)> {
        self.due.take_if(|due| *due <= now)?;
        let commands = std::mem::take(&mut self.commands);
        let origins = std::mem::take(&mut self.origins);
        Some((commands, origins))
    }
}
