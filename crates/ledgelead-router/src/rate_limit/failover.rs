//! When the second limiter takes the place of the first.
//!
//! Registrations of nodes outlast the nodes, so that a first limiter may be lost for good. Its
//! instances would get a part of their limits for as long as they name one.

use crate::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which the first limiter counts as lost: longer than a restart or a pause.
const LOST_AFTER: Duration = Duration::from_secs(10);
/// Pause between two probes of it.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Time without an ask in its place after which its silence begins anew: nobody misses it.
const UNASKED_TTL: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Unheard {
    since: Timestamp,
    asked_at: Timestamp,
    next_probe: Timestamp,
}

/// What follows for a node that is asked in place of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailoverStatus {
    /// Whether the other counts as lost.
    pub is_lost: bool,
    /// Whether it is probed now.
    pub is_probed: bool,
}

/// First limiters in whose place this node is asked.
#[derive(Clone, Debug, Default)]
pub struct LimiterFailover {
    unheard: HashMap<SocketAddr, Unheard>,
}

impl LimiterFailover {
    /// This node is asked in place of another one.
    pub fn asked_in_place_of(&mut self, first: SocketAddr, now: Timestamp) -> FailoverStatus {
        let anew = Unheard {
            since: now,
            asked_at: now,
            next_probe: now,
        };
        let unheard = self.unheard.entry(first).or_insert(anew);
        if unheard.asked_at + UNASKED_TTL <= now {
            *unheard = anew;
        }
        unheard.asked_at = now;
        let is_probed = unheard.next_probe <= now;
        if is_probed {
            unheard.next_probe = now + PROBE_PAUSE;
        }
        FailoverStatus {
            is_lost: unheard.since + LOST_AFTER <= now,
            is_probed,
        }
    }

    /// A node has sent something.
    pub fn heard(&mut self, node: SocketAddr) {
        if !self.unheard.is_empty() {
            self.unheard.remove(&node);
        }
    }

    /// Forgets whom nobody asks for.
    pub fn expire(&mut self, now: Timestamp) {
        let is_missed = |unheard: &Unheard| unheard.asked_at + UNASKED_TTL > now;
        self.unheard.retain(|_, unheard| is_missed(unheard));
    }
}
