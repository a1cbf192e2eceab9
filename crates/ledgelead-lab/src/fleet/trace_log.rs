//! Log of simulated nodes: prints the events of all nodes with virtual times between the lines of
//! a trace.

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use std::cell::Cell;
use std::time::Duration;

thread_local! {
    /// The node that performs a step, and when.
    static CURRENT: Cell<(usize, Duration)> = const { Cell::new((0, Duration::ZERO)) };
}

static LOGGER: TraceLog = TraceLog;

struct TraceLog;

/// Prints the logs of nodes from now on.
pub(super) fn start() {
    if log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

/// The log records that follow are those of this node.
pub(super) fn set_node(index: usize, now: Duration) {
    CURRENT.set((index, now));
}

/// The values of a record as JSON.
#[derive(Default)]
struct Fields(Vec<String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, _: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = serde_json::to_string(&value).map_err(Error::boxed)?;
        self.0.push(json);
        Ok(())
    }
}

impl Log for TraceLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let (node, now) = CURRENT.get();
        let mut fields = Fields::default();
        // The fields before one that can't be serialized are printed.
        let _ = record.key_values().visit(&mut fields);
        println!(
            "{:>10.4} node {node} logs {}{}",
            now.as_secs_f64(),
            record.args(),
            fields.0.join(" ")
        );
    }

    fn flush(&self) {}
}
