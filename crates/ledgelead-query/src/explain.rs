//! Shows what a command would change, without executing it.

mod configuration;
mod operation;

use crate::finding::Findings;
use crate::located::{Located, TextRange};
use crate::lower::{Plan, lower};
use crate::parse::Parsed;
use crate::table::Table;
use crate::tree::{Command, Statement};
use ledgelead_types::view::NodeView;

/// Explains a command. For the configuration: each setting before and after. For an operation:
/// the share of keys that would move, and the servers' load before and after, estimated from
/// the current loads.
///
/// # Errors
/// All errors in the command.
pub(crate) fn explain(
    command: &Command,
    range: TextRange,
    view: &NodeView,
) -> Result<Table, Findings> {
    let parsed = Parsed {
        statements: vec![Located::new(Statement::Command(command.clone()), range)],
        findings: Findings::default(),
    };
    match lower(&parsed, view)? {
        Plan::Configure(changes) => Ok(configuration::explain(&changes, view)),
        Plan::Operate(operations) => Ok(operation::explain(&operations, view)),
    }
}
