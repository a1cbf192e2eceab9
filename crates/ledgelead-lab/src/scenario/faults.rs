//! Faults of a scenario, at a fixed time or at random times.

use serde::Deserialize;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A node's process is killed, and a new one starts at the same address.
    KillNode,
    /// A node's process makes no progress for a while, then continues.
    PauseNode,
    /// A node is stopped as planned and restarted.
    StopNode,
    /// A server is killed and restarted.
    KillServer,
    /// A server makes no progress for a while, then continues.
    FreezeServer,
    /// A server asks to be drained, stops when it is drained, and comes back.
    LeaveServer,
    /// A server reports that it is idle regardless of its load.
    MisleadingHealth,
    /// A node is partitioned from all other nodes and the platform.
    CutNode,
    /// A server is partitioned from all nodes.
    CutServer,
    /// A zone is partitioned from the other zones.
    CutZone,
    /// A region is partitioned from the other regions.
    CutRegion,
    /// More messages than usual are lost, duplicated, delayed and reordered.
    DegradeNetwork,
    /// All calls to the platform fail without an effect.
    PlatformDown,
    /// The platform responds late.
    PlatformSlow,
    /// The platform carries out calls, but its responses are lost.
    PlatformLosesAnswers,
    /// Two operators change the same setting at the same time.
    RacingCommands,
    /// An operator drains a server and later activates it again.
    DrainServer,
    /// An operator moves a slice.
    MoveSlice,
    /// A server that owns slices is killed permanently; unavailability is measured.
    LoseOwner,
    /// The leader of a keyed service's group is killed permanently.
    LoseLeader,
    /// A leader and a server that owns slices are killed at the same moment.
    LoseLeaderAndOwner,
    /// All nodes and servers of a zone are killed at the same moment.
    LoseZone,
    /// All but one of the voters of a keyed service's group are killed at the same moment.
    LoseQuorum,
    /// All nodes are killed at the same moment.
    LoseAllNodes,
    /// All nodes and servers are killed at the same moment; only the platform remains.
    LoseAllButPlatform,
}

impl FaultKind {
    /// Whether it removes something that requests or leases depend on, so that a second one at
    /// the same time counts as a double loss.
    pub fn is_loss(self) -> bool {
        match self {
            FaultKind::MisleadingHealth
            | FaultKind::PlatformDown
            | FaultKind::PlatformSlow
            | FaultKind::PlatformLosesAnswers
            | FaultKind::RacingCommands
            | FaultKind::DrainServer
            | FaultKind::LeaveServer
            | FaultKind::MoveSlice => false,
            FaultKind::KillNode
            | FaultKind::PauseNode
            | FaultKind::StopNode
            | FaultKind::KillServer
            | FaultKind::FreezeServer
            | FaultKind::CutNode
            | FaultKind::CutServer
            | FaultKind::CutZone
            | FaultKind::CutRegion
            | FaultKind::DegradeNetwork
            | FaultKind::LoseOwner
            | FaultKind::LoseLeader
            | FaultKind::LoseLeaderAndOwner
            | FaultKind::LoseZone
            | FaultKind::LoseQuorum
            | FaultKind::LoseAllNodes
            | FaultKind::LoseAllButPlatform => true,
        }
    }
}

/// A fault and its schedule.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpecification {
    /// Its kind.
    pub kind: FaultKind,
    /// Start, in seconds after the start of the run.
    #[serde(default)]
    pub at_seconds: Option<f64>,
    /// Mean number of occurrences per minute, at random times.
    #[serde(default)]
    pub per_minute: Option<f64>,
    /// Shortest duration, in seconds.
    #[serde(default)]
    pub min_seconds: f64,
    /// Longest duration, in seconds.
    #[serde(default)]
    pub max_seconds: f64,
}
