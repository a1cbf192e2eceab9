//! Writes operators' commands into the store.

use crate::changes::apply_changes;
use crate::finding::Finding;
use crate::json::{decode_configuration, encode_configuration};
use crate::swap::{Progress, Swap};
use ledgelead_types::administration::*;
use ledgelead_types::configuration::Configuration;
use ledgelead_types::platform::*;
use ledgelead_types::{Bytes, ConfigurationVersion, List, Text};
use std::collections::BTreeMap;

/// Maximum number of concurrent commands on one node.
const MAX_COMMANDS: usize = 64;

/// Next step of a command.
#[derive(Debug)]
pub(super) enum CommandStep {
    /// Call the platform.
    Call(PlatformCall),
    /// The command ended.
    Finished {
        /// The command's result.
        result: CommandResult,
        /// The configuration last read or written, if valid.
        configuration: Option<Configuration>,
    },
}

/// Commands in progress, by ticket.
#[derive(Debug, Default)]
pub(super) struct Commands {
    open: BTreeMap<u64, OpenCommand>,
}

#[derive(Debug)]
struct OpenCommand {
    command: AdministrationCommand,
    swap: Swap,
    written: Option<Configuration>,
}

impl Commands {
    /// Starts a command.
    pub(super) fn begin(&mut self, ticket: u64, command: AdministrationCommand) -> CommandStep {
        if self.open.len() >= MAX_COMMANDS {
            return rejected(CommandRejection::Contention);
        }
        let swap = Swap::of(CONFIGURATION_OBJECT.into());
        let call = swap.read();
        let open = OpenCommand {
            command,
            swap,
            written: None,
        };
        self.open.insert(ticket, open);
        CommandStep::Call(call)
    }

    /// Processes the answer to a command's call.
    pub(super) fn handle_reply(
        &mut self,
        ticket: u64,
        reply: Result<PlatformReply, PlatformError>,
    ) -> CommandStep {
        let Some(open) = self.open.get_mut(&ticket) else {
            return rejected(CommandRejection::PlatformUnavailable);
        };
        let step = open.handle_reply(reply);
        if matches!(step, CommandStep::Finished { .. }) {
            self.open.remove(&ticket);
        }
        step
    }
}

impl OpenCommand {
    fn handle_reply(&mut self, reply: Result<PlatformReply, PlatformError>) -> CommandStep {
        match self.swap.handle_reply(reply) {
            Progress::Call(call) => CommandStep::Call(call),
            Progress::Read { version, value } => self.handle_read(version, value.as_ref()),
            Progress::Written(version) => self.handle_written(version),
            Progress::Unavailable if self.swap.may_have_written() => CommandStep::Finished {
                result: CommandResult::Unknown,
                configuration: None,
            },
            Progress::Unavailable => rejected(CommandRejection::PlatformUnavailable),
        }
    }

    /// Checks whether the command has already been applied; otherwise applies it.
    fn handle_read(&mut self, version: ObjectVersion, value: Option<&Bytes>) -> CommandStep {
        let present = match value {
            None => Configuration::default(),
            Some(value) => match decode_configuration(value, version) {
                Ok(configuration) => configuration,
                Err(findings) => return rejected(invalid(&findings)),
            },
        };
        if let Some(version) = present.version_of_command(&self.command.id) {
            let repeated = !self.swap.may_have_written();
            return CommandStep::Finished {
                result: CommandResult::Configured { version, repeated },
                configuration: Some(present),
            };
        }
        match self.apply(&present) {
            Ok(changed) => self.write(version, changed),
            Err(rejection) => CommandStep::Finished {
                result: CommandResult::Rejected(rejection),
                configuration: Some(present),
            },
        }
    }

    fn apply(&self, present: &Configuration) -> Result<Configuration, CommandRejection> {
        let relies_on = self.command.if_version.unwrap_or(present.version);
        if relies_on != present.version {
            let present = present.version;
            return Err(CommandRejection::VersionMismatch { present });
        }
        let AdministrationAction::Configure(changes) = &self.command.action else {
            let why = "not a change of the configuration".into();
            return Err(CommandRejection::Invalid(List(vec![why])));
        };
        apply_changes(present, changes, &self.command.id).map_err(|findings| invalid(&findings))
    }

    fn write(&mut self, expected: ObjectVersion, changed: Configuration) -> CommandStep {
        let value = encode_configuration(&changed);
        self.written = Some(changed);
        match self.swap.write(expected, value) {
            Some(call) => CommandStep::Call(call),
            None => rejected(CommandRejection::Contention),
        }
    }

    fn handle_written(&mut self, version: ObjectVersion) -> CommandStep {
        let version = ConfigurationVersion(version.0);
        let configuration = self.written.take().map(|mut configuration| {
            configuration.version = version;
            configuration
        });
        CommandStep::Finished {
            result: CommandResult::Configured {
                version,
                repeated: false,
            },
            configuration,
        }
    }
}

fn rejected(rejection: CommandRejection) -> CommandStep {
    CommandStep::Finished {
        result: CommandResult::Rejected(rejection),
        configuration: None,
    }
}

fn invalid(findings: &[Finding]) -> CommandRejection {
    let texts = findings.iter().map(|found| Text(found.to_string()));
    CommandRejection::Invalid(texts.collect())
}
