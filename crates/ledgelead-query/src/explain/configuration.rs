//! Explains changes of the configuration.

use crate::Cell;
use crate::schema::{Column, ColumnKind};
use crate::table::Table;
use ledgelead_configuration::apply_changes;
use ledgelead_types::administration::ConfigurationChange;
use ledgelead_types::configuration::Configuration;
use ledgelead_types::view::NodeView;
use serde_json::Value;
use std::collections::BTreeMap;

const COLUMNS: &[Column] = &[text("part"), text("setting"), text("before"), text("after")];

const fn text(name: &'static str) -> Column {
    Column {
        name,
        kind: ColumnKind::Text,
    }
}

/// Fields of the stored form that track commands and do not describe the deployment.
const COMMAND_STATE: [&str; 3] = ["version", "applied_commands", "highest_service"];
/// Setting whose value is never displayed.
const SECRET_SETTING: &str = "credential_sha256";
/// Placeholder for a value that is not displayed.
const HIDDEN_VALUE: &str = "(hidden)";

/// One row for each setting that would change.
pub(super) fn explain(changes: &[ConfigurationChange], view: &NodeView) -> Table {
    let before = &view.configuration;
    let mut table = Table::new(COLUMNS);
    // The changes were validated when the command was lowered, so this does not fail.
    let Ok(after) = apply_changes(before, changes, "explain") else {
        return table;
    };
    let (before, after) = (setting_values(before), setting_values(&after));
    let keys: std::collections::BTreeSet<&Setting> = before.keys().chain(after.keys()).collect();
    for key in keys {
        let (old, new) = (before.get(key), after.get(key));
        if old != new {
            table.rows.push(vec![
                Cell::from(key.part.as_str()),
                Cell::from(key.setting.as_str()),
                displayed(key, old),
                displayed(key, new),
            ]);
        }
    }
    table
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Setting {
    part: String,
    setting: String,
}

fn displayed(key: &Setting, value: Option<&String>) -> Cell {
    let value = value.map(|value| match key.setting.as_str() {
        SECRET_SETTING => HIDDEN_VALUE.to_owned(),
        _ => value.clone(),
    });
    value.into()
}

/// All settings in the configuration's stored form.
fn setting_values(configuration: &Configuration) -> BTreeMap<Setting, String> {
    let mut settings = BTreeMap::new();
    let Ok(Value::Object(lists)) = serde_json::to_value(configuration) else {
        return settings;
    };
    for (list, items) in lists {
        let Value::Array(items) = items else {
            continue;
        };
        if COMMAND_STATE.contains(&list.as_str()) {
            continue;
        }
        let kind = list.trim_end_matches('s');
        for item in items {
            let name = item.get("name").and_then(Value::as_str).unwrap_or_default();
            let part = format!("{kind} {name}");
            flatten(&part, "", &item, &mut settings);
        }
    }
    settings
}

fn flatten(part: &str, path: &str, value: &Value, settings: &mut BTreeMap<Setting, String>) {
    if let Value::Object(fields) = value {
        for (name, value) in fields {
            let path = if path.is_empty() {
                name.clone()
            } else {
                format!("{path}.{name}")
            };
            flatten(part, &path, value, settings);
        }
        return;
    }
    let key = Setting {
        part: part.to_owned(),
        setting: path.to_owned(),
    };
    let written = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned);
    settings.insert(key, written);
}
