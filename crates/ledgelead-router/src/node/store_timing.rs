//! How often watches of the store call, and when the first calls of a node are
//! made.

use crate::dialect::ObjectKind;
use crate::store::{Backoff, WatcherPace};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Pace of a watch that only hastens what the coordinator would relay as well.
const CALM_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(150),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(10),
};
/// Pace of the watch on instances. It is also the call that notices when the
/// store is lost, so it doesn't wait for long. Together with the share of the
/// drain bound for which a leaving owner is still used, the pause stays below
/// that bound.
const INSTANCES_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(400),
    after_nothing: Duration::ZERO,
    wait: Duration::from_millis(700),
};
/// Pace of the coordinator's watches on instances and on the configuration:
/// all nodes follow what they learn. An answer is so young when it is relayed
/// that a node can miss the next heartbeat and still leave its watches
/// suspended.
const COORDINATOR_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(150),
    after_nothing: Duration::ZERO,
    wait: Duration::from_millis(600),
};
/// Pace of the watch on ownership. Most changes come by datagram before.
const OWNERSHIP_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(200),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(10),
};
/// The coordinator's pace there: it alone writes the record, so it only asks
/// whether it still has its place. Its own writes tell so as well. Without
/// either it gives no orders after `COORDINATOR_AUTHORITY`.
const COORDINATOR_OWNERSHIP_PACE: WatcherPace = WatcherPace {
    after_events: CONFIRM_INTERVAL,
    after_nothing: CONFIRM_INTERVAL,
    wait: Duration::from_millis(10),
};
/// Time between two confirmations of the coordinator's place.
pub(super) const CONFIRM_INTERVAL: Duration = Duration::from_millis(2_500);
/// Pace of the watch on nodes.
const NODES_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(500),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(10),
};

/// Pace of the watch on evacuations. A connection that falls silent is noticed after
/// the wait and the slack of a watch (0.7 s); with a call after that and the way to
/// all nodes, an evacuation is in force within its bound of 5 s.
const EVACUATIONS_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(100),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(2),
};

/// Pace of the watch on requests that crash instances. Nodes broadcast them, so
/// it shows only what an operator lifts, and what was kept over the loss of all nodes.
const QUARANTINE_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_secs(1),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(25),
};

/// The pace of a watch, at the coordinator and elsewhere.
pub(super) fn pace(kind: ObjectKind, coordinating: bool) -> WatcherPace {
    match (kind, coordinating) {
        (ObjectKind::Configuration, false) => CALM_PACE,
        (ObjectKind::Instances, false) => INSTANCES_PACE,
        (ObjectKind::Configuration | ObjectKind::Instances, true) => COORDINATOR_PACE,
        (ObjectKind::Ownership, false) => OWNERSHIP_PACE,
        (ObjectKind::Ownership, true) => COORDINATOR_OWNERSHIP_PACE,
        (ObjectKind::Nodes, _) => NODES_PACE,
        (ObjectKind::Evacuations, _) => EVACUATIONS_PACE,
        (ObjectKind::Quarantine, _) => QUARANTINE_PACE,
    }
}

/// How long watches rest on after a coordinator has fallen silent, but for the
/// one on instances: another coordinator may be heard meanwhile. Configurations
/// have to be in force in time; who owns what and which nodes there are is
/// changed by a coordinator alone, or told by an answer, or read for a campaign.
pub(super) const RESUME_PAUSES: [(ObjectKind, Duration); 5] = [
    (ObjectKind::Configuration, Duration::from_millis(300)),
    (ObjectKind::Evacuations, Duration::from_millis(300)),
    // With the view's 1.4 s and a call, within the 3 s in which a node has to know.
    (ObjectKind::Quarantine, Duration::from_millis(1_200)),
    (ObjectKind::Ownership, Duration::from_millis(2_500)),
    (ObjectKind::Nodes, Duration::from_millis(2_500)),
];

/// Time that a node with a whole core leaves others for registering before it
/// lists them for the first election. Longer by as much as its share of a core
/// is smaller, so that few nodes list, those that should coordinate first.
const ELECTION_PAUSE: Duration = Duration::from_millis(100);
/// The shortest such time: machines of one deployment start within 300 ms.
const MIN_ELECTION_PAUSE: Duration = Duration::from_millis(200);
/// The longest such time.
const MAX_ELECTION_PAUSE: Duration = Duration::from_millis(1_200);
/// Time that a starting deployment leaves instances and nodes for registering.
/// A list that may be some seconds old then holds most of them, and the
/// coordinator has the rest.
const COLD_START_PAUSE: Duration = Duration::from_secs(3);
/// Time for which a node that has seen one page of a long list of instances leaves the rest
/// to other nodes. A coordinator is elected within 3 s of the loss of all nodes, has its own
/// list 1 s later, and is heard 0.2 s after that.
const LARGE_LIST_PAUSE: Duration = Duration::from_secs(6);
/// Share by which a pause is lengthened at random, so that nodes that start
/// together don't call together.
const SPREAD: f64 = 0.5;

/// By how much each node lengthens the first pause after a failed call, so that
/// the calls of all nodes while the store is lost don't grow with their number.
const FIRST_PAUSE_PER_NODE: Duration = Duration::from_millis(2);
/// The longest first pause.
const MAX_FIRST_PAUSE: Duration = Duration::from_millis(600);
/// The same for the longest pause.
const MAX_PAUSE_PER_NODE: Duration = Duration::from_millis(6);
/// The longest pause of all. A node notices the return of the store after it, its
/// spread, a list (0.3 s) and a pause before the other watches (0.25 s): 2.6 s,
/// within the 3 s after which the users count nodes as in touch.
const MAX_PAUSE: Duration = Duration::from_millis(1_700);

/// Pauses of a node that the store fails while it follows a coordinator whom the
/// store serves. It lacks nothing but the chance to campaign, so it is enough to
/// notice the end of that within a few seconds.
pub(super) const FOLLOWER_BACKOFF: Backoff = Backoff {
    first: Duration::from_secs(5),
    max: Duration::from_secs(5),
};

/// Most by which a grown pause after a failed call is lengthened at random.
const MAX_SPREAD: f64 = 1.2;

/// The pauses after failed calls of one among `nodes` nodes. The coordinator's
/// stay short: its heartbeats tell the others that the store serves again.
pub(super) fn backoff(nodes: usize, coordinating: bool, seed: u64) -> Backoff {
    let default = Backoff::default();
    if coordinating {
        return default;
    }
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    let spread = Pcg64Mcg::seed_from_u64(seed).random_range(1.0..MAX_SPREAD);
    let grown = |per_node: Duration, least: Duration, most: Duration| {
        let pause = per_node.saturating_mul(nodes).clamp(least, most);
        if pause > least {
            pause.mul_f64(spread)
        } else {
            pause
        }
    };
    Backoff {
        first: grown(FIRST_PAUSE_PER_NODE, default.first, MAX_FIRST_PAUSE),
        max: grown(MAX_PAUSE_PER_NODE, default.max, MAX_PAUSE),
    }
}

/// How long a node waits for other nodes to send what doesn't fit one page.
pub(super) fn large_list_pause(seed: u64) -> Duration {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    LARGE_LIST_PAUSE.mul_f64(rng.random_range(1.0..2.0))
}

/// Pauses of a node that finds no configuration: the whole deployment starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdStart {
    /// Before the nodes are listed for an election, unless a coordinator is
    /// heard.
    pub(super) election: Duration,
    /// Before the first list that may be stale.
    pub(super) list: Duration,
}

impl ColdStart {
    /// The pauses of a node with this share of a core.
    pub(super) fn new(millicores: u32, seed: u64) -> ColdStart {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut spread = |pause: Duration| pause.mul_f64(rng.random_range(1.0..1.0 + SPREAD));
        let election = (ELECTION_PAUSE * 1_000 / millicores.max(1))
            .clamp(MIN_ELECTION_PAUSE, MAX_ELECTION_PAUSE);
        let election = spread(election);
        ColdStart {
            election,
            // Nodes with more of a core, and mostly a wider link, first: the others are sent
            // what these have.
            list: COLD_START_PAUSE + election,
        }
    }
}
