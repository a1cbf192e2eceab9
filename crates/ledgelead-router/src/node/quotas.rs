//! Messages about quotas of tenants: counts for the coordinator, and shares for all nodes.

use super::Node;
use super::messaging::send;
use crate::Timestamp;
use crate::io::Action;
use crate::peers::{PeerMessage, QuotaCountsEntry, QuotaShareEntry, encode};
use crate::quota::{Allocator, Counts, NodeCounts, Share};
use ledgelead_types::codec::List;
use std::net::SocketAddr;

/// Maximum number of tenants in one report, 24 bytes each, so that it fits a datagram.
const MAX_COUNTS: usize = 48;
/// Maximum number of tenants in one announcement, 12 bytes each.
const MAX_SHARES: usize = 96;

/// State of the messages about quotas.
#[derive(Default)]
pub(super) struct Quotas {
    /// Exists while this node is the coordinator.
    allocator: Option<Allocator>,
    next_report: Timestamp,
    next_announcement: Timestamp,
}

impl Quotas {
    /// Removes expired state.
    pub(super) fn expire(&mut self, now: Timestamp) {
        if let Some(allocator) = &mut self.allocator {
            allocator.expire(now);
        }
    }
}

impl Node {
    /// When the next report or announcement is due, if there is something to send.
    pub(super) fn quota_deadline(&self) -> Timestamp {
        let report = match self.requests.quota().has_unreported() {
            true => self.quotas.next_report,
            false => Timestamp::MAX,
        };
        let allocator = self.quotas.allocator.as_ref();
        let announcement = match allocator.is_some_and(|known| !known.is_empty()) {
            true => self.quotas.next_announcement,
            false => Timestamp::MAX,
        };
        report.min(announcement)
    }

    /// Sends the counts and shares that are due.
    pub(super) fn send_due_quotas(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.update_allocator(now);
        let admission = self.requests.quota();
        if self.quotas.next_report <= now && admission.has_unreported() {
            self.quotas.next_report = now + admission.report_interval(now);
            self.report_quotas(now, out);
        }
        if self.quotas.next_announcement <= now {
            self.announce_shares(now, out);
        }
    }

    /// Handles another node's counts, as coordinator.
    pub(super) fn quota_reported(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        counts: &[QuotaCountsEntry],
        now: Timestamp,
    ) {
        self.update_allocator(now);
        for entry in counts {
            self.record_counts(from, incarnation, counts_of(entry), now);
        }
    }

    /// Applies shares of the coordinator.
    pub(super) fn shares_received(
        &mut self,
        epoch: u64,
        shares: &[QuotaShareEntry],
        now: Timestamp,
    ) {
        if epoch < self.newest_epoch() {
            return;
        }
        for entry in shares {
            self.requests
                .quota_mut()
                .receive_share(share_of(entry), now);
        }
    }

    fn update_allocator(&mut self, now: Timestamp) {
        let allocator = &mut self.quotas.allocator;
        match self.coordination.coordinator() {
            Some(_) => {
                allocator.get_or_insert_with(|| Allocator::new(now));
            }
            None => *allocator = None,
        }
    }

    /// Without a known coordinator, the counts are kept for the next one.
    fn report_quotas(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let incarnation = self.settings.identity.incarnation;
        if self.quotas.allocator.is_some() {
            let own = self.settings.peer_address;
            for counts in self.requests.quota_mut().take_counts() {
                self.record_counts(own, incarnation, counts, now);
            }
            return;
        }
        let Some(address) = self.coordinator_address() else {
            return;
        };
        let counts = self.requests.quota_mut().take_counts();
        let entries: Vec<QuotaCountsEntry> = counts.into_iter().map(counts_entry).collect();
        for part in entries.chunks(MAX_COUNTS) {
            let report = encode(&PeerMessage::QuotaReport {
                incarnation,
                counts: List(part.to_vec()),
            });
            send(address, &[report], out);
        }
    }

    fn record_counts(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        counts: NodeCounts,
        now: Timestamp,
    ) {
        let quota = self.routes.tenants().quota(counts.tenant);
        if let (Some(allocator), Some(quota)) = (&mut self.quotas.allocator, quota) {
            allocator.record(from, incarnation, counts, quota, now);
        }
    }

    fn announce_shares(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let (Some(allocator), Some(coordinator)) =
            (&mut self.quotas.allocator, self.coordination.coordinator())
        else {
            return;
        };
        let epoch = coordinator.epoch();
        let tenants = self.routes.tenants();
        let shares = allocator.shares(|tenant| tenants.quota(tenant), now);
        self.quotas.next_announcement = now + allocator.announcement_interval(now);
        let entries: Vec<QuotaShareEntry> = shares.into_iter().map(share_entry).collect();
        for part in entries.chunks(MAX_SHARES) {
            let message = encode(&PeerMessage::QuotaShares {
                epoch,
                shares: List(part.to_vec()),
            });
            self.broadcast(&[message], now, out);
        }
        self.shares_received(epoch, &entries, now);
    }
}

fn counts_entry(counts: NodeCounts) -> QuotaCountsEntry {
    QuotaCountsEntry {
        tenant: counts.tenant,
        arrived: counts.total.arrived,
        admitted: counts.total.admitted,
        recent_arrived: counts.recent.arrived,
        recent_admitted: counts.recent.admitted,
    }
}

fn counts_of(entry: &QuotaCountsEntry) -> NodeCounts {
    NodeCounts {
        tenant: entry.tenant,
        total: Counts {
            arrived: entry.arrived,
            admitted: entry.admitted,
        },
        recent: Counts {
            arrived: entry.recent_arrived,
            admitted: entry.recent_admitted,
        },
    }
}

fn share_entry(share: Share) -> QuotaShareEntry {
    // Rounds down: a share below 1 must not become all.
    let scaled = |share: f64| (share * f64::from(u16::MAX)) as u16;
    QuotaShareEntry {
        tenant: share.tenant,
        current: scaled(share.current),
        steady: scaled(share.steady),
    }
}

fn share_of(entry: &QuotaShareEntry) -> Share {
    let unscaled = |share: u16| f64::from(share) / f64::from(u16::MAX);
    Share {
        tenant: entry.tenant,
        current: unscaled(entry.current),
        steady: unscaled(entry.steady),
    }
}
