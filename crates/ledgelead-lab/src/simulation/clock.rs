//! Process clocks that run fast or slow relative to the clock of the run.

use super::rng::RandomStream;
use ledgelead_types::{Span, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A monotonic clock with its own rate and an arbitrary start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SkewedClock {
    offset: u64,
    rate: f64,
}

/// Range of clock starts in microseconds. Different starts expose accidental comparisons of
/// times from different processes.
const START_RANGE: usize = 1_000_000_000;

impl SkewedClock {
    /// Draws a clock that deviates by at most `drift_ppm` in either direction.
    pub fn draw(rng: &mut RandomStream, drift_ppm: u64) -> SkewedClock {
        const PARTS: f64 = 1_000_000.0;
        let drift = drift_ppm as f64 / PARTS;
        SkewedClock {
            offset: rng.below(START_RANGE) as u64,
            rate: 1.0 + rng.between(-drift, drift),
        }
    }

    /// Time on this clock at a time of the run.
    pub fn local(&self, run: Time) -> Time {
        Time(self.offset + (run.0 as f64 * self.rate) as u64)
    }

    /// Time of the run at which this clock shows `local`.
    pub fn run_time(&self, local: Time) -> Time {
        Time((local.0.saturating_sub(self.offset) as f64 / self.rate) as u64)
    }

    /// Time on the clock of the run that this clock takes to advance by `span`.
    pub fn run_span(&self, span: Span) -> Span {
        Span((span.0 as f64 / self.rate).ceil() as u64)
    }
}

/// The clock of a node's process. While the process is paused it sees a frozen time. Shared
/// between the simulation and the process's ports.
#[derive(Debug)]
pub struct NodeClock {
    run: Rc<Cell<Time>>,
    skew: SkewedClock,
    paused: Cell<Option<Pause>>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    from: Time,
    until: Time,
}

impl NodeClock {
    /// Creates the clock of a running process.
    pub fn new(run: Rc<Cell<Time>>, skew: SkewedClock) -> NodeClock {
        NodeClock {
            run,
            skew,
            paused: Cell::new(None),
        }
    }

    /// Pauses the process until a time of the run.
    pub fn pause(&self, until: Time) {
        let from = self.run.get();
        self.paused.set(Some(Pause { from, until }));
    }

    /// Resumes the process; its clock has advanced meanwhile.
    pub fn resume(&self) {
        self.paused.set(None);
    }

    /// End of the current pause, if any.
    pub fn paused_until(&self) -> Option<Time> {
        self.paused.get().map(|pause| pause.until)
    }

    /// Time that the process sees. A paused process sees the start of its pause.
    pub fn now(&self) -> Time {
        let run = self.paused.get().map_or(self.run.get(), |pause| pause.from);
        self.skew.local(run)
    }

    /// Delay of a timer on the clock of the run. Timers of a paused process fire after the
    /// pause.
    pub fn timer_delay(&self, span: Span) -> Duration {
        let mut delay = self.skew.run_span(span);
        if let Some(pause) = self.paused.get() {
            delay = delay.max(pause.until.since(self.run.get()));
        }
        delay.to_std()
    }
}
