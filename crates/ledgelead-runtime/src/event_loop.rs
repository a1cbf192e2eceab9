//! The event loop of a thread: actors, and the sockets whose readiness wakes them.

use stakker::Stakker;
use stakker_mio::MioPoll;
use std::io;
use std::time::{Duration, Instant};

/// Longest wait of one poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);

/// Runs actors and polls their sockets until an actor shuts the thread down. One idle call runs
/// after each poll, whether sockets were ready or not: actors divide long work by idle calls,
/// which must go on beside a stream of events.
///
/// # Errors
/// When the poller fails.
pub fn poll_until_shutdown(stakker: &mut Stakker, poll: &MioPoll) -> io::Result<()> {
    let mut idle_pending = stakker.run(Instant::now(), false);
    let mut io_pending = false;
    while stakker.not_shutdown() {
        let pending = idle_pending || io_pending;
        let wait = stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, pending);
        (_, io_pending) = poll.poll(wait)?;
        idle_pending = stakker.run(Instant::now(), true);
    }
    Ok(())
}
