//! Instances that send a second answer to an earlier request on a kept connection, in the place
//! of the answer to the next one: it must not end an order or another request.

use googletest::prelude::*;
use ledgelead_lab::fleet::ViolationKind;
use ledgelead_lab::fleet::command::{
    Draw, NODES, drawn_second_answers, drawn_successors, run_seeds,
};
use ledgelead_router::protections::{Protection, Protections};
use std::ops::RangeInclusive;

/// Number of nodes for which zones are large enough that broadcasts are relayed.
const MANY_NODES: usize = 21;

fn violation_lines(seeds: RangeInclusive<u64>, nodes: usize) -> Vec<String> {
    lines_of(drawn_second_answers, seeds, nodes)
}

fn lines_of(draw: Draw, seeds: RangeInclusive<u64>, nodes: usize) -> Vec<String> {
    let protections = Protections::default();
    let (_, lines) = run_seeds(draw, seeds, nodes, protections, false);
    lines
}

#[gtest]
fn second_answers_end_no_order() {
    expect_that!(violation_lines(1..=24, NODES), is_empty());
}

#[gtest]
fn large_fleet_takes_no_second_answer_for_that_of_an_order() {
    expect_that!(violation_lines(4..=6, MANY_NODES), is_empty());
}

#[gtest]
fn second_rejection_does_not_end_the_retry_of_a_request() {
    // An instance rejects request 778 twice. The retry has the same attempt id and uses the
    // same connection, so the second rejection ends it, and the client gets a refusal while
    // the retry is queued at the instance.
    expect_that!(violation_lines(33..=33, NODES), is_empty());
}

#[gtest]
fn checker_detects_orders_that_take_any_answer() {
    let protections = Protections::without(Protection::MatchOrderAnswers);
    let (report, _) = run_seeds(drawn_second_answers, 1..=4, NODES, protections, false);
    let kinds = report.violations.iter().map(|found| found.kind);
    expect_that!(
        kinds.collect::<Vec<_>>(),
        contains(eq(&ViolationKind::GrantedDuringWork))
    );
}

#[gtest]
fn repeated_rejection_of_an_ended_instance_does_not_end_the_retry_at_its_successor() {
    expect_that!(lines_of(drawn_successors, 55..=60, NODES), is_empty());
    expect_that!(lines_of(drawn_successors, 1..=1, MANY_NODES), is_empty());
}

#[gtest]
fn checker_detects_connections_that_carry_an_id_twice() {
    let protections = Protections::without(Protection::DistinctIds);
    let (report, _) = run_seeds(drawn_successors, 103..=103, NODES, protections, false);
    let kinds = report.violations.iter().map(|found| found.kind);
    expect_that!(
        kinds.collect::<Vec<_>>(),
        contains(eq(&ViolationKind::NotRunIsTrue))
    );
}
