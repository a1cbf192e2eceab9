//! Instances that restart under the same id: nodes must distinguish their incarnations.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_restarts, run_seeds};
use ledgelead_router::protections::{Protection, Protections};

#[gtest]
fn incarnations_of_one_instance_hold_keys_under_increasing_tokens() {
    let (_, lines) = run_seeds(
        drawn_restarts,
        1..=100,
        NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

#[gtest]
fn checker_detects_incarnations_that_are_not_distinguished() {
    let sabotaged = Protections::without(Protection::DistinctIncarnations);
    let (_, lines) = run_seeds(drawn_restarts, 1..=4, NODES, sabotaged, false);
    expect_that!(lines, contains(contains_substring("lives_apart")));
}
