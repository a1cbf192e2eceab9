//! State and counters of a node for operators and metrics.

use super::Node;
use crate::dispatch::DispatcherCounters;
use crate::ownership::coordinator::OwnershipCounters;
use crate::peers::PeerTraffic;
use crate::rate_limit::LimiterCounters;
use crate::requests::{PermitCounters, RequestCounters, RequestDigest};
use crate::zone_traffic::ZoneTraffic;
use std::collections::BTreeMap;

/// Counters of complete lists transferred between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferCounters {
    /// Lists received from other nodes.
    pub received: u64,
    /// Lists sent to other nodes.
    pub sent: u64,
}

/// State and counters of a node.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// Whether the node is ready for new clients.
    pub ready: bool,
    /// Version of the active configuration, if one is known.
    pub configuration: Option<u64>,
    /// Number of known instances.
    pub instances: usize,
    /// Number of registered nodes.
    pub nodes: usize,
    /// Number of evacuated zones.
    pub evacuated_zones: usize,
    /// Epoch of the latest known ownership record.
    pub epoch: u64,
    /// Counters of the coordinator, if this node holds the role.
    pub coordinator: Option<OwnershipCounters>,
    /// Number of open requests.
    pub open: usize,
    /// Number of times that timers of requests were handled late.
    pub late_timers: u64,
    /// Outcomes of requests.
    pub requests: RequestCounters,
    /// Number of calls to the store.
    pub store_calls: u64,
    /// Number of calls to the store that failed or were refused.
    pub store_failures: u64,
    /// Number of calls to the store by purpose.
    pub store_calls_by: BTreeMap<&'static str, u64>,
    /// Heartbeats received from coordinators of earlier epochs than the highest known one.
    pub former_heartbeats: u64,
    /// For each relayed kind of object, the highest announced revision and the revision known
    /// to this node.
    pub announced_and_known: BTreeMap<&'static str, (u64, u64)>,
    /// Quarantined requests, held back because instances crashed while processing them, with
    /// their paths.
    pub quarantined: Vec<(RequestDigest, String)>,
    /// Requests during which at least one instance ended.
    pub suspected: usize,
    /// Ends of instances attributed to these requests, without those that were disproved.
    pub ends_counted: usize,
    /// Reviews of the evidence about such requests.
    pub evidence_reviews: u64,
    /// Occurrences of unreadable objects in the store, by kind.
    pub unreadable: BTreeMap<&'static str, u64>,
    /// Datagrams exchanged with other nodes.
    pub traffic: PeerTraffic,
    /// Complete lists exchanged with other nodes.
    pub transfers: TransferCounters,
    /// Permits that this node's requests have asked for.
    pub permits: PermitCounters,
    /// Counters of this node as dispatcher.
    pub dispatched: DispatcherCounters,
    /// Requests waiting in the queues that this node keeps as dispatcher.
    pub dispatch_waiting: usize,
    /// Tokens granted and requests refused by this node as limiter.
    pub limiter: LimiterCounters,
    /// Instances that have announced a rate limit, or have withdrawn it recently.
    pub rate_limits: usize,
    /// Whether this node reaches no instance.
    pub isolated: bool,
    /// Number of instances to which this node's link is failing.
    pub failing_links: usize,
    /// Attempts that peers asked this node for, by how they were handled.
    pub forwarded: BTreeMap<&'static str, u64>,
    /// Bytes exchanged within this zone and with other zones.
    pub zone_traffic: ZoneTraffic,
}

impl Node {
    /// The current state and counters.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            ready: self.is_ready(),
            configuration: self.configuration.as_ref().map(|known| known.version),
            instances: self.directory.iter().count(),
            nodes: self.registry.len(),
            evacuated_zones: self.evacuations.zones().len(),
            epoch: self.ownership.record().epoch,
            coordinator: self.coordinator().map(|known| known.counters()),
            open: self.requests.len(),
            late_timers: self.punctuality.late(),
            requests: self.requests.counters().clone(),
            store_calls: self.store.calls(),
            store_failures: self.store.failures(),
            store_calls_by: self.store.calls_by().clone(),
            former_heartbeats: self.messaging.former_heartbeats,
            announced_and_known: self.announced_and_known(),
            quarantined: self.quarantine.quarantined_requests(),
            suspected: self.quarantine.evidence.iter().count(),
            ends_counted: self.quarantine.evidence.ends(),
            evidence_reviews: self.quarantine.evidence.reviews(),
            unreadable: self.unreadable.counts().clone(),
            traffic: self.traffic.clone(),
            transfers: TransferCounters {
                received: self.transfers.received(),
                sent: self.transfer_server.sent(),
            },
            permits: self.requests.permit_counters(),
            dispatched: self.dispatcher.counters(),
            dispatch_waiting: self.dispatcher.waiting(),
            limiter: self.limiter.counters(),
            rate_limits: self.requests.limits().len(),
            isolated: self.reachability.is_isolated(),
            failing_links: self.reachability.failing(),
            forwarded: self.forward_server.counters().clone(),
            zone_traffic: self.zone_traffic.clone(),
        }
    }
}
