//! Sharing of open request counts among the nodes of a zone.
//!
//! If each change were sent to every peer of the zone, the number of datagrams would grow with
//! requests times peers. So changes are batched: the interval between batches grows with the
//! number of peers, and a node sends at most `COUNT_DATAGRAMS_PER_SECOND` datagrams a second,
//! whatever the size of its zone. If counts would become older than `FRESH_FOR` that way, they
//! are sent only to the zone's hub (`load_hub`), which sends back a digest of all counts.

use super::Node;
use super::messaging::send;
use crate::Timestamp;
use crate::identity::InstanceId;
use crate::io::Action;
use crate::mechanisms::Mechanism;
use crate::peers::{Datagram, OpenRequests, PeerMessage, encode};
use ledgelead_types::codec::List;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of datagrams with counts that a node sends per second. In a zone of 58
/// peers, 18 changes a second took nine tenths of a node's CPU time
/// (`docs/design/decisions.md`); a tenth of those datagrams is affordable.
const COUNT_DATAGRAMS_PER_SECOND: u32 = 100;
/// Age from which a count is less useful than the load that the instance reports itself. It is
/// shorter than the work on one request in typical deployments.
const FRESH_FOR: Duration = Duration::from_millis(100);
/// Interval between announcements of unchanged counts: half of the time for which peers use
/// them.
const REFRESH_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum number of counts in one datagram, so that it fits the smallest common MTU.
pub(super) const MAX_COUNTS: usize = 70;

/// Interval between batches to a hub. It keeps the hub's digests as recent as the duration of
/// one request, at ten datagrams a second from each node.
const HUB_PAUSE: Duration = Duration::from_millis(100);

/// Times of the next messages with counts.
pub(super) struct OpenRequestSchedule {
    next_batch: Timestamp,
    next_refresh: Timestamp,
}

impl OpenRequestSchedule {
    pub(super) fn new(now: Timestamp) -> OpenRequestSchedule {
        OpenRequestSchedule {
            next_batch: now,
            next_refresh: now + REFRESH_INTERVAL,
        }
    }
}

/// Interval between batches for this number of receivers.
pub(super) fn batch_pause(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    Duration::from_secs(1).saturating_mul(peers) / COUNT_DATAGRAMS_PER_SECOND
}

/// Whether counts are still useful with that many peers, if instances report their load
/// themselves.
pub(super) fn counts_are_useful(peers: usize) -> bool {
    batch_pause(peers) <= FRESH_FOR
}

impl Node {
    /// When counts are due next.
    pub(super) fn open_requests_deadline(&self) -> Timestamp {
        let schedule = &self.messaging.open_requests;
        if self.requests.has_changed_load() {
            schedule.next_batch.min(schedule.next_refresh)
        } else {
            schedule.next_refresh
        }
    }

    /// Sends open request counts to the nodes of the zone or to its hub: those that changed,
    /// and at each refresh all of them.
    pub(super) fn announce_open_requests(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let refresh_due = self.messaging.open_requests.next_refresh <= now;
        let batch_due =
            self.messaging.open_requests.next_batch <= now && self.requests.has_changed_load();
        if !refresh_due && !batch_due {
            return;
        }
        let peers: Vec<SocketAddr> = self.zone_peers().collect();
        let has_hub = self.has_hub(peers.len());
        let mut counts = Vec::new();
        if batch_due {
            counts = self.requests.take_changed_load();
            let pause = match has_hub {
                true => HUB_PAUSE,
                false => batch_pause(peers.len()),
            };
            self.messaging.open_requests.next_batch = now + pause;
        }
        if refresh_due {
            self.messaging.open_requests.next_refresh = now + REFRESH_INTERVAL;
            counts.extend(self.requests.take_all_load());
        }
        for (_, open) in &counts {
            self.shared.record_speed(open.instance, open.speed(), now);
        }
        if !self.settings.mechanisms.has(Mechanism::SharedLoad) {
            counts.clear();
        }
        if has_hub {
            self.report_to_hub(&counts, refresh_due, now, out);
            return;
        }
        if !counts_are_useful(peers.len()) {
            counts.retain(|(id, _)| !self.reports_load(id));
        }
        let datagrams = self.open_request_datagrams(&counts, refresh_due, now);
        for peer in peers {
            send(peer, &datagrams, out);
        }
    }

    pub(super) fn zone_peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.others()
            .filter(|record| record.zone == self.settings.zone)
            .map(|record| record.address)
    }

    /// Whether the instances of this instance's service report their load.
    fn reports_load(&self, id: &InstanceId) -> bool {
        let instance = self.directory.get(id);
        instance.is_some_and(|instance| self.requests.reports_load(&instance.record.service))
    }

    /// The datagrams for these counts. A refresh without counts still carries this node's idle
    /// limit for connections, if it has one.
    fn open_request_datagrams(
        &self,
        counts: &[(InstanceId, OpenRequests)],
        refreshes: bool,
        now: Timestamp,
    ) -> Vec<Datagram> {
        let idle_limit = self.requests.idle_limit(now).unwrap_or(Duration::ZERO);
        if counts.is_empty() && refreshes && !idle_limit.is_zero() {
            return vec![self.open_requests_datagram(&[], now)];
        }
        let chunks = counts.chunks(MAX_COUNTS);
        chunks
            .map(|chunk| self.open_requests_datagram(chunk, now))
            .collect()
    }

    /// A single datagram with counts.
    pub(super) fn open_requests_datagram(
        &self,
        counts: &[(InstanceId, OpenRequests)],
        now: Timestamp,
    ) -> Datagram {
        let idle_limit = self.requests.idle_limit(now).unwrap_or(Duration::ZERO);
        encode(&PeerMessage::OpenRequestCounts {
            incarnation: self.settings.identity.incarnation,
            idle_limit_ms: u16::try_from(idle_limit.as_millis()).unwrap_or(u16::MAX),
            changes: List(counts.iter().map(|(_, open)| *open).collect()),
        })
    }
}
