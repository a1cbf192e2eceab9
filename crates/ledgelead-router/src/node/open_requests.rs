//! Counts of open requests, shared among the nodes of a zone.
//!
//! Each change could be sent to every peer of the zone, but then datagrams grow
//! with requests times peers. So changes are batched: the pause between two
//! batches grows with the number of peers, and a node sends at most
//! `COUNT_DATAGRAMS_PER_SECOND` datagrams a second, whatever the size of its
//! zone. Where counts would become older than `FRESH_FOR` by that, they go to the
//! zone's hub alone (`load_hub`), which sends back a digest of all.

use super::Node;
use super::gossip::send;
use crate::Timestamp;
use crate::identity::InstanceId;
use crate::io::Action;
use crate::mechanisms::Mechanism;
use crate::peers::{Datagram, OpenRequests, PeerMessage, encode};
use ledgelead_types::codec::List;
use std::net::SocketAddr;
use std::time::Duration;

/// Most datagrams a second with counts that one node sends. A zone of 58 peers
/// with 18 changes a second took nine tenths of a node's processor time
/// (`docs/design/decisions.md`); a tenth of those datagrams is affordable.
const COUNT_DATAGRAMS_PER_SECOND: u32 = 100;
/// Age from which a count is worth less than what the instance reports itself:
/// less than the work of one request on the deployments of the users.
const FRESH_FOR: Duration = Duration::from_millis(100);
/// Pause between two announcements of counts that did not change; half of the
/// time for which peers use them.
const REFRESH_INTERVAL: Duration = Duration::from_millis(700);
/// Most counts in one datagram, so that it fits the shortest usual MTU.
pub(super) const MAX_COUNTS: usize = 70;

/// Pause between two batches to a hub: its digests are as young as the work of one
/// request, at ten datagrams a second from each node.
const HUB_PAUSE: Duration = Duration::from_millis(100);

/// When counts are sent next.
pub(super) struct OpenRequestPace {
    next_batch: Timestamp,
    next_refresh: Timestamp,
}

impl OpenRequestPace {
    pub(super) fn new(now: Timestamp) -> OpenRequestPace {
        OpenRequestPace {
            next_batch: now,
            next_refresh: now + REFRESH_INTERVAL,
        }
    }
}

/// Pause between two batches for this many receivers.
pub(super) fn batch_pause(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    Duration::from_secs(1).saturating_mul(peers) / COUNT_DATAGRAMS_PER_SECOND
}

/// Whether counts are still of use to that many peers where instances report
/// their load themselves.
pub(super) fn counts_beat_reports(peers: usize) -> bool {
    batch_pause(peers) <= FRESH_FOR
}

impl Node {
    /// When counts are due next.
    pub(super) fn open_requests_deadline(&self) -> Timestamp {
        let pace = &self.gossip.open_requests;
        if self.requests.has_changed() {
            pace.next_batch.min(pace.next_refresh)
        } else {
            pace.next_refresh
        }
    }

    /// Sends in-flight counts to the nodes of the zone, or to its hub: those that
    /// changed, and now and then all.
    pub(super) fn announce_open_requests(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let refresh_due = self.gossip.open_requests.next_refresh <= now;
        let batch_due = self.gossip.open_requests.next_batch <= now && self.requests.has_changed();
        if !refresh_due && !batch_due {
            return;
        }
        let peers: Vec<SocketAddr> = self.zone_peers().collect();
        let has_hub = self.has_hub(peers.len());
        let mut counts = Vec::new();
        if batch_due {
            counts = self.requests.take_changed();
            let pause = match has_hub {
                true => HUB_PAUSE,
                false => batch_pause(peers.len()),
            };
            self.gossip.open_requests.next_batch = now + pause;
        }
        if refresh_due {
            self.gossip.open_requests.next_refresh = now + REFRESH_INTERVAL;
            counts.extend(self.requests.take_busy());
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
        if !counts_beat_reports(peers.len()) {
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

    /// Whether the instances of this one's service report their load.
    fn reports_load(&self, id: &InstanceId) -> bool {
        let instance = self.directory.get(id);
        instance.is_some_and(|instance| self.requests.reports_load(&instance.record.service))
    }

    /// The datagrams that carry these counts. A refresh also carries the limit
    /// of idle connections, if this node has one, where there are no counts.
    fn open_request_datagrams(
        &self,
        counts: &[(InstanceId, OpenRequests)],
        refreshes: bool,
        now: Timestamp,
    ) -> Vec<Datagram> {
        let rest_limit = self.requests.rest_limit(now).unwrap_or(Duration::ZERO);
        if counts.is_empty() && refreshes && !rest_limit.is_zero() {
            return vec![self.open_requests(&[], now)];
        }
        let chunks = counts.chunks(MAX_COUNTS);
        chunks.map(|chunk| self.open_requests(chunk, now)).collect()
    }

    /// One datagram with counts.
    pub(super) fn open_requests(
        &self,
        counts: &[(InstanceId, OpenRequests)],
        now: Timestamp,
    ) -> Datagram {
        let rest_limit = self.requests.rest_limit(now).unwrap_or(Duration::ZERO);
        encode(&PeerMessage::OpenRequestCounts {
            incarnation: self.settings.identity.incarnation,
            rest_limit_ms: u16::try_from(rest_limit.as_millis()).unwrap_or(u16::MAX),
            changes: List(counts.iter().map(|(_, open)| *open).collect()),
        })
    }
}
