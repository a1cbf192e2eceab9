//! Messages between nodes: their dispatch, reports to the coordinator, sending.

use super::Node;
use super::dispatch::{returned, verdict_of};
use super::leaving::AnnouncedLeaving;
use super::open_requests::OpenRequestPace;
use super::quarantine::EvidenceMessage;
use super::rate_limits::{limiter_probed, token_ask, token_verdict};
use super::relay::{RelayState, TakeOver};
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

/// Pause between the coordinator's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between reports of the keys asked for, of a node that may be chosen to pass
/// broadcasts on: its reports show that it lives.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The same of any other node, for each node there is: the coordinator gets as many reports a
/// second whatever the size of the fleet.
const REPORT_PAUSE_A_NODE: Duration = Duration::from_millis(1);
/// The longest such pause; counts of keys stand for the last second.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How many nodes prepare at once to follow a coordinator that has resigned.
const PROMPT_SUCCESSORS: usize = 3;
/// Most keys in one report.
const MAX_KEYS: usize = 400;
/// Most owners in one report.
const MAX_WORK: usize = 30;

/// State of the messages between nodes.
pub(super) struct Gossip {
    next_heartbeat: Timestamp,
    next_report: Timestamp,
    pub(super) relay: RelayState,
    pub(super) open_requests: OpenRequestPace,
    /// Where the last heartbeat of the coordinator came from.
    pub(super) coordinator_address: Option<SocketAddr>,
    /// Which node passed it on, or sent it.
    pub(super) heartbeat_sender: Option<SocketAddr>,
    /// When this node is on its own again, unless it hears of instances.
    pub(super) informed_until: Option<Timestamp>,
    /// The epoch of the coordinator whose view is followed until then.
    pub(super) followed: Option<u64>,
    /// Whether the store serves the coordinator, by its last heartbeat.
    pub(super) serves_coordinator: bool,
    /// When it was last heard.
    pub(super) heard_store_at: Timestamp,
    /// The newest epoch of a heartbeat.
    pub(super) newest_epoch: u64,
    /// Heartbeats of an earlier epoch than the newest that is known.
    pub(super) former_heartbeats: u64,
    /// How long heartbeats are on their way.
    pub(super) delay: DelayEstimate,
    /// Who leaves, by the coordinator's last word.
    pub(super) announced_leaving: AnnouncedLeaving,
}

impl Gossip {
    pub(super) fn new(now: Timestamp) -> Gossip {
        Gossip {
            next_heartbeat: now,
            next_report: now + REPORT_INTERVAL,
            open_requests: OpenRequestPace::new(now),
            coordinator_address: None,
            heartbeat_sender: None,
            relay: RelayState::default(),
            informed_until: None,
            followed: None,
            serves_coordinator: true,
            heard_store_at: now,
            newest_epoch: 0,
            former_heartbeats: 0,
            delay: DelayEstimate::default(),
            announced_leaving: AnnouncedLeaving::default(),
        }
    }

    /// The next heartbeat carries news and is due at once.
    pub(super) fn hasten_heartbeat(&mut self) {
        self.next_heartbeat = Timestamp::ZERO;
    }

    pub(super) fn next_deadline(&self) -> Timestamp {
        let due = self.next_heartbeat.min(self.next_report);
        let others = [self.informed_until, self.relay.next_ask()];
        others.into_iter().flatten().fold(due, Timestamp::min)
    }
}

impl Node {
    /// Sends what is due.
    pub(super) fn gossip(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.gossip.next_heartbeat <= now {
            self.gossip.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.announce_heartbeat(now, out);
            self.announce_leaving(now, out);
            self.announce_limits(now, out);
        }
        if self.gossip.next_report <= now {
            self.gossip.next_report = now + self.report_interval();
            self.report_load(now, out);
            self.report_leaving(now, out);
            self.report_limits(now, out);
        }
        if self.gossip.informed_until.is_some_and(|until| until <= now) {
            self.gossip.informed_until = None;
            self.gossip.followed = None;
            Event::FollowsNobody.emit();
            self.store.set_informed(false, now, out);
        }
        self.review_gaps(now, out);
    }

    fn report_interval(&self) -> Duration {
        let nodes = u32::try_from(self.registry.len()).unwrap_or(u32::MAX);
        match self.may_forward() {
            true => REPORT_INTERVAL,
            false => REPORT_PAUSE_A_NODE
                .saturating_mul(nodes)
                .clamp(REPORT_INTERVAL, MAX_REPORT_INTERVAL),
        }
    }

    /// Sends datagrams to all other nodes, each by itself.
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

    /// Where the coordinator is reached, if this node knows it.
    pub(super) fn coordinator_address(&self) -> Option<SocketAddr> {
        let registered = || {
            let coordinator = self.ownership.record().coordinator.as_ref()?;
            Some(self.registry.get(&coordinator.node)?.address)
        };
        self.gossip.coordinator_address.or_else(registered)
    }

    /// Reports to the coordinator which keys were asked for, and what owners did.
    fn report_load(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let asked = self.requests.take_asked();
        let worked = self.requests.take_worked();
        let nothing = asked.is_empty() && worked.is_empty();
        if nothing && !self.may_forward() {
            return;
        }
        if let Some(coordinator) = self.coordination.coordinator_mut() {
            for (service, keys) in &asked {
                coordinator.record_load(service, keys, now);
            }
            for (instance, work) in worked {
                coordinator.record_work(instance.stable_hash(), work);
            }
            return;
        }
        let Some(address) = self.coordinator_address() else {
            return;
        };
        let reports = asked
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
            work: work_reports(worked),
        });
        send(address, &[report], out);
    }

    /// A message of another node.
    pub(super) fn datagram(
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
            log::warn!(target: "peers", "datagram from {from}: numbers out of bounds");
            return;
        }
        self.succession.heard(from);
        self.message(from, message, now, out);
    }

    fn message(
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
            } => self.forwarded(from, origin, to_zone, message, now, out),
            PeerMessage::InstancesChanged {
                span,
                unconfirmed_ms,
                changes,
            } => {
                let unconfirmed = Duration::from_millis(u64::from(unconfirmed_ms));
                self.directory.doubt_removals_until(now + unconfirmed);
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
                let take_over = TakeOver {
                    base,
                    revision,
                    coordinator,
                    first_fence,
                    digest,
                };
                self.heard_take_over(take_over, now, out);
            }
            PeerMessage::OwnershipChanged { span, changes } => {
                self.ownership_announced(span, changes, now, out);
            }
            PeerMessage::ResyncRequest { kind, since } => {
                self.changes_requested(from, kind, since, now, out);
            }
            PeerMessage::CoordinatorResigned { epoch } => self.heard_resignation(epoch, now, out),
            PeerMessage::LoadReport {
                configuration_version,
                nodes_revision,
                reports,
                work,
            } => {
                self.zone_relays.heard(from, nodes_revision, now);
                self.heard_configuration(configuration_version, now, out);
                self.record_key_reports(&reports, now);
                self.record_work_reports(&work);
            }
            PeerMessage::OpenRequestCounts {
                incarnation,
                rest_limit_ms,
                changes,
            } => {
                self.follow_rest_limit(rest_limit_ms, now);
                if self.has_hub(self.zone_peers().count()) {
                    self.load_hub.reported_by(from, now);
                }
                self.shared
                    .record_node_counts(from, incarnation, &changes, now);
                self.reconsider_waiting(now, out);
            }
            PeerMessage::LoadDigest {
                zones,
                rest_limit_ms,
                entries,
            } => {
                self.follow_rest_limit(rest_limit_ms, now);
                self.digest_received(from, zones, &entries, now, out);
            }
            PeerMessage::ZoneSums { sums } => self.shared.record_zone_sums(from, &sums, now),
            PeerMessage::PermitAsk(ask) => self.permit_asked(from, &ask, now, out),
            PeerMessage::PermitDecision {
                number,
                queue,
                verdict,
                server,
                return_ms,
            } => {
                let decision = PermitDecision {
                    number,
                    queue,
                    verdict: verdict_of(verdict, server),
                    return_after: Duration::from_millis(u64::from(return_ms)),
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
                let asker = PermitId { node: from, number };
                let how = returned(reason, took_ms, load);
                self.permit_returned(queue, asker, how, now, out);
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
            PeerMessage::TokenAsk {
                number,
                zone,
                limit,
            } => {
                let ask = token_ask(number, &zone, &limit, now);
                self.token_asked(from, &ask, now, out);
            }
            PeerMessage::TokenDecision {
                number,
                instance,
                verdict,
                wait_ms,
            } => {
                let decision = TokenDecision {
                    number,
                    instance,
                    verdict: token_verdict(verdict, wait_ms),
                };
                self.token_decided(from, &decision, now, out);
            }
            PeerMessage::LimiterProbe { is_reply } => limiter_probed(from, is_reply, out),
            PeerMessage::InstancesListed {
                span,
                unconfirmed_ms,
                instances,
            } => {
                let unconfirmed = Duration::from_millis(u64::from(unconfirmed_ms));
                self.directory.doubt_removals_until(now + unconfirmed);
                self.instances_listed(span, instances, now, out);
            }
        }
    }

    /// Another node of the zone limits the rest of kept connections; 0 for no limit.
    fn follow_rest_limit(&mut self, rest_limit_ms: u16, now: Timestamp) {
        if rest_limit_ms > 0 {
            let limit = Duration::from_millis(u64::from(rest_limit_ms));
            self.requests.follow_rest_limit(limit, now);
        }
    }

    /// Announces that this node has left the coordinator's place.
    pub(super) fn announce_resignation(&self, out: &mut Vec<Action>) {
        let epoch = self.ownership.record().epoch;
        self.send_to_all(&[encode(&PeerMessage::CoordinatorResigned { epoch })], out);
    }

    /// Only those that come first as successors read the record at once. The
    /// others hear from the successor, or miss the coordinator's heartbeats.
    fn heard_resignation(&mut self, epoch: u64, now: Timestamp, out: &mut Vec<Action>) {
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

/// What owners did, in the form of a report.
fn work_reports(worked: BTreeMap<InstanceId, WorkSample>) -> List<WorkReport> {
    let report = |(instance, work): (InstanceId, WorkSample)| WorkReport {
        instance: instance.stable_hash(),
        answered: u16::try_from(work.answered).unwrap_or(u16::MAX),
        busy_ms: u32::try_from(work.busy.as_millis()).unwrap_or(u32::MAX),
    };
    List(worked.into_iter().take(MAX_WORK).map(report).collect())
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
