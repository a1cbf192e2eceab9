//! The process's clock, and detection of machine suspensions.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant};

/// Which of the kernel's clocks is read. Neither can be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockSource {
    /// `CLOCK_MONOTONIC`, which stops while the machine is suspended.
    Monotonic,
    /// `CLOCK_BOOTTIME`, which counts the time of suspensions too.
    Boottime,
}

impl ClockSource {
    /// Reads the clock.
    fn read(self) -> Duration {
        let clock = match self {
            ClockSource::Monotonic => ClockId::Monotonic,
            ClockSource::Boottime => ClockId::Boottime,
        };
        let time = clock_gettime(clock);
        // Both clocks count from the start of the machine, so neither part is negative.
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
    /// The clock that nodes use. It must count suspensions: otherwise a node that was
    /// suspended takes its authority and leases for younger than they are, and keys get two
    /// owners.
    pub const SOURCE: ClockSource = ClockSource::Boottime;

    /// A clock that starts now.
    pub fn start() -> ProcessClock {
        ProcessClock::of(ProcessClock::SOURCE)
    }

    /// A clock that starts now and reads this source.
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

/// Smaller differences between the two clocks don't count as a suspension, because the
/// process may be preempted between the two readings.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);

/// Detects suspensions of the machine by comparing the monotonic clock, which stops
/// meanwhile, with the process's clock.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    monotonic_origin: Instant,
    /// By how much the process's clock is ahead of the monotonic clock since its origin.
    offset: Duration,
}

impl SuspensionDetector {
    /// Starts from a reading of both clocks.
    pub fn new(monotonic: Instant, time: Duration) -> SuspensionDetector {
        SuspensionDetector {
            monotonic_origin: monotonic,
            offset: time,
        }
    }

    /// How long the machine was suspended since the last suspension that was reported here;
    /// zero if less than 200 ms.
    pub fn detect(&mut self, monotonic: Instant, time: Duration) -> Duration {
        let running = monotonic.saturating_duration_since(self.monotonic_origin);
        let offset = time.saturating_sub(running);
        let suspended = offset.saturating_sub(self.offset);
        if suspended < MIN_SUSPENSION {
            return Duration::ZERO;
        }
        self.offset = offset;
        suspended
    }
}
