//! Text output for a command's response.

use serde_json::Value;

/// Describes the change that took effect.
pub(super) fn accepted(answer: &Value) -> String {
    let repeated = answer["repeated"].as_bool().unwrap_or_default();
    let again = if repeated { " before" } else { "" };
    if let Some(operations) = answer["operations"].as_u64() {
        let plural = if operations == 1 { "" } else { "s" };
        return format!("decided{again}: {operations} operation{plural}\n");
    }
    let version = &answer["version"];
    let everywhere = match answer["in_force"].as_bool() {
        Some(true) => ", in force at every live node",
        _ => "",
    };
    format!("accepted{again}: version {version}{everywhere}\n")
}

/// The nodes at which the change was not in force when the wait ended.
pub(super) fn lagging(answer: &Value) -> Option<String> {
    let nodes = answer["lagging"].as_array()?;
    let names: Vec<&str> = nodes.iter().filter_map(Value::as_str).collect();
    (!names.is_empty()).then(|| names.join(", "))
}
