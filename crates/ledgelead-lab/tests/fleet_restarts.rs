//! Instances that start again under the ids that they had: their lives are kept apart.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_restarts, run_seeds};
use ledgelead_router::protections::{Protection, Protections};

#[gtest]
fn lives_of_one_id_hold_keys_under_rising_tokens() {
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
fn the_checker_sees_lives_that_are_taken_for_one() {
    let sabotaged = Protections::without(Protection::LivesApart);
    let (_, lines) = run_seeds(drawn_restarts, 1..=4, NODES, sabotaged, false);
    expect_that!(lines, contains(contains_substring("lives_apart")));
}
