//! Simulates callers and one owner in virtual time, with and without a dispatcher.
//!
//! The owner has slots and a short queue of its own. Callers arrive at random at a given rate,
//! and some of them retry almost at once. There is no network: messages take no time.

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
/// Capacity of the owner's own queue.
const QUEUE_CAPACITY: usize = 8;
/// Mean service time of a request.
pub const SERVICE_TIME: Duration = Duration::from_millis(76);
/// Duration of a period in which a machine is slow.
const SLOW_PERIOD: Duration = Duration::from_millis(400);
/// Retries of a caller.
const RETRIES: u32 = 2;

/// Requests per second that the owner can handle.
pub fn capacity(slow_share: f64) -> f64 {
    SLOTS as f64 / SERVICE_TIME.as_secs_f64() / (1.0 + 2.0 * slow_share)
}

/// A kind of requests.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Target latency.
    pub target: Duration,
    /// Its share of all requests.
    pub share: f64,
}

/// The simulated load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests per second over time, as a multiple of the owner's capacity.
    pub factor: fn(Duration) -> f64,
    /// Share of callers that retry almost at once, whatever retry time they were given.
    pub impatient_share: f64,
    /// Duration of the load.
    pub length: Duration,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// Whether a dispatcher grants permits.
    pub permits: bool,
    /// Share of the time in which the owner's machine is three times slower, for 400 ms at a
    /// time.
    pub slow_share: f64,
}

/// Results of the requests of one kind in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Number of callers.
    pub callers: u32,
    /// Answered within the target of their first submission.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
}

impl Outcome {
    /// The sum of two results.
    pub fn plus(self, other: Outcome) -> Outcome {
        Outcome {
            callers: self.callers + other.callers,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
        }
    }

    /// The share of callers answered in time.
    pub fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.callers.max(1))
    }

    /// The share of responses that are late.
    pub fn share_late(self) -> f64 {
        f64::from(self.late) / f64::from((self.in_time + self.late).max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    kind: usize,
    first_submitted: Duration,
    retries: u32,
    is_impatient: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Submit(u64),
    ServiceEnds(u64),
    QueueDeadline,
}

/// One simulation run.
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
    next_slow_check: Duration,
    /// Results by kind and by the second in which the caller first arrived.
    pub outcomes: Vec<Vec<Outcome>>,
    sent: HashMap<u64, Duration>,
}

impl Run {
    /// Runs a simulation.
    pub fn simulate(load: Load, seed: u64) -> Run {
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
            next_slow_check: Duration::ZERO,
            outcomes: vec![vec![Outcome::default(); kinds]; seconds],
            sent: HashMap::new(),
        };
        run.schedule(Duration::ZERO, Event::Arrival);
        while let Some(Reverse((at, _, event))) = run.events.pop() {
            run.now = at;
            run.handle_event(event);
        }
        run
    }

    /// Results of all kinds for callers that arrived between two seconds.
    pub fn total(&self, from: usize, to: usize) -> Outcome {
        let seconds = self.outcomes[from..to].iter().flatten();
        seconds.fold(Outcome::default(), |sum, one| sum.plus(*one))
    }

    /// Results of one kind for callers that arrived between two seconds.
    pub fn of_kind(&self, kind: usize, from: usize, to: usize) -> Outcome {
        let seconds = self.outcomes[from..to].iter().map(|kinds| kinds[kind]);
        seconds.fold(Outcome::default(), Outcome::plus)
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Submit(caller) => self.submit(caller),
            Event::ServiceEnds(caller) => self.finish_service(caller),
            Event::QueueDeadline => {
                let decided = self.dispatcher.make_due_decisions(self.now);
                self.apply_decisions(
                    decided
                        .iter()
                        .map(|one| (one.requester.number, one.admission, one.retry_after))
                        .collect(),
                );
            }
        }
        if let Some(at) = self.dispatcher.next_deadline() {
            self.schedule(at.max(self.now), Event::QueueDeadline);
            // One such event is enough; those for earlier deadlines have no effect.
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
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let mut sum = 0.0;
        let mut kinds = self.load.kinds.iter();
        let kind = kinds
            .position(|kind| {
                sum += kind.share;
                draw < sum
            })
            .unwrap_or(0);
        self.last_caller += 1;
        let caller = Caller {
            kind,
            first_submitted: self.now,
            retries: 0,
            is_impatient: self.rng.random_bool(self.load.impatient_share),
        };
        self.callers.insert(self.last_caller, caller);
        self.outcome(self.last_caller).callers += 1;
        self.submit(self.last_caller);
    }

    fn outcome(&mut self, caller: u64) -> &mut Outcome {
        let Caller {
            kind,
            first_submitted,
            ..
        } = self.callers[&caller];
        &mut self.outcomes[first_submitted.as_secs() as usize][kind]
    }

    fn submit(&mut self, caller: u64) {
        let Caller { kind, retries, .. } = self.callers[&caller];
        let kind = self.load.kinds[kind];
        if !self.load.permits {
            self.reach_owner(caller);
            return;
        }
        let request = DispatchRequest {
            queue: 1,
            kind: QueueKind::Owner,
            requester: PermitId {
                node: SocketAddr::from(([10, 0, 0, 1], 7_000)),
                number: caller * 10 + u64::from(retries),
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
            service_time: Some(SERVICE_TIME),
        };
        let decided = self
            .dispatcher
            .request_permit(&request, || [owner], self.now)
            .expect("one owner");
        self.apply_decisions(
            decided
                .iter()
                .map(|one| (one.requester.number, one.admission, one.retry_after))
                .collect(),
        );
    }

    fn apply_decisions(&mut self, decided: Vec<(u64, Admission, Duration)>) {
        for (number, admission, retry_after) in decided {
            let caller = number / 10;
            match admission {
                Admission::Granted(_) => self.reach_owner(caller),
                Admission::Queued => {}
                Admission::Refused => self.refused(caller, retry_after),
            }
        }
    }

    /// A request reaches the owner.
    fn reach_owner(&mut self, caller: u64) {
        self.sent.insert(caller, self.now);
        if self.running < SLOTS {
            self.start_service(caller);
        } else if self.queue.len() < QUEUE_CAPACITY {
            self.queue.push_back(caller);
        } else {
            self.refused(caller, Duration::from_millis(150));
        }
    }

    fn start_service(&mut self, caller: u64) {
        self.running += 1;
        // Service times vary by a third, and one request in thirty takes much longer.
        let mut factor = self.rng.random_range(0.5..1.4);
        if self.rng.random_bool(0.03) {
            factor *= 3.0;
        }
        if self.is_slow() {
            factor *= 3.0;
        }
        self.schedule(
            self.now + SERVICE_TIME.mul_f64(factor),
            Event::ServiceEnds(caller),
        );
    }

    /// Whether the machine is currently slow.
    fn is_slow(&mut self) -> bool {
        if self.now >= self.next_slow_check {
            self.next_slow_check = self.now + SLOW_PERIOD;
            if self.rng.random_bool(self.load.slow_share) {
                self.slow_until = self.next_slow_check;
            }
        }
        self.now < self.slow_until
    }

    fn finish_service(&mut self, caller: u64) {
        self.running -= 1;
        if let Some(next) = self.queue.pop_front() {
            self.start_service(next);
        }
        let Caller {
            kind,
            first_submitted,
            retries,
            ..
        } = self.callers[&caller];
        let in_time = self.now <= first_submitted + self.load.kinds[kind].target;
        let outcome = self.outcome(caller);
        outcome.in_time += u32::from(in_time);
        outcome.late += u32::from(!in_time);
        if self.load.permits {
            let requester = PermitId {
                node: SocketAddr::from(([10, 0, 0, 1], 7_000)),
                number: caller * 10 + u64::from(retries),
            };
            let duration = self.now - self.sent[&caller];
            let decided = self.dispatcher.return_permit(
                1,
                requester,
                PermitOutcome::Answered {
                    took: duration,
                    load: None,
                },
                self.now,
            );
            self.apply_decisions(
                decided
                    .iter()
                    .map(|one| (one.requester.number, one.admission, one.retry_after))
                    .collect(),
            );
        }
    }

    fn refused(&mut self, caller: u64, retry_after: Duration) {
        let caller_state = self.callers.get_mut(&caller).expect("a caller");
        if caller_state.retries >= RETRIES {
            return;
        }
        caller_state.retries += 1;
        let pause = match caller_state.is_impatient {
            true => Duration::from_millis(2),
            // Waits for the retry time, up to a third of the caller's remaining time.
            false => retry_after.min(Duration::from_millis(800)),
        };
        self.schedule(self.now + pause, Event::Submit(caller));
    }
}
