//! Requests that crash instances: proof that an instance ended, news to the other nodes,
//! and what the store keeps.

mod keeping;
mod news;

pub(super) use news::EvidenceMessage;

use super::Node;
use crate::Timestamp;
use crate::events::Event;
use crate::identity::InstanceId;
use crate::io::{Action, ExchangeFailure, ExchangeId};
use crate::protections::Protection;
use crate::quarantine::{
    CallerId, Evidence, InstanceEnd, LostAttempts, QuarantineRecord, RecentAnswers,
    UnconfirmedAnswers,
};
use crate::requests::RequestDigest;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Time for a probe's connection to come up.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two looks at whether suspected instances have ended.
const SUSPECTS_PAUSE: Duration = Duration::from_millis(200);

/// News that are sent again.
#[derive(Debug)]
struct Repeat {
    at: Timestamp,
    requests: BTreeSet<RequestDigest>,
    alive: BTreeSet<u64>,
}

/// What the store holds of a request.
#[derive(Debug)]
struct Kept {
    record: QuarantineRecord,
    revision: u64,
}

/// State of the quarantine at a node.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    pub(super) evidence: Evidence,
    suspects: LostAttempts,
    recent: RecentAnswers,
    unconfirmed_answers: UnconfirmedAnswers,
    probes: HashMap<ExchangeId, InstanceId>,
    next_look: Timestamp,
    repeats: Vec<Repeat>,
    next_sync: Timestamp,
    kept: BTreeMap<RequestDigest, Kept>,
    is_writing: bool,
    next_write: Timestamp,
}

impl Quarantine {
    /// The store came back from a copy, which lacks what was kept since: that is written again,
    /// and its absence is no word of an operator.
    pub(super) fn begin_era(&mut self) {
        self.kept.clear();
        self.is_writing = false;
    }

    pub(super) fn owns(&self, exchange: ExchangeId) -> bool {
        self.probes.contains_key(&exchange)
    }

    /// Whether an instance is in question.
    pub(super) fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Requests that are held back, with their paths.
    pub(super) fn held_back(&self) -> Vec<(RequestDigest, String)> {
        let held = self
            .evidence
            .iter()
            .filter(|(_, entry)| entry.is_quarantined());
        held.map(|(request, entry)| (*request, entry.path.clone()))
            .collect()
    }

    fn next_deadline(&self) -> Option<Timestamp> {
        let look = self.has_suspects().then_some(self.next_look);
        let repeat = self.repeats.iter().map(|repeat| repeat.at).min();
        [
            look,
            repeat,
            self.unconfirmed_answers.next_due(),
            self.evidence.next_review(),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

impl Node {
    /// When evidence is looked at next.
    pub(super) fn quarantine_deadline(&self) -> Option<Timestamp> {
        let write = self.may_keep().then_some(self.quarantine.next_write);
        self.quarantine
            .next_deadline()
            .into_iter()
            .chain(write)
            .min()
    }

    /// Takes what the ends of attempts have shown.
    pub(super) fn take_crash_signs(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let signs = self.requests.take_crash_signs();
        for (instance, accusation) in signs.lost {
            if self.quarantine.suspects.record(&instance, accusation, now) {
                self.probe(instance, out);
            }
        }
        for (instance, asked) in signs.answered {
            if instance.start_ms().is_none() {
                self.instance_lives(&instance, asked, now);
            } else if self.is_in_question(&instance, asked) {
                self.quarantine
                    .unconfirmed_answers
                    .answered(&instance, asked, now);
            }
        }
        for (request, caller) in signs.acquitted {
            self.quarantine.recent.note(request, caller, now);
            self.acquit_if_answered(request, caller, now);
        }
        for instance in signs.refused {
            self.instance_ended(&instance, now);
        }
    }

    /// Whether an answer to what was asked at this time would show anything.
    fn is_in_question(&self, instance: &InstanceId, asked: Timestamp) -> bool {
        self.quarantine.suspects.contains(instance) || self.is_end_in_doubt(instance, asked)
    }

    /// Whether an answer to what was asked at this time disproves an end.
    fn is_end_in_doubt(&self, instance: &InstanceId, asked: Timestamp) -> bool {
        let evidence = &self.quarantine.evidence;
        let ended = evidence.reported_end(instance.stable_hash());
        // An answer to what was asked before may have been on its way.
        ended.is_some_and(|at| at < asked)
    }

    /// An instance has answered what was asked at this time.
    fn instance_lives(&mut self, instance: &InstanceId, asked: Timestamp, now: Timestamp) {
        self.quarantine.suspects.answered(instance, asked);
        if self.is_end_in_doubt(instance, asked) {
            Event::EndDisproved { instance }.emit();
            let hash = instance.stable_hash();
            self.quarantine.evidence.disprove_end(hash, now);
        }
    }

    /// Answers that a later life would be known to have given by now.
    fn look_at_life_signs(&mut self, now: Timestamp) {
        for (instance, asked) in self.quarantine.unconfirmed_answers.take_due(now) {
            if self.directory.later_life(&instance).is_none() {
                self.instance_lives(&instance, asked, now);
            }
        }
    }

    /// A request that an instance has answered lately is harmless, whatever has ended.
    fn acquit_if_answered(&mut self, request: RequestDigest, caller: CallerId, now: Timestamp) {
        let protects = self
            .settings
            .protections
            .has(Protection::AnswerClearsSuspicion);
        let quarantine = &mut self.quarantine;
        if !protects || quarantine.evidence.is_empty() {
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

    /// A probe has ended. A connection that comes up proves nothing: another life of the
    /// instance may listen there.
    pub(super) fn probed(
        &mut self,
        exchange: ExchangeId,
        failure: Option<ExchangeFailure>,
        now: Timestamp,
    ) {
        let instance = self.quarantine.probes.remove(&exchange);
        if let (Some(instance), Some(ExchangeFailure::Refused)) = (instance, failure) {
            self.instance_ended(&instance, now);
        }
    }

    /// An instance has ended: what was lost there is accused.
    fn instance_ended(&mut self, instance: &InstanceId, now: Timestamp) {
        let accused = self.quarantine.suspects.take_ended(instance);
        if accused.is_empty() {
            return;
        }
        let requests = accused.len();
        Event::InstanceEnded { instance, requests }.emit();
        for accusation in accused {
            let end = InstanceEnd {
                caller: accusation.caller,
                instance: instance.stable_hash(),
                // Not earlier than what the others know to be lost at that moment.
                at: accusation.at.min(now),
                settled: false,
            };
            let evidence = &mut self.quarantine.evidence;
            evidence.record_end(accusation.request, &accusation.path, end);
            self.acquit_if_answered(accusation.request, accusation.caller, now);
        }
    }

    /// Does what is due.
    pub(super) fn review_quarantine(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.quarantine.has_suspects() && self.quarantine.next_look <= now {
            self.quarantine.next_look = now + SUSPECTS_PAUSE;
            self.look_at_suspects(now);
        }
        self.look_at_life_signs(now);
        self.judge(now);
        self.send_news(now, out);
        self.keep_evidence(now, out);
    }

    /// Instances whose entries show that they have ended.
    fn look_at_suspects(&mut self, now: Timestamp) {
        self.quarantine.suspects.expire(now);
        let has_ended = |instance: &&InstanceId| {
            let known = self.directory.get(instance);
            // One that said it leaves ends as planned.
            known.is_some_and(|known| {
                known.ended || known.is_gone() && !self.directory.has_said_to_leave(known)
            })
        };
        let suspects = self.quarantine.suspects.instances();
        let ended: Vec<InstanceId> = suspects.filter(has_ended).cloned().collect();
        for instance in ended {
            self.instance_ended(&instance, now);
        }
    }

    fn judge(&mut self, now: Timestamp) {
        let verdicts = self.quarantine.evidence.review(now);
        if !verdicts.0.is_empty() {
            self.quarantine.next_write = now;
        }
        for (request, caller) in verdicts.0 {
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

    /// Forgets what is old.
    pub(super) fn expire_quarantine(&mut self, now: Timestamp) {
        self.quarantine.suspects.expire(now);
        self.quarantine.evidence.expire(now);
        let evidence = &self.quarantine.evidence;
        self.quarantine
            .kept
            .retain(|request, _| evidence.get(request).is_some());
    }
}
