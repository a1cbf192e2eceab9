//! Store eras. A new era begins when the store is restored from a backup, which lacks what the
//! store has acknowledged since the backup.
//!
//! **Invariant: nothing that was read from the store in an era is relied on in a later one
//! before it is confirmed there.** Lists are read again, registrations are repeated, and a
//! coordinator gives no orders until it has written the record in the new era. Meanwhile nodes
//! continue to route requests by the owners of keys that they know; each owner checks requests
//! itself.

use super::Node;
use super::heartbeat::COORDINATOR_SILENCE;
use crate::Timestamp;
use crate::dialect::{ObjectKind, StoreAnswer, StoreCall};
use crate::events::Event;
use crate::io::{Action, ExchangeFailure};
use crate::ownership::record::OwnershipRecord;
use crate::ownership::view::RecordVersion;
use crate::protections::Protection;
use crate::store::{era_of, with_era};
use ledgelead_http::Response;

impl Node {
    /// The era that an answer names, or the known one if it names none.
    fn era_of_answer(&self, response: &Response) -> Result<u64, String> {
        let header = &self.dialect.headers().store_era;
        let known = self.store.era;
        let Some(text) = response.headers.text(header) else {
            return Ok(known);
        };
        match text.trim().parse() {
            Ok(era) if era >= known => Ok(era),
            Ok(era) => Err(format!("store era {era} precedes the known era {known}")),
            Err(_) => Err("store era is not a number".to_owned()),
        }
    }

    /// Decodes the store's answer to a call, with its revisions numbered within the era.
    pub(super) fn read_store_answer(
        &mut self,
        call: &StoreCall,
        called_in: u64,
        result: Result<Response, ExchangeFailure>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> Result<StoreAnswer, ExchangeFailure> {
        let response = result?;
        let answer = self.dialect.store_answer(call, &response);
        if !self.settings.protections.has(Protection::EraIsolation) {
            return Ok(answer);
        }
        let era = match self.era_of_answer(&response) {
            Ok(era) => era,
            Err(finding) => return Ok(StoreAnswer::Unreadable(finding)),
        };
        let answer = match with_era(era, answer) {
            Ok(answer) => answer,
            Err(finding) => return Ok(StoreAnswer::Unreadable(finding)),
        };
        // Before the first successful call there is nothing from an earlier era to discard.
        let begins_era = era > self.store.era && self.store.health.has_served();
        self.store.era = era;
        if begins_era {
            self.begin_era(now, out);
        }
        // A continued list, or changes since a revision, would lack what the backup lacks.
        let continues = match call {
            StoreCall::List { after, .. } => after.is_some(),
            StoreCall::Watch { .. } => true,
            StoreCall::Create { .. } | StoreCall::Replace { .. } => false,
        };
        let is_served = matches!(
            answer,
            StoreAnswer::Objects { .. } | StoreAnswer::Events { .. }
        );
        match continues && is_served && called_in < era {
            true => Ok(StoreAnswer::HistoryLost),
            false => Ok(answer),
        }
    }

    fn begin_era(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let era = self.store.era;
        Event::StoreEra { era }.emit();
        // Instances write their entries again, as after an outage.
        self.directory.begin_era(now);
        let hears_coordinator = now < self.messaging.coordinator_heard_at + COORDINATOR_SILENCE;
        if hears_coordinator && self.coordination.coordinator().is_none() {
            self.coordination.election.defer_to_former_coordinator(now);
        }
        self.coordination.begin_era(now);
        self.step_down(self.newest_epoch(), now);
        self.store.registration.begin_era();
        self.quarantine.begin_era();
        for kind in ObjectKind::ALL {
            if !self.store.watcher(kind).is_paused() {
                self.store.interrupt(kind, now, now, out);
                self.store.watcher(kind).refresh(now);
            }
        }
        self.store.list_nodes(now);
    }

    /// Makes due watches list again if they would continue from a revision of an earlier era.
    pub(super) fn restart_watches_of_former_era(&mut self, now: Timestamp) {
        let era = self.store.era;
        for kind in ObjectKind::ALL {
            let watcher = self.store.watcher(kind);
            let is_former = watcher.revision().is_some_and(|known| era_of(known) < era);
            let is_due = watcher.next_call().is_some_and(|due| due <= now);
            if is_former && is_due {
                watcher.refresh(now);
            }
        }
    }

    /// Applies a version of the record that was written in an earlier era than the one in
    /// which the store now holds it. A later version known to this node is kept.
    pub(super) fn apply_former_record(
        &mut self,
        record: OwnershipRecord,
        version: RecordVersion,
        now: Timestamp,
    ) {
        if !self.ownership.is_update(version) {
            return;
        }
        if record.is_later_than(self.ownership.record()) {
            self.ownership.update(record, version);
        }
        let RecordVersion {
            revision,
            is_confirmed,
        } = version;
        self.ownership.rewind_revision(Some(revision), is_confirmed);
        self.coordination.election.record_confirmation(now);
    }

    /// The store holds no record, while this node knows one of an earlier era.
    pub(super) fn apply_missing_record(&mut self, now: Timestamp) {
        let era = self.store.era;
        let known = self.ownership.revision();
        if known.is_some_and(|known| era_of(known) < era) {
            self.ownership.rewind_revision(None, true);
            self.coordination.election.record_confirmation(now);
        }
    }

    /// Whether this node is certain to know the latest owners of all keys. This is so if it
    /// was the coordinator until the era ended, or if the coordinator has reported since that
    /// its final version of the record is the one known here. In both cases no later
    /// coordinator may be known.
    pub(super) fn has_complete_ownership(&self) -> bool {
        if !self.ownership.is_from_earlier_era() {
            return true;
        }
        let record = self.ownership.record();
        let epoch = record.epoch;
        // The initial, empty record.
        let is_first = epoch == 0 && record.assignments.is_empty();
        let written = self
            .ownership
            .written_revision()
            .map(|revision| (epoch, revision));
        let is_final_version = written.is_some() && self.coordination.final_version() == written;
        is_first || self.continues_own_epoch() || is_final_version && self.newest_epoch() <= epoch
    }

    /// Whether this node was the coordinator until the store era ended, and knows of no other
    /// coordinator since.
    pub(super) fn continues_own_epoch(&self) -> bool {
        let epoch = self.ownership.record().epoch;
        self.ownership.is_from_earlier_era()
            && self.coordination.coordinated_in_former_era() == Some(epoch)
            && self.newest_epoch() <= epoch
    }
}
