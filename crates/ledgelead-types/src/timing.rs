//! The timing constants on which single ownership and the unavailable time
//! after a loss rest. The arithmetic is in `docs/design/leases.md`.

use crate::time::Span;

/// How often a leader sends a heartbeat to each replica of its group.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(80);

/// How long a replica promises, from the receipt of a heartbeat, to vote for
/// no other leader. The leader counts the same span from when it sent it.
pub const LEADER_LEASE: Span = Span::from_millis(240);

/// Upper bound of the random delay before a replica stands for election once
/// its promise has run out.
pub const ELECTION_JITTER: Span = Span::from_millis(40);

/// How long a server may serve its slices after the stamp that a renewal
/// echoes, on the server's own clock.
pub const LEASE: Span = Span::from_millis(360);

/// How often a dispatcher renews the lease of each server in its care.
pub const RENEW_INTERVAL: Span = Span::from_millis(120);

/// Largest assumed relative rate difference between two monotonic clocks, in
/// parts per million. Waits on another process's clock are stretched by it.
pub const CLOCK_DRIFT_PPM: u64 = 10_000;

/// How long another process's clock may take, by ours, to pass `span`.
pub fn lengthened_for_drift(span: Span) -> Span {
    Span(span.0 + span.0 * CLOCK_DRIFT_PPM / 1_000_000)
}

/// How long a process may rely, by its own clock, on `span` counted by
/// another process that stretches its waits.
pub fn shortened_for_drift(span: Span) -> Span {
    Span(span.0 - span.0 * CLOCK_DRIFT_PPM / 1_000_000)
}
