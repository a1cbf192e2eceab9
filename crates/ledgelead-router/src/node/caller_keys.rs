//! How long the keys of callers are accepted without contact to the store or a coordinator.
//!
//! A key that is revoked meanwhile would be accepted until the contact is back. Operators
//! choose whether callers are then refused, or served by the last known keys.

use super::Node;
use crate::Timestamp;
use std::time::Duration;

impl Node {
    /// Whether the keys of callers are too old to be accepted.
    pub(super) fn caller_keys_expired(&self, now: Timestamp) -> bool {
        let ttl = self.settings.caller_key_ttl;
        ttl.is_some_and(|ttl| self.configuration_current_at + ttl < now)
    }

    /// The store has answered which version of the configuration was the newest at this time.
    pub(super) fn configuration_read(&mut self, as_of: Timestamp) {
        self.configuration_current_at = self.configuration_current_at.max(as_of);
    }

    /// The coordinator, whose view has this age, knows this version of the configuration.
    pub(super) fn confirm_configuration(&mut self, version: u64, age: Duration, now: Timestamp) {
        let known = self.configuration.as_ref();
        if known.is_some_and(|known| known.version >= version) {
            self.configuration_read(now.saturating_sub(age));
        }
    }
}
