//! Clocks of processes that run fast or slow against the run's clock.

use super::rng::RandomStream;
use ledgelead_types::{Span, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A monotonic clock with a rate of its own and an arbitrary start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SkewedClock {
    offset: u64,
    rate: f64,
}

/// Clocks start within this many microseconds, so that times of different
/// processes can't be compared by accident.
const START_RANGE: usize = 1_000_000_000;

impl SkewedClock {
    /// A clock that deviates by at most `drift_ppm` either way.
    pub fn draw(rng: &mut RandomStream, drift_ppm: u64) -> SkewedClock {
        const PARTS: f64 = 1_000_000.0;
        let drift = drift_ppm as f64 / PARTS;
        SkewedClock {
            offset: rng.below(START_RANGE) as u64,
            rate: 1.0 + rng.between(-drift, drift),
        }
    }

    /// What this clock shows at a point of the run.
    pub fn local(&self, run: Time) -> Time {
        Time(self.offset + (run.0 as f64 * self.rate) as u64)
    }

    /// When, on the run's clock, this clock shows `local`.
    pub fn run_time(&self, local: Time) -> Time {
        Time((local.0.saturating_sub(self.offset) as f64 / self.rate) as u64)
    }

    /// How long this clock takes, on the run's clock, to advance by `span`.
    pub fn run_span(&self, span: Span) -> Span {
        Span((span.0 as f64 / self.rate).ceil() as u64)
    }
}

/// The clock of a node's process, which the process may stop seeing while it
/// is paused. Shared between the world and the process's ports.
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
    /// A clock of a process that runs.
    pub fn new(run: Rc<Cell<Time>>, skew: SkewedClock) -> NodeClock {
        NodeClock {
            run,
            skew,
            paused: Cell::new(None),
        }
    }

    /// Stops the process until a point of the run.
    pub fn pause(&self, until: Time) {
        let from = self.run.get();
        self.paused.set(Some(Pause { from, until }));
    }

    /// Lets the process go on; its clock has advanced meanwhile.
    pub fn resume(&self) {
        self.paused.set(None);
    }

    /// Until when the process is paused.
    pub fn paused_until(&self) -> Option<Time> {
        self.paused.get().map(|pause| pause.until)
    }

    /// What the process sees. A paused process sees nothing later than the
    /// start of its pause.
    pub fn now(&self) -> Time {
        let run = self.paused.get().map_or(self.run.get(), |pause| pause.from);
        self.skew.local(run)
    }

    /// How long a timer has to wait on the run's clock. A paused process's
    /// timers fire after the pause.
    pub fn timer_delay(&self, span: Span) -> Duration {
        let mut delay = self.skew.run_span(span);
        if let Some(pause) = self.paused.get() {
            delay = delay.max(pause.until.since(self.run.get()));
        }
        delay.to_std()
    }
}
