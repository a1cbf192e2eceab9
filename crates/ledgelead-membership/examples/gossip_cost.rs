//! Prints the bytes per second that membership and dissemination send per node at several
//! cluster sizes, in virtual time and without the transport's framing.
//!
//! `cargo run --release -p ledgelead-membership --example gossip_cost`

#[path = "../tests/common/mod.rs"]
mod common;

use common::Network;
use ledgelead_membership::{DisseminationInput, ItemKey, ItemVersion};
use ledgelead_types::{Bytes, GroupId, Revision, ServiceId, Span};

const SECONDS: u64 = 60;
/// Size of a configuration with 1,000 servers in the nodes' binary format.
const CONFIGURATION_BYTES: usize = 60_000;

fn main() {
    println!(
        "nodes     joining  membership  dissemination  changing  disagreeing  news ms  death s"
    );
    for count in [6, 50, 500] {
        let mut network = Network::new(count, 7);
        network.run(Span::from_seconds(SECONDS));
        let joined = totals(&network);
        publish(&mut network, 1);
        network.run(Span::from_seconds(5));
        let before = totals(&network);
        network.run(Span::from_seconds(SECONDS));
        let before_changes = totals(&network);
        for round in 0..SECONDS {
            publish(&mut network, 2 + round);
            network.run(Span::from_seconds(1));
        }
        let changing = totals(&network);
        let rate = |from: u64, to: u64| (to - from) as f64 / SECONDS as f64 / count as f64;
        let spread = time_to_reach_all(&mut network);
        let found = time_to_detect_a_dead_node(&mut network);
        println!(
            "{count:5}  {:10.0}  {:10.0}  {:13.0}  {:8.0}  {:11}  {:7.0}  {:7.1}",
            rate(0, joined.0),
            rate(before.0, before_changes.0),
            rate(before.1, before_changes.1),
            rate(before_changes.1, changing.1),
            network.disagreements(),
            spread.as_millis(),
            found.as_seconds(),
        );
    }
    println!("Bytes per second sent by one node, mean over {SECONDS} s.");
    println!(
        "joining: membership while all nodes start at once; the next two columns: without changes"
    );
    println!("changing: dissemination while a configuration of 60 kB changes every second");
    println!(
        "news: until all nodes have a new configuration; death: until all nodes have detected one"
    );
}

fn publish(network: &mut Network, revision: u64) {
    let version = ItemVersion {
        revision: Revision(revision),
        ..ItemVersion::default()
    };
    let routes = ItemKey::Routes(GroupId {
        service: ServiceId(1),
        part: 0,
    });
    if revision == 1 {
        let value = Bytes(vec![1; 400]);
        let input = DisseminationInput::Publish {
            key: routes,
            version,
            value,
        };
        network.dissemination_input(0, input);
    }
    let input = DisseminationInput::Publish {
        key: ItemKey::Configuration,
        version,
        value: Bytes(vec![0; CONFIGURATION_BYTES]),
    };
    network.dissemination_input(0, input);
}

/// Time until every node has a new configuration.
fn time_to_reach_all(network: &mut Network) -> Span {
    let published = network.now;
    let revision = 1_000;
    publish(network, revision);
    let key = ItemKey::Configuration;
    let holds = |network: &Network| {
        network.nodes.iter().all(|node| {
            let held = node.dissemination.get(key);
            held.is_some_and(|held| held.0.revision == Revision(revision))
        })
    };
    while !holds(network) {
        network.run(Span::from_millis(1));
    }
    network.now.since(published)
}

/// Time until all other nodes consider a stopped node dead.
fn time_to_detect_a_dead_node(network: &mut Network) -> Span {
    let stopped = network.now;
    network.set_running(network.nodes.len() - 1, false);
    while network.disagreements() > 0 {
        network.run(Span::from_millis(100));
    }
    network.now.since(stopped)
}

fn totals(network: &Network) -> (u64, u64) {
    let nodes = network.nodes.iter();
    nodes.fold((0, 0), |sum, node| {
        (
            sum.0 + node.membership_bytes,
            sum.1 + node.dissemination_bytes,
        )
    })
}
