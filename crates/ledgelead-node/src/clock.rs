//! The process's clock, which includes the time in which the machine is suspended.

use ledgelead_runtime::clock;
use ledgelead_types::Time;

/// A clock that starts at its creation. All parts of a node share one.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock(clock::ProcessClock);

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> ProcessClock {
        ProcessClock(clock::ProcessClock::start())
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time(self.0.now().as_micros() as u64)
    }
}
