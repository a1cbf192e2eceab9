//! Faults and random schedules of them.

use super::isolation::{IsolatedNodes, IsolationEffect};
use super::world::ALL_INSTANCES;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Duration of partitions between nodes and instances, in milliseconds. Some end between two
/// TCP retransmissions, which occur at 3.0, 6.2 and 12.6 s.
const CUT_MS: std::ops::Range<u64> = 1_000..15_000;
/// Duration of periods in which orders are carried out late, in milliseconds.
const LATE_PERIOD_MS: std::ops::Range<u64> = 3_000..20_000;
/// Duration of machine suspensions, in milliseconds. The longest outlast every lease and every
/// coordinator's authority.
const SUSPENDED_MS: std::ops::Range<u64> = 1_000..18_000;

/// The node that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The coordinator at the start of the fault, or the first node if there is none.
    Coordinator,
    /// The node with this index.
    Node(usize),
}

/// Kinds of faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A node is killed and restarts at the end of the fault.
    KillNode(Target),
    /// A node makes no progress for a while.
    FreezeNode(Target),
    /// A node's machine is suspended, and its monotonic clock with it.
    SuspendNode(Target),
    /// A node is partitioned from the store and from other nodes.
    CutNode(Target),
    /// A node is partitioned from the store.
    CutFromStore(Target),
    /// A node receives the signal to stop and restarts at the end of the fault.
    StopNode(Target),
    /// All nodes are killed at once.
    KillAllNodes,
    /// An instance of the sharded service crashes; its address refuses connections.
    CrashInstance(usize),
    /// An instance of the sharded service stops responding.
    SilenceInstance(usize),
    /// An instance is partitioned from the store, the coordinator and some other nodes.
    CutInstance(usize),
    /// A node is partitioned from some instances only.
    CutFromInstances(Target),
    /// Nodes are partitioned from all instances.
    IsolateNodes(IsolatedNodes, IsolationEffect),
    /// The coordinator and an instance reach each other but nothing else.
    IsolateWithCoordinator(usize),
    /// An instance announces that it is leaving and ends later.
    DrainInstance(usize),
    /// An instance of any service leaves without notice: its entry is removed, but it keeps
    /// serving for a long time.
    LeaveUnannounced(usize),
    /// An instance of any service announces that it is leaving, in its responses and, as soon
    /// as the store accepts it, in its entry. It ends later.
    Leave(usize),
    /// An instance of any service rejects all requests and asks callers to pause.
    RequestPause(usize),
    /// An instance of any service announces this rate limit in its responses for the duration
    /// of the fault, in thousandths of a request per second.
    AnnounceLimit(usize, u32),
    /// A foreign writer replaces the entry of an instance with unreadable content for the
    /// duration of the fault.
    ForeignEntry(usize),
    /// The store does not respond.
    StoreSilent,
    /// The store refuses all calls.
    StoreRefuses,
    /// The store carries out some writes late and without a response.
    StoreLosesAnswers,
    /// The store does not respond, and at the end is restored from a snapshot that was this
    /// old when the outage began.
    StoreRestored(Duration),
    /// The store drops its change history.
    StoreCompacts,
    /// Some orders get no response and are carried out seconds later.
    OrdersLate,
    /// All orders to an instance of the sharded service get no response and are carried out
    /// after this time.
    DelayOrders(usize, Duration),
    /// Some requests run but their responses are lost.
    AnswersLost,
    /// Instances follow some of their answers with a second, equal one on the same connection.
    SecondAnswers,
    /// The operator changes the configuration.
    Configure,
    /// The operator adds more routes than nodes send each other in datagrams.
    ConfigureLarge,
    /// About half of all instances crash at the same moment, along with their requests.
    CrashMany,
    /// All instances crash one after the other, along with their requests.
    CrashInTurn,
    /// All instances of a zone crash within a short time, along with their requests.
    CrashZone(usize),
    /// An instance of the sharded service crashes and restarts under the same id.
    RestartInstance(usize),
    /// An instance of any service crashes. Another one starts at its address at the end of
    /// the fault.
    ReplaceInstance(usize),
    /// The store refuses all calls of one node.
    StoreRefusesNode(Target),
    /// All open connections to the store stop carrying bytes, without being reset.
    SilenceConnections,
}

/// A scheduled fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Its kind.
    pub kind: FaultKind,
}

/// The faults of a run.
#[derive(Clone, Debug, Default)]
pub struct Schedule(pub Vec<Fault>);

impl Schedule {
    /// A schedule with a single fault.
    pub fn one(at: Duration, duration: Duration, kind: FaultKind) -> Schedule {
        Schedule(vec![Fault { at, duration, kind }])
    }

    /// Adds a fault.
    pub fn and(mut self, at: Duration, duration: Duration, kind: FaultKind) -> Schedule {
        self.0.push(Fault { at, duration, kind });
        self
    }

    /// Combines two schedules.
    pub fn join(mut self, other: Schedule) -> Schedule {
        self.0.extend(other.0);
        self
    }

    /// Draws partitions of 1 to 15 s between nodes and instances. In half of the cases the
    /// node is killed meanwhile.
    pub(super) fn draw_cuts(
        rng: &mut Pcg64Mcg,
        nodes: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let mut schedule = Schedule::default();
        for number in 0..rng.random_range(1..4) {
            let at = draw_time(rng, from, to);
            let duration = Duration::from_millis(rng.random_range(CUT_MS));
            let target = match number {
                0 => Target::Coordinator,
                _ => Target::Node(rng.random_range(0..nodes)),
            };
            schedule = schedule.and(at, duration, FaultKind::CutFromInstances(target));
            if rng.random_bool(0.5) {
                let after = duration.mul_f64(rng.random_range(0.0..1.0));
                let kill = FaultKind::KillNode(target);
                schedule = schedule.and(at + after, Duration::from_secs(2), kill);
            }
        }
        schedule
    }

    /// Draws suspensions of nodes, the first of which affects the coordinator.
    pub(super) fn draw_suspensions(
        rng: &mut Pcg64Mcg,
        nodes: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let one = |number: usize, rng: &mut Pcg64Mcg| Fault {
            at: draw_time(rng, from, to),
            duration: Duration::from_millis(rng.random_range(SUSPENDED_MS)),
            kind: FaultKind::SuspendNode(match number {
                0 => Target::Coordinator,
                _ => Target::Node(rng.random_range(0..nodes)),
            }),
        };
        let count = rng.random_range(1..4);
        Schedule((0..count).map(|number| one(number, rng)).collect())
    }

    /// Draws periods in which orders are carried out late, while nodes are cut off and owners
    /// leave, so that a late grant meets nodes that don't know of the next owner.
    pub(super) fn draw_late_orders(
        rng: &mut Pcg64Mcg,
        nodes: usize,
        instances: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(1..3) {
            let at = draw_time(rng, from, to);
            let duration = Duration::from_millis(rng.random_range(LATE_PERIOD_MS));
            schedule = schedule.and(at, duration, FaultKind::OrdersLate);
        }
        for _ in 0..rng.random_range(1..4) {
            let at = draw_time(rng, from, to);
            let duration = Duration::from_millis(rng.random_range(CUT_MS));
            let kind = match rng.random_range(0..3) {
                0 => FaultKind::DrainInstance(rng.random_range(0..instances)),
                _ => FaultKind::CutNode(Target::Node(rng.random_range(0..nodes))),
            };
            schedule = schedule.and(at, duration, kind);
        }
        schedule
    }

    /// Draws random faults that begin between `from` and `to`.
    pub fn draw(
        rng: &mut Pcg64Mcg,
        nodes: usize,
        instances: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let count = rng.random_range(3..9);
        let draw = |rng: &mut Pcg64Mcg| Fault {
            at: draw_time(rng, from, to),
            duration: draw_length(rng),
            kind: draw_kind(rng, nodes, instances),
        };
        Schedule((0..count).map(|_| draw(rng)).collect())
    }
}

/// Draws a time between two others.
pub(super) fn draw_time(rng: &mut Pcg64Mcg, from: Duration, to: Duration) -> Duration {
    let span = u64::try_from((to - from).as_millis()).unwrap_or(1);
    from + Duration::from_millis(rng.random_range(0..span))
}

/// Draws a duration. Most faults are short; some outlast every lease and every coordinator's
/// authority.
pub(super) fn draw_length(rng: &mut Pcg64Mcg) -> Duration {
    let longest = if rng.random_range(0..4) == 0 {
        25_000
    } else {
        7_000
    };
    Duration::from_millis(rng.random_range(500..longest))
}

fn draw_kind(rng: &mut Pcg64Mcg, nodes: usize, instances: usize) -> FaultKind {
    let target = if rng.random_range(0..2) == 0 {
        Target::Coordinator
    } else {
        Target::Node(rng.random_range(0..nodes))
    };
    let instance = rng.random_range(0..instances);
    match rng.random_range(0..19) {
        0 => FaultKind::KillNode(target),
        1 => FaultKind::FreezeNode(target),
        2 => FaultKind::CutNode(target),
        3 => FaultKind::CutFromStore(target),
        4 => FaultKind::StopNode(target),
        5 => FaultKind::KillAllNodes,
        6 => FaultKind::CrashInstance(instance),
        7 => FaultKind::SilenceInstance(instance),
        8 => FaultKind::CutInstance(instance),
        9 => FaultKind::DrainInstance(instance),
        10 => FaultKind::StoreSilent,
        11 => FaultKind::StoreRefuses,
        12 => FaultKind::StoreLosesAnswers,
        13 => FaultKind::StoreCompacts,
        14 => FaultKind::OrdersLate,
        15 => FaultKind::AnswersLost,
        16 => FaultKind::IsolateWithCoordinator(instance),
        17 => FaultKind::LeaveUnannounced(rng.random_range(0..ALL_INSTANCES)),
        _ => FaultKind::Configure,
    }
}
