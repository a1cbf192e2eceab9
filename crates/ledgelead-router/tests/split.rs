//! Which requests of a split route go to key owners, and how precisely the shares are kept.

use googletest::prelude::*;
use ledgelead_router::identity::ServiceName;
use ledgelead_router::requests::{SplitRequest, Splits};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Number of requests per measurement.
const REQUESTS: usize = 300;
/// Body size of an upload.
const UPLOAD_BYTES: usize = 60_000;

/// Nodes of several zones that split one route.
struct Fleet {
    nodes: Vec<(usize, Splits, Pcg64Mcg)>,
    /// The share of the keys that each zone owns.
    owned: Vec<f64>,
    /// The share of the requests that each zone's clients send.
    traffic: Vec<f64>,
    rng: Pcg64Mcg,
}

/// The result of a number of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    sharded: usize,
    bytes_between_zones: usize,
}

fn normalized(parts: &[f64]) -> Vec<f64> {
    let total: f64 = parts.iter().sum();
    parts.iter().map(|part| part / total).collect()
}

impl Fleet {
    fn new(nodes: usize, owned: &[f64], traffic: &[f64], seed: u64) -> Fleet {
        let zones = owned.len();
        let node = |number| {
            let rng = Pcg64Mcg::seed_from_u64(seed + 1 + number as u64);
            (number % zones, Splits::default(), rng)
        };
        Fleet {
            nodes: (0..nodes).map(node).collect(),
            owned: normalized(owned),
            traffic: normalized(traffic),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn even(nodes: usize, seed: u64) -> Fleet {
        Fleet::new(nodes, &[1.0; 4], &[1.0; 4], seed)
    }

    fn zone(rng: &mut Pcg64Mcg, parts: &[f64]) -> usize {
        let mut drawn = rng.random_range(0.0..1.0);
        for (zone, part) in parts.iter().enumerate() {
            if drawn < *part {
                return zone;
            }
            drawn -= part;
        }
        parts.len() - 1
    }

    /// Sends client requests; with `draws_evenly` the target is drawn by weight alone.
    fn run(
        &mut self,
        share: f64,
        requests: usize,
        size: impl Fn(&mut Pcg64Mcg) -> usize,
        draws_evenly: bool,
    ) -> Outcome {
        let sharded = ServiceName::from("records");
        let mut outcome = Outcome::default();
        for _ in 0..requests {
            let from = Fleet::zone(&mut self.rng, &self.traffic);
            let owner = Fleet::zone(&mut self.rng, &self.owned);
            let in_zone: Vec<usize> = (0..self.nodes.len())
                .filter(|number| self.nodes[*number].0 == from)
                .collect();
            let chosen = in_zone[self.rng.random_range(0..in_zone.len())];
            let body_bytes = size(&mut self.rng);
            let local_share = self.owned[from];
            let (_, splits, rng) = &mut self.nodes[chosen];
            let request = SplitRequest {
                route: "uploads",
                sharded: &sharded,
                share,
                body_bytes,
                is_local: Some(from == owner),
            };
            let is_keyed = match draws_evenly {
                true => rng.random_range(0.0..1.0) < share,
                false => splits.draw(&request, || local_share, Duration::ZERO, rng),
            };
            outcome.sharded += usize::from(is_keyed);
            if is_keyed && from != owner {
                outcome.bytes_between_zones += body_bytes;
            }
        }
        outcome
    }
}

fn uploads(_: &mut Pcg64Mcg) -> usize {
    UPLOAD_BYTES
}

fn mixed(rng: &mut Pcg64Mcg) -> usize {
    rng.random_range(8_192..200_000)
}

fn share_of(outcome: Outcome, requests: usize) -> f64 {
    outcome.sharded as f64 / requests as f64
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For any distribution of owners and clients, from each node's first request on.
    #[test]
    fn shares_hold_for_any_owners_zones_and_weights(
        zones in prop::collection::vec((0.05_f64..1.0, 0.05_f64..1.0), 2..6),
        share in 0.05_f64..0.95,
        seed in any::<u64>(),
        is_mixed in any::<bool>(),
    ) {
        let (owned, traffic): (Vec<f64>, Vec<f64>) = zones.into_iter().unzip();
        let size = if is_mixed { mixed } else { uploads };
        let seed = seed >> 1;
        let mut fleet = Fleet::new(owned.len(), &owned, &traffic, seed);
        for _ in 0..3 {
            let few = fleet.run(share, REQUESTS, size, false);
            let error = share_of(few, REQUESTS) - share;
            prop_assert!(error.abs() <= 0.03, "off by {error}");
        }
    }
}

/// Each node sees about five requests and has to round its share of them to whole decisions,
/// so no split that each node makes alone can be exact. Their errors must not be biased.
#[gtest]
fn shares_of_many_nodes_are_unbiased_from_the_start() {
    for share in [0.1, 0.5, 0.9] {
        let mut total = 0.0;
        for seed in 0..200 {
            let mut fleet = Fleet::even(58, seed * 1_000);
            let measured = share_of(fleet.run(share, REQUESTS, uploads, false), REQUESTS);
            expect_that!(measured, near(share, 0.06));
            total += measured;
        }
        expect_that!(total / 200.0, near(share, 0.004));
    }
}

#[gtest]
fn few_requests_of_one_node_keep_the_share() {
    let mut fleet = Fleet::even(4, 5);
    for _ in 0..40 {
        let few = fleet.run(0.5, 200, uploads, false);
        expect_that!(share_of(few, 200), near(0.5, 0.05));
    }
}

/// A node whose list of owners is wrong corrects its share.
#[gtest]
fn a_wrong_view_of_owners_does_not_change_the_share() {
    let mut fleet = Fleet::even(58, 3);
    fleet.owned = normalized(&[7.0, 1.0, 1.0, 1.0]);
    fleet.traffic = normalized(&[7.0, 1.0, 1.0, 1.0]);
    let first = fleet.run(0.5, REQUESTS, uploads, false);
    expect_that!(share_of(first, REQUESTS), near(0.5, 0.06));
    let later = fleet.run(0.5, REQUESTS, uploads, false);
    expect_that!(share_of(later, REQUESTS), near(0.5, 0.06));
}

/// Bytes that uploads to owners in four zones send between zones, in one split.
fn bytes_between_zones(share: f64, draws_evenly: bool) -> usize {
    let mut fleet = Fleet::even(58, 17);
    let outcome = fleet.run(share, 3_860, uploads, draws_evenly);
    println!("share {share} evenly {draws_evenly}: {outcome:?}");
    outcome.bytes_between_zones
}

#[gtest]
fn uploads_prefer_owners_in_the_same_zone() {
    // With a quarter of the keys in each zone, no choice can get below 2/3.
    let before = bytes_between_zones(0.5, true) as f64;
    expect_that!(bytes_between_zones(0.5, false) as f64, lt(before * 0.75));
    let before = bytes_between_zones(0.1, true) as f64;
    expect_that!(bytes_between_zones(0.1, false) as f64, lt(before * 0.4));
}

#[gtest]
fn every_kind_of_request_reaches_both_services() {
    let sharded = ServiceName::from("records");
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for is_local in [true, false] {
        for share in [0.1, 0.9] {
            let mut splits = Splits::default();
            let request = SplitRequest {
                route: "uploads",
                sharded: &sharded,
                share,
                body_bytes: UPLOAD_BYTES,
                is_local: Some(is_local),
            };
            let draws = (0..2_000)
                .map(|_| splits.draw(&request, || 0.25, Duration::ZERO, &mut rng))
                .filter(|is_keyed| *is_keyed)
                .count();
            expect_that!(draws, gt(0));
            expect_that!(draws, lt(2_000));
        }
    }
}
