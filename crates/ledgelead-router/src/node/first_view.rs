//! Confirmation of the first list of instances, which may be older than the time within which a
//! leaving instance must stop getting requests.
//!
//! A node's first list may be a few seconds old, since a stale read costs the store little. A
//! heartbeat of the coordinator confirms it within 200 ms, unless the coordinator must relay
//! missing changes first. If requests arrive earlier, as after the loss of all nodes, the
//! store is asked for the changes since the list, and the requests wait for the answer.

use super::Node;
use crate::Timestamp;
use crate::dialect::ObjectKind;
use crate::protections::Protection;
use std::time::Duration;

/// How long requests wait for the store to confirm the first list. A call takes about 10 ms.
/// If it takes longer than this, requests with a target of 200 ms would be refused because of
/// the wait (0.22 of the target), so the list is used unconfirmed.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(40);

impl Node {
    /// Asks the store once to confirm the first list of instances, unless it is confirmed.
    /// Called when requests arrive.
    pub(super) fn confirm_first_view(&mut self, now: Timestamp) {
        let is_protected = self.settings.protections.has(Protection::ConfirmedView);
        if !is_protected
            || self.confirmation_deadline.is_some()
            || !self.first_view_needs_confirmation()
        {
            return;
        }
        let requested_at = self
            .store
            .watcher(ObjectKind::Instances)
            .request_confirmation(now);
        self.confirmation_deadline = Some(requested_at + CONFIRM_TIMEOUT);
    }

    /// Until when requests wait for the first list to be confirmed.
    pub(super) fn unconfirmed_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = self.confirmation_deadline.filter(|until| *until > now)?;
        self.first_view_needs_confirmation().then_some(until)
    }

    /// Whether the first list is still unconfirmed while the store can confirm it.
    fn first_view_needs_confirmation(&self) -> bool {
        let is_unconfirmed = self.directory.is_complete() && !self.directory.is_confirmed();
        is_unconfirmed && self.configuration.is_some() && self.store.health.serves()
    }
}
