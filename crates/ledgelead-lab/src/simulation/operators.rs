//! Operators: their commands, results and retries.

use super::deployment::{self, OPERATOR};
use super::event::{Event, ToNode};
use super::network::Endpoint;
use super::world::World;
use crate::checker::ownership::AcknowledgedMove;
use ledgelead_core::{Input, TicketId};
use ledgelead_types::administration::*;
use ledgelead_types::configuration::TierConfiguration;
use ledgelead_types::{
    ConfigurationVersion, GroupId, List, Position, ServerId, ServiceId, Span, Text, TierId, Time,
};
use std::collections::BTreeMap;

/// Delay before an operator retries a command.
const COMMAND_RETRY_INTERVAL: Span = Span::from_millis(700);
/// Maximum number of attempts with the same command identifier.
const MAX_COMMAND_ATTEMPTS: u32 = 12;

/// Purpose of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandPurpose {
    /// Changes the configuration, optionally only if it has the given version.
    Configure {
        /// The required version.
        if_version: Option<ConfigurationVersion>,
    },
    /// Drains a server.
    Drain(ServerId),
    /// Activates a drained server.
    Activate(ServerId),
    /// Moves a slice.
    Move {
        /// The service.
        service: ServiceId,
        /// A position in the slice.
        position: Position,
        /// The new owner.
        to: ServerId,
    },
}

#[derive(Clone, Debug)]
struct OpenCommand {
    command: AdministrationCommand,
    purpose: CommandPurpose,
    attempts: u32,
}

/// All operators.
#[derive(Clone, Debug, Default)]
pub struct Operators {
    open: BTreeMap<TicketId, OpenCommand>,
    attempts: BTreeMap<Text, u32>,
    last_ticket: u64,
    last_command: u64,
}

impl Operators {
    /// Creates a command.
    pub fn command(
        &mut self,
        action: AdministrationAction,
        if_version: Option<ConfigurationVersion>,
    ) -> AdministrationCommand {
        self.last_command += 1;
        AdministrationCommand {
            id: Text(format!("command-{}", self.last_command)),
            operator: OPERATOR.into(),
            if_version,
            action,
        }
    }
}

impl World<'_> {
    /// Sends a command to a random running node.
    pub(super) fn send_command(&mut self, command: AdministrationCommand, purpose: CommandPurpose) {
        let attempts = self
            .operators
            .attempts
            .entry(command.id.clone())
            .or_insert(0);
        *attempts += 1;
        let attempts = *attempts;
        let running = self.running_nodes();
        let run = self
            .fault_rng
            .pick(&running)
            .and_then(|node| self.nodes[node].run());
        let Some(run) = run else {
            return self.retry_command(command, purpose, attempts);
        };
        self.operators.last_ticket += 1;
        let ticket = TicketId(self.operators.last_ticket);
        let input = Input::Command {
            ticket,
            command: command.clone(),
        };
        self.operators.open.insert(
            ticket,
            OpenCommand {
                command,
                purpose,
                attempts,
            },
        );
        let delay = self
            .network
            .segment(Endpoint::Clients, Endpoint::Node(run.index))
            .unwrap_or_default();
        self.after(delay, Event::ToNode(run, ToNode::Input(Box::new(input))));
    }

    fn retry_command(
        &mut self,
        command: AdministrationCommand,
        purpose: CommandPurpose,
        attempts: u32,
    ) {
        if attempts < MAX_COMMAND_ATTEMPTS {
            self.after(
                COMMAND_RETRY_INTERVAL,
                Event::SendCommand(Box::new(command), purpose),
            );
        }
    }

    pub(super) fn command_finished(&mut self, ticket: TicketId, result: CommandResult) {
        let now = self.now();
        let Some(open) = self.operators.open.remove(&ticket) else {
            return;
        };
        self.measurements.command_finished(&result);
        match result {
            CommandResult::Configured { version, .. } => {
                self.record_configured(&open, version);
            }
            CommandResult::Operated { .. } => self.record_operated(now, &open.purpose),
            CommandResult::Unknown
            | CommandResult::Rejected(
                CommandRejection::NoLeader
                | CommandRejection::PlatformUnavailable
                | CommandRejection::Contention,
            ) => self.retry_command(open.command, open.purpose, open.attempts),
            CommandResult::Rejected(_) => {}
        }
    }

    fn record_configured(&mut self, open: &OpenCommand, version: ConfigurationVersion) {
        let now = self.now();
        let if_version = match open.purpose {
            CommandPurpose::Configure { if_version } => if_version,
            _ => None,
        };
        let checker = &mut self.checker;
        checker.configuration.accepted(
            now,
            &open.command.id,
            version,
            if_version,
            &mut checker.violations,
        );
    }

    fn record_operated(&mut self, now: Time, purpose: &CommandPurpose) {
        match *purpose {
            CommandPurpose::Drain(server) => {
                self.checker.leaving.leave_announced(now, server);
                self.checker.ownership.allow_loss(server);
            }
            CommandPurpose::Move {
                service,
                position,
                to,
            } => self.checker.ownership.acknowledged(AcknowledgedMove {
                service,
                position,
                to,
                at: now,
            }),
            // A drain that the operator retried may be acknowledged after this command was
            // sent.
            CommandPurpose::Activate(server) => self.checker.leaving.returned(server),
            CommandPurpose::Configure { .. } => {}
        }
    }

    /// The group of a server.
    pub(super) fn group_of(&self, index: usize) -> GroupId {
        let plan = self.servers[index].plan;
        let groups = self.scenario.services[plan.service].groups.max(1);
        GroupId {
            service: deployment::service_id(plan.service),
            part: (plan.server.0 % u32::from(groups)) as u16,
        }
    }

    /// Sends a command that drains or activates a server.
    pub(super) fn operate_server(&mut self, index: usize, drain: bool) {
        let server = self.servers[index].plan.server;
        let (operation, purpose) = if drain {
            let purpose = CommandPurpose::Drain(server);
            (GroupOperation::Drain(server), purpose)
        } else {
            self.checker.leaving.returned(server);
            let purpose = CommandPurpose::Activate(server);
            (GroupOperation::Activate(server), purpose)
        };
        let action = AdministrationAction::Operate {
            group: self.group_of(index),
            operation,
        };
        let command = self.operators.command(action, None);
        self.send_command(command, purpose);
    }

    /// Sends a command that moves a slice to a server.
    pub(super) fn move_slice(&mut self, position: Position, to: usize) {
        let server = self.servers[to].plan.server;
        let group = self.group_of(to);
        let operation = GroupOperation::MoveSlice {
            position,
            to: server,
        };
        let action = AdministrationAction::Operate { group, operation };
        let command = self.operators.command(action, None);
        let purpose = CommandPurpose::Move {
            service: group.service,
            position,
            to: server,
        };
        self.send_command(command, purpose);
    }

    /// Sends a command that changes the weight of a tier.
    pub(super) fn alter_tier(&mut self, weight: u32, if_version: Option<ConfigurationVersion>) {
        let tier = &self.scenario.tiers[0];
        let change = ConfigurationChange::AlterTier(TierConfiguration {
            id: TierId(0),
            name: tier.name.as_str().into(),
            weight,
            guaranteed_percent: tier.guaranteed_percent,
        });
        let action = AdministrationAction::Configure(List(vec![change]));
        let command = self.operators.command(action, if_version);
        self.send_command(command, CommandPurpose::Configure { if_version });
    }
}
