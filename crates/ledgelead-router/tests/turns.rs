//! Turns in which nodes try a suspected request: one node at a time, whatever the others do.

use googletest::prelude::*;
use ledgelead_http::Request;
use ledgelead_router::Timestamp;
use ledgelead_router::identity::{NodeIdentity, NodeName, ZoneName};
use ledgelead_router::peers::{NodeRecord, Registration, Registry};
use ledgelead_router::quarantine::{CallerId, Evidence, InstanceEnd, TURN, TurnShare, Turns};
use ledgelead_router::requests::RequestDigest;
use std::time::Duration;

const SINCE: Timestamp = Timestamp::from_secs(1_000);

fn name(number: usize) -> NodeName {
    NodeName::from(format!("node-{number}").as_str())
}

fn registry(nodes: usize) -> Registry {
    let mut registry = Registry::default();
    for number in 0..nodes {
        let record = NodeRecord {
            identity: NodeIdentity {
                node: name(number),
                incarnation: 1,
            },
            zone: ZoneName::from("a"),
            address: (
                [10, 0, 0, 1],
                1_000 + u16::try_from(number).expect("a port"),
            )
                .into(),
            millicores: 1_000,
        };
        registry.upsert(Registration {
            record,
            revision: 1,
        });
    }
    registry
}

fn turns(nodes: usize) -> Vec<Turns> {
    let registry = registry(nodes);
    let request = RequestDigest::new(&Request::new("GET", "/a", Vec::new()));
    let turns = |number| Turns::new(&request, TurnShare::WHOLE, &name(number), &registry);
    (0..nodes).map(turns).collect()
}

fn have_turn(turns: &[Turns], at: Timestamp) -> usize {
    let open = turns.iter().filter(|turn| turn.wait(SINCE, at).is_zero());
    open.count()
}

#[gtest]
fn one_node_at_a_time_has_its_turn() {
    for nodes in [1, 2, 11, 32] {
        let turns = turns(nodes);
        let steps = (0..200 * nodes as u64).map(|step| SINCE + Duration::from_millis(10 * step));
        for at in steps {
            expect_that!(have_turn(&turns, at), le(1));
        }
    }
}

#[gtest]
fn nodes_of_a_large_fleet_share_turns() {
    let turns = turns(320);
    let most = (0..2_000).map(|step| have_turn(&turns, SINCE + Duration::from_millis(10 * step)));
    expect_that!(most.max(), some(eq(10)));
}

#[gtest]
fn each_node_has_a_turn_when_its_wait_is_over() {
    let turns = turns(11);
    for turn in &turns {
        for seconds in [0, 1, 7, 3_000] {
            let now = SINCE + Duration::from_secs(seconds);
            let wait = turn.wait(SINCE, now);
            expect_that!(wait, le(TURN * 12));
            expect_that!(turn.wait(SINCE, now + wait), eq(Duration::ZERO));
        }
    }
}

#[gtest]
fn nobody_has_a_turn_right_after_an_end() {
    let turns = turns(11);
    for elapsed in [0, 100, 499] {
        let at = SINCE + Duration::from_millis(elapsed);
        expect_that!(have_turn(&turns, at), eq(0));
    }
}

/// An end is known to other nodes with some delay, so that they begin to count later.
#[gtest]
fn turns_of_nodes_that_learn_late_of_an_end_do_not_meet_others() {
    let turns = turns(11);
    let late = |at: Timestamp| at.saturating_sub(Duration::from_millis(250));
    for step in 0..2_000 {
        let at = SINCE + Duration::from_millis(10 * step);
        let (some, others) = turns.split_at(5);
        let open = have_turn(some, at) + have_turn(others, late(at));
        expect_that!(open, le(1));
    }
}

/// The turns of all nodes for requests that were lost together with two instances, and the time
/// from which they are counted.
fn turns_of_lost_together(paths: &[&str], nodes: usize) -> (Vec<Turns>, Timestamp) {
    let mut evidence = Evidence::default();
    let requests = paths
        .iter()
        .map(|path| Request::new("GET", *path, Vec::new()));
    let digests: Vec<RequestDigest> = requests.map(|sent| RequestDigest::new(&sent)).collect();
    for instance in 1..=2 {
        for (digest, path) in digests.iter().zip(paths) {
            let end = InstanceEnd {
                caller: CallerId(10 + instance),
                instance,
                at: SINCE,
                settled: true,
            };
            evidence.record_end(*digest, path, end);
        }
    }
    let registry = registry(nodes);
    let of_request = |digest: &RequestDigest| {
        let (share, _) = evidence.turn_share(digest, SINCE);
        let turns = |number| Turns::new(digest, share, &name(number), &registry);
        (0..nodes).map(turns).collect::<Vec<Turns>>()
    };
    let (_, since) = evidence.turn_share(&digests[0], SINCE);
    (digests.iter().flat_map(of_request).collect(), since)
}

/// A harmless request that is tried together with a crashing one ends with it again.
#[gtest]
fn requests_lost_together_are_not_tried_at_the_same_time() {
    for nodes in [1, 2, 11] {
        let (turns, since) = turns_of_lost_together(&["/a", "/b", "/c"], nodes);
        expect_that!(since, eq(SINCE));
        for step in 0..2_000 {
            let at = SINCE + Duration::from_millis(10 * step);
            expect_that!(have_turn(&turns, at), le(1));
        }
        for turn in &turns {
            let wait = turn.wait(SINCE, SINCE);
            expect_that!(turn.wait(SINCE, SINCE + wait), eq(Duration::ZERO));
        }
    }
}
