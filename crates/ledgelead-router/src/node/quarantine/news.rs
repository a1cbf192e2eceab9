//! Evidence that nodes send each other.

use super::Repeat;
use crate::Timestamp;
use crate::io::Action;
use crate::node::Node;
use crate::node::gossip::send;
use crate::peers::{
    AgedEntry, Datagram, PeerMessage, RequestEntry, aged_instances, encode, evidence_parts,
    time_from_age,
};
use crate::protections::Protection;
use crate::quarantine::CallerId;
use crate::requests::RequestDigest;
use ledgelead_types::codec::List;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// When news are sent again: where four in ten datagrams are lost, all four of a row are
/// in one of forty cases.
const REPEATS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];
/// Pause between two requests for all evidence: two heartbeats.
const SYNC_PAUSE: Duration = Duration::from_millis(400);

/// What another node knows.
#[derive(Debug)]
pub(in crate::node) struct EvidenceMessage {
    pub(in crate::node) requests: List<RequestEntry>,
    pub(in crate::node) alive: List<AgedEntry>,
    pub(in crate::node) wants_reply: bool,
}

impl Node {
    /// Sends the others what this node has learned by itself, now and some times more.
    pub(super) fn send_news(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.quarantine.evidence.has_unannounced() {
            let (requests, alive) = self.quarantine.evidence.take_unannounced();
            self.send_evidence_of(&requests, &alive, now, out);
            let repeat = |after: Duration| Repeat {
                at: now + after,
                requests: requests.clone(),
                alive: alive.clone(),
            };
            self.quarantine.repeats.extend(REPEATS.map(repeat));
        }
        let repeats = std::mem::take(&mut self.quarantine.repeats);
        let (due, later): (Vec<Repeat>, Vec<Repeat>) =
            repeats.into_iter().partition(|repeat| repeat.at <= now);
        self.quarantine.repeats = later;
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
        let weighty = evidence.broadcast_entries();
        let entries = weighty.map(|(request, entry)| RequestEntry::new(request, entry, now));
        let alive = aged_instances(evidence.alive().iter(), now);
        evidence_datagrams(entries.collect(), alive, wants_reply)
    }

    /// The coordinator's heartbeat shows whether it knows the same. If not, both send each
    /// other all.
    pub(in crate::node) fn heard_evidence(
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
    pub(in crate::node) fn evidence_received(
        &mut self,
        from: SocketAddr,
        message: EvidenceMessage,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        for entry in message.alive.iter() {
            let at = time_from_age(entry.age_ms, now);
            self.quarantine.evidence.record_alive(entry.subject, at);
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
        // Last, so that the reply holds what is left.
        messages.push(PeerMessage::Evidence {
            wants_reply: true,
            alive: List(Vec::new()),
            requests: List(Vec::new()),
        });
    }
    messages.iter().map(encode).collect()
}
