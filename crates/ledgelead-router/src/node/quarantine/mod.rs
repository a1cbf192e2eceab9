//! Quarantine of requests that crash instances: detection of ended instances, exchange of
//! evidence with other nodes, and storage of evidence in the store.

mod persistence;
mod sharing;

pub(super) use sharing::EvidenceMessage;

use super::Node;
use crate::Timestamp;
use crate::events::Event;
use crate::identity::InstanceId;
use crate::io::{Action, ExchangeFailure, ExchangeId};
use crate::protections::{Protection, Protections};
use crate::quarantine::{
    CallerId, Counting, Evidence, InstanceEnd, LostAttempts, QuarantineRecord, RecentAnswers,
    UnconfirmedAnswers,
};
use crate::requests::RequestDigest;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Timeout for connecting a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks whether suspected instances have ended.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Evidence that is sent to the other nodes again at a later time.
#[derive(Debug)]
struct PendingRepeat {
    at: Timestamp,
    requests: BTreeSet<RequestDigest>,
    alive: BTreeSet<u64>,
}

/// The evidence about a request that the store holds.
#[derive(Debug)]
struct StoredRecord {
    record: QuarantineRecord,
    revision: u64,
}

/// State of the quarantine at this node.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    pub(super) evidence: Evidence,
    lost_attempts: LostAttempts,
    recent: RecentAnswers,
    unconfirmed_answers: UnconfirmedAnswers,
    probes: HashMap<ExchangeId, InstanceId>,
    /// Instances that refused a connection while this node may have lost its links.
    refused_in_doubt: BTreeSet<InstanceId>,
    next_suspect_check: Timestamp,
    repeats: Vec<PendingRepeat>,
    next_sync: Timestamp,
    stored: BTreeMap<RequestDigest, StoredRecord>,
    is_writing: bool,
    next_write: Timestamp,
}

impl Quarantine {
    /// The state of a node that has just started.
    pub(super) fn new(protections: Protections) -> Quarantine {
        let counting = match protections.has(Protection::EvidenceByRequest) {
            true => Counting::ByRequest,
            false => Counting::ByAddress,
        };
        Quarantine {
            evidence: Evidence::new(counting),
            ..Quarantine::default()
        }
    }

    /// The store was restored from a backup and lacks the evidence stored since. This is stored
    /// again, and its absence doesn't mean that an operator removed it.
    pub(super) fn begin_era(&mut self) {
        self.stored.clear();
        self.is_writing = false;
    }

    pub(super) fn owns(&self, exchange: ExchangeId) -> bool {
        self.probes.contains_key(&exchange)
    }

    /// Whether any instance is suspected to have ended.
    pub(super) fn has_suspects(&self) -> bool {
        !self.lost_attempts.is_empty()
    }

    /// Quarantined requests with their paths.
    pub(super) fn quarantined_requests(&self) -> Vec<(RequestDigest, String)> {
        let held = self
            .evidence
            .iter()
            .filter(|(_, entry)| entry.is_quarantined());
        held.map(|(request, entry)| (*request, entry.path.clone()))
            .collect()
    }

    fn next_deadline(&self) -> Option<Timestamp> {
        let suspect_check = self.has_suspects().then_some(self.next_suspect_check);
        let repeat = self.repeats.iter().map(|repeat| repeat.at).min();
        [
            suspect_check,
            repeat,
            self.lost_attempts.next_probe(),
            self.unconfirmed_answers.next_due(),
            self.evidence.next_review(),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

impl Node {
    /// When evidence must be reviewed next.
    pub(super) fn quarantine_deadline(&self) -> Option<Timestamp> {
        let write = self
            .may_store_evidence()
            .then_some(self.quarantine.next_write);
        self.quarantine
            .next_deadline()
            .into_iter()
            .chain(write)
            .min()
    }

    /// Applies what the outcomes of attempts show about crashes of instances.
    pub(super) fn apply_crash_signs(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let signs = self.requests.take_crash_signs();
        for (instance, lost_attempt) in signs.lost {
            if self
                .quarantine
                .lost_attempts
                .record(&instance, lost_attempt, now)
            {
                self.probe(instance, out);
            }
        }
        for (instance, sent_at) in signs.answered {
            if instance.start_ms().is_none() {
                self.instance_is_alive(&instance, sent_at, now);
            } else if self.is_answer_relevant(&instance, sent_at) {
                self.quarantine
                    .unconfirmed_answers
                    .record(&instance, sent_at, now);
            }
        }
        for (request, caller) in signs.completed {
            self.quarantine.recent.record(request, caller, now);
            self.clear_if_answered(request, caller, now);
        }
        for instance in signs.refused {
            self.instance_refused(instance, now);
        }
    }

    /// An instance refused a connection: its process has ended, unless this node has lost its
    /// links. While that is in doubt, the evidence is held back.
    fn instance_refused(&mut self, instance: InstanceId, now: Timestamp) {
        match self.reachability.is_in_doubt() {
            true => {
                self.quarantine.refused_in_doubt.insert(instance);
            }
            false => self.instance_ended(&instance, now),
        }
    }

    /// Applies the evidence that was held back once this node knows whether it has lost its
    /// links.
    fn resolve_refusals(&mut self, now: Timestamp) {
        if self.quarantine.refused_in_doubt.is_empty() {
            return;
        }
        if self.reachability.is_isolated() {
            self.quarantine.refused_in_doubt.clear();
        } else if !self.reachability.is_in_doubt() {
            for instance in std::mem::take(&mut self.quarantine.refused_in_doubt) {
                self.instance_ended(&instance, now);
            }
        }
    }

    /// Whether an answer to a request sent at this time would be relevant evidence.
    fn is_answer_relevant(&self, instance: &InstanceId, sent_at: Timestamp) -> bool {
        self.quarantine.lost_attempts.contains(instance) || self.disproves_end(instance, sent_at)
    }

    /// Whether an answer to a request sent at this time disproves the reported end of an
    /// instance.
    fn disproves_end(&self, instance: &InstanceId, sent_at: Timestamp) -> bool {
        let evidence = &self.quarantine.evidence;
        let ended = evidence.reported_end(instance.stable_hash());
        // An answer to an earlier request may have been in flight when the instance ended.
        ended.is_some_and(|at| at < sent_at)
    }

    /// An instance has answered a request sent at this time, and so is alive.
    fn instance_is_alive(&mut self, instance: &InstanceId, sent_at: Timestamp, now: Timestamp) {
        self.quarantine
            .lost_attempts
            .record_answer(instance, sent_at);
        if self.disproves_end(instance, sent_at) {
            Event::EndDisproved { instance }.emit();
            let hash = instance.stable_hash();
            self.quarantine.evidence.disprove_end(hash, now);
        }
    }

    /// Applies answers that have been held back until a later incarnation of the instance
    /// would be known. If one is known, the answers may be its own and prove nothing.
    fn check_unconfirmed_answers(&mut self, now: Timestamp) {
        for (instance, sent_at) in self.quarantine.unconfirmed_answers.take_due(now) {
            if self.directory.later_incarnation(&instance).is_none() {
                self.instance_is_alive(&instance, sent_at, now);
            }
        }
    }

    /// Clears a request that an instance has answered recently, whichever instance has ended.
    fn clear_if_answered(&mut self, request: RequestDigest, caller: CallerId, now: Timestamp) {
        let is_enabled = self
            .settings
            .protections
            .has(Protection::AnswerClearsSuspicion);
        let quarantine = &mut self.quarantine;
        if !is_enabled || quarantine.evidence.is_empty() {
            return;
        }
        if quarantine.recent.contains(request, caller) {
            quarantine.evidence.record_answer(request, caller, now);
        } else if quarantine.recent.contains(request, CallerId::ALL) {
            quarantine
                .evidence
                .record_answer(request, CallerId::SOME_OTHER, now);
        }
    }

    fn probe(&mut self, instance: InstanceId, out: &mut Vec<Action>) {
        let Some(known) = self.directory.get(&instance) else {
            return;
        };
        let exchange = self.exchanges.next_id();
        out.push(Action::Probe {
            exchange,
            address: known.record.address,
            timeout: PROBE_TIMEOUT,
        });
        self.quarantine.probes.insert(exchange, instance);
    }

    /// Handles the result of a probe. An accepted connection proves nothing, since another
    /// incarnation of the instance may be listening there.
    pub(super) fn probe_ended(
        &mut self,
        exchange: ExchangeId,
        failure: Option<ExchangeFailure>,
        now: Timestamp,
    ) {
        let Some(instance) = self.quarantine.probes.remove(&exchange) else {
            return;
        };
        if failure == Some(ExchangeFailure::Refused) {
            self.reachability.record_refused_probe(&instance);
            self.instance_refused(instance, now);
        }
    }

    /// An instance has ended: the requests lost there are recorded as possible causes.
    fn instance_ended(&mut self, instance: &InstanceId, now: Timestamp) {
        let lost_attempts = self.quarantine.lost_attempts.take_ended(instance);
        if lost_attempts.is_empty() {
            return;
        }
        let requests = lost_attempts.len();
        Event::InstanceEnded { instance, requests }.emit();
        for lost_attempt in lost_attempts {
            let request_lost = Event::RequestLost {
                digest: lost_attempt.request,
                path: &lost_attempt.path,
                instance,
            };
            request_lost.emit();
            let end = InstanceEnd {
                caller: lost_attempt.caller,
                instance: instance.stable_hash(),
                // The time of the loss, not of its proof: ends at nearly the same time count
                // as having a common cause.
                at: lost_attempt.at.min(now),
                settled: false,
            };
            let evidence = &mut self.quarantine.evidence;
            evidence.record_end(lost_attempt.request, &lost_attempt.path, end);
            self.clear_if_answered(lost_attempt.request, lost_attempt.caller, now);
        }
    }

    /// Performs the steps that are due.
    pub(super) fn review_quarantine(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.quarantine.has_suspects() && self.quarantine.next_suspect_check <= now {
            self.quarantine.next_suspect_check = now + SUSPECT_CHECK_INTERVAL;
            self.check_suspects(now);
        }
        for instance in self.quarantine.lost_attempts.take_due_probes(now) {
            self.probe(instance, out);
        }
        self.resolve_refusals(now);
        self.check_unconfirmed_answers(now);
        self.review_evidence(now);
        self.share_evidence(now, out);
        self.store_evidence(now, out);
    }

    /// Checks the directory entries of suspected instances for proof that they have ended.
    fn check_suspects(&mut self, now: Timestamp) {
        self.quarantine.lost_attempts.expire(now);
        let has_ended = |instance: &&InstanceId| {
            let known = self.directory.get(instance);
            // An instance that announced that it is leaving ends as planned.
            known.is_some_and(|known| {
                known.ended || known.is_gone() && !self.directory.has_announced_leaving(known)
            })
        };
        let suspects = self.quarantine.lost_attempts.instances();
        let ended: Vec<InstanceId> = suspects.filter(has_ended).cloned().collect();
        for instance in ended {
            self.instance_ended(&instance, now);
        }
    }

    fn review_evidence(&mut self, now: Timestamp) {
        let new_quarantines = self.quarantine.evidence.review(now);
        if !new_quarantines.0.is_empty() {
            self.quarantine.next_write = now;
        }
        for (request, caller) in new_quarantines.0 {
            let Some(entry) = self.quarantine.evidence.get(&request) else {
                continue;
            };
            let quarantined = Event::Quarantined {
                digest: request,
                path: &entry.path,
                all_callers: caller == CallerId::ALL,
                ended: entry.ends.len(),
            };
            quarantined.emit();
        }
    }

    /// Removes expired evidence.
    pub(super) fn expire_quarantine(&mut self, now: Timestamp) {
        self.quarantine.lost_attempts.expire(now);
        self.quarantine.evidence.expire(now);
        let evidence = &self.quarantine.evidence;
        self.quarantine
            .stored
            .retain(|request, _| evidence.get(request).is_some());
    }
}
