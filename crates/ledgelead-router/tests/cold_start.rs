//! Requests to cold instances, over all nodes.

use googletest::prelude::*;
use ledgelead_router::configuration::{Configuration, Service};
use ledgelead_router::directory::{Directory, Instance, InstanceRecord};
use ledgelead_router::identity::{InstanceId, NodeIdentity, NodeName, ServiceName, ZoneName};
use ledgelead_router::peers::{NodeRecord, Registration, Registry};
use ledgelead_router::requests::{ColdBound, ColdGate, ColdSends};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

/// Requests a second that a cold instance can process.
const RATE: f64 = 4.2;
/// Maximum number of requests to one cold instance in a second, over all nodes: `RATE` times
/// the allowed overage, plus the slack.
const MAX_PER_SECOND: usize = 14;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn node(number: usize, zones: usize) -> NodeRecord {
    NodeRecord {
        identity: NodeIdentity {
            node: NodeName::from(format!("n-{number}").as_str()),
            incarnation: 1,
        },
        zone: ZoneName::from(format!("z-{}", number % zones).as_str()),
        address: ([10, 0, 0, 1], 7_000).into(),
        millicores: 100,
    }
}

/// A directory with one instance that is cold for three seconds.
fn directory() -> Directory {
    let mut directory = Directory::default();
    let record = InstanceRecord {
        id: InstanceId::from("i"),
        service: ServiceName::from("s"),
        address: ([10, 0, 0, 1], 8_000).into(),
        zone: ZoneName::from("z-0"),
        slots: 3,
        draining: false,
        warmup_left: ms(3_000),
    };
    directory.replace_all(vec![record], ms(0));
    directory
}

fn configuration(cold_rate: Option<f64>) -> Configuration {
    Configuration {
        services: vec![Service {
            name: ServiceName::from("s"),
            sharded: false,
            max_connections: 100,
            cold_rate,
        }],
        ..Configuration::default()
    }
}

/// A node with its view of the others.
struct Sender {
    name: NodeName,
    registry: Registry,
    sends: ColdSends,
}

impl Sender {
    fn gate<'a>(&'a self, configuration: &'a Configuration) -> ColdGate<'a> {
        ColdGate {
            bound: ColdBound { overage: 1.5 },
            configuration: Some(configuration),
            registry: &self.registry,
            node: &self.name,
            sends: &self.sends,
        }
    }
}

/// Nodes that know all others, except those selected by `misses`.
fn senders(nodes: usize, zones: usize, misses: impl Fn(usize, usize) -> bool) -> Vec<Sender> {
    let sender = |number: usize| {
        let mut registry = Registry::default();
        let known = (0..nodes).filter(|other| *other == number || !misses(number, *other));
        let registration = |other| Registration {
            record: node(other, zones),
            revision: 1,
        };
        registry.replace_all(known.map(registration).collect());
        Sender {
            name: node(number, zones).identity.node,
            registry,
            sends: ColdSends::default(),
        }
    };
    (0..nodes).map(sender).collect()
}

/// Times at which the instance gets a request if each node has one every 20 ms.
fn sent_in_three_seconds(senders: &mut [Sender], instance: &Instance) -> Vec<Duration> {
    let configuration = configuration(Some(RATE));
    let mut sent = Vec::new();
    for now in (0..2_980).step_by(20).map(ms) {
        for sender in senders.iter_mut() {
            if sender.gate(&configuration).admits(instance, now) {
                sender.sends.record(&instance.record.id, now);
                sent.push(now);
            }
        }
    }
    sent
}

fn max_in_a_second(sent: &[Duration]) -> usize {
    let within = |from: &Duration| {
        let in_span = |at: &&Duration| *from <= **at && **at < *from + ms(1_000);
        sent.iter().filter(in_span).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(0x636f_6c64),
        ..ProptestConfig::default()
    })]

    /// Even if nodes do not know one in seven of the others.
    #[test]
    fn all_nodes_together_keep_the_bound_of_a_cold_instance(
        nodes in 1usize..90,
        zones in 1usize..4,
        salt in 0usize..1_000,
    ) {
        let directory = directory();
        let instance = directory.get(&InstanceId::from("i")).expect("known");
        let misses = |node: usize, other: usize| (node * 31 + other * 17 + salt).is_multiple_of(7);
        let mut senders = senders(nodes, zones, misses);
        let sent = sent_in_three_seconds(&mut senders, instance);
        prop_assert!(max_in_a_second(&sent) <= MAX_PER_SECOND);
    }
}

#[gtest]
fn a_cold_instance_gets_as_many_requests_as_it_can_process_from_its_zone() {
    let directory = directory();
    let instance = directory.get(&InstanceId::from("i")).expect("known");
    let mut all = senders(74, 3, |_, _| false);
    let sent = sent_in_three_seconds(&mut all, instance);
    expect_that!(max_in_a_second(&sent), eq(6));
    let admitting = all.iter().filter(|sender| {
        let configuration = configuration(Some(RATE));
        sender.gate(&configuration).admits(instance, ms(2_999))
    });
    let zones: Vec<u64> = admitting
        .filter_map(|sender| sender.registry.get(&sender.name))
        .map(|record| record.zone.stable_hash())
        .collect();
    let own = ZoneName::from("z-0").stable_hash();
    expect_that!(zones.iter().all(|zone| *zone == own), eq(true));
}

#[gtest]
fn warm_instances_and_services_without_a_limit_get_requests_from_all_nodes() {
    let directory = directory();
    let instance = directory.get(&InstanceId::from("i")).expect("known");
    let all = senders(20, 3, |_, _| false);
    let admitted = |configuration: &Configuration, now| {
        let admits = |sender: &&Sender| sender.gate(configuration).admits(instance, now);
        all.iter().filter(admits).count()
    };
    expect_that!(admitted(&configuration(Some(RATE)), ms(3_000)), eq(20));
    expect_that!(admitted(&configuration(None), ms(0)), eq(20));
    expect_that!(admitted(&configuration(Some(RATE)), ms(0)), eq(3));
    // A node that is not in its own list of nodes does not know its share.
    let mut lone = senders(1, 1, |_, _| false);
    lone[0].registry = Registry::default();
    let configuration = configuration(Some(RATE));
    expect_that!(
        lone[0].gate(&configuration).admits(instance, ms(0)),
        eq(false)
    );
}
