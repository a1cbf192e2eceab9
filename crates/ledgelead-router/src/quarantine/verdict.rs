//! Verdicts on a request by the evidence about it.
//!
//! Ends count against the request, whoever sent it. Callers only narrow the verdict: once an
//! answer shows that the request is harmless for others, and while the requests of a single
//! caller explain the ends.

use super::entry::{CallerId, Entry, InstanceEnd};
use super::evidence::SAME_MOMENT;
use crate::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of instances that end during a request before it is quarantined. With fewer, a
/// harmless request that meets two unrelated failures would be quarantined.
const ENDS_TO_QUARANTINE: usize = 3;
/// Number of ended instances with which a request is quarantined although other suspected ones
/// may explain the ends.
const ENDS_WITHOUT_EXPLANATION: usize = 5;
/// Number of these instances at which any one caller had no request, before all callers are
/// quarantined. One of them may have ended for another reason.
const ENDS_BESIDE_ONE_CALLER: usize = 2;
/// How long a complete answer clears a request. Instances that end meanwhile do so for another
/// reason, since a crashing request ends every instance that begins to process it.
pub(super) const CLEARED_FOR: Duration = Duration::from_secs(60);

/// Number of ends before a request is suspected, with one for each caller whose request was in
/// flight at an ended instance: callers of a key are at the same instance.
const ENDS_TO_SUSPECT: usize = 2;
/// Delay before an end counts, in which other nodes can report further ends or that the
/// instance is alive: time for four datagrams in a row (0, 0.2 s) and a request.
pub const SETTLE_TIME: Duration = Duration::from_millis(250);

/// How long the first quarantine of a request lasts: enough to roll out fixed software. Each
/// try that ends a further instance doubles it, so a request that is sent for ever ends seven
/// instances on its first day after the quarantine began.
const FIRST_TERM: Duration = Duration::from_secs(600);
/// Maximum duration of a quarantine.
const MAX_TERM: Duration = Duration::from_secs(86_400);

/// What follows for a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent as usual.
    Clear,
    /// Nodes try it in turns, which are counted from a time that all of them know.
    Suspected {
        /// When the latest instance ended, or the quarantine.
        since: Timestamp,
    },
    /// It is not sent.
    Quarantined {
        /// From when on nodes try it again in turns.
        until: Timestamp,
    },
}

/// Which ends count together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Counting {
    /// Those of all callers.
    #[default]
    ByRequest,
    /// Those of one caller address.
    ByAddress,
}

impl Entry {
    /// Whether an event at this time is void in a scope because of an answer or a lifted
    /// quarantine. An answer to any caller voids what counts against the request itself.
    pub(super) fn is_voided(&self, scope: CallerId, at: Timestamp) -> bool {
        let mut cleared = self.cleared.iter();
        cleared.any(|(caller, cleared_at)| match *caller {
            CallerId::ALL => at <= *cleared_at,
            caller => {
                let applies = scope == CallerId::ALL || scope == caller;
                applies && at <= *cleared_at + CLEARED_FOR
            }
        })
    }

    /// Whether requests in exactly this scope are quarantined.
    pub(super) fn is_active(&self, scope: CallerId) -> bool {
        let since = self.quarantined.get(&scope);
        since.is_some_and(|since| !self.is_voided(scope, *since))
    }

    /// The verdict on a caller's request. `stands` says whether the ends justify a quarantine of
    /// a scope.
    pub(super) fn verdict(
        &self,
        caller: CallerId,
        now: Timestamp,
        counting: Counting,
        stands: impl Fn(CallerId) -> bool,
    ) -> Verdict {
        let scopes = [CallerId::ALL, caller];
        let standing = scopes
            .iter()
            .filter(|scope| self.is_active(**scope) && stands(**scope));
        let until = standing.filter_map(|scope| self.term_end(*scope, now));
        let until = until.max();
        if let Some(until) = until.filter(|until| now < *until) {
            return Verdict::Quarantined { until };
        }
        let suspected_since = scopes
            .iter()
            .filter(|_| counting == Counting::ByRequest)
            .filter_map(|scope| self.suspected_since(*scope, now));
        let since = suspected_since.chain(until).max();
        since.map_or(Verdict::Clear, |since| Verdict::Suspected { since })
    }

    /// When the quarantine of a scope ends. Counted from the latest end: the time of the verdict
    /// is renewed whenever a node reads it from the store.
    fn term_end(&self, scope: CallerId, now: Timestamp) -> Option<Timestamp> {
        if !self.is_active(scope) {
            return None;
        }
        let begun = self.quarantined.get(&scope).copied();
        let latest = self.counted_ends(scope, now).map(|end| end.at).max();
        let instances = distinct(self.counted_ends(scope, now)).len();
        Some(latest.or(begun)? + term(instances))
    }

    /// The latest end in a scope, if it has enough ends for a suspicion: two that count or may still
    /// turn out to count, or three of any kind. Those of a moment with a common cause count as one.
    pub(super) fn suspected_since(&self, scope: CallerId, now: Timestamp) -> Option<Timestamp> {
        let counted = self.counted_ends(scope, now).count();
        let moments = self.coincident_moments(scope);
        let is_suspected = counted + moments >= ENDS_TO_SUSPECT
            || self.ended_instances(scope).len() >= ENDS_TO_QUARANTINE;
        let latest = self.ends_in(scope).map(|end| end.at).max();
        latest.filter(|_| is_suspected)
    }

    /// Number of moments at which instances ended in a scope together with others.
    fn coincident_moments(&self, scope: CallerId) -> usize {
        let coincident = self.ends_in(scope).filter(|end| !end.settled);
        let reviewed = coincident.filter(|end| end.at + SETTLE_TIME <= self.reviewed);
        moments(reviewed).len()
    }

    /// The ended instances that need no cause besides this request: it was in flight at several ones
    /// of that moment, or it is suspected by ends of which one counts.
    pub(super) fn explained_instances(&self) -> BTreeSet<u64> {
        if self.ends.len() < ENDS_TO_SUSPECT {
            return BTreeSet::new();
        }
        let has_counted = |scope: &CallerId| !self.settled_instances(*scope).is_empty();
        let mut explained = BTreeSet::new();
        for scope in self.scopes() {
            let moments = moments(self.ends_in(scope)).into_iter();
            explained.extend(moments.filter(|instances| instances.len() > 1).flatten());
        }
        let counted = self.scopes().into_iter().filter(has_counted);
        explained.extend(counted.flat_map(|scope| self.instances_if_suspected(scope)));
        explained
    }

    /// The ends at moments at which enough instances for a quarantine ended under requests of one
    /// caller.
    pub(super) fn ended_under_one_caller(&self) -> BTreeSet<(CallerId, u64)> {
        if self.ends.len() < ENDS_TO_QUARANTINE {
            return BTreeSet::new();
        }
        let of_caller = |caller: CallerId| {
            let moments = moments(self.ends_in(caller)).into_iter();
            let enough = moments.filter(|instances| instances.len() >= ENDS_TO_QUARANTINE);
            enough.flatten().map(move |instance| (caller, instance))
        };
        self.callers().into_iter().flat_map(of_caller).collect()
    }

    /// The callers during whose requests instances ended.
    fn callers(&self) -> BTreeSet<CallerId> {
        self.ends.iter().map(|end| end.caller).collect()
    }

    /// Each caller, and all of them.
    fn scopes(&self) -> BTreeSet<CallerId> {
        let mut scopes = self.callers();
        scopes.insert(CallerId::ALL);
        scopes
    }

    /// The ended instances in a scope, if enough ends count for a suspicion.
    fn instances_if_suspected(&self, scope: CallerId) -> BTreeSet<u64> {
        match self.ends_in(scope).count() >= ENDS_TO_SUSPECT {
            true => self.ended_instances(scope),
            false => BTreeSet::new(),
        }
    }

    /// The ended instances in all scopes in which enough ends count for a suspicion. An answer to
    /// another caller leaves those of a caller.
    pub(super) fn suspected_instances(&self) -> BTreeSet<u64> {
        if self.ends.len() < ENDS_TO_SUSPECT {
            return BTreeSet::new();
        }
        let scopes = self.scopes().into_iter();
        scopes
            .flat_map(|scope| self.instances_if_suspected(scope))
            .collect()
    }

    /// Whether enough ends are known for a quarantine of a scope.
    pub(super) fn has_ends_to_quarantine(&self, scope: CallerId) -> bool {
        let counted = self.settled_instances(scope).len();
        suffice(counted, self.judged_instances(scope).len())
    }

    /// Whether ends may still turn out to count.
    pub fn has_unsettled(&self, now: Timestamp) -> bool {
        let is_unsettled = |end: &InstanceEnd| !end.settled && now < end.at + SETTLE_TIME;
        self.ends.iter().any(is_unsettled)
    }

    /// The ends that count in a scope, or may still turn out to count.
    fn counted_ends(&self, scope: CallerId, now: Timestamp) -> impl Iterator<Item = &InstanceEnd> {
        let may_count = move |end: &&InstanceEnd| end.settled || now < end.at + SETTLE_TIME;
        self.ends_in(scope).filter(may_count)
    }

    /// Whether any caller's request is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined.keys().any(|scope| self.is_active(*scope))
    }

    /// Number of instances that ended during requests in a scope.
    pub fn ends_of(&self, scope: CallerId) -> usize {
        distinct(self.ends_in(scope)).len()
    }

    /// Removes the end of an instance that turned out to be alive. The remaining evidence may
    /// no longer justify a quarantine.
    pub(super) fn remove_end(&mut self, instance: u64, now: Timestamp, counting: Counting) {
        let before = self.ends.len();
        self.ends.retain(|end| end.instance != instance);
        if self.ends.len() < before && !self.quarantined.is_empty() {
            let quarantined = std::mem::take(&mut self.quarantined);
            let scopes = self.scopes_to_quarantine(counting);
            let still = quarantined
                .into_iter()
                .filter(|(scope, _)| scopes.contains(scope));
            self.quarantined = still.collect();
            if self.quarantined.is_empty() {
                self.cleared.insert(CallerId::ALL, now);
            }
        }
    }

    /// The scopes with enough ends for a quarantine, except those that are quarantined already.
    pub(super) fn scopes_to_quarantine(&self, counting: Counting) -> Vec<CallerId> {
        let mut scopes = self.scopes_with_ends_to_quarantine(counting);
        scopes.retain(|scope| !self.is_active(*scope));
        scopes
    }

    /// The scopes in which the ends suffice for a quarantine: a caller, if enough instances ended
    /// during that caller's requests; all callers, if enough ended over all callers, and no single
    /// caller explains them.
    pub(super) fn scopes_with_ends_to_quarantine(&self, counting: Counting) -> Vec<CallerId> {
        if self.ends.len() < ENDS_TO_QUARANTINE {
            return Vec::new();
        }
        let callers = self.callers();
        let over_all = self.judged_instances(CallerId::ALL);
        let is_unexplained_by = |caller: &CallerId| {
            let own = self.judged_instances(*caller);
            over_all.difference(&own).count() >= ENDS_BESIDE_ONE_CALLER
        };
        let affects_all = counting == Counting::ByRequest
            && self.has_ends_to_quarantine(CallerId::ALL)
            && callers.iter().all(is_unexplained_by);
        let has_ends = |caller: &CallerId| self.has_ends_to_quarantine(*caller);
        let mut scopes: Vec<CallerId> = callers.into_iter().filter(has_ends).collect();
        scopes.extend(affects_all.then_some(CallerId::ALL));
        scopes
    }

    /// The ended instances in a scope.
    pub(super) fn ended_instances(&self, scope: CallerId) -> BTreeSet<u64> {
        distinct(self.ends_in(scope))
    }

    /// The same, without those whose ends may still turn out to have a common cause.
    pub(super) fn settled_instances(&self, scope: CallerId) -> BTreeSet<u64> {
        distinct(self.ends_in(scope).filter(|end| end.settled))
    }

    /// The same, including those whose ends have a common cause.
    pub(super) fn judged_instances(&self, scope: CallerId) -> BTreeSet<u64> {
        let is_judged = |end: &&InstanceEnd| end.settled || end.at + SETTLE_TIME <= self.reviewed;
        distinct(self.ends_in(scope).filter(is_judged))
    }

    /// The ends during requests in a scope that count.
    fn ends_in(&self, scope: CallerId) -> impl Iterator<Item = &InstanceEnd> {
        let is_in = move |end: &&InstanceEnd| scope == CallerId::ALL || end.caller == scope;
        let ends = self.ends.iter().filter(is_in);
        ends.filter(move |end| !self.is_voided(scope, end.at))
    }
}

/// Whether ends suffice for a quarantine: three that count, four with one that counts, or five.
pub(super) fn suffice(counted: usize, all: usize) -> bool {
    counted >= ENDS_TO_QUARANTINE
        || counted > 0 && all > ENDS_TO_QUARANTINE
        || all >= ENDS_WITHOUT_EXPLANATION
}

/// Whether so many instances ended under a request that only requests which are proved to end
/// instances explain it.
pub(super) fn needs_proved_explanation(own: &BTreeSet<u64>) -> bool {
    own.len() >= ENDS_WITHOUT_EXPLANATION
}

/// The instances that ended at each moment.
fn moments<'a>(ends: impl Iterator<Item = &'a InstanceEnd>) -> Vec<BTreeSet<u64>> {
    let mut ends: Vec<&InstanceEnd> = ends.collect();
    ends.sort_unstable_by_key(|end| end.at);
    let moments = ends.chunk_by(|one, next| next.at < one.at + SAME_MOMENT);
    moments.map(|ends| distinct(ends.iter().copied())).collect()
}

/// How long a quarantine lasts that this many ended instances have led to.
fn term(instances: usize) -> Duration {
    let doublings = instances.saturating_sub(ENDS_TO_QUARANTINE);
    let factor = u32::try_from(doublings)
        .ok()
        .and_then(|doublings| 1_u32.checked_shl(doublings));
    let term = factor.and_then(|factor| FIRST_TERM.checked_mul(factor));
    term.map_or(MAX_TERM, |term| term.min(MAX_TERM))
}

fn distinct<'a>(ends: impl Iterator<Item = &'a InstanceEnd>) -> BTreeSet<u64> {
    ends.map(|end| end.instance).collect()
}
