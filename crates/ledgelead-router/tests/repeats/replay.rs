//! A simulated load without a network: all instances of a service reject two in five requests
//! for 8 s, half of the clients use a fifth of the nodes, and some nodes crash.

use crate::checker::{Arrivals, WINDOW};
use googletest::prelude::*;
use ledgelead_router::Timestamp;
use ledgelead_router::identity::ServiceName;
use ledgelead_router::requests::{
    BudgetBounds, RefusalShares, RetryBudget, RetryCandidate, RetryDecision, retry_after,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const SEEDS: u64 = 10;
const NODES: usize = 20;
/// The nodes that get half of the clients.
const BUSY: usize = NODES / 5;
const RATIO: f64 = 0.2;
const SLACK: f64 = 174.0;
const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 2_600;
/// Requests per second of each kind.
const DEMAND: [f64; 3] = [240.0, 320.0, 240.0];
const TARGET: Duration = Duration::from_millis(600);
/// Clients give up after this time.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Value of a response after the target latency.
const LATE_CREDIT: f64 = 0.4;
const RESPONSE_TIME: Duration = Duration::from_millis(120);
const REJECTION_TIME: Duration = Duration::from_millis(5);
/// Shares of the attempts that are rejected, and whose response is lost, while the instances
/// fail.
const REJECTED: f64 = 0.4;
const LOST: f64 = 0.05;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::from("s")
}

fn is_failing(now: Timestamp) -> bool {
    ms(12_000) <= now && now < ms(20_000)
}

/// Nodes that crash while the instances reject, and one that restarts.
const CRASHES: [(Duration, usize); 3] = [
    (Duration::from_millis(13_500), 1),
    (Duration::from_millis(14_000), 9),
    (Duration::from_millis(15_500), 12),
];
const RESTART: (Duration, usize) = (Duration::from_millis(15_000), 1);

struct Node {
    budget: RetryBudget,
    rejections: RefusalShares,
}

/// A client's request, at its next attempt.
#[derive(Clone, Copy)]
struct PendingRequest {
    at: Timestamp,
    kind: usize,
    began: Timestamp,
    node: usize,
    /// Attempts in this submission.
    attempts: u32,
    /// Whether the request may have run in one of them.
    may_have_run: bool,
    /// Client submissions left.
    submissions: u32,
}

#[derive(Default)]
struct Outcome {
    requested: [f64; 3],
    served: [f64; 3],
    credit: f64,
    /// Minimum difference between the limit and the retries.
    margin: f64,
    retries: usize,
}

impl Outcome {
    /// Combines the results of several replays.
    fn add(&mut self, other: &Outcome) {
        for kind in 0..DEMAND.len() {
            self.requested[kind] += other.requested[kind];
            self.served[kind] += other.served[kind];
        }
        self.credit += other.credit;
        self.margin = self.margin.min(other.margin);
        self.retries += other.retries;
    }

    fn served_share(&self, kind: usize) -> f64 {
        self.served[kind] / self.requested[kind]
    }
}

struct Replay {
    rng: Pcg64Mcg,
    by_value: bool,
    nodes: Vec<Option<Node>>,
    pending: Vec<PendingRequest>,
    arrivals: Arrivals,
    outcome: Outcome,
}

impl Replay {
    fn new(by_value: bool, seed: u64) -> Replay {
        let mut replay = Replay {
            rng: Pcg64Mcg::seed_from_u64(seed),
            by_value,
            nodes: (0..NODES).map(|_| None).collect(),
            pending: Vec::new(),
            arrivals: Arrivals::default(),
            outcome: Outcome::default(),
        };
        for node in 0..NODES {
            replay.start(node, Duration::ZERO);
        }
        replay
    }

    fn start(&mut self, node: usize, now: Timestamp) {
        let mut budget = RetryBudget::new(BudgetBounds {
            ratio: RATIO,
            slack: SLACK,
            window: WINDOW,
        });
        budget.start(now);
        if now > Duration::ZERO {
            budget.record_earlier_incarnation();
        }
        self.nodes[node] = Some(Node {
            budget,
            rejections: RefusalShares::default(),
        });
    }

    /// Chooses a node for a client: half of them use the busy ones.
    fn node(&mut self) -> usize {
        loop {
            let node = match self.rng.random_bool(0.5) {
                true => self.rng.random_range(0..BUSY),
                false => self.rng.random_range(BUSY..NODES),
            };
            if self.nodes[node].is_some() {
                return node;
            }
        }
    }

    fn submit_new(&mut self, now: Timestamp) {
        for (kind, demand) in DEMAND.into_iter().enumerate() {
            let expected = demand * STEP.as_secs_f64();
            let more = self.rng.random_bool(expected.fract());
            for _ in 0..expected as usize + usize::from(more) {
                self.outcome.requested[kind] += f64::from(u8::from(is_failing(now)));
                let (node, submissions) = (self.node(), self.rng.random_range(1..=2));
                self.submit(
                    PendingRequest {
                        at: now,
                        kind,
                        began: now,
                        node,
                        attempts: 0,
                        may_have_run: false,
                        submissions,
                    },
                    now,
                );
            }
        }
    }

    /// A client submits the request, for the first time or again.
    fn submit(&mut self, request: PendingRequest, now: Timestamp) {
        self.arrivals.requests.push(now);
        if let Some(node) = self.nodes[request.node].as_mut() {
            node.budget.record_request(&service(), now);
        }
        self.attempt(request, now);
    }

    fn attempt(&mut self, mut request: PendingRequest, now: Timestamp) {
        request.attempts += 1;
        let drawn = self.rng.random_range(0.0..1.0);
        let rejected = is_failing(now) && drawn < REJECTED;
        if let Some(node) = self.nodes[request.node].as_mut() {
            node.rejections.record_request(&service(), now);
            if rejected {
                node.rejections.record_refusal(&service(), now);
            }
        }
        if rejected {
            request.at = now + REJECTION_TIME;
        } else if is_failing(now) && drawn < REJECTED + LOST {
            request.at = now + RESPONSE_TIME;
            request.may_have_run = true;
        } else {
            self.serve(&request, now + RESPONSE_TIME);
            return;
        }
        self.pending.push(request);
    }

    fn serve(&mut self, request: &PendingRequest, now: Timestamp) {
        if !is_failing(request.began) || now > request.began + CLIENT_TIMEOUT {
            return;
        }
        self.outcome.served[request.kind] += 1.0;
        let late = now > request.began + TARGET;
        self.outcome.credit += if late { LATE_CREDIT } else { 1.0 };
    }

    fn process_due(&mut self, now: Timestamp) {
        let due: Vec<PendingRequest> = self
            .pending
            .extract_if(.., |request| request.at <= now)
            .collect();
        for request in due {
            if request.attempts == 0 {
                self.submit(request, now);
            } else if request.attempts < 2 && self.is_retry_granted(&request, now) {
                self.arrivals.retries.push(now);
                self.attempt(request, now);
            } else {
                self.refuse(request, now);
            }
        }
    }

    fn is_retry_granted(&mut self, request: &PendingRequest, now: Timestamp) -> bool {
        let alive = self.nodes.iter().flatten().count();
        let Some(node) = self.nodes[request.node].as_mut() else {
            return false;
        };
        let candidate = RetryCandidate {
            rank: u32::try_from(request.kind).unwrap_or(u32::MAX),
            meets_target: now + RESPONSE_TIME <= request.began + TARGET,
            not_run: !request.may_have_run,
            acceptance: 1.0 - node.rejections.share(&service(), now),
        };
        if self.by_value {
            node.budget
                .try_acquire_for(&service(), &candidate, alive, now)
                == RetryDecision::Granted
        } else {
            node.budget.try_acquire(&service(), alive, now)
        }
    }

    /// The client submits the request again after the retry time, if it has submissions left.
    fn refuse(&mut self, mut request: PendingRequest, now: Timestamp) {
        if request.submissions == 0 {
            return;
        }
        let share = match self.nodes[request.node].as_mut() {
            Some(node) => node.rejections.share(&service(), now),
            None => 0.0,
        };
        let jitter = self.rng.random_range(1.0..1.7);
        request.at = now + retry_after(share).mul_f64(jitter);
        request.node = self.node();
        request.submissions -= 1;
        request.attempts = 0;
        request.may_have_run = false;
        self.pending.push(request);
    }

    fn run(mut self) -> Outcome {
        for step in 0..STEPS {
            let now = STEP * step;
            for (at, node) in CRASHES {
                if at == now {
                    self.nodes[node] = None;
                }
            }
            if RESTART.0 == now {
                self.start(RESTART.1, now);
            }
            let alive = self.nodes.iter().flatten().count();
            for node in self.nodes.iter_mut().flatten() {
                node.budget.record_node_count(alive, now);
            }
            self.submit_new(now);
            self.process_due(now);
        }
        self.outcome.retries = self.arrivals.retries.len();
        self.outcome.margin = -self.arrivals.excess(RATIO, SLACK);
        self.outcome
    }
}

/// The combined results of several replays. With `by_value` the budget is spent on the most
/// valuable retries, else in order of arrival.
fn replays(by_value: bool) -> Outcome {
    let mut all = Outcome {
        margin: f64::INFINITY,
        ..Outcome::default()
    };
    for seed in 0..SEEDS {
        all.add(&Replay::new(by_value, seed).run());
    }
    all
}

#[gtest]
fn urgent_requests_are_served_first_and_no_kind_starves() {
    let first_come = replays(false);
    let by_value = replays(true);
    for outcome in [&first_come, &by_value] {
        let shares = [0, 1, 2].map(|kind| outcome.served_share(kind));
        println!(
            "credit {:.0}, served {shares:.3?}, repeats {}, left of the bound {:.0}",
            outcome.credit, outcome.retries, outcome.margin
        );
        expect_that!(outcome.margin, ge(0.0));
    }
    let shares = [0, 1, 2].map(|kind| by_value.served_share(kind));
    expect_that!(shares[0], ge(shares[1]));
    expect_that!(shares[1], ge(shares[2]));
    expect_that!(shares[2], ge(0.25));
    expect_that!(shares[0], gt(first_come.served_share(0)));
    expect_that!(by_value.credit, ge(first_come.credit * 0.99));
}
