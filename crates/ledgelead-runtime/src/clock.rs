//! The clock of a process, counted from its start.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant};

/// Which clock of the machine is read. Neither is ever set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockSource {
    /// It stands still while the machine is suspended.
    Monotonic,
    /// It goes on while the machine is suspended.
    Boottime,
}

impl ClockSource {
    /// The time on this clock.
    fn read(self) -> Duration {
        let clock = match self {
            ClockSource::Monotonic => ClockId::Monotonic,
            ClockSource::Boottime => ClockId::Boottime,
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
    /// The clock by which processes go. A process that was suspended has to know, else it
    /// takes its authority and leases for younger than they are, and keys get two owners.
    pub const SOURCE: ClockSource = ClockSource::Boottime;

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

/// Least difference of the two clocks that counts as a suspension: a process may lose its
/// processor between the readings.
const LEAST_SUSPENSION: Duration = Duration::from_millis(200);

/// Notices that the steady clock stood still.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    steady_origin: Instant,
    /// By how much the process's clock is ahead.
    ahead: Duration,
}

impl SuspensionDetector {
    /// From a reading of both clocks.
    pub fn new(steady: Instant, time: Duration) -> SuspensionDetector {
        SuspensionDetector {
            steady_origin: steady,
            ahead: time,
        }
    }

    /// For how long the machine was suspended since the last reading.
    pub fn passed(&mut self, steady: Instant, time: Duration) -> Duration {
        let ran = steady.saturating_duration_since(self.steady_origin);
        let ahead = time.saturating_sub(ran);
        let more = ahead.saturating_sub(self.ahead);
        if more < LEAST_SUSPENSION {
            return Duration::ZERO;
        }
        self.ahead = ahead;
        more
    }
}
