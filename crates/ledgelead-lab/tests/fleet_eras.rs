//! A store that comes back from a copy, so that what was acknowledged since is gone and its
//! revisions are given out again: keys have one owner, and tokens rise, all the same.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_eras, play};
use ledgelead_router::protections::Protections;

#[gtest]
fn nothing_outlives_the_era_of_the_store_unproved() {
    let (report, lines) = play(drawn_eras, 1..=40, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
    expect_that!(report.answered as f64 / report.requests as f64, gt(0.75));
}
