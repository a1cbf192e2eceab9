//! Non-blocking logs in JSON lines.
//!
//! Lines go through a bounded queue to a thread that writes them. If the reader of the
//! output is slow, the queue fills up and further lines are dropped. Their number is logged
//! as a line of its own as soon as the writer continues. The same holds for lines beyond a
//! number of queued bytes, and beyond a rate that a failure of many attempts at once would exceed.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Capacity of the queue of lines.
const QUEUE_LINES: usize = 2_048;
/// Bytes that queued lines may take together.
const QUEUE_BYTES: usize = 1 << 20;
/// Lines a second that are written for longer.
const LINES_PER_S: f64 = 400.0;
/// Lines that may be written at once.
const BURST_LINES: f64 = 2_000.0;
/// Stack size of the writer thread.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// Lines dropped since the start of the process.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes log records to standard output, each as a JSON object on one line: `time` in
/// seconds since the Unix epoch, `level`, `node`, `topic`, and `event` or `message`.
///
/// # Errors
/// If the process already has a logger.
pub fn start(level: log::LevelFilter, node: String) -> Result<(), log::SetLoggerError> {
    let queue = match LineQueue::new(io::stdout(), QUEUE_LINES) {
        Ok(queue) => Some(queue),
        Err(error) => {
            eprintln!("failed to start the log writer, nothing will be logged: {error}");
            None
        }
    };
    let started = Instant::now();
    let rate = Mutex::new(LineRate::default());
    let admits = move || {
        // A lock poisoned by a panic still protects consistent numbers.
        let mut rate = rate.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        rate.admits(started.elapsed())
    };
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| {
            if let Some(queue) = &queue {
                match admits() {
                    true => queue.push(json_line(record, &node)),
                    false => queue.drop_line(),
                }
                DROPPED.store(queue.dropped(), Ordering::Relaxed);
            }
        }))
        .apply()
}

/// Collects the key-value pairs of a record.
#[derive(Default)]
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = serde_json::to_value(&value).map_err(Error::boxed)?;
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn json_line(record: &log::Record<'_>, node: &str) -> String {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64());
    let mut fields = Fields::default();
    // The visit ends at a value that can't be serialized; the fields before it are kept.
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

/// Limits the rate of lines.
#[derive(Clone, Copy, Debug)]
pub struct LineRate {
    available: f64,
    at: Duration,
}

impl Default for LineRate {
    fn default() -> LineRate {
        LineRate {
            available: BURST_LINES,
            at: Duration::ZERO,
        }
    }
}

impl LineRate {
    /// Whether another line may be written at a time since the start.
    pub fn admits(&mut self, now: Duration) -> bool {
        let earned = now.saturating_sub(self.at).as_secs_f64() * LINES_PER_S;
        self.available = (self.available + earned).min(BURST_LINES);
        self.at = now;
        let admits = self.available >= 1.0;
        if admits {
            self.available -= 1.0;
        }
        admits
    }
}

/// A bounded queue of lines for a writer that may be slow.
#[derive(Clone, Debug)]
pub struct LineQueue {
    lines: SyncSender<String>,
    /// Bytes of the lines that are not written yet.
    bytes: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Creates a queue for at most `capacity` lines and starts the thread that writes them.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn new(output: impl Write + Send + 'static, capacity: usize) -> io::Result<LineQueue> {
        let (lines, queued) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let bytes = Arc::new(AtomicUsize::new(0));
        let (writer_bytes, writer_dropped) = (bytes.clone(), dropped.clone());
        thread::Builder::new()
            .name("logs".to_owned())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(move || write_lines(output, &queued, &writer_bytes, &writer_dropped))?;
        Ok(LineQueue {
            lines,
            bytes,
            dropped,
        })
    }

    /// Adds a line, or drops it if the queue is full. Never blocks.
    pub fn push(&self, line: String) {
        let length = line.len();
        let queued = self.bytes.fetch_add(length, Ordering::Relaxed);
        let is_queued = queued + length <= QUEUE_BYTES && self.lines.try_send(line).is_ok();
        if !is_queued {
            self.bytes.fetch_sub(length, Ordering::Relaxed);
            self.drop_line();
        }
    }

    /// Counts a line that is not written.
    pub fn drop_line(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(
    mut output: impl Write,
    queued: &Receiver<String>,
    bytes: &AtomicUsize,
    dropped: &AtomicU64,
) {
    let mut reported = 0;
    while let Ok(line) = queued.recv() {
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            let gap = json!({
                "level": "WARN",
                "topic": "logs",
                "event": { "event": "lines_dropped", "count": total - reported },
            });
            if writeln!(output, "{gap}").is_err() {
                return;
            }
            reported = total;
        }
        if writeln!(output, "{line}").is_err() {
            return;
        }
        bytes.fetch_sub(line.len(), Ordering::Relaxed);
    }
}
