//! What is known of one request.

use crate::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

/// Instances that end under a request before it is quarantined. With fewer, a harmless
/// request that is unlucky twice would be held back.
pub(super) const ENDS_TO_QUARANTINE: usize = 3;
/// The same for a request of several callers: so many of them, and ends under each one's
/// alone. Together they are more, since who else sends that is harmless until shown.
const SUSPECT_CALLERS: usize = 2;
const ENDS_ALONE: usize = 2;
/// How long a whole answer speaks for a request: what ends meanwhile ends for another
/// reason, since a request of this kind ends each instance that begins to run it.
pub(super) const ACQUITTED_FOR: Duration = Duration::from_secs(60);

/// A stable hash of the address that a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

impl CallerId {
    /// All callers.
    pub const ALL: CallerId = CallerId(0);
    /// Some caller other than those whose requests are suspected.
    pub const SOME_OTHER: CallerId = CallerId(1);

    /// The caller at this address.
    pub fn new(source: IpAddr) -> CallerId {
        let hash = xxhash_rust::xxh3::xxh3_64(source.to_string().as_bytes());
        CallerId(hash.max(2))
    }
}

/// An instance has ended while a caller's request was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceEnd {
    /// The caller.
    pub caller: CallerId,
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// When.
    pub at: Timestamp,
    /// Whether it counts whatever else ended at that moment: it was judged before.
    pub settled: bool,
}

/// What is known of one request, over all of its callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Its path, for operators.
    pub path: String,
    /// Instances that ended.
    pub ends: Vec<InstanceEnd>,
    /// Callers whose requests were answered by an instance, and when last.
    pub cleared: BTreeMap<CallerId, Timestamp>,
    /// Callers whose requests are held back, and since when.
    pub quarantined: BTreeMap<CallerId, Timestamp>,
}

impl Entry {
    /// Takes over what another node knows. Returns whether something is news.
    pub(super) fn merge(&mut self, other: &Entry) -> bool {
        let mut is_news = false;
        if self.path.is_empty() {
            self.path.clone_from(&other.path);
        }
        for end in &other.ends {
            is_news |= self.add(*end);
        }
        is_news |= merge_latest(&mut self.cleared, &other.cleared);
        is_news |= merge_latest(&mut self.quarantined, &other.quarantined);
        is_news
    }

    /// An instance has ended. Returns whether that is news.
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

    /// An instance lives that was said to have ended. Without that end the request may
    /// not be one that crashes instances.
    pub(super) fn drop_end(&mut self, instance: u64, now: Timestamp) {
        let before = self.ends.len();
        self.ends.retain(|end| end.instance != instance);
        if self.ends.len() < before && !self.quarantined.is_empty() {
            let held = std::mem::take(&mut self.quarantined);
            let judged = self.judge();
            let still = held
                .into_iter()
                .filter(|(caller, _)| judged.contains(caller));
            self.quarantined = still.collect();
            if self.quarantined.is_empty() {
                self.cleared.insert(CallerId::ALL, now);
            }
        }
    }

    /// Whether what happened at a time counts for nothing, by an answer.
    pub(super) fn is_void(&self, caller: CallerId, at: Timestamp) -> bool {
        let answered = self.cleared.get(&caller);
        let lifted = self.cleared.get(&CallerId::ALL);
        answered.is_some_and(|answered| at <= *answered + ACQUITTED_FOR)
            || lifted.is_some_and(|lifted| at <= *lifted)
    }

    /// Whether a caller's request is held back.
    pub fn is_quarantined_for(&self, caller: CallerId) -> bool {
        let held = |by: CallerId| {
            let since = self.quarantined.get(&by);
            since.is_some_and(|since| !self.is_void(caller, *since))
        };
        held(caller) || held(CallerId::ALL)
    }

    /// Whether some caller's request is held back.
    pub fn is_quarantined(&self) -> bool {
        let held = |(caller, since): (&CallerId, &Timestamp)| !self.is_void(*caller, *since);
        self.quarantined.iter().any(held)
    }

    /// Instances that ended under a caller's request.
    pub fn ends_of(&self, caller: CallerId) -> usize {
        let of_caller = |end: &&InstanceEnd| end.caller == caller && !self.is_void(caller, end.at);
        let ends = self.ends.iter().filter(of_caller);
        ends.map(|end| end.instance)
            .collect::<BTreeSet<u64>>()
            .len()
    }

    /// Whose requests are to be held back by the ends that count: a caller's, if enough
    /// instances ended under them; everybody's, if several instances ended under those of
    /// each of several callers alone, and none was ever answered.
    pub(super) fn judge(&self) -> Vec<CallerId> {
        let counts = |end: &&InstanceEnd| end.settled && !self.is_void(end.caller, end.at);
        let mut by_caller: BTreeMap<CallerId, BTreeSet<u64>> = BTreeMap::new();
        for end in self.ends.iter().filter(counts) {
            by_caller
                .entry(end.caller)
                .or_default()
                .insert(end.instance);
        }
        let is_enough =
            |(_, instances): &(&CallerId, &BTreeSet<u64>)| instances.len() >= ENDS_TO_QUARANTINE;
        let mut judged: Vec<CallerId> = by_caller
            .iter()
            .filter(is_enough)
            .map(|(caller, _)| *caller)
            .collect();
        if self.cleared.is_empty() && is_everybodys(&by_caller) {
            judged.push(CallerId::ALL);
        }
        judged.retain(|caller| !self.is_quarantined_for(*caller));
        judged
    }

    /// When something was last learned.
    pub(super) fn newest(&self) -> Timestamp {
        let ends = self.ends.iter().map(|end| &end.at);
        let others = self.cleared.values().chain(self.quarantined.values());
        ends.chain(others).max().copied().unwrap_or_default()
    }
}

/// Whether instances ended under the requests of several callers, `ENDS_ALONE` of them or
/// more under each one's alone. Where they were there together, one may be harmless.
fn is_everybodys(by_caller: &BTreeMap<CallerId, BTreeSet<u64>>) -> bool {
    let is_alone_at = |instance: &&u64| {
        let there = by_caller.values().filter(|ends| ends.contains(*instance));
        there.count() == 1
    };
    let is_suspect = |ends: &&BTreeSet<u64>| ends.iter().filter(is_alone_at).count() >= ENDS_ALONE;
    by_caller.values().filter(is_suspect).count() >= SUSPECT_CALLERS
}

/// Keeps the later time of each caller. Returns whether a caller is new, or known for much
/// later: an age on the wire is exact to some milliseconds only.
fn merge_latest(
    known: &mut BTreeMap<CallerId, Timestamp>,
    other: &BTreeMap<CallerId, Timestamp>,
) -> bool {
    const SAME: Duration = Duration::from_secs(1);
    let mut is_news = false;
    for (caller, at) in other {
        let earlier = known.get(caller).copied();
        if earlier.is_none_or(|earlier| earlier + SAME < *at) {
            known.insert(*caller, *at);
            is_news = true;
        }
    }
    is_news
}
