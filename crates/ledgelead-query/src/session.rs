//! What happens between an operator and the deployment, without sockets and
//! clocks: statements are checked against the present view, commands are sent
//! under an identifier that makes them safe to repeat, races are settled by
//! the configuration's version, and an accepted change is waited for.

use crate::answer::{answer, plan};
use crate::authority::{Forbidden, may_command, may_give_commands, may_query};
use crate::finding::Findings;
use crate::lower::{Plan, PlannedOperation};
use crate::table::Table;
use ledgelead_types::administration::*;
use ledgelead_types::configuration::OperatorConfiguration;
use ledgelead_types::view::NodeView;
use ledgelead_types::{ConfigurationVersion, List, NodeId, Text};

/// How often a command is worked out because another one was faster. Of racing
/// commands one always wins, so this bounds the operators who race at once.
const MOST_ATTEMPTS: u32 = 32;
/// Longest command identifier, in bytes; leaves room for an operation's
/// number.
const MAX_IDENTIFIER_BYTES: usize = 120;

/// Why the node that was asked gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoAnswer(pub String);

/// The deployment as one node reaches it.
pub trait Deployment {
    /// What this node knows.
    ///
    /// # Errors
    /// When the node does not answer.
    fn view(&mut self) -> Result<NodeView, NoAnswer>;

    /// What all nodes together know, loads included.
    ///
    /// # Errors
    /// When the node does not answer.
    fn cluster_view(&mut self) -> Result<NodeView, NoAnswer>;

    /// Has a command carried out and waits for its end.
    ///
    /// # Errors
    /// When the end is not known; the command may or may not have taken
    /// effect.
    fn command(&mut self, command: AdministrationCommand) -> Result<CommandResult, NoAnswer>;

    /// Lets a little time pass; false when the time for this request is over.
    fn pause(&mut self) -> bool;
}

/// A command as an operator sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandRequest {
    /// Statements separated by `;`.
    pub text: String,
    /// Chosen by the operator, the same for a repeat.
    pub id: String,
    /// The configuration version that the operator relies on.
    pub if_version: Option<ConfigurationVersion>,
    /// Whether to wait until the change is in force at every live node.
    pub wait: bool,
}

/// Answers of a text of queries.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryAnswer {
    /// The configuration version that was looked at.
    pub version: ConfigurationVersion,
    /// One table for each statement.
    pub tables: Vec<Table>,
    /// Nodes whose loads are missing because they did not answer.
    pub silent_nodes: Vec<NodeId>,
}

/// A command that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The configuration was changed.
    Configured {
        /// The version that contains the change.
        version: ConfigurationVersion,
        /// Whether it was in force before this request.
        repeated: bool,
        /// Live nodes that did not report the version in time; `None` when
        /// they were not waited for or nothing could be heard of them.
        lagging: Option<Vec<NodeId>>,
    },
    /// Groups decided all operations.
    Operated {
        /// How many.
        operations: usize,
        /// Whether all were in force before this request.
        repeated: bool,
    },
}

/// Why a statement was not carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The text is wrong.
    InvalidText(Findings),
    /// The command's identifier is empty or too long.
    BadIdentifier,
    /// The operator may not.
    Forbidden(Forbidden),
    /// It was refused. Of several operations the first `done` took effect.
    Rejected {
        /// Why.
        rejection: CommandRejection,
        /// How many operations took effect before.
        done: usize,
    },
    /// It may or may not have taken effect.
    Unknown {
        /// How many operations took effect for certain.
        done: usize,
    },
    /// The node did not answer; nothing was tried.
    NoAnswer(NoAnswer),
}

impl From<Findings> for Refusal {
    fn from(findings: Findings) -> Self {
        Refusal::InvalidText(findings)
    }
}

impl From<Forbidden> for Refusal {
    fn from(forbidden: Forbidden) -> Self {
        Refusal::Forbidden(forbidden)
    }
}

impl From<NoAnswer> for Refusal {
    fn from(no_answer: NoAnswer) -> Self {
        Refusal::NoAnswer(no_answer)
    }
}

/// Answers a text of queries.
///
/// # Errors
/// Why not.
pub fn run_query(
    text: &str,
    operator: &OperatorConfiguration,
    deployment: &mut impl Deployment,
) -> Result<QueryAnswer, Refusal> {
    may_query(operator)?;
    let view = deployment.cluster_view()?;
    let tables = answer(text, &view)?;
    Ok(QueryAnswer {
        version: view.configuration.version,
        tables,
        silent_nodes: view.silent_nodes,
    })
}

/// Carries out a text of commands.
///
/// # Errors
/// Why not.
pub fn run_command(
    request: &CommandRequest,
    operator: &OperatorConfiguration,
    deployment: &mut impl Deployment,
) -> Result<Accepted, Refusal> {
    if request.id.is_empty() || request.id.len() > MAX_IDENTIFIER_BYTES {
        return Err(Refusal::BadIdentifier);
    }
    may_give_commands(operator)?;
    let mut run = CommandRun {
        request,
        operator,
        deployment,
    };
    run.carry_out()
}

struct CommandRun<'a, D> {
    request: &'a CommandRequest,
    operator: &'a OperatorConfiguration,
    deployment: &'a mut D,
}

impl<D: Deployment> CommandRun<'_, D> {
    fn carry_out(&mut self) -> Result<Accepted, Refusal> {
        let mut least_version = self.request.if_version;
        for _ in 0..MOST_ATTEMPTS {
            let view = self.view_from(least_version)?;
            let present = view.configuration.version;
            if let Some(version) = view.configuration.version_of_command(&self.request.id) {
                // What the text says now may be wrong by its own effect.
                return self.configured(version, true);
            }
            if self
                .request
                .if_version
                .is_some_and(|relied| relied != present)
            {
                return Err(rejected(CommandRejection::VersionMismatch { present }));
            }
            let plan = plan(&self.request.text, &view)?;
            may_command(self.operator, &plan, &view.configuration)?;
            let changes = match plan {
                Plan::Operate(operations) => return self.operate(&operations),
                Plan::Configure(changes) => changes,
            };
            match self.configure(changes, present)? {
                Configured::Accepted(accepted) => return Ok(accepted),
                Configured::Overtaken(newer) => least_version = Some(newer),
            }
        }
        Err(rejected(CommandRejection::Contention))
    }

    /// This node's view, once it has at least a version; after the time that
    /// there is, whatever it has.
    fn view_from(&mut self, least: Option<ConfigurationVersion>) -> Result<NodeView, NoAnswer> {
        loop {
            let view = self.deployment.view()?;
            let lags = least.is_some_and(|least| view.configuration.version < least);
            if !lags || !self.deployment.pause() {
                return Ok(view);
            }
        }
    }

    /// Sends changes that were worked out against a version and hold only
    /// for it, so that another operator's change is never undone unseen.
    fn configure(
        &mut self,
        changes: Vec<ConfigurationChange>,
        against: ConfigurationVersion,
    ) -> Result<Configured, Refusal> {
        let action = AdministrationAction::Configure(List(changes));
        let command = self.command(self.request.id.clone(), Some(against), action);
        let is_bound = self.request.if_version.is_some();
        match self.deployment.command(command) {
            Ok(CommandResult::Configured { version, repeated }) => {
                self.configured(version, repeated).map(Configured::Accepted)
            }
            Ok(CommandResult::Rejected(CommandRejection::VersionMismatch { present }))
                if !is_bound =>
            {
                Ok(Configured::Overtaken(present))
            }
            Ok(CommandResult::Rejected(rejection)) => Err(rejected(rejection)),
            Ok(CommandResult::Operated { .. } | CommandResult::Unknown) | Err(_) => {
                Err(Refusal::Unknown { done: 0 })
            }
        }
    }

    fn command(
        &self,
        id: String,
        if_version: Option<ConfigurationVersion>,
        action: AdministrationAction,
    ) -> AdministrationCommand {
        AdministrationCommand {
            id: Text(id),
            operator: self.operator.name.clone(),
            if_version,
            action,
        }
    }

    fn configured(
        &mut self,
        version: ConfigurationVersion,
        repeated: bool,
    ) -> Result<Accepted, Refusal> {
        let lagging = match self.request.wait {
            true => self.wait_for(version),
            false => None,
        };
        Ok(Accepted::Configured {
            version,
            repeated,
            lagging,
        })
    }

    /// Waits until every live node has a version; gives those that lag when
    /// the time is over, or nothing when this node never told.
    fn wait_for(&mut self, version: ConfigurationVersion) -> Option<Vec<NodeId>> {
        let mut lagging = None;
        loop {
            // A node that does not answer is asked again: the change is in.
            if let Ok(view) = self.deployment.view() {
                let lag = lagging_nodes(&view, version);
                let is_in_force = lag.is_empty();
                lagging = Some(lag);
                if is_in_force {
                    return lagging;
                }
            }
            if !self.deployment.pause() {
                return lagging;
            }
        }
    }

    /// Has operations carried out one after the other; the first that fails
    /// ends it.
    fn operate(&mut self, operations: &[PlannedOperation]) -> Result<Accepted, Refusal> {
        let mut all_repeated = true;
        for (done, planned) in operations.iter().enumerate() {
            let action = AdministrationAction::Operate {
                group: planned.group,
                operation: planned.operation,
            };
            let command = self.command(self.operation_id(done, operations.len()), None, action);
            match self.deployment.command(command) {
                Ok(CommandResult::Operated { repeated }) => all_repeated &= repeated,
                Ok(CommandResult::Rejected(rejection)) => {
                    return Err(Refusal::Rejected { rejection, done });
                }
                Ok(CommandResult::Configured { .. } | CommandResult::Unknown) | Err(_) => {
                    return Err(Refusal::Unknown { done });
                }
            }
        }
        Ok(Accepted::Operated {
            operations: operations.len(),
            repeated: all_repeated,
        })
    }

    /// The same for the same operation of a repeated text.
    fn operation_id(&self, index: usize, count: usize) -> String {
        if count == 1 {
            return self.request.id.clone();
        }
        format!("{}/{}", self.request.id, index + 1)
    }
}

/// How changes fared.
enum Configured {
    Accepted(Accepted),
    /// Another command made this version first.
    Overtaken(ConfigurationVersion),
}

fn rejected(rejection: CommandRejection) -> Refusal {
    Refusal::Rejected { rejection, done: 0 }
}

fn lagging_nodes(view: &NodeView, version: ConfigurationVersion) -> Vec<NodeId> {
    view.nodes
        .iter()
        .filter(|node| node.live && node.configuration < version)
        .map(|node| node.node)
        .collect()
}
