//! Fits the number of callers' connections to the process's limit of open
//! files. Without a free file `tiny_http` ends its accept loop for good.

use crate::settings::Limits;

/// Where Linux tells a process its limits.
const LIMITS_FILE: &str = "/proc/self/limits";
/// Name of the limit there.
const OPEN_FILES: &str = "Max open files";
/// Open files of one caller's connection: the caller's, and both ends of the
/// inner one.
const FILES_PER_CONNECTION: usize = 3;
/// Open files for everything else.
const OTHER_FILES: usize = 512;
/// Fewest connections, however few files there are.
const MIN_CONNECTIONS: usize = 16;

/// Lowers `max_connections` to what the process may open.
pub(crate) fn lower_connection_limit(limits: &mut Limits) {
    let text = std::fs::read_to_string(LIMITS_FILE).unwrap_or_default();
    let Some(files) = soft_limit(&text) else {
        return;
    };
    let allowed = files.saturating_sub(OTHER_FILES) / FILES_PER_CONNECTION;
    let allowed = allowed.max(MIN_CONNECTIONS);
    if allowed < limits.max_connections {
        log::warn!(
            target: "node",
            "limits.max-connections lowered from {} to {allowed}: only {files} open files",
            limits.max_connections
        );
        limits.max_connections = allowed;
    }
}

/// The soft limit of open files; `None` when it is unlimited or not told.
fn soft_limit(text: &str) -> Option<usize> {
    let line = text.lines().find(|line| line.starts_with(OPEN_FILES))?;
    let numbers = line.strip_prefix(OPEN_FILES)?;
    numbers.split_whitespace().next()?.parse().ok()
}
