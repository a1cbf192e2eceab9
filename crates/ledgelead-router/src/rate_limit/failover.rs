//! When the secondary limiter replaces the primary one.
//!
//! Registrations of nodes outlive the nodes, so the primary limiter may be lost for good.
//! Without a replacement, its instances would get only a part of their limits for as long as
//! they announce one.

use crate::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a message after which the primary limiter counts as lost: longer than a
/// restart or a pause.
const LOST_AFTER: Duration = Duration::from_secs(10);
/// Interval between two probes of the primary limiter.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Time without a request in place of the primary limiter after which its silence is measured
/// from the start, since no node needed it.
const UNUSED_TTL: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct SilentLimiter {
    since: Timestamp,
    requested_at: Timestamp,
    next_probe: Timestamp,
}

/// The state of a primary limiter, as seen by the node that is asked in its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailoverStatus {
    /// Whether the primary limiter counts as lost.
    pub is_lost: bool,
    /// Whether the primary limiter should be probed now.
    pub is_probed: bool,
}

/// Primary limiters in whose place this node is asked.
#[derive(Clone, Debug, Default)]
pub struct LimiterFailover {
    silent: HashMap<SocketAddr, SilentLimiter>,
}

impl LimiterFailover {
    /// Records that this node is asked for a token in place of the limiter `primary`. Returns
    /// the state of that limiter.
    pub fn record_fallback_request(
        &mut self,
        primary: SocketAddr,
        now: Timestamp,
    ) -> FailoverStatus {
        let new_entry = SilentLimiter {
            since: now,
            requested_at: now,
            next_probe: now,
        };
        let silent = self.silent.entry(primary).or_insert(new_entry);
        if silent.requested_at + UNUSED_TTL <= now {
            *silent = new_entry;
        }
        silent.requested_at = now;
        let is_probed = silent.next_probe <= now;
        if is_probed {
            silent.next_probe = now + PROBE_PAUSE;
        }
        FailoverStatus {
            is_lost: silent.since + LOST_AFTER <= now,
            is_probed,
        }
    }

    /// Records a message of a node, which shows that it is alive.
    pub fn record_message(&mut self, node: SocketAddr) {
        if !self.silent.is_empty() {
            self.silent.remove(&node);
        }
    }

    /// Removes limiters in whose place this node is no longer asked.
    pub fn expire(&mut self, now: Timestamp) {
        let is_needed = |silent: &SilentLimiter| silent.requested_at + UNUSED_TTL > now;
        self.silent.retain(|_, silent| is_needed(silent));
    }
}
