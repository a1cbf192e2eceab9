//! Quotas of tenants over all nodes: a replay of many nodes whose reports and announcements are
//! late or lost.

use googletest::prelude::*;
use ledgelead_router::Timestamp;
use ledgelead_router::quota::{Admission, Allocator, Counts, NodeCounts, Quota, Share};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

const NODES: usize = 63;
const TENANT: u64 = 17;
const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 5_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn quota(rate: f64, burst: f64) -> Quota {
    Quota::new(rate, burst).expect("a limit")
}

/// Limits of tenants, from small to large.
fn quotas() -> [Quota; 4] {
    [
        quota(10.0, 10.0),
        quota(49.0, 49.0),
        quota(49.0, 10.0),
        quota(200.0, 200.0),
    ]
}

fn node_address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(node).expect("few nodes")], 7_000))
}

/// What happened in a replay.
#[derive(Default)]
struct Outcome {
    /// Times of admitted requests, in ascending order.
    admitted: Vec<u64>,
    /// Times of refused requests.
    refused: Vec<u64>,
}

impl Outcome {
    fn admitted_within(&self, from_ms: u64, until_ms: u64) -> usize {
        let position = |at: u64| self.admitted.partition_point(|time| *time < at);
        position(until_ms) - position(from_ms)
    }

    /// The most requests in any window that ends after `from_ms`, as a share of the bound.
    fn worst_window(&self, quota: Quota, from_ms: u64) -> f64 {
        let window_s = WINDOW_MS as f64 / 1_000.0;
        let bound = (quota.rate * window_s + quota.burst) * (1.0 + OVERAGE) + SLACK;
        let ends = self.admitted.iter().map(|at| at + 1);
        ends.filter(|end| *end > from_ms)
            .map(|end| self.admitted_within(end.saturating_sub(WINDOW_MS), end) as f64 / bound)
            .fold(0.0, f64::max)
    }
}

/// Nodes, a coordinator, and messages between them.
struct Replay {
    quota: Quota,
    nodes: Vec<Admission>,
    weights: Vec<f64>,
    coordinator: Option<Allocator>,
    reports: Vec<(u64, usize, Vec<NodeCounts>)>,
    announcements: Vec<(u64, usize, Share)>,
    next_report: Vec<Timestamp>,
    next_announcement: Timestamp,
    rng: Pcg64Mcg,
    loss: f64,
    max_delay_ms: u64,
    has_quota: bool,
    /// Tokens of an ideal bucket of this size; requests beyond it aren't sent.
    conforming: Option<(f64, f64)>,
    outcome: Outcome,
}

impl Replay {
    fn new(quota: Quota, seed: u64) -> Replay {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // Uneven: some nodes receive a hundred times the requests of others.
        let weights: Vec<f64> = (0..NODES)
            .map(|_| 10f64.powf(rng.random_range(0.0..2.0)))
            .collect();
        Replay {
            quota,
            nodes: (0..NODES).map(|_| Admission::new(rng.random())).collect(),
            weights,
            coordinator: Some(Allocator::new(ms(0))),
            reports: Vec::new(),
            announcements: Vec::new(),
            next_report: (0..NODES).map(|node| ms(node as u64 * 30 % 200)).collect(),
            next_announcement: ms(0),
            rng,
            loss: 0.02,
            max_delay_ms: 60,
            has_quota: true,
            conforming: None,
            outcome: Outcome::default(),
        }
    }

    /// Runs until `end_ms`; `demand` is the requests a second of all nodes at a time.
    fn run(&mut self, from_ms: u64, end_ms: u64, demand: impl Fn(u64) -> f64) {
        for now_ms in (from_ms..end_ms).step_by(STEP_MS as usize) {
            self.deliver(now_ms);
            self.send_requests(now_ms, demand(now_ms));
            self.send_messages(now_ms);
        }
    }

    /// Sends only requests within a token bucket of the quota's rate and of this burst.
    fn conforming(quota: Quota, burst: f64, seed: u64) -> Replay {
        Replay {
            conforming: Some((burst, burst)),
            ..Replay::new(quota, seed)
        }
    }

    /// Takes a token of the ideal bucket.
    fn conforms(&mut self) -> bool {
        let Some((_, tokens)) = &mut self.conforming else {
            return true;
        };
        let conforms = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(conforms));
        conforms
    }

    fn send_requests(&mut self, now_ms: u64, demand: f64) {
        if let Some((burst, tokens)) = &mut self.conforming {
            let new = self.quota.rate * STEP_MS as f64 / 1_000.0;
            *tokens = (*tokens + new).min(*burst);
        }
        let total: f64 = self.weights.iter().sum();
        for node in 0..NODES {
            let rate = demand * self.weights[node] / total;
            // Random arrivals: the thinned exponential gaps of a Poisson process.
            let mut left = rate * STEP_MS as f64 / 1_000.0;
            loop {
                left += self.rng.random_range(f64::EPSILON..1.0f64).ln();
                if left < 0.0 {
                    break;
                }
                if !self.conforms() {
                    continue;
                }
                let quota = self.quota;
                let decision = self.nodes[node].admit(TENANT, quota, ms(now_ms));
                match decision.is_ok() || !self.has_quota {
                    true => self.outcome.admitted.push(now_ms),
                    false => self.outcome.refused.push(now_ms),
                }
            }
        }
    }

    fn send_messages(&mut self, now_ms: u64) {
        let now = ms(now_ms);
        for node in 0..NODES {
            if self.next_report[node] <= now {
                self.next_report[node] = now + self.nodes[node].report_interval(now);
                let counts = self.nodes[node].take_counts();
                if let Some(at) = self.arrival(now_ms) {
                    self.reports.push((at, node, counts));
                }
            }
        }
        let quota = self.quota;
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        if self.next_announcement > now {
            return;
        }
        let shares = coordinator.shares(|_| Some(quota), now);
        self.next_announcement = now + coordinator.announcement_interval(now);
        for share in shares {
            for node in 0..NODES {
                if let Some(at) = self.arrival(now_ms) {
                    self.announcements.push((at, node, share));
                }
            }
        }
    }

    /// When a message sent now arrives, if it does.
    fn arrival(&mut self, now_ms: u64) -> Option<u64> {
        let is_lost = self.rng.random_bool(self.loss);
        let delay = self.rng.random_range(1..=self.max_delay_ms);
        (!is_lost).then_some(now_ms + delay)
    }

    fn deliver(&mut self, now_ms: u64) {
        let now = ms(now_ms);
        for (_, node, counts) in self.reports.extract_if(.., |(at, ..)| *at <= now_ms) {
            let Some(coordinator) = &mut self.coordinator else {
                continue;
            };
            for entry in counts {
                coordinator.record(node_address(node), 1, entry, self.quota, now);
            }
        }
        for (_, node, share) in self.announcements.extract_if(.., |(at, ..)| *at <= now_ms) {
            self.nodes[node].receive_share(share, now);
        }
    }
}

/// A demand over time, relative to the rate.
type Shape = fn(u64, f64) -> f64;

/// Demand that is steady, rises suddenly, or comes in waves.
fn shapes() -> [(&'static str, Shape); 4] {
    [
        ("steady", |_, factor| factor),
        (
            "sudden",
            |at, factor| if at < 20_000 { 0.6 } else { factor },
        ),
        (
            "waves",
            |at, factor| {
                if at / 2_000 % 2 == 0 { factor } else { 0.5 }
            },
        ),
        (
            "slow waves",
            |at, factor| {
                if at / 7_000 % 2 == 0 { factor } else { 0.5 }
            },
        ),
    ]
}

#[gtest]
fn tenant_below_its_quota_is_never_refused() {
    for quota in quotas() {
        for factor in [0.5, 0.8, 0.95] {
            for seed in 0..10 {
                let mut replay = Replay::conforming(quota, quota.burst, seed);
                replay.run(0, 60_000, |_| factor * quota.rate);
                let place = format!("{quota:?}, {factor}, seed {seed}");
                expect_that!(replay.outcome.refused, is_empty(), "{place}");
            }
        }
    }
}

#[gtest]
fn burst_within_the_quota_is_never_refused() {
    for seed in 0..10 {
        let quota = quota(49.0, 98.0);
        // Half a second at three times the rate uses half of the burst.
        let mut replay = Replay::conforming(quota, quota.burst, seed);
        replay.run(0, 60_000, |at| match at > 10_000 && at % 10_000 < 500 {
            true => 3.0 * quota.rate,
            false => 0.7 * quota.rate,
        });
        expect_that!(replay.outcome.refused, is_empty(), "seed {seed}");
    }
}

/// Replays a demand beyond the quota. The bound holds, and steady demand gets its rate.
fn check_beyond(quota: Quota, factor: f64, (name, shape): (&str, Shape), seed: u64) {
    let mut replay = Replay::new(quota, seed);
    replay.run(0, 60_000, |at| shape(at, factor) * quota.rate);
    let worst = replay.outcome.worst_window(quota, 0);
    let place = format!("{quota:?}, {factor}, {name}, seed {seed}: {worst:.2}");
    expect_that!(worst, le(1.0), "{place}");
    if !name.contains("waves") {
        let served = replay.outcome.admitted_within(30_000, 60_000) as f64;
        expect_that!(served, ge(0.9 * quota.rate * 30.0), "{place}");
    }
}

#[gtest]
fn tenant_beyond_its_quota_stays_within_the_bound_and_gets_its_rate() {
    for quota in quotas() {
        for factor in [1.05, 2.0, 5.0] {
            for shape in shapes() {
                for seed in 0..4 {
                    check_beyond(quota, factor, shape, seed);
                }
            }
        }
    }
}

#[gtest]
fn bound_is_exceeded_without_the_quota() {
    for factor in [2.0, 5.0] {
        for (name, shape) in shapes() {
            let quota = quota(49.0, 49.0);
            let mut replay = Replay::new(quota, 7);
            replay.has_quota = false;
            replay.run(0, 60_000, |at| shape(at, factor) * quota.rate);
            let worst = replay.outcome.worst_window(quota, 0);
            expect_that!(worst, gt(1.0), "{factor}, {name}");
        }
    }
}

#[gtest]
fn loss_of_the_coordinator_keeps_the_bound() {
    for quota in quotas() {
        for factor in [0.8, 2.0, 5.0] {
            for away_ms in [1_000, 3_000, 15_000] {
                let mut replay = Replay::new(quota, 11);
                if factor < 1.0 {
                    replay.conforming = Some((quota.burst, quota.burst));
                }
                let demand = |_| factor * quota.rate;
                replay.run(0, 20_000, demand);
                replay.coordinator = None;
                replay.run(20_000, 20_000 + away_ms, demand);
                replay.coordinator = Some(Allocator::new(ms(20_000 + away_ms)));
                replay.run(20_000 + away_ms, 60_000, demand);
                let worst = replay.outcome.worst_window(quota, 0);
                let place = format!("{quota:?}, {factor}, {away_ms}: {worst:.2}");
                expect_that!(worst, le(1.0), "{place}");
                if factor < 1.0 {
                    expect_that!(replay.outcome.refused, is_empty(), "{place}");
                }
            }
        }
    }
}

#[gtest]
fn lowered_quota_binds_after_one_window() {
    for factor in [1.0, 2.0, 5.0] {
        let mut replay = Replay::new(quota(98.0, 98.0), 13);
        let lowered = quota(49.0, 49.0);
        let demand = |_| factor * lowered.rate;
        replay.run(0, 20_000, demand);
        replay.quota = lowered;
        replay.run(20_000, 60_000, demand);
        let worst = replay.outcome.worst_window(lowered, 25_000);
        expect_that!(worst, le(1.0), "{factor}");
        let served = replay.outcome.admitted_within(30_000, 60_000) as f64;
        expect_that!(served, ge(0.9 * lowered.rate * 30.0), "{factor}");
    }
}

#[gtest]
fn one_node_alone_keeps_the_whole_quota() {
    let quota = quota(49.0, 49.0);
    let mut node = Admission::new(1);
    let admitted = (0..5_000).filter(|at| node.admit(TENANT, quota, ms(*at)).is_ok());
    // The rate and the burst, and the margin for random fluctuations.
    expect_that!(admitted.count(), all!(ge(294), le(313)));
}

#[gtest]
fn lost_or_repeated_reports_lose_no_counts() {
    let quota = quota(49.0, 0.0);
    let mut node = Admission::new(1);
    let mut coordinator = Allocator::new(ms(0));
    let report = |node: &mut Admission, at: u64| {
        for step in 0..10 {
            // At most the tokens of the local bucket.
            let _ = node.admit(TENANT, quota, ms(at + step));
        }
        node.take_counts()
    };
    let first = report(&mut node, 1_000);
    let _lost = report(&mut node, 1_200);
    let last = report(&mut node, 1_400);
    expect_that!(first[0].recent.arrived, eq(10));
    expect_that!(last[0].recent.arrived, eq(10));
    expect_that!(last[0].total.arrived, eq(30));
    for entry in [first[0], last[0], first[0], last[0]] {
        coordinator.record(node_address(1), 1, entry, quota, ms(1_500));
    }
    let mut expected = Allocator::new(ms(0));
    let all = NodeCounts {
        recent: last[0].total,
        ..last[0]
    };
    expected.record(node_address(1), 1, all, quota, ms(1_500));
    let shares = |allocator: &mut Allocator| allocator.shares(|_| Some(quota), ms(1_700));
    expect_that!(shares(&mut coordinator), eq(&shares(&mut expected)));
}

/// The share after a first report in which half of 100 requests were refused.
fn share_after_refusals(started: Timestamp, now: Timestamp) -> f64 {
    let quota = quota(49.0, 98.0);
    let counts = Counts {
        arrived: 100,
        admitted: 50,
    };
    let entry = NodeCounts {
        tenant: TENANT,
        total: counts,
        recent: counts,
    };
    let mut coordinator = Allocator::new(started);
    coordinator.record(node_address(1), 1, entry, quota, now);
    let shares = coordinator.shares(|_| Some(quota), now + ms(200));
    shares.first().map_or(1.0, |share| share.current)
}

#[gtest]
fn new_coordinator_grants_no_burst_to_a_tenant_that_was_refused_requests() {
    let of_new = share_after_refusals(ms(9_000), ms(10_000));
    let of_old = share_after_refusals(ms(0), ms(10_000));
    expect_that!(of_new, lt(0.1));
    expect_that!(of_old, gt(0.5));
}
