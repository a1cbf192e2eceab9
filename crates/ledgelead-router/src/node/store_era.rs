//! Eras of the store: it may come back from a copy, without what it has acknowledged since.
//!
//! **Invariant: nothing that was taken from the store in an era is relied on in a later one
//! before it is proved there.** Lists are read anew, registrations are made again, and a
//! coordinator gives no orders until it has written the record in the new era. What nodes know
//! of the owners of keys goes on to route requests meanwhile; owners answer for themselves.

use super::Node;
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
    /// The era of an answer: that which is known where it names none.
    fn era_of_answer(&self, response: &Response) -> Result<u64, String> {
        let header = &self.dialect.headers().store_era;
        let known = self.store.era;
        let Some(text) = response.headers.text(header) else {
            return Ok(known);
        };
        match text.trim().parse() {
            Ok(era) if era >= known => Ok(era),
            Ok(era) => Err(format!("of era {era}, before {known}")),
            Err(_) => Err("no era".to_owned()),
        }
    }

    /// The store's answer to a call, with its revisions numbered by its era.
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
        // Before its first answer a node has taken nothing from the store.
        let begins = era > self.store.era && self.store.health.has_served();
        self.store.era = era;
        if begins {
            self.begin_era(now, out);
        }
        // A list that goes on, or changes since a revision, would miss what the copy lacks.
        let goes_on = match call {
            StoreCall::List { after, .. } => after.is_some(),
            StoreCall::Watch { .. } => true,
            StoreCall::Create { .. } | StoreCall::Replace { .. } => false,
        };
        let is_served = matches!(
            answer,
            StoreAnswer::Objects { .. } | StoreAnswer::Events { .. }
        );
        match goes_on && is_served && called_in < era {
            true => Ok(StoreAnswer::HistoryLost),
            false => Ok(answer),
        }
    }

    fn begin_era(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let era = self.store.era;
        Event::StoreEra { era }.emit();
        // Instances write their entries again, as after an outage.
        self.directory.begin_era(now);
        self.coordination.begin_era(now);
        self.leave_place(self.newest_epoch(), now);
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

    /// A watch that is due from a revision of an earlier era lists instead.
    pub(super) fn restart_former_watches(&mut self, now: Timestamp) {
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

    /// Takes over a version of the record that was written in an earlier era than the one in
    /// which the store holds it. What this node knows stays if it is later.
    pub(super) fn former_record_read(
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
        self.coordination.election.confirmed(now);
    }

    /// The store holds no record, though this node knows one of an earlier era.
    pub(super) fn record_is_missing(&mut self, now: Timestamp) {
        let era = self.store.era;
        let known = self.ownership.revision();
        if known.is_some_and(|known| era_of(known) < era) {
            self.ownership.rewind_revision(None, true);
            self.coordination.election.confirmed(now);
        }
    }

    /// Whether what this node knows of the owners is all that is to be known: it coordinated
    /// until the era ended, or the coordinator has said since that its last version of the
    /// record is the one that is known here. No later coordinator was heard of.
    pub(super) fn knows_all_owners(&self) -> bool {
        if !self.ownership.is_from_earlier_era() {
            return true;
        }
        let record = self.ownership.record();
        let epoch = record.epoch;
        // The first record of all.
        let is_first = epoch == 0 && record.assignments.is_empty();
        let written = self
            .ownership
            .written_revision()
            .map(|revision| (epoch, revision));
        let is_vouched = written.is_some() && self.coordination.vouched_record() == written;
        is_first || self.continues_own_epoch() || is_vouched && self.newest_epoch() <= epoch
    }

    /// Whether this node coordinated until the era of the store ended, and knows of no other
    /// coordinator since.
    pub(super) fn continues_own_epoch(&self) -> bool {
        let epoch = self.ownership.record().epoch;
        self.ownership.is_from_earlier_era()
            && self.coordination.coordinated_until_era() == Some(epoch)
            && self.newest_epoch() <= epoch
    }
}
