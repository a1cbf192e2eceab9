//! Log output as JSON lines, by `log` and `fern`.
//!
//! Every line has `time` (seconds since the epoch), `level`, `node`, `module`
//! and either `event` with its fields or `message`. Many nodes can run in one process,
//! so the node is taken from the name of the thread that logs.

use std::fmt::{self, Display, Write};
use std::time::{SystemTime, UNIX_EPOCH};

/// Target of records that contain JSON fields instead of a message.
pub const EVENT_TARGET: &str = "event";
/// Separates the node from the thread's task in the name of a thread.
const NAME_SEPARATOR: char = '/';

/// Fields of a JSON object, without its braces.
#[derive(Clone, Debug, Default)]
pub struct JsonFields(String);

impl JsonFields {
    /// No fields.
    pub fn new() -> JsonFields {
        JsonFields::default()
    }

    /// Adds a string.
    pub fn text(self, name: &str, value: impl Display) -> JsonFields {
        let value = serde_json::Value::String(value.to_string());
        self.raw(name, &value.to_string())
    }

    /// Adds a string, or `null`.
    pub fn optional_text(self, name: &str, value: Option<&impl Display>) -> JsonFields {
        match value {
            Some(value) => self.text(name, value),
            None => self.raw(name, "null"),
        }
    }

    /// Adds a number.
    pub fn number(self, name: &str, value: u64) -> JsonFields {
        self.raw(name, &value.to_string())
    }

    /// Adds a boolean.
    pub fn flag(self, name: &str, value: bool) -> JsonFields {
        self.raw(name, if value { "true" } else { "false" })
    }

    fn raw(mut self, name: &str, value: &str) -> JsonFields {
        let separator = if self.0.is_empty() { "" } else { "," };
        write!(self.0, "{separator}\"{name}\":{value}").expect("writing to a string can't fail");
        self
    }
}

impl Display for JsonFields {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The name of a node's thread.
pub fn thread_name(node: ledgelead_types::NodeId, job: &str) -> String {
    format!("{node}{NAME_SEPARATOR}{job}")
}

/// Sends log records to standard error as JSON lines. Lines from threads that belong to
/// no node, such as the main thread, have the given `node`. Records of libraries below
/// the level of warnings are dropped, since their debug records contain callers' headers.
///
/// # Errors
/// When a logger is already installed.
pub fn start(
    level: log::LevelFilter,
    node: ledgelead_types::NodeId,
) -> Result<(), log::SetLoggerError> {
    let main = thread_name(node, "main");
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let thread = std::thread::current();
            let named = thread.name();
            let named = named.filter(|name| name.contains(NAME_SEPARATOR));
            let line = json_line(
                Some(named.unwrap_or(&main)),
                SystemTime::now(),
                record,
                message,
            );
            out.finish(format_args!("{line}"));
        })
        .level(level)
        .level_for("ureq", level.min(log::LevelFilter::Warn))
        .level_for("ureq_proto", level.min(log::LevelFilter::Warn))
        .level_for("tiny_http", level.min(log::LevelFilter::Warn))
        .level_for("mio", level.min(log::LevelFilter::Warn))
        .chain(std::io::stderr())
        .apply()
}

/// Formats one record as a line.
pub fn json_line(
    thread: Option<&str>,
    time: SystemTime,
    record: &log::Record<'_>,
    message: &dyn Display,
) -> String {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let node = thread.and_then(|name| name.split_once(NAME_SEPARATOR));
    let fields = JsonFields::new()
        .raw("time", &format!("{:.6}", since_epoch.as_secs_f64()))
        .text("level", record.level().as_str().to_lowercase())
        .optional_text("node", node.map(|(node, _)| node).as_ref())
        .text("module", record.target());
    if record.target() == EVENT_TARGET {
        return format!("{{{fields},{message}}}");
    }
    format!("{{{}}}", fields.text("message", message))
}
