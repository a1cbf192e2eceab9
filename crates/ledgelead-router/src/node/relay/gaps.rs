//! What this node has heard of and does not know.
//!
//! Another node announces a revision; until this node knows it, it asks the coordinator
//! with each announcement, and the store at a deadline of its own. So the time for which a
//! change that is known to exist is missing does not hang on who is heard next.

use super::RelayState;
use crate::Timestamp;
use crate::events::Event;
use crate::io::Action;
use crate::node::Node;
use crate::peers::RelayedKind;
use crate::protections::Protection;
use crate::whole_millis;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long changes that were announced may be missing before the store is asked for
/// them, and between two such calls. The coordinator is asked for them with each heartbeat
/// (200 ms), so two such requests may be lost or late before the store has to answer.
const MISSING_FOR: Duration = Duration::from_millis(400);

/// What this node lacks of one kind.
///
/// Only knowing what was announced closes a gap: a node that announces less may be one
/// that knows less.
#[derive(Debug, Default)]
pub(super) struct Gap {
    /// The newest revision that was announced.
    announced: u64,
    /// Since when this node has known less than that.
    missing_since: Option<Timestamp>,
    /// Since when the store has not been asked for it.
    unasked_since: Timestamp,
    /// When the coordinator may be asked for missed changes again.
    pub(super) next_request: Timestamp,
}

impl Gap {
    /// When the store is to be asked, if something is missing.
    fn next_ask(&self) -> Option<Timestamp> {
        self.missing_since?;
        Some(self.unasked_since + MISSING_FOR)
    }
}

impl RelayState {
    pub(super) fn gap(&mut self, kind: RelayedKind) -> &mut Gap {
        &mut self.gaps[kind as usize]
    }

    /// What is missing of a kind is looked at again at this time.
    pub(in crate::node) fn review_gap_at(&mut self, kind: RelayedKind, at: Timestamp) {
        self.gap(kind).unasked_since = at.saturating_sub(MISSING_FOR);
    }

    /// When the store is to be asked next for what is missing.
    pub(in crate::node) fn next_ask(&self) -> Option<Timestamp> {
        self.gaps.iter().filter_map(Gap::next_ask).min()
    }

    /// A coordinator of a later epoch is heard. It reads changes of instances and nodes
    /// by itself, under revisions of its own calls; those of the one before name no change
    /// that it will relay.
    pub(in crate::node) fn coordinator_changed(&mut self) {
        for kind in [RelayedKind::Instances, RelayedKind::Nodes] {
            self.gap(kind).announced = 0;
        }
    }
}

impl Node {
    /// By kind: the newest revision that was announced, and the one that is known.
    pub(in crate::node) fn announced_and_known(&self) -> BTreeMap<&'static str, (u64, u64)> {
        let of_kind = |kind: RelayedKind| {
            let announced = self.gossip.relay.gaps[kind as usize].announced;
            let known = self.known_revision(kind).unwrap_or(0);
            (kind.name(), (announced, known))
        };
        RelayedKind::ALL.into_iter().map(of_kind).collect()
    }

    /// Another node knows of a change of this revision. What this node has missed, it
    /// asks the coordinator for, and after a while the store.
    pub(in crate::node) fn heard_of(
        &mut self,
        kind: RelayedKind,
        revision: u64,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let keeps = self.settings.protections.has(Protection::IgnoreOlderEpochs);
        let gap = self.gossip.relay.gap(kind);
        let earlier = if keeps { gap.announced } else { 0 };
        gap.announced = revision.max(earlier);
        if self.lacks_changes(kind) {
            self.request_changes(kind, now, out);
        }
        self.review_gap(kind, now, out);
    }

    fn lacks_changes(&self, kind: RelayedKind) -> bool {
        let announced = self.gossip.relay.gaps[kind as usize].announced;
        let known = self.known_revision(kind);
        known.is_some_and(|known| known < announced)
    }

    /// Asks the store for what has been missing for long.
    fn review_gap(&mut self, kind: RelayedKind, now: Timestamp, out: &mut Vec<Action>) {
        let is_missing = self.lacks_changes(kind);
        let known = self.known_revision(kind).unwrap_or(0);
        let gap = self.gossip.relay.gap(kind);
        if !is_missing {
            gap.missing_since = None;
            return;
        }
        if gap.missing_since.is_none() {
            gap.missing_since = Some(now);
            gap.unasked_since = now;
        }
        if gap.next_ask().is_none_or(|due| now < due) {
            return;
        }
        let since = std::mem::replace(&mut gap.unasked_since, now);
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

    /// Asks the store for what is due, also while no coordinator is heard.
    pub(in crate::node) fn review_gaps(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for kind in RelayedKind::ALL {
            let due = self.gossip.relay.gap(kind).next_ask();
            if due.is_some_and(|due| due <= now) {
                self.review_gap(kind, now, out);
            }
        }
    }

    /// Asks other nodes of a large fleet, or the store, for what the coordinator has not
    /// told in time. A watch that has been out since before `since` is made anew.
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
        if self.store.health.has_failed() {
            self.store.probe_for_gap(now, out);
        }
        if kind == RelayedKind::Ownership {
            self.store.refresh_ownership(now, out);
            return;
        }
        self.store.interrupt(kind.object_kind(), since, now, out);
        self.store.poke(kind.object_kind(), now);
    }
}
