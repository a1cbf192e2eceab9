//! Idempotency records: which keys have a request begun under them.
//!
//! Their number is bounded. The oldest record that has ended goes first; when
//! all records are of requests that may be running, no new one is begun.

use ledgelead_types::dispatch::{IdempotencyOwner, IdempotencyState, IdempotencyVerdict};
use ledgelead_types::{IdempotencyKey, Revision};
use nanoserde::{DeBin, SerBin};
use std::collections::{BTreeMap, BTreeSet};

/// Most records that a group keeps.
pub const MAXIMUM_RECORDS: usize = 65_536;

/// One record.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct IdempotencyRecord {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that began it.
    pub owner: IdempotencyOwner,
    /// How far it is.
    pub state: IdempotencyState,
    /// Log position of its beginning.
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

    /// Decides the wish to begin. The same owner may ask again, because its
    /// first answer may have been lost.
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

    /// Notes how the owner's request ended; `None` when it was not run. A
    /// record that has ended stays: a wish that was given up by a replica
    /// which was paused takes itself back late, after another wish of the same
    /// request was granted and the request was run.
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

    /// Dates all records to the start of a new epoch, whose log positions
    /// start again.
    pub fn restart_ages(&mut self) {
        let records = std::mem::take(&mut self.by_key).into_values();
        *self = records
            .map(|record| IdempotencyRecord {
                begun: Revision(0),
                ..record
            })
            .collect();
    }

    /// Forgets the records begun at or before a revision.
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
