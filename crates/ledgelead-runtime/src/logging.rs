//! Logs as JSON lines on standard output.

use serde_json::json;
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

/// Sends log records to standard output, one JSON object a line: `time` in
/// seconds since the epoch, `level`, `node`, `topic`, `message`.
///
/// # Errors
/// When the process logs already.
pub fn start(level: log::LevelFilter, node: String) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let time = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0.0, |since| since.as_secs_f64());
            let line = json!({
                "time": time,
                "level": record.level().as_str(),
                "node": node,
                "topic": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(io::stdout())
        .apply()
}
