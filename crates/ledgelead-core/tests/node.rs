//! A few complete nodes in virtual time.

mod cluster;

use cluster::*;
use googletest::prelude::*;
use ledgelead_core::*;
use ledgelead_types::administration::*;
use ledgelead_types::codec::{decode, encode};
use ledgelead_types::view::NodeView;
use ledgelead_types::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

fn operate(cluster: &mut Cluster, at: NodeId, ticket: u64, id: &str) {
    let command = AdministrationCommand {
        id: id.into(),
        operator: "operator".into(),
        if_version: None,
        action: AdministrationAction::Operate {
            group: GROUP,
            operation: GroupOperation::Drain(ServerId(1)),
        },
    };
    let ticket = TicketId(ticket);
    cluster.input(at, Input::Command { ticket, command });
}

fn command_results(cluster: &Cluster) -> Vec<(TicketId, CommandResult)> {
    let results = cluster
        .outputs
        .iter()
        .filter_map(|(_, output)| match output {
            Output::CommandFinished { ticket, result } => Some((*ticket, result.clone())),
            _ => None,
        });
    results.collect()
}

fn inquiry_views(cluster: &Cluster) -> Vec<&NodeView> {
    let views = cluster
        .outputs
        .iter()
        .filter_map(|(_, output)| match output {
            Output::Inquired { view, .. } => Some(&**view),
            _ => None,
        });
    views.collect()
}

#[gtest]
fn a_group_forms_and_a_request_is_answered_once() {
    let mut cluster = Cluster::new(3);
    cluster.request(node(1), 1);
    cluster.run(Span::from_seconds(5));
    expect_that!(cluster.outcomes(1).len(), eq(1));
    expect_that!(cluster.leaders().len(), eq(1));
    for number in 1..=3 {
        expect_that!(cluster.group(node(number)).routes.slices.len(), eq(12));
        cluster.request(node(number), 10 + u64::from(number));
    }
    cluster.run(Span::from_millis(100));
    for request in 11..=13 {
        expect_that!(
            cluster.outcomes(request),
            elements_are![eq(&Outcome::Answered)]
        );
    }
    let forwarded = cluster
        .outputs
        .iter()
        .filter_map(|(_, output)| match output {
            Output::Forward(forward) => forward.ownership,
            _ => None,
        });
    expect_that!(forwarded.count(), ge(3));
}

#[gtest]
fn an_operation_is_forwarded_to_a_replica_and_answered() {
    let mut cluster = Cluster::formed(5);
    let members = cluster.group(node(1)).routes.members;
    let outsiders = (1..=5).map(node);
    let outsiders = outsiders.filter(|id| members.iter().all(|member| member.node != *id));
    let outsiders: Vec<NodeId> = outsiders.collect();
    assert_that!(outsiders.len(), eq(2));
    for (ticket, outsider) in (1..).zip(outsiders) {
        operate(&mut cluster, outsider, ticket, "drain-1");
        cluster.run(Span::from_millis(500));
    }
    let operated = |repeated| CommandResult::Operated { repeated };
    expect_that!(
        command_results(&cluster),
        elements_are![
            eq(&(TicketId(1), operated(false))),
            eq(&(TicketId(2), operated(true)))
        ]
    );
}

fn servers_of(view: &NodeView) -> Vec<ServerId> {
    let mut servers: Vec<ServerId> = view.servers.iter().map(|load| load.server).collect();
    servers.sort();
    servers
}

/// Loads are known only where they are counted. If a dispatcher doesn't answer, the loads
/// of its servers are missing from the view, and the view names the dispatcher.
#[gtest]
fn an_inquiry_collects_loads_and_names_unresponsive_nodes() {
    let mut cluster = Cluster::formed(5);
    let asked = cluster.leaders()[0];
    cluster.input(asked, Input::Inquire(TicketId(1)));
    cluster.run(Span::from_millis(20));
    let servers = cluster.group(asked).routes.servers;
    let silent = servers[0].dispatcher;
    assert_that!(silent, not(eq(asked)));
    cluster.partitioned.insert(silent);
    cluster.input(asked, Input::Inquire(TicketId(2)));
    cluster.run(Span::from_millis(600));
    let views = inquiry_views(&cluster);
    assert_that!(views.len(), eq(2));
    expect_that!(views[0].silent_nodes, is_empty());
    expect_that!(views[1].silent_nodes, elements_are![eq(&silent)]);
    let all: Vec<ServerId> = servers.iter().map(|route| route.server).collect();
    let received = servers.iter().filter(|route| route.dispatcher != silent);
    let received: Vec<ServerId> = received.map(|route| route.server).collect();
    expect_that!(
        [servers_of(views[0]), servers_of(views[1])],
        eq(&[all, received])
    );
}

#[gtest]
fn a_planned_stop_transfers_roles_and_finishes() {
    let mut cluster = Cluster::formed(4);
    let stopping = cluster.leaders()[0];
    let other = node(stopping.0 % 4 + 1);
    cluster.request(stopping, 1);
    cluster.input(stopping, Input::Stop);
    cluster.request(stopping, 2);
    for request in 10..60 {
        cluster.request(other, request);
        cluster.run(Span::from_millis(50));
    }
    expect_that!(cluster.outcomes(1), elements_are![eq(&Outcome::Answered)]);
    let refused = Outcome::NotRun(outcome::NotRunReason::Stopping);
    expect_that!(cluster.outcomes(2), elements_are![eq(&refused)]);
    for request in 10..60 {
        expect_that!(
            cluster.outcomes(request),
            elements_are![eq(&Outcome::Answered)]
        );
    }
    let stopped = cluster.outputs.iter();
    let stopped = stopped.filter(|(_, output)| matches!(output, Output::Stopped));
    let stopped: Vec<NodeId> = stopped.map(|(id, _)| *id).collect();
    expect_that!(stopped, elements_are![eq(&stopping)]);
    expect_that!(cluster.leaders(), not(contains(eq(&stopping))));
    expect_that!(cluster.leaders().len(), eq(1));
}

/// A restarted process doesn't know the votes and promises of its predecessor, so it must
/// not vote: with one voter left of three, there is no leader. Two restarted processes
/// prove that the quorum is lost, and the group is rebuilt under another epoch.
#[gtest]
fn a_restarted_node_is_not_a_voter() {
    let mut cluster = Cluster::formed(3);
    let leader = cluster.leaders()[0];
    let restarted = node(leader.0 % 3 + 1);
    let epoch = cluster.group(leader).epoch;
    cluster.kill(leader);
    cluster.start(restarted, Incarnation(2));
    for _ in 0..30 {
        cluster.run(Span::from_millis(100));
        expect_that!(cluster.leaders(), is_empty());
    }
    cluster.start(leader, Incarnation(2));
    cluster.run(Span::from_seconds(10));
    expect_that!(cluster.leaders().len(), eq(1));
    expect_that!(cluster.group(leader).epoch, gt(epoch));
    cluster.request(restarted, 1);
    cluster.run(Span::from_millis(100));
    expect_that!(cluster.outcomes(1), elements_are![eq(&Outcome::Answered)]);
}

/// Random and damaged bytes are either rejected or decode to a message that encodes to the
/// same bytes again; none cause a panic.
#[gtest]
fn malformed_bytes_are_rejected_or_decode() {
    let sent = Cluster::formed(4).messages;
    let damage = proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4);
    let damaged = (
        prop::sample::select(sent),
        damage,
        any::<prop::sample::Index>(),
    );
    let damaged = damaged.prop_map(|(mut bytes, damage, end)| {
        for (index, value) in damage {
            let index = index.index(bytes.len());
            bytes[index] = value;
        }
        bytes.truncate(end.index(bytes.len()) + 1);
        bytes
    });
    let malformed = prop_oneof![proptest::collection::vec(any::<u8>(), 0..200), damaged];
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(0x6c65_6467),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let result = runner.run(&malformed, |bytes| {
        if let Ok(message) = decode::<PeerMessage>(&bytes) {
            let encoded = encode(&message);
            let again = decode::<PeerMessage>(&encoded);
            prop_assert_eq!(again.map(|message| encode(&message)), Ok(encoded));
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}
