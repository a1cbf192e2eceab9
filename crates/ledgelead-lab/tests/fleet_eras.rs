//! A store that comes back from a copy, so that what was acknowledged since is gone and its
//! revisions are given out again: keys have one owner, and tokens rise, all the same.

use googletest::prelude::*;
use ledgelead_lab::fleet::ViolationKind;
use ledgelead_lab::fleet::command::{NODES, drawn_eras, run_seeds};
use ledgelead_router::protections::{Protection, Protections};

/// A run in which a copy lacks tokens that were given out after it.
const FENCED_TWICE: u64 = 169;
/// Nodes of a run whose zones are large enough for broadcasts to be passed on.
const MANY_NODES: usize = 21;

#[gtest]
fn nothing_outlives_the_era_of_the_store_unproved() {
    let (report, lines) = run_seeds(drawn_eras, 1..=40, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
    expect_that!(report.answered as f64 / report.requests as f64, gt(0.75));
}

#[gtest]
fn nothing_outlives_its_era_where_broadcasts_are_passed_on() {
    let (_, lines) = run_seeds(drawn_eras, 1..=8, MANY_NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

#[gtest]
fn the_checker_sees_an_era_that_is_ignored() {
    let protections = Protections::without(Protection::EraBound);
    let (report, _) = run_seeds(drawn_eras, 1..=10, NODES, protections, false);
    let kinds = report.violations.iter().map(|found| found.kind);
    expect_that!(
        kinds.collect::<Vec<_>>(),
        contains(eq(&ViolationKind::SingleOwner))
    );
}

#[gtest]
fn the_checker_sees_tokens_that_are_given_out_in_two_eras() {
    let protections = Protections::without(Protection::EraTokens);
    let (report, _) = run_seeds(
        drawn_eras,
        FENCED_TWICE..=FENCED_TWICE,
        NODES,
        protections,
        false,
    );
    let kinds = report.violations.iter().map(|found| found.kind);
    expect_that!(
        kinds.collect::<Vec<_>>(),
        contains(eq(&ViolationKind::TokenRises))
    );
}
