//! Commands to typed actions, checked against the configuration.
//!
//! Commands of one text see what the ones before them do, so a text can
//! create a service and add servers to it.

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

/// Command identifier under which changes are tried; never stored.
const TRIAL: &str = "trial";

/// What a text asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// Changes of the configuration: one transaction.
    Configure(Vec<ConfigurationChange>),
    /// Operations of groups: one after the other.
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

/// Checks the commands of a text and turns them into typed actions.
///
/// # Errors
/// Everything that is wrong with them.
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
    lowering.check_mixture(statements);
    lowering.check_effect();
    lowering.check_administrators();
    lowering.findings.sort();
    if !lowering.findings.is_empty() {
        return Err(lowering.findings);
    }
    if operations.is_empty() {
        let changes = lowering.changes.into_iter();
        Ok(Plan::Configure(
            changes.map(|placed| placed.change).collect(),
        ))
    } else {
        Ok(Plan::Operate(operations))
    }
}

/// A change and where it was written.
struct PlacedChange {
    change: ConfigurationChange,
    statement: TextRange,
    name: TextRange,
    /// Places of the settings' values, by the settings' names.
    settings: Vec<(String, TextRange)>,
}

/// Commands on their way to actions.
struct Lowering<'a> {
    view: &'a NodeView,
    /// The configuration with the changes so far.
    working: Configuration,
    changes: Vec<PlacedChange>,
    findings: Findings,
    /// Whether nothing that was written is missing from the trees.
    is_whole: bool,
}

impl<'a> Lowering<'a> {
    fn new(view: &'a NodeView, findings: Findings) -> Lowering<'a> {
        Lowering {
            is_whole: findings.is_empty(),
            view,
            working: view.configuration.clone(),
            changes: Vec::new(),
            findings,
        }
    }

    /// A text is one transaction of the configuration, or operations: an
    /// operation is decided by another authority and can't be undone with
    /// the rest.
    fn check_mixture(&mut self, statements: &[Located<Statement>]) {
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

    /// Tries all changes together. A statement that has mistakes already is
    /// not tried for more, since they may follow from those.
    fn check_effect(&mut self) {
        let changes: Vec<ConfigurationChange> = self
            .changes
            .iter()
            .map(|placed| placed.change.clone())
            .collect();
        if changes.is_empty() {
            return;
        }
        let Err(problems) = apply_changes(&self.view.configuration, &changes, TRIAL) else {
            return;
        };
        let noted: Vec<usize> = self
            .findings
            .0
            .iter()
            .map(|found| found.range.start)
            .collect();
        for problem in problems {
            let placed = causes::cause(&problem, &self.changes);
            let is_noted =
                |placed: &PlacedChange| noted.iter().any(|start| placed.statement.contains(start));
            if !placed.is_some_and(is_noted) {
                self.findings.add(causes::describe(&problem, placed));
            }
        }
    }

    /// Somebody has to be left who can make operators; with none at all,
    /// anybody on a node's machine could.
    fn check_administrators(&mut self) {
        let is_about_operators = |placed: &&PlacedChange| {
            matches!(
                placed.change,
                ConfigurationChange::PutOperator(_) | ConfigurationChange::RemoveOperator(_)
            )
        };
        let Some(placed) = self.changes.iter().rev().find(is_about_operators) else {
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
            .add(Finding::new(placed.name.clone(), message).with_help(help));
    }
}
