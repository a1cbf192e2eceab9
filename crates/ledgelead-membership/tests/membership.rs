//! Live sets converge despite message loss, partitions, restarts and pauses.

mod common;

use common::{Network, node_id};
use googletest::prelude::*;
use ledgelead_membership::*;
use ledgelead_types::platform::{MachineEntry, MachineState};
use ledgelead_types::{
    ConfigurationVersion, Incarnation, Member, NodeId, Span, Text, Time, ZoneId,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NODES: usize = 50;

fn joined(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, seed);
    network.run(Span::from_seconds(30));
    network
}

fn considers_live(network: &Network, index: usize, other: usize) -> bool {
    let live = network.nodes[index].membership.live_nodes();
    live.iter().any(|node| node.member.node == node_id(other))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// With 5 % message loss a random part of the nodes is partitioned for a random time,
    /// one node dies and one restarts. After the partition heals, all nodes agree.
    #[test]
    fn live_sets_converge(seed: u64, cut in 1..NODES - 1, seconds in 1_u64..60) {
        let mut network = joined(NODES, seed);
        prop_assert_eq!(network.disagreements(), 0);
        network.loss = 0.05;
        (0..cut).for_each(|index| network.partitions[index] = 1);
        network.set_running(NODES - 1, false);
        network.restart(0);
        network.run(Span::from_seconds(seconds));
        network.partitions.fill(0);
        network.run(Span::from_seconds(40));
        network.loss = 0.0;
        network.run(Span::from_seconds(20));
        prop_assert_eq!(network.disagreements(), 0);
    }
}

#[gtest]
fn dead_node_is_detected_but_its_end_is_not_proven() {
    let mut network = joined(NODES, 1);
    let dead = network.member(7);
    network.set_running(7, false);
    network.run(Span::from_seconds(15));
    expect_that!(network.disagreements(), eq(0));
    expect_that!(network.nodes[0].membership.is_proven_dead(dead), eq(false));
}

#[gtest]
fn partitioned_node_is_live_again_soon_after_healing() {
    let mut network = joined(NODES, 2);
    network.partitions[9] = 1;
    network.run(Span::from_seconds(60));
    expect_that!(considers_live(&network, 0, 9), eq(false));
    network.partitions[9] = 0;
    network.run(Span::from_seconds(3));
    expect_that!(network.nodes[9].membership.live_nodes().len(), eq(NODES));
}

#[gtest]
fn answer_of_a_new_incarnation_proves_the_end_of_the_earlier_one() {
    let mut network = joined(NODES, 3);
    let before = network.member(7);
    network.restart(7);
    network.run(Span::from_seconds(10));
    let after = network.member(7);
    let membership = &mut network.nodes[20].membership;
    expect_that!(
        membership.incarnation_of(node_id(7)),
        some(eq(after.incarnation))
    );
    membership.is_proven_dead(before);
    membership.is_proven_dead(after);
    network.run(Span::from_seconds(2));
    let membership = &mut network.nodes[20].membership;
    expect_that!(membership.is_proven_dead(before), eq(true));
    expect_that!(membership.is_proven_dead(after), eq(false));
}

#[gtest]
fn false_records_of_one_node_eject_no_other_node() {
    let mut network = joined(NODES, 4);
    let faulty = node_id(5);
    for round in 0..40_usize {
        let target = 10 + round % 30;
        let mut record = record_of(&network, target);
        record.status = [NodeStatus::Suspect, NodeStatus::Left][round % 2];
        let gossip = Gossip {
            records: vec![record].into(),
            ..Gossip::default()
        };
        let message = MembershipMessage::Ping {
            sender: record_of(&network, 5),
            nonce: 1,
            gossip,
        };
        let input = MembershipInput::Message {
            from: faulty,
            message,
        };
        network.membership_input(round % 4, input);
        network.run(Span::from_millis(500));
    }
    network.run(Span::from_seconds(10));
    expect_that!(network.disagreements(), eq(0));
}

fn record_of(network: &Network, index: usize) -> NodeRecord {
    let nodes = network.nodes[index].membership.nodes();
    let view = nodes.into_iter().find(|view| view.node == node_id(index));
    let view = view.expect("a node knows itself");
    NodeRecord {
        member: network.member(index),
        version: StatusVersion(3),
        status: NodeStatus::Alive,
        zone: view.zone,
        address: Text(view.address),
        configuration: view.configuration,
    }
}

#[gtest]
fn machine_list_only_proves_the_end_of_unresponsive_nodes_listed_as_gone() {
    let mut network = joined(6, 5);
    let (unresponsive, live) = (network.member(4), network.member(5));
    let list = |state| {
        let entry = |index: usize| MachineEntry {
            node: node_id(index),
            zone: ZoneId(0),
            address: Text::from("10.0.0.1:1"),
            state,
        };
        MembershipInput::MachineList(vec![entry(4), entry(5)])
    };
    network.set_running(4, false);
    network.run(Span::from_seconds(10));
    network.membership_input(0, list(MachineState::Leaving));
    expect_that!(
        network.nodes[0].membership.is_proven_dead(unresponsive),
        eq(false)
    );
    network.membership_input(0, list(MachineState::Gone));
    expect_that!(
        network.nodes[0].membership.is_proven_dead(unresponsive),
        eq(true)
    );
    expect_that!(network.nodes[0].membership.is_proven_dead(live), eq(false));
    network.run(Span::from_seconds(10));
    expect_that!(network.disagreements(), eq(0));
}

#[gtest]
fn paused_node_ejects_no_other_node_when_resumed() {
    let mut network = joined(NODES, 6);
    network.set_running(8, false);
    network.run(Span::from_seconds(30));
    network.set_running(8, true);
    network.run(Span::from_millis(600));
    expect_that!(network.nodes[8].membership.live_nodes().len(), eq(NODES));
    network.run(Span::from_seconds(20));
    expect_that!(network.disagreements(), eq(0));
}

#[gtest]
fn leaving_and_configuration_versions_are_announced() {
    let mut network = joined(NODES, 7);
    let version = ConfigurationVersion(9);
    network.membership_input(3, MembershipInput::ConfigurationVersion(version));
    network.membership_input(4, MembershipInput::Leave);
    network.run(Span::from_seconds(30));
    let knows = |index: &usize| {
        let views = network.nodes[*index].membership.nodes();
        let seen = |node: NodeId| views.iter().find(|view| view.node == node);
        let is_seen = seen(node_id(3)).is_some_and(|view| view.configuration == version);
        is_seen && !seen(node_id(4)).is_some_and(|view| view.live)
    };
    let others: Vec<usize> = (0..NODES).filter(|index| *index != 4).collect();
    let knowing = others.iter().filter(|index| knows(index)).count();
    expect_that!(knowing, eq(others.len()));
}

/// Node 2's record of itself in one incarnation.
fn record_of_node_2(incarnation: u64, version: u32) -> NodeRecord {
    NodeRecord {
        member: Member {
            node: NodeId(2),
            incarnation: Incarnation(incarnation),
        },
        version: StatusVersion(version),
        address: Text::from("10.0.0.2:7001"),
        ..NodeRecord::default()
    }
}

fn receive(membership: &mut Membership, now: Time, message: MembershipMessage) {
    let from = NodeId(2);
    membership.step(now, MembershipInput::Message { from, message });
}

/// A node that has heard from incarnation 7 of node 2.
fn membership_with_node_2() -> Membership {
    let settings = MembershipSettings {
        identity: Member {
            node: NodeId(1),
            incarnation: Incarnation(1),
        },
        zone: ZoneId(1),
        address: Text::from("10.0.0.1:7001"),
        seeds: Vec::new(),
        random_seed: 1,
    };
    let mut membership = Membership::new(settings, Time(0));
    let sender = record_of_node_2(7, 3);
    receive(
        &mut membership,
        Time(0),
        MembershipMessage::Notice { sender },
    );
    membership
}

fn nonce_of_ping(membership: &mut Membership) -> u64 {
    let outputs = membership.take_outputs().into_iter();
    let mut nonces = outputs.filter_map(|output| match output {
        MembershipOutput::Send {
            message: MembershipMessage::Ping { nonce, .. },
            ..
        } => Some(nonce),
        _ => None,
    });
    nonces.next().expect("a ping was sent")
}

#[gtest]
fn answer_to_an_earlier_ping_proves_nothing_about_an_incarnation_seen_later() {
    let mut membership = membership_with_node_2();
    let later_incarnation = record_of_node_2(8, 0).member;
    let answer = |nonce| MembershipMessage::Acknowledgement {
        sender: record_of_node_2(7, 3),
        nonce,
        gossip: Gossip::default(),
    };
    membership.tick(Time(1));
    let early = nonce_of_ping(&mut membership);
    membership.step(
        Time(2),
        MembershipInput::ConfigurationVersion(ConfigurationVersion(1)),
    );
    expect_that!(membership.is_proven_dead(later_incarnation), eq(false));
    receive(&mut membership, Time(3), answer(early));
    expect_that!(membership.is_proven_dead(later_incarnation), eq(false));
    membership.tick(Time(4));
    let fresh = nonce_of_ping(&mut membership);
    receive(&mut membership, Time(5), answer(fresh));
    expect_that!(membership.is_proven_dead(later_incarnation), eq(true));
}

#[gtest]
fn restarted_node_receives_the_record_of_its_earlier_incarnation() {
    let mut membership = membership_with_node_2();
    let ping = MembershipMessage::Ping {
        sender: record_of_node_2(9, 0),
        nonce: 5,
        gossip: Gossip::default(),
    };
    receive(&mut membership, Time(1), ping);
    let contains_record = |output: &MembershipOutput| {
        matches!(output, MembershipOutput::Send {
            message: MembershipMessage::Acknowledgement { gossip, .. }, ..
        } if gossip.records.contains(&record_of_node_2(7, 3)))
    };
    expect_that!(
        membership.take_outputs().iter().any(contains_record),
        eq(true)
    );
}
