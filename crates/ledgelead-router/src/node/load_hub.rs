//! Sharing the load of instances in a large zone through one of its nodes, the hub.
//!
//! In a zone of 25 nodes, each node sends a given instance a request only every few seconds,
//! and knows nothing of the instance's load by itself. So each node reports its open requests
//! ten times a second to the hub of its zone. The hub sends back a digest of the changes, and
//! exchanges changes of the zone's sums with the hubs of other zones. This takes about twenty
//! datagrams a second at each node, whatever the size of the zone.
//!
//! The hub is the node of the zone with the largest registered CPU share. No agreement is
//! needed: any node that receives reports answers them with digests. A node that receives no
//! digests switches to the next candidate, and returns to the first one after a while.

use super::Node;
use super::messaging::send;
use super::open_requests::{MAX_COUNTS, counts_are_useful};
use super::zone_relay::strength_key;
use crate::Timestamp;
use crate::identity::{InstanceId, ZoneName};
use crate::io::Action;
use crate::mechanisms::Mechanism;
use crate::peers::{Datagram, DigestEntry, NodeRecord, OpenRequests, PeerMessage, ZoneSum, encode};
use ledgelead_types::codec::List;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// How many nodes of a zone are candidates for its hub.
const MAX_HUB_CANDIDATES: usize = 3;
/// Silence after which a node switches to the next candidate: two complete digests.
const HUB_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a node uses another candidate before it tries the first again.
const RETURN_AFTER: Duration = Duration::from_secs(5);
/// How long a reporting node is sent digests: two of its refreshes.
const REPORTER_TTL: Duration = Duration::from_millis(1_500);
/// Minimum interval between digests.
const DIGEST_PAUSE: Duration = Duration::from_millis(100);
/// Interval between digests per receiving node, if the product is longer than `DIGEST_PAUSE`:
/// 500 datagrams a second.
const DIGEST_PAUSE_PER_REPORTER: Duration = Duration::from_millis(2);
/// Interval between complete digests.
const COMPLETE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between exchanges with other zones, where traffic is expensive; each exchange
/// takes a few hundred bytes.
const SUMS_PAUSE: Duration = Duration::from_millis(400);
/// Interval between complete exchanges of all sums, shorter than the lifetime of a count (1.5
/// s).
const ALL_SUMS_INTERVAL: Duration = Duration::from_millis(1_200);
/// Maximum number of sums in one datagram.
const MAX_SUMS: usize = 135;
/// Maximum number of entries in one datagram, so that it fits the smallest common MTU.
const MAX_ENTRIES: usize = 95;

/// State of a node as a client of its hub, and as a hub.
pub(super) struct LoadHub {
    /// Index of the current hub among the candidates.
    candidate_index: usize,
    /// Since when that candidate is used.
    since: Timestamp,
    /// The counts that this node last reported, by instance.
    reported: HashMap<u64, u16>,
    /// Nodes that report to this one, with the time of their last report.
    reporters: HashMap<SocketAddr, Timestamp>,
    next_digest: Timestamp,
    next_complete: Timestamp,
    next_sums: Timestamp,
    next_all_sums: Timestamp,
    /// The sums last sent to other zones.
    sent_sums: HashMap<u64, u16>,
}

impl LoadHub {
    pub(super) fn new(now: Timestamp) -> LoadHub {
        LoadHub {
            candidate_index: 0,
            since: now,
            reported: HashMap::new(),
            reporters: HashMap::new(),
            next_digest: now,
            next_complete: now,
            next_sums: now,
            next_all_sums: now,
            sent_sums: HashMap::new(),
        }
    }

    /// When a digest or an exchange is due, if this node is a hub.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        let is_hub = !self.reporters.is_empty();
        is_hub.then(|| self.next_digest.min(self.next_sums))
    }

    /// Records that a node has sent its counts to this one.
    pub(super) fn record_reporter(&mut self, from: SocketAddr, now: Timestamp) {
        self.reporters.insert(from, now);
    }

    fn switch_to(&mut self, candidate_index: usize, now: Timestamp) {
        self.candidate_index = candidate_index;
        self.since = now;
    }
}

impl Node {
    /// Whether this node's zone shares its load through a hub.
    pub(super) fn has_hub(&self, peers: usize) -> bool {
        let mechanisms = self.settings.mechanisms;
        let shares = mechanisms.has(Mechanism::SharedLoad) && mechanisms.has(Mechanism::LoadDigest);
        shares && !counts_are_useful(peers)
    }

    /// The addresses of the candidates for a zone's hub, the preferred one first.
    fn hub_candidates(&self, zone: &ZoneName) -> Vec<SocketAddr> {
        let of_zone = self.registry.iter().filter(|node| node.zone == *zone);
        let mut nodes: Vec<&NodeRecord> = of_zone.collect();
        nodes.sort_by_key(|node| strength_key(node));
        nodes.truncate(MAX_HUB_CANDIDATES);
        nodes.into_iter().map(|node| node.address).collect()
    }

    /// The hub of this node's zone; `None` before the nodes are known.
    fn hub(&mut self, now: Timestamp) -> Option<SocketAddr> {
        let candidates = self.hub_candidates(&self.settings.zone);
        if candidates.is_empty() {
            return None;
        }
        let candidate_index = self.load_hub.candidate_index % candidates.len();
        let current = candidates[candidate_index];
        let last_digest = self.shared.last_digest_from(current).unwrap_or_default();
        let silent = last_digest.max(self.load_hub.since) + HUB_TIMEOUT <= now;
        if silent && current != self.settings.peer_address {
            self.load_hub
                .switch_to((candidate_index + 1) % candidates.len(), now);
        } else if candidate_index != 0 && self.load_hub.since + RETURN_AFTER <= now {
            self.load_hub.switch_to(0, now);
        }
        candidates
            .get(self.load_hub.candidate_index % candidates.len())
            .copied()
    }

    /// Sends counts to the hub. A refresh is sent even without counts, so that the hub knows
    /// the receivers of its digests.
    pub(super) fn report_to_hub(
        &mut self,
        counts: &[(InstanceId, OpenRequests)],
        refreshes: bool,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if refreshes {
            self.load_hub.reported.clear();
        }
        for (_, open) in counts {
            self.load_hub.reported.insert(open.instance, open.count);
        }
        let Some(hub) = self.hub(now) else {
            return;
        };
        if hub == self.settings.peer_address {
            return;
        }
        if counts.is_empty() && refreshes {
            send(hub, &[self.open_requests_datagram(&[], now)], out);
        }
        for chunk in counts.chunks(MAX_COUNTS) {
            send(hub, &[self.open_requests_datagram(chunk, now)], out);
        }
    }

    /// Applies a digest sent by a hub.
    pub(super) fn digest_received(
        &mut self,
        from: SocketAddr,
        zones: u8,
        entries: &[DigestEntry],
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let reported = &self.load_hub.reported;
        let own = |instance: u64| u32::from(reported.get(&instance).copied().unwrap_or(0));
        self.shared.record_digest(from, zones, entries, own, now);
        self.reconsider_waiting(now, out);
    }

    /// As a hub, sends the digests and sums that are due.
    pub(super) fn announce_load(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let hub = &mut self.load_hub;
        hub.reporters.retain(|_, at| *at + REPORTER_TTL > now);
        if hub.reporters.is_empty() {
            return;
        }
        if hub.next_digest <= now {
            let reporters = u32::try_from(hub.reporters.len()).unwrap_or(u32::MAX);
            let pause = DIGEST_PAUSE.max(DIGEST_PAUSE_PER_REPORTER.saturating_mul(reporters));
            hub.next_digest = now + pause;
            let complete = hub.next_complete <= now;
            if complete {
                hub.next_complete = now + COMPLETE_INTERVAL;
            }
            self.send_digest(complete, now, out);
        }
        if self.load_hub.next_sums <= now {
            self.load_hub.next_sums = now + SUMS_PAUSE;
            self.send_sums(now, out);
        }
    }

    fn send_digest(&mut self, complete: bool, now: Timestamp, out: &mut Vec<Action>) {
        let open = self.open_by_instance();
        let own = |instance: u64| open.get(&instance).copied().unwrap_or(0);
        let entries = self.shared.take_digest(complete, own, now);
        let zones = u8::try_from(self.shared.zones(now)).unwrap_or(u8::MAX);
        let limit = self.requests.zone_idle_limit(now).unwrap_or_default();
        let datagram = |entries: &[DigestEntry]| {
            encode(&PeerMessage::LoadDigest {
                zones,
                idle_limit_ms: u16::try_from(limit.as_millis()).unwrap_or(u16::MAX),
                entries: List(entries.to_vec()),
            })
        };
        let mut datagrams: Vec<Datagram> = entries.chunks(MAX_ENTRIES).map(datagram).collect();
        if datagrams.is_empty() && complete {
            datagrams.push(datagram(&[]));
        }
        for reporter in self.load_hub.reporters.keys() {
            send(*reporter, &datagrams, out);
        }
    }

    fn send_sums(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let open = self.open_by_instance();
        let own = |instance: u64| open.get(&instance).copied().unwrap_or(0);
        let mut sums = self.shared.sums(own, now);
        let hub = &mut self.load_hub;
        let refreshes = hub.next_all_sums <= now;
        if refreshes {
            hub.next_all_sums = now + ALL_SUMS_INTERVAL;
        }
        // A count that is not repeated expires at its receivers.
        sums.retain(|sum| {
            let sent = hub.sent_sums.insert(sum.instance, sum.open).unwrap_or(0);
            sent != sum.open || refreshes && sum.open > 0
        });
        if refreshes {
            hub.sent_sums.retain(|_, open| *open > 0);
        }
        let message = |sums: &[ZoneSum]| {
            let sums = List(sums.to_vec());
            encode(&PeerMessage::ZoneSums { sums })
        };
        let mut datagrams: Vec<Datagram> = sums.chunks(MAX_SUMS).map(message).collect();
        if datagrams.is_empty() && refreshes {
            datagrams.push(message(&[]));
        }
        for hub in self.other_hubs(now) {
            send(hub, &datagrams, out);
        }
    }

    /// The hub of each other zone: the node that sends its sums, otherwise the first
    /// candidate.
    fn other_hubs(&self, now: Timestamp) -> Vec<SocketAddr> {
        let zones: BTreeSet<&ZoneName> = self
            .registry
            .iter()
            .map(|node| &node.zone)
            .filter(|zone| **zone != self.settings.zone)
            .collect();
        let hub = |zone: &ZoneName| {
            let candidates = self.hub_candidates(zone);
            let active = candidates
                .iter()
                .find(|hub| self.shared.has_recent_sums_from(**hub, now));
            active.or(candidates.first()).copied()
        };
        zones.into_iter().filter_map(hub).collect()
    }

    /// Number of open requests of this node by the stable hash of the instance.
    fn open_by_instance(&self) -> HashMap<u64, u32> {
        let busy = self.requests.statistics().busy();
        busy.map(|(id, open)| (id.stable_hash(), open)).collect()
    }
}
