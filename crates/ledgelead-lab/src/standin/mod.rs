//! Simulated counterparts of the services around the system: back ends ([`server`]) and the
//! platform's object API ([`platform`]). Both are pure state machines. The simulation drives
//! them in virtual time, the demonstration over real sockets.

pub mod execution;
pub mod platform;
pub mod server;

use ledgelead_types::Time;

/// A point in time on the clock of a simulated process and on the clock of the run.
///
/// Only records for the checker use the clock of the run. Decisions use the local clock, as in
/// a real process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// The process's own monotonic clock, which may run fast or slow.
    pub local: Time,
    /// The clock of the run, which no process can read.
    pub run: Time,
}

impl Moment {
    /// A point in time for a process whose clock equals that of the run.
    pub fn exact(now: Time) -> Moment {
        Moment {
            local: now,
            run: now,
        }
    }
}
