//! Evidence that the store keeps over the loss of all nodes.

use super::Kept;
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

/// Time between two comparisons of what is known with what the store holds.
const KEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Pause before a failed write is tried again.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

impl Node {
    /// Whether this node writes evidence to the store now.
    pub(super) fn may_keep(&self) -> bool {
        self.settings.protections.has(Protection::PersistedEvidence)
            && !self.quarantine.evidence.is_empty()
            && self.coordination.coordinator().is_some()
            && self.store.health.serves()
            && self.store.has_listed(ObjectKind::Quarantine)
            && !self.quarantine.is_writing
    }

    /// A request whose evidence the store doesn't hold as it is known here.
    fn unkept(&self) -> Option<RequestDigest> {
        let is_unkept = |(request, record): &(RequestDigest, QuarantineRecord)| {
            let kept = self.quarantine.kept.get(request);
            match kept {
                Some(kept) => kept.record != *record,
                None => record.ends.len() >= 2 || !record.quarantined.is_empty(),
            }
        };
        let weighty = self.quarantine.evidence.broadcast_entries();
        let records = weighty.map(|(request, entry)| (*request, QuarantineRecord::new(entry)));
        let mut unkept = records.filter(is_unkept);
        unkept.next().map(|(request, _)| request)
    }

    pub(super) fn keep_evidence(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if !self.may_keep() || self.quarantine.next_write > now {
            return;
        }
        self.quarantine.next_write = now + KEEP_INTERVAL;
        let Some(request) = self.unkept() else {
            return;
        };
        let Some(entry) = self.quarantine.evidence.get(&request) else {
            return;
        };
        let record = QuarantineRecord::new(entry);
        let name = request.to_string();
        let content = WrittenContent::Quarantine(record.clone());
        let call = match self.quarantine.kept.contains_key(&request) {
            false => StoreCall::Create { name, content },
            true => StoreCall::Replace {
                name,
                // What this node writes holds all that it has read.
                revision: None,
                content,
            },
        };
        self.quarantine.is_writing = true;
        let purpose = Purpose::KeepEvidence(Box::new((request, record)));
        self.start_call(purpose, call, now, out);
    }

    /// The store has answered a write of evidence.
    pub(in crate::node) fn evidence_kept(
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
                    .kept
                    .insert(request, Kept { record, revision });
            }
            Ok(StoreAnswer::Conflict) => {
                // An earlier write whose answer was lost: it is replaced.
                let kept = Kept {
                    record: QuarantineRecord::default(),
                    revision: 0,
                };
                self.quarantine.kept.insert(request, kept);
            }
            Ok(StoreAnswer::Missing) => self.lifted(request, now),
            _ => self.quarantine.next_write = now + WRITE_PAUSE,
        }
    }

    /// An object was read from the store.
    pub(in crate::node) fn evidence_read(&mut self, object: &Object, now: Timestamp) {
        let Ok(ObjectContent::Quarantine(record)) = &object.content else {
            return;
        };
        let Some(request) = RequestDigest::parse(&object.name) else {
            return;
        };
        self.quarantine.evidence.merge(request, &record.entry(now));
        let kept = Kept {
            record: record.clone(),
            revision: object.revision,
        };
        self.quarantine.kept.insert(request, kept);
    }

    /// The store's list lacks what it held: an operator has removed it.
    pub(in crate::node) fn evidence_listed(
        &mut self,
        listed: &BTreeSet<RequestDigest>,
        revision: u64,
        now: Timestamp,
    ) {
        let kept = self.quarantine.kept.iter();
        let gone = kept.filter(|(request, kept)| {
            !listed.contains(request) && kept.revision > 0 && kept.revision <= revision
        });
        let gone: Vec<RequestDigest> = gone.map(|(request, _)| *request).collect();
        for request in gone {
            self.lifted(request, now);
        }
    }

    /// An operator has removed what the store kept of a request: it is sent again.
    pub(in crate::node) fn lifted(&mut self, request: RequestDigest, now: Timestamp) {
        self.quarantine.kept.remove(&request);
        Event::QuarantineLifted { digest: request }.emit();
        self.quarantine.evidence.lift(request, now);
    }
}
