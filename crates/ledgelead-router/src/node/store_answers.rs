//! Handles the store's answers: updates the store's health, the watches and this node's view.

use super::Node;
use super::relay::differences;
use super::store_calls::{OWNERSHIP_NAME, PendingCall, Purpose, longest_wait};
use super::store_timing::{FOLLOWER_BACKOFF, backoff};
use crate::Timestamp;
use crate::dialect::{Object, ObjectKind, StoreAnswer};
use crate::events::Event;
use crate::io::{Action, ExchangeFailure, ExchangeId};
use crate::protections::Protection;
use crate::store::{Backoff, WatchChange};
use ledgelead_http::Response;
use std::time::Duration;

/// Delay between the first successful call and the restart of the other watches. It is longer
/// than the interval between two heartbeats of a coordinator.
const AFTER_FAILURE_PAUSE: Duration = Duration::from_millis(250);

impl Node {
    pub(super) fn store_answered(
        &mut self,
        exchange: ExchangeId,
        result: Result<Response, ExchangeFailure>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.store.pending.remove(&exchange) else {
            return;
        };
        self.coordination.schedule_step();
        if let Err(failure) = &result
            && self.repeat_on_new_connection(&pending, *failure, now, out)
        {
            return;
        }
        let answer = self.read_store_answer(&pending.call, pending.era, result, now, out);
        let isolates_unreadable = self.settings.protections.has(Protection::IsolateUnreadable);
        let answer = match answer {
            Ok(answer) if !isolates_unreadable && has_unreadable(&answer) => Ok(
                StoreAnswer::Unreadable("the answer contains an unreadable object".to_owned()),
            ),
            answer => answer,
        };
        let served = matches!(&answer, Ok(answer) if !matches!(answer, StoreAnswer::Refused | StoreAnswer::Unreadable(_)));
        if served {
            self.record_answer_time(&pending, now);
        }
        self.record_call_outcome(served, &answer, pending.started, now, out);
        let is_former = pending.era < self.store.era;
        match pending.purpose {
            Purpose::Watch(kind) => self.watch_answered(kind, answer, pending.started, now, out),
            Purpose::Register if is_former => self.store.registration.begin_era(),
            Purpose::Register => self.registration_answered(answer, now),
            Purpose::StoreEvidence(_) if is_former => self.quarantine.begin_era(),
            Purpose::StoreEvidence(evidence) => {
                let (request, record) = *evidence;
                self.evidence_stored(request, record, answer, now);
            }
            Purpose::Takeover(record) => {
                self.takeover_answered(record, answer, pending.started, now, out)
            }
            Purpose::Update => {
                self.update_answered(pending.call, answer, pending.started, now, out);
            }
            Purpose::Resign => {
                self.coordination.finish_resigning();
                self.announce_resignation(out);
            }
        }
    }

    /// Records how long the store took. A watch that ends before its wait was answered for a
    /// change, and says nothing.
    fn record_answer_time(&mut self, pending: &PendingCall, now: Timestamp) {
        let took = now.saturating_sub(pending.started);
        let wait = longest_wait(&pending.call).unwrap_or_default();
        if let Some(time) = took.checked_sub(wait) {
            self.store.connections.record_answer(time);
        }
    }

    /// Backoff between this node's calls while they fail.
    fn probe_backoff(&self) -> Backoff {
        if self.messaging.following_until.is_some() {
            return FOLLOWER_BACKOFF;
        }
        let coordinating = self.store.coordinating;
        backoff(self.registry.len(), coordinating, self.settings.seed)
    }

    fn record_call_outcome(
        &mut self,
        served: bool,
        answer: &Result<StoreAnswer, ExchangeFailure>,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if !served {
            self.store.failures += 1;
            let pauses = self.probe_backoff();
            self.store
                .watcher(ObjectKind::Instances)
                .set_backoff(pauses);
            if self.store.health.serves() {
                let cause = describe(answer);
                Event::StoreFails { cause: &cause }.emit();
            }
            self.store.health.record_failure(started);
            // This watch continues while others are suspended, even if it was paused.
            self.store
                .watcher(ObjectKind::Instances)
                .request_catch_up(now);
            if !self.directory.is_confirmed() {
                // Requests that wait for the first list to be confirmed need not wait any
                // longer.
                self.reconsider_waiting(now, out);
            }
            return;
        }
        let was_failing = self.store.health.has_failed();
        if self.store.health.record_success(now) {
            self.directory.record_store_outage(now);
        }
        if was_failing {
            Event::StoreServes.emit();
            self.renew_watches(now, out);
        }
    }

    /// Restarts the watches after the store has recovered. Earlier ones may be waiting on dead
    /// connections, or for the end of a pause.
    fn renew_watches(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let coordinating = self.store.coordinating;
        for kind in ObjectKind::ALL {
            self.store.interrupt(kind, now, now, out);
            let watcher = self.store.watcher(kind);
            if kind == ObjectKind::Instances {
                watcher.call_now(now);
            } else if !coordinating {
                // The call is not needed if a coordinator is heard by then.
                watcher.defer(now + AFTER_FAILURE_PAUSE);
            }
        }
    }

    fn watch_answered(
        &mut self,
        kind: ObjectKind,
        answer: Result<StoreAnswer, ExchangeFailure>,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let is_first = !self.store.has_listed(kind);
        let change = match answer {
            Ok(answer) => {
                if let StoreAnswer::Unreadable(finding) = &answer {
                    self.unreadable.record(kind, "", finding);
                }
                let has_state = matches!(
                    &answer,
                    StoreAnswer::Objects { .. } | StoreAnswer::Events { .. }
                );
                if kind == ObjectKind::Ownership
                    && let Some(is_readable) = has_readable_record(&answer)
                {
                    self.coordination.set_record_readable(is_readable);
                }
                let was_paged = self.store.watcher(kind).is_paged();
                let change = self.store.watcher(kind).apply_answer(answer, now);
                let has_more_pages = !was_paged && self.store.watcher(kind).is_paging_stale();
                if kind == ObjectKind::Nodes {
                    self.node_page_read(now);
                } else if has_more_pages && !self.transfers_from_nodes() {
                    self.store.defer_further_pages(kind, now);
                }
                let confirms = has_state && self.store.is_exact(kind);
                if confirms && kind == ObjectKind::Ownership {
                    self.coordination.confirm_role_if_unchanged(started);
                }
                change
            }
            Err(_) => {
                self.store.watcher(kind).record_failure(now);
                return;
            }
        };
        if kind == ObjectKind::Ownership && self.next_node_page_awaited_since().is_some() {
            // The record decides whether the next page is due.
            self.store.watcher(ObjectKind::Nodes).call_now(now);
        }
        self.relay_change(kind, &change, now, out);
        self.apply(kind, change, is_first, started, now, out);
        if kind == ObjectKind::Configuration
            && let Some(as_of) = self.store.watcher(kind).as_of()
        {
            self.configuration_read(as_of);
        }
        if kind == ObjectKind::Ownership
            && self.coordination.is_record_readable()
            && let Some(as_of) = self.store.watcher(kind).as_of()
        {
            self.confirm_owners(0, as_of, now, out);
        }
        if kind == ObjectKind::Instances
            && let Some(as_of) = self.store.watcher(kind).as_of()
        {
            let was_confirmed = self.directory.is_confirmed();
            self.directory.advance_current_at(as_of);
            if !was_confirmed {
                self.reconsider_waiting(now, out);
            }
        }
    }

    /// As coordinator, announces the changes that the store has reported.
    fn relay_change(
        &mut self,
        kind: ObjectKind,
        change: &WatchChange,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.coordination.coordinator().is_none() {
            return;
        }
        let relists = kind == ObjectKind::Instances && self.directory.is_complete();
        let events = match change {
            WatchChange::Events(events) => events.clone(),
            // The store no longer has the history of the changes in between.
            WatchChange::All(objects) if relists => differences(&self.directory, objects),
            _ => return,
        };
        if !events.is_empty() {
            let revision = self.store.revision_of(kind).unwrap_or(0);
            self.relay_changes(kind, revision, events, now, out);
        }
    }

    fn apply(
        &mut self,
        kind: ObjectKind,
        change: WatchChange,
        is_first: bool,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let instances_before = self.directory.changes();
        let is_list = matches!(change, WatchChange::All(_));
        let revision = self.revision_of_change(kind, &change);
        match change {
            WatchChange::Unchanged => return,
            WatchChange::All(objects) => {
                if kind == ObjectKind::Configuration {
                    self.store.configuration_listed(objects.is_empty(), now);
                }
                self.apply_list(kind, objects, started, now, out);
                if kind == ObjectKind::Nodes {
                    self.nodes_listed(is_first, now);
                }
            }
            WatchChange::Events(events) => {
                for event in events {
                    self.apply_event(kind, event, started, now, out);
                }
            }
        }
        let is_unchanged = is_list
            && kind == ObjectKind::Instances
            && self.directory.changes() == instances_before;
        if !is_unchanged {
            self.messaging.relay.record_change(kind, revision);
        }
        self.reconsider_waiting(now, out);
    }

    /// The revision of the last change of a kind that the store has reported.
    fn revision_of_change(&self, kind: ObjectKind, change: &WatchChange) -> u64 {
        match change {
            // Registrations of nodes are never removed, so none has changed after the highest
            // revision listed.
            WatchChange::All(objects) if kind == ObjectKind::Nodes => {
                let revisions = objects.iter().map(|object| object.revision);
                revisions.max().unwrap_or(0)
            }
            _ => self.store.revision_of(kind).unwrap_or(0),
        }
    }
}

/// Whether the answer contains an unreadable object.
fn has_unreadable(answer: &StoreAnswer) -> bool {
    let is_unreadable = |object: &Object| object.content.is_err();
    match answer {
        StoreAnswer::Objects { objects, .. } => objects.iter().any(is_unreadable),
        StoreAnswer::Events { events, .. } => {
            events.iter().any(|event| is_unreadable(&event.object))
        }
        _ => false,
    }
}

/// Whether the ownership record is readable, if the answer contains it.
fn has_readable_record(answer: &StoreAnswer) -> Option<bool> {
    let is_record = |object: &&Object| object.name == OWNERSHIP_NAME;
    let record = match answer {
        StoreAnswer::Objects { objects, .. } => objects.iter().rfind(is_record),
        StoreAnswer::Events { events, .. } => {
            let objects = events.iter().map(|event| &event.object);
            objects.rev().find(is_record)
        }
        _ => None,
    };
    record.map(|object| object.content.is_ok())
}

/// The outcome of a call, for the log.
pub(super) fn describe(answer: &Result<StoreAnswer, ExchangeFailure>) -> String {
    match answer {
        Ok(StoreAnswer::Refused) => "refused".to_owned(),
        Ok(StoreAnswer::Unreadable(finding)) => finding.clone(),
        Ok(_) => "served".to_owned(),
        Err(failure) => format!("{failure:?}"),
    }
}
