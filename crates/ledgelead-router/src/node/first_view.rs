//! The first view of the instances, which may be older than the time that a leaving one has.
//!
//! A node's first list may be some seconds old, since that costs the store little. A
//! coordinator's heartbeat confirms it within 200 ms, unless changes are missing that the
//! coordinator has to relay first. Where requests come before, as after the loss of all
//! nodes, the store is asked for the changes since, and they wait for that.

use super::Node;
use crate::Timestamp;
use crate::dialect::ObjectKind;
use crate::protections::Protection;
use std::time::Duration;

/// How long requests wait for the store to confirm the first list. A call takes some 10 ms;
/// where it takes longer than this, requests with a target of 200 ms would be refused for
/// the wait (0.22 of the target), and the list is used as it is.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(40);

impl Node {
    /// Requests are there: asks the store once to confirm the first list of instances,
    /// unless it is confirmed.
    pub(super) fn confirm_first_view(&mut self, now: Timestamp) {
        let is_protected = self.settings.protections.has(Protection::ConfirmedView);
        if !is_protected || self.confirmed_by.is_some() || !self.first_view_needs_confirmation() {
            return;
        }
        let asked = self.store.watcher(ObjectKind::Instances).confirm(now);
        self.confirmed_by = Some(asked + CONFIRM_TIMEOUT);
    }

    /// Until when requests wait for the first list to be confirmed.
    pub(super) fn unconfirmed_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = self.confirmed_by.filter(|until| *until > now)?;
        self.first_view_needs_confirmation().then_some(until)
    }

    /// Whether the store alone can confirm the first list, and has not yet.
    fn first_view_needs_confirmation(&self) -> bool {
        let is_unconfirmed = self.directory.is_complete() && !self.directory.is_confirmed();
        is_unconfirmed && self.configuration.is_some() && self.store.health.serves()
    }
}
