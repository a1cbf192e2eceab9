//! Evaluates a text of queries, or plans a text of commands.

use crate::evaluate::{evaluate, owner};
use crate::explain::explain;
use crate::finding::{Finding, Findings};
use crate::lower::{Plan, lower};
use crate::parse::parse;
use crate::table::Table;
use crate::tree::Statement;
use ledgelead_types::view::NodeView;

/// Maximum number of queries in one text; each scans the whole view.
const MAX_QUERIES: usize = 32;

/// Evaluates a text of queries; returns one table per query.
///
/// # Errors
/// All errors in the text, ordered by position.
pub fn answer(text: &str, view: &NodeView) -> Result<Vec<Table>, Findings> {
    let parsed = parse(text);
    let mut findings = parsed.findings;
    let mut tables = Vec::new();
    report_empty(&parsed.statements, text, &mut findings);
    if let Some(first_excess) = parsed.statements.get(MAX_QUERIES) {
        let message = format!("a text has at most {MAX_QUERIES} queries");
        findings.add(Finding::new(first_excess.range.clone(), message));
        return Err(findings);
    }
    for statement in &parsed.statements {
        let range = statement.range.clone();
        let result = match &statement.value {
            Statement::Show(show) => evaluate(show, view),
            Statement::Owner(key) => owner(key, view),
            Statement::Explain(command) => explain(command, range, view),
            Statement::Command(_) => {
                let finding = Finding::new(range, "this is a command, not a query");
                let help = "give it with `ledgelead command`, or put `explain` before it";
                Err(Findings(vec![finding.with_help(help)]))
            }
        };
        match result {
            Ok(table) => tables.push(table),
            Err(found) => findings.extend(found),
        }
    }
    findings.sort();
    if findings.is_empty() {
        Ok(tables)
    } else {
        Err(findings)
    }
}

/// Plans a text of commands.
///
/// # Errors
/// All errors in the text, ordered by position.
pub fn plan(text: &str, view: &NodeView) -> Result<Plan, Findings> {
    let mut parsed = parse(text);
    report_empty(&parsed.statements, text, &mut parsed.findings);
    lower(&parsed, view)
}

fn report_empty<T>(statements: &[T], text: &str, findings: &mut Findings) {
    if statements.is_empty() && findings.is_empty() {
        findings.add(Finding::new(0..text.len(), "there is no statement"));
    }
}
