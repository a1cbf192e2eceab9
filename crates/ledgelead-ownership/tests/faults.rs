//! Random faults: no position ever has two owners, and all positions are served again once
//! the faults end.

mod model;

use googletest::prelude::*;
use ledgelead_types::administration::GroupOperation;
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::protections::Protections;
use ledgelead_types::*;
use model::*;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq};
use proptest::prop_oneof;
use proptest::test_runner::{RngSeed, TestCaseError, TestRunner};

const SERVERS: u32 = 4;
const NODES: u32 = 5;

/// The group under test: its part of a service's positions, its number of replicas, and the
/// number of nodes. It has [`SERVERS`] servers.
#[derive(Clone, Copy, Debug)]
struct TestGroup {
    part: u16,
    parts: u16,
    replicas: u8,
    nodes: u32,
}

impl TestGroup {
    /// A server of the group by its index.
    fn server(self, index: u32) -> ServerId {
        ServerId(index * u32::from(self.parts) + u32::from(self.part))
    }

    fn cluster(self, seed: u64) -> Cluster {
        let servers = SERVERS * u32::from(self.parts);
        let mut settings = configuration(servers, Partitioning::Hash);
        let service = &mut settings.services[0];
        service.groups = self.parts;
        service.replicas = self.replicas;
        let group = GroupId {
            part: self.part,
            ..GROUP
        };
        let spares = self.nodes - u32::from(self.replicas);
        Cluster::of_group(group, seed, spares, settings, Protections::default())
    }
}

/// Parameters of a run.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    network: Network,
    faults: Vec<(u64, Fault)>,
}

/// A fault. Each fault of a [`Scenario`] has the delay in milliseconds after the previous
/// one.
#[derive(Clone, Debug)]
enum Fault {
    FreezeServer { server: u32, span: u64 },
    RestartServer { server: u32 },
    FreezeNode { node: u32, span: u64 },
    RestartNode { node: u32 },
    PartitionNodes { one: u32, other: u32 },
    PartitionServer { server: u32, node: u32 },
    HealPartitions,
    Drain { server: u32 },
    Activate { server: u32 },
    Move { position: u64, to: u32 },
    Isolate { position: u64 },
}

fn fault() -> impl Strategy<Value = Fault> {
    let server = 0..SERVERS;
    let node = 0..NODES;
    prop_oneof![
        (server.clone(), 50..2_000_u64)
            .prop_map(|(server, span)| Fault::FreezeServer { server, span }),
        server
            .clone()
            .prop_map(|server| Fault::RestartServer { server }),
        (node.clone(), 50..2_000_u64).prop_map(|(node, span)| Fault::FreezeNode { node, span }),
        node.clone().prop_map(|node| Fault::RestartNode { node }),
        (node.clone(), node.clone()).prop_map(|(one, other)| Fault::PartitionNodes { one, other }),
        (server.clone(), node).prop_map(|(server, node)| Fault::PartitionServer { server, node }),
        Just(Fault::HealPartitions),
        Just(Fault::HealPartitions),
        server.clone().prop_map(|server| Fault::Drain { server }),
        server.clone().prop_map(|server| Fault::Activate { server }),
        (any::<u64>(), server).prop_map(|(position, to)| Fault::Move { position, to }),
        any::<u64>().prop_map(|position| Fault::Isolate { position }),
    ]
}

fn inject(cluster: &mut Cluster, group: TestGroup, number: u64, fault: Fault) {
    let asked = *cluster.nodes.keys().next().expect("nodes restart at once");
    let mut operate = |operation| {
        let command_id = format!("operation-{number}");
        cluster.operate(asked, number, &command_id, operation);
    };
    match fault {
        Fault::Drain { server } => operate(GroupOperation::Drain(group.server(server))),
        Fault::Activate { server } => operate(GroupOperation::Activate(group.server(server))),
        Fault::Move { position, to } => operate(GroupOperation::MoveSlice {
            position: Position(position),
            to: group.server(to),
        }),
        Fault::Isolate { position } => {
            let position = Position(position);
            let range = PositionRange {
                first: position,
                last: position,
            };
            operate(GroupOperation::Isolate { range });
        }
        Fault::FreezeServer { server, span } => {
            let until = cluster.now + Span::from_millis(span);
            cluster.server(group.server(server).0).frozen_until = until;
        }
        Fault::RestartServer { server } => {
            let server = group.server(server);
            let local = cluster.server_local(server);
            cluster.server(server.0).restart(local);
        }
        Fault::FreezeNode { node, span } => cluster.freeze_node(node, Span::from_millis(span)),
        Fault::RestartNode { node } => {
            if let Some(member) = cluster.member_on(node) {
                cluster.restart_node(member);
            }
        }
        Fault::PartitionNodes { one, other } => cluster.partitions.push((one, other)),
        Fault::PartitionServer { server, node } => {
            cluster
                .partitions
                .push((server_link(group.server(server)), node));
        }
        Fault::HealPartitions => cluster.partitions.clear(),
    }
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let faults = proptest::collection::vec((0..1_500_u64, fault()), 1..25);
    let drawn = (any::<u64>(), 0.0..0.1_f64, 1_000..60_000_u64, faults);
    drawn.prop_map(|(seed, loss, longest_delay, faults)| Scenario {
        seed,
        network: Network {
            loss,
            longest_delay: Span(longest_delay),
        },
        faults,
    })
}

/// Checks that no two servers own a position, and that all positions are served again once
/// the faults end.
fn check_run(group: TestGroup, scenario: Scenario) -> Result<(), TestCaseError> {
    let mut cluster = group.cluster(scenario.seed);
    cluster.run(Span::from_seconds(1));
    cluster.network = scenario.network;
    for (number, (pause, fault)) in scenario.faults.into_iter().enumerate() {
        cluster.run(Span::from_millis(pause));
        inject(&mut cluster, group, number as u64, fault);
    }
    cluster.run(Span::from_seconds(1));
    prop_assert_eq!(&cluster.violations, &Vec::<String>::new());
    prop_assert_eq!(&cluster.lost_acknowledgements(), &Vec::<String>::new());
    cluster.heal();
    if cluster.quorum_lives() {
        let served = cluster.run_until(Span::from_seconds(15), Cluster::all_served);
        prop_assert!(served, "{:?} unserved", cluster.unserved());
    }
    prop_assert_eq!(&cluster.violations, &Vec::<String>::new());
    Ok(())
}

fn check(group: TestGroup, cases: u32) {
    let mut runner = TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x6c65_6467),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let result = runner.run(&scenario(), |scenario| check_run(group, scenario));
    expect_that!(result, ok(anything()));
}

const WHOLE_SPACE: TestGroup = TestGroup {
    part: 0,
    parts: 1,
    replicas: 3,
    nodes: NODES,
};

#[gtest]
fn no_two_servers_own_a_position_and_service_returns() {
    check(WHOLE_SPACE, 150);
}

#[gtest]
fn the_same_holds_in_another_part_of_the_positions() {
    let last_part = TestGroup {
        part: 2,
        parts: 3,
        ..WHOLE_SPACE
    };
    check(last_part, 100);
}

#[gtest]
fn the_same_holds_with_five_replicas() {
    let five_replicas = TestGroup {
        replicas: 5,
        nodes: 7,
        ..WHOLE_SPACE
    };
    check(five_replicas, 100);
}
