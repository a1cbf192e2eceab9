//! Detects timers that are handled late, which shows that the node lacks processor time.

use super::Node;
use crate::Timestamp;
use crate::events::Event;
use crate::whole_millis;
use std::time::Duration;

/// Lateness from which on a timer counts as late. A single long step takes less.
const MIN_LATENESS: Duration = Duration::from_millis(100);
/// Minimum interval between two log records.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Work counted at some time.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    selections: u64,
    decisions: u64,
    inputs: u64,
}

/// How late this node handles its timers.
#[derive(Debug, Default)]
pub(super) struct Punctuality {
    /// Inputs handled.
    inputs: u64,
    /// Timers of requests handled more than `MIN_LATENESS` late.
    late: u64,
    next_log: Timestamp,
    logged: Work,
}

impl Punctuality {
    /// Counts an input.
    pub(super) fn record_input(&mut self) {
        self.inputs += 1;
    }

    /// Number of times that timers of requests were handled late.
    pub(super) fn late(&self) -> u64 {
        self.late
    }
}

impl Node {
    /// Records how late the next timer of the requests is.
    pub(super) fn record_lateness(&mut self, now: Timestamp) {
        let due = self.requests.next_deadline().unwrap_or(now);
        let late = now.saturating_sub(due);
        if late < MIN_LATENESS {
            return;
        }
        self.punctuality.late += 1;
        if now < self.punctuality.next_log {
            return;
        }
        let counters = self.requests.counters();
        let work = Work {
            selections: counters.selections,
            decisions: counters.decisions,
            inputs: self.punctuality.inputs,
        };
        let before = std::mem::replace(&mut self.punctuality.logged, work);
        self.punctuality.next_log = now + LOG_INTERVAL;
        let event = Event::TimersLate {
            late_ms: whole_millis(late),
            open: self.requests.len(),
            waiting: self.requests.waiting(),
            selections: work.selections - before.selections,
            decisions: work.decisions - before.decisions,
            inputs: work.inputs - before.inputs,
        };
        event.emit();
    }
}
