//! Idempotency records: the keys under which a request was begun.
//!
//! Their number is bounded. The oldest ended record is removed first; if all records belong
//! to requests that may still be executing, no new request can begin.

use ledgelead_types::dispatch::{IdempotencyOwner, IdempotencyState, IdempotencyVerdict};
use ledgelead_types::{IdempotencyKey, Revision};
use nanoserde::{DeBin, SerBin};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of records that a group keeps.
pub const MAXIMUM_RECORDS: usize = 65_536;

/// One record.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct IdempotencyRecord {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that began it.
    pub owner: IdempotencyOwner,
    /// The state of the request.
    pub state: IdempotencyState,
    /// Log position at which it was begun.
    pub begun: Revision,
}

/// All records of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IdempotencyRecords {
    by_key: BTreeMap<IdempotencyKey, IdempotencyRecord>,
    /// Records that have ended, by age.
    ended: BTreeSet<(Revision, IdempotencyKey)>,
    /// All records, by age.
    by_age: BTreeSet<(Revision, IdempotencyKey)>,
}

impl FromIterator<IdempotencyRecord> for IdempotencyRecords {
    fn from_iter<I: IntoIterator<Item = IdempotencyRecord>>(records: I) -> Self {
        let mut all = IdempotencyRecords::default();
        for record in records {
            all.insert(record);
        }
        all
    }
}

impl IdempotencyRecords {
    /// The records in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &IdempotencyRecord> {
        self.by_key.values()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Log position of the oldest record.
    pub fn oldest(&self) -> Option<Revision> {
        self.by_age.first().map(|(begun, _)| *begun)
    }

    /// Decides a request to begin. The same owner may repeat it, because the first answer
    /// may have been lost.
    pub fn begin(
        &mut self,
        owner: IdempotencyOwner,
        key: IdempotencyKey,
        revision: Revision,
    ) -> IdempotencyVerdict {
        if let Some(record) = self.by_key.get(&key) {
            let is_retry = record.owner == owner && record.state == IdempotencyState::Begun;
            return if is_retry {
                IdempotencyVerdict::Fresh
            } else {
                IdempotencyVerdict::Duplicate(record.state)
            };
        }
        if !self.make_room() {
            return IdempotencyVerdict::Unavailable;
        }
        self.insert(IdempotencyRecord {
            key,
            owner,
            state: IdempotencyState::Begun,
            begun: revision,
        });
        IdempotencyVerdict::Fresh
    }

    /// Records how the owner's request ended; `None` if it was not executed. A record that
    /// has ended is kept even then, because the cancellation may be late: a paused replica
    /// may cancel its request to begin after the same owner was granted another one and its
    /// request was executed.
    pub fn end(
        &mut self,
        owner: IdempotencyOwner,
        key: IdempotencyKey,
        state: Option<IdempotencyState>,
    ) {
        let Some(record) = self.by_key.get_mut(&key) else {
            return;
        };
        if record.owner != owner {
            return;
        }
        let Some(state) = state else {
            if record.state == IdempotencyState::Begun {
                self.remove(key);
            }
            return;
        };
        record.state = state;
        let age_key = (record.begun, key);
        if state == IdempotencyState::Begun {
            self.ended.remove(&age_key);
        } else {
            self.ended.insert(age_key);
        }
    }

    /// Resets the age of all records to the start of a new epoch, because log positions
    /// restart there.
    pub fn restart_ages(&mut self) {
        let records = std::mem::take(&mut self.by_key).into_values();
        *self = records
            .map(|record| IdempotencyRecord {
                begun: Revision(0),
                ..record
            })
            .collect();
    }

    /// Removes the records begun at or before a revision.
    pub fn expire(&mut self, through: Revision) {
        while let Some(&(begun, key)) = self.by_age.first() {
            if begun > through {
                return;
            }
            self.remove(key);
        }
    }

    fn make_room(&mut self) -> bool {
        if self.by_key.len() < MAXIMUM_RECORDS {
            return true;
        }
        let Some(&(_, key)) = self.ended.first() else {
            return false;
        };
        self.remove(key);
        true
    }

    fn insert(&mut self, record: IdempotencyRecord) {
        let age_key = (record.begun, record.key);
        self.by_age.insert(age_key);
        if record.state != IdempotencyState::Begun {
            self.ended.insert(age_key);
        }
        self.by_key.insert(record.key, record);
    }

    fn remove(&mut self, key: IdempotencyKey) {
        if let Some(record) = self.by_key.remove(&key) {
            let age_key = (record.begun, key);
            self.by_age.remove(&age_key);
            self.ended.remove(&age_key);
        }
    }
}
