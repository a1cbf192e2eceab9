//! Figures of a node, for operators and metrics.

use super::Node;
use crate::dispatch::DispatcherCounters;
use crate::ownership::coordinator::OwnershipCounters;
use crate::peers::PeerTraffic;
use crate::rate_limit::LimiterCounters;
use crate::requests::{PermitCounters, RequestCounters, RequestDigest};
use crate::zone_traffic::ZoneTraffic;
use std::collections::BTreeMap;

/// Whole lists between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferCounters {
    /// Those that other nodes have sent to this one.
    pub received: u64,
    /// Those that this one has sent to others.
    pub sent: u64,
}

/// What a node knows and has done.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// Whether new clients may be sent to it.
    pub ready: bool,
    /// The version of the configuration, if one is known.
    pub configuration: Option<u64>,
    /// Instances known.
    pub instances: usize,
    /// Registered nodes.
    pub nodes: usize,
    /// Zones that are evacuated.
    pub evacuated_zones: usize,
    /// The epoch of the newest record.
    pub epoch: u64,
    /// Whether it coordinates, and what it has done as coordinator.
    pub coordinator: Option<OwnershipCounters>,
    /// Open requests.
    pub open: usize,
    /// What became of requests.
    pub requests: RequestCounters,
    /// Calls to the store.
    pub store_calls: u64,
    /// Calls to the store that failed or were refused.
    pub store_failures: u64,
    /// Calls to the store by what they were for.
    pub store_calls_by: BTreeMap<&'static str, u64>,
    /// Heartbeats of coordinators before the newest one that was heard.
    pub former_heartbeats: u64,
    /// What coordinators relay, by kind: the newest revision that was announced,
    /// and the one that this node knows.
    pub announced_and_known: BTreeMap<&'static str, (u64, u64)>,
    /// Requests that are held back since instances ended under them, with their paths.
    pub quarantined: Vec<(RequestDigest, String)>,
    /// Requests under which some instance ended.
    pub suspected: usize,
    /// Ends of instances under them that none has disproved.
    pub ends_counted: usize,
    /// Objects of the store that could not be read, counted each time, by kind.
    pub unreadable: BTreeMap<&'static str, u64>,
    /// Datagrams to and from other nodes.
    pub traffic: PeerTraffic,
    /// Whole lists between nodes.
    pub transfers: TransferCounters,
    /// Permits that its requests have asked for.
    pub permits: PermitCounters,
    /// What it has decided as dispatcher.
    pub dispatched: DispatcherCounters,
    /// Requests that wait in the queues that it keeps.
    pub dispatch_waiting: usize,
    /// Tokens that it has handed out as limiter, and asks that it has refused.
    pub limiter: LimiterCounters,
    /// Instances that name a rate limit, or have lately ceased to.
    pub rate_limits: usize,
    /// Bytes exchanged with this zone and others.
    pub zone_traffic: ZoneTraffic,
}

impl Node {
    /// Figures of now.
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
            requests: self.requests.counters().clone(),
            store_calls: self.store.calls(),
            store_failures: self.store.failures(),
            store_calls_by: self.store.calls_by().clone(),
            former_heartbeats: self.messaging.former_heartbeats,
            announced_and_known: self.announced_and_known(),
            quarantined: self.quarantine.held_back(),
            suspected: self.quarantine.evidence.iter().count(),
            ends_counted: self.quarantine.evidence.ends(),
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
            zone_traffic: self.zone_traffic.clone(),
        }
    }
}
