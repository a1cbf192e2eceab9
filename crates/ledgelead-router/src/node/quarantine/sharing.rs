//! Exchange of evidence between nodes.

use super::PendingRepeat;
use crate::Timestamp;
use crate::io::Action;
use crate::node::Node;
use crate::node::messaging::send;
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

/// Delays after which evidence is sent again. If four in ten datagrams are lost, all four
/// copies are lost in one of forty cases.
const REPEAT_DELAYS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];
/// Minimum interval between requests for all evidence: two heartbeats.
const SYNC_INTERVAL: Duration = Duration::from_millis(400);
/// The same for each request that it is about.
const SYNC_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(10);

/// Evidence received from another node.
#[derive(Debug)]
pub(in crate::node) struct EvidenceMessage {
    pub(in crate::node) requests: List<RequestEntry>,
    pub(in crate::node) alive: List<AgedEntry>,
    pub(in crate::node) wants_reply: bool,
}

impl Node {
    /// Sends evidence that this node has gathered itself to the other nodes, and repeats it
    /// after `REPEAT_DELAYS`.
    pub(super) fn share_evidence(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.quarantine.evidence.has_unannounced() {
            let (requests, alive) = self.quarantine.evidence.take_unannounced();
            self.send_evidence_of(&requests, &alive, now, out);
            let repeat = |after: Duration| PendingRepeat {
                at: now + after,
                requests: requests.clone(),
                alive: alive.clone(),
            };
            self.quarantine.repeats.extend(REPEAT_DELAYS.map(repeat));
        }
        let repeats = std::mem::take(&mut self.quarantine.repeats);
        let (due, later): (Vec<PendingRepeat>, Vec<PendingRepeat>) =
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

    /// All evidence that every node must know.
    fn all_evidence(&self, wants_reply: bool, now: Timestamp) -> Vec<Datagram> {
        let evidence = &self.quarantine.evidence;
        let entries = evidence.broadcast_entries();
        let entries = entries.map(|(request, entry)| RequestEntry::new(request, entry, now));
        let alive = aged_instances(evidence.alive().iter(), now);
        evidence_datagrams(entries.collect(), alive, wants_reply)
    }

    /// Compares the checksum in the coordinator's heartbeat with this node's evidence. If they
    /// differ, both nodes send each other all of it.
    pub(in crate::node) fn compare_evidence(
        &mut self,
        from: SocketAddr,
        checksum: u64,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let differs = checksum != self.quarantine.evidence.checksum();
        let shares = self.settings.protections.has(Protection::SharedEvidence);
        if differs && shares && self.quarantine.next_sync <= now {
            self.quarantine.next_sync = now + self.sync_interval();
            send(from, &self.all_evidence(true, now), out);
        }
    }

    /// Minimum interval between requests for all evidence. The exchange grows with it, and
    /// while many instances end, the nodes' evidence differs until the last repeats arrive.
    fn sync_interval(&self) -> Duration {
        let entries = self.quarantine.evidence.broadcast_entries().count();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        SYNC_INTERVAL.max(SYNC_INTERVAL_PER_ENTRY.saturating_mul(entries))
    }

    /// Applies evidence received from another node.
    pub(in crate::node) fn evidence_received(
        &mut self,
        from: SocketAddr,
        message: EvidenceMessage,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let mut is_new = false;
        for entry in message.alive.iter() {
            let at = time_from_age(entry.age_ms, now);
            is_new |= self.quarantine.evidence.record_alive(entry.subject, at);
        }
        for entry in message.requests.iter() {
            let (request, entry) = entry.received(now);
            if !self.quarantine.evidence.merge(request, &entry) {
                continue;
            }
            is_new = true;
            let callers: BTreeSet<CallerId> = entry.ends.iter().map(|end| end.caller).collect();
            for caller in callers {
                self.clear_if_answered(request, caller, now);
            }
        }
        self.review_evidence(now);
        if message.wants_reply {
            send(from, &self.all_evidence(false, now), out);
        }
        if is_new {
            self.reconsider_waiting(now, out);
        }
    }
}

/// Maximum number of instances in one datagram whose reported end was disproved.
const MAX_ALIVE_PER_DATAGRAM: usize = 40;

/// The datagrams for evidence; at least one if a reply is wanted.
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
    let mut messages: Vec<PeerMessage> =
        alive.chunks(MAX_ALIVE_PER_DATAGRAM).map(of_alive).collect();
    messages.extend(evidence_parts(entries).into_iter().map(of_requests));
    if wants_reply {
        // Sent last, so that the reply contains what the other node still lacks.
        messages.push(PeerMessage::Evidence {
            wants_reply: true,
            alive: List(Vec::new()),
            requests: List(Vec::new()),
        });
    }
    messages.iter().map(encode).collect()
}
