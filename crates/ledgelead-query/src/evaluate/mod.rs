//! Evaluates queries against a view.

pub(crate) mod deployment;
pub(crate) mod settings;

use crate::finding::{Finding, Findings};
use crate::names::{find_service, group_name, locate_key, server_name, zone_name};
use crate::schema::{ColumnKind, OWNER, Subject};
use crate::table::Table;
use crate::tree::*;
use crate::{Cell, cell::NONE};
use ledgelead_types::view::NodeView;

/// Factor from a share to a percentage.
pub(crate) const PERCENT: f64 = 100.0;

/// Evaluates a query.
///
/// # Errors
/// All errors in the query: unknown names and columns, and values of the wrong type.
pub(crate) fn evaluate(show: &Show, view: &NodeView) -> Result<Table, Findings> {
    let findings = check(show, view);
    if !findings.is_empty() {
        return Err(findings);
    }
    let mut table = all_rows(show.subject.value, view);
    if let Some(service) = &show.service {
        filter_by_service(&mut table, &service.value);
    }
    filter_rows(&mut table, &show.filter);
    if let Some(order) = &show.order {
        sort(&mut table, order);
    }
    if let Some(limit) = show.limit {
        table.rows.truncate(limit as usize);
    }
    Ok(table)
}

/// Returns all errors in a query.
fn check(show: &Show, view: &NodeView) -> Findings {
    let mut findings = Findings::default();
    if let Some(service) = &show.service {
        find_service(&view.configuration, service, &mut findings);
        if !show.subject.value.has_services() {
            let message = format!("{} don't belong to services", show.subject.value.name());
            findings.add(Finding::new(service.range.clone(), message));
        }
    }
    for condition in show.filter.iter().flatten() {
        check_condition(show.subject.value, condition, &mut findings);
    }
    if let Some(order) = &show.order {
        check_column(show.subject.value, &order.field, &mut findings);
    }
    findings
}

fn check_column(
    subject: Subject,
    field: &crate::Located<String>,
    findings: &mut Findings,
) -> Option<ColumnKind> {
    let columns = subject.columns();
    let found = columns.iter().find(|column| column.name == field.value);
    if found.is_none() {
        let names = columns.iter().map(|column| column.name);
        let what = format!("column of {}", subject.name());
        findings.add(Finding::unknown(
            field.range.clone(),
            &what,
            &field.value,
            names,
        ));
    }
    found.map(|column| column.kind)
}

fn check_condition(subject: Subject, condition: &Condition, findings: &mut Findings) {
    let Some(kind) = check_column(subject, &condition.field, findings) else {
        return;
    };
    let expected = match (kind, &condition.value.value) {
        (_, Value::Text(text)) if text == NONE => return,
        (ColumnKind::Text, Value::Text(_)) | (ColumnKind::Number, Value::Number(_)) => return,
        (ColumnKind::Flag, Value::Text(text)) if matches!(text.as_str(), "true" | "false") => {
            return;
        }
        (ColumnKind::Text, _) => "a text; write it in quotes",
        (ColumnKind::Number, _) => "a number",
        (ColumnKind::Flag, _) => "`true` or `false`",
    };
    let message = format!("`{}` is compared with {expected}", condition.field.value);
    findings.add(Finding::new(condition.value.range.clone(), message));
}

fn all_rows(subject: Subject, view: &NodeView) -> Table {
    let rows = match subject {
        Subject::Services => settings::services(view),
        Subject::Zones => settings::zones(view),
        Subject::Tiers => settings::tiers(view),
        Subject::Callers => settings::callers(view),
        Subject::Operators => settings::operators(view),
        Subject::Configuration => settings::configuration(view),
        Subject::Servers => deployment::servers(view),
        Subject::Slices => deployment::slices(view),
        Subject::Nodes => deployment::nodes(view),
        Subject::Groups => deployment::groups(view),
        Subject::Leases => deployment::leases(view),
    };
    let mut table = Table::new(subject.columns());
    table.rows = rows;
    table
}

fn filter_by_service(table: &mut Table, service: &str) {
    if let Some(index) = table.column("service") {
        let service_cell = Cell::from(service);
        table.rows.retain(|row| row[index] == service_cell);
    }
}

fn filter_rows(table: &mut Table, filter: &[Vec<Condition>]) {
    if filter.is_empty() {
        return;
    }
    let columns = table.columns.clone();
    let matches = |row: &[Cell], condition: &Condition| {
        let index = columns
            .iter()
            .position(|column| column.name == condition.field.value);
        index.is_some_and(|index| row[index].matches(condition.comparison, &condition.value.value))
    };
    table.rows.retain(|row| {
        filter
            .iter()
            .any(|conditions| conditions.iter().all(|condition| matches(row, condition)))
    });
}

/// The sort is stable, so equal rows keep the order of the configuration.
fn sort(table: &mut Table, order: &Order) {
    let Some(index) = table.column(&order.field.value) else {
        return;
    };
    table.rows.sort_by(|left, right| {
        let ordering = left[index].compare(&right[index]);
        if order.descending {
            ordering.reverse()
        } else {
            ordering
        }
    });
}

/// Looks up the owner of a key.
///
/// # Errors
/// If the service is unknown or not partitioned by key.
pub(crate) fn owner(key: &KeyInService, view: &NodeView) -> Result<Table, Findings> {
    let configuration = &view.configuration;
    let mut findings = Findings::default();
    let Some(located) = locate_key(configuration, key, &mut findings) else {
        return Err(findings);
    };
    let routes = view
        .groups
        .iter()
        .map(|group| &group.routes)
        .find(|routes| routes.group == located.group);
    let slice = routes.and_then(|routes| routes.slice_at(located.position));
    let owner = slice.and_then(|slice| slice.owner);
    let server = owner.and_then(|owner| routes.and_then(|routes| routes.server(owner)));
    let mut table = Table::new(OWNER);
    table.rows.push(vec![
        Cell::from(key.key.value.as_str()),
        Cell::text(&located.service.name),
        group_name(configuration, located.group).into(),
        Cell::text(format_args!("{:016x}", located.position.0)),
        owner.map(|owner| server_name(configuration, owner)).into(),
        server
            .map(|server| deployment::status_name(server.status))
            .into(),
        server
            .map(|server| zone_name(configuration, server.zone))
            .into(),
        server.map(|server| server.address.0.clone()).into(),
        server.map(|server| server.dispatcher.to_string()).into(),
        slice.map(|slice| slice.token.to_string()).into(),
    ]);
    Ok(table)
}
