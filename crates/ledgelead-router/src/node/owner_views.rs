//! How current the nodes' views of the owners of keys are.
//!
//! An owner whose lease has expired may hold its keys again by a grant that is executed late, and
//! then serves requests of nodes that don't know its successor. So a node sends no keyed requests
//! by a view that nobody has confirmed for [`ownership_view_ttl`]. The successor gets the keys
//! once each other node has acknowledged the record that names it, or has not been heard for that
//! time.

use super::Node;
use super::messaging::send;
use crate::Timestamp;
use crate::io::Action;
use crate::ownership::coordinator::Coordinator;
use crate::peers::{PeerMessage, encode};
use crate::protections::Protection;
use crate::settings::{longest_use_of_owners, ownership_view_ttl};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two requests for acknowledgements.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between acknowledgements of a node that has nothing to report, which show that it may
/// hear the coordinator.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// How long a node's view may be confirmed after the coordinator has last heard the node: some
/// reports in a row may be lost. By a former coordinator after it has lost its role: until the
/// store's next confirmation of the role is due, or has failed.
const CONFIRMATION_LAG: Duration = Duration::from_secs(4);

/// What a coordinator knows of another node.
#[derive(Clone, Copy, Debug, Default)]
struct PeerView {
    heard: Timestamp,
    /// The revision of the record that it has acknowledged.
    acknowledged: u64,
}

/// What is known of the age of views, here and at the other nodes.
#[derive(Debug)]
pub(super) struct OwnerViews {
    /// The latest time at which the known record was the newest one, or the start of the node.
    current_at: Timestamp,
    /// Whether that was confirmed since the start of the node.
    is_confirmed: bool,
    /// Whether a coordinator has reported a newer record than the unconfirmed one.
    is_known_stale: bool,
    /// The nodes that this one has heard as coordinator.
    peers: HashMap<SocketAddr, PeerView>,
    /// When this node became the coordinator.
    role_since: Timestamp,
    next_request: Timestamp,
    /// When this node shows that it may hear the coordinator, unless it sends a report before.
    next_idle: Timestamp,
}

impl OwnerViews {
    /// A node that starts reads the record from the store or from another node.
    pub(super) fn new(now: Timestamp) -> OwnerViews {
        OwnerViews {
            current_at: now,
            is_confirmed: false,
            is_known_stale: false,
            peers: HashMap::new(),
            role_since: now,
            next_request: now,
            next_idle: now,
        }
    }

    /// This node has become the coordinator. Other nodes may have confirmed views by an earlier
    /// one.
    pub(super) fn begin_role(&mut self, now: Timestamp) {
        self.peers.clear();
        self.role_since = now;
    }

    /// This node sends a report.
    pub(super) fn record_report(&mut self, now: Timestamp) {
        self.next_idle = now + IDLE_INTERVAL;
    }

    /// Another node has sent a report, so it may hear this coordinator as well.
    pub(super) fn record_heard(&mut self, from: SocketAddr, now: Timestamp) {
        self.peers.entry(from).or_default().heard = now;
    }

    /// The revision that a node has acknowledged, unless it sends no keyed requests any more by
    /// a view that it has confirmed.
    fn acknowledged_by(&self, address: SocketAddr, now: Timestamp) -> Option<u64> {
        let unheard = PeerView {
            heard: self.role_since,
            acknowledged: 0,
        };
        let peer = self.peers.get(&address).copied().unwrap_or(unheard);
        let is_in_use = now < peer.heard + CONFIRMATION_LAG + longest_use_of_owners();
        is_in_use.then_some(peer.acknowledged)
    }
}

impl Node {
    /// Whether keyed requests must not be sent, since any key may have another owner by now. The
    /// first view may come from a stale list: it is outdated once a newer record is known.
    pub(super) fn owners_outdated(&self, now: Timestamp) -> bool {
        let is_enabled = self.settings.protections.has(Protection::ConfirmedOwners);
        let views = &self.owner_views;
        let as_coordinator = self.coordination.confirmed_at().unwrap_or_default();
        let current_at = views.current_at.max(as_coordinator);
        let is_too_old = current_at + ownership_view_ttl() <= now;
        let is_stale = views.is_known_stale && !views.is_confirmed;
        is_enabled && (is_too_old || is_stale)
    }

    /// A coordinator with authority reported as of time `at` that its record has this revision.
    pub(super) fn confirm_owners(
        &mut self,
        revision: u64,
        at: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.ownership.revision().unwrap_or(0) < revision {
            self.owner_views.is_known_stale = true;
            return;
        }
        let were_outdated = self.owners_outdated(now);
        let views = &mut self.owner_views;
        views.is_known_stale = false;
        views.is_confirmed = true;
        views.current_at = views.current_at.max(at);
        if were_outdated {
            self.reconsider_waiting(now, out);
        }
    }

    /// The newest revision of the record that all nodes with a confirmed view act on. None while
    /// no new owner waits for it.
    pub(super) fn ownership_known_to_all(&self, now: Timestamp) -> Option<u64> {
        let coordinator = self.coordinator()?;
        if !coordinator.has_grace_periods() || self.requests.targets_former_owners(&self.ownership)
        {
            return None;
        }
        let others = self.others();
        let known = others.filter_map(|other| self.owner_views.acknowledged_by(other.address, now));
        known.chain(self.ownership.revision()).min()
    }

    /// Asks the other nodes which revision of the record they act on, while new owners wait
    /// for that.
    pub(super) fn request_acknowledgements(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let has_grace_periods = self
            .coordinator()
            .is_some_and(Coordinator::has_grace_periods);
        if !has_grace_periods || now < self.owner_views.next_request {
            return;
        }
        let Some(revision) = self.ownership.revision() else {
            return;
        };
        self.owner_views.next_request = now + REQUEST_INTERVAL;
        let request = encode(&PeerMessage::OwnershipAckRequest { revision });
        self.broadcast(&[request], now, out);
    }

    /// Acknowledges a revision of the record, unless a request of this node may still reach an
    /// owner that an earlier one names.
    pub(super) fn acknowledgement_requested(
        &self,
        from: SocketAddr,
        requested: u64,
        out: &mut Vec<Action>,
    ) {
        let known = self.ownership.revision().unwrap_or(0);
        if known >= requested && !self.requests.targets_former_owners(&self.ownership) {
            send_acknowledgement(from, known, out);
        }
    }

    /// Shows the coordinator that this node may hear it, if no report has done so for a while.
    pub(super) fn acknowledge_without_reports(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.owner_views.next_idle > now || self.coordinator().is_some() {
            return;
        }
        self.owner_views.record_report(now);
        let Some(coordinator) = self.coordinator_address() else {
            return;
        };
        let known = match self.requests.targets_former_owners(&self.ownership) {
            true => None,
            false => self.ownership.revision(),
        };
        send_acknowledgement(coordinator, known.unwrap_or(0), out);
    }

    /// Another node acts on this revision of the record, and no earlier one.
    pub(super) fn ownership_acknowledged(
        &mut self,
        from: SocketAddr,
        revision: u64,
        now: Timestamp,
    ) {
        self.owner_views.record_heard(from, now);
        let peer = self.owner_views.peers.entry(from).or_default();
        peer.acknowledged = revision.max(peer.acknowledged);
        self.coordination.schedule_step();
    }
}

fn send_acknowledgement(to: SocketAddr, revision: u64, out: &mut Vec<Action>) {
    send(to, &[encode(&PeerMessage::OwnershipAck { revision })], out);
}
