//! The budget over all nodes is never passed.

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
/// Until a change of the nodes is known to the others.
const VIEW_LAG: Duration = Duration::from_millis(500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::from("s")
}

/// What happens to one node.
#[derive(Clone, Copy, Debug)]
enum Happening {
    Dies,
    Starts,
    /// It loses the store: it sees no changes, and after a while isn't registered.
    IsCut,
    Heals,
}

#[derive(Clone, Debug)]
struct Phase {
    steps: u32,
    /// Requests a second over all nodes.
    demand: f64,
    /// Share of the attempts that ask for a repeat.
    repeated: f64,
    /// The node to which half of the clients go.
    heavy: usize,
}

#[derive(Clone, Debug)]
struct History {
    seed: u64,
    nodes: usize,
    ratio: f64,
    slack: f64,
    by_value: bool,
    phases: Vec<Phase>,
    happenings: Vec<(u32, usize, Happening)>,
}

struct Life {
    budget: RetryBudget,
    /// Tells the lives of one node apart.
    number: usize,
    view: usize,
}

#[derive(Default)]
struct Place {
    life: Option<Life>,
    cut_since: Option<Timestamp>,
    alive_since: Option<Timestamp>,
}

impl Place {
    /// Whether the others see it in the registry.
    fn is_registered(&self, now: Timestamp) -> bool {
        let known = |at: Timestamp| at + VIEW_LAG <= now;
        self.alive_since.is_some_and(known) && !self.cut_since.is_some_and(known)
    }
}

struct Wish {
    at: Timestamp,
    node: usize,
    life: usize,
    repeats: u32,
    facts: RetryCandidate,
}

struct Fleet {
    rng: Pcg64Mcg,
    bounds: BudgetBounds,
    places: Vec<Place>,
    lives: usize,
    wishes: Vec<Wish>,
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
            places: (0..history.nodes).map(|_| Place::default()).collect(),
            lives: 0,
            wishes: Vec::new(),
            arrivals: Arrivals::default(),
        };
        for node in 0..history.nodes {
            fleet.start(node, Duration::ZERO);
        }
        fleet
    }

    fn start(&mut self, node: usize, now: Timestamp) {
        if self.places[node].life.is_some() {
            return;
        }
        let mut budget = RetryBudget::new(self.bounds);
        budget.start(now);
        // All nodes start at first; whoever starts later has had another life.
        if now > Duration::ZERO {
            budget.note_earlier_incarnation();
        }
        self.lives += 1;
        self.places[node] = Place {
            life: Some(Life {
                budget,
                number: self.lives,
                view: 0,
            }),
            cut_since: None,
            alive_since: Some(now),
        };
    }

    fn happens(&mut self, node: usize, happening: Happening, now: Timestamp) {
        // A fifth of the nodes at most are cut off at once.
        let cut = self.places.iter().filter(|place| place.cut_since.is_some());
        let may_cut = (cut.count() + 1) * 5 <= self.places.len();
        match happening {
            Happening::Dies => self.places[node] = Place::default(),
            Happening::Starts => self.start(node, now),
            Happening::IsCut if may_cut => {
                let place = &mut self.places[node];
                place.cut_since = place.cut_since.or(Some(now));
            }
            Happening::IsCut => {}
            Happening::Heals => self.places[node].cut_since = None,
        }
    }

    fn look(&mut self, now: Timestamp) {
        let registered = self.places.iter().filter(|place| place.is_registered(now));
        let registered = registered.count();
        for place in self.places.iter_mut() {
            let cut = place.cut_since.is_some();
            if let Some(life) = place.life.as_mut().filter(|_| !cut) {
                life.view = registered;
                life.budget.record_node_count(registered, now);
            }
        }
    }

    fn request(&mut self, phase: &Phase, now: Timestamp) {
        let alive: Vec<usize> = (0..self.places.len())
            .filter(|node| self.places[*node].life.is_some())
            .collect();
        self.arrivals.requests.push(now);
        let Some(any) = alive.get(self.rng.random_range(0..alive.len().max(1))) else {
            return;
        };
        let heavy = phase.heavy % self.places.len();
        let goes_heavy = alive.contains(&heavy) && self.rng.random_bool(0.5);
        let node = if goes_heavy { heavy } else { *any };
        let Some(life) = self.places[node].life.as_mut() else {
            return;
        };
        life.budget.record_request(&service(), now);
        let number = life.number;
        self.wish(phase, node, number, 0, now);
    }

    fn wish(&mut self, phase: &Phase, node: usize, life: usize, repeats: u32, now: Timestamp) {
        if !self.rng.random_bool(phase.repeated) || repeats >= 3 {
            return;
        }
        let facts = RetryCandidate {
            rank: self.rng.random_range(0..3),
            meets_target: self.rng.random_bool(0.8),
            not_run: self.rng.random_bool(0.8),
            acceptance: 0.6,
        };
        let at = now + ms(self.rng.random_range(1..300));
        self.wishes.push(Wish {
            at,
            node,
            life,
            repeats,
            facts,
        });
    }

    fn repeat(&mut self, phase: &Phase, by_value: bool, now: Timestamp) {
        let due: Vec<Wish> = self.wishes.extract_if(.., |wish| wish.at <= now).collect();
        for wish in due {
            let life = self.places[wish.node].life.as_mut();
            let Some(life) = life.filter(|life| life.number == wish.life) else {
                continue;
            };
            let (nodes, service) = (life.view, service());
            let drawn = match by_value {
                true => {
                    life.budget
                        .try_acquire_for(&service, &wish.facts, nodes, now)
                        == RetryDecision::Granted
                }
                false => life.budget.try_acquire(&service, nodes, now),
            };
            if drawn {
                let way = ms(self.rng.random_range(0..30));
                self.arrivals.repeats.push(now + way);
                self.wish(phase, wish.node, wish.life, wish.repeats + 1, now);
            }
        }
    }
}

/// Plays a history.
fn arrivals(history: &History) -> Arrivals {
    let mut fleet = Fleet::new(history);
    let mut step = 0;
    for phase in &history.phases {
        for _ in 0..phase.steps {
            let now = STEP * step;
            for (at, node, happening) in &history.happenings {
                if *at == step {
                    fleet.happens(node % history.nodes, *happening, now);
                }
            }
            fleet.look(now);
            fleet.repeat(phase, history.by_value, now);
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
    let repeated = prop_oneof![Just(0.0), Just(0.4), Just(1.0)];
    (50u32..1_200, demand, repeated, 0usize..40).prop_map(|(steps, demand, repeated, heavy)| {
        Phase {
            steps,
            demand,
            repeated,
            heavy,
        }
    })
}

fn happening() -> impl Strategy<Value = (u32, usize, Happening)> {
    let happening = prop_oneof![
        Just(Happening::Dies),
        Just(Happening::Starts),
        Just(Happening::Starts),
        Just(Happening::IsCut),
        Just(Happening::Heals),
    ];
    (0u32..5_000, 0usize..40, happening)
}

prop_compose! {
    fn history()(
        seed in any::<u64>(),
        nodes in 1usize..40,
        slack in 0.0..200.0,
        by_value in any::<bool>(),
        phases in proptest::collection::vec(phase(), 1..8),
        happenings in proptest::collection::vec(happening(), 0..120),
    ) -> History {
        History { seed, nodes, ratio: 0.2, slack, by_value, phases, happenings }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(0x7265_7065),
        ..ProptestConfig::default()
    })]

    #[test]
    fn whatever_starts_dies_or_is_cut_off_the_bound_is_kept(history in history()) {
        let excess = arrivals(&history).excess(history.ratio, history.slack);
        prop_assert!(excess <= 0.0, "{excess} beyond the bound");
    }
}

/// A history in which all that are up ask for repeats all the time.
fn steady(nodes: usize, happenings: Vec<(u32, usize, Happening)>) -> History {
    let phase = Phase {
        steps: 4_000,
        demand: 60.0,
        repeated: 1.0,
        heavy: 0,
    };
    History {
        seed: 5,
        nodes,
        ratio: 0.2,
        slack: 170.0,
        by_value: false,
        phases: vec![phase],
        happenings,
    }
}

#[gtest]
fn nodes_that_start_anew_do_not_use_the_slack_again() {
    let restart = |step: u32, node: usize| {
        let (dies, starts) = (Happening::Dies, Happening::Starts);
        [(step, node, dies), (step + 10, node, starts)]
    };
    let restarts = (0..8u32).flat_map(|at| {
        let step = 1_500 + at * 250;
        (0..6usize).flat_map(move |node| restart(step + node as u32 * 9, node))
    });
    let history = steady(6, restarts.collect());
    expect_that!(arrivals(&history).excess(0.2, 170.0), le(0.0));
}

#[gtest]
fn those_that_remain_do_not_use_the_slack_of_the_dead_again() {
    let deaths = (1..6usize).map(|node| (2_000 + node as u32 * 20, node, Happening::Dies));
    let history = steady(6, deaths.collect());
    expect_that!(arrivals(&history).excess(0.2, 170.0), le(0.0));
}

#[gtest]
fn a_steady_fleet_uses_most_of_the_budget() {
    let mut arrivals = arrivals(&steady(6, Vec::new()));
    let within = |times: &[Timestamp]| {
        let late = times
            .iter()
            .filter(|at| ms(25_000) <= **at && **at < ms(35_000));
        late.count() as f64
    };
    let allowed = 0.2 * within(&arrivals.requests) + 170.0;
    expect_that!(within(&arrivals.repeats), ge(allowed * 0.7));
    expect_that!(arrivals.excess(0.2, 170.0), le(0.0));
}

#[gtest]
fn clients_that_change_nodes_do_not_pay_at_both() {
    let phase = |steps, repeated| Phase {
        steps,
        demand: 300.0,
        repeated,
        heavy: 9,
    };
    let deaths = (2..10usize).map(|node| (1_100, node, Happening::Dies));
    let history = History {
        slack: 10.0,
        phases: vec![phase(1_000, 0.0), phase(1_200, 1.0)],
        ..steady(10, deaths.collect())
    };
    expect_that!(arrivals(&history).excess(0.2, 10.0), le(0.0));
}
