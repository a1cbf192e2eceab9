//! The evidence about one request.

use crate::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

/// Number of instances that end during a request before it is quarantined. With fewer, a
/// harmless request that meets two unrelated failures would be quarantined.
pub(super) const ENDS_TO_QUARANTINE: usize = 3;
/// The same for a request of several callers: the number of such callers, and the number of
/// instances that must have ended during the requests of each one alone. Together these are
/// more ends, because other callers of a request count as harmless until the contrary is
/// shown.
const MIN_SUSPECT_CALLERS: usize = 2;
const MIN_ENDS_ALONE: usize = 2;
/// How long a complete answer clears a request. Instances that end meanwhile do so for another
/// reason, since a crashing request ends every instance that begins to process it.
pub(super) const CLEARED_FOR: Duration = Duration::from_secs(60);

/// A stable hash of the address from which a request comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

impl CallerId {
    /// All callers.
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

/// The evidence about one request, for all of its callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Its path, for operators.
    pub path: String,
    /// Instances that ended while processing it.
    pub ends: Vec<InstanceEnd>,
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
        for end in &other.ends {
            is_new |= self.add(*end);
        }
        is_new |= merge_latest(&mut self.cleared, &other.cleared);
        is_new |= merge_latest(&mut self.quarantined, &other.quarantined);
        is_new
    }

    /// Adds the end of an instance. Returns whether it was new.
    pub(super) fn add(&mut self, end: InstanceEnd) -> bool {
        let same =
            |known: &&mut InstanceEnd| (known.caller, known.instance) == (end.caller, end.instance);
        match self.ends.iter_mut().find(same) {
            Some(known) => {
                known.settled |= end.settled;
                false
            }
            None => {
                self.ends.push(end);
                true
            }
        }
    }

    /// Removes the end of an instance that turned out to be alive. The remaining evidence may
    /// no longer justify a quarantine.
    pub(super) fn remove_end(&mut self, instance: u64, now: Timestamp) {
        let before = self.ends.len();
        self.ends.retain(|end| end.instance != instance);
        if self.ends.len() < before && !self.quarantined.is_empty() {
            let quarantined = std::mem::take(&mut self.quarantined);
            let callers = self.callers_to_quarantine();
            let still = quarantined
                .into_iter()
                .filter(|(caller, _)| callers.contains(caller));
            self.quarantined = still.collect();
            if self.quarantined.is_empty() {
                self.cleared.insert(CallerId::ALL, now);
            }
        }
    }

    /// Whether an event at this time is void because of an answer or a lifted quarantine.
    pub(super) fn is_voided(&self, caller: CallerId, at: Timestamp) -> bool {
        let answered = self.cleared.get(&caller);
        let lifted = self.cleared.get(&CallerId::ALL);
        answered.is_some_and(|answered| at <= *answered + CLEARED_FOR)
            || lifted.is_some_and(|lifted| at <= *lifted)
    }

    /// Whether a caller's request is quarantined.
    pub fn is_quarantined_for(&self, caller: CallerId) -> bool {
        let is_active = |by: CallerId| {
            let since = self.quarantined.get(&by);
            since.is_some_and(|since| !self.is_voided(caller, *since))
        };
        is_active(caller) || is_active(CallerId::ALL)
    }

    /// Whether any caller's request is quarantined.
    pub fn is_quarantined(&self) -> bool {
        let is_active = |(caller, since): (&CallerId, &Timestamp)| !self.is_voided(*caller, *since);
        self.quarantined.iter().any(is_active)
    }

    /// Number of instances that ended during a caller's request.
    pub fn ends_of(&self, caller: CallerId) -> usize {
        let of_caller =
            |end: &&InstanceEnd| end.caller == caller && !self.is_voided(caller, end.at);
        let ends = self.ends.iter().filter(of_caller);
        ends.map(|end| end.instance)
            .collect::<BTreeSet<u64>>()
            .len()
    }

    /// The callers to quarantine by the ends that count. A single caller, if enough instances
    /// ended during that caller's requests; all callers, if several instances ended during the
    /// requests of each of several callers alone, and no request was ever answered.
    pub(super) fn callers_to_quarantine(&self) -> Vec<CallerId> {
        let counts = |end: &&InstanceEnd| end.settled && !self.is_voided(end.caller, end.at);
        let mut by_caller: BTreeMap<CallerId, BTreeSet<u64>> = BTreeMap::new();
        for end in self.ends.iter().filter(counts) {
            by_caller
                .entry(end.caller)
                .or_default()
                .insert(end.instance);
        }
        let is_enough =
            |(_, instances): &(&CallerId, &BTreeSet<u64>)| instances.len() >= ENDS_TO_QUARANTINE;
        let mut callers: Vec<CallerId> = by_caller
            .iter()
            .filter(is_enough)
            .map(|(caller, _)| *caller)
            .collect();
        if self.cleared.is_empty() && affects_all_callers(&by_caller) {
            callers.push(CallerId::ALL);
        }
        callers.retain(|caller| !self.is_quarantined_for(*caller));
        callers
    }

    /// The time of the latest evidence.
    pub(super) fn newest(&self) -> Timestamp {
        let ends = self.ends.iter().map(|end| &end.at);
        let others = self.cleared.values().chain(self.quarantined.values());
        ends.chain(others).max().copied().unwrap_or_default()
    }
}

/// Whether instances ended during the requests of several callers, with at least
/// `MIN_ENDS_ALONE` of them during each one's requests alone. Of callers with requests at the
/// same ended instance, one may be harmless.
fn affects_all_callers(by_caller: &BTreeMap<CallerId, BTreeSet<u64>>) -> bool {
    let is_alone_at = |instance: &&u64| {
        let there = by_caller.values().filter(|ends| ends.contains(*instance));
        there.count() == 1
    };
    let is_suspect =
        |ends: &&BTreeSet<u64>| ends.iter().filter(is_alone_at).count() >= MIN_ENDS_ALONE;
    by_caller.values().filter(is_suspect).count() >= MIN_SUSPECT_CALLERS
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
