//! New versions reach all nodes, delayed nodes catch up, and versions never decrease.

mod common;

use common::{Network, node_id};
use googletest::prelude::*;
use ledgelead_membership::*;
use ledgelead_types::codec::decode;
use ledgelead_types::protections::Protections;
use ledgelead_types::{Bytes, GroupId, Revision, ServiceId, Span, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;

const CONFIGURATION: ItemKey = ItemKey::Configuration;

fn version(revision: u64) -> ItemVersion {
    ItemVersion {
        revision: Revision(revision),
        ..ItemVersion::default()
    }
}

fn publish(key: ItemKey, revision: u64, size: usize) -> DisseminationInput {
    DisseminationInput::Publish {
        key,
        version: version(revision),
        value: Bytes(vec![revision as u8; size]),
    }
}

fn routes(service: u32) -> ItemKey {
    ItemKey::Routes(group(service))
}

fn group(service: u32) -> GroupId {
    GroupId {
        service: ServiceId(service),
        part: 0,
    }
}

fn holding(network: &Network, key: ItemKey, revision: u64) -> usize {
    let holds =
        |held: Option<(ItemVersion, &Bytes)>| held.map(|held| held.0) == Some(version(revision));
    let nodes = network.nodes.iter();
    nodes
        .filter(|node| holds(node.dissemination.get(key)))
        .count()
}

#[gtest]
fn small_and_large_items_reach_500_nodes_within_a_second() {
    let mut network = Network::new(500, 11);
    network.run(Span::from_seconds(30));
    network.loss = 0.01;
    for round in 1..=5 {
        network.dissemination_input(17, publish(CONFIGURATION, round, 60_000));
        network.dissemination_input(18, publish(routes(1), round, 300));
        network.run(Span::from_seconds(1));
        expect_that!(holding(&network, CONFIGURATION, round), eq(500));
        expect_that!(holding(&network, routes(1), round), eq(500));
    }
}

#[gtest]
fn partitioned_node_catches_up_within_6_seconds() {
    for seed in 0..10 {
        let mut network = Network::new(50, seed);
        network.run(Span::from_seconds(20));
        network.partitions[9] = 1;
        network.run(Span::from_seconds(120));
        network.dissemination_input(0, publish(CONFIGURATION, 5, 20_000));
        network.run(Span::from_seconds(5));
        network.partitions[9] = 0;
        network.run(Span::from_seconds(6));
        expect_that!(holding(&network, CONFIGURATION, 5), eq(50), "seed {seed}");
    }
}

/// Content that differs in a few places between consecutive revisions.
fn changing(revision: u64) -> Bytes {
    let number = |index: u64| {
        if index == revision * 7 % 500 {
            revision
        } else {
            index
        }
    };
    Bytes(
        (0..500)
            .flat_map(|index| number(index).to_le_bytes())
            .collect(),
    )
}

fn sent_bytes(network: &Network) -> usize {
    let nodes = network.nodes.iter();
    nodes.map(|node| node.dissemination_bytes as usize).sum()
}

/// New versions of large items are sent as differences, even if some are lost, and every
/// node ends with the same content.
#[gtest]
fn changes_of_large_items_are_sent_as_differences() {
    for (nodes, loss) in [(6, 0.0), (6, 0.05), (40, 0.05)] {
        let mut network = Network::new(nodes, 3);
        network.run(Span::from_seconds(10));
        network.loss = loss;
        let before = sent_bytes(&network);
        for revision in 1..=40 {
            let published = DisseminationInput::Publish {
                key: CONFIGURATION,
                version: version(revision),
                value: changing(revision),
            };
            network.dissemination_input(1, published);
            network.run(Span::from_millis(500));
        }
        network.run(Span::from_seconds(10));
        for node in &network.nodes {
            let held = node.dissemination.get(CONFIGURATION);
            expect_that!(held, some(eq((version(40), &changing(40)))));
        }
        let bytes = sent_bytes(&network) - before;
        let whole = 40 * nodes * changing(1).0.len();
        expect_that!(bytes, lt(whole / 2), "{nodes} nodes, loss {loss}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Versions are published at random nodes in any order and messages are lost: no node
    /// ever returns to an older version, and all nodes end with the highest.
    #[test]
    fn versions_never_decrease(
        seed: u64,
        published in prop::collection::vec((0_usize..8, 1_u64..30, 0_u64..400), 1..30),
    ) {
        let mut network = Network::new(8, seed);
        network.run(Span::from_seconds(5));
        network.loss = 0.3;
        for (node, revision, millis) in &published {
            network.dissemination_input(*node, publish(CONFIGURATION, *revision, 100 * *revision as usize));
            network.run(Span::from_millis(*millis));
        }
        network.loss = 0.0;
        network.run(Span::from_seconds(20));
        for node in &network.nodes {
            let seen = &node.updated[&CONFIGURATION];
            prop_assert!(seen.is_sorted_by(|one, two| one.1 < two.1));
        }
        let highest = published.iter().map(|(_, revision, _)| *revision).max();
        prop_assert_eq!(holding(&network, CONFIGURATION, highest.unwrap_or(0)), 8);
    }

    /// Arbitrary bytes are rejected or decode to a message.
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), kind in 0_u8..7) {
        let mut tagged = vec![kind, 0];
        tagged.extend(&bytes);
        for bytes in [&bytes, &tagged] {
            if let Ok(message) = decode::<MembershipMessage>(bytes) {
                let mut network = Network::new(2, 1);
                let from = message.sender().member.node;
                network.membership_input(0, MembershipInput::Message { from, message });
            }
            if let Ok(message) = decode::<DisseminationMessage>(bytes) {
                let mut network = Network::new(2, 1);
                let from = node_id(1);
                network.dissemination_input(0, DisseminationInput::Message { from, message });
            }
        }
    }
}

#[gtest]
fn items_of_removed_groups_are_dropped_and_not_accepted_again() {
    let settings = DisseminationSettings {
        node: node_id(0),
        random_seed: 1,
        protections: Protections::default(),
    };
    let mut node = Dissemination::new(settings, Time(0));
    for service in [1, 2, 9] {
        node.step(Time(0), publish(routes(service), 1, 10));
    }
    let groups = BTreeSet::from([group(2)]);
    let configured = DisseminationInput::Configured {
        groups,
        highest_service: ServiceId(3),
    };
    node.step(Time(1), configured);
    node.step(Time(2), publish(routes(1), 2, 10));
    expect_that!(node.get(routes(1)), none());
    expect_that!(node.get(routes(2)), some(anything()));
    expect_that!(node.get(routes(9)), some(anything()));
}

/// Frequent changes, each based on the previous one: a node that misses one, or the reply
/// with the whole item, does not have to wait for the next digest comparison.
#[gtest]
fn frequent_changes_under_loss_reach_all_nodes_within_300_ms() {
    for nodes in [6, 9, 12, 20] {
        for seed in 0..50 {
            let mut network = Network::new(nodes, seed);
            network.run(Span::from_seconds(10));
            network.dissemination_input(1, publish_changing(1));
            network.run(Span::from_seconds(5));
            network.loss = 0.02;
            for revision in 2..=6 {
                network.dissemination_input(1, publish_changing(revision));
                network.run(Span::from_millis(5));
            }
            network.run(Span::from_millis(300));
            let held = holding(&network, CONFIGURATION, 6);
            expect_that!(held, eq(nodes), "{nodes} nodes, seed {seed}");
        }
    }
}

fn publish_changing(revision: u64) -> DisseminationInput {
    DisseminationInput::Publish {
        key: CONFIGURATION,
        version: version(revision),
        value: changing(revision),
    }
}
