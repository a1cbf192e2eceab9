//! What all nodes know together of requests under which instances ended.

use super::entry::{ACQUITTED_FOR, CallerId, Entry, InstanceEnd};
use crate::Timestamp;
use crate::requests::RequestDigest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long an end waits before it counts, so that others can show what else ended, or
/// that the instance lives: four datagrams in a row (0, 0.2 s) and a request's time.
const SETTLE: Duration = Duration::from_millis(250);
/// Ends so close together have one cause: a rack, a zone, power.
const SAME_MOMENT: Duration = Duration::from_millis(150);
/// How long is remembered what did not lead to a quarantine.
const REMEMBERED: Duration = Duration::from_secs(600);
/// Most requests that are remembered. One is 100 bytes here and on the wire.
const MAX_ENTRIES: usize = 512;

/// What a review of the evidence has changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct NewQuarantines(pub Vec<(RequestDigest, CallerId)>);

/// Facts of all nodes. Merging is union, so any order of messages leads to the same.
#[derive(Debug, Default)]
pub struct Evidence {
    entries: BTreeMap<RequestDigest, Entry>,
    /// Instances that have ended, and when.
    ended: BTreeMap<u64, Timestamp>,
    /// Instances that have answered after they were said to have ended.
    alive: BTreeMap<u64, Timestamp>,
    /// Requests of which something was learned since they were last announced.
    news: BTreeSet<RequestDigest>,
    news_alive: BTreeSet<u64>,
    /// When ends that have not settled yet are judged.
    next_review: Option<Timestamp>,
}

impl Evidence {
    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a request.
    pub fn get(&self, request: &RequestDigest) -> Option<&Entry> {
        self.entries.get(request)
    }

    /// All that is known.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestDigest, &Entry)> {
        self.entries.iter()
    }

    /// How many instances ended under requests that are known.
    pub fn ends(&self) -> usize {
        let ends = self.entries.values().flat_map(|entry| &entry.ends);
        ends.map(|end| end.instance)
            .collect::<BTreeSet<u64>>()
            .len()
    }

    /// Instances that were said to have ended and live, and when that was seen.
    pub fn alive(&self) -> &BTreeMap<u64, Timestamp> {
        &self.alive
    }

    /// Whether a caller's request is held back.
    pub fn is_quarantined_for(&self, request: &RequestDigest, caller: CallerId) -> bool {
        let entry = self.entries.get(request);
        entry.is_some_and(|entry| entry.is_quarantined_for(caller))
    }

    /// Instances that ended under a caller's request.
    pub fn ends_of(&self, request: &RequestDigest, caller: CallerId) -> usize {
        let entry = self.entries.get(request);
        entry.map_or(0, |entry| entry.ends_of(caller))
    }

    /// When an instance ended, if some node says so and none has disproved it.
    pub fn reported_end(&self, instance: u64) -> Option<Timestamp> {
        let ended = self.ended.get(&instance).copied();
        ended.filter(|_| !self.alive.contains_key(&instance))
    }

    /// An instance has ended under a request.
    pub fn record_end(&mut self, request: RequestDigest, path: &str, end: InstanceEnd) {
        let entry = Entry {
            path: path.to_owned(),
            ends: vec![end],
            ..Entry::default()
        };
        self.merge(request, &entry);
        self.news.insert(request);
    }

    /// An instance has answered a caller's request. Only one that is suspected needs that;
    /// an answer to any other caller shows that not everybody's crashes instances.
    pub fn record_answer(&mut self, request: RequestDigest, caller: CallerId, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        let is_suspected = entry.ends_of(caller) > 0 || entry.is_quarantined_for(caller);
        if is_suspected {
            entry.cleared.insert(caller, now);
            self.news.insert(request);
        } else if entry.cleared.is_empty() && !entry.ends.is_empty() {
            entry.cleared.insert(CallerId::SOME_OTHER, now);
            self.news.insert(request);
        }
    }

    /// The operator has lifted a quarantine.
    pub fn lift(&mut self, request: RequestDigest, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.cleared.insert(CallerId::ALL, now);
            self.news.insert(request);
        }
    }

    /// An instance that was said to have ended has answered: it ended nowhere.
    pub fn disprove_end(&mut self, instance: u64, now: Timestamp) {
        if !self.record_alive(instance, now) {
            return;
        }
        self.news_alive.insert(instance);
    }

    /// Some node has seen an instance live that was said to have ended. Returns whether
    /// that is news.
    pub fn record_alive(&mut self, instance: u64, at: Timestamp) -> bool {
        if self.alive.insert(instance, at).is_some() {
            return false;
        }
        for entry in self.entries.values_mut() {
            entry.drop_end(instance, at);
        }
        true
    }

    /// Takes over what another node, or the store, knows of a request.
    pub fn merge(&mut self, request: RequestDigest, other: &Entry) {
        let mut other = other.clone();
        other
            .ends
            .retain(|end| !self.alive.contains_key(&end.instance));
        if other == Entry::default() {
            return;
        }
        for end in &other.ends {
            self.ended.entry(end.instance).or_insert(end.at);
            let settled_at = end.at + SETTLE;
            let review = self.next_review.unwrap_or(settled_at);
            self.next_review = Some(review.min(settled_at));
        }
        self.entries.entry(request).or_default().merge(&other);
    }

    /// When ends are judged next.
    pub fn next_review(&self) -> Option<Timestamp> {
        self.next_review
    }

    /// Judges the ends that have settled by now.
    pub fn review(&mut self, now: Timestamp) -> NewQuarantines {
        let mut verdicts = NewQuarantines::default();
        if self.next_review.is_none_or(|at| now < at) {
            return verdicts;
        }
        let mut next = None;
        for (request, entry) in &mut self.entries {
            let there: BTreeSet<u64> = entry.ends.iter().map(|end| end.instance).collect();
            for end in &mut entry.ends {
                if end.settled {
                    continue;
                }
                let settles_at = end.at + SETTLE;
                if settles_at > now {
                    next = Some(next.map_or(settles_at, |at: Timestamp| at.min(settles_at)));
                    continue;
                }
                end.settled = !ended_with_others(&self.ended, &self.alive, &there, end.at);
            }
            for caller in entry.judge() {
                entry.quarantined.insert(caller, now);
                verdicts.0.push((*request, caller));
            }
        }
        self.next_review = next;
        verdicts
    }

    /// Requests of which something was learned since the last call, and instances that
    /// live after all.
    pub fn take_unannounced(&mut self) -> (BTreeSet<RequestDigest>, BTreeSet<u64>) {
        let news = std::mem::take(&mut self.news);
        (news, std::mem::take(&mut self.news_alive))
    }

    /// Whether `take_unannounced` would return anything.
    pub fn has_unannounced(&self) -> bool {
        !self.news.is_empty() || !self.news_alive.is_empty()
    }

    /// Requests of which every node has to know: two instances or more ended under them.
    pub fn broadcast_entries(&self) -> impl Iterator<Item = (&RequestDigest, &Entry)> {
        let must_broadcast = |(_, entry): &(&RequestDigest, &Entry)| entry.must_broadcast();
        self.entries.iter().filter(must_broadcast)
    }

    /// A checksum of what every node has to know; 0 if that is nothing.
    pub fn checksum(&self) -> u64 {
        self.broadcast_entries()
            .fold(0, |sum, (request, entry)| sum ^ entry.checksum(request))
    }

    /// Forgets what is old. What led to a quarantine stays; where there is too much, what
    /// was learned of first among the rest goes first.
    pub fn expire(&mut self, now: Timestamp) {
        let is_recent = |at: Timestamp| at + REMEMBERED > now;
        self.entries
            .retain(|_, entry| entry.is_quarantined() || is_recent(entry.newest()));
        while self.entries.len() > MAX_ENTRIES {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| {
                (
                    entry.is_quarantined(),
                    entry.must_broadcast(),
                    entry.newest(),
                )
            });
            let Some(oldest) = oldest.map(|(request, _)| *request) else {
                break;
            };
            self.entries.remove(&oldest);
        }
        self.ended.retain(|_, at| is_recent(*at));
        self.alive.retain(|_, at| is_recent(*at));
    }
}

impl Entry {
    fn must_broadcast(&self) -> bool {
        let ended: BTreeSet<u64> = self.ends.iter().map(|end| end.instance).collect();
        ended.len() >= 2 || !self.quarantined.is_empty()
    }

    /// Without times, which differ by some milliseconds from node to node.
    fn checksum(&self, request: &RequestDigest) -> u64 {
        let mut facts: Vec<u64> = Vec::new();
        let mut ends: Vec<(u64, u64)> = Vec::new();
        ends.extend(self.ends.iter().map(|end| (end.caller.0, end.instance)));
        ends.sort_unstable();
        facts.extend(
            ends.into_iter()
                .flat_map(|(caller, instance)| [caller, instance]),
        );
        for known in [&self.cleared, &self.quarantined] {
            facts.push(u64::MAX);
            facts.extend(known.keys().map(|caller| caller.0));
        }
        let bytes: Vec<u8> = facts.iter().flat_map(|fact| fact.to_le_bytes()).collect();
        let bytes = [request.0.as_slice(), &bytes].concat();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

/// Whether an instance where a request was not in flight ended at this moment as well.
fn ended_with_others(
    ended: &BTreeMap<u64, Timestamp>,
    alive: &BTreeMap<u64, Timestamp>,
    there: &BTreeSet<u64>,
    at: Timestamp,
) -> bool {
    ended.iter().any(|(instance, other)| {
        let is_near = at.abs_diff(*other) < SAME_MOMENT;
        is_near && !there.contains(instance) && !alive.contains_key(instance)
    })
}

const _: () = assert!(ACQUITTED_FOR.as_secs() < REMEMBERED.as_secs());
