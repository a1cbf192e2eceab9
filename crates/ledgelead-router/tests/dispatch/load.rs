//! Callers and an owner in virtual time, with and without a dispatcher.
//!
//! The owner has slots and a short queue of its own; callers ask at a rate that is drawn, and
//! some of them repeat at once. No network: a message takes no time.

use ledgelead_router::dispatch::{
    Admission, DispatchRequest, Dispatcher, PermitId, PermitOutcome, QueueKind, Server,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Slots of the owner.
pub const SLOTS: usize = 2;
/// Places in its own queue.
const PLACES: usize = 8;
/// Mean work of a request.
pub const WORK: Duration = Duration::from_millis(76);
/// How long a machine is slow for a moment.
const PHASE: Duration = Duration::from_millis(400);
/// Tries of a caller beyond the first.
const RETRIES: u32 = 2;

/// Requests a second that the owner can work on.
pub fn capacity(slow_share: f64) -> f64 {
    SLOTS as f64 / WORK.as_secs_f64() / (1.0 + 2.0 * slow_share)
}

/// A kind of requests.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Time to its target.
    pub target: Duration,
    /// Its share of all requests.
    pub share: f64,
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests a second as a multiple of the owner's capacity, by time.
    pub factor: fn(Duration) -> f64,
    /// Share of callers that come back at once, whatever they are told.
    pub impatient: f64,
    /// For how long.
    pub length: Duration,
    /// The kinds.
    pub kinds: Vec<Kind>,
    /// Whether a dispatcher hands out permits.
    pub permits: bool,
    /// Share of the time in which the owner's machine takes three times as long, for 400 ms
    /// each.
    pub slow_share: f64,
}

/// What became of the requests of a kind in a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Callers.
    pub asked: u32,
    /// Answered by their first target.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
}

impl Outcome {
    /// The sum of both.
    pub fn and(self, other: Outcome) -> Outcome {
        Outcome {
            asked: self.asked + other.asked,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
        }
    }

    /// The share that is answered in time.
    pub fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// The share of the answers that are late.
    pub fn share_late(self) -> f64 {
        f64::from(self.late) / f64::from((self.in_time + self.late).max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    kind: usize,
    began: Duration,
    tries: u32,
    impatient: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Try(u64),
    Done(u64),
    Due,
}

/// One run.
pub struct Run {
    load: Load,
    rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    now: Duration,
    callers: HashMap<u64, Caller>,
    last_caller: u64,
    running: usize,
    queue: VecDeque<u64>,
    dispatcher: Dispatcher,
    slow_until: Duration,
    next_phase: Duration,
    /// By second in which the caller came first, and kind.
    pub outcomes: Vec<Vec<Outcome>>,
    sent: HashMap<u64, Duration>,
}

impl Run {
    /// Plays a load.
    pub fn play(load: Load, seed: u64) -> Run {
        let seconds = load.length.as_secs() as usize + 1;
        let kinds = load.kinds.len();
        let mut run = Run {
            load,
            rng: Pcg64Mcg::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            now: Duration::ZERO,
            callers: HashMap::new(),
            last_caller: 0,
            running: 0,
            queue: VecDeque::new(),
            dispatcher: Dispatcher::default(),
            slow_until: Duration::ZERO,
            next_phase: Duration::ZERO,
            outcomes: vec![vec![Outcome::default(); kinds]; seconds],
            sent: HashMap::new(),
        };
        run.schedule(Duration::ZERO, Event::Arrival);
        while let Some(Reverse((at, _, event))) = run.events.pop() {
            run.now = at;
            run.happen(event);
        }
        run
    }

    /// What became of the callers of all kinds that came between two seconds.
    pub fn total(&self, from: usize, to: usize) -> Outcome {
        let seconds = self.outcomes[from..to].iter().flatten();
        seconds.fold(Outcome::default(), |sum, one| sum.and(*one))
    }

    /// The same for one kind.
    pub fn of_kind(&self, kind: usize, from: usize, to: usize) -> Outcome {
        let seconds = self.outcomes[from..to].iter().map(|kinds| kinds[kind]);
        seconds.fold(Outcome::default(), Outcome::and)
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Try(caller) => self.attempt(caller),
            Event::Done(caller) => self.done(caller),
            Event::Due => {
                let decided = self.dispatcher.deadline(self.now);
                self.take(
                    decided
                        .iter()
                        .map(|one| (one.requester.number, one.verdict, one.retry_after))
                        .collect(),
                );
            }
        }
        if let Some(at) = self.dispatcher.next_deadline() {
            self.schedule(at.max(self.now), Event::Due);
            // One such event is enough; those of earlier deadlines do nothing.
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.load.length {
            return;
        }
        let rate = (self.load.factor)(self.now) * capacity(self.load.slow_share);
        let pause = -f64::ln(self.rng.random_range(f64::EPSILON..1.0)) / rate;
        self.schedule(
            self.now + Duration::from_secs(1).mul_f64(pause),
            Event::Arrival,
        );
        let drawn: f64 = self.rng.random_range(0.0..1.0);
        let mut sum = 0.0;
        let mut kinds = self.load.kinds.iter();
        let kind = kinds
            .position(|kind| {
                sum += kind.share;
                drawn < sum
            })
            .unwrap_or(0);
        self.last_caller += 1;
        let caller = Caller {
            kind,
            began: self.now,
            tries: 0,
            impatient: self.rng.random_bool(self.load.impatient),
        };
        self.callers.insert(self.last_caller, caller);
        self.outcome(self.last_caller).asked += 1;
        self.attempt(self.last_caller);
    }

    fn outcome(&mut self, caller: u64) -> &mut Outcome {
        let Caller { kind, began, .. } = self.callers[&caller];
        &mut self.outcomes[began.as_secs() as usize][kind]
    }

    fn attempt(&mut self, caller: u64) {
        let Caller { kind, tries, .. } = self.callers[&caller];
        let kind = self.load.kinds[kind];
        if !self.load.permits {
            self.reach(caller);
            return;
        }
        let ask = DispatchRequest {
            queue: 1,
            kind: QueueKind::Owner,
            requester: PermitId {
                node: SocketAddr::from(([10, 0, 0, 1], 7_000)),
                number: caller * 10 + u64::from(tries),
            },
            urgency: kind.urgency,
            to_target: kind.target,
            left: Duration::from_millis(2_500),
            caller,
            is_cold: false,
            tried: None,
        };
        let owner = Server {
            id: 1,
            slots: SLOTS,
            is_cold: false,
            service_time: Some(WORK),
        };
        let decided = self
            .dispatcher
            .ask(&ask, || [owner], self.now)
            .expect("one owner");
        self.take(
            decided
                .iter()
                .map(|one| (one.requester.number, one.verdict, one.retry_after))
                .collect(),
        );
    }

    fn take(&mut self, decided: Vec<(u64, Admission, Duration)>) {
        for (number, verdict, retry_after) in decided {
            let caller = number / 10;
            match verdict {
                Admission::Granted(_) => self.reach(caller),
                Admission::Queued => {}
                Admission::Refused => self.refused(caller, retry_after),
            }
        }
    }

    /// A request reaches the owner.
    fn reach(&mut self, caller: u64) {
        self.sent.insert(caller, self.now);
        if self.running < SLOTS {
            self.begin(caller);
        } else if self.queue.len() < PLACES {
            self.queue.push_back(caller);
        } else {
            self.refused(caller, Duration::from_millis(150));
        }
    }

    fn begin(&mut self, caller: u64) {
        self.running += 1;
        // Work spreads by a third, and one request in thirty takes much longer.
        let mut factor = self.rng.random_range(0.5..1.4);
        if self.rng.random_bool(0.03) {
            factor *= 3.0;
        }
        if self.is_slow() {
            factor *= 3.0;
        }
        self.schedule(self.now + WORK.mul_f64(factor), Event::Done(caller));
    }

    /// Whether the machine is slow for the moment.
    fn is_slow(&mut self) -> bool {
        if self.now >= self.next_phase {
            self.next_phase = self.now + PHASE;
            if self.rng.random_bool(self.load.slow_share) {
                self.slow_until = self.next_phase;
            }
        }
        self.now < self.slow_until
    }

    fn done(&mut self, caller: u64) {
        self.running -= 1;
        if let Some(next) = self.queue.pop_front() {
            self.begin(next);
        }
        let Caller {
            kind, began, tries, ..
        } = self.callers[&caller];
        let in_time = self.now <= began + self.load.kinds[kind].target;
        let outcome = self.outcome(caller);
        outcome.in_time += u32::from(in_time);
        outcome.late += u32::from(!in_time);
        if self.load.permits {
            let requester = PermitId {
                node: SocketAddr::from(([10, 0, 0, 1], 7_000)),
                number: caller * 10 + u64::from(tries),
            };
            let took = self.now - self.sent[&caller];
            let decided = self.dispatcher.returned(
                1,
                requester,
                PermitOutcome::Answered { took, load: None },
                self.now,
            );
            self.take(
                decided
                    .iter()
                    .map(|one| (one.requester.number, one.verdict, one.retry_after))
                    .collect(),
            );
        }
    }

    fn refused(&mut self, caller: u64, retry_after: Duration) {
        let known = self.callers.get_mut(&caller).expect("a caller");
        if known.tries >= RETRIES {
            return;
        }
        known.tries += 1;
        let pause = match known.impatient {
            true => Duration::from_millis(2),
            // As it is told, up to a third of the time that it has left.
            false => retry_after.min(Duration::from_millis(800)),
        };
        self.schedule(self.now + pause, Event::Try(caller));
    }
}
