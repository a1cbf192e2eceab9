//! Keys that are asked for more often than their owner can work.
//!
//! A single key can't be split, so what lies above its owner's capacity can't be
//! served by anybody. Sent all the same, it fills the owner's queue and its
//! connections, and ends as a lost answer that proves nothing. The coordinator
//! knows the rate of the key and the capacity of its owner; each node admits the
//! share that can be served and refuses the others at once.

use crate::Timestamp;
use crate::identity::ServiceName;
use nanoserde::{DeBin, SerBin};
use std::collections::HashMap;
use std::time::Duration;

/// How long shares are followed without being announced again: three heartbeats
/// of the coordinator.
const TTL: Duration = Duration::from_millis(700);

/// A key and the share of its requests that its owner can work on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OverloadedKey {
    /// Stable hash of the service's name.
    pub service: u64,
    /// The key.
    pub key: u16,
    /// The share that is admitted, in thousandths.
    pub admitted_permille: u16,
}

/// The overloaded keys that this node knows of.
#[derive(Clone, Debug, Default)]
pub struct Overloads {
    admitted: HashMap<(u64, u16), u16>,
    until: Timestamp,
}

impl Overloads {
    /// The coordinator has announced these, and no others.
    pub fn replace(&mut self, keys: &[OverloadedKey], now: Timestamp) {
        let entry = |known: &OverloadedKey| ((known.service, known.key), known.admitted_permille);
        self.admitted = keys.iter().map(entry).collect();
        self.until = now + TTL;
    }

    /// The share of the requests for a key that is admitted, if not all are.
    pub fn admitted(&self, service: &ServiceName, key: u16, now: Timestamp) -> Option<f64> {
        if self.admitted.is_empty() || self.until <= now {
            return None;
        }
        let permille = self.admitted.get(&(service.stable_hash(), key))?;
        Some(f64::from(*permille) / 1_000.0)
    }
}
