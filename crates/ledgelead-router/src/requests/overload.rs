//! Keys whose request rate exceeds the capacity of their owner.
//!
//! A single key can't be split, so no instance can serve the requests beyond its owner's
//! capacity. If they were sent anyway, they would fill the owner's queue and connections, and
//! end as lost responses that prove nothing. The coordinator knows the rate of the key and the
//! capacity of its owner; each node admits the share that can be served and refuses the rest
//! at once.

use crate::Timestamp;
use crate::identity::ServiceName;
use nanoserde::{DeBin, SerBin};
use std::collections::HashMap;
use std::time::Duration;

/// How long shares apply without being announced again: three heartbeats of the coordinator.
const TTL: Duration = Duration::from_millis(700);

/// A key and the share of its requests that its owner can handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OverloadedKey {
    /// Stable hash of the service's name.
    pub service: u64,
    /// The key.
    pub key: u16,
    /// The admitted share, in thousandths.
    pub admitted_permille: u16,
}

/// The overloaded keys known to this node.
#[derive(Clone, Debug, Default)]
pub struct Overloads {
    admitted: HashMap<(u64, u16), u16>,
    until: Timestamp,
}

impl Overloads {
    /// Replaces the overloaded keys by those that the coordinator announced.
    pub fn replace(&mut self, keys: &[OverloadedKey], now: Timestamp) {
        let entry = |known: &OverloadedKey| ((known.service, known.key), known.admitted_permille);
        self.admitted = keys.iter().map(entry).collect();
        self.until = now + TTL;
    }

    /// The admitted share of the requests for a key, if it is limited.
    pub fn admitted(&self, service: &ServiceName, key: u16, now: Timestamp) -> Option<f64> {
        if self.admitted.is_empty() || self.until <= now {
            return None;
        }
        let permille = self.admitted.get(&(service.stable_hash(), key))?;
        Some(f64::from(*permille) / 1_000.0)
    }
}
