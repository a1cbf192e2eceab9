//! Retries never exceed the budget over all nodes.

use crate::checker::{Arrivals, WINDOW};
use googletest::prelude::*;
use ledgelead_router::Timestamp;
use ledgelead_router::identity::ServiceName;
use ledgelead_router::requests::{BudgetBounds, RetryBudget, RetryCandidate, RetryDecision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Time between two steps of a history.
const STEP: Duration = Duration::from_millis(10);
/// Time until a change of the nodes is known to the others.
const VIEW_LAG: Duration = Duration::from_millis(500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::from("s")
}

/// An event at one node.
#[derive(Clone, Copy, Debug)]
enum NodeEvent {
    Crashes,
    Starts,
    /// The node is partitioned from the store: it sees no changes, and is no longer registered
    /// after a while.
    Partitioned,
    Heals,
}

#[derive(Clone, Debug)]
struct Phase {
    steps: u32,
    /// Requests per second over all nodes.
    demand: f64,
    /// Share of the attempts that request a retry.
    retried: f64,
    /// The node that gets half of the clients.
    busiest: usize,
}

#[derive(Clone, Debug)]
struct History {
    seed: u64,
    nodes: usize,
    ratio: f64,
    slack: f64,
    by_value: bool,
    phases: Vec<Phase>,
    events: Vec<(u32, usize, NodeEvent)>,
}

struct Incarnation {
    budget: RetryBudget,
    /// Distinguishes the incarnations of a node.
    number: usize,
    view: usize,
}

#[derive(Default)]
struct NodeSlot {
    incarnation: Option<Incarnation>,
    partitioned_since: Option<Timestamp>,
    alive_since: Option<Timestamp>,
}

impl NodeSlot {
    /// Whether the other nodes see it in the registry.
    fn is_registered(&self, now: Timestamp) -> bool {
        let known = |at: Timestamp| at + VIEW_LAG <= now;
        self.alive_since.is_some_and(known) && !self.partitioned_since.is_some_and(known)
    }
}

struct PendingRetry {
    at: Timestamp,
    node: usize,
    incarnation: usize,
    retries: u32,
    candidate: RetryCandidate,
}

struct Fleet {
    rng: Pcg64Mcg,
    bounds: BudgetBounds,
    slots: Vec<NodeSlot>,
    incarnations: usize,
    pending_retries: Vec<PendingRetry>,
    arrivals: Arrivals,
}

impl Fleet {
    fn new(history: &History) -> Fleet {
        let bounds = BudgetBounds {
            ratio: history.ratio,
            slack: history.slack,
            window: WINDOW,
        };
        let mut fleet = Fleet {
            rng: Pcg64Mcg::seed_from_u64(history.seed),
            bounds,
            slots: (0..history.nodes).map(|_| NodeSlot::default()).collect(),
            incarnations: 0,
            pending_retries: Vec::new(),
            arrivals: Arrivals::default(),
        };
        for node in 0..history.nodes {
            fleet.start(node, Duration::ZERO);
        }
        fleet
    }

    fn start(&mut self, node: usize, now: Timestamp) {
        if self.slots[node].incarnation.is_some() {
            return;
        }
        let mut budget = RetryBudget::new(self.bounds);
        budget.start(now);
        // All nodes start at first; a node that starts later has had another incarnation.
        if now > Duration::ZERO {
            budget.record_earlier_incarnation();
        }
        self.incarnations += 1;
        self.slots[node] = NodeSlot {
            incarnation: Some(Incarnation {
                budget,
                number: self.incarnations,
                view: 0,
            }),
            partitioned_since: None,
            alive_since: Some(now),
        };
    }

    fn apply_event(&mut self, node: usize, event: NodeEvent, now: Timestamp) {
        // At most a fifth of the nodes are partitioned at the same time.
        let partitioned = self
            .slots
            .iter()
            .filter(|slot| slot.partitioned_since.is_some());
        let may_partition = (partitioned.count() + 1) * 5 <= self.slots.len();
        match event {
            NodeEvent::Crashes => self.slots[node] = NodeSlot::default(),
            NodeEvent::Starts => self.start(node, now),
            NodeEvent::Partitioned if may_partition => {
                let slot = &mut self.slots[node];
                slot.partitioned_since = slot.partitioned_since.or(Some(now));
            }
            NodeEvent::Partitioned => {}
            NodeEvent::Heals => self.slots[node].partitioned_since = None,
        }
    }

    fn update_views(&mut self, now: Timestamp) {
        let registered = self.slots.iter().filter(|slot| slot.is_registered(now));
        let registered = registered.count();
        for slot in self.slots.iter_mut() {
            let partitioned = slot.partitioned_since.is_some();
            if let Some(incarnation) = slot.incarnation.as_mut().filter(|_| !partitioned) {
                incarnation.view = registered;
                incarnation.budget.record_node_count(registered, now);
            }
        }
    }

    fn request(&mut self, phase: &Phase, now: Timestamp) {
        let alive: Vec<usize> = (0..self.slots.len())
            .filter(|node| self.slots[*node].incarnation.is_some())
            .collect();
        self.arrivals.requests.push(now);
        let Some(any) = alive.get(self.rng.random_range(0..alive.len().max(1))) else {
            return;
        };
        let busiest = phase.busiest % self.slots.len();
        let goes_busiest = alive.contains(&busiest) && self.rng.random_bool(0.5);
        let node = if goes_busiest { busiest } else { *any };
        let Some(incarnation) = self.slots[node].incarnation.as_mut() else {
            return;
        };
        incarnation.budget.record_request(&service(), now);
        let number = incarnation.number;
        self.request_retry(phase, node, number, 0, now);
    }

    fn request_retry(
        &mut self,
        phase: &Phase,
        node: usize,
        incarnation: usize,
        retries: u32,
        now: Timestamp,
    ) {
        if !self.rng.random_bool(phase.retried) || retries >= 3 {
            return;
        }
        let candidate = RetryCandidate {
            rank: self.rng.random_range(0..3),
            meets_target: self.rng.random_bool(0.8),
            not_run: self.rng.random_bool(0.8),
            acceptance: 0.6,
        };
        let at = now + ms(self.rng.random_range(1..300));
        self.pending_retries.push(PendingRetry {
            at,
            node,
            incarnation,
            retries,
            candidate,
        });
    }

    fn send_retries(&mut self, phase: &Phase, by_value: bool, now: Timestamp) {
        let due: Vec<PendingRetry> = self
            .pending_retries
            .extract_if(.., |retry| retry.at <= now)
            .collect();
        for retry in due {
            let incarnation = self.slots[retry.node].incarnation.as_mut();
            let Some(incarnation) =
                incarnation.filter(|incarnation| incarnation.number == retry.incarnation)
            else {
                continue;
            };
            let (nodes, service) = (incarnation.view, service());
            let granted = match by_value {
                true => {
                    incarnation
                        .budget
                        .try_acquire_for(&service, &retry.candidate, nodes, now)
                        == RetryDecision::Granted
                }
                false => incarnation.budget.try_acquire(&service, nodes, now),
            };
            if granted {
                let transit = ms(self.rng.random_range(0..30));
                self.arrivals.retries.push(now + transit);
                self.request_retry(phase, retry.node, retry.incarnation, retry.retries + 1, now);
            }
        }
    }
}

/// Simulates a history.
fn arrivals(history: &History) -> Arrivals {
    let mut fleet = Fleet::new(history);
    let mut step = 0;
    for phase in &history.phases {
        for _ in 0..phase.steps {
            let now = STEP * step;
            for (at, node, event) in &history.events {
                if *at == step {
                    fleet.apply_event(node % history.nodes, *event, now);
                }
            }
            fleet.update_views(now);
            fleet.send_retries(phase, history.by_value, now);
            let expected = phase.demand * STEP.as_secs_f64();
            let more = fleet.rng.random_bool(expected.fract());
            for _ in 0..expected as usize + usize::from(more) {
                fleet.request(phase, now);
            }
            step += 1;
        }
    }
    fleet.arrivals
}

fn phase() -> impl Strategy<Value = Phase> {
    let demand = prop_oneof![Just(0.0), 1.0..30.0, 30.0..600.0];
    let retried = prop_oneof![Just(0.0), Just(0.4), Just(1.0)];
    (50u32..1_200, demand, retried, 0usize..40).prop_map(|(steps, demand, retried, busiest)| {
        Phase {
            steps,
            demand,
            retried,
            busiest,
        }
    })
}

fn event() -> impl Strategy<Value = (u32, usize, NodeEvent)> {
    let event = prop_oneof![
        Just(NodeEvent::Crashes),
        Just(NodeEvent::Starts),
        Just(NodeEvent::Starts),
        Just(NodeEvent::Partitioned),
        Just(NodeEvent::Heals),
    ];
    (0u32..5_000, 0usize..40, event)
}

prop_compose! {
    fn history()(
        seed in any::<u64>(),
        nodes in 1usize..40,
        slack in 0.0..200.0,
        by_value in any::<bool>(),
        phases in proptest::collection::vec(phase(), 1..8),
        events in proptest::collection::vec(event(), 0..120),
    ) -> History {
        History { seed, nodes, ratio: 0.2, slack, by_value, phases, events }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(0x7265_7065),
        ..ProptestConfig::default()
    })]

    #[test]
    fn limit_holds_over_starts_crashes_and_partitions(history in history()) {
        let excess = arrivals(&history).excess(history.ratio, history.slack);
        prop_assert!(excess <= 0.0, "{excess} beyond the bound");
    }
}

/// A history in which all running nodes request retries all the time.
fn steady(nodes: usize, events: Vec<(u32, usize, NodeEvent)>) -> History {
    let phase = Phase {
        steps: 4_000,
        demand: 60.0,
        retried: 1.0,
        busiest: 0,
    };
    History {
        seed: 5,
        nodes,
        ratio: 0.2,
        slack: 170.0,
        by_value: false,
        phases: vec![phase],
        events,
    }
}

#[gtest]
fn restarted_nodes_do_not_reuse_the_slack() {
    let restart = |step: u32, node: usize| {
        let (crashes, starts) = (NodeEvent::Crashes, NodeEvent::Starts);
        [(step, node, crashes), (step + 10, node, starts)]
    };
    let restarts = (0..8u32).flat_map(|at| {
        let step = 1_500 + at * 250;
        (0..6usize).flat_map(move |node| restart(step + node as u32 * 9, node))
    });
    let history = steady(6, restarts.collect());
    expect_that!(arrivals(&history).excess(0.2, 170.0), le(0.0));
}

#[gtest]
fn remaining_nodes_do_not_reuse_the_slack_of_crashed_ones() {
    let crashes = (1..6usize).map(|node| (2_000 + node as u32 * 20, node, NodeEvent::Crashes));
    let history = steady(6, crashes.collect());
    expect_that!(arrivals(&history).excess(0.2, 170.0), le(0.0));
}

#[gtest]
fn stable_fleet_uses_most_of_the_budget() {
    let mut arrivals = arrivals(&steady(6, Vec::new()));
    let within = |times: &[Timestamp]| {
        let late = times
            .iter()
            .filter(|at| ms(25_000) <= **at && **at < ms(35_000));
        late.count() as f64
    };
    let allowed = 0.2 * within(&arrivals.requests) + 170.0;
    expect_that!(within(&arrivals.retries), ge(allowed * 0.7));
    expect_that!(arrivals.excess(0.2, 170.0), le(0.0));
}

#[gtest]
fn clients_that_change_nodes_do_not_count_fully_at_both() {
    let phase = |steps, retried| Phase {
        steps,
        demand: 300.0,
        retried,
        busiest: 9,
    };
    let crashes = (2..10usize).map(|node| (1_100, node, NodeEvent::Crashes));
    let history = History {
        slack: 10.0,
        phases: vec![phase(1_000, 0.0), phase(1_200, 1.0)],
        ..steady(10, crashes.collect())
    };
    expect_that!(arrivals(&history).excess(0.2, 10.0), le(0.0));
}
