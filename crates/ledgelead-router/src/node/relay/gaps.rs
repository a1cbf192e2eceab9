//! Detection of missed changes.
//!
//! Another node announces a revision. Until this node knows that revision, it asks the
//! coordinator after each announcement, and the store at a deadline of its own. So how long an
//! announced change is missing doesn't depend on which node is heard next.

use super::RelayState;
use crate::Timestamp;
use crate::events::Event;
use crate::io::Action;
use crate::node::Node;
use crate::node::store_calls::is_read_despite_failures;
use crate::peers::RelayedKind;
use crate::protections::Protection;
use crate::whole_millis;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long announced changes may be missing before the store is asked for them, and the
/// interval between such calls. The coordinator is asked after each heartbeat (200 ms), so two
/// such requests may be lost or late before the store is used.
const STORE_FALLBACK_DELAY: Duration = Duration::from_millis(400);

/// Missed changes of one kind.
///
/// A gap is closed only when the announced revision is known. A lower revision in a later
/// announcement doesn't close it, since its sender may know less.
#[derive(Debug, Default)]
pub(super) struct Gap {
    /// The highest announced revision.
    announced: u64,
    /// Since when this node has known less than that.
    missing_since: Option<Timestamp>,
    /// Start of the delay before the next call to the store: when the gap began or the store was
    /// last asked, unless `review_gap_at` has set it.
    store_delay_start: Timestamp,
    /// Whether the coordinator has stated that it can't send the changes in datagrams.
    is_unavailable: bool,
    /// Earliest time of the next request to the coordinator.
    pub(super) next_request: Timestamp,
}

impl Gap {
    /// When to ask the store, if changes are missing.
    fn next_store_request(&self) -> Option<Timestamp> {
        self.missing_since?;
        Some(self.store_delay_start + STORE_FALLBACK_DELAY)
    }
}

impl RelayState {
    pub(super) fn gap(&mut self, kind: RelayedKind) -> &mut Gap {
        &mut self.gaps[kind as usize]
    }

    /// Schedules the next review of a gap.
    pub(in crate::node) fn review_gap_at(&mut self, kind: RelayedKind, at: Timestamp) {
        self.gap(kind).store_delay_start = at.saturating_sub(STORE_FALLBACK_DELAY);
    }

    /// When to ask the store next for missing changes of any kind.
    pub(in crate::node) fn next_store_request(&self) -> Option<Timestamp> {
        self.gaps.iter().filter_map(Gap::next_store_request).min()
    }

    /// Forgets the revisions of instances and nodes announced by earlier coordinators, once one
    /// of a later epoch is heard. It reads these changes itself, at the revisions of its own
    /// calls, and may never relay those that its predecessor has announced.
    pub(in crate::node) fn reset_announced_revisions(&mut self) {
        for kind in [RelayedKind::Instances, RelayedKind::Nodes] {
            self.gap(kind).announced = 0;
        }
    }
}

impl Node {
    /// For each kind, the highest announced revision and the known one.
    pub(in crate::node) fn announced_and_known(&self) -> BTreeMap<&'static str, (u64, u64)> {
        let of_kind = |kind: RelayedKind| {
            let announced = self.messaging.relay.gaps[kind as usize].announced;
            let known = self.known_revision(kind).unwrap_or(0);
            (kind.name(), (announced, known))
        };
        RelayedKind::ALL.into_iter().map(of_kind).collect()
    }

    /// Handles the announcement of a revision by another node. If this node lacks changes up to
    /// it, it asks the coordinator, and after a delay the store.
    pub(in crate::node) fn revision_announced(
        &mut self,
        kind: RelayedKind,
        revision: u64,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let is_protected = self.settings.protections.has(Protection::IgnoreOlderEpochs);
        let gap = self.messaging.relay.gap(kind);
        let earlier = if is_protected { gap.announced } else { 0 };
        gap.announced = revision.max(earlier);
        if self.lacks_changes(kind) {
            self.request_changes(kind, now, out);
        }
        self.review_gap(kind, now, out);
    }

    fn lacks_changes(&self, kind: RelayedKind) -> bool {
        let announced = self.messaging.relay.gaps[kind as usize].announced;
        let known = self.known_revision(kind);
        known.is_some_and(|known| known < announced)
    }

    /// Asks the store for changes that have been missing for too long.
    fn review_gap(&mut self, kind: RelayedKind, now: Timestamp, out: &mut Vec<Action>) {
        let is_missing = self.lacks_changes(kind);
        let known = self.known_revision(kind).unwrap_or(0);
        let gap = self.messaging.relay.gap(kind);
        if !is_missing {
            gap.missing_since = None;
            gap.is_unavailable = false;
            return;
        }
        if gap.missing_since.is_none() {
            gap.missing_since = Some(now);
            gap.store_delay_start = now;
        }
        if gap.next_store_request().is_none_or(|due| now < due) {
            return;
        }
        let since = std::mem::replace(&mut gap.store_delay_start, now);
        let missing = gap.missing_since.map_or(Duration::ZERO, |at| now - at);
        let missing = Event::ChangesMissing {
            kind: kind.name(),
            announced: gap.announced,
            known,
            missing_ms: whole_millis(missing),
        };
        missing.emit();
        self.ask_store(kind, since, now, out);
    }

    /// Asks other sources for missing changes at once, since the coordinator can't send them in
    /// datagrams. Later reviews of the gap repeat that at their usual interval.
    pub(in crate::node) fn fill_gap_without_datagrams(
        &mut self,
        kind: RelayedKind,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let gap = self.messaging.relay.gap(kind);
        if gap.missing_since.is_some() && !std::mem::replace(&mut gap.is_unavailable, true) {
            self.messaging.relay.review_gap_at(kind, now);
            self.review_gap(kind, now, out);
        }
    }

    /// Reviews all gaps that are due, even if no coordinator is heard.
    pub(in crate::node) fn review_gaps(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for kind in RelayedKind::ALL {
            let due = self.messaging.relay.gap(kind).next_store_request();
            if due.is_some_and(|due| due <= now) {
                self.review_gap(kind, now, out);
            }
        }
    }

    /// Asks other nodes of a large fleet, or the store, for changes that the coordinator has
    /// not sent in time. A watch started before `since` is restarted.
    fn ask_store(
        &mut self,
        kind: RelayedKind,
        since: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.fill_gap_from_nodes(kind, now, out) {
            return;
        }
        if self.store.health.has_failed() && !is_read_despite_failures(kind.object_kind()) {
            self.store.probe_for_gap(now, out);
        }
        if kind == RelayedKind::Ownership {
            self.store.refresh_ownership(now, out);
            return;
        }
        self.store.interrupt(kind.object_kind(), since, now, out);
        self.store.request_catch_up(kind.object_kind(), now);
    }
}
