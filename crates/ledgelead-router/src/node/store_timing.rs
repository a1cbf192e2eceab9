//! Timing of store calls: pace and backoff of the watches, and the delays of a node's first
//! calls.

use crate::dialect::ObjectKind;
use crate::store::{Backoff, WatcherPace};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Pause after an answer with changes of the configuration.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(150);
/// How long a watch on the configuration waits, as a share of the bound for changes to reach all
/// nodes. Its connection may fall silent meanwhile, which shows only after the wait.
const CONFIGURATION_WAIT_SHARE: f64 = 0.35;
/// Pace of the watch on instances. It also detects the loss of the store, so its wait is
/// short. Together with the share of the drain bound for which a leaving owner is still used,
/// the pause stays below that bound.
const INSTANCES_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(400),
    after_nothing: Duration::ZERO,
    wait: Duration::from_millis(700),
};
/// Pace of the coordinator's watches on instances and on the configuration, whose changes all
/// nodes follow. An answer is so recent when it is relayed that a node can miss the next
/// heartbeat and still keep its own watches paused.
const COORDINATOR_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(150),
    after_nothing: Duration::ZERO,
    wait: Duration::from_millis(600),
};
/// Pace of the watch on ownership. Most changes arrive earlier by datagram.
const OWNERSHIP_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(200),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(10),
};
/// Pace of the coordinator's watch on ownership. The coordinator alone writes the record, so
/// the watch only confirms that it still holds the role; its own writes confirm that as well.
/// Without any confirmation it stops giving orders after `COORDINATOR_AUTHORITY`.
const COORDINATOR_OWNERSHIP_PACE: WatcherPace = WatcherPace {
    after_events: CONFIRM_INTERVAL,
    after_nothing: CONFIRM_INTERVAL,
    wait: Duration::from_millis(10),
};
/// Interval between confirmations of the coordinator role.
pub(super) const CONFIRM_INTERVAL: Duration = Duration::from_millis(2_500);
/// Pace of the watch on nodes.
const NODES_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(500),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(10),
};

/// Pace of the watch on evacuations. A dead connection is detected after the wait plus the
/// slack of a watch (0.7 s). With one more call and the distribution to all nodes, an
/// evacuation is active within its bound of 5 s.
const EVACUATIONS_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(100),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(2),
};

/// Pace of the watch on quarantined requests. Nodes broadcast these, so the watch only reports
/// what an operator lifts, and what was stored before the loss of all nodes.
const QUARANTINE_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_secs(1),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(25),
};

/// The pace of a watch at the coordinator or at another node, if changes have to reach all
/// nodes within `bound`.
pub(super) fn pace(kind: ObjectKind, coordinating: bool, bound: Duration) -> WatcherPace {
    match (kind, coordinating) {
        (ObjectKind::Configuration, false) => WatcherPace {
            after_events: CONFIGURATION_PAUSE,
            after_nothing: Duration::ZERO,
            wait: bound.mul_f64(CONFIGURATION_WAIT_SHARE),
        },
        (ObjectKind::Instances, false) => INSTANCES_PACE,
        (ObjectKind::Configuration | ObjectKind::Instances, true) => COORDINATOR_PACE,
        (ObjectKind::Ownership, false) => OWNERSHIP_PACE,
        (ObjectKind::Ownership, true) => COORDINATOR_OWNERSHIP_PACE,
        (ObjectKind::Nodes, _) => NODES_PACE,
        (ObjectKind::Evacuations, _) => EVACUATIONS_PACE,
        (ObjectKind::Quarantine, _) => QUARANTINE_PACE,
    }
}

/// How long watches other than the one on instances remain paused after a coordinator has
/// fallen silent, since another coordinator may be heard meanwhile. Configurations must be
/// active in time. Ownership and nodes may wait longer: they are changed only by a
/// coordinator, reported by an answer, or read for a campaign.
const RESUME_PAUSES: [(ObjectKind, Duration); 5] = [
    (ObjectKind::Configuration, Duration::from_millis(300)),
    (ObjectKind::Evacuations, Duration::from_millis(300)),
    // With the 1.4 s for which the coordinator's view is followed and one call, this stays
    // within the 3 s in which a node must know the quarantined requests.
    (ObjectKind::Quarantine, Duration::from_millis(1_200)),
    (ObjectKind::Ownership, Duration::from_millis(2_500)),
    (ObjectKind::Nodes, Duration::from_millis(2_500)),
];

/// Longest pause before the watch on the configuration resumes, as a share of the bound for
/// changes to reach all nodes. What the coordinator's view has left of the bound has to suffice
/// for this pause, a dead connection and a list.
const RESUME_SHARE: f64 = 0.1;

/// How long each of these watches remains paused after a coordinator has fallen silent.
pub(super) fn resume_pauses(bound: Duration) -> [(ObjectKind, Duration); 5] {
    let longest = bound.mul_f64(RESUME_SHARE);
    RESUME_PAUSES.map(|(kind, pause)| match kind {
        ObjectKind::Configuration => (kind, pause.min(longest)),
        _ => (kind, pause),
    })
}

/// How long a node with a full core waits for other nodes to register before it lists them for
/// the first election. The time grows in inverse proportion to the CPU share, so that only few
/// nodes list, and the preferred coordinators do so first.
const ELECTION_PAUSE: Duration = Duration::from_millis(100);
/// Minimum of that time: the machines of a deployment start within 300 ms.
const MIN_ELECTION_PAUSE: Duration = Duration::from_millis(200);
/// Maximum of that time.
const MAX_ELECTION_PAUSE: Duration = Duration::from_millis(1_200);
/// How long instances and nodes of a starting deployment are given to register. A list that
/// may be a few seconds old then contains most of them, and the coordinator has the rest.
const COLD_START_PAUSE: Duration = Duration::from_secs(3);
/// How long a node that has read one page of a long list of instances leaves the rest to other
/// nodes. A coordinator is elected within 3 s of the loss of all nodes, has its own list 1 s
/// later, and is heard 0.2 s after that.
const LARGE_LIST_PAUSE: Duration = Duration::from_secs(6);
/// Share by which a delay is extended at random, so that nodes that start together don't call
/// the store together.
const JITTER_SHARE: f64 = 0.5;

/// First pause after a failed call per node of the fleet, so that the rate of all nodes' calls
/// during an outage of the store doesn't grow with their number.
const FIRST_PAUSE_PER_NODE: Duration = Duration::from_millis(2);
/// Maximum of the first pause.
const MAX_FIRST_PAUSE: Duration = Duration::from_millis(600);
/// Longest pause after failed calls per node of the fleet, for the same reason.
const MAX_PAUSE_PER_NODE: Duration = Duration::from_millis(6);
/// Maximum of the longest pause. A node notices the recovery of the store after this pause,
/// its random extension, a list (0.3 s) and the pause before the other watches (0.25 s). These
/// total 2.6 s, so the node is connected again before the operator expects it to be, which is
/// 3 s after the recovery.
const MAX_PAUSE: Duration = Duration::from_millis(1_700);

/// Backoff of a node whose own calls fail while it follows a coordinator that the store
/// serves. The node lacks nothing but the ability to campaign, so that it may notice the
/// recovery a few seconds late.
pub(super) const FOLLOWER_BACKOFF: Backoff = Backoff {
    first: Duration::from_secs(5),
    max: Duration::from_secs(5),
};

/// Maximum factor by which pauses that grow with the fleet are extended at random.
const MAX_JITTER_FACTOR: f64 = 1.2;

/// The backoff after failed calls of one of `nodes` nodes. The coordinator's pauses stay
/// short, since its heartbeats tell the others that the store has recovered.
pub(super) fn backoff(nodes: usize, coordinating: bool, seed: u64) -> Backoff {
    let default = Backoff::default();
    if coordinating {
        return default;
    }
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    let jitter = Pcg64Mcg::seed_from_u64(seed).random_range(1.0..MAX_JITTER_FACTOR);
    let scaled = |per_node: Duration, least: Duration, most: Duration| {
        let pause = per_node.saturating_mul(nodes).clamp(least, most);
        if pause > least {
            pause.mul_f64(jitter)
        } else {
            pause
        }
    };
    Backoff {
        first: scaled(FIRST_PAUSE_PER_NODE, default.first, MAX_FIRST_PAUSE),
        max: scaled(MAX_PAUSE_PER_NODE, default.max, MAX_PAUSE),
    }
}

/// How long a node waits for other nodes to send a list that exceeds one page.
pub(super) fn large_list_pause(seed: u64) -> Duration {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    LARGE_LIST_PAUSE.mul_f64(rng.random_range(1.0..2.0))
}

/// Longest delay of a candidate that doesn't know its place among the others.
const MAX_UNPLACED_PAUSE: Duration = Duration::from_secs(1);
/// Number of such candidates of which one is expected to have no delay.
const UNPLACED_NODES: f64 = 1_000.0;

/// How long a candidate that doesn't know its place among the others leaves the first election
/// to them. The density of the delays grows exponentially, so that however many such
/// candidates there are, only few begin in the time that the first one takes.
pub(super) fn unplaced_pause(seed: u64) -> Duration {
    let drawn: f64 = Pcg64Mcg::seed_from_u64(seed).random_range(0.0..1.0);
    let exponent = drawn.max(1.0 / UNPLACED_NODES).ln() / UNPLACED_NODES.ln();
    MAX_UNPLACED_PAUSE.mul_f64(1.0 + exponent)
}

/// Delays of a node that finds no configuration, which means that the whole deployment is
/// starting.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdStart {
    /// Delay before the nodes are listed for an election, unless a coordinator is heard.
    pub(super) election: Duration,
    /// Delay before the first list that may be stale.
    pub(super) list: Duration,
}

impl ColdStart {
    /// The delays of a node with this CPU share.
    pub(super) fn new(millicores: u32, seed: u64) -> ColdStart {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut jitter = |pause: Duration| pause.mul_f64(rng.random_range(1.0..1.0 + JITTER_SHARE));
        let election = (ELECTION_PAUSE * 1_000 / millicores.max(1))
            .clamp(MIN_ELECTION_PAUSE, MAX_ELECTION_PAUSE);
        let election = jitter(election);
        ColdStart {
            election,
            // Nodes with a larger CPU share, which usually have a faster link as well, list
            // first; the others receive their lists.
            list: COLD_START_PAUSE + election,
        }
    }
}
