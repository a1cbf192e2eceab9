//! The process's clock, which counts suspensions of the machine.

use ledgelead_runtime::clock;
use ledgelead_types::Time;

/// Counts from its creation. All parts of one node share one.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock(clock::ProcessClock);

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> ProcessClock {
        ProcessClock(clock::ProcessClock::start())
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time(self.0.now().as_micros() as u64)
    }
}
