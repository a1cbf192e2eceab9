//! The settings of a node, and the times that its guarantees depend on.

use crate::identity::{NodeIdentity, ZoneName};
use crate::mechanisms::Mechanisms;
use crate::protections::Protections;
use crate::requests::{BudgetBounds, ColdBound};
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of one node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This node and its incarnation.
    pub identity: NodeIdentity,
    /// Its zone.
    pub zone: ZoneName,
    /// Where other nodes can reach it.
    pub peer_address: SocketAddr,
    /// The address of the store.
    pub store_address: SocketAddr,
    /// The CPU limit of this node, in thousandths of a core.
    pub millicores: u32,
    /// The retry budget of all nodes together.
    pub retry_budget: BudgetBounds,
    /// Time after which a leaving instance must not get new requests.
    pub drain_bound: Duration,
    /// Time within which an acknowledged configuration must take effect.
    pub configuration_bound: Duration,
    /// Time after which an evacuated zone must not get requests. None if zones are never
    /// evacuated, so that the store is not queried for evacuations.
    pub evacuation_bound: Option<Duration>,
    /// How long the keys of callers are accepted after this node last knew that it has the
    /// newest ones. None if they are accepted however old they are.
    pub caller_key_ttl: Option<Duration>,
    /// Limit for requests to a cold instance, over all nodes.
    pub cold_bound: ColdBound,
    /// Time from the request to shut down until the process is killed.
    pub stop_grace: Duration,
    /// Memory limit of the process, in bytes; none if not limited.
    pub memory_limit: Option<usize>,
    /// Connections that the process may have open, in both directions; none if not limited.
    pub connection_limit: Option<usize>,
    /// Bandwidth of this node's link in each direction, in bytes a second.
    pub link_bytes_per_s: u64,
    /// Seed for random decisions of the node.
    pub seed: u64,
    /// All enabled, except in simulations that test their checker.
    pub protections: Protections,
    /// All enabled, except when the benefit of one is measured.
    pub mechanisms: Mechanisms,
}

impl NodeSettings {
    /// The shortest bound for an acknowledged change to reach all nodes. All steps on its way
    /// share it.
    pub fn propagation_bound(&self) -> Duration {
        self.drain_bound.min(self.configuration_bound)
    }
}

/// Assumed bandwidth of a link without a setting, in bytes a second: one gigabit.
pub const DEFAULT_LINK_BYTES_PER_S: u64 = 125_000_000;

/// How long an instance holds keys after the arrival of a grant.
pub const HOLD: Duration = Duration::from_millis(4_000);
/// Interval between renewals of a grant.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// The longest interval between renewals, used if there are too many grants to renew each more
/// often. A lost renewal is given up after 0.6 s and repeated after 0.25 s, so a hold survives
/// two lost renewals in a row.
pub const MAX_RENEWAL_INTERVAL: Duration = Duration::from_millis(2_000);
/// How long a coordinator may send orders, counted from the start of the last call in which
/// the store confirmed it.
pub const COORDINATOR_AUTHORITY: Duration = Duration::from_secs(10);
/// Allowance for transit and scheduling delays, added to the end of a hold.
pub const LEASE_SLACK: Duration = Duration::from_millis(300);

/// How long an order may be in transit after its sender can no longer cancel it: the sender
/// was killed, and its kernel retransmits unacknowledged data. The runtime limits this time
/// for each connection. It is longer than the timeout of a grant (0.6 s), so that a running
/// node resets the connection of an order that it gives up before.
pub const ORDER_TRANSIT: Duration = Duration::from_millis(1_000);

/// How long a node sends keyed requests by owners that neither the store nor a coordinator has
/// confirmed since. Without confirmation by the store, a coordinator sends orders for a time, and
/// after a hold its owners have no keys any more.
pub fn ownership_view_ttl() -> Duration {
    COORDINATOR_AUTHORITY + longest_hold()
}

/// The longest time for which a request can reach an owner after this was last confirmed at its
/// node.
pub fn longest_use_of_owners() -> Duration {
    ownership_view_ttl() + ORDER_TRANSIT + LEASE_SLACK
}

/// The longest time for which an instance can hold keys by orders of an unknown earlier
/// coordinator.
pub fn longest_unknown_hold() -> Duration {
    COORDINATOR_AUTHORITY + ORDER_TRANSIT + longest_hold()
}

/// The longest time for which an instance can hold keys after a grant has arrived. Its clock
/// may run 2% slow.
pub fn longest_hold() -> Duration {
    HOLD + HOLD / 50 + LEASE_SLACK
}
