//! The evidence of all nodes about requests during which instances ended.

use super::entry::{CallerId, Entry, InstanceEnd};
use super::turns::TurnShare;
use super::verdict::{
    CLEARED_FOR, Counting, SETTLE_TIME, Verdict, needs_proved_explanation, suffice,
};
use crate::Timestamp;
use crate::requests::RequestDigest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Ends within this time have a common cause, such as a rack, a zone or power.
pub(super) const SAME_MOMENT: Duration = Duration::from_millis(150);
/// How long evidence that led to no quarantine is kept.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of requests with evidence. Each takes 100 bytes here and in messages.
const MAX_ENTRIES: usize = 512;
/// Number of requests with evidence up to which it is reviewed as soon as something is new.
const PROMPTLY_REVIEWED: usize = 32;
/// Minimum interval between reviews for each further request.
const REVIEW_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(1);
/// Maximum number of suspected requests that share turns.
const MAX_SHARING: usize = 4;

/// The requests and callers that a review has quarantined.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct NewQuarantines(pub Vec<(RequestDigest, CallerId)>);

/// The evidence of all nodes. Merging is a set union, so the order of messages does not
/// matter.
#[derive(Debug, Default)]
pub struct Evidence {
    counting: Counting,
    entries: BTreeMap<RequestDigest, Entry>,
    /// Instances that have ended, and when.
    ended: BTreeMap<u64, Timestamp>,
    /// Instances that have answered after they were reported as ended.
    alive: BTreeMap<u64, Timestamp>,
    /// Requests with new evidence since the last announcement.
    unannounced: BTreeSet<RequestDigest>,
    unannounced_alive: BTreeSet<u64>,
    /// When the evidence is reviewed next, if the last review is not too recent.
    next_review: Option<Timestamp>,
    last_review: Timestamp,
    /// Number of reviews so far.
    reviews: u64,
}

impl Evidence {
    /// No evidence so far.
    pub fn new(counting: Counting) -> Evidence {
        Evidence {
            counting,
            ..Evidence::default()
        }
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The evidence about a request.
    pub fn get(&self, request: &RequestDigest) -> Option<&Entry> {
        self.entries.get(request)
    }

    /// All evidence.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestDigest, &Entry)> {
        self.entries.iter()
    }

    /// Number of instances that ended during any known request.
    pub fn ends(&self) -> usize {
        let ends = self.entries.values().flat_map(|entry| &entry.ends);
        ends.map(|end| end.instance)
            .collect::<BTreeSet<u64>>()
            .len()
    }

    /// Instances that are alive although they were reported as ended, and when that was seen.
    pub fn alive(&self) -> &BTreeMap<u64, Timestamp> {
        &self.alive
    }

    /// Whether a caller's request is quarantined.
    pub fn is_quarantined_for(&self, request: &RequestDigest, caller: CallerId) -> bool {
        let Some(entry) = self.entries.get(request) else {
            return false;
        };
        let stands = |scope| entry.is_active(scope) && self.stands(request, entry, scope);
        stands(caller) || stands(CallerId::ALL)
    }

    /// The verdict on a caller's request.
    pub fn verdict(&self, request: &RequestDigest, caller: CallerId, now: Timestamp) -> Verdict {
        let Some(entry) = self.entries.get(request) else {
            return Verdict::Clear;
        };
        let stands = |scope| self.stands(request, entry, scope);
        entry.verdict(caller, now, self.counting, stands)
    }

    /// Whether a quarantine of a scope still follows from the ends known here. The node that
    /// decided on it may not have known yet which other requests were lost with the instances.
    /// A node that knows too few ends follows its verdict.
    fn stands(&self, request: &RequestDigest, entry: &Entry, scope: CallerId) -> bool {
        !entry.has_ends_to_quarantine(scope) || !self.is_explained_by_others(request, entry, scope)
    }

    /// A request's share of the turns, and when the latest instance ended during the requests
    /// that share them.
    pub fn turn_share(&self, request: &RequestDigest, now: Timestamp) -> (TurnShare, Timestamp) {
        let own = self.entries.get(request);
        let own = own.map_or(BTreeSet::new(), |entry| {
            entry.ended_instances(CallerId::ALL)
        });
        let sharing = self.entries.iter().filter_map(|(other, entry)| {
            let since = entry.suspected_since(CallerId::ALL, now)?;
            let shares = !entry.ended_instances(CallerId::ALL).is_disjoint(&own);
            shares.then_some((other, since))
        });
        let sharing: Vec<(&RequestDigest, Timestamp)> = sharing.collect();
        let position = sharing.iter().position(|(other, _)| *other == request);
        let as_u32 = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let share = position.map_or(TurnShare::WHOLE, |position| TurnShare {
            position: as_u32(position % MAX_SHARING),
            count: as_u32(sharing.len().min(MAX_SHARING)),
        });
        let since = sharing.iter().map(|(_, since)| *since).max();
        (share, since.unwrap_or_default())
    }

    /// Number of instances that ended during a request: the caller's own, or those of all
    /// callers as long as no answer clears the request.
    pub fn ends_of(&self, request: &RequestDigest, caller: CallerId) -> usize {
        let Some(entry) = self.entries.get(request) else {
            return 0;
        };
        let own = entry.ends_of(caller);
        match self.counting {
            Counting::ByRequest => own.max(entry.ends_of(CallerId::ALL)),
            Counting::ByAddress => own,
        }
    }

    /// Whether an instance ended during a request, and no answer clears it.
    pub fn counts_against(&self, request: &RequestDigest) -> bool {
        let entry = self.entries.get(request);
        entry.is_some_and(|entry| entry.ends_of(CallerId::ALL) > 0)
    }

    /// When an instance ended, if some node has reported that and no node has disproved it.
    pub fn reported_end(&self, instance: u64) -> Option<Timestamp> {
        let ended = self.ended.get(&instance).copied();
        ended.filter(|_| !self.alive.contains_key(&instance))
    }

    /// Records that an instance has ended during a request.
    pub fn record_end(&mut self, request: RequestDigest, path: &str, end: InstanceEnd) {
        let entry = Entry {
            path: path.to_owned(),
            ends: vec![end],
            ..Entry::default()
        };
        self.merge(request, &entry);
        self.unannounced.insert(request);
    }

    /// Records that an instance has answered a caller's request. Needed only if something
    /// counts against that caller or the request. An answer to a caller against whom nothing
    /// counts leaves the verdicts on other callers.
    pub fn record_answer(&mut self, request: RequestDigest, caller: CallerId, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        let is_suspected = |scope| entry.ends_of(scope) > 0 || entry.is_active(scope);
        let cleared = match caller {
            caller if is_suspected(caller) => caller,
            _ if is_suspected(CallerId::ALL) => CallerId::SOME_OTHER,
            _ => return,
        };
        entry.cleared.insert(cleared, now);
        self.unannounced.insert(request);
        // A caller's own ends may count now that those of all callers do not.
        self.next_review = Some(Timestamp::ZERO);
    }

    /// Lifts a quarantine on behalf of the operator.
    pub fn lift(&mut self, request: RequestDigest, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.cleared.insert(CallerId::ALL, now);
            self.unannounced.insert(request);
        }
    }

    /// An instance that was reported as ended has answered, so it had not ended.
    pub fn disprove_end(&mut self, instance: u64, now: Timestamp) {
        if !self.record_alive(instance, now) {
            return;
        }
        self.unannounced_alive.insert(instance);
    }

    /// Some node has seen an instance alive that was reported as ended. Returns whether that
    /// is new.
    pub fn record_alive(&mut self, instance: u64, at: Timestamp) -> bool {
        if self.alive.insert(instance, at).is_some() {
            return false;
        }
        for entry in self.entries.values_mut() {
            entry.remove_end(instance, at, self.counting);
        }
        true
    }

    /// Merges the evidence of another node, or of the store, about a request. Returns whether
    /// something was new. Only that is reviewed: each node sends its evidence several times.
    pub fn merge(&mut self, request: RequestDigest, other: &Entry) -> bool {
        let mut other = other.clone();
        other
            .ends
            .retain(|end| !self.alive.contains_key(&end.instance));
        if other == Entry::default() {
            return false;
        }
        for end in &other.ends {
            self.ended.entry(end.instance).or_insert(end.at);
        }
        if !self.entries.entry(request).or_default().merge(&other) {
            return false;
        }
        for end in &other.ends {
            let settled_at = end.at + SETTLE_TIME;
            let review = self.next_review.unwrap_or(settled_at);
            self.next_review = Some(review.min(settled_at));
        }
        if !other.cleared.is_empty() {
            self.next_review = Some(Timestamp::ZERO);
        }
        true
    }

    /// When the evidence is reviewed next.
    pub fn next_review(&self) -> Option<Timestamp> {
        let earliest = self.earliest_review().unwrap_or_default();
        self.next_review.map(|at| at.max(earliest))
    }

    /// When the next review may begin, if there is much evidence. Each review compares all of it,
    /// and when many instances end together, hundreds of requests are reported within a second.
    fn earliest_review(&self) -> Option<Timestamp> {
        let further = self.entries.len().checked_sub(PROMPTLY_REVIEWED + 1)?;
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        Some(self.last_review + REVIEW_INTERVAL_PER_ENTRY.saturating_mul(further))
    }

    /// Number of reviews so far.
    pub fn reviews(&self) -> u64 {
        self.reviews
    }

    /// Reviews the ends that have settled by now.
    pub fn review(&mut self, now: Timestamp) -> NewQuarantines {
        let mut found = NewQuarantines::default();
        if self.next_review().is_none_or(|at| now < at) {
            return found;
        }
        self.last_review = now;
        self.reviews += 1;
        let mut next = None;
        let ended = self.ended_without_request();
        for entry in self.entries.values_mut() {
            let involved: BTreeSet<u64> = entry.ends.iter().map(|end| end.instance).collect();
            let under_one_caller = entry.ended_under_one_caller();
            entry.reviewed = now;
            for end in &mut entry.ends {
                if end.settled || entry.coincident.contains(&end.instance) {
                    continue;
                }
                let settled_at = end.at + SETTLE_TIME;
                if settled_at > now {
                    next = Some(next.map_or(settled_at, |at: Timestamp| at.min(settled_at)));
                    continue;
                }
                end.settled = under_one_caller.contains(&(end.caller, end.instance))
                    || !ended_with_others(&ended, &involved, end.at);
            }
        }
        self.next_review = next;
        for (request, scope) in self.scopes_to_quarantine() {
            if let Some(entry) = self.entries.get_mut(&request) {
                entry.quarantined.insert(scope, now);
                found.0.push((request, scope));
            }
        }
        found
    }

    /// Ended instances whose ends no request explains. Only these show that instances ended for a
    /// common cause.
    fn ended_without_request(&self) -> BTreeMap<u64, Timestamp> {
        let explained = self.entries.values().map(Entry::explained_instances);
        let explained: BTreeSet<u64> = explained.flatten().collect();
        let ended = self.ended.iter().map(|(instance, at)| (*instance, *at));
        let unexplained = ended.filter(|(instance, _)| !explained.contains(instance));
        unexplained
            .filter(|(instance, _)| !self.alive.contains_key(instance))
            .collect()
    }

    /// The requests and callers to quarantine, since other requests don't explain their ends.
    fn scopes_to_quarantine(&self) -> Vec<(RequestDigest, CallerId)> {
        let mut scopes = Vec::new();
        for (request, entry) in &self.entries {
            let of_entry = entry.scopes_to_quarantine(self.counting);
            let unexplained = of_entry
                .into_iter()
                .filter(|scope| !self.is_explained_by_others(request, entry, *scope));
            scopes.extend(unexplained.map(|scope| (*request, scope)));
        }
        scopes
    }

    /// Whether other requests explain all ends that count against this one. With many ends, only
    /// requests do that are proved to end instances themselves.
    fn is_explained_by_others(
        &self,
        request: &RequestDigest,
        entry: &Entry,
        scope: CallerId,
    ) -> bool {
        let all = entry.judged_instances(scope);
        let own = entry.settled_instances(scope);
        let is_many = needs_proved_explanation(&all);
        if !is_many && own.is_subset(&self.ended_beside(request, &own, |_, _| true)) {
            return true;
        }
        let proved = self.ended_beside(request, &all, |other, entry| {
            self.is_proved_to_crash(other, entry)
        });
        match is_many {
            true => all.is_subset(&proved),
            // Ends under a request that is proved to crash don't count.
            false => !suffice(own.difference(&proved).count(), all.len()),
        }
    }

    /// Instances that ended under other suspected requests, each of which was in flight at one of
    /// the given instances. Of their ends, those that have not settled yet suffice.
    fn ended_beside(
        &self,
        request: &RequestDigest,
        at: &BTreeSet<u64>,
        includes: impl Fn(&RequestDigest, &Entry) -> bool,
    ) -> BTreeSet<u64> {
        let is_beside = |(other, entry): &(&RequestDigest, &Entry)| {
            let mut instances = entry.ends.iter().map(|end| end.instance);
            *other != request
                && instances.any(|instance| at.contains(&instance))
                && includes(other, entry)
        };
        let others = self.entries.iter().filter(is_beside);
        others
            .flat_map(|(_, entry)| entry.suspected_instances())
            .collect()
    }

    /// Whether enough instances ended under a request, and not all of them under other suspected
    /// ones as well.
    fn is_proved_to_crash(&self, request: &RequestDigest, entry: &Entry) -> bool {
        let scopes = entry.scopes_with_ends_to_quarantine(self.counting);
        scopes.into_iter().any(|scope| {
            let own = entry.settled_instances(scope);
            !own.is_subset(&self.ended_beside(request, &own, |_, _| true))
        })
    }

    /// Returns and resets the requests with new evidence, and the instances that turned out to
    /// be alive, since the last call.
    pub fn take_unannounced(&mut self) -> (BTreeSet<RequestDigest>, BTreeSet<u64>) {
        let unannounced = std::mem::take(&mut self.unannounced);
        (unannounced, std::mem::take(&mut self.unannounced_alive))
    }

    /// Whether `take_unannounced` would return anything.
    pub fn has_unannounced(&self) -> bool {
        !self.unannounced.is_empty() || !self.unannounced_alive.is_empty()
    }

    /// Requests that every node has to know: two or more instances ended during them.
    pub fn broadcast_entries(&self) -> impl Iterator<Item = (&RequestDigest, &Entry)> {
        let must_broadcast = |(_, entry): &(&RequestDigest, &Entry)| entry.must_broadcast();
        self.entries.iter().filter(must_broadcast)
    }

    /// A checksum of the evidence that every node has to know; 0 if there is none.
    pub fn checksum(&self) -> u64 {
        self.broadcast_entries()
            .fold(0, |sum, (request, entry)| sum ^ entry.checksum(request))
    }

    /// Removes old evidence, except if it led to a quarantine. If there are too many entries,
    /// the oldest are removed first: those that need no broadcast before the others, and
    /// quarantines last.
    pub fn expire(&mut self, now: Timestamp) {
        let is_recent = |at: Timestamp| at + RETENTION > now;
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

    /// A checksum without the times, which differ by some milliseconds between nodes.
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

/// Whether an instance at which the request was not in flight ended at the same moment.
fn ended_with_others(
    ended: &BTreeMap<u64, Timestamp>,
    involved: &BTreeSet<u64>,
    at: Timestamp,
) -> bool {
    ended.iter().any(|(instance, other)| {
        let is_near = at.abs_diff(*other) < SAME_MOMENT;
        is_near && !involved.contains(instance)
    })
}

const _: () = assert!(CLEARED_FOR.as_secs() < RETENTION.as_secs());
