//! Timing constants. Single ownership, and how long keys are unavailable after a loss, depend
//! on them. `docs/design/leases.md` has the derivation.

use crate::time::Span;

/// How often a leader sends a heartbeat to each replica of its group.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(80);

/// How long a replica votes for no other leader after it received a heartbeat. The leader's
/// authority lasts for the same span, counted from when it sent the heartbeat.
pub const LEADER_LEASE: Span = Span::from_millis(240);

/// Upper bound of the random delay between the expiry of the leader lease at a replica and
/// its candidacy.
pub const ELECTION_JITTER: Span = Span::from_millis(40);

/// How long a server may serve its slices after the stamp that a renewal echoes, by the
/// server's own clock.
pub const LEASE: Span = Span::from_millis(360);

/// How often a dispatcher renews the lease of each of its servers.
pub const RENEW_INTERVAL: Span = Span::from_millis(120);

/// Maximum assumed difference between the rates of two monotonic clocks, in parts per million.
/// A process that waits for a span of another process's clock waits longer by it.
pub const CLOCK_DRIFT_PPM: u64 = 10_000;

/// The longest time, by the local clock, that another process's clock may take to advance by
/// `span`.
pub fn lengthened_for_drift(span: Span) -> Span {
    Span(span.0 + span.0 * CLOCK_DRIFT_PPM / 1_000_000)
}

/// How long, by its own clock, a process may rely on a `span` that another process measures,
/// if the other process lengthens its waits for drift.
pub fn shortened_for_drift(span: Span) -> Span {
    Span(span.0 - span.0 * CLOCK_DRIFT_PPM / 1_000_000)
}
