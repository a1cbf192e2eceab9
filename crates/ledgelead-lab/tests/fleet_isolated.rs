//! Nodes that are partitioned from all instances, while clients, the store and the other nodes
//! still reach them: callers are served there and everywhere else.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn, drawn_isolated, run_seeds};
use ledgelead_lab::fleet::{
    FaultKind, FleetReport, FleetSettings, IsolatedNodes, IsolationEffect, Schedule, Transport,
    ViolationKind, World,
};
use ledgelead_router::protections::{Protection, Protections};
use std::ops::RangeInclusive;
use std::time::Duration;

const BEGIN: Duration = Duration::from_secs(16);
const LENGTH: Duration = Duration::from_secs(12);
const EFFECTS: [IsolationEffect; 3] = [
    IsolationEffect::Drops,
    IsolationEffect::Resets,
    IsolationEffect::RefusesNew,
];

fn run(nodes: IsolatedNodes, effect: IsolationEffect, protections: Protections) -> FleetReport {
    let kind = FaultKind::IsolateNodes(nodes, effect);
    World::new(FleetSettings {
        schedule: Schedule::one(BEGIN, LENGTH, kind),
        transport: Transport::RUNTIME,
        datagram_loss: 0.0,
        ..drawn(3, protections)
    })
    .run()
}

fn violations(nodes: IsolatedNodes) -> Vec<String> {
    let reports = EFFECTS.map(|effect| (effect, run(nodes, effect, Protections::default())));
    let lines = reports.iter().flat_map(|(effect, report)| {
        let found = report.violations.iter();
        found.map(move |found| format!("{effect:?}, {}: {}", found.kind.name(), found.what))
    });
    lines.collect()
}

#[gtest]
fn callers_are_served_while_the_coordinator_reaches_no_instance() {
    expect_that!(violations(IsolatedNodes::WithCoordinator(1)), is_empty());
}

#[gtest]
fn callers_are_served_while_most_nodes_reach_no_instance() {
    expect_that!(
        violations(IsolatedNodes::WithCoordinator(NODES - 1)),
        is_empty()
    );
}

#[gtest]
fn callers_of_nodes_that_reach_no_instance_are_served() {
    expect_that!(violations(IsolatedNodes::WithoutCoordinator(2)), is_empty());
}

#[gtest]
fn callers_are_served_while_a_zone_reaches_no_instance() {
    expect_that!(violations(IsolatedNodes::Zone(1)), is_empty());
}

#[gtest]
fn series_of_isolations_keeps_callers_served() {
    expect_that!(violation_lines(1..=24, NODES), is_empty());
}

/// Number of nodes for which zones are large enough that broadcasts are relayed.
const MANY_NODES: usize = 21;

fn violation_lines(seeds: RangeInclusive<u64>, nodes: usize) -> Vec<String> {
    let (_, lines) = run_seeds(drawn_isolated, seeds, nodes, Protections::default(), false);
    lines
}

#[gtest]
fn series_of_isolations_keeps_callers_of_large_fleets_served() {
    expect_that!(violation_lines(1..=13, MANY_NODES), is_empty());
}

#[gtest]
fn isolated_node_that_knows_few_others_serves_its_callers() {
    // Four datagrams in ten are lost. Two isolated nodes know no registration but their own for
    // more than ten seconds, and their zone relay is isolated too.
    expect_that!(violation_lines(26..=26, MANY_NODES), is_empty());
}

fn count(report: &FleetReport, kind: ViolationKind) -> usize {
    let of_kind = report.violations.iter().filter(|found| found.kind == kind);
    of_kind.count()
}

#[gtest]
fn checker_detects_requests_that_are_not_forwarded() {
    let report = run(
        IsolatedNodes::WithoutCoordinator(2),
        IsolationEffect::Drops,
        Protections::without(Protection::Forwarding),
    );
    expect_that!(count(&report, ViolationKind::IsolatedNodesServe), gt(0));
}

#[gtest]
fn checker_detects_orders_that_are_not_forwarded() {
    let report = run(
        IsolatedNodes::WithCoordinator(1),
        IsolationEffect::Drops,
        Protections::without(Protection::ForwardedOrders),
    );
    expect_that!(count(&report, ViolationKind::OtherNodesServe), gt(0));
}

#[gtest]
fn checker_detects_links_that_are_retried_without_a_pause() {
    for effect in [IsolationEffect::Drops, IsolationEffect::Resets] {
        let report = run(
            IsolatedNodes::WithoutCoordinator(2),
            effect,
            Protections::without(Protection::LinkBackoff),
        );
        expect_that!(count(&report, ViolationKind::IsolatedNodesServe), gt(0));
    }
}
