//! Storage of evidence in the store, so that it survives the loss of all nodes.

use super::StoredRecord;
use crate::Timestamp;
use crate::dialect::{Object, ObjectContent, ObjectKind, StoreAnswer, StoreCall, WrittenContent};
use crate::events::Event;
use crate::io::{Action, ExchangeFailure};
use crate::node::Node;
use crate::node::store_calls::Purpose;
use crate::protections::Protection;
use crate::quarantine::QuarantineRecord;
use crate::requests::RequestDigest;
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum interval between comparisons of the known evidence with the store's.
const STORE_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before retrying a failed write.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

impl Node {
    /// Whether this node may write evidence to the store now.
    pub(super) fn may_store_evidence(&self) -> bool {
        self.settings.protections.has(Protection::PersistedEvidence)
            && !self.quarantine.evidence.is_empty()
            && self.coordination.coordinator().is_some()
            && self.store.health.serves()
            && self.store.has_listed(ObjectKind::Quarantine)
            && !self.quarantine.is_writing
    }

    /// A request whose evidence differs from what the store holds.
    fn next_unsaved_request(&self, now: Timestamp) -> Option<RequestDigest> {
        let is_unsaved = |(request, record): &(RequestDigest, QuarantineRecord)| {
            let stored = self.quarantine.stored.get(request);
            match stored {
                Some(stored) => stored.record != *record,
                None => record.ends.len() >= 2 || !record.quarantined.is_empty(),
            }
        };
        // Whether an end counts is stored with it.
        let entries = self.quarantine.evidence.broadcast_entries();
        let entries = entries.filter(|(_, entry)| !entry.has_unsettled(now));
        let records = entries.map(|(request, entry)| (*request, QuarantineRecord::new(entry)));
        let mut unsaved = records.filter(is_unsaved);
        unsaved.next().map(|(request, _)| request)
    }

    pub(super) fn store_evidence(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if !self.may_store_evidence() || self.quarantine.next_write > now {
            return;
        }
        self.quarantine.next_write = now + STORE_INTERVAL;
        let Some(request) = self.next_unsaved_request(now) else {
            return;
        };
        let Some(entry) = self.quarantine.evidence.get(&request) else {
            return;
        };
        let record = QuarantineRecord::new(entry);
        let name = request.to_string();
        let content = WrittenContent::Quarantine(record.clone());
        let call = match self.quarantine.stored.contains_key(&request) {
            false => StoreCall::Create { name, content },
            true => StoreCall::Replace {
                name,
                // The record to be written includes everything that this node has read.
                revision: None,
                content,
            },
        };
        self.quarantine.is_writing = true;
        let purpose = Purpose::StoreEvidence(Box::new((request, record)));
        self.start_call(purpose, call, now, out);
    }

    /// Handles the store's answer to a write of evidence.
    pub(in crate::node) fn evidence_stored(
        &mut self,
        request: RequestDigest,
        record: QuarantineRecord,
        answer: Result<StoreAnswer, ExchangeFailure>,
        now: Timestamp,
    ) {
        self.quarantine.is_writing = false;
        match answer {
            Ok(StoreAnswer::Written(object)) => {
                let revision = object.revision;
                self.quarantine
                    .stored
                    .insert(request, StoredRecord { record, revision });
            }
            Ok(StoreAnswer::Conflict) => {
                // Caused by an earlier write whose answer was lost: its object is replaced.
                let stored = StoredRecord {
                    record: QuarantineRecord::default(),
                    revision: 0,
                };
                self.quarantine.stored.insert(request, stored);
            }
            Ok(StoreAnswer::Missing) => self.quarantine_lifted(request, now),
            _ => self.quarantine.next_write = now + WRITE_PAUSE,
        }
    }

    /// Applies evidence that was read from the store.
    pub(in crate::node) fn evidence_read(&mut self, object: &Object, now: Timestamp) {
        let Ok(ObjectContent::Quarantine(record)) = &object.content else {
            return;
        };
        let Some(request) = RequestDigest::parse(&object.name) else {
            return;
        };
        let mut entry = record.entry(now);
        if self.quarantine.evidence.get(&request).is_some() {
            // The answer came earlier. It must not count as a new one whenever it is read.
            entry.cleared.clear();
        }
        self.quarantine.evidence.merge(request, &entry);
        let stored = StoredRecord {
            record: record.clone(),
            revision: object.revision,
        };
        self.quarantine.stored.insert(request, stored);
    }

    /// Lifts the quarantine of requests that are missing in the store's list, which means that
    /// an operator has removed them.
    pub(in crate::node) fn evidence_listed(
        &mut self,
        listed: &BTreeSet<RequestDigest>,
        revision: u64,
        now: Timestamp,
    ) {
        let stored = self.quarantine.stored.iter();
        let gone = stored.filter(|(request, stored)| {
            !listed.contains(request) && stored.revision > 0 && stored.revision <= revision
        });
        let gone: Vec<RequestDigest> = gone.map(|(request, _)| *request).collect();
        for request in gone {
            self.quarantine_lifted(request, now);
        }
    }

    /// An operator has removed the stored evidence about a request, so that it may be sent to
    /// instances again.
    pub(in crate::node) fn quarantine_lifted(&mut self, request: RequestDigest, now: Timestamp) {
        self.quarantine.stored.remove(&request);
        Event::QuarantineLifted { digest: request }.emit();
        self.quarantine.evidence.lift(request, now);
    }
}
