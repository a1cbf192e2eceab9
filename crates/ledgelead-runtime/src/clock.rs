//! The clock of a process, counted from its start.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Which clock of the machine is read. Neither is ever set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockSource {
    /// It stands still while the machine is suspended.
    Steady,
    /// It goes on while the machine is suspended.
    SinceBoot,
}

impl ClockSource {
    /// The time on this clock.
    fn read(self) -> Duration {
        let clock = match self {
            ClockSource::Steady => ClockId::Monotonic,
            ClockSource::SinceBoot => ClockId::Boottime,
        };
        let time = clock_gettime(clock);
        // Both count from the start of the machine, so neither part is negative.
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanos)
    }
}

/// The time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    source: ClockSource,
    origin: Duration,
}

impl ProcessClock {
    /// The clock by which processes go.
    pub const SOURCE: ClockSource = ClockSource::Steady;

    /// A clock that starts now.
    pub fn start() -> ProcessClock {
        ProcessClock::of(ProcessClock::SOURCE)
    }

    /// The same by another clock of the machine.
    pub fn of(source: ClockSource) -> ProcessClock {
        ProcessClock {
            source,
            origin: source.read(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Duration {
        self.source.read().saturating_sub(self.origin)
    }
}
