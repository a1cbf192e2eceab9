//! The clock of a demonstration. All its parts share a process, so their records can be
//! compared directly.

use ledgelead_types::{Span, Time};
use std::time::{Duration, Instant};

/// Measures the time since the start of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    started: Instant,
}

impl WallClock {
    /// Creates a clock that starts at zero.
    pub fn start() -> WallClock {
        WallClock {
            started: Instant::now(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        let micros = self.started.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Sleeps until `time`; returns immediately if it has passed.
    pub fn sleep_until(&self, time: Time) {
        let left = time.since(self.now());
        if left > Span::ZERO {
            std::thread::sleep(Duration::from_micros(left.as_micros()));
        }
    }
}
