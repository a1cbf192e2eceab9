//! A store restored from a snapshot loses acknowledged writes and reuses revisions. Keys must
//! still have one owner, and tokens must still increase.

use googletest::prelude::*;
use ledgelead_lab::fleet::ViolationKind;
use ledgelead_lab::fleet::command::{NODES, drawn_eras, run_seeds};
use ledgelead_router::protections::{Protection, Protections};

/// A seed whose snapshot lacks tokens that were issued after it.
const SEED_WITH_REUSED_TOKENS: u64 = 33;
/// Number of nodes for which zones are large enough that broadcasts are relayed.
const MANY_NODES: usize = 21;

#[gtest]
fn restored_store_causes_no_violations() {
    let (report, lines) = run_seeds(drawn_eras, 1..=40, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
    expect_that!(report.answered as f64 / report.requests as f64, gt(0.75));
}

#[gtest]
fn restored_store_causes_no_violations_with_relayed_broadcasts() {
    let (_, lines) = run_seeds(drawn_eras, 1..=8, MANY_NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

#[gtest]
fn checker_detects_an_ignored_store_era() {
    let protections = Protections::without(Protection::EraIsolation);
    let (report, _) = run_seeds(drawn_eras, 1..=10, NODES, protections, false);
    let violation_kinds = report.violations.iter().map(|found| found.kind);
    expect_that!(
        violation_kinds.collect::<Vec<_>>(),
        contains(eq(&ViolationKind::SingleOwner))
    );
}

#[gtest]
fn checker_detects_tokens_reused_across_eras() {
    let protections = Protections::without(Protection::EraTokens);
    let (report, _) = run_seeds(
        drawn_eras,
        SEED_WITH_REUSED_TOKENS..=SEED_WITH_REUSED_TOKENS,
        NODES,
        protections,
        false,
    );
    let violation_kinds = report.violations.iter().map(|found| found.kind);
    expect_that!(
        violation_kinds.collect::<Vec<_>>(),
        contains(eq(&ViolationKind::TokenRises))
    );
}
