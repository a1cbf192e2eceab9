//! The evidence about one request.

use crate::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

/// A stable hash of the address from which a request comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

impl CallerId {
    /// All callers: the scope of a verdict on the request itself.
    pub const ALL: CallerId = CallerId(0);
    /// Stands for some caller other than those whose requests are suspected.
    pub const SOME_OTHER: CallerId = CallerId(1);

    /// The caller with this address.
    pub fn new(source: IpAddr) -> CallerId {
        let hash = xxhash_rust::xxh3::xxh3_64(source.to_string().as_bytes());
        CallerId(hash.max(2))
    }
}

/// An instance that ended while a caller's request was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceEnd {
    /// The caller.
    pub caller: CallerId,
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// When it ended.
    pub at: Timestamp,
    /// Whether it counts no matter which other instances ended at the same time, since that
    /// was checked before.
    pub settled: bool,
}

/// The evidence about one request, for all of its callers. Verdicts on it are in
/// [`super::verdict`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Its path, for operators.
    pub path: String,
    /// Instances that ended while processing it.
    pub ends: Vec<InstanceEnd>,
    /// Those of them that ended together with others, as judged by a node that knew these. This
    /// node may not know them, and doesn't judge these ends again.
    pub coincident: BTreeSet<u64>,
    /// When it was reviewed last which ends count.
    pub reviewed: Timestamp,
    /// Callers with an answered request, and when the last one was answered.
    pub cleared: BTreeMap<CallerId, Timestamp>,
    /// Callers whose requests are quarantined, and since when.
    pub quarantined: BTreeMap<CallerId, Timestamp>,
}

impl Entry {
    /// Merges the evidence of another node. Returns whether something was new.
    pub(super) fn merge(&mut self, other: &Entry) -> bool {
        let mut is_new = false;
        if self.path.is_empty() {
            self.path.clone_from(&other.path);
        }
        let is_known = |instance: &u64| self.ends.iter().any(|end| end.instance == *instance);
        let unknown = other
            .coincident
            .iter()
            .filter(|instance| !is_known(instance));
        let judged = self.coincident.len();
        self.coincident.extend(unknown);
        is_new |= self.coincident.len() > judged;
        for end in &other.ends {
            is_new |= self.add(*end);
        }
        is_new |= merge_latest(&mut self.cleared, &other.cleared);
        is_new |= merge_latest(&mut self.quarantined, &other.quarantined);
        is_new
    }

    /// Adds the end of an instance. Returns whether it was new, or counts only now.
    pub(super) fn add(&mut self, end: InstanceEnd) -> bool {
        let same =
            |known: &&mut InstanceEnd| (known.caller, known.instance) == (end.caller, end.instance);
        match self.ends.iter_mut().find(same) {
            Some(known) => {
                let counts_now = end.settled && !known.settled;
                known.settled |= end.settled;
                counts_now
            }
            None => {
                self.ends.push(end);
                true
            }
        }
    }

    /// The time of the latest evidence.
    pub(super) fn newest(&self) -> Timestamp {
        let ends = self.ends.iter().map(|end| &end.at);
        let others = self.cleared.values().chain(self.quarantined.values());
        ends.chain(others).max().copied().unwrap_or_default()
    }
}

/// Keeps the later time for each caller. Returns whether a caller is new, or its time much
/// later: ages in messages are accurate only to some milliseconds.
fn merge_latest(
    known: &mut BTreeMap<CallerId, Timestamp>,
    other: &BTreeMap<CallerId, Timestamp>,
) -> bool {
    const SAME: Duration = Duration::from_secs(1);
    let mut is_new = false;
    for (caller, at) in other {
        let earlier = known.get(caller).copied();
        if earlier.is_none_or(|earlier| earlier + SAME < *at) {
            known.insert(*caller, *at);
            is_new = true;
        }
    }
    is_new
}
