//! Requests that crash instances: proof that an instance ended, news to the other nodes,
//! and what the store keeps.

use super::Node;
use super::gossip::send;
use super::store_calls::Purpose;
use crate::Timestamp;
use crate::dialect::{Object, ObjectContent, ObjectKind, StoreAnswer, StoreCall, WrittenContent};
use crate::events::Event;
use crate::identity::InstanceId;
use crate::io::{Action, ExchangeFailure, ExchangeId};
use crate::peers::{
    AgedEntry, Datagram, PeerMessage, RequestEntry, aged_instances, encode, evidence_parts, time_of,
};
use crate::protections::Protection;
use crate::quarantine::{CallerId, End, Evidence, QuarantineRecord, RecentAnswers, Suspects};
use crate::requests::RequestDigest;
use ledgelead_types::codec::List;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for a probe's connection to come up.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two looks at whether suspected instances have ended.
const SUSPECTS_PAUSE: Duration = Duration::from_millis(200);
/// When news are sent again: where four in ten datagrams are lost, all four of a row are
/// in one of forty cases.
const REPEATS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];
/// Pause between two requests for all evidence: two heartbeats.
const SYNC_PAUSE: Duration = Duration::from_millis(400);
/// Pause before a failed write is tried again.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

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
    suspects: Suspects,
    recent: RecentAnswers,
    probes: HashMap<ExchangeId, InstanceId>,
    next_look: Timestamp,
    repeats: Vec<Repeat>,
    next_sync: Timestamp,
    kept: BTreeMap<RequestDigest, Kept>,
    is_writing: bool,
    next_write: Timestamp,
}

impl Quarantine {
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
        [look, repeat, self.evidence.next_review()]
            .into_iter()
            .flatten()
            .min()
    }
}

impl Node {
    /// When evidence is looked at next.
    pub(super) fn quarantine_deadline(&self) -> Option<Timestamp> {
        let write = self.unkept().map(|_| self.quarantine.next_write);
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
            if self.quarantine.suspects.lost(&instance, accusation, now) {
                self.probe(instance, out);
            }
        }
        for (instance, asked) in signs.answered {
            self.quarantine.suspects.answered(&instance, asked);
            let hash = instance.stable_hash();
            if self.quarantine.evidence.says_ended(hash) {
                Event::EndDisproved {
                    instance: &instance,
                }
                .emit();
                self.quarantine.evidence.disprove(hash, now);
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

    /// A request that an instance has answered lately is harmless, whatever has ended.
    fn acquit_if_answered(&mut self, request: RequestDigest, caller: CallerId, now: Timestamp) {
        let protects = self.settings.protections.has(Protection::Acquittal);
        let quarantine = &mut self.quarantine;
        if protects && !quarantine.evidence.is_empty() && quarantine.recent.holds(request, caller) {
            quarantine.evidence.acquit(request, caller, now);
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
        let accused = self.quarantine.suspects.ended(instance);
        if accused.is_empty() {
            return;
        }
        let requests = accused.len();
        Event::InstanceEnded { instance, requests }.emit();
        for accusation in accused {
            let end = End {
                caller: accusation.caller,
                instance: instance.stable_hash(),
                // Not earlier than what the others know to be lost at that moment.
                at: accusation.at.min(now),
                settled: false,
            };
            let evidence = &mut self.quarantine.evidence;
            evidence.accuse(accusation.request, &accusation.path, end);
            self.acquit_if_answered(accusation.request, accusation.caller, now);
        }
    }

    /// Does what is due.
    pub(super) fn review_quarantine(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.quarantine.has_suspects() && self.quarantine.next_look <= now {
            self.quarantine.next_look = now + SUSPECTS_PAUSE;
            self.look_at_suspects(now);
        }
        self.judge(now);
        self.send_news(now, out);
        self.keep_evidence(now, out);
    }

    /// Instances whose entries show that they have ended.
    fn look_at_suspects(&mut self, now: Timestamp) {
        self.quarantine.suspects.expire(now);
        let has_ended = |instance: &&InstanceId| {
            let known = self.directory.get(instance);
            known.is_some_and(|known| known.ended || known.leaving_since().is_some())
        };
        let suspects = self.quarantine.suspects.instances();
        let ended: Vec<InstanceId> = suspects.filter(has_ended).cloned().collect();
        for instance in ended {
            self.instance_ended(&instance, now);
        }
    }

    fn judge(&mut self, now: Timestamp) {
        let verdicts = self.quarantine.evidence.review(now);
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

    /// Sends the others what this node has learned by itself, now and some times more.
    fn send_news(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.quarantine.evidence.has_news() {
            let (requests, alive) = self.quarantine.evidence.take_news();
            self.send_evidence_of(&requests, &alive, now, out);
            let repeat = |after: Duration| Repeat {
                at: now + after,
                requests: requests.clone(),
                alive: alive.clone(),
            };
            self.quarantine.repeats.extend(REPEATS.map(repeat));
        }
        let repeats = std::mem::take(&mut self.quarantine.repeats);
        let (due, later) = repeats.into_iter().partition(|repeat| repeat.at <= now);
        self.quarantine.repeats = later;
        let due: Vec<Repeat> = due;
        for repeat in due {
            self.send_evidence_of(&repeat.requests, &repeat.alive, now, out);
        }
    }

    fn send_evidence_of(
        &self,
        requests: &BTreeSet<RequestDigest>,
        alive: &BTreeSet<u64>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if !self.settings.protections.has(Protection::SharedEvidence) {
            return;
        }
        let evidence = &self.quarantine.evidence;
        let known = requests.iter().filter_map(|request| {
            let entry = evidence.get(request)?;
            Some(RequestEntry::new(request, entry, now))
        });
        let of_alive = evidence.alive().iter().filter(|(of, _)| alive.contains(of));
        let alive = aged_instances(of_alive, now);
        let datagrams = evidence_datagrams(known.collect(), alive, false);
        self.send_to_all(&datagrams, out);
    }

    /// Everything that every node has to know.
    fn all_evidence(&self, wants_reply: bool, now: Timestamp) -> Vec<Datagram> {
        let evidence = &self.quarantine.evidence;
        let weighty = evidence.weighty();
        let entries = weighty.map(|(request, entry)| RequestEntry::new(request, entry, now));
        let alive = aged_instances(evidence.alive().iter(), now);
        evidence_datagrams(entries.collect(), alive, wants_reply)
    }

    /// The coordinator's heartbeat tells whether it knows the same. If not, both send each
    /// other all.
    pub(super) fn heard_evidence(
        &mut self,
        from: SocketAddr,
        checksum: u64,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let differs = checksum != self.quarantine.evidence.checksum();
        let shares = self.settings.protections.has(Protection::SharedEvidence);
        if differs && shares && self.quarantine.next_sync <= now {
            self.quarantine.next_sync = now + SYNC_PAUSE;
            send(from, &self.all_evidence(true, now), out);
        }
    }

    /// Another node has sent what it knows.
    pub(super) fn evidence_received(
        &mut self,
        from: SocketAddr,
        message: EvidenceMessage,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        for entry in message.alive.iter() {
            let at = time_of(entry.age_ms, now);
            self.quarantine.evidence.note_alive(entry.of, at);
        }
        for entry in message.requests.iter() {
            let (request, entry) = entry.received(now);
            self.quarantine.evidence.merge(request, &entry);
            let callers: BTreeSet<CallerId> = entry.ends.iter().map(|end| end.caller).collect();
            for caller in callers {
                self.acquit_if_answered(request, caller, now);
            }
        }
        self.judge(now);
        if message.wants_reply {
            send(from, &self.all_evidence(false, now), out);
        }
        self.reconsider_waiting(now, out);
    }

    /// The request whose evidence this coordinator has to write to the store.
    fn unkept(&self) -> Option<RequestDigest> {
        let keeps = self.settings.protections.has(Protection::KeptEvidence)
            && self.coordination.coordinator().is_some()
            && self.store.health.serves()
            && self.store.has_listed(ObjectKind::Quarantine)
            && !self.quarantine.is_writing;
        if !keeps {
            return None;
        }
        let is_unkept = |(request, record): &(RequestDigest, QuarantineRecord)| {
            let kept = self.quarantine.kept.get(request);
            match kept {
                Some(kept) => kept.record != *record,
                None => record.ends.len() >= 2 || !record.quarantined.is_empty(),
            }
        };
        let weighty = self.quarantine.evidence.weighty();
        let records = weighty.map(|(request, entry)| (*request, QuarantineRecord::new(entry)));
        let mut unkept = records.filter(is_unkept);
        unkept.next().map(|(request, _)| request)
    }

    fn keep_evidence(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.quarantine.next_write > now || self.quarantine.evidence.is_empty() {
            return;
        }
        let Some(request) = self.unkept() else {
            return;
        };
        let Some(entry) = self.quarantine.evidence.get(&request) else {
            return;
        };
        let record = QuarantineRecord::new(entry);
        let name = request.to_string();
        let content = WrittenContent::Quarantine(record.clone());
        let call = match self.quarantine.kept.contains_key(&request) {
            false => StoreCall::Create { name, content },
            true => StoreCall::Replace {
                name,
                // What this node writes holds all that it has read.
                revision: None,
                content,
            },
        };
        self.quarantine.is_writing = true;
        let purpose = Purpose::KeepEvidence(Box::new((request, record)));
        self.start_call(purpose, call, now, out);
    }

    /// The store has answered a write of evidence.
    pub(super) fn evidence_kept(
        &mut self,
        request: RequestDigest,
        record: QuarantineRecord,
        answer: Result<StoreAnswer, ExchangeFailure>,
        now: Timestamp,
    ) {
        self.quarantine.is_writing = false;
        match answer {
            Ok(StoreAnswer::Written(object)) => {
                let revision = object.revision;
                self.quarantine
                    .kept
                    .insert(request, Kept { record, revision });
            }
            Ok(StoreAnswer::Conflict) => {
                // An earlier write whose answer was lost: it is replaced.
                let kept = Kept {
                    record: QuarantineRecord::default(),
                    revision: 0,
                };
                self.quarantine.kept.insert(request, kept);
            }
            Ok(StoreAnswer::Missing) => self.lifted(request, now),
            _ => self.quarantine.next_write = now + WRITE_PAUSE,
        }
    }

    /// The store has told of an object.
    pub(super) fn evidence_read(&mut self, object: &Object, now: Timestamp) {
        let Ok(ObjectContent::Quarantine(record)) = &object.content else {
            return;
        };
        let Some(request) = RequestDigest::parse(&object.name) else {
            let finding = "the name is no digest";
            let object = &object.name;
            Event::ObjectUnreadable { object, finding }.emit();
            return;
        };
        self.quarantine.evidence.merge(request, &record.entry(now));
        let kept = Kept {
            record: record.clone(),
            revision: object.revision,
        };
        self.quarantine.kept.insert(request, kept);
    }

    /// The store's list lacks what it held: an operator has removed it.
    pub(super) fn evidence_listed(
        &mut self,
        listed: &BTreeSet<RequestDigest>,
        revision: u64,
        now: Timestamp,
    ) {
        let kept = self.quarantine.kept.iter();
        let gone = kept.filter(|(request, kept)| {
            !listed.contains(request) && kept.revision > 0 && kept.revision <= revision
        });
        let gone: Vec<RequestDigest> = gone.map(|(request, _)| *request).collect();
        for request in gone {
            self.lifted(request, now);
        }
    }

    /// An operator has removed what the store kept of a request: it is sent again.
    pub(super) fn lifted(&mut self, request: RequestDigest, now: Timestamp) {
        self.quarantine.kept.remove(&request);
        Event::QuarantineLifted { digest: request }.emit();
        self.quarantine.evidence.lift(request, now);
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

/// What another node knows.
#[derive(Debug)]
pub(super) struct EvidenceMessage {
    pub(super) requests: List<RequestEntry>,
    pub(super) alive: List<AgedEntry>,
    pub(super) wants_reply: bool,
}

/// Instances that live after all, in one datagram.
const MAX_ALIVE: usize = 40;

/// The datagrams that carry evidence; one at least if a reply is wanted.
fn evidence_datagrams(
    entries: Vec<RequestEntry>,
    alive: Vec<AgedEntry>,
    wants_reply: bool,
) -> Vec<Datagram> {
    let of_alive = |chunk: &[AgedEntry]| PeerMessage::Evidence {
        wants_reply: false,
        alive: List(chunk.to_vec()),
        requests: List(Vec::new()),
    };
    let of_requests = |requests| PeerMessage::Evidence {
        wants_reply: false,
        alive: List(Vec::new()),
        requests,
    };
    let mut messages: Vec<PeerMessage> = alive.chunks(MAX_ALIVE).map(of_alive).collect();
    messages.extend(evidence_parts(entries).into_iter().map(of_requests));
    if wants_reply {
        // Last, so that the reply tells what is left.
        messages.push(PeerMessage::Evidence {
            wants_reply: true,
            alive: List(Vec::new()),
            requests: List(Vec::new()),
        });
    }
    messages.iter().map(encode).collect()
}
