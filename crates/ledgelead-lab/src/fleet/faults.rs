//! Faults, and schedules of them drawn from a seed.

use super::world::ALL_INSTANCES;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// How long a node is cut from instances, in milliseconds: some cuts end between two
/// repetitions of TCP at 3.0, 6.2 and 12.6 s.
const CUT_MS: std::ops::Range<u64> = 1_000..15_000;
/// How long a machine is suspended, in milliseconds: up to where every lease and every
/// authority is over.
const SUSPENDED_MS: std::ops::Range<u64> = 1_000..18_000;

/// Whom a fault hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The node that coordinates as the fault begins, or the first.
    Coordinator,
    /// The node of this number.
    Node(usize),
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A node is killed and starts again later.
    KillNode(Target),
    /// A node stands still.
    FreezeNode(Target),
    /// A node's machine is suspended: it stands still, and its steady clock with it.
    SuspendNode(Target),
    /// A node is cut from the store and from other nodes.
    CutNode(Target),
    /// A node is cut from the store.
    CutFromStore(Target),
    /// A node gets the signal to stop, and starts again later.
    StopNode(Target),
    /// All nodes are killed at once.
    KillAllNodes,
    /// An instance of the sharded service crashes; its address answers.
    CrashInstance(usize),
    /// An instance of the sharded service falls silent.
    SilenceInstance(usize),
    /// An instance is cut from the store, the coordinator and some nodes.
    CutInstance(usize),
    /// A node is cut from some instances, and from nobody else.
    CutFromInstances(Target),
    /// The coordinator and an instance reach each other, and nobody else.
    IsolateWithCoordinator(usize),
    /// An instance says that it leaves, and ends later.
    DrainInstance(usize),
    /// An instance of any service leaves without a word: its entry goes, and it
    /// serves on for long.
    LeaveUnannounced(usize),
    /// An instance of any service says that it leaves, in its answers and, once the store
    /// takes that, in its entry; it ends later.
    Leave(usize),
    /// An instance of any service turns everything away, and asks for pauses.
    RequestPause(usize),
    /// An instance of any service names this rate limit in its answers, in thousandths of a
    /// request a second, until the end.
    AnnounceLimit(usize, u32),
    /// Another writer replaces an instance's entry by what can't be read, until the end.
    ForeignEntry(usize),
    /// The store answers nothing.
    StoreSilent,
    /// The store refuses all calls.
    StoreRefuses,
    /// The store does writes and answers some of them not, or late.
    StoreLosesAnswers,
    /// The store is silent, and comes back in the end from a copy that was so old as it went.
    StoreRestored(Duration),
    /// The store forgets its history.
    StoreCompacts,
    /// Some orders get no answer and are carried out seconds later.
    OrdersLate,
    /// Some requests run and their answers are lost.
    AnswersLost,
    /// The operator changes the configuration.
    Configure,
    /// The operator adds more routes than nodes send each other in datagrams.
    ConfigureLarge,
    /// Half of all instances crash at the same moment, with their work.
    CrashMany,
    /// All instances crash with their work, one after the other.
    CrashInTurn,
    /// An instance of the sharded service crashes, and starts again under its id.
    RestartInstance(usize),
    /// The store refuses all calls of a node, and serves the others.
    StoreRefusesNode(Target),
}

/// A fault at a time.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What happens.
    pub kind: FaultKind,
}

/// Faults of one run.
#[derive(Clone, Debug, Default)]
pub struct Schedule(pub Vec<Fault>);

impl Schedule {
    /// One fault.
    pub fn one(at: Duration, duration: Duration, kind: FaultKind) -> Schedule {
        Schedule(vec![Fault { at, duration, kind }])
    }

    /// One more fault.
    pub fn and(mut self, at: Duration, duration: Duration, kind: FaultKind) -> Schedule {
        self.0.push(Fault { at, duration, kind });
        self
    }

    /// The faults of both.
    pub fn join(mut self, other: Schedule) -> Schedule {
        self.0.extend(other.0);
        self
    }

    /// Cuts between nodes and instances of 1 to 15 s, and in half of the cases the node is
    /// killed meanwhile.
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

    /// Suspensions of nodes, of the coordinator first.
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

    /// Faults drawn at random, between `from` and `to`.
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

/// A time between two others.
pub(super) fn draw_time(rng: &mut Pcg64Mcg, from: Duration, to: Duration) -> Duration {
    let span = u64::try_from((to - from).as_millis()).unwrap_or(1);
    from + Duration::from_millis(rng.random_range(0..span))
}

/// Most faults are short; some outlast every lease and every authority.
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
