//! Runs an operator's queries and commands against a deployment, without I/O or clocks.
//! Statements are checked against the current view. A command carries an identifier that makes
//! it safe to retry. Concurrent configuration changes are detected by version. A request can
//! wait until an accepted change is in force.

use crate::answer::{answer, plan};
use crate::authority::{Forbidden, may_command, may_query, may_run_commands};
use crate::finding::Findings;
use crate::lower::{Plan, PlannedOperation};
use crate::table::Table;
use ledgelead_types::administration::*;
use ledgelead_types::configuration::OperatorConfiguration;
use ledgelead_types::view::NodeView;
use ledgelead_types::{ConfigurationVersion, List, NodeId, Text};

/// Attempts to plan and send a command whose base version another command has replaced. One of
/// the competing commands always succeeds, so this limits how many operators can compete at
/// once.
const MAX_ATTEMPTS: u32 = 32;
/// Longest command identifier, in bytes; leaves room for the suffix with an operation's
/// number.
const MAX_IDENTIFIER_BYTES: usize = 120;

/// Why the node did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoAnswer(pub String);

/// Access to the deployment through one node.
pub trait Deployment {
    /// What this node knows.
    ///
    /// # Errors
    /// If the node does not answer.
    fn view(&mut self) -> Result<NodeView, NoAnswer>;

    /// What all nodes together know, including loads.
    ///
    /// # Errors
    /// If the node does not answer.
    fn cluster_view(&mut self) -> Result<NodeView, NoAnswer>;

    /// Executes a command and waits for its result.
    ///
    /// # Errors
    /// If the result is not known; the command may or may not have taken effect.
    fn command(&mut self, command: AdministrationCommand) -> Result<CommandResult, NoAnswer>;

    /// Waits for a short time; returns false once the time allowed for this request has
    /// elapsed.
    fn pause(&mut self) -> bool;
}

/// A command as sent by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandRequest {
    /// Statements separated by `;`.
    pub text: String,
    /// Chosen by the operator; a retry uses the same one.
    pub id: String,
    /// Configuration version that the command requires.
    pub if_version: Option<ConfigurationVersion>,
    /// Whether to wait until the change is in force at every live node.
    pub wait: bool,
}

/// Result of a text of queries.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryAnswer {
    /// Configuration version that the queries were evaluated against.
    pub version: ConfigurationVersion,
    /// One table per statement.
    pub tables: Vec<Table>,
    /// Nodes that did not answer, so that their loads are missing.
    pub silent_nodes: Vec<NodeId>,
}

/// A command that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The configuration was changed.
    Configured {
        /// Version that contains the change.
        version: ConfigurationVersion,
        /// Whether the change was in force before this request.
        repeated: bool,
        /// Live nodes that did not report the version in time; `None` if the request did not
        /// wait or no view could be read while waiting.
        lagging: Option<Vec<NodeId>>,
    },
    /// Groups accepted all operations.
    Operated {
        /// Number of operations.
        operations: usize,
        /// Whether all of them were in force before this request.
        repeated: bool,
    },
}

/// Why a request was refused or has no known result.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The text has errors.
    InvalidText(Findings),
    /// The command's identifier is empty or too long.
    BadIdentifier,
    /// The operator lacks the permission.
    Forbidden(Forbidden),
    /// The command was rejected; the first `done` operations took effect.
    Rejected {
        /// The reason.
        rejection: CommandRejection,
        /// Number of operations that took effect before.
        done: usize,
    },
    /// It may or may not have taken effect.
    Unknown {
        /// Number of operations that certainly took effect.
        done: usize,
    },
    /// The node did not answer; nothing was sent.
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

/// Evaluates a text of queries.
///
/// # Errors
/// If the operator may not query, the node does not answer or the text has errors.
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

/// Executes a text of commands.
///
/// # Errors
/// If the command was refused or its result is not known.
pub fn run_command(
    request: &CommandRequest,
    operator: &OperatorConfiguration,
    deployment: &mut impl Deployment,
) -> Result<Accepted, Refusal> {
    if request.id.is_empty() || request.id.len() > MAX_IDENTIFIER_BYTES {
        return Err(Refusal::BadIdentifier);
    }
    may_run_commands(operator)?;
    let mut run = CommandRun {
        request,
        operator,
        deployment,
    };
    run.execute()
}

struct CommandRun<'a, D> {
    request: &'a CommandRequest,
    operator: &'a OperatorConfiguration,
    deployment: &'a mut D,
}

impl<D: Deployment> CommandRun<'_, D> {
    fn execute(&mut self) -> Result<Accepted, Refusal> {
        let mut min_version = self.request.if_version;
        for _ in 0..MAX_ATTEMPTS {
            let view = self.view_at_least(min_version)?;
            let present = view.configuration.version;
            if let Some(version) = view.configuration.version_of_command(&self.request.id) {
                // The text is not planned again: the command's own effect can make it invalid,
                // for example by a duplicate name.
                return self.configured(version, true);
            }
            if self
                .request
                .if_version
                .is_some_and(|expected| expected != present)
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
                Configured::Conflict(newer) => min_version = Some(newer),
            }
        }
        Err(rejected(CommandRejection::Contention))
    }

    /// Returns this node's view once its configuration has at least `min_version`; when the
    /// allowed time has elapsed, the view as it is.
    fn view_at_least(
        &mut self,
        min_version: Option<ConfigurationVersion>,
    ) -> Result<NodeView, NoAnswer> {
        loop {
            let view = self.deployment.view()?;
            let lags =
                min_version.is_some_and(|min_version| view.configuration.version < min_version);
            if !lags || !self.deployment.pause() {
                return Ok(view);
            }
        }
    }

    /// Sends changes that are valid only for the version they were planned against, so that a
    /// concurrent change by another operator is never overwritten unnoticed.
    fn configure(
        &mut self,
        changes: Vec<ConfigurationChange>,
        base_version: ConfigurationVersion,
    ) -> Result<Configured, Refusal> {
        let action = AdministrationAction::Configure(List(changes));
        let command = self.command(self.request.id.clone(), Some(base_version), action);
        let is_conditional = self.request.if_version.is_some();
        match self.deployment.command(command) {
            Ok(CommandResult::Configured { version, repeated }) => {
                self.configured(version, repeated).map(Configured::Accepted)
            }
            Ok(CommandResult::Rejected(CommandRejection::VersionMismatch { present }))
                if !is_conditional =>
            {
                Ok(Configured::Conflict(present))
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

    /// Waits until every live node has the version. Returns the nodes that lag when the
    /// allowed time has elapsed, or `None` if this node never answered.
    fn wait_for(&mut self, version: ConfigurationVersion) -> Option<Vec<NodeId>> {
        let mut lagging = None;
        loop {
            // A failed read is retried, since the change has already been stored.
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

    /// Executes operations one after the other and stops at the first failure.
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

    /// A retry of the same text yields the same identifier for each operation.
    fn operation_id(&self, index: usize, count: usize) -> String {
        if count == 1 {
            return self.request.id.clone();
        }
        format!("{}/{}", self.request.id, index + 1)
    }
}

/// Result of sending changes.
enum Configured {
    Accepted(Accepted),
    /// Another command created this version first.
    Conflict(ConfigurationVersion),
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
