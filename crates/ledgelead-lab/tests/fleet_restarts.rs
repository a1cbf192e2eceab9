//! Instances that start again under the ids that they had: their lives are kept apart.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_restarts, play};
use ledgelead_router::protections::Protections;

#[gtest]
fn lives_of_one_id_hold_keys_under_rising_tokens() {
    let (_, lines) = play(
        drawn_restarts,
        1..=100,
        NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}
