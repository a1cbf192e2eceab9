//! Logs as JSON lines that never hold the process up.
//!
//! Lines go through a bounded queue to a thread that writes them. When the
//! reader of the output is slow, the queue fills and lines are dropped; how
//! many is counted, and told in a line of its own as soon as there is room.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines that wait to be written at most.
const QUEUE_LINES: usize = 2_048;
/// Stack of the writing thread, in bytes.
const WRITER_STACK: usize = 64 * 1024;

/// Lines that were dropped since the start of the process.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// How many lines were dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Sends log records to standard output, one JSON object a line: `time` in
/// seconds since the epoch, `level`, `node`, `topic`, and `event` or `message`.
///
/// # Errors
/// When the process logs already.
pub fn start(level: log::LevelFilter, node: String) -> Result<(), log::SetLoggerError> {
    let queue = match LineQueue::new(io::stdout(), QUEUE_LINES) {
        Ok(queue) => Some(queue),
        Err(error) => {
            eprintln!("no thread for logs, so there are none: {error}");
            None
        }
    };
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| {
            if let Some(queue) = &queue {
                queue.push(line(record, &node));
                DROPPED.store(queue.dropped(), Ordering::Relaxed);
            }
        }))
        .apply()
}

/// Collects the fields of a record.
#[derive(Default)]
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = serde_json::to_value(&value).map_err(Error::boxed)?;
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn line(record: &log::Record<'_>, node: &str) -> String {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64());
    let mut fields = Fields::default();
    // A field that can't be written is left out.
    let _ = record.key_values().visit(&mut fields);
    let mut object = fields.0;
    object.insert("time".to_owned(), json!(time));
    object.insert("level".to_owned(), json!(record.level().as_str()));
    object.insert("node".to_owned(), json!(node));
    object.insert("topic".to_owned(), json!(record.target()));
    let message = record.args().to_string();
    if !message.is_empty() {
        object.insert("message".to_owned(), json!(message));
    }
    serde_json::Value::Object(object).to_string()
}

/// Lines on their way to a writer that may be slow.
#[derive(Clone, Debug)]
pub struct LineQueue {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// A queue of at most `capacity` lines, and the thread that writes them.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn new(output: impl Write + Send + 'static, capacity: usize) -> io::Result<LineQueue> {
        let (lines, waiting) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::Builder::new()
            .name("logs".to_owned())
            .stack_size(WRITER_STACK)
            .spawn(move || write_lines(output, &waiting, &counted))?;
        Ok(LineQueue { lines, dropped })
    }

    /// Adds a line, or drops it when the queue is full. Never waits.
    pub fn push(&self, line: String) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line)
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// How many lines were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(mut output: impl Write, waiting: &Receiver<String>, dropped: &AtomicU64) {
    let mut told = 0;
    while let Ok(line) = waiting.recv() {
        let lost = dropped.load(Ordering::Relaxed);
        if lost > told {
            let gap = json!({
                "level": "WARN",
                "topic": "logs",
                "event": { "event": "lines_dropped", "count": lost - told },
            });
            if writeln!(output, "{gap}").is_err() {
                return;
            }
            told = lost;
        }
        if writeln!(output, "{line}").is_err() {
            return;
        }
    }
}
