//! Messages between nodes: dispatch of received messages, periodic reports to the coordinator,
//! and sending.

use super::Node;
use super::dispatch::{decode_permit_outcome, decode_permit_status};
use super::leaving::AnnouncedLeaving;
use super::open_requests::OpenRequestSchedule;
use super::quarantine::EvidenceMessage;
use super::rate_limits::{decode_token_request, decode_token_status, limiter_probed};
use super::relay::{RelayState, Takeover};
use crate::Timestamp;
use crate::dialect::ObjectKind;
use crate::dispatch::PermitId;
use crate::events::Event;
use crate::identity::{InstanceId, NodeIdentity, NodeName};
use crate::io::Action;
use crate::ownership::work::WorkSample;
use crate::peers::{
    Datagram, DelayEstimate, KeyReport, NodeRecord, PeerMessage, WorkReport, decode, encode,
};
use crate::requests::{PermitDecision, TokenDecision};
use ledgelead_types::codec::List;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between heartbeats of the coordinator.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between load reports of a node that is a candidate for relaying broadcasts. Its
/// reports show that it is alive.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The report interval of any other node is this times the number of nodes, so that the
/// coordinator gets the same number of reports per second whatever the size of the fleet.
const REPORT_PAUSE_PER_NODE: Duration = Duration::from_millis(1);
/// Upper bound of that interval; key counts cover the last second.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How many nodes read the record immediately when a coordinator has resigned.
const PROMPT_SUCCESSORS: usize = 3;
/// Maximum number of keys in a report.
const MAX_KEYS: usize = 400;
/// Maximum number of owners in a report.
const MAX_WORK: usize = 30;

/// State of the messages between nodes.
pub(super) struct Messaging {
    next_heartbeat: Timestamp,
    next_report: Timestamp,
    pub(super) relay: RelayState,
    pub(super) open_requests: OpenRequestSchedule,
    /// The address of the coordinator that sent the last heartbeat.
    pub(super) coordinator_address: Option<SocketAddr>,
    /// The node from which this one received that heartbeat: the coordinator or a relay.
    pub(super) heartbeat_sender: Option<SocketAddr>,
    /// Until when this node follows the coordinator's view of the store instead of its own
    /// watches. Each heartbeat of a coordinator that the store serves extends it.
    pub(super) following_until: Option<Timestamp>,
    /// Epoch of the coordinator followed until then.
    pub(super) followed_epoch: Option<u64>,
    /// Whether the store serves the coordinator, according to its last heartbeat.
    pub(super) store_serves_coordinator: bool,
    /// When that last heartbeat was received.
    pub(super) coordinator_heard_at: Timestamp,
    /// The highest epoch in any heartbeat.
    pub(super) newest_epoch: u64,
    /// Heartbeats received with an epoch below the highest known one.
    pub(super) former_heartbeats: u64,
    /// Estimated delay of heartbeats.
    pub(super) delay: DelayEstimate,
    /// Instances that the coordinator last announced as leaving.
    pub(super) announced_leaving: AnnouncedLeaving,
}

impl Messaging {
    pub(super) fn new(now: Timestamp) -> Messaging {
        Messaging {
            next_heartbeat: now,
            next_report: now + REPORT_INTERVAL,
            open_requests: OpenRequestSchedule::new(now),
            coordinator_address: None,
            heartbeat_sender: None,
            relay: RelayState::default(),
            following_until: None,
            followed_epoch: None,
            store_serves_coordinator: true,
            coordinator_heard_at: now,
            newest_epoch: 0,
            former_heartbeats: 0,
            delay: DelayEstimate::default(),
            announced_leaving: AnnouncedLeaving::default(),
        }
    }

    /// Makes the next heartbeat due immediately, because it carries a change.
    pub(super) fn send_heartbeat_soon(&mut self) {
        self.next_heartbeat = Timestamp::ZERO;
    }

    pub(super) fn next_deadline(&self) -> Timestamp {
        let due = self.next_heartbeat.min(self.next_report);
        let others = [self.following_until, self.relay.next_store_request()];
        others.into_iter().flatten().fold(due, Timestamp::min)
    }
}

impl Node {
    /// Sends the heartbeats and reports that are due, and stops following a coordinator whose
    /// view is no longer recent.
    pub(super) fn send_due_messages(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.messaging.next_heartbeat <= now {
            self.messaging.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.announce_heartbeat(now, out);
            self.announce_leaving(now, out);
            self.announce_limits(now, out);
        }
        if self.messaging.next_report <= now {
            self.messaging.next_report = now + self.report_interval();
            self.report_load(now, out);
            self.report_leaving(now, out);
            self.report_limits(now, out);
        }
        if self
            .messaging
            .following_until
            .is_some_and(|until| until <= now)
        {
            self.messaging.following_until = None;
            self.messaging.followed_epoch = None;
            Event::FollowsNobody.emit();
            self.store.set_following(false, now, out);
        }
        self.review_gaps(now, out);
    }

    fn report_interval(&self) -> Duration {
        let nodes = u32::try_from(self.registry.len()).unwrap_or(u32::MAX);
        match self.is_relay_candidate() {
            true => REPORT_INTERVAL,
            false => REPORT_PAUSE_PER_NODE
                .saturating_mul(nodes)
                .clamp(REPORT_INTERVAL, MAX_REPORT_INTERVAL),
        }
    }

    /// Sends datagrams to each other node directly.
    pub(super) fn send_to_all(&self, datagrams: &[Datagram], out: &mut Vec<Action>) {
        for record in self.others() {
            send(record.address, datagrams, out);
        }
    }

    pub(super) fn others(&self) -> impl Iterator<Item = &NodeRecord> {
        self.registry
            .iter()
            .filter(|record| record.address != self.settings.peer_address)
    }

    /// Address of the coordinator, if known.
    pub(super) fn coordinator_address(&self) -> Option<SocketAddr> {
        let registered = || {
            let coordinator = self.ownership.record().coordinator.as_ref()?;
            Some(self.registry.get(&coordinator.node)?.address)
        };
        self.messaging.coordinator_address.or_else(registered)
    }

    /// Reports to the coordinator which keys were requested and what work owners did.
    fn report_load(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let requested_keys = self.requests.take_requested_keys();
        let owner_work = self.requests.take_owner_work();
        let is_empty = requested_keys.is_empty() && owner_work.is_empty();
        if is_empty && !self.is_relay_candidate() {
            self.acknowledge_without_reports(now, out);
            return;
        }
        self.owner_views.record_report(now);
        if let Some(coordinator) = self.coordination.coordinator_mut() {
            for (service, keys) in &requested_keys {
                coordinator.record_load(service, keys, now);
            }
            for (instance, work) in owner_work {
                coordinator.record_work(instance.stable_hash(), work);
            }
            return;
        }
        let Some(address) = self.coordinator_address() else {
            return;
        };
        let reports = requested_keys
            .into_iter()
            .map(|(service, mut keys)| {
                keys.truncate(MAX_KEYS);
                KeyReport {
                    service: service.stable_hash(),
                    keys: List(keys),
                }
            })
            .collect();
        let report = encode(&PeerMessage::LoadReport {
            configuration_version: self.configuration_version(),
            nodes_revision: self.store.revision_of(ObjectKind::Nodes).unwrap_or(0),
            reports,
            work: work_reports(owner_work),
        });
        send(address, &[report], out);
    }

    /// Handles a datagram from another node.
    pub(super) fn datagram_received(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let message = match decode(bytes) {
            Ok(message) => message,
            Err(error) => {
                log::warn!(target: "peers", "datagram from {from}: {error}");
                return;
            }
        };
        self.count_received(from, message.kind(), bytes.len());
        if !message.is_valid() {
            log::warn!(target: "peers", "datagram from {from}: values out of bounds");
            return;
        }
        self.limiter_failover.record_message(from);
        self.handle_message(from, message, now, out);
    }

    fn handle_message(
        &mut self,
        from: SocketAddr,
        message: PeerMessage,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::CoordinatorHeartbeat(heartbeat) => {
                self.heartbeat_received(from, &heartbeat, now, out);
            }
            PeerMessage::Forwarded {
                origin,
                to_zone,
                message,
            } => self.forwarded_received(from, origin, to_zone, message, now, out),
            PeerMessage::InstancesChanged {
                span,
                unconfirmed_ms,
                changes,
            } => {
                let unconfirmed = Duration::from_millis(u64::from(unconfirmed_ms));
                self.directory.defer_removals_until(now + unconfirmed);
                self.instances_announced(span, changes, now, out);
            }
            PeerMessage::NodesChanged { span, changes } => {
                self.nodes_announced(span, changes, now, out);
            }
            PeerMessage::ConfigurationChanged {
                span,
                limits,
                changes,
            } => self.configuration_announced(span, limits, changes, now, out),
            PeerMessage::CoordinatorTookOver {
                base,
                revision,
                node,
                incarnation,
                first_fence,
                digest,
            } => {
                let coordinator = NodeIdentity {
                    node: NodeName::from(node.0.as_str()),
                    incarnation,
                };
                let takeover = Takeover {
                    base,
                    revision,
                    coordinator,
                    first_fence,
                    digest,
                };
                self.takeover_announced(takeover, now, out);
            }
            PeerMessage::OwnershipChanged { span, changes } => {
                self.ownership_announced(span, changes, now, out);
            }
            PeerMessage::ResyncRequest { kind, since } => {
                self.changes_requested(from, kind, since, now, out);
            }
            PeerMessage::OwnershipAckRequest { revision } => {
                self.acknowledgement_requested(from, revision, out);
            }
            PeerMessage::OwnershipAck { revision } => {
                self.ownership_acknowledged(from, revision, now)
            }
            PeerMessage::CoordinatorResigned { epoch } => {
                self.resignation_announced(epoch, now, out)
            }
            PeerMessage::LoadReport {
                configuration_version,
                nodes_revision,
                reports,
                work,
            } => {
                self.zone_relays.record_report(from, nodes_revision, now);
                self.owner_views.record_heard(from, now);
                self.configuration_version_announced(configuration_version, now, out);
                self.record_key_reports(&reports, now);
                self.record_work_reports(&work);
            }
            PeerMessage::OpenRequestCounts {
                incarnation,
                idle_limit_ms,
                changes,
            } => {
                self.follow_idle_limit(idle_limit_ms, now);
                if self.has_hub(self.zone_peers().count()) {
                    self.load_hub.record_reporter(from, now);
                }
                self.shared
                    .record_node_counts(from, incarnation, &changes, now);
                self.reconsider_waiting(now, out);
            }
            PeerMessage::LoadDigest {
                zones,
                idle_limit_ms,
                entries,
            } => {
                self.follow_idle_limit(idle_limit_ms, now);
                self.digest_received(from, zones, &entries, now, out);
            }
            PeerMessage::ZoneSums { sums } => self.shared.record_zone_sums(from, &sums, now),
            PeerMessage::PermitRequest(request) => self.permit_requested(from, &request, now, out),
            PeerMessage::PermitDecision {
                number,
                queue,
                status,
                server,
                return_ms,
            } => {
                let decision = PermitDecision {
                    number,
                    queue,
                    admission: decode_permit_status(status, server),
                    retry_after: Duration::from_millis(u64::from(return_ms)),
                };
                self.permit_decided(from, &decision, now, out);
            }
            PeerMessage::PermitReturn {
                number,
                queue,
                reason,
                took_ms,
                load,
            } => {
                let requester = PermitId { node: from, number };
                let outcome = decode_permit_outcome(reason, took_ms, load);
                self.permit_returned(queue, requester, outcome, now, out);
            }
            PeerMessage::Evidence {
                wants_reply,
                alive,
                requests,
            } => {
                let message = EvidenceMessage {
                    requests,
                    alive,
                    wants_reply,
                };
                self.evidence_received(from, message, now, out);
            }
            PeerMessage::LeavingInstances { instances } => {
                self.leaving_received(from, &instances, now, out)
            }
            PeerMessage::RateLimits { limits } => self.limits_received(from, &limits, now, out),
            PeerMessage::TokenRequest {
                number,
                zone,
                limit,
            } => {
                let request = decode_token_request(number, &zone, &limit, now);
                self.token_requested(from, &request, now, out);
            }
            PeerMessage::TokenDecision {
                number,
                instance,
                status,
                wait_ms,
            } => {
                let decision = TokenDecision {
                    number,
                    instance,
                    status: decode_token_status(status, wait_ms),
                };
                self.token_decided(from, &decision, now, out);
            }
            PeerMessage::LimiterProbe { is_reply } => limiter_probed(from, is_reply, out),
            PeerMessage::QuotaReport {
                incarnation,
                counts,
            } => self.quota_reported(from, incarnation, &counts, now),
            PeerMessage::QuotaShares { epoch, shares } => {
                self.shares_received(epoch, &shares, now);
            }
            PeerMessage::ResyncUnavailable { kind, since } => {
                self.changes_unavailable(from, kind, since, now, out);
            }
            PeerMessage::InstancesListed {
                span,
                unconfirmed_ms,
                instances,
            } => {
                let unconfirmed = Duration::from_millis(u64::from(unconfirmed_ms));
                self.directory.defer_removals_until(now + unconfirmed);
                self.instances_listed(span, instances, now, out);
            }
        }
    }

    /// Applies the idle limit of reused connections that another node of the zone has
    /// announced; 0 means no limit.
    fn follow_idle_limit(&mut self, idle_limit_ms: u16, now: Timestamp) {
        if idle_limit_ms > 0 {
            let limit = Duration::from_millis(u64::from(idle_limit_ms));
            self.requests.follow_idle_limit(limit, now);
        }
    }

    /// Announces that this node has given up the coordinator role.
    pub(super) fn announce_resignation(&self, out: &mut Vec<Action>) {
        let epoch = self.ownership.record().epoch;
        self.send_to_all(&[encode(&PeerMessage::CoordinatorResigned { epoch })], out);
    }

    /// Only the first nodes in the order of succession read the record immediately. The others
    /// receive the heartbeats of the successor, or notice that heartbeats are missing.
    fn resignation_announced(&mut self, epoch: u64, now: Timestamp, out: &mut Vec<Action>) {
        let current = epoch >= self.ownership.record().epoch;
        if current && self.campaign_rank() < PROMPT_SUCCESSORS {
            self.store.refresh_ownership(now, out);
        }
    }

    fn record_work_reports(&mut self, reports: &[WorkReport]) {
        let Some(coordinator) = self.coordination.coordinator_mut() else {
            return;
        };
        for report in reports {
            let work = WorkSample {
                answered: u32::from(report.answered),
                busy: Duration::from_millis(u64::from(report.busy_ms)),
            };
            coordinator.record_work(report.instance, work);
        }
    }

    fn record_key_reports(&mut self, reports: &[KeyReport], now: Timestamp) {
        for report in reports {
            let Some(service) = self.service_by_hash(report.service).cloned() else {
                continue;
            };
            if let Some(coordinator) = self.coordination.coordinator_mut() {
                coordinator.record_load(&service, &report.keys, now);
            }
        }
    }
}

/// Converts the work done by owners to report entries.
fn work_reports(owner_work: BTreeMap<InstanceId, WorkSample>) -> List<WorkReport> {
    let report = |(instance, work): (InstanceId, WorkSample)| WorkReport {
        instance: instance.stable_hash(),
        answered: u16::try_from(work.answered).unwrap_or(u16::MAX),
        busy_ms: u32::try_from(work.busy.as_millis()).unwrap_or(u32::MAX),
    };
    List(owner_work.into_iter().take(MAX_WORK).map(report).collect())
}

/// Sends datagrams to one node.
pub(super) fn send(address: SocketAddr, datagrams: &[Datagram], out: &mut Vec<Action>) {
    for datagram in datagrams {
        out.push(Action::Datagram {
            address,
            datagram: datagram.clone(),
        });
    }
}
