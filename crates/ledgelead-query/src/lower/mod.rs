//! Lowers commands to typed actions and checks them against the configuration.
//!
//! A command sees the effects of the commands before it in the same text, so a text can create
//! a service and add servers to it.

mod causes;
mod changes;
mod operations;
mod settings;

use crate::finding::{Finding, Findings};
use crate::located::{Located, TextRange};
use crate::parse::Parsed;
use crate::tree::*;
use ledgelead_configuration::apply_changes;
use ledgelead_types::GroupId;
use ledgelead_types::administration::{ConfigurationChange, GroupOperation};
use ledgelead_types::configuration::{Configuration, OperatorConfiguration, OperatorRole};
use ledgelead_types::view::NodeView;

/// Command identifier for validating changes; never stored.
const VALIDATION_COMMAND: &str = "trial";

/// The actions of a text.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// Changes of the configuration, applied as one transaction.
    Configure(Vec<ConfigurationChange>),
    /// Operations of groups, executed one after the other.
    Operate(Vec<PlannedOperation>),
}

/// An operation and the group that decides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedOperation {
    /// The group.
    pub group: GroupId,
    /// The operation.
    pub operation: GroupOperation,
}

/// Checks the commands of a text and converts them to typed actions.
///
/// # Errors
/// All errors in the commands.
pub(crate) fn lower(parsed: &Parsed, view: &NodeView) -> Result<Plan, Findings> {
    let statements = &parsed.statements;
    let mut lowering = Lowering::new(view, parsed.findings.clone());
    let mut operations = Vec::new();
    for statement in statements {
        let Statement::Command(command) = &statement.value else {
            let finding = Finding::new(statement.range.clone(), "this is a query, not a command");
            lowering
                .findings
                .add(finding.with_help("ask it with `ledgelead query`"));
            continue;
        };
        if command.is_operation() {
            operations.extend(lowering.operation(command));
        } else {
            lowering.change(command, &statement.range);
        }
    }
    lowering.check_mixed_commands(statements);
    lowering.check_combined_changes();
    lowering.check_administrators();
    lowering.findings.sort();
    if !lowering.findings.is_empty() {
        return Err(lowering.findings);
    }
    if operations.is_empty() {
        let changes = lowering.changes.into_iter();
        Ok(Plan::Configure(
            changes.map(|located| located.change).collect(),
        ))
    } else {
        Ok(Plan::Operate(operations))
    }
}

/// A change and its location in the text.
struct LocatedChange {
    change: ConfigurationChange,
    statement: TextRange,
    name: TextRange,
    /// Name of each setting and range of its value.
    settings: Vec<(String, TextRange)>,
}

/// State while the commands of a text are lowered.
struct Lowering<'a> {
    view: &'a NodeView,
    /// The configuration with the changes so far.
    working: Configuration,
    changes: Vec<LocatedChange>,
    findings: Findings,
    /// Whether the parser found no errors. Otherwise parts of the text may be missing from the
    /// syntax trees.
    is_complete: bool,
}

impl<'a> Lowering<'a> {
    fn new(view: &'a NodeView, findings: Findings) -> Lowering<'a> {
        Lowering {
            is_complete: findings.is_empty(),
            view,
            working: view.configuration.clone(),
            changes: Vec::new(),
            findings,
        }
    }

    /// A text is either one transaction of the configuration or operations. An operation is
    /// decided by a group and can't be rolled back with the rest.
    fn check_mixed_commands(&mut self, statements: &[Located<Statement>]) {
        let is_operation = |statement: &&Located<Statement>| matches!(&statement.value, Statement::Command(command) if command.is_operation());
        let Some(operation) = statements.iter().find(is_operation) else {
            return;
        };
        if !self.changes.is_empty() {
            let message =
                "operations of servers and keys can't stand with changes of the configuration";
            let finding = Finding::new(operation.range.clone(), message);
            self.findings
                .add(finding.with_help("send them in a text of their own"));
        }
    }

    /// Validates all changes together. Statements that already have errors are skipped, since
    /// further errors may follow from the first.
    fn check_combined_changes(&mut self) {
        let changes: Vec<ConfigurationChange> = self
            .changes
            .iter()
            .map(|located| located.change.clone())
            .collect();
        if changes.is_empty() {
            return;
        }
        let Err(problems) = apply_changes(&self.view.configuration, &changes, VALIDATION_COMMAND)
        else {
            return;
        };
        let reported: Vec<usize> = self
            .findings
            .0
            .iter()
            .map(|found| found.range.start)
            .collect();
        for problem in problems {
            let located = causes::find_change(&problem, &self.changes);
            let is_reported = |located: &LocatedChange| {
                reported
                    .iter()
                    .any(|start| located.statement.contains(start))
            };
            if !located.is_some_and(is_reported) {
                self.findings.add(causes::to_finding(&problem, located));
            }
        }
    }

    /// At least one operator must remain who can manage operators; with no operators at all,
    /// anyone on a node's machine could create operators.
    fn check_administrators(&mut self) {
        let is_about_operators = |located: &&LocatedChange| {
            matches!(
                located.change,
                ConfigurationChange::PutOperator(_) | ConfigurationChange::RemoveOperator(_)
            )
        };
        let Some(located) = self.changes.iter().rev().find(is_about_operators) else {
            return;
        };
        let is_administrator = |operator: &OperatorConfiguration| {
            operator.role == OperatorRole::Administer && operator.teams.is_empty()
        };
        if !self.findings.is_empty() || self.working.operators.iter().any(is_administrator) {
            return;
        }
        let message = "nobody would be left who may administer everything";
        let help = "keep an operator with role = administer and without teams";
        self.findings
            .add(Finding::new(located.name.clone(), message).with_help(help));
    }
}
