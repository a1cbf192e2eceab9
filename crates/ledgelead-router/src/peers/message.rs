//! Messages between nodes.

use super::configuration::{ConfigurationChange, LimitsEntry};
use super::evidence::{AgedEntry, RequestEntry};
use super::shared_load::SpeedSample;
use crate::evacuation::EvacuationsEntry;
use crate::requests::OverloadedKey;
use ledgelead_types::codec::{self, Bytes, DecodeError, List, Text};
use nanoserde::{DeBin, SerBin};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a received datagram, in bytes. It fits an Ethernet frame, and leaves room
/// for a message of 1,400 bytes that another node relays.
const MAX_BYTES: usize = 1_440;

/// Keys of the requests that a node has received since its last report.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct KeyReport {
    /// Stable hash of the service's name.
    pub service: u64,
    /// One key per request.
    pub keys: List<u16>,
}

/// The work of an owner for a node's requests since the node's last report.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct WorkReport {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// Number of answered requests.
    pub answered: u16,
    /// Total time that requests spent at the owner, in milliseconds.
    pub busy_ms: u32,
}

/// Number of one node's open requests at one instance, and the instance's speed as measured by
/// the requests answered since the last message.
#[derive(Clone, Copy, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct OpenRequests {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// Number of open requests.
    pub count: u16,
    /// Number of answered requests.
    pub answered: u8,
    /// Total service time of the answered requests, in milliseconds.
    pub busy_ms: u32,
    /// Current service time, in percent of the usual time; 0 if unknown.
    pub slowness: u16,
}

impl OpenRequests {
    /// The measured speed of the instance.
    pub fn speed(&self) -> SpeedSample {
        SpeedSample {
            answered: u32::from(self.answered),
            busy: Duration::from_millis(u64::from(self.busy_ms)),
            slowness: Some(self.slowness).filter(|slowness| *slowness > 0),
        }
    }
}

/// Number of a zone's open requests at one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct ZoneSum {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// Number of open requests.
    pub open: u16,
}

/// What a load hub knows of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct DigestEntry {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// Number of open requests.
    pub open: u16,
    /// Service time of one request, in milliseconds; 0 if unknown.
    pub service_ms: u16,
    /// Current service time, in percent of the usual time; 0 if unknown.
    pub slowness: u16,
}

/// A range of keys with a new owner.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ChangedAssignment {
    /// Stable hash of the service's name.
    pub service: u64,
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The owner.
    pub owner: Text,
    /// The fencing token.
    pub fence: u64,
}

/// Identifies one part of a list of changes from the store. Each object occurs in one part
/// only, so that parts may arrive in any order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ChangeSpan {
    /// The store's revision after which the changes begin.
    pub base: u64,
    /// The revision of the last change.
    pub revision: u64,
    /// The index of this part, from 0.
    pub part: u8,
    /// The number of parts.
    pub parts: u8,
}

impl ChangeSpan {
    /// Whether both are parts of the same list.
    pub fn is_same_list(self, other: ChangeSpan) -> bool {
        (self.base, self.revision, self.parts) == (other.base, other.revision, other.parts)
    }
}

/// A node's request for a permit from a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PermitRequestEntry {
    /// The number that the node gave the request.
    pub number: u64,
    /// Identifies the queue.
    pub queue: u64,
    /// Whether the queue is shared by the instances of the receiver's zone, instead of
    /// belonging to one owner.
    pub is_pool: bool,
    /// Stable hash of the service's name.
    pub service: u64,
    /// Priority of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Milliseconds until the request's latency target is missed.
    pub to_target_ms: u16,
    /// Milliseconds until the request times out.
    pub remaining_ms: u16,
    /// Hash that is the same for all submissions of a caller's request.
    pub caller: u64,
    /// Whether the state of its key was lost with the previous owner, so that the request
    /// takes longer.
    pub is_cold: bool,
    /// Stable hash of the instance at which the request has failed; 0 if none.
    pub failed_instance: u64,
}

/// A dispatcher's decision about a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum PermitStatus {
    /// The request may be sent.
    Granted,
    /// The request is queued.
    Queued,
    /// The request cannot be answered in time.
    Refused,
    /// The node is shutting down and grants no permits any more.
    ShuttingDown,
    /// The receiver does not know the queue.
    UnknownQueue,
}

/// The rate limit that an instance has announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RateLimitEntry {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// The limit in thousandths of a request a second; none if the instance has withdrawn it.
    pub millis_per_s: Option<u32>,
    /// How long ago the instance announced this, in milliseconds.
    pub age_ms: u32,
}

/// A node's requests of a tenant, for its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct QuotaCountsEntry {
    /// Stable hash of the tenant's name.
    pub tenant: u64,
    /// Requests that arrived since the start of the node, wrapping around.
    pub arrived: u32,
    /// Requests that were admitted since the start of the node, wrapping around.
    pub admitted: u32,
    /// Requests that arrived since the last report.
    pub recent_arrived: u32,
    /// Requests that were admitted since the last report.
    pub recent_admitted: u32,
}

/// The share of a tenant's requests that each node admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct QuotaShareEntry {
    /// Stable hash of the tenant's name.
    pub tenant: u64,
    /// The share now; `u16::MAX` is all.
    pub current: u16,
    /// The share without a coordinator; `u16::MAX` is all.
    pub steady: u16,
}

/// A limiter's decision about a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum TokenStatusEntry {
    /// One request may be sent.
    Granted,
    /// No token is available now.
    Refused,
    /// The instance has withdrawn its limit.
    Unlimited,
}

/// How the request ended whose permit is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum PermitReturnReason {
    /// The instance answered.
    Answered,
    /// Says nothing about the instance: not run, never sent, or the caller disconnected.
    NoSample,
    /// Counts as a failure of the instance: cancelled, answer lost, or an answer that reports
    /// a failure.
    Failed,
    /// The instance rejected the request and requested a pause from this node.
    BackedOff,
}

/// Kinds of objects whose changes in the store a coordinator relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum RelayedKind {
    /// Instances.
    Instances,
    /// Registrations of nodes.
    Nodes,
    /// The ownership record.
    Ownership,
    /// The configuration; versions serve as its revisions.
    Configuration,
}

/// An instance whose entry has changed.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ChangedInstance {
    /// The id of this incarnation; only the instance's name if its entry was deleted.
    pub id: Text,
    /// What the instance registered; none if its entry was deleted.
    pub entry: Option<InstanceEntry>,
}

/// What an instance registered.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct InstanceEntry {
    /// Its service.
    pub service: Text,
    /// Where it can be reached, as text.
    pub address: Text,
    /// Its zone.
    pub zone: Text,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Remaining warm-up time, in milliseconds.
    pub warmup_left_ms: u32,
}

/// A node whose registration has changed.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ChangedNode {
    /// The node.
    pub node: Text,
    /// What it registered; none if its registration was deleted.
    pub entry: Option<NodeEntry>,
}

/// What a node registered.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct NodeEntry {
    /// Its incarnation.
    pub incarnation: u64,
    /// Its zone.
    pub zone: Text,
    /// Where other nodes can reach it, as text.
    pub address: Text,
    /// Its CPU limit, in thousandths of a core.
    pub millicores: u32,
    /// The store's revision of the registration.
    pub revision: u64,
}

/// The IPv4 address of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PeerAddress {
    /// The address as a number.
    pub ip: u32,
    /// The port.
    pub port: u16,
}

impl PeerAddress {
    /// Encodes an address; none unless it is IPv4.
    pub fn new(address: SocketAddr) -> Option<PeerAddress> {
        match address {
            SocketAddr::V4(address) => Some(PeerAddress {
                ip: u32::from(*address.ip()),
                port: address.port(),
            }),
            SocketAddr::V6(_) => None,
        }
    }

    /// The decoded address.
    pub fn socket(self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::from(self.ip), self.port))
    }
}

/// State that the coordinator announces in each heartbeat.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Heartbeat {
    /// The coordinator's epoch.
    pub epoch: u64,
    /// When it was sent, in milliseconds of the coordinator's own clock.
    pub sent_ms: u64,
    /// Whether the store serves it.
    pub store_serves: bool,
    /// The store's revision of the newest ownership record.
    pub record_revision: u64,
    /// The version of its current configuration.
    pub configuration_version: u64,
    /// The store's revision of the last change of the instances that it has read.
    pub instances_revision: u64,
    /// The store's revision of the last change of the nodes that it has read.
    pub nodes_revision: u64,
    /// Age of its view of the instances or of its configuration, whichever is older, in
    /// milliseconds.
    pub age_ms: u16,
    /// Age of its view of the instances, in milliseconds.
    pub instances_age_ms: u16,
    /// How long the store has served all of its calls, in milliseconds, saturating.
    pub served_for_ms: u16,
    /// Keys with more requests than their owners can process.
    pub overloads: List<OverloadedKey>,
    /// Zones that the operator has evacuated.
    pub evacuations: EvacuationsEntry,
    /// Checksum of its evidence about requests that crash instances.
    pub evidence_checksum: u64,
}

/// A message between nodes, sent as one datagram.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum PeerMessage {
    /// The coordinator is alive.
    CoordinatorHeartbeat(Heartbeat),
    /// A message of the coordinator to all nodes of a zone. One node of the zone receives it
    /// and relays it to the others, since traffic between zones is expensive.
    Forwarded {
        /// The coordinator's address.
        origin: PeerAddress,
        /// Whether the receiver has to relay it to its zone.
        to_zone: bool,
        /// The encoded message.
        message: Bytes,
    },
    /// Changed instances, as read from the store by the coordinator.
    InstancesChanged {
        /// Identifies the changes.
        span: ChangeSpan,
        /// How much longer deleted entries may reappear, in milliseconds, because the store
        /// was unavailable.
        unconfirmed_ms: u16,
        /// The instances after the last change.
        changes: List<ChangedInstance>,
    },
    /// Changed node registrations, as read from the store by the coordinator.
    NodesChanged {
        /// Identifies the changes.
        span: ChangeSpan,
        /// The nodes after the last change.
        changes: List<ChangedNode>,
    },
    /// A version of the configuration, as the difference from an earlier one.
    ConfigurationChanged {
        /// From which version to which.
        span: ChangeSpan,
        /// The limits of the new version.
        limits: LimitsEntry,
        /// The changed entries.
        changes: List<ConfigurationChange>,
    },
    /// Requests changes that the sender has missed; sent to the coordinator.
    ResyncRequest {
        /// The kind of the missed changes.
        kind: RelayedKind,
        /// The last revision before the missed changes.
        since: u64,
    },
    /// A node has become the coordinator. Each assignment has a new fencing token, numbered in
    /// the order of the record.
    CoordinatorTookOver {
        /// The revision of the record before the takeover.
        base: u64,
        /// The revision of the record after the takeover.
        revision: u64,
        /// The new coordinator.
        node: Text,
        /// Its incarnation.
        incarnation: u64,
        /// The fencing token of the first assignment.
        first_fence: u64,
        /// Digest of the record after the takeover.
        digest: u64,
    },
    /// The coordinator has written a new version of the ownership record.
    OwnershipChanged {
        /// Identifies the changes.
        span: ChangeSpan,
        /// New assignments.
        changes: List<ChangedAssignment>,
    },
    /// The coordinator has resigned, and the ownership record already states it.
    CoordinatorResigned {
        /// The resigned coordinator's epoch.
        epoch: u64,
    },
    /// Keys of received requests; sent to the coordinator.
    LoadReport {
        /// The version of the sender's current configuration.
        configuration_version: u64,
        /// The store's revision of the nodes that the sender knows; 0 before it has listed
        /// them.
        nodes_revision: u64,
        /// Requested keys, by service.
        reports: List<KeyReport>,
        /// Work done, by owner.
        work: List<WorkReport>,
    },
    /// Number of open requests by instance; sent within a zone.
    OpenRequestCounts {
        /// The sender's incarnation; counts of an earlier one are discarded.
        incarnation: u64,
        /// The longest idle time after which the sender reuses a connection, in milliseconds; 0
        /// without a limit.
        idle_limit_ms: u16,
        /// The changed counts.
        changes: List<OpenRequests>,
    },
    /// The load of the instances as known to a zone's load hub; sent to the nodes of the zone.
    LoadDigest {
        /// The number of zones whose open requests are included.
        zones: u8,
        /// The longest idle time after which a connection may be reused, in milliseconds; 0
        /// without a limit.
        idle_limit_ms: u16,
        /// The changed entries; at intervals all of them.
        entries: List<DigestEntry>,
    },
    /// Number of open requests of a zone's nodes; sent to the load hubs of other zones.
    ZoneSums {
        /// The changed sums; at intervals all sums above 0.
        sums: List<ZoneSum>,
    },
    /// Requests a permit from the dispatcher of a queue.
    PermitRequest(PermitRequestEntry),
    /// A dispatcher's answer to a `PermitRequest`.
    PermitDecision {
        /// The number of the `PermitRequest`.
        number: u64,
        /// Identifies the queue.
        queue: u64,
        /// The decision.
        status: PermitStatus,
        /// Stable hash of the instance to which the request may be sent, if granted.
        server: u64,
        /// When the caller may try again, in milliseconds, if refused.
        return_ms: u16,
    },
    /// Returns a permit, or withdraws a queued request.
    PermitReturn {
        /// The number of the `PermitRequest`.
        number: u64,
        /// Identifies the queue.
        queue: u64,
        /// How the request ended.
        reason: PermitReturnReason,
        /// Time from the request to its answer, in milliseconds, if it was answered; the
        /// requested pause, if there is one.
        took_ms: u16,
        /// Numbers of running and of waiting requests that the instance reported in its
        /// answer.
        load: Option<(u8, u8)>,
    },
    /// Evidence about requests during which instances ended.
    Evidence {
        /// Whether the receiver should reply with its own evidence.
        wants_reply: bool,
        /// Instances that are alive although they were reported as ended.
        alive: List<AgedEntry>,
        /// The evidence, by request.
        requests: List<RequestEntry>,
    },
    /// Instances that have announced in answers that they are leaving, while their entries do
    /// not say so yet. Sent to the coordinator, which sends them to all nodes.
    LeavingInstances {
        /// The instances, and how long ago each first announced it.
        instances: List<AgedEntry>,
    },
    /// Rate limits that instances have announced or withdrawn. Sent to the coordinator, which
    /// sends them to all nodes.
    RateLimits {
        /// The limits.
        limits: List<RateLimitEntry>,
    },
    /// Requests a token from a limiter of an instance.
    TokenRequest {
        /// The number that the sender gave this message.
        number: u64,
        /// The zone of the instance.
        zone: Text,
        /// The limit that the sender knows.
        limit: RateLimitEntry,
    },
    /// A limiter's answer to a `TokenRequest`.
    TokenDecision {
        /// The number of the `TokenRequest`.
        number: u64,
        /// Stable hash of the instance's id.
        instance: u64,
        /// The decision.
        status: TokenStatusEntry,
        /// How long the sender gets no token, in milliseconds, if refused.
        wait_ms: u16,
    },
    /// Checks whether the primary limiter is alive; sent by the secondary one that is asked in
    /// its place.
    LimiterProbe {
        /// Whether this is the reply.
        is_reply: bool,
    },
    /// All instances; sent to a node that misses changes which are no longer in the log.
    InstancesListed {
        /// From revision 0 to that of the last change.
        span: ChangeSpan,
        /// How much longer deleted entries may reappear, in milliseconds.
        unconfirmed_ms: u16,
        /// The instances.
        instances: List<ChangedInstance>,
    },
    /// A node's requests of tenants with a quota; sent to the coordinator.
    QuotaReport {
        /// The sender's incarnation; counts of an earlier one are discarded.
        incarnation: u64,
        /// The counts of the tenants with requests since the last report.
        counts: List<QuotaCountsEntry>,
    },
    /// The shares of tenants that exceed their quota; sent by the coordinator to all nodes.
    QuotaShares {
        /// The coordinator's epoch.
        epoch: u64,
        /// The shares.
        shares: List<QuotaShareEntry>,
    },
    /// Asks which version of the ownership record the receiver acts on; sent by the
    /// coordinator. Nodes with an earlier version don't answer.
    OwnershipAckRequest {
        /// The record's revision.
        revision: u64,
    },
    /// The answer, also sent by a node that has nothing to report: the sender acts on this
    /// version of the ownership record, and has no request in flight to an owner that only an
    /// earlier one names.
    OwnershipAck {
        /// The record's revision.
        revision: u64,
    },
    /// The coordinator's answer to a `ResyncRequest` for changes that it can't send in
    /// datagrams.
    ResyncUnavailable {
        /// The kind of objects.
        kind: RelayedKind,
        /// The revision of the request.
        since: u64,
    },
}

impl PeerMessage {
    /// The name of the message kind in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::CoordinatorHeartbeat(_) => "heartbeat",
            PeerMessage::Forwarded { .. } => "forwarded",
            PeerMessage::InstancesChanged { .. } => "instances",
            PeerMessage::NodesChanged { .. } => "nodes",
            PeerMessage::ConfigurationChanged { .. } => "configuration",
            PeerMessage::ResyncRequest { .. } => "resync_request",
            PeerMessage::CoordinatorTookOver { .. } => "take_over",
            PeerMessage::OwnershipChanged { .. } => "ownership",
            PeerMessage::CoordinatorResigned { .. } => "resignation",
            PeerMessage::LoadReport { .. } => "load_report",
            PeerMessage::OpenRequestCounts { .. } => "open_requests",
            PeerMessage::LoadDigest { .. } => "load_digest",
            PeerMessage::ZoneSums { .. } => "zone_sums",
            PeerMessage::PermitRequest(_) => "permit_ask",
            PeerMessage::PermitDecision { .. } => "permit_decision",
            PeerMessage::PermitReturn { .. } => "permit_return",
            PeerMessage::LeavingInstances { .. } => "leaving",
            PeerMessage::RateLimits { .. } => "rate_limits",
            PeerMessage::TokenRequest { .. } => "token_ask",
            PeerMessage::TokenDecision { .. } => "token_decision",
            PeerMessage::LimiterProbe { .. } => "limiter_probe",
            PeerMessage::Evidence { .. } => "evidence",
            PeerMessage::InstancesListed { .. } => "instances_list",
            PeerMessage::QuotaReport { .. } => "quota_report",
            PeerMessage::QuotaShares { .. } => "quota_shares",
            PeerMessage::OwnershipAckRequest { .. } => "ownership_ack_request",
            PeerMessage::OwnershipAck { .. } => "ownership_ack",
            PeerMessage::ResyncUnavailable { .. } => "resync_unavailable",
        }
    }
}

/// An encoded message. Clones share the bytes, since most messages have many receivers.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// The kind of the message, for metrics.
    pub kind: &'static str,
    /// The encoded message.
    pub bytes: Arc<[u8]>,
}

/// Encodes a message.
pub fn encode(message: &PeerMessage) -> Datagram {
    Datagram {
        kind: message.kind(),
        bytes: codec::encode(message).into(),
    }
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid message.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage, DecodeError> {
    if bytes.len() > MAX_BYTES {
        return Err(DecodeError::Malformed);
    }
    codec::decode(bytes)
}
