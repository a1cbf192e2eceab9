//! Lowers the limit of callers' connections to what the process's limit of open files
//! allows. When `tiny_http` runs out of file descriptors, it ends its accept loop
//! permanently.

use crate::settings::Limits;

/// File in which Linux lists the limits of a process.
const LIMITS_FILE: &str = "/proc/self/limits";
/// Name of the limit in that file.
const OPEN_FILES: &str = "Max open files";
/// Open files per caller's connection: the caller's socket and both ends of the inner
/// connection.
const FILES_PER_CONNECTION: usize = 3;
/// Open files reserved for everything else.
const OTHER_FILES: usize = 512;
/// Lower bound of the connection limit, however few files may be open.
const MIN_CONNECTIONS: usize = 16;

/// Lowers `max_connections` to what the process's limit of open files allows.
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
            "limits.max-connections lowered from {} to {allowed}: at most {files} open files",
            limits.max_connections
        );
        limits.max_connections = allowed;
    }
}

/// The soft limit of open files; `None` if it is unlimited or not listed.
fn soft_limit(text: &str) -> Option<usize> {
    let line = text.lines().find(|line| line.starts_with(OPEN_FILES))?;
    let numbers = line.strip_prefix(OPEN_FILES)?;
    numbers.split_whitespace().next()?.parse().ok()
}
