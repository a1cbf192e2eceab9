//! What nodes send each other.

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

/// Longest datagram that is read, in bytes: what fits an Ethernet frame, with a
/// message of 1,400 bytes that another node passes on.
const MAX_BYTES: usize = 1_440;

/// Requests for keys that a node has seen since its last report.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct KeyReport {
    /// Stable hash of the service's name.
    pub service: u64,
    /// One entry a request.
    pub keys: List<u16>,
}

/// What an owner did for a node's requests since its last report.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct WorkReport {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// Requests that it answered.
    pub answered: u16,
    /// Time that requests spent there, in milliseconds.
    pub busy_ms: u32,
}

/// Requests of one node that are open at one instance, and what those that it has
/// answered since the last message show of its speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct OpenRequests {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// How many.
    pub count: u16,
    /// Requests that it answered.
    pub answered: u8,
    /// Time of work for them, in milliseconds.
    pub busy_ms: u32,
    /// How long work takes there now, in percent of the usual time; 0 if unknown.
    pub slowness: u16,
}

impl OpenRequests {
    /// What it shows of the instance's speed.
    pub fn speed(&self) -> SpeedSample {
        SpeedSample {
            answered: u32::from(self.answered),
            busy: Duration::from_millis(u64::from(self.busy_ms)),
            slowness: Some(self.slowness).filter(|slowness| *slowness > 0),
        }
    }
}

/// Requests that a zone's nodes have open at one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct ZoneSum {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// How many.
    pub open: u16,
}

/// What a hub knows of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct DigestEntry {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// Requests that are open there.
    pub open: u16,
    /// Time of work for one request, in milliseconds; 0 if unknown.
    pub service_ms: u16,
    /// How long work takes there now, in percent of the usual time; 0 if unknown.
    pub slowness: u16,
}

/// A range of keys that has changed its owner.
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

/// Which of the store's changes a datagram tells, together with other parts of
/// the same list. An object stands in one part only, so that parts may arrive
/// in any order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ChangeSpan {
    /// The store's revision after which the changes begin.
    pub base: u64,
    /// The revision of the last of them.
    pub revision: u64,
    /// The number of this part, from 0.
    pub part: u8,
    /// How many parts there are.
    pub parts: u8,
}

impl ChangeSpan {
    /// Whether both are parts of the same list.
    pub fn is_same_list(self, other: ChangeSpan) -> bool {
        (self.base, self.revision, self.parts) == (other.base, other.revision, other.parts)
    }
}

/// What a node asks a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PermitAskEntry {
    /// The node's number for its request.
    pub number: u64,
    /// Names the queue.
    pub queue: u64,
    /// Whether it is the queue of the instances of the receiver's zone, not of an owner.
    pub is_pool: bool,
    /// Stable hash of the service's name.
    pub service: u64,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Milliseconds until an answer is late.
    pub to_target_ms: u16,
    /// Milliseconds until the request ends in any case.
    pub remaining_ms: u16,
    /// Hash of what makes the tries of a caller's request the same.
    pub caller: u64,
    /// Whether its key was lost with its owner, so that it takes longer.
    pub is_cold: bool,
    /// Stable hash of the instance that has failed the request; 0 if none has.
    pub failed_instance: u64,
}

/// What a dispatcher decides on an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum PermitVerdict {
    /// The request may be sent.
    Granted,
    /// It waits.
    Queued,
    /// It can't be in time.
    Refused,
    /// The node stops, and hands out no permits any more.
    ShuttingDown,
    /// The node doesn't know the queue.
    UnknownQueue,
}

/// A rate limit that an instance names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RateLimitEntry {
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// The limit in thousandths of a request a second; none if it names none any more.
    pub millis_per_s: Option<u32>,
    /// How long ago the instance said so, in milliseconds.
    pub age_ms: u32,
}

/// What a limiter decides on an ask for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum TokenVerdictEntry {
    /// One request may be sent.
    Granted,
    /// There is none now.
    Refused,
    /// The instance names no limit any more.
    Unlimited,
}

/// How a request ended whose permit comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum PermitReturnReason {
    /// The instance answered.
    Answered,
    /// It says nothing of the instance: not run, never sent, or its caller left.
    NoSample,
    /// It counts as a failure of the instance: broken off, its answer lost, or one that says so.
    Failed,
    /// The instance turned it away, and wants no requests of this node for a time.
    BackedOff,
}

/// What a coordinator passes on from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum RelayedKind {
    /// Instances.
    Instances,
    /// Registrations of nodes.
    Nodes,
    /// The record of ownership.
    Ownership,
    /// The configuration; its revisions are its versions.
    Configuration,
}

/// An instance whose entry has changed.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ChangedInstance {
    /// This life of the instance; its name alone if its entry is gone.
    pub id: Text,
    /// What it registered; nothing if its entry is gone.
    pub entry: Option<InstanceEntry>,
}

/// What an instance registered.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct InstanceEntry {
    /// Its service.
    pub service: Text,
    /// Where it is reached, as text.
    pub address: Text,
    /// Its zone.
    pub zone: Text,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it stays slow, in milliseconds.
    pub warmup_left_ms: u32,
}

/// A node whose registration has changed.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ChangedNode {
    /// The node.
    pub node: Text,
    /// What it registered; nothing if its registration is gone.
    pub entry: Option<NodeEntry>,
}

/// What a node registered.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct NodeEntry {
    /// Its life.
    pub incarnation: u64,
    /// Its zone.
    pub zone: Text,
    /// Where other nodes reach it, as text.
    pub address: Text,
    /// What it may use of a core, in thousandths.
    pub millicores: u32,
    /// The store's revision of the registration.
    pub revision: u64,
}

/// Where a node is reached by others, over IPv4.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PeerAddress {
    /// The address as a number.
    pub ip: u32,
    /// The port.
    pub port: u16,
}

impl PeerAddress {
    /// The address on the wire; none for one that is not IPv4.
    pub fn new(address: SocketAddr) -> Option<PeerAddress> {
        match address {
            SocketAddr::V4(address) => Some(PeerAddress {
                ip: u32::from(*address.ip()),
                port: address.port(),
            }),
            SocketAddr::V6(_) => None,
        }
    }

    /// The address of the socket.
    pub fn socket(self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::from(self.ip), self.port))
    }
}

/// What the coordinator says each heartbeat.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Heartbeat {
    /// Its epoch.
    pub epoch: u64,
    /// When it was sent, in milliseconds of the coordinator's own clock.
    pub sent_ms: u64,
    /// Whether the store serves it.
    pub store_serves: bool,
    /// The store's revision of the newest record.
    pub record_revision: u64,
    /// The version of the configuration that it has in force.
    pub configuration_version: u64,
    /// The store's revision by which it last read a change of who may get work.
    pub instances_revision: u64,
    /// The store's revision by which it last read a change of the nodes.
    pub nodes_revision: u64,
    /// How long ago the store told it of instances, or how long ago its configuration was
    /// the store's, the longer of both, in milliseconds.
    pub age_ms: u16,
    /// How long ago its view of the instances was the store's, in milliseconds.
    pub instances_age_ms: u16,
    /// For how long the store has served all of its calls, in milliseconds; the
    /// most that fits if longer.
    pub served_for_ms: u16,
    /// Keys that are asked for more often than their owners can work.
    pub overloads: List<OverloadedKey>,
    /// Zones that the operator has emptied.
    pub evacuations: EvacuationsEntry,
    /// Checksum of what it knows of requests that crash instances.
    pub evidence_checksum: u64,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum PeerMessage {
    /// The coordinator lives.
    CoordinatorHeartbeat(Heartbeat),
    /// A message of the coordinator to all nodes of a zone. One node of the zone
    /// gets it and passes it on, since bytes between zones are dear.
    Forwarded {
        /// Where the coordinator is reached.
        origin: PeerAddress,
        /// Whether the receiver is to pass it on.
        to_zone: bool,
        /// The encoded message.
        message: Bytes,
    },
    /// The store told the coordinator of changed instances.
    InstancesChanged {
        /// Which changes.
        span: ChangeSpan,
        /// How much longer entries that are gone may come back, in milliseconds:
        /// the store was away.
        unconfirmed_ms: u16,
        /// The instances as they are after the last change.
        changes: List<ChangedInstance>,
    },
    /// The store told the coordinator of changed registrations of nodes.
    NodesChanged {
        /// Which changes.
        span: ChangeSpan,
        /// The nodes as they are after the last change.
        changes: List<ChangedNode>,
    },
    /// A version of the configuration, as what it changes of an earlier one.
    ConfigurationChanged {
        /// From which version to which.
        span: ChangeSpan,
        /// The limits of the new version.
        limits: LimitsEntry,
        /// The entries that the new version changes.
        changes: List<ConfigurationChange>,
    },
    /// The sender has missed changes; sent to the coordinator.
    ResyncRequest {
        /// Changes of what.
        kind: RelayedKind,
        /// The revision up to which the sender knows all of them.
        since: u64,
    },
    /// A node has taken the coordinator's place: each assignment has a new
    /// token, counted from the first in the order of the record.
    CoordinatorTookOver {
        /// The revision before.
        base: u64,
        /// The revision now.
        revision: u64,
        /// The coordinator.
        node: Text,
        /// Its life.
        incarnation: u64,
        /// The token of the first assignment.
        first_fence: u64,
        /// Digest of the record as it is now.
        digest: u64,
    },
    /// The record has been written anew by the coordinator.
    OwnershipChanged {
        /// Which changes.
        span: ChangeSpan,
        /// Assignments that are new.
        changes: List<ChangedAssignment>,
    },
    /// The coordinator has left its place; the record says so as well.
    CoordinatorResigned {
        /// Its epoch.
        epoch: u64,
    },
    /// Keys asked for; sent to the coordinator.
    LoadReport {
        /// The version of the configuration that the sender has in force.
        configuration_version: u64,
        /// The store's revision by which the sender knows the nodes; 0 before
        /// it has listed them.
        nodes_revision: u64,
        /// By service.
        reports: List<KeyReport>,
        /// By owner.
        work: List<WorkReport>,
    },
    /// Open requests by instance; sent within a zone.
    OpenRequestCounts {
        /// The sender's life; counts of an earlier one are void.
        incarnation: u64,
        /// How long the sender lets kept connections rest, in milliseconds; 0
        /// without a limit.
        rest_limit_ms: u16,
        /// Those that changed.
        changes: List<OpenRequests>,
    },
    /// The load of instances as a zone's hub knows it; sent to the zone's nodes.
    LoadDigest {
        /// Of how many zones the requests are counted.
        zones: u8,
        /// How long kept connections may rest, in milliseconds; 0 without a limit.
        rest_limit_ms: u16,
        /// Those that changed, and now and then all.
        entries: List<DigestEntry>,
    },
    /// Open requests of a zone's nodes; sent to the hubs of other zones.
    ZoneSums {
        /// Those that changed, and now and then all that are open.
        sums: List<ZoneSum>,
    },
    /// Asks the dispatcher of a queue for a permit.
    PermitAsk(PermitAskEntry),
    /// A dispatcher's answer to such an ask.
    PermitDecision {
        /// The number of the ask.
        number: u64,
        /// Names the queue.
        queue: u64,
        /// What becomes of it.
        verdict: PermitVerdict,
        /// Stable hash of the instance that it may be sent to, if it is granted.
        server: u64,
        /// When the caller may come back, in milliseconds, if it is refused.
        return_ms: u16,
    },
    /// A permit comes back, or a request waits for it no longer.
    PermitReturn {
        /// The number of the ask.
        number: u64,
        /// Names the queue.
        queue: u64,
        /// How the request ended.
        reason: PermitReturnReason,
        /// Time from the request to its answer in milliseconds, if there was one; for which
        /// the instance wants no requests, if it says so.
        took_ms: u16,
        /// Requests that ran and waited at the instance then, by its own word.
        load: Option<(u8, u8)>,
    },
    /// Facts about requests under which instances ended.
    Evidence {
        /// Whether the receiver is to send what it knows.
        wants_reply: bool,
        /// Instances that were said to have ended and live.
        alive: List<AgedEntry>,
        /// What is known of requests.
        requests: List<RequestEntry>,
    },
    /// Instances that have said in answers that they leave, and whose entries don't say so
    /// yet; sent to the coordinator, and by it to all nodes.
    LeavingInstances {
        /// The instances, and how long ago each said so first.
        instances: List<AgedEntry>,
    },
    /// Rate limits that instances name, or have ceased to; sent to the coordinator, and by it
    /// to all nodes.
    RateLimits {
        /// The limits.
        limits: List<RateLimitEntry>,
    },
    /// Asks a limiter of an instance for a token.
    TokenAsk {
        /// The sender's number for it.
        number: u64,
        /// The zone of the instance.
        zone: Text,
        /// What the sender knows of the limit.
        limit: RateLimitEntry,
    },
    /// A limiter's answer to such an ask.
    TokenDecision {
        /// The number of the ask.
        number: u64,
        /// Stable hash of the instance's id.
        instance: u64,
        /// What becomes of it.
        verdict: TokenVerdictEntry,
        /// Time for which there is no token for the sender, in milliseconds, if it is refused.
        wait_ms: u16,
    },
    /// Asks a limiter whether it lives; sent by the one that is asked in its place.
    LimiterProbe {
        /// Whether this is the answer.
        is_reply: bool,
    },
    /// All instances; sent to a node that lacks changes which no log reaches back to.
    InstancesListed {
        /// From revision 0 to that of the last change.
        span: ChangeSpan,
        /// How much longer entries that are gone may come back, in milliseconds.
        unconfirmed_ms: u16,
        /// The instances.
        instances: List<ChangedInstance>,
    },
}

impl PeerMessage {
    /// The name of the message's kind in metrics.
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
            PeerMessage::PermitAsk(_) => "permit_ask",
            PeerMessage::PermitDecision { .. } => "permit_decision",
            PeerMessage::PermitReturn { .. } => "permit_return",
            PeerMessage::LeavingInstances { .. } => "leaving",
            PeerMessage::RateLimits { .. } => "rate_limits",
            PeerMessage::TokenAsk { .. } => "token_ask",
            PeerMessage::TokenDecision { .. } => "token_decision",
            PeerMessage::LimiterProbe { .. } => "limiter_probe",
            PeerMessage::Evidence { .. } => "evidence",
            PeerMessage::InstancesListed { .. } => "instances_list",
        }
    }
}

/// An encoded message. Clones share the bytes, since most messages have many
/// receivers.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// The kind of the message, for metrics.
    pub kind: &'static str,
    /// The message on the wire.
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
/// When the bytes are no message.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage, DecodeError> {
    if bytes.len() > MAX_BYTES {
        return Err(DecodeError::Malformed);
    }
    codec::decode(bytes)
}
