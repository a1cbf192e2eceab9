//! What a node is told at its start, and the times its promises rest on.

use crate::identity::{NodeIdentity, ZoneName};
use crate::mechanisms::Mechanisms;
use crate::protections::Protections;
use crate::requests::{BudgetBounds, ColdBound};
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of one node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This life of the node.
    pub identity: NodeIdentity,
    /// Its zone.
    pub zone: ZoneName,
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// The store.
    pub store_address: SocketAddr,
    /// What this node may use of a core, in thousandths.
    pub millicores: u32,
    /// What all nodes together may retry.
    pub retry_budget: BudgetBounds,
    /// Time in which a leaving instance must get no more new work.
    pub drain_bound: Duration,
    /// Time in which an acknowledged configuration must be in force.
    pub configuration_bound: Duration,
    /// Time in which an evacuated zone must get nothing more. None where zones are
    /// never evacuated, so that nothing is asked of the store.
    pub evacuation_bound: Option<Duration>,
    /// What may be sent to a cold instance, over all nodes.
    pub cold_bound: ColdBound,
    /// Time from the request to stop until the process is killed.
    pub stop_grace: Duration,
    /// Memory that the process may use, in bytes. None where it is not bounded.
    pub memory_limit: Option<usize>,
    /// What this node's link carries in each direction, in bytes a second.
    pub link_bytes_per_s: u64,
    /// Seed of the node's random decisions.
    pub seed: u64,
    /// All on, but in simulations that prove their checker.
    pub protections: Protections,
    /// All on, but where the worth of one is measured.
    pub mechanisms: Mechanisms,
}

/// What a link is taken to carry where nothing says so, in bytes a second: a gigabit.
pub const DEFAULT_LINK_BYTES_PER_S: u64 = 125_000_000;

/// How long an instance holds keys after a grant arrived.
pub const HOLD: Duration = Duration::from_millis(4_000);
/// Time between renewals of a grant.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same where there are so many grants that each is renewed less often. A lost renewal is
/// given up after 0.6 s and repeated after 0.25 s: the hold still bears two in a row.
pub const MAX_RENEWAL_INTERVAL: Duration = Duration::from_millis(2_000);
/// How long a coordinator may give orders after the start of the last call in
/// which the store confirmed it.
pub const COORDINATOR_AUTHORITY: Duration = Duration::from_secs(10);
/// Allowance for transit and for waking up, added to the end of a hold.
pub const LEASE_SLACK: Duration = Duration::from_millis(300);

/// How long an order may be on its way once its sender can't take it back: the sender was
/// killed, and its kernel repeats what nobody has acknowledged. The runtime bounds that for
/// each connection. Longer than a grant is waited for (0.6 s), so that what a living node
/// gives up is reset before.
pub const ORDER_TRANSIT: Duration = Duration::from_millis(1_000);

/// The longest that an instance can hold keys by orders of a coordinator of which nothing is
/// known any more.
pub fn longest_unknown_hold() -> Duration {
    COORDINATOR_AUTHORITY + ORDER_TRANSIT + longest_hold()
}

/// The longest that an instance can hold keys after a grant reached it: its
/// clock may be 2% slow.
pub fn longest_hold() -> Duration {
    HOLD + HOLD / 50 + LEASE_SLACK
}
