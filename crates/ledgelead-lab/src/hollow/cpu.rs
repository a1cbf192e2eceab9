//! Measures the processor time of short operations on the current thread.
//!
//! Each operation is timed with the monotonic clock, which costs about ten nanoseconds. The
//! thread may be preempted on a busy machine, so the time that it waited for a processor
//! (`/proc/thread-self/schedstat`, second field) is subtracted after a long operation.

use std::fs;
use std::time::Instant;

/// Operations longer than this may include a preemption, in nanoseconds.
const PREEMPTIBLE_PIECE_NANOS: u64 = 100_000;
/// Number of operations between two readings of the waiting time.
const PIECES_PER_CHECK: u32 = 256;

/// Times operations.
#[derive(Debug, Default)]
pub struct Stopwatch {
    waited_before: u64,
    pieces: u32,
}

impl Stopwatch {
    /// Runs an operation and returns its result and its duration in nanoseconds.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> (T, u64) {
        self.pieces += 1;
        if self.pieces >= PIECES_PER_CHECK {
            self.pieces = 0;
            self.waited_before = waited_nanos();
        }
        let start = Instant::now();
        let result = work();
        let elapsed = start.elapsed().as_nanos() as u64;
        if elapsed <= PREEMPTIBLE_PIECE_NANOS {
            return (result, elapsed);
        }
        let waited = waited_nanos();
        let preempted = waited.saturating_sub(self.waited_before).min(elapsed);
        self.waited_before = waited;
        (result, elapsed - preempted)
    }
}

/// Processor time used by this thread, in nanoseconds.
pub fn thread_nanos() -> u64 {
    schedstat(0)
}

fn waited_nanos() -> u64 {
    schedstat(1)
}

/// A field of this thread's scheduler statistics; 0 if the kernel does not keep them.
fn schedstat(field: usize) -> u64 {
    let content = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let value = content.split_whitespace().nth(field);
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}
